//! Drives a chain of admission queues with an event heap. It models slots and service times only: no network, no
//! membership, one entry.

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
const MAX_DEPTH: u64 = 16;
const SLOTS: u32 = 20;
const SERVICE_S: f64 = 0.010;
const DEADLINE: Duration = Duration::from_millis(250);
const MAX_RESENDS: u8 = 5;

/// What is driven, and with which decisions.
#[derive(Clone)]
pub struct ChainCase {
    pub depth: usize,
    /// Offered load over what the slots of the deepest service can do.
    pub load: f64,
    /// Factor on the rate of account 0.
    pub loud: f64,
    /// Whether all requests are of the normal class.
    pub one_class: bool,
    pub options: AdmissionOptions,
    pub gate: GateOptions,
    pub max_wait: Duration,
    /// Seconds from and to which the deepest service is ten times slower.
    pub slow: Option<(f64, f64)>,
    /// Whether callers send a failed request again at once, without regard to the retry hint.
    pub resend: bool,
    /// Announced slots over those that the server really copes with.
    pub overstated: u32,
    pub seconds: f64,
}

/// What was counted after the warm-up.
#[derive(Default)]
pub struct ChainResult {
    pub whole_per_100ms: Vec<u32>,
    pub offered_by_account: [u32; N_ACCOUNTS],
    pub whole_by_account: [u32; N_ACCOUNTS],
    pub offered_by_class: [u32; 3],
    pub whole_by_class: [u32; 3],
    pub useful_s: f64,
    pub wasted_s: f64,
}

impl ChainResult {
    /// Returns whole answers over what the slots could do, between two times in seconds.
    pub fn goodput(&self, from: f64, to: f64) -> f64 {
        let buckets = &self.whole_per_100ms[(from * 10.0) as usize..(to * 10.0) as usize];
        f64::from(buckets.iter().sum::<u32>()) / (peak_per_s() * (to - from))
    }
}

/// Returns the requests per second that the slots of the deepest service can do.
pub fn peak_per_s() -> f64 {
    f64::from(SLOTS) / SERVICE_S
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum ChainEvent {
    Arrive { account: usize },
    Resend { root: usize },
    WorkDone { root: usize, layer: usize },
    Deadline { root: usize },
    Tick { layer: usize },
}

struct RootCall {
    account: usize,
    class: PriorityClass,
    level: u16,
    deadline: TimePoint,
    n_resends: u8,
    /// Start of the run in each layer that holds a slot.
    started: Vec<TimePoint>,
    ended: bool,
}

pub struct ChainModel {
    case: ChainCase,
    now: TimePoint,
    rng: SmallRng,
    gate: EntryGate,
    queues: Vec<AdmissionQueue>,
    ticks: Vec<Option<TimePoint>>,
    roots: Vec<RootCall>,
    heap: BinaryHeap<Reverse<(TimePoint, u64, ChainEvent)>>,
    serial: u64,
    verdicts: VecDeque<(usize, AdmissionVerdict)>,
    result: ChainResult,
}

impl ChainModel {
    pub fn run(case: ChainCase, seed: u64) -> ChainResult {
        let buckets = (case.seconds * 10.0) as usize + 20;
        let mut model = ChainModel {
            now: TimePoint::ORIGIN,
            rng: SmallRng::seed_from_u64(seed),
            gate: EntryGate::with_options(case.gate),
            queues: (0..case.depth).map(|_| AdmissionQueue::new(case.options.clone())).collect(),
            ticks: vec![None; case.depth],
            roots: Vec::new(),
            heap: BinaryHeap::new(),
            serial: 0,
            verdicts: VecDeque::new(),
            result: ChainResult { whole_per_100ms: vec![0; buckets], ..ChainResult::default() },
            case,
        };
        for layer in 0..model.case.depth {
            let slots = model.slots_of(layer) * model.case.overstated;
            model.queues[layer].set_slots(TimePoint::ORIGIN, slots, &mut Vec::new());
        }
        (0..N_ACCOUNTS).for_each(|account| model.schedule_arrival(account));
        let end = at(model.case.seconds);
        while let Some(Reverse((now, _, event))) = model.heap.pop().filter(|it| it.0.0 < end) {
            model.now = now;
            model.handle(&event);
        }
        model.result
    }

    /// Returns the slots of a layer: the deepest is the bottleneck, the others have half as much again as they need.
    fn slots_of(&self, layer: usize) -> u32 {
        let height = (self.case.depth - layer) as u32;
        if height == 1 { SLOTS } else { SLOTS * height * 3 / 2 }
    }

    fn schedule(&mut self, after_s: f64, event: ChainEvent) {
        self.serial += 1;
        let time = self.now.plus(Duration::from_secs_f64(after_s));
        self.heap.push(Reverse((time, self.serial, event)));
    }

    fn schedule_arrival(&mut self, account: usize) {
        let loud = if account == 0 { self.case.loud } else { 1.0 };
        let per_s = peak_per_s() * self.case.load * loud / N_ACCOUNTS as f64;
        let gap = -self.rng.random_range(f64::EPSILON..1.0_f64).ln() / per_s;
        self.schedule(gap, ChainEvent::Arrive { account });
    }

    fn handle(&mut self, event: &ChainEvent) {
        match *event {
            ChainEvent::Arrive { account } => {
                self.schedule_arrival(account);
                // One in five is critical, two normal, two sheddable.
                let class = match self.rng.random_range(0..5) {
                    _ if self.case.one_class => PriorityClass::Normal,
                    0 => PriorityClass::Critical,
                    1 | 2 => PriorityClass::Normal,
                    _ => PriorityClass::Sheddable,
                };
                if WARM_UP_S <= seconds(self.now) {
                    self.result.offered_by_account[account] += 1;
                    self.result.offered_by_class[class as usize] += 1;
                }
                self.enter(account, class, 0);
            }
            ChainEvent::Resend { root } => {
                let (account, class) = (self.roots[root].account, self.roots[root].class);
                self.enter(account, class, self.roots[root].n_resends + 1);
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
                self.ticks[layer] = None;
                self.with_queue(layer, AdmissionQueue::tick);
            }
            ChainEvent::WorkDone { .. } | ChainEvent::Deadline { .. } => {}
        }
        while let Some((layer, verdict)) = self.verdicts.pop_front() {
            self.obey(layer, &verdict);
        }
    }

    fn enter(&mut self, account: usize, class: PriorityClass, n_resends: u8) {
        let name = AccountName::from(format!("account-{account}"));
        let level = self.gate.assign_level(class, Some(&name), self.rng.random());
        let root = self.roots.len();
        let deadline = self.now.plus(DEADLINE);
        let started = Vec::new();
        self.roots.push(RootCall {
            account,
            class,
            level,
            deadline,
            n_resends,
            started,
            ended: false,
        });
        let random = self.rng.random();
        if self.gate.admit(self.now, &route_of(class), level, random).is_err() {
            return self.note_end(root, false, None);
        }
        self.schedule(DEADLINE.as_secs_f64(), ChainEvent::Deadline { root });
        self.offer(root, 0);
    }

    fn offer(&mut self, root: usize, layer: usize) {
        let call = &self.roots[root];
        let ticket = AdmissionRequest {
            attempt: attempt(root, layer),
            class: call.class,
            level: call.level,
            account: Some(AccountName::from(format!("account-{}", call.account))),
            weight: 1.0,
            deadline: call.deadline,
            max_wait: self.case.max_wait,
        };
        self.with_queue(layer, |queue, now, out| queue.offer(now, ticket, out));
    }

    fn obey(&mut self, layer: usize, verdict: &AdmissionVerdict) {
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
                let work = self.work_of(layer);
                self.schedule(work, ChainEvent::WorkDone { root, layer });
            }
            AdmissionVerdict::Refuse { attempt, .. } => {
                self.end((attempt.serial / MAX_DEPTH) as usize, false);
            }
        }
    }

    fn work_of(&mut self, layer: usize) -> f64 {
        let now = seconds(self.now);
        let deepest = layer + 1 == self.case.depth;
        let slow = self.case.slow.is_some_and(|(from, to)| deepest && (from..to).contains(&now));
        let crowd =
            f64::from(self.queues[layer].load().in_flight) / f64::from(self.slots_of(layer));
        let exponential = -self.rng.random_range(f64::EPSILON..1.0_f64).ln();
        let work = SERVICE_S * (0.5 + 0.5 * exponential) * crowd.max(1.0);
        if slow { work * 10.0 } else { work }
    }

    /// Ends a root call and frees what it holds, from the deepest layer up.
    fn end(&mut self, root: usize, whole: bool) {
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
                if whole { RunSample::Completed { latency } } else { RunSample::Cancelled };
            self.with_queue(layer, |queue, now, out| {
                queue.finish(now, &attempt(root, layer), sample, out);
            });
            if WARM_UP_S <= seconds(self.now) {
                let total =
                    if whole { &mut self.result.useful_s } else { &mut self.result.wasted_s };
                *total += latency.as_secs_f64();
            }
        }
        self.note_end(root, whole, Some(next));
    }

    fn note_end(&mut self, root: usize, whole: bool, n_started: Option<usize>) {
        let (account, class) = (self.roots[root].account, self.roots[root].class);
        // An answer carries the cuts of the layers that it passed; the gate's own refusal carries none.
        let n_asked = n_started.map_or(0, |it| (it + 1).min(self.case.depth));
        let cut = self.queues[..n_asked].iter().map(|queue| queue.load().level_threshold).min();
        if let Some(cut) = cut {
            self.gate.record_threshold(self.now, &route_of(class), cut);
        }
        if whole {
            self.result.whole_per_100ms[(seconds(self.now) * 10.0) as usize] += 1;
            if WARM_UP_S <= seconds(self.now) {
                self.result.whole_by_account[account] += 1;
                self.result.whole_by_class[class as usize] += 1;
            }
        } else if self.case.resend && self.roots[root].n_resends < MAX_RESENDS {
            let pause = self.rng.random_range(0.01..0.05);
            self.schedule(pause, ChainEvent::Resend { root });
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
        if let Some(time) = next.filter(|it| self.ticks[layer].is_none_or(|at| *it < at)) {
            self.ticks[layer] = Some(time);
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

fn at(seconds: f64) -> TimePoint {
    TimePoint::ORIGIN.plus(Duration::from_secs_f64(seconds))
}

fn seconds(time: TimePoint) -> f64 {
    time.as_micros() as f64 / 1e6
}
