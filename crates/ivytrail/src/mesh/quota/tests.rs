use super::*;

fn account(rate_per_s: f64, burst: f64) -> AccountPolicy {
    AccountPolicy { name: "meteo".into(), keys: Vec::new(), priority: None, rate_per_s, burst }
}

#[test]
fn a_home_grants_the_rate_and_the_burst_and_no_more() {
    let account = account(100.0, 50.0);
    let mut buckets = QuotaBuckets::default();

    let n_granted = (0..10_000_u64)
        .filter(|n| {
            let now = TimePoint::from_millis(n / 2);
            buckets.take_as_owner(now, &account, 0, 12, 1) == 1
        })
        .count() as f64;

    assert!(n_granted <= 100.0 * 5.0 + 50.0, "{n_granted} granted");
    assert!(100.0 * 4.9 <= n_granted, "{n_granted} granted");
}

/// A home and the daemons that it can't reach spend no more than the rate together.
#[test]
fn parts_of_a_cut_fleet_stay_within_the_rate() {
    let account = account(120.0, 12.0);
    let mut home = QuotaBuckets::default();
    let mut cut_off = vec![QuotaBuckets::default(); 4];

    let mut n_granted = 0_usize;
    for millis in 0..5_000 {
        let now = TimePoint::from_millis(millis);
        n_granted += home.take_as_owner(now, &account, 4, 12, 1) as usize;
        for buckets in &mut cut_off {
            n_granted += buckets.take_fallback(now, &account, 12, 1) as usize;
        }
    }

    assert!(n_granted as f64 <= 120.0 * 5.0 + 12.0 + 4.0, "{n_granted} granted");
}

#[test]
fn a_home_stays_when_another_daemon_ends() {
    let members: Vec<InstanceName> = (0..12).map(|n| format!("i-{n}").into()).collect();
    let home = quota_owner(&"meteo".into(), &members).expect("there are members").clone();
    let other = members.iter().find(|it| **it != home).expect("there are others");

    let left: Vec<&InstanceName> = members.iter().filter(|it| *it != other).collect();

    assert_eq!(quota_owner(&"meteo".into(), left), Some(&home));
}

const NOW: TimePoint = TimePoint::from_millis(1_000);

#[test]
fn an_entry_has_one_question_at_a_time_and_asks_for_all_that_wait() {
    let account = AccountName::from("meteo");
    let mut stash = TokenCache::default();

    let verdicts: Vec<_> = (0..4).map(|n| stash.acquire(NOW, &account, CallId(n))).collect();
    let (served, denied, to_request) = stash.apply_grant(NOW, &account, 1, 1);

    let asked =
        verdicts.iter().filter(|it| matches!(it, TokenDecision::Pending { to_request: Some(1) }));
    assert_eq!(asked.count(), 1);
    assert_eq!((served, denied, to_request), (vec![CallId(0)], vec![], Some(3)));
}

/// Pattern: one account sends several times its rate. Its home is asked a bounded number of times.
#[test]
fn an_account_far_over_its_rate_does_not_keep_its_home_busy() {
    let account = AccountName::from("meteo");
    let mut stash = TokenCache::default();
    let mut n_asked = 0;

    for n in 0..5_000_u64 {
        let now = NOW.plus(Duration::from_micros(200 * n));
        if let TokenDecision::Pending { to_request: Some(wanted) } =
            stash.acquire(now, &account, CallId(n))
        {
            n_asked += 1;
            let (_, _, to_request) = stash.apply_grant(now, &account, wanted, 0);
            assert_eq!(to_request, None);
        }
    }

    assert!(n_asked <= 26, "asked {n_asked} times in a second");
}

#[test]
fn a_token_that_was_given_back_goes_to_the_next_request_and_lapses() {
    let account = AccountName::from("meteo");
    let mut stash = TokenCache::default();
    stash.return_token(NOW, &account);
    stash.return_token(NOW, &account);

    let next = stash.acquire(NOW, &account, CallId(1));
    let later = stash.acquire(NOW.plus(TOKEN_LIFE), &account, CallId(2));

    assert_eq!(next, TokenDecision::Granted);
    assert!(matches!(later, TokenDecision::Pending { .. }), "{later:?}");
}

#[test]
fn a_call_that_left_leaves_its_token_to_the_next() {
    let account = AccountName::from("meteo");
    let mut stash = TokenCache::default();
    stash.acquire(NOW, &account, CallId(1));
    stash.remove_waiting(&account, CallId(1));

    let (served, denied, _) = stash.apply_grant(NOW, &account, 1, 1);

    assert_eq!((served, denied), (vec![], vec![]));
    assert_eq!(stash.acquire(NOW, &account, CallId(2)), TokenDecision::Granted);
}

/// Pattern: one account sends several times its rate while a service is short of slots.
#[test]
fn an_account_over_its_rate_gets_no_token_back() {
    let account = AccountName::from("meteo");
    let mut stash = TokenCache::default();
    stash.acquire(NOW, &account, CallId(1));
    stash.apply_grant(NOW, &account, 1, 0);
    let later = NOW.plus(DENIAL_TIME);

    stash.return_token(later, &account);

    let verdict = stash.acquire(later, &account, CallId(2));
    assert!(matches!(verdict, TokenDecision::Pending { .. }), "{verdict:?}");
}
