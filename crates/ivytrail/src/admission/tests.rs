//! Tests of admission control at the guard and at the entry.

use std::collections::HashSet;

use proptest::{
    prelude::*,
    test_runner::{TestRng, TestRunner},
};

use super::*;
use crate::id::{MemberId, RouteName};

const NOW: TimePoint = TimePoint::from_millis(1_000);

#[test]
fn an_attempt_starts_in_a_free_slot_and_the_next_one_waits() {
    let mut queue = queue_with(1);
    let mut out = Vec::new();

    queue.offer(NOW, request(1, PriorityClass::Normal), &mut out);
    queue.offer(NOW, request(2, PriorityClass::Normal), &mut out);
    queue.finish(NOW, &attempt(1), completed(10), &mut out);

    assert_eq!(out, [run(1), run(2)]);
}

#[test]
fn a_cancelled_waiting_attempt_is_not_run() {
    let mut queue = queue_with(1);
    let mut out = Vec::new();
    queue.offer(NOW, request(1, PriorityClass::Normal), &mut out);
    queue.offer(NOW, request(2, PriorityClass::Normal), &mut out);

    let waited = queue.cancel(NOW, &attempt(2), &mut out);
    queue.finish(NOW, &attempt(1), completed(10), &mut out);

    assert!(waited);
    assert!(!queue.cancel(NOW, &attempt(1), &mut out));
    assert_eq!(out, [run(1)]);
}

#[test]
fn a_critical_attempt_starts_before_earlier_sheddable_ones() {
    let mut queue = queue_with(1);
    let mut out = Vec::new();
    queue.offer(NOW, request(1, PriorityClass::Sheddable), &mut out);
    queue.offer(NOW, request(2, PriorityClass::Sheddable), &mut out);
    queue.offer(NOW, request(3, PriorityClass::Critical), &mut out);

    queue.finish(NOW, &attempt(1), completed(10), &mut out);

    assert_eq!(out, [run(1), run(3)]);
}

#[test]
fn eviction_takes_from_the_account_with_the_longest_queue() {
    let mut queue = queue_of(AdmissionOptions { max_queue: 3, ..AdmissionOptions::default() }, 1);
    let mut out = Vec::new();
    (1..=4).for_each(|serial| queue.offer(NOW, request(serial, PriorityClass::Normal), &mut out));
    out.clear();

    let other =
        AdmissionRequest { account: Some("small".into()), ..request(5, PriorityClass::Normal) };
    queue.offer(NOW, other, &mut out);
    queue.offer(NOW, request(6, PriorityClass::Sheddable), &mut out);

    assert_eq!(refused(&out), [(4, RefusalReason::Overloaded), (6, RefusalReason::Overloaded)]);
}

#[test]
fn an_attempt_that_cannot_meet_its_deadline_is_refused_immediately() {
    let mut queue = queue_with(1);
    let mut out = Vec::new();
    for serial in 0..100 {
        queue.offer(NOW, request(serial, PriorityClass::Normal), &mut out);
        queue.finish(NOW, &attempt(serial), completed(50), &mut out);
    }
    queue.offer(NOW, request(100, PriorityClass::Normal), &mut out);
    out.clear();

    let deadline = NOW.plus(Duration::from_millis(5));
    let late = AdmissionRequest { deadline, ..request(101, PriorityClass::Normal) };
    queue.offer(NOW, late, &mut out);

    assert_eq!(refused(&out), [(101, RefusalReason::DeadlineExceeded)]);
}

#[test]
fn an_attempt_is_refused_after_its_maximum_wait() {
    let mut queue = queue_with(1);
    let mut out = Vec::new();
    queue.offer(NOW, request(1, PriorityClass::Normal), &mut out);
    queue.offer(NOW, request(2, PriorityClass::Normal), &mut out);

    let expiry = queue.next_deadline().unwrap();
    queue.tick(expiry, &mut out);

    assert_eq!(expiry, NOW.plus(Duration::from_micros(100_001)));
    assert_eq!(refused(&out), [(2, RefusalReason::Overloaded)]);
    assert!(matches!(&out[1], AdmissionVerdict::Refuse { retry_after: Some(_), .. }));
}

#[test]
fn a_gate_threshold_is_probed_and_expires() {
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
fn a_threshold_restricts_the_heavy_account_to_the_rate_of_the_light_one() {
    let mut gate = EntryGate::new();
    let (light, heavy) = (AccountName::from("light"), AccountName::from("heavy"));
    let mut levels: [Vec<u16>; 2] = Default::default();
    for idx in 0..2_000_u64 {
        let now = later(idx);
        gate.admit(now, &"book-launch".into(), 0, 0).unwrap();
        let random = (idx * 40_503 % 65_536) as u16;
        if idx % 8 == 0 {
            levels[0].push(gate.assign_level(PriorityClass::Normal, Some(&light), random));
        }
        levels[1].push(gate.assign_level(PriorityClass::Normal, Some(&heavy), random));
    }

    let greatest = levels[0].iter().skip(125).max().unwrap();
    let n_below = levels[1].iter().skip(1_000).filter(|level| *level <= greatest).count();

    // Up to the light account's greatest level, the heavy account has about the same rate: 125 of its 1,000 requests.
    assert!(
        (90..200).contains(&n_below),
        "{n_below} requests of the heavy account are below the level"
    );
}

#[derive(Clone, Debug, PartialEq)]
enum QueueStep {
    Offer { class: u8, account: u8, level: u16, time_left: u64 },
    Finish { idx: usize, sample: u8 },
    Cancel { idx: usize },
    SetSlots { slots: u32 },
    Advance { micros: u64 },
}

/// Each attempt has exactly one outcome, and no attempt is started beyond the slots. The assertions in the queue check
/// its other invariants.
#[test]
fn randomised_steps_keep_each_attempt_in_one_state() {
    let config = ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::deterministic_rng(Default::default()));
    let steps = prop::collection::vec(step_strategy(), 1..400);

    let checked = runner.run(&steps, |steps| {
        let mut model = QueueModel::new();
        steps.iter().for_each(|step| model.apply(step));
        model.drain();
        prop_assert!(model.waiting.is_empty() && model.running.is_empty());
        prop_assert_eq!(model.queue.load().in_flight + model.queue.load().queued, 0);
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
        4 => (0..30_000_u64).prop_map(|micros| QueueStep::Advance { micros }),
    ]
}

/// A queue and a model of its expected state.
struct QueueModel {
    queue: AdmissionQueue,
    now: TimePoint,
    slots: u32,
    next_serial: u64,
    waiting: HashSet<AttemptId>,
    running: Vec<AttemptId>,
}

impl QueueModel {
    fn new() -> QueueModel {
        QueueModel {
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
                let request = AdmissionRequest {
                    level,
                    account: Some(format!("account-{account}").into()),
                    deadline: self.now.plus(Duration::from_micros(time_left)),
                    ..request(self.next_serial, class)
                };
                self.waiting.insert(request.attempt.clone());
                self.queue.offer(self.now, request, &mut out);
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
            QueueStep::Advance { micros } => {
                self.now = self.now.plus(Duration::from_micros(micros));
                self.queue.tick(self.now, &mut out);
            }
            QueueStep::Finish { .. } => {}
        }
        self.apply_verdicts(out);
        assert!(self.running.len() <= n_running.max(self.slots as usize));
    }

    fn apply_verdicts(&mut self, out: Vec<AdmissionVerdict>) {
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
        self.apply(&QueueStep::Advance { micros: 10_000_000 });
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

fn request(serial: u64, class: PriorityClass) -> AdmissionRequest {
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

fn completed(millis: u64) -> RunSample {
    RunSample::Completed { latency: Duration::from_millis(millis) }
}

fn run(serial: u64) -> AdmissionVerdict {
    AdmissionVerdict::Run { attempt: attempt(serial) }
}
