//! Admission control at the guard, which runs, queues or refuses attempts.
//!
//! [`AdmissionQueue`] protects one backend server. It limits the number of concurrently running attempts to what the
//! backend server can handle, keeps a short queue of attempts that can still meet their deadline, and refuses all
//! others immediately. Under overload, the higher [`PriorityClass`] is served first, the accounts of one class share
//! the slots by weight, and the attempts of an account with the greatest admission level are refused first.
//! [`EntryGate`] refuses root requests that would be refused further down the call chain, before they occupy a slot.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    id::{AccountName, AttemptId},
    message::{LoadReport, RefusalReason},
    settings::PriorityClass,
    time::TimePoint,
};

pub use self::gate::{EntryGate, GateOptions};
use self::{
    class_queue::{ClassQueue, QueuePosition, QueuedAttempt},
    level_threshold::LevelThreshold,
    limit::ConcurrencyLimit,
    service_time::ServiceTimeEstimate,
};

mod class_queue;
mod gate;
mod level_threshold;
mod limit;
mod service_time;
#[cfg(test)]
mod tests;

const N_PRIORITY_CLASSES: usize = 3;
/// Number of attempts per slot that may wait during sustained overload.
const OVERLOAD_QUEUE_PER_SLOT: usize = 2;
/// Lower bound of the queue length limit during sustained overload.
const MIN_OVERLOAD_QUEUE: usize = 4;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Options of an [`AdmissionQueue`]. All mechanisms are enabled by default; benchmarks disable them one at a time.
#[derive(Clone, Debug)]
pub struct AdmissionOptions {
    /// Lowers the concurrency limit below the announced slots when the backend server slows down or sheds load.
    pub adaptive: bool,
    /// Divides the slots between the accounts of a class by weight.
    pub fair: bool,
    /// Serves higher classes first and evicts lower classes first.
    pub priority: bool,
    /// Refuses greater admission levels first and reports a level threshold.
    pub consistent: bool,
    /// Refuses an attempt early when its remaining time is shorter than the expected service time.
    pub deadline_aware: bool,
    /// Maximum number of waiting attempts.
    pub max_queue: usize,
    /// Seed for the jitter of `retry_after` delays.
    pub seed: u64,
}

impl Default for AdmissionOptions {
    fn default() -> AdmissionOptions {
        AdmissionOptions {
            adaptive: true,
            fair: true,
            priority: true,
            consistent: true,
            deadline_aware: true,
            max_queue: 512,
            seed: 0,
        }
    }
}

/// Request of an attempt for a slot.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Priority of the root request.
    pub class: PriorityClass,
    /// Admission level of the root request; smaller levels are admitted first.
    pub level: u16,
    /// Client account, or `None` on a public route.
    pub account: Option<AccountName>,
    /// Weight of the account relative to other accounts of the same class.
    pub weight: f64,
    /// Time after which the response is no longer useful.
    pub deadline: TimePoint,
    /// Maximum time to wait for a slot.
    pub max_wait: Duration,
}

/// Outcome and latency of a run, from which the concurrency limit is adapted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunSample {
    /// The backend server sent a complete response.
    Completed {
        /// Time from the start to the end of the response.
        latency: Duration,
    },
    /// The backend server failed or its response was incomplete.
    Failed {
        /// Time from the start to the failure.
        latency: Duration,
    },
    /// The backend server shed the request.
    Overloaded,
    /// The run was cancelled because its caller disconnected or its deadline passed.
    Cancelled,
}

/// Decision about an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// Start the attempt. It holds a slot until it is finished.
    Run {
        /// Identifier of the attempt.
        attempt: AttemptId,
    },
    /// Refuse the attempt. It has not run and will not run.
    Refuse {
        /// Identifier of the attempt.
        attempt: AttemptId,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Jittered delay after which another attempt is likely to be admitted, if known.
        retry_after: Option<Duration>,
    },
}

#[derive(Debug)]
struct RunningAttempt {
    started: TimePoint,
    class_idx: usize,
    account: Option<AccountName>,
    charged_cost: Duration,
}

/// Admission queue in front of one backend server.
///
/// Each attempt is either unknown, waiting or running. An attempt is started only while fewer attempts than the limit
/// are running. After the limit is lowered, the running attempts may exceed it until enough of them have finished. The
/// limit never exceeds the slots.
#[derive(Debug)]
pub struct AdmissionQueue {
    options: AdmissionOptions,
    rng: SmallRng,
    limit: ConcurrencyLimit,
    service_time: ServiceTimeEstimate,
    threshold: LevelThreshold,
    running: HashMap<AttemptId, RunningAttempt>,
    classes: [ClassQueue; N_PRIORITY_CLASSES],
    /// Class index, account queue and position of each waiting attempt.
    waiting: HashMap<AttemptId, (usize, Option<AccountName>, QueuePosition)>,
    expiries: BTreeMap<(TimePoint, u64), AttemptId>,
    next_serial: u64,
}

impl AdmissionQueue {
    /// Returns an empty queue with zero slots.
    pub fn new(options: AdmissionOptions) -> AdmissionQueue {
        AdmissionQueue {
            rng: SmallRng::seed_from_u64(options.seed),
            limit: ConcurrencyLimit::new(options.adaptive),
            service_time: ServiceTimeEstimate::default(),
            threshold: LevelThreshold::default(),
            running: HashMap::new(),
            classes: Default::default(),
            waiting: HashMap::new(),
            expiries: BTreeMap::new(),
            next_serial: 0,
            options,
        }
    }

    /// Sets the number of slots that the backend server announced, which is the upper bound of the limit. Zero slots
    /// refuse all waiting attempts.
    pub fn set_slots(&mut self, now: TimePoint, slots: u32, out: &mut Vec<AdmissionVerdict>) {
        self.limit.set_slots(slots);
        if slots == 0 {
            while let Some(queued) = self.evict_lowest() {
                self.refuse(now, queued.attempt, RefusalReason::Overloaded, out);
            }
        }
        self.start_waiting(now, out);
    }

    /// Starts, queues or refuses an attempt.
    ///
    /// # Panics
    ///
    /// Panics if the attempt is already waiting or running; see [`AdmissionQueue::contains`].
    pub fn offer(
        &mut self,
        now: TimePoint,
        request: AdmissionRequest,
        out: &mut Vec<AdmissionVerdict>,
    ) {
        assert!(
            !self.contains(&request.attempt),
            "{} is already waiting or running",
            request.attempt
        );
        self.tick(now, out);
        self.threshold.record_offered(request.level);
        let expiry = self.expiry_of(now, &request);
        if self.limit.get() == 0 {
            return self.refuse(now, request.attempt, RefusalReason::Overloaded, out);
        }
        if expiry < now || request.deadline <= now {
            return self.refuse(now, request.attempt, RefusalReason::DeadlineExceeded, out);
        }
        self.enqueue(request, expiry);
        self.start_waiting(now, out);
        self.enforce_max_waiting(now, out);
    }

    /// Ends the run of an attempt, releases its slot and starts waiting attempts. Ignores an attempt that is not
    /// running.
    pub fn finish(
        &mut self,
        now: TimePoint,
        attempt: &AttemptId,
        sample: RunSample,
        out: &mut Vec<AdmissionVerdict>,
    ) {
        let n_running = self.running.len() as u32;
        let Some(run) = self.running.remove(attempt) else { return };
        let elapsed = now.since(run.started);
        match sample {
            RunSample::Completed { latency } => self.service_time.record_completed(now, latency),
            RunSample::Failed { .. } | RunSample::Cancelled => {
                self.service_time.record_interrupted(now, elapsed);
            }
            RunSample::Overloaded => {}
        }
        self.threshold.record_finished(self.waiting.is_empty());
        self.limit.record(now, run.started, sample, n_running);
        self.classes[run.class_idx].correct_charge(&run.account, run.charged_cost, elapsed);
        self.tick(now, out);
        self.start_waiting(now, out);
    }

    /// Removes a waiting attempt. Returns `true` if it was waiting, in which case it has not run and will not run.
    pub fn cancel(
        &mut self,
        now: TimePoint,
        attempt: &AttemptId,
        out: &mut Vec<AdmissionVerdict>,
    ) -> bool {
        let removed = self.remove_waiting(attempt).is_some();
        self.tick(now, out);
        removed
    }

    /// Refuses waiting attempts whose wait has expired, and updates the level threshold.
    ///
    /// # Panics
    ///
    /// Panics if a waiting attempt is not in exactly one account queue.
    pub fn tick(&mut self, now: TimePoint, out: &mut Vec<AdmissionVerdict>) {
        while let Some((&(expiry, _), attempt)) = self.expiries.first_key_value() {
            if now <= expiry {
                break;
            }
            let attempt = attempt.clone();
            let queued = self.remove_waiting(&attempt).expect("attempt with an expiry is waiting");
            let reason = if queued.deadline <= now.plus(self.service_time.lower_quartile(now)) {
                RefusalReason::DeadlineExceeded
            } else {
                RefusalReason::Overloaded
            };
            self.refuse(now, attempt, reason, out);
        }
        self.threshold.update(now, self.limit.is_on_trial());
    }

    /// Returns the next time at which [`AdmissionQueue::tick`] must be called, if any.
    pub fn next_deadline(&self) -> Option<TimePoint> {
        let expiry =
            self.expiries.first_key_value().map(|((at, _), _)| at.plus(Duration::from_micros(1)));
        [expiry, self.threshold.next_update()].into_iter().flatten().min()
    }

    /// Returns the current load to report to other daemons.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            in_flight: self.running.len() as u32,
            limit: self.limit.get(),
            queued: self.waiting.len() as u32,
            level_threshold: if self.options.consistent { self.threshold.get() } else { u16::MAX },
            chain_threshold: LoadReport::NO_THRESHOLD,
        }
    }

    /// Returns whether the attempt is waiting or running.
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.running.contains_key(attempt) || self.waiting.contains_key(attempt)
    }

    /// Returns the latest time at which the attempt should still be started.
    fn expiry_of(&self, now: TimePoint, request: &AdmissionRequest) -> TimePoint {
        let wait_limit = now.plus(request.max_wait).min(request.deadline);
        if !self.options.deadline_aware || self.running.is_empty() {
            return wait_limit;
        }
        wait_limit.min(request.deadline.minus(self.service_time.lower_quartile(now)))
    }

    fn enqueue(&mut self, request: AdmissionRequest, expiry: TimePoint) {
        let serial = self.next_serial;
        self.next_serial += 1;
        let class_idx = if self.options.priority { request.class as usize } else { 0 };
        let account = request.account.filter(|_| self.options.fair);
        let position = (if self.options.consistent { request.level } else { 0 }, serial);
        self.waiting.insert(request.attempt.clone(), (class_idx, account.clone(), position));
        self.expiries.insert((expiry, serial), request.attempt.clone());
        self.classes[class_idx].push(QueuedAttempt {
            attempt: request.attempt,
            account,
            weight: request.weight,
            deadline: request.deadline,
            expiry,
            position,
        });
    }

    fn start_waiting(&mut self, now: TimePoint, out: &mut Vec<AdmissionVerdict>) {
        let cost = self.service_time.mean(now);
        while (self.running.len() as u32) < self.limit.get() {
            let Some(class_idx) = self.classes.iter().position(|class| 0 < class.len()) else {
                break;
            };
            let queued = self.classes[class_idx].pop(cost).expect("class queue is not empty");
            self.unindex_waiting(&queued);
            self.threshold.record_started();
            let run = RunningAttempt {
                started: now,
                class_idx,
                account: queued.account,
                charged_cost: cost,
            };
            let replaced = self.running.insert(queued.attempt.clone(), run);
            assert!(replaced.is_none(), "{} is already running", queued.attempt);
            assert!(
                self.running.len() as u32 <= self.limit.get(),
                "running attempts exceed the limit"
            );
            out.push(AdmissionVerdict::Run { attempt: queued.attempt });
        }
        self.check_invariants();
    }

    /// Evicts attempts in excess of the queue's length limit.
    fn enforce_max_waiting(&mut self, now: TimePoint, out: &mut Vec<AdmissionVerdict>) {
        let bound = self.max_waiting();
        while bound < self.waiting.len() {
            let Some(queued) = self.evict_lowest() else { return };
            self.refuse(now, queued.attempt, RefusalReason::Overloaded, out);
        }
    }

    /// Returns the maximum number of waiting attempts.
    ///
    /// During sustained overload a long queue adds latency without throughput, so the queue is kept just long enough
    /// that no slot becomes idle.
    fn max_waiting(&self) -> usize {
        if !self.options.consistent || !self.threshold.is_active() {
            return self.options.max_queue;
        }
        let max_waiting =
            (self.limit.get() as usize * OVERLOAD_QUEUE_PER_SLOT).max(MIN_OVERLOAD_QUEUE);
        max_waiting.min(self.options.max_queue)
    }

    /// Removes the attempt of lowest rank: in the lowest class, from the account queue that would finish last, the one
    /// with the greatest level.
    fn evict_lowest(&mut self) -> Option<QueuedAttempt> {
        let class = self.classes.iter_mut().rfind(|class| 0 < class.len())?;
        let queued = class.evict(Duration::from_millis(1))?;
        self.unindex_waiting(&queued);
        Some(queued)
    }

    fn remove_waiting(&mut self, attempt: &AttemptId) -> Option<QueuedAttempt> {
        let (class_idx, account, position) = self.waiting.get(attempt)?.clone();
        let queued = self.classes[class_idx].remove(&account, position)?;
        self.unindex_waiting(&queued);
        Some(queued)
    }

    fn unindex_waiting(&mut self, queued: &QueuedAttempt) {
        let indexed = self.waiting.remove(&queued.attempt).is_some();
        let expiring = self.expiries.remove(&(queued.expiry, queued.position.1)).is_some();
        assert!(
            indexed && expiring,
            "indexes of waiting attempt {} are inconsistent",
            queued.attempt
        );
    }

    fn refuse(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        reason: RefusalReason,
        out: &mut Vec<AdmissionVerdict>,
    ) {
        let retry_after = match reason {
            RefusalReason::Overloaded => Some(self.retry_after(now)),
            _ => None,
        };
        self.threshold.record_refused();
        out.push(AdmissionVerdict::Refuse { attempt, reason, retry_after });
    }

    /// Returns the jittered time that the current backlog takes to be served.
    fn retry_after(&mut self, now: TimePoint) -> Duration {
        let backlog = (self.waiting.len() + self.running.len()) as f64;
        let drain_time =
            self.service_time.mean(now).mul_f64(backlog / f64::from(self.limit.get().max(1)));
        let hint = drain_time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        hint.mul_f64(self.rng.random_range(0.75..1.5))
    }

    fn check_invariants(&self) {
        assert_eq!(
            self.waiting.len(),
            self.expiries.len(),
            "numbers of waiting attempts and expiries differ"
        );
        let n_queued: usize = self.classes.iter().map(ClassQueue::len).sum();
        assert_eq!(self.waiting.len(), n_queued, "numbers of waiting and queued attempts differ");
        let is_full = self.limit.get() <= self.running.len() as u32;
        assert!(self.waiting.is_empty() || is_full, "a slot is idle while an attempt is waiting");
    }
}
