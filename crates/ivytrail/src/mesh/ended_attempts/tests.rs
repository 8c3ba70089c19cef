use super::*;
use crate::message::RefusalReason;

fn attempt(serial: u64) -> AttemptId {
    AttemptId { entry: MemberId { instance: "i-1".into(), incarnation: 1 }, serial }
}

fn large_body() -> Bytes {
    Bytes::from(vec![0; MAX_KEPT_BYTES / 2])
}

fn result() -> AttemptResult {
    AttemptResult::not_run(RefusalReason::Overloaded, None)
}

/// A tombstone that was added before the replies must not stop the replies from being dropped.
#[test]
fn replies_over_the_size_limit_are_dropped_despite_an_older_tombstone() {
    let mut ended = EndedAttempts::default();
    let now = TimePoint::from_millis(1_000);
    ended.add_tombstone(now, attempt(1));
    for serial in 2..12 {
        ended.keep_reply(now, attempt(serial), result(), large_body());
    }

    ended.expire(now);

    assert!(ended.n_kept_bytes <= MAX_KEPT_BYTES, "{} bytes", ended.n_kept_bytes);
    assert!(matches!(ended.status(&attempt(1)), AttemptStatus::Tombstone));
    assert!(matches!(ended.status(&attempt(2)), AttemptStatus::Forgotten));
    assert!(matches!(ended.status(&attempt(11)), AttemptStatus::Replied { .. }));
}

#[test]
fn a_tombstone_outlives_the_replies_and_then_counts_as_forgotten() {
    let mut ended = EndedAttempts::default();
    let now = TimePoint::from_millis(1_000);
    ended.keep_reply(now, attempt(1), result(), Bytes::new());
    ended.add_tombstone(now, attempt(2));

    ended.expire(now.plus(REPLY_TTL));
    let is_kept = matches!(ended.status(&attempt(2)), AttemptStatus::Tombstone);
    ended.expire(now.plus(TOMBSTONE_TTL));

    assert!(is_kept);
    assert!(matches!(ended.status(&attempt(2)), AttemptStatus::Forgotten));
}
