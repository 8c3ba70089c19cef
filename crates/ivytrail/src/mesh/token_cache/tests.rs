use super::*;

const NOW: TimePoint = TimePoint::from_millis(1_000);

#[test]
fn an_entry_has_one_outstanding_request_and_then_requests_for_all_waiting_calls() {
    let account = AccountName::from("meteo");
    let mut cache = TokenCache::default();

    let decisions: Vec<_> = (0..4).map(|n| cache.acquire(NOW, &account, CallId(n))).collect();
    let (served, denied, to_request) = cache.apply_grant(NOW, &account, 1, 1);

    let requesting =
        decisions.iter().filter(|it| matches!(it, TokenDecision::Pending { to_request: Some(1) }));
    assert_eq!(requesting.count(), 1);
    assert_eq!((served, denied, to_request), (vec![CallId(0)], vec![], Some(3)));
}

/// One account sends several times its rate; the number of requests to its owner is bounded.
#[test]
fn an_account_far_over_its_rate_does_not_keep_its_owner_busy() {
    let account = AccountName::from("meteo");
    let mut cache = TokenCache::default();
    let mut n_requests = 0;

    for n in 0..5_000_u64 {
        let now = NOW.plus(Duration::from_micros(200 * n));
        if let TokenDecision::Pending { to_request: Some(wanted) } =
            cache.acquire(now, &account, CallId(n))
        {
            n_requests += 1;
            let (_, _, to_request) = cache.apply_grant(now, &account, wanted, 0);
            assert_eq!(to_request, None);
        }
    }

    assert!(n_requests <= 26, "{n_requests} requests in a second");
}

#[test]
fn the_token_of_a_removed_call_goes_to_the_next() {
    let account = AccountName::from("meteo");
    let mut cache = TokenCache::default();
    cache.acquire(NOW, &account, CallId(1));
    cache.remove_waiting(&account, CallId(1));

    let (served, denied, _) = cache.apply_grant(NOW, &account, 1, 1);

    assert_eq!((served, denied), (vec![], vec![]));
    assert_eq!(cache.acquire(NOW, &account, CallId(2)), TokenDecision::Granted);
}

#[test]
fn tokens_from_the_fallback_bucket_are_requested_from_the_owner_and_discarded() {
    let account = AccountName::from("meteo");
    let mut cache = TokenCache::default();
    (0..3).for_each(|_| cache.record_debt(&account));
    cache.acquire(NOW, &account, CallId(1));

    let (served, denied, to_request) = cache.apply_grant(NOW, &account, 1, 1);
    assert_eq!((served, denied, to_request), (vec![], vec![], Some(3)));
    let (served, denied, to_request) = cache.apply_grant(NOW, &account, 3, 3);

    assert_eq!((served, denied, to_request), (vec![CallId(1)], vec![], None));
}
