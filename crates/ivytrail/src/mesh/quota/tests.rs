use super::*;

fn account(rate_per_s: f64, burst: f64) -> AccountPolicy {
    AccountPolicy { name: "meteo".into(), keys: Vec::new(), priority: None, rate_per_s, burst }
}

/// Returns the contact of a daemon with 11 others, of which `n_absent` have been out of contact since `since`.
fn contact_at(now: TimePoint, n_absent: usize, since: TimePoint) -> FleetContact {
    let absence_s = now.since(since).as_secs_f64() * n_absent as f64;
    FleetContact { n_daemons: 12, n_absent, absence_s }
}

/// Returns the contact of a daemon with `n_daemons - 1` others, none of which was ever out of contact.
fn undisturbed(n_daemons: usize) -> FleetContact {
    FleetContact { n_daemons, ..FleetContact::default() }
}

#[test]
fn an_owner_grants_no_more_than_the_rate_and_the_burst() {
    let account = account(100.0, 50.0);
    let mut buckets = QuotaBuckets::default();

    let n_granted = (0..10_000_u64)
        .filter(|n| {
            let now = TimePoint::from_millis(n / 2);
            buckets.take_as_owner(now, &account, &undisturbed(12), 1) == 1
        })
        .count() as f64;

    assert!(n_granted <= 100.0 * 5.0 + 50.0, "{n_granted} granted");
    assert!(100.0 * 4.9 <= n_granted, "{n_granted} granted");
}

/// An owner and the daemons that it cannot reach together stay within the rate.
#[test]
fn a_partitioned_fleet_stays_within_the_rate() {
    let account = account(120.0, 12.0);
    let mut owner = QuotaBuckets::default();
    let mut unreachable = vec![QuotaBuckets::default(); 4];

    let mut n_granted = 0_usize;
    for millis in 0..5_000 {
        let now = TimePoint::from_millis(millis);
        n_granted +=
            owner.take_as_owner(now, &account, &contact_at(now, 4, TimePoint::ORIGIN), 1) as usize;
        for buckets in &mut unreachable {
            n_granted += buckets.take_fallback(now, &account, 12, 1) as usize;
        }
    }

    assert!(n_granted as f64 <= 120.0 * 5.0 + 12.0 + 4.0, "{n_granted} granted");
}

#[test]
fn the_owner_stays_when_another_daemon_exits() {
    let members: Vec<InstanceName> = (0..12).map(|n| format!("i-{n}").into()).collect();
    let owner = quota_owner(&"meteo".into(), &members).expect("there are members").clone();
    let other = members.iter().find(|it| **it != owner).expect("there are others");

    let remaining: Vec<&InstanceName> = members.iter().filter(|it| *it != other).collect();

    assert_eq!(quota_owner(&"meteo".into(), remaining), Some(&owner));
}

const NOW: TimePoint = TimePoint::from_millis(1_000);

/// Rate of the account in [`n_granted_with_returns`], in requests per second.
const RATE_PER_S: f64 = 100.0;
/// Seconds in which [`n_granted_with_returns`] counts, after as many without counting.
const COUNTED_S: f64 = 5.0;

/// Returns the number of tokens that are granted within [`COUNTED_S`] to an account that sends `load` times its rate, if
/// each granted token is returned at once.
fn n_granted_with_returns(load: f64) -> usize {
    let account = account(RATE_PER_S, 10.0);
    let mut buckets = QuotaBuckets::default();
    let per_s = RATE_PER_S * load;
    let is_granted = |n: &u64| {
        let now = TimePoint::from_micros((*n as f64 * 1e6 / per_s) as u64);
        let granted = buckets.take_as_owner(now, &account, &undisturbed(12), 1);
        buckets.put_back_as_owner(&account, granted);
        granted == 1
    };
    let granted: Vec<u64> = (0..(per_s * 2.0 * COUNTED_S) as u64).filter(is_granted).collect();
    granted.into_iter().filter(|n| (per_s * COUNTED_S) as u64 <= *n).count()
}

/// An account within its rate gets all of its requests refused for want of slots. They must not use up its quota.
#[test]
fn returned_tokens_of_an_account_within_its_rate_are_granted_again() {
    let account = account(5.0, 5.0);
    let mut buckets = QuotaBuckets::default();
    for n in 0..50 {
        let now = NOW.plus(Duration::from_millis(250 * n));
        assert_eq!(buckets.take_as_owner(now, &account, &undisturbed(95), 1), 1, "request {n}");

        buckets.put_back_as_owner(&account, 1);
    }
}

#[test]
fn returned_tokens_never_exceed_the_burst() {
    let account = account(1.0, 10.0);
    let mut buckets = QuotaBuckets::default();
    buckets.take_as_owner(NOW, &account, &undisturbed(95), 1);

    buckets.put_back_as_owner(&account, 500);

    assert_eq!(buckets.take_as_owner(NOW, &account, &undisturbed(95), 500), 10);
}

/// One account sends several times its rate while a service is overloaded and its admitted calls are refused.
#[test]
fn an_account_far_over_its_rate_gets_few_tokens_back() {
    let (at_rate, over_rate) = (n_granted_with_returns(1.0), n_granted_with_returns(8.0));

    let n_allowed = RATE_PER_S * COUNTED_S;
    assert_eq!(at_rate as f64, n_allowed);
    // Returns may raise what an account far over its rate gets by a quarter.
    assert!(over_rate as f64 <= 1.25 * n_allowed, "{over_rate} granted at eight times the rate");
}

/// Within its rate and burst, the account can't have more than what the owner granted before it lost contact, and its
/// rate since then.
#[test]
fn an_owner_earns_only_its_own_share_while_it_has_no_contact() {
    let account = account(120.0, 120.0);
    let mut buckets = QuotaBuckets::default();
    buckets.take_as_owner(NOW, &account, &undisturbed(12), 1_000);
    let later = NOW.plus(Duration::from_secs(6));

    let granted = buckets.take_as_owner(
        later,
        &account,
        &FleetContact { absence_s: 66.0, ..undisturbed(12) },
        1_000,
    );

    assert_eq!(granted, 60);
}

#[test]
fn an_owner_that_has_lost_contact_keeps_the_tokens_that_it_had() {
    let account = account(120.0, 120.0);
    let mut buckets = QuotaBuckets::default();
    buckets.take_as_owner(NOW, &account, &undisturbed(12), 0);
    let full = NOW.plus(Duration::from_secs(10));
    buckets.take_as_owner(full, &account, &undisturbed(12), 0);

    let contact = FleetContact { absence_s: 11.0, ..undisturbed(12) };
    let granted =
        buckets.take_as_owner(full.plus(Duration::from_secs(1)), &account, &contact, 1_000);

    assert_eq!(granted, 120);
}

/// Ownership may move back and forth many times within seconds.
#[test]
fn a_standby_bucket_that_is_used_again_and_again_grants_its_first_tokens_once() {
    let account = account(100.0, 100.0);
    let mut buckets = QuotaBuckets::default();

    let granted: u32 = (0..50)
        .map(|n| {
            let now = NOW.plus(Duration::from_millis(100 * n));
            let granted = buckets.take_as_owner(now, &account, &undisturbed(12), 100);
            buckets.release_foreign(now, |_| false);
            granted
        })
        .sum();

    // A fifth of the burst, and a twentieth of the rate for five seconds.
    assert!((20..=45).contains(&granted), "{granted} granted");
}

#[test]
fn a_fallback_bucket_earns_only_while_the_owner_does_not_respond() {
    let account = account(120.0, 120.0);
    let mut buckets = QuotaBuckets::default();
    buckets.take_fallback(NOW, &account, 12, 1);
    buckets.release_fallback(NOW, &account.name);

    let granted = buckets.take_fallback(NOW.plus(Duration::from_secs(60)), &account, 12, 100);

    // The first token, and those of the time that the entry has waited for the owner.
    assert_eq!(granted, 2);
}

/// An owner that did not notice that it was out of contact has earned the whole rate for that time.
#[test]
fn tokens_spent_without_the_owner_are_taken_from_its_bucket() {
    let account = account(100.0, 100.0);
    let mut buckets = QuotaBuckets::default();
    buckets.take_as_owner(NOW, &account, &undisturbed(12), 0);
    let full = NOW.plus(Duration::from_secs(10));

    buckets.settle_as_owner(full, &account, &undisturbed(12), 70);

    assert_eq!(buckets.take_as_owner(full, &account, &undisturbed(12), 1_000), 30);
}

/// An owner that did notice it has not earned the shares of the others, and must not pay for them twice.
#[test]
fn tokens_spent_without_the_owner_are_covered_by_what_it_has_not_earned() {
    let account = account(120.0, 240.0);
    let mut buckets = QuotaBuckets::default();
    buckets.take_as_owner(NOW, &account, &undisturbed(12), 1_000);
    let later = NOW.plus(Duration::from_secs(1));
    let contact = FleetContact { absence_s: 11.0, ..undisturbed(12) };

    buckets.settle_as_owner(later, &account, &contact, 100);

    // Its own share for the second. Of the 110 tokens of the others' shares, 100 were spent.
    assert_eq!(buckets.take_as_owner(later, &account, &contact, 1_000), 10);
}

/// The owner has granted no more than the rate to all entries together, so that what they advance does not exceed it.
#[test]
fn an_entry_advances_tokens_at_the_rate_that_its_owner_granted_for_a_short_time() {
    let account = account(120.0, 120.0);
    let mut buckets = QuotaBuckets::default();
    let n_advanced = |buckets: &mut QuotaBuckets, from: TimePoint| {
        let times = (0..300).map(|n| from.plus(Duration::from_millis(10 * n)));
        times.filter(|now| buckets.take_advance(*now, &account, 12, 90.0)).count()
    };

    let first = n_advanced(&mut buckets, NOW);
    buckets.release_fallback(NOW, &account.name);
    let second = n_advanced(&mut buckets, NOW.plus(Duration::from_secs(60)));

    // 80 per second beside the share of ten, for 550 ms.
    assert_eq!((first, second), (44, 44));
}

#[test]
fn an_entry_whose_share_exceeds_what_its_owner_granted_advances_nothing() {
    let account = account(120.0, 120.0);
    let mut buckets = QuotaBuckets::default();

    let is_advanced = (0..100).any(|n| {
        let now = NOW.plus(Duration::from_millis(10 * n));
        buckets.take_advance(now, &account, 12, 9.0)
    });

    assert!(!is_advanced);
}

/// Entries may have spent tokens before a daemon became the owner, or while it did not know the account.
#[test]
fn a_bucket_does_not_owe_what_was_spent_before_it_became_active() {
    let account = account(100.0, 100.0);
    let mut buckets = QuotaBuckets::default();
    buckets.take_as_owner(NOW, &account, &undisturbed(12), 0);

    buckets.settle_as_owner(NOW, &account, &undisturbed(12), 500);

    assert_eq!(buckets.take_as_owner(NOW, &account, &undisturbed(12), 1_000), 20);
}
