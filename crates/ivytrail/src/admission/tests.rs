//! Tests of admission at the guard.

use super::*;
use crate::id::MemberId;

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

fn queue_with(slots: u32) -> AdmissionQueue {
    let mut queue = AdmissionQueue::new(AdmissionOptions::default());
    queue.set_slots(NOW, slots, &mut Vec::new());
    queue
}

fn ticket(serial: u64, class: PriorityClass) -> AdmissionTicket {
    AdmissionTicket {
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
    RunSample::Whole { latency: Duration::from_millis(millis) }
}

fn run(serial: u64) -> AdmissionVerdict {
    AdmissionVerdict::Run { attempt: attempt(serial) }
}
