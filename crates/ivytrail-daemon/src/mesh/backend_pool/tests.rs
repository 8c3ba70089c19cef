use super::*;

/// A server that drops idle connections after 320 ms must fail one request only, not one on each pooled connection.
#[test]
fn a_failed_request_lowers_the_idle_limit_of_all_connections() {
    let mut limit = IdleLimit::default();
    let is_allowed_at_first = limit.allows(Duration::from_millis(900), true);

    limit.record_failure(Duration::from_millis(400));

    assert!(is_allowed_at_first);
    assert!(!limit.allows(Duration::from_millis(330), true));
    assert!(limit.allows(NON_IDEMPOTENT_IDLE_LIMIT / 2, true));
}

#[test]
fn the_idle_limit_grows_again_over_time() {
    let mut limit = IdleLimit::default();
    limit.record_failure(Duration::from_millis(400));

    for _ in 0..60 {
        limit.grow();
    }

    assert_eq!(limit, IdleLimit::default());
}

#[test]
fn a_non_idempotent_request_reuses_only_recently_used_connections() {
    let limit = IdleLimit::default();

    assert!(!limit.allows(Duration::from_millis(300), false));
    assert!(limit.allows(Duration::from_millis(300), true));
}
