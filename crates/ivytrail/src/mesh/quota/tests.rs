use super::*;

fn account(rate_per_s: f64, burst: f64) -> AccountPolicy {
    AccountPolicy { name: "meteo".into(), keys: Vec::new(), priority: None, rate_per_s, burst }
}

fn granted(verdict: QuotaVerdict) -> bool {
    verdict == QuotaVerdict::Granted
}

#[test]
fn a_home_grants_the_rate_and_the_burst_and_no_more() {
    let account = account(100.0, 50.0);
    let mut buckets = QuotaBuckets::default();

    let n_granted = (0..10_000_u64)
        .filter(|n| {
            let now = TimePoint::from_millis(n / 2);
            granted(buckets.take_as_home(now, &account, 0, 12))
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
        n_granted += usize::from(granted(home.take_as_home(now, &account, 4, 12)));
        for buckets in &mut cut_off {
            n_granted += usize::from(granted(buckets.take_fallback(now, &account, 12)));
        }
    }

    assert!(n_granted as f64 <= 120.0 * 5.0 + 12.0 + 4.0, "{n_granted} granted");
}

#[test]
fn a_refused_request_is_told_when_the_next_token_comes() {
    let account = account(2.0, 1.0);
    let mut buckets = QuotaBuckets::default();
    while granted(buckets.take_as_home(TimePoint::ORIGIN, &account, 0, 1)) {}

    let verdict = buckets.take_as_home(TimePoint::ORIGIN, &account, 0, 1);

    let QuotaVerdict::Denied { retry_after } = verdict else { panic!("granted") };
    let now = TimePoint::ORIGIN.plus(retry_after + Duration::from_millis(1));
    assert!(granted(buckets.take_as_home(now, &account, 0, 1)));
}

#[test]
fn a_home_stays_when_another_daemon_ends() {
    let members: Vec<InstanceName> = (0..12).map(|n| format!("i-{n}").into()).collect();
    let home = home_of(&"meteo".into(), &members).expect("there are members").clone();
    let other = members.iter().find(|it| **it != home).expect("there are others");

    let left: Vec<&InstanceName> = members.iter().filter(|it| *it != other).collect();

    assert_eq!(home_of(&"meteo".into(), left), Some(&home));
}

#[test]
fn a_token_that_was_given_back_is_granted_again() {
    let account = account(1.0, 10.0);
    let mut buckets = QuotaBuckets::default();
    while granted(buckets.take_as_home(TimePoint::ORIGIN, &account, 0, 1)) {}

    buckets.give_back(&account.name);

    assert!(granted(buckets.take_as_home(TimePoint::ORIGIN, &account, 0, 1)));
    assert!(!granted(buckets.take_as_home(TimePoint::ORIGIN, &account, 0, 1)));
}
