mod fleet;

use std::time::Duration;

use proptest::prelude::*;

use self::fleet::{FleetCase, FleetFault, QuotaFleet, cases, overrun};
use super::*;
use crate::{id::CallId, time::TimePoint};

#[test]
fn request_waits_for_a_grant_and_is_admitted() {
    let account = AccountName::from("meteo");
    let mut cache = TokenCache::new(QuotaOptions::default(), 1);
    let mut owner = QuotaOwner::new(QuotaOptions::default());
    cache.set_account(TimePoint::ORIGIN, &account, 100.0, 50.0);
    owner.set_account(TimePoint::ORIGIN, &account, 100.0, 50.0);
    owner.renew(TimePoint::ORIGIN, TimePoint::from_millis(10_000));
    (0..MAX_SHARES).for_each(|it| owner.acquire_share(TimePoint::ORIGIN, &account, it));
    let now = TimePoint::from_millis(5_000);
    let mut out = Vec::new();

    let verdict = cache.acquire(now, &account, CallId(1), &mut out);
    let Some(QuotaEffect::SendRequest { request, .. }) = out.pop() else {
        panic!("no token request in {out:?}")
    };
    let grant = owner.grant_tokens(now, now.plus(Duration::from_secs(1)), &request);
    cache.apply_grant(now, &grant, &mut out);

    assert_eq!(verdict, QuotaVerdict::Waiting);
    assert_eq!(out, [QuotaEffect::Admit { call: CallId(1) }]);
}

fn faultless_case() -> FleetCase {
    FleetCase {
        rate: 300,
        burst: 60,
        n_entries: 3,
        n_owners: 3,
        max_delay_us: 2_000,
        drop_percent: 0,
        duplicate_percent: 0,
        phases: vec![(1_000_000, 0), (3_000_000, 90), (3_000_000, 300)],
        pauses: Vec::new(),
        seed: 11,
        fault: FleetFault::None,
    }
}

fn run(case: FleetCase) -> (QuotaFleet, i128) {
    let (rate, burst) = (case.rate, case.burst);
    let mut fleet = QuotaFleet::new(case);
    fleet.run();
    let overrun = overrun(&fleet.uses, rate, burst);
    (fleet, overrun)
}

#[test]
fn returned_token_serves_another_call_until_it_expires() {
    let account = AccountName::from("meteo");
    let admitted = TimePoint::from_millis(5_000);
    let decision_at = |pause_ms: u64| {
        let mut cache = cache_with_spent_token(&account, admitted);
        let later = admitted.plus(Duration::from_millis(pause_ms));
        cache.return_token(later, &account, CallId(1));
        cache.acquire(later, &account, CallId(2), &mut Vec::new())
    };

    assert_eq!(decision_at(5), QuotaVerdict::Granted);
    assert_eq!(decision_at(500), QuotaVerdict::Waiting);
}

/// Returns a cache in which call 1 has spent the only token.
fn cache_with_spent_token(account: &AccountName, now: TimePoint) -> TokenCache {
    let mut cache = TokenCache::new(QuotaOptions::default(), 1);
    let mut owner = QuotaOwner::new(QuotaOptions::default());
    cache.set_account(TimePoint::ORIGIN, account, 100.0, 50.0);
    owner.set_account(TimePoint::ORIGIN, account, 100.0, 50.0);
    owner.renew(TimePoint::ORIGIN, TimePoint::from_millis(10_000));
    (0..MAX_SHARES).for_each(|it| owner.acquire_share(TimePoint::ORIGIN, account, it));
    let mut out = Vec::new();
    cache.acquire(now, account, CallId(1), &mut out);
    let Some(QuotaEffect::SendRequest { request, .. }) = out.pop() else {
        panic!("no token request in {out:?}")
    };
    let grant = owner.grant_tokens(now, now.plus(Duration::from_secs(1)), &request);
    cache.apply_grant(now, &grant, &mut out);
    assert_eq!(out, [QuotaEffect::Admit { call: CallId(1) }]);
    cache
}

#[test]
fn overrun_counts_the_busiest_window() {
    assert_eq!(overrun(&[0, 0, 0, 500_000], 2, 3), 0);
    assert_eq!(overrun(&[0, 0, 0, 499_999], 2, 3), 2);
}

#[test]
fn fleet_without_faults_refuses_nothing_within_the_rate() {
    let case = FleetCase { phases: vec![(1_000_000, 0), (3_000_000, 90)], ..faultless_case() };
    let (fleet, overrun) = run(case);
    assert_eq!((fleet.n_refused, fleet.uses.len()), (0, 810));
    assert!(overrun <= 0);
}

#[test]
fn fleet_uses_nearly_the_whole_rate_under_overload() {
    let (fleet, overrun) = run(faultless_case());
    assert!(1_600 < fleet.uses.len(), "{} uses", fleet.uses.len());
    assert!(overrun <= 0);
}

#[test]
fn check_finds_a_second_owner() {
    let (_, overrun) = run(FleetCase { fault: FleetFault::DoubleOwner, ..faultless_case() });
    assert!(0 < overrun);
}

#[test]
fn check_finds_tokens_with_an_excessive_ttl() {
    let phases = vec![(1_000_000, 300), (600_000, 0), (300_000, 2_000)];
    let case =
        FleetCase { fault: FleetFault::LongTtl, max_delay_us: 150_000, phases, ..faultless_case() };
    let (_, overrun) = run(case);
    assert!(0 < overrun);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn uses_stay_within_rate_and_burst(case in cases()) {
        let (_, overrun) = run(case);
        prop_assert!(overrun <= 0, "the busiest window holds {} millionths of a request above the limit", overrun);
    }
}

#[test]
fn owner_releases_its_shares_after_its_lease_lapsed() {
    let account = AccountName::from("meteo");
    let mut owner = QuotaOwner::new(QuotaOptions::default());
    owner.set_account(TimePoint::ORIGIN, &account, 100.0, 50.0);
    owner.renew(TimePoint::ORIGIN, TimePoint::from_millis(1_000));
    owner.acquire_share(TimePoint::ORIGIN, &account, 0);

    owner.renew(TimePoint::from_millis(900), TimePoint::from_millis(1_900));
    assert!(owner.owns(&account, 0));
    owner.renew(TimePoint::from_millis(1_901), TimePoint::from_millis(2_900));
    assert!(!owner.owns(&account, 0));
}

#[test]
fn undelivered_request_is_sent_to_another_share() {
    let account = AccountName::from("meteo");
    let mut cache = TokenCache::new(QuotaOptions::default(), 1);
    cache.set_account(TimePoint::ORIGIN, &account, 100.0, 50.0);
    let now = TimePoint::from_millis(5_000);
    let mut out = Vec::new();
    cache.acquire(now, &account, CallId(1), &mut out);
    let Some(QuotaEffect::SendRequest { request, .. }) = out.pop() else {
        panic!("no token request in {out:?}")
    };

    cache.handle_failed_request(now, &request, &mut out);

    let is_other_share = |it: &QuotaEffect| {
        matches!(it,
            QuotaEffect::SendRequest { share, .. } if *share != request.share)
    };
    assert!(out.len() == 1 && out.iter().all(is_other_share), "{out:?}");
}

#[test]
fn removing_an_account_refuses_its_waiting_calls() {
    let account = AccountName::from("meteo");
    let mut cache = TokenCache::new(QuotaOptions::default(), 1);
    cache.set_account(TimePoint::ORIGIN, &account, 100.0, 50.0);
    let mut out = Vec::new();
    cache.acquire(TimePoint::ORIGIN, &account, CallId(1), &mut out);
    out.clear();

    cache.remove_account(&account, &mut out);

    assert!(matches!(out[..], [QuotaEffect::Refuse { call: CallId(1), .. }]), "{out:?}");
}

/// The first owner is paused and loses its shares to the second one, which accumulates and spends tokens and is then
/// paused itself. The first owner must not issue the tokens that it would have accumulated in the meantime.
#[test]
fn reacquired_share_starts_empty() {
    let case = FleetCase {
        rate: 20,
        burst: 200,
        n_entries: 1,
        n_owners: 2,
        phases: vec![(9_300_000, 0), (100_000, 3_000), (1_400_000, 0), (100_000, 3_000)],
        pauses: vec![(1, 500_000, 1_500_000), (2, 9_500_000, 2_500_000)],
        ..faultless_case()
    };
    let (fleet, overrun) = run(case);
    assert!(140 < fleet.uses.len(), "{} uses", fleet.uses.len());
    assert!(overrun <= 0);
}

#[test]
fn burst_too_small_for_the_token_ttl_lowers_the_issue_rate() {
    let plan = |rate, burst| QuotaPlan::new(rate, burst, &QuotaOptions::default());
    assert_eq!(plan(100.0, 0.5), None);
    assert!(plan(10.0, 1.0).is_some_and(|it| (8.9..9.1).contains(&it.issue_rate_per_s())));
    assert!(plan(10.0, 2.0).is_some_and(|it| it.issue_rate_per_s() == 10.0 && it.n_shares() == 1));
    assert!(plan(300.0, 300.0).is_some_and(|it| it.n_shares() == MAX_SHARES));
}
