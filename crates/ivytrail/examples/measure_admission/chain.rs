//! Discrete-event simulation of a chain of admission queues. It models slots and service times only: no network, no
//! membership and a single entry.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use ivytrail::{
    admission::{
        AdmissionOptions, AdmissionQueue, AdmissionRequest, AdmissionVerdict, EntryGate,
        GateOptions, RunSample,
    },
    id::{AccountName, AttemptId, MemberId, RouteName},
    settings::PriorityClass,
    time::TimePoint,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

pub const N_ACCOUNTS: usize = 8;
pub const WARM_UP_S: f64 = 2.0;
/// Upper bound of the chain depth. An attempt's serial is its root call's index times this, plus its layer.
const MAX_DEPTH: u64 = 16;
const BOTTLENECK_SLOTS: u32 = 20;
/// Mean service time of a run without overload.
const SERVICE_TIME_S: f64 = 0.010;
const CALL_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_RETRIES: u8 = 5;

/// Workload and admission settings of one simulation.
#[derive(Clone)]
pub struct ChainCase {
    /// Number of services that each call passes through.
    pub depth: usize,
    /// Offered load relative to the capacity of the deepest service.
    pub load: f64,
    /// Multiplier on the request rate of account 0.
    pub hot_account_factor: f64,
    /// Whether all requests have normal priority.
    pub is_single_class: bool,
    pub options: AdmissionOptions,
    pub gate: GateOptions,
    pub max_wait: Duration,
    /// Start and end, in seconds, of the interval in which the deepest service is ten times slower.
    pub slowdown_s: Option<(f64, f64)>,
    /// Whether callers retry a failed request after 10 to 50 ms, ignoring the retry hint.
    pub retries_failures: bool,
    /// Ratio of announced slots to the slots that the server can really serve.
    pub slot_overstatement: u32,
    /// Simulated time in seconds, including the warm-up.
    pub duration_s: f64,
}

/// Counts of one simulation. All but `completed_per_100ms` leave out the warm-up.
#[derive(Default)]
pub struct ChainResult {
    pub completed_per_100ms: Vec<u32>,
    pub offered_by_account: [u32; N_ACCOUNTS],
    pub completed_by_account: [u32; N_ACCOUNTS],
    pub offered_by_class: [u32; 3],
    pub completed_by_class: [u32; 3],
    pub useful_slot_s: f64,
    pub wasted_slot_s: f64,
}

impl ChainResult {
    /// Returns completed calls relative to capacity in an interval given in seconds.
    pub fn goodput(&self, from: f64, to: f64) -> f64 {
        let buckets = &self.completed_per_100ms[(from * 10.0) as usize..(to * 10.0) as usize];
        f64::from(buckets.iter().sum::<u32>()) / (capacity_per_s() * (to - from))
    }
}

/// Returns the capacity of the deepest service in requests per second.
pub fn capacity_per_s() -> f64 {
    f64::from(BOTTLENECK_SLOTS) / SERVICE_TIME_S
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum ChainEvent {
    Arrival { account: usize },
    Retry { root: usize },
    WorkDone { root: usize, layer: usize },
    Deadline { root: usize },
    Tick { layer: usize },
}

/// Call of a caller, which passes through all layers of the chain.
struct RootCall {
    account: usize,
    class: PriorityClass,
    level: u16,
    deadline: TimePoint,
    n_retries: u8,
    /// Start time of the run in each layer in which the call holds a slot.
    started: Vec<TimePoint>,
    ended: bool,
}

pub struct ChainModel {
    case: ChainCase,
    now: TimePoint,
    rng: SmallRng,
    gate: EntryGate,
    queues: Vec<AdmissionQueue>,
    scheduled_ticks: Vec<Option<TimePoint>>,
    roots: Vec<RootCall>,
    event_heap: BinaryHeap<Reverse<(TimePoint, u64, ChainEvent)>>,
    serial: u64,
    verdicts: VecDeque<(usize, AdmissionVerdict)>,
    result: ChainResult,
}

impl ChainModel {
    /// Simulates a case and returns its counts.
    pub fn run(case: ChainCase, seed: u64) -> ChainResult {
        let buckets = (case.duration_s * 10.0) as usize + 20;
        let mut model = ChainModel {
            now: TimePoint::ORIGIN,
            rng: SmallRng::seed_from_u64(seed),
            gate: EntryGate::with_options(case.gate),
            queues: (0..case.depth).map(|_| AdmissionQueue::new(case.options.clone())).collect(),
            scheduled_ticks: vec![None; case.depth],
            roots: Vec::new(),
            event_heap: BinaryHeap::new(),
            serial: 0,
            verdicts: VecDeque::new(),
            result: ChainResult { completed_per_100ms: vec![0; buckets], ..ChainResult::default() },
            case,
        };
        for layer in 0..model.case.depth {
            let slots = model.real_slots(layer) * model.case.slot_overstatement;
            model.queues[layer].set_slots(TimePoint::ORIGIN, slots, &mut Vec::new());
        }
        (0..N_ACCOUNTS).for_each(|account| model.schedule_arrival(account));
        let end = time_at(model.case.duration_s);
        while let Some(Reverse((now, _, event))) = model.event_heap.pop().filter(|it| it.0.0 < end)
        {
            model.now = now;
            model.handle(&event);
        }
        model.result
    }

    /// Returns the real slots of a layer. The deepest layer is the bottleneck; the others have 50 % spare capacity.
    fn real_slots(&self, layer: usize) -> u32 {
        let height = (self.case.depth - layer) as u32;
        if height == 1 { BOTTLENECK_SLOTS } else { BOTTLENECK_SLOTS * height * 3 / 2 }
    }

    fn schedule(&mut self, after_s: f64, event: ChainEvent) {
        self.serial += 1;
        let time = self.now.plus(Duration::from_secs_f64(after_s));
        self.event_heap.push(Reverse((time, self.serial, event)));
    }

    fn schedule_arrival(&mut self, account: usize) {
        let rate_factor = if account == 0 { self.case.hot_account_factor } else { 1.0 };
        let per_s = capacity_per_s() * self.case.load * rate_factor / N_ACCOUNTS as f64;
        let gap_s = -self.rng.random_range(f64::EPSILON..1.0_f64).ln() / per_s;
        self.schedule(gap_s, ChainEvent::Arrival { account });
    }

    fn handle(&mut self, event: &ChainEvent) {
        match *event {
            ChainEvent::Arrival { account } => {
                self.schedule_arrival(account);
                // Of five requests, one is critical, two are normal and two are sheddable.
                let class = match self.rng.random_range(0..5) {
                    _ if self.case.is_single_class => PriorityClass::Normal,
                    0 => PriorityClass::Critical,
                    1 | 2 => PriorityClass::Normal,
                    _ => PriorityClass::Sheddable,
                };
                if WARM_UP_S <= seconds_at(self.now) {
                    self.result.offered_by_account[account] += 1;
                    self.result.offered_by_class[class as usize] += 1;
                }
                self.start_call(account, class, 0);
            }
            ChainEvent::Retry { root } => {
                let (account, class) = (self.roots[root].account, self.roots[root].class);
                self.start_call(account, class, self.roots[root].n_retries + 1);
            }
            ChainEvent::WorkDone { root, layer } if !self.roots[root].ended => {
                if layer + 1 < self.case.depth {
                    self.offer(root, layer + 1);
                } else {
                    self.end(root, true);
                }
            }
            ChainEvent::Deadline { root } if !self.roots[root].ended => self.end(root, false),
            ChainEvent::Tick { layer } => {
                self.scheduled_ticks[layer] = None;
                self.with_queue(layer, AdmissionQueue::tick);
            }
            ChainEvent::WorkDone { .. } | ChainEvent::Deadline { .. } => {}
        }
        while let Some((layer, verdict)) = self.verdicts.pop_front() {
            self.apply_verdict(layer, &verdict);
        }
    }

    fn start_call(&mut self, account: usize, class: PriorityClass, n_retries: u8) {
        let name = AccountName::from(format!("account-{account}"));
        let level = self.gate.assign_level(class, Some(&name), self.rng.random());
        let root = self.roots.len();
        let deadline = self.now.plus(CALL_TIMEOUT);
        let started = Vec::new();
        self.roots.push(RootCall {
            account,
            class,
            level,
            deadline,
            n_retries,
            started,
            ended: false,
        });
        let random = self.rng.random();
        if self.gate.admit(self.now, &route_of(class), level, random).is_err() {
            return self.record_end(root, false, None);
        }
        self.schedule(CALL_TIMEOUT.as_secs_f64(), ChainEvent::Deadline { root });
        self.offer(root, 0);
    }

    fn offer(&mut self, root: usize, layer: usize) {
        let call = &self.roots[root];
        let request = AdmissionRequest {
            attempt: attempt(root, layer),
            class: call.class,
            level: call.level,
            account: Some(AccountName::from(format!("account-{}", call.account))),
            weight: 1.0,
            deadline: call.deadline,
            max_wait: self.case.max_wait,
        };
        self.with_queue(layer, |queue, now, out| queue.offer(now, request, out));
    }

    fn apply_verdict(&mut self, layer: usize, verdict: &AdmissionVerdict) {
        match verdict {
            AdmissionVerdict::Run { attempt } => {
                let root = (attempt.serial / MAX_DEPTH) as usize;
                if self.roots[root].ended {
                    let sample = RunSample::Cancelled;
                    self.with_queue(layer, |queue, now, out| {
                        queue.finish(now, attempt, sample, out);
                    });
                    return;
                }
                self.roots[root].started.push(self.now);
                let work_s = self.draw_work_s(layer);
                self.schedule(work_s, ChainEvent::WorkDone { root, layer });
            }
            AdmissionVerdict::Refuse { attempt, .. } => {
                self.end((attempt.serial / MAX_DEPTH) as usize, false);
            }
        }
    }

    /// Draws a service time in seconds. It grows with the runs in excess of the real slots.
    fn draw_work_s(&mut self, layer: usize) -> f64 {
        let now = seconds_at(self.now);
        let is_deepest = layer + 1 == self.case.depth;
        let is_slow =
            self.case.slowdown_s.is_some_and(|(from, to)| is_deepest && (from..to).contains(&now));
        let overcommit =
            f64::from(self.queues[layer].load().in_flight) / f64::from(self.real_slots(layer));
        let exponential = -self.rng.random_range(f64::EPSILON..1.0_f64).ln();
        let work_s = SERVICE_TIME_S * (0.5 + 0.5 * exponential) * overcommit.max(1.0);
        if is_slow { work_s * 10.0 } else { work_s }
    }

    /// Ends a root call and releases its slots, starting at the deepest layer.
    fn end(&mut self, root: usize, is_completed: bool) {
        if std::mem::replace(&mut self.roots[root].ended, true) {
            return;
        }
        let started = std::mem::take(&mut self.roots[root].started);
        let next = started.len();
        if next < self.case.depth {
            self.with_queue(next, |queue, now, out| {
                queue.cancel(now, &attempt(root, next), out);
            });
        }
        for (layer, start) in started.iter().enumerate().rev() {
            let latency = self.now.since(*start);
            let sample =
                if is_completed { RunSample::Completed { latency } } else { RunSample::Cancelled };
            self.with_queue(layer, |queue, now, out| {
                queue.finish(now, &attempt(root, layer), sample, out);
            });
            if WARM_UP_S <= seconds_at(self.now) {
                let total = if is_completed {
                    &mut self.result.useful_slot_s
                } else {
                    &mut self.result.wasted_slot_s
                };
                *total += latency.as_secs_f64();
            }
        }
        self.record_end(root, is_completed, Some(next));
    }

    fn record_end(&mut self, root: usize, is_completed: bool, n_started: Option<usize>) {
        let (account, class) = (self.roots[root].account, self.roots[root].class);
        // A response carries the thresholds of the layers that the call reached; a refusal by the gate carries none.
        let n_visited = n_started.map_or(0, |it| (it + 1).min(self.case.depth));
        let threshold =
            self.queues[..n_visited].iter().map(|queue| queue.load().level_threshold).min();
        if let Some(threshold) = threshold {
            self.gate.record_threshold(self.now, &route_of(class), threshold);
        }
        if is_completed {
            self.result.completed_per_100ms[(seconds_at(self.now) * 10.0) as usize] += 1;
            if WARM_UP_S <= seconds_at(self.now) {
                self.result.completed_by_account[account] += 1;
                self.result.completed_by_class[class as usize] += 1;
            }
        } else if self.case.retries_failures && self.roots[root].n_retries < MAX_RETRIES {
            let delay_s = self.rng.random_range(0.01..0.05);
            self.schedule(delay_s, ChainEvent::Retry { root });
        }
    }

    fn with_queue<F>(&mut self, layer: usize, call: F)
    where
        F: FnOnce(&mut AdmissionQueue, TimePoint, &mut Vec<AdmissionVerdict>),
    {
        let mut out = Vec::new();
        call(&mut self.queues[layer], self.now, &mut out);
        self.verdicts.extend(out.into_iter().map(|verdict| (layer, verdict)));
        let next = self.queues[layer].next_deadline();
        if let Some(time) = next.filter(|it| self.scheduled_ticks[layer].is_none_or(|at| *it < at))
        {
            self.scheduled_ticks[layer] = Some(time);
            self.schedule(time.since(self.now).as_secs_f64(), ChainEvent::Tick { layer });
        }
    }
}

fn attempt(root: usize, layer: usize) -> AttemptId {
    let entry = MemberId { instance: "entry".into(), incarnation: 1 };
    AttemptId { entry, serial: root as u64 * MAX_DEPTH + layer as u64 }
}

fn route_of(class: PriorityClass) -> RouteName {
    RouteName::from(format!("route-{class}"))
}

fn time_at(seconds: f64) -> TimePoint {
    TimePoint::ORIGIN.plus(Duration::from_secs_f64(seconds))
}

fn seconds_at(time: TimePoint) -> f64 {
    time.as_micros() as f64 / 1e6
}
