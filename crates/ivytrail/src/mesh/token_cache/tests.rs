use super::*;

const NOW: TimePoint = TimePoint::from_millis(1_000);
/// Quota owner of all accounts.
const OWNER: &str = "i-owner";

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

/// What an entry spends without its quota owner must be reported once, and only as far as requests used it.
#[test]
fn tokens_spent_without_the_owner_are_reported_once() {
    let (account, owner) = (AccountName::from("meteo"), InstanceName::from(OWNER));
    let mut cache = TokenCache::default();
    (0..3).for_each(|_| cache.record_spent(&account, &owner, 1));
    cache.record_spent(&account, &"i-other".into(), 5);
    cache.reduce_spent(&account, &owner);

    let reported = [cache.take_spent(&owner), cache.take_spent(&owner)];

    assert_eq!(reported, [vec![(account, 2)], vec![]]);
}

/// Calls that wait for an owner whose link has closed must not wait for its response.
#[test]
fn waiting_calls_are_requested_from_the_next_owner() {
    let account = AccountName::from("meteo");
    let mut cache = TokenCache::default();
    for id in 0..3 {
        cache.acquire(NOW, &account, CallId(id));
    }
    cache.remove_waiting(&account, CallId(0));

    let first = cache.first_waiting(&account);
    let wanted = cache.request_for_waiting(NOW, &account);
    let (served, denied, next) = cache.apply_grant(NOW, &account, 2, 2);

    assert_eq!((first, wanted), (Some(CallId(1)), Some(2)));
    assert_eq!((served, denied, next), (vec![CallId(1), CallId(2)], vec![], None));
    assert_eq!(cache.request_for_waiting(NOW, &account), None);
}

/// An owner that stands still must not find many requests when it goes on, whose tokens nobody uses.
#[test]
fn a_request_without_a_response_is_repeated_rarely() {
    let account = AccountName::from("meteo");
    let mut cache = TokenCache::default();

    let n_requests = (0..200_u64)
        .filter(|n| {
            let now = NOW.plus(Duration::from_millis(10 * n));
            let decision = cache.acquire(now, &account, CallId(*n));
            cache.remove_waiting(&account, CallId(*n));
            cache.expire_request(now, &account);
            matches!(decision, TokenDecision::Pending { to_request: Some(_) })
        })
        .count();

    assert_eq!(n_requests, 10);
}

/// Requests that moved to other entries long ago must not let this one advance tokens at their former rate.
#[test]
fn the_rate_that_owners_granted_fades() {
    let account = AccountName::from("meteo");
    let mut cache = TokenCache::default();
    for n in 0..1_000_u64 {
        let now = NOW.plus(Duration::from_millis(10 * n));
        cache.acquire(now, &account, CallId(n));
        cache.apply_grant(now, &account, 1, 1);
    }
    let last = NOW.plus(Duration::from_secs(10));

    let at_once = cache.granted_per_s(last, &account);
    let later = cache.granted_per_s(last.plus(Duration::from_secs(30)), &account);

    assert!((90.0..=100.0).contains(&at_once), "{at_once} per second");
    assert!(later < 0.1, "{later} per second");
}
