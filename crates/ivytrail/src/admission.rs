//! Admission at the guard: which attempts run, wait or are refused.
//!
//! [`AdmissionQueue`] stands in front of one backend server. It runs as many attempts at once as the backend server
//! copes with, keeps a short queue of those that can still end in time, and refuses the rest at once. Under pressure
//! the higher [`PriorityClass`] goes first, accounts of one class share the slots by weight, and of one account's
//! attempts those with the greatest admission level are refused first. [`EntryGate`] refuses root requests that would fail
//! further down the chain, before a slot is spent on them.

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
    lane::{ClassQueue, LaneOrder, WaitingTicket},
    limit::ConcurrencyLimit,
    pressure::LevelCut,
    service::ServiceTime,
};

mod gate;
mod lane;
mod limit;
mod pressure;
mod service;
#[cfg(test)]
mod tests;

const N_CLASSES: usize = 3;
/// Attempts that may wait for each slot under lasting pressure.
const PRESSED_QUEUE_PER_SLOT: usize = 2;
/// Least bound of the queue under lasting pressure.
const MIN_PRESSED_QUEUE: usize = 4;
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Which decisions an [`AdmissionQueue`] takes. All are on by default; a measurement turns them off one by one.
#[derive(Clone, Debug)]
pub struct AdmissionOptions {
    /// Lowers the limit below the announced slots when the backend server slows down or sheds load.
    pub adaptive: bool,
    /// Shares the slots between the accounts of a class by weight.
    pub fair: bool,
    /// Serves the higher class first and evicts the lower class first.
    pub priority: bool,
    /// Refuses the greater admission level first and reports a level cut.
    pub consistent: bool,
    /// Refuses work that can't end before its deadline, and work that would wait longer than it may.
    pub deadline_aware: bool,
    /// Upper bound of the waiting attempts.
    pub max_queue: usize,
    /// Seed for the jitter of retry hints.
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

/// An attempt that asks for a slot.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// Priority of its root request.
    pub class: PriorityClass,
    /// Admission level of its root request; smaller levels are admitted first.
    pub level: u16,
    /// Client account, or `None` on a route open to all.
    pub account: Option<AccountName>,
    /// Weight of the account against others of the same class.
    pub weight: f64,
    /// Time after which the answer is worth nothing.
    pub deadline: TimePoint,
    /// Longest time to wait for a slot.
    pub max_wait: Duration,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunSample {
    /// The backend server answered whole.
    Completed {
        /// Time from start to answer.
        latency: Duration,
    },
    /// The backend server failed or its answer was not whole.
    Failed {
        /// Time from start to failure.
        latency: Duration,
    },
    /// The backend server shed it.
    Overloaded,
    /// The run was given up because its caller had gone or its deadline had passed.
    Cancelled,
}

/// What shall be done with an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// Start it: it has a slot until it is finished.
    Run {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Refuse it: it has not run and won't.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: RefusalReason,
        /// When another attempt is likely to be admitted, with jitter, where that is known.
        retry_after: Option<Duration>,
    },
}

#[derive(Debug)]
struct RunningTicket {
    started: TimePoint,
    class_idx: usize,
    lane: Option<AccountName>,
    charged: Duration,
}

/// The queue in front of one backend server.
///
/// Each attempt is either unknown, waiting or running. The number of running attempts never exceeds the limit when one
/// is started; when the limit shrinks it may exceed the new limit until enough of them have finished. The limit never
/// exceeds the slots.
#[derive(Debug)]
pub struct AdmissionQueue {
    options: AdmissionOptions,
    rng: SmallRng,
    limit: ConcurrencyLimit,
    service: ServiceTime,
    cut: LevelCut,
    running: HashMap<AttemptId, RunningTicket>,
    classes: [ClassQueue; N_CLASSES],
    /// Class, lane and place of each waiting attempt.
    waiting: HashMap<AttemptId, (usize, Option<AccountName>, LaneOrder)>,
    expiries: BTreeMap<(TimePoint, u64), AttemptId>,
    next_serial: u64,
}

impl AdmissionQueue {
    /// Returns an empty queue without slots.
    pub fn new(options: AdmissionOptions) -> AdmissionQueue {
        AdmissionQueue {
            rng: SmallRng::seed_from_u64(options.seed),
            limit: ConcurrencyLimit::new(options.adaptive),
            service: ServiceTime::default(),
            cut: LevelCut::default(),
            running: HashMap::new(),
            classes: Default::default(),
            waiting: HashMap::new(),
            expiries: BTreeMap::new(),
            next_serial: 0,
            options,
        }
    }

    /// Sets the slots that the backend server announced: the upper bound of the limit. With zero slots, all waiting
    /// attempts are refused.
    pub fn set_slots(&mut self, now: TimePoint, slots: u32, out: &mut Vec<AdmissionVerdict>) {
        self.limit.set_slots(slots);
        if slots == 0 {
            while let Some(ticket) = self.evict_last() {
                self.refuse(now, ticket.attempt, RefusalReason::Overloaded, out);
            }
        }
        self.start_waiting(now, out);
    }

    /// Takes an attempt: it runs, waits or is refused.
    ///
    /// # Panics
    ///
    /// Panics if the attempt is already waiting or running; see [`AdmissionQueue::contains`].
    pub fn offer(
        &mut self,
        now: TimePoint,
        ticket: AdmissionRequest,
        out: &mut Vec<AdmissionVerdict>,
    ) {
        assert!(!self.contains(&ticket.attempt), "{} was offered twice", ticket.attempt);
        self.tick(now, out);
        self.cut.note_offered(ticket.level);
        let expiry = self.expiry_of(now, &ticket);
        if self.limit.get() == 0 {
            return self.refuse(now, ticket.attempt, RefusalReason::Overloaded, out);
        }
        if expiry < now || ticket.deadline <= now {
            return self.refuse(now, ticket.attempt, RefusalReason::DeadlineExceeded, out);
        }
        self.enqueue(ticket, expiry);
        self.start_waiting(now, out);
        self.shrink_queue(now, out);
    }

    /// Ends the run of an attempt, frees its slot and starts the next. Does nothing for an attempt that isn't running.
    pub fn finish(
        &mut self,
        now: TimePoint,
        attempt: &AttemptId,
        sample: RunSample,
        out: &mut Vec<AdmissionVerdict>,
    ) {
        let n_running = self.running.len() as u32;
        let Some(ticket) = self.running.remove(attempt) else { return };
        let elapsed = now.since(ticket.started);
        match sample {
            RunSample::Completed { latency } => self.service.note_whole(now, latency),
            RunSample::Failed { .. } | RunSample::Cancelled => {
                self.service.note_cut_off(now, elapsed);
            }
            RunSample::Overloaded => {}
        }
        self.cut.note_finished(self.waiting.is_empty());
        self.limit.note(now, ticket.started, sample, n_running);
        self.classes[ticket.class_idx].settle(&ticket.lane, ticket.charged, elapsed);
        self.tick(now, out);
        self.start_waiting(now, out);
    }

    /// Removes an attempt that is waiting. Returns whether it was: then it has not run and won't.
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

    /// Refuses the waiting attempts that have waited too long.
    ///
    /// # Panics
    ///
    /// Panics if a waiting attempt is not in exactly one lane.
    pub fn tick(&mut self, now: TimePoint, out: &mut Vec<AdmissionVerdict>) {
        while let Some((&(expiry, _), attempt)) = self.expiries.first_key_value() {
            if now <= expiry {
                break;
            }
            let attempt = attempt.clone();
            let ticket = self.remove_waiting(&attempt).expect("a ticket with an expiry waits");
            let reason = if ticket.deadline <= now.plus(self.service.optimistic(now)) {
                RefusalReason::DeadlineExceeded
            } else {
                RefusalReason::Overloaded
            };
            self.refuse(now, attempt, reason, out);
        }
        self.cut.roll(now, self.limit.is_on_trial());
    }

    /// Returns the time at which [`AdmissionQueue::tick`] has something to do.
    pub fn next_deadline(&self) -> Option<TimePoint> {
        let expiry =
            self.expiries.first_key_value().map(|((at, _), _)| at.plus(Duration::from_micros(1)));
        [expiry, self.cut.next_roll()].into_iter().flatten().min()
    }

    /// Returns the load, for others to see.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            in_flight: self.running.len() as u32,
            limit: self.limit.get(),
            queued: self.waiting.len() as u32,
            level_threshold: if self.options.consistent { self.cut.get() } else { u16::MAX },
            chain_threshold: LoadReport::NO_THRESHOLD,
        }
    }

    /// Returns whether the attempt is waiting or running.
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.running.contains_key(attempt) || self.waiting.contains_key(attempt)
    }

    /// Returns the last time at which the attempt is still worth starting.
    fn expiry_of(&self, now: TimePoint, ticket: &AdmissionRequest) -> TimePoint {
        let patience = now.plus(ticket.max_wait).min(ticket.deadline);
        if !self.options.deadline_aware || self.running.is_empty() {
            return patience;
        }
        patience.min(ticket.deadline.minus(self.service.optimistic(now)))
    }

    fn enqueue(&mut self, ticket: AdmissionRequest, expiry: TimePoint) {
        let serial = self.next_serial;
        self.next_serial += 1;
        let class_idx = if self.options.priority { ticket.class as usize } else { 0 };
        let lane = ticket.account.filter(|_| self.options.fair);
        let order = (if self.options.consistent { ticket.level } else { 0 }, serial);
        self.waiting.insert(ticket.attempt.clone(), (class_idx, lane.clone(), order));
        self.expiries.insert((expiry, serial), ticket.attempt.clone());
        self.classes[class_idx].push(WaitingTicket {
            attempt: ticket.attempt,
            lane,
            weight: ticket.weight,
            deadline: ticket.deadline,
            expiry,
            order,
        });
    }

    fn start_waiting(&mut self, now: TimePoint, out: &mut Vec<AdmissionVerdict>) {
        let cost = self.service.mean(now);
        while (self.running.len() as u32) < self.limit.get() {
            let Some(class_idx) = self.classes.iter().position(|class| 0 < class.len()) else {
                break;
            };
            let ticket = self.classes[class_idx].pop(cost).expect("the class has a ticket");
            self.forget_waiting(&ticket);
            self.cut.note_started();
            let run = RunningTicket { started: now, class_idx, lane: ticket.lane, charged: cost };
            let replaced = self.running.insert(ticket.attempt.clone(), run);
            assert!(replaced.is_none(), "{} runs twice", ticket.attempt);
            assert!(self.running.len() as u32 <= self.limit.get(), "more runs than the limit");
            out.push(AdmissionVerdict::Run { attempt: ticket.attempt });
        }
        self.check_invariants();
    }

    /// Evicts what is beyond the queue's bound.
    fn shrink_queue(&mut self, now: TimePoint, out: &mut Vec<AdmissionVerdict>) {
        let bound = self.queue_bound();
        while bound < self.waiting.len() {
            let Some(ticket) = self.evict_last() else { return };
            self.refuse(now, ticket.attempt, RefusalReason::Overloaded, out);
        }
    }

    /// Returns how many attempts may wait.
    ///
    /// Under lasting pressure a long queue adds waiting time and no throughput, so it is kept just long enough that no
    /// slot runs dry.
    fn queue_bound(&self) -> usize {
        if !self.options.consistent || !self.cut.is_engaged() {
            return self.options.max_queue;
        }
        let short = (self.limit.get() as usize * PRESSED_QUEUE_PER_SLOT).max(MIN_PRESSED_QUEUE);
        short.min(self.options.max_queue)
    }

    /// Takes the ticket that would be served last: the lowest class, its most served account, its greatest level.
    fn evict_last(&mut self) -> Option<WaitingTicket> {
        let class = self.classes.iter_mut().rfind(|class| 0 < class.len())?;
        let ticket = class.evict(Duration::from_millis(1))?;
        self.forget_waiting(&ticket);
        Some(ticket)
    }

    fn remove_waiting(&mut self, attempt: &AttemptId) -> Option<WaitingTicket> {
        let (class_idx, lane, order) = self.waiting.get(attempt)?.clone();
        let ticket = self.classes[class_idx].remove(&lane, order)?;
        self.forget_waiting(&ticket);
        Some(ticket)
    }

    fn forget_waiting(&mut self, ticket: &WaitingTicket) {
        let indexed = self.waiting.remove(&ticket.attempt).is_some();
        let expiring = self.expiries.remove(&(ticket.expiry, ticket.order.1)).is_some();
        assert!(indexed && expiring, "{} is not in one state", ticket.attempt);
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
        self.cut.note_refused();
        out.push(AdmissionVerdict::Refuse { attempt, reason, retry_after });
    }

    /// Returns a jittered time after which the present backlog has been served.
    fn retry_after(&mut self, now: TimePoint) -> Duration {
        let backlog = (self.waiting.len() + self.running.len()) as f64;
        let drain = self.service.mean(now).mul_f64(backlog / f64::from(self.limit.get().max(1)));
        let hint = drain.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        hint.mul_f64(self.rng.random_range(0.75..1.5))
    }

    fn check_invariants(&self) {
        assert_eq!(self.waiting.len(), self.expiries.len(), "waiting tickets and expiries differ");
        let n_queued: usize = self.classes.iter().map(ClassQueue::len).sum();
        assert_eq!(self.waiting.len(), n_queued, "waiting tickets and lanes differ");
        let is_full = self.limit.get() <= self.running.len() as u32;
        assert!(self.waiting.is_empty() || is_full, "a slot is idle while an attempt waits");
    }
}
