use super::*;

/// A server that forgets connections after 320 ms breaks one request, not one on each connection.
#[test]
fn a_broken_request_shortens_the_rest_of_all_connections() {
    let mut limit = IdleLimit::default();
    let is_allowed_at_first = limit.allows(Duration::from_millis(900), true);

    limit.record_failure(Duration::from_millis(400));

    assert!(is_allowed_at_first);
    assert!(!limit.allows(Duration::from_millis(330), true));
    assert!(limit.allows(NON_IDEMPOTENT_IDLE_LIMIT / 2, true));
}

#[test]
fn the_allowed_rest_grows_again() {
    let mut limit = IdleLimit::default();
    limit.record_failure(Duration::from_millis(400));

    for _ in 0..60 {
        limit.grow();
    }

    assert_eq!(limit, IdleLimit::default());
}

#[test]
fn a_request_that_may_run_once_takes_only_fresh_connections() {
    let limit = IdleLimit::default();

    assert!(!limit.allows(Duration::from_millis(300), false));
    assert!(limit.allows(Duration::from_millis(300), true));
}
