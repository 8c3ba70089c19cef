//! Tests of admission at the guard.

use std::collections::HashSet;

use proptest::{
    prelude::*,
    test_runner::{TestRng, TestRunner},
};

use super::*;
use crate::id::{MemberId, RouteName};

const NOW: TimePoint = TimePoint::from_millis(1_000);

#[test]
fn a_free_slot_is_used_at_once_and_the_next_attempt_waits_for_it() {
    let mut queue = queue_with(1);
    let mut out = Vec::new();

    queue.offer(NOW, ticket(1, PriorityClass::Normal), &mut out);
    queue.offer(NOW, ticket(2, PriorityClass::Normal), &mut out);
    queue.finish(NOW, &attempt(1), whole(10), &mut out);

    assert_eq!(out, [run(1), run(2)]);
}

#[test]
fn a_waiting_attempt_that_is_cancelled_has_not_run() {
    let mut queue = queue_with(1);
    let mut out = Vec::new();
    queue.offer(NOW, ticket(1, PriorityClass::Normal), &mut out);
    queue.offer(NOW, ticket(2, PriorityClass::Normal), &mut out);

    let waited = queue.cancel(NOW, &attempt(2), &mut out);
    queue.finish(NOW, &attempt(1), whole(10), &mut out);

    assert!(waited);
    assert!(!queue.cancel(NOW, &attempt(1), &mut out));
    assert_eq!(out, [run(1)]);
}

#[test]
fn a_critical_attempt_starts_before_those_that_came_earlier() {
    let mut queue = queue_with(1);
    let mut out = Vec::new();
    queue.offer(NOW, ticket(1, PriorityClass::Sheddable), &mut out);
    queue.offer(NOW, ticket(2, PriorityClass::Sheddable), &mut out);
    queue.offer(NOW, ticket(3, PriorityClass::Critical), &mut out);

    queue.finish(NOW, &attempt(1), whole(10), &mut out);

    assert_eq!(out, [run(1), run(3)]);
}

#[test]
fn the_most_served_account_is_evicted_for_a_newcomer_of_another() {
    let mut queue = queue_of(AdmissionOptions { max_queue: 3, ..AdmissionOptions::default() }, 1);
    let mut out = Vec::new();
    (1..=4).for_each(|serial| queue.offer(NOW, ticket(serial, PriorityClass::Normal), &mut out));
    out.clear();

    let newcomer =
        AdmissionRequest { account: Some("small".into()), ..ticket(5, PriorityClass::Normal) };
    queue.offer(NOW, newcomer, &mut out);
    queue.offer(NOW, ticket(6, PriorityClass::Sheddable), &mut out);

    assert_eq!(refused(&out), [(4, RefusalReason::Overloaded), (6, RefusalReason::Overloaded)]);
}

#[test]
fn work_that_cannot_end_in_time_is_refused_at_once() {
    let mut queue = queue_with(1);
    let mut out = Vec::new();
    for serial in 0..100 {
        queue.offer(NOW, ticket(serial, PriorityClass::Normal), &mut out);
        queue.finish(NOW, &attempt(serial), whole(50), &mut out);
    }
    queue.offer(NOW, ticket(100, PriorityClass::Normal), &mut out);
    out.clear();

    let deadline = NOW.plus(Duration::from_millis(5));
    let hopeless = AdmissionRequest { deadline, ..ticket(101, PriorityClass::Normal) };
    queue.offer(NOW, hopeless, &mut out);

    assert_eq!(refused(&out), [(101, RefusalReason::DeadlineExceeded)]);
}

#[test]
fn an_attempt_that_waited_too_long_is_refused_when_its_time_is_up() {
    let mut queue = queue_with(1);
    let mut out = Vec::new();
    queue.offer(NOW, ticket(1, PriorityClass::Normal), &mut out);
    queue.offer(NOW, ticket(2, PriorityClass::Normal), &mut out);

    let expiry = queue.next_deadline().unwrap();
    queue.tick(expiry, &mut out);

    assert_eq!(expiry, NOW.plus(Duration::from_micros(100_001)));
    assert_eq!(refused(&out), [(2, RefusalReason::Overloaded)]);
    assert!(matches!(&out[1], AdmissionVerdict::Refuse { retry_after: Some(_), .. }));
}

#[test]
fn the_cut_of_a_gate_is_probed_and_forgotten() {
    let mut gate = EntryGate::new();
    let route = RouteName::from("book-launch");
    gate.record_threshold(NOW, &route, 1_000);
    let mut admits = |millis, level| gate.admit(later(millis), &route, level, 1).is_ok();

    assert!(admits(1, 1_000));
    assert!(!admits(1, 1_001));
    assert!(admits(50, 1_001));
    assert!(!admits(51, 1_001));
    assert!(admits(500, u16::MAX));
}

#[test]
fn a_cut_leaves_a_quiet_account_alone_and_takes_from_the_loud_one() {
    let mut gate = EntryGate::new();
    let (quiet, loud) = (AccountName::from("quiet"), AccountName::from("loud"));
    let mut levels: [Vec<u16>; 2] = Default::default();
    for idx in 0..2_000_u64 {
        let now = later(idx);
        gate.admit(now, &"book-launch".into(), 0, 0).unwrap();
        let random = (idx * 40_503 % 65_536) as u16;
        if idx % 8 == 0 {
            levels[0].push(gate.assign_level(PriorityClass::Normal, Some(&quiet), random));
        }
        levels[1].push(gate.assign_level(PriorityClass::Normal, Some(&loud), random));
    }

    let greatest = levels[0].iter().skip(125).max().unwrap();
    let n_below = levels[1].iter().skip(1_000).filter(|level| *level <= greatest).count();

    // Up to the quiet account's greatest level the loud one gets about the same rate: 125 of its 1,000.
    assert!((90..200).contains(&n_below), "{n_below} of the loud account are below");
}

#[derive(Clone, Debug, PartialEq)]
enum QueueStep {
    Offer { class: u8, account: u8, level: u16, time_left: u64 },
    Finish { idx: usize, sample: u8 },
    Cancel { idx: usize },
    SetSlots { slots: u32 },
    Pause { micros: u64 },
}

/// Each attempt gets exactly one end, and no more runs are started than there are slots. The queue's own assertions
/// check the rest.
#[test]
fn randomised_steps_leave_each_attempt_in_one_state() {
    let config = ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::deterministic_rng(Default::default()));
    let steps = prop::collection::vec(step_strategy(), 1..400);

    let checked = runner.run(&steps, |steps| {
        let mut run = QueueRun::new();
        steps.iter().for_each(|step| run.apply(step));
        run.drain();
        prop_assert!(run.waiting.is_empty() && run.running.is_empty());
        prop_assert_eq!(run.queue.load().in_flight + run.queue.load().queued, 0);
        Ok(())
    });

    assert_eq!(checked, Ok(()));
}

fn step_strategy() -> impl Strategy<Value = QueueStep> {
    prop_oneof![
        8 => (0..3_u8, 0..4_u8, any::<u16>(), 0..200_000_u64).prop_map(
            |(class, account, level, time_left)| {
                QueueStep::Offer { class, account, level, time_left }
            }
        ),
        6 => (any::<usize>(), 0..4_u8).prop_map(|(idx, sample)| QueueStep::Finish { idx, sample }),
        1 => any::<usize>().prop_map(|idx| QueueStep::Cancel { idx }),
        1 => (0..12_u32).prop_map(|slots| QueueStep::SetSlots { slots }),
        4 => (0..30_000_u64).prop_map(|micros| QueueStep::Pause { micros }),
    ]
}

/// A queue with what is expected of it.
struct QueueRun {
    queue: AdmissionQueue,
    now: TimePoint,
    slots: u32,
    next_serial: u64,
    waiting: HashSet<AttemptId>,
    running: Vec<AttemptId>,
}

impl QueueRun {
    fn new() -> QueueRun {
        QueueRun {
            queue: queue_of(AdmissionOptions { max_queue: 8, ..AdmissionOptions::default() }, 4),
            now: NOW,
            slots: 4,
            next_serial: 0,
            waiting: HashSet::new(),
            running: Vec::new(),
        }
    }

    fn apply(&mut self, step: &QueueStep) {
        let mut out = Vec::new();
        let n_running = self.running.len();
        match *step {
            QueueStep::Offer { class, account, level, time_left } => {
                self.next_serial += 1;
                let class =
                    [PriorityClass::Critical, PriorityClass::Normal, PriorityClass::Sheddable]
                        [usize::from(class)];
                let ticket = AdmissionRequest {
                    level,
                    account: Some(format!("account-{account}").into()),
                    deadline: self.now.plus(Duration::from_micros(time_left)),
                    ..ticket(self.next_serial, class)
                };
                self.waiting.insert(ticket.attempt.clone());
                self.queue.offer(self.now, ticket, &mut out);
            }
            QueueStep::Finish { idx, sample } if !self.running.is_empty() => {
                let attempt = self.running.swap_remove(idx % self.running.len());
                let latency = Duration::from_millis(10);
                let sample = match sample {
                    0 => RunSample::Failed { latency },
                    1 => RunSample::Overloaded,
                    2 => RunSample::Cancelled,
                    _ => RunSample::Completed { latency },
                };
                self.queue.finish(self.now, &attempt, sample, &mut out);
            }
            QueueStep::Cancel { idx } => {
                let serial = idx as u64 % (self.next_serial + 1);
                let waited = self.waiting.remove(&attempt(serial));
                assert_eq!(self.queue.cancel(self.now, &attempt(serial), &mut out), waited);
            }
            QueueStep::SetSlots { slots } => {
                self.slots = slots;
                self.queue.set_slots(self.now, slots, &mut out);
            }
            QueueStep::Pause { micros } => {
                self.now = self.now.plus(Duration::from_micros(micros));
                self.queue.tick(self.now, &mut out);
            }
            QueueStep::Finish { .. } => {}
        }
        self.obey(out);
        assert!(self.running.len() <= n_running.max(self.slots as usize));
    }

    fn obey(&mut self, out: Vec<AdmissionVerdict>) {
        for verdict in out {
            match verdict {
                AdmissionVerdict::Run { attempt } => {
                    assert!(self.waiting.remove(&attempt), "{attempt} was not waiting");
                    self.running.push(attempt);
                }
                AdmissionVerdict::Refuse { attempt, .. } => {
                    assert!(self.waiting.remove(&attempt), "{attempt} was not waiting");
                }
            }
        }
    }

    fn drain(&mut self) {
        self.apply(&QueueStep::SetSlots { slots: 1 });
        while !self.running.is_empty() {
            self.apply(&QueueStep::Finish { idx: 0, sample: 3 });
        }
        self.apply(&QueueStep::Pause { micros: 10_000_000 });
    }
}

fn queue_with(slots: u32) -> AdmissionQueue {
    queue_of(AdmissionOptions::default(), slots)
}

fn queue_of(options: AdmissionOptions, slots: u32) -> AdmissionQueue {
    let mut queue = AdmissionQueue::new(options);
    queue.set_slots(NOW, slots, &mut Vec::new());
    queue
}

fn refused(out: &[AdmissionVerdict]) -> Vec<(u64, RefusalReason)> {
    out.iter()
        .filter_map(|verdict| match verdict {
            AdmissionVerdict::Refuse { attempt, reason, .. } => Some((attempt.serial, *reason)),
            AdmissionVerdict::Run { .. } => None,
        })
        .collect()
}

fn later(millis: u64) -> TimePoint {
    NOW.plus(Duration::from_millis(millis))
}

fn ticket(serial: u64, class: PriorityClass) -> AdmissionRequest {
    AdmissionRequest {
        attempt: attempt(serial),
        class,
        level: (class as u16) << 14,
        account: Some("meteo".into()),
        weight: 1.0,
        deadline: NOW.plus(Duration::from_secs(1)),
        max_wait: Duration::from_millis(100),
    }
}

fn attempt(serial: u64) -> AttemptId {
    AttemptId { entry: MemberId { instance: "entry".into(), incarnation: 1 }, serial }
}

fn whole(millis: u64) -> RunSample {
    RunSample::Completed { latency: Duration::from_millis(millis) }
}

fn run(serial: u64) -> AdmissionVerdict {
    AdmissionVerdict::Run { attempt: attempt(serial) }
}
