mod fleet;

use std::time::Duration;

use proptest::prelude::*;

use self::fleet::{FleetCase, FleetFault, QuotaFleet, cases, overrun};
use super::*;
use crate::{id::CallId, time::TimePoint};

#[test]
fn request_waits_for_a_grant_and_is_admitted() {
    let account = AccountName::from("meteo");
    let mut stash = TokenCache::new(QuotaOptions::default(), 1);
    let mut home = QuotaOwner::new(QuotaOptions::default());
    stash.set_account(TimePoint::ORIGIN, &account, 100.0, 50.0);
    home.set_account(TimePoint::ORIGIN, &account, 100.0, 50.0);
    home.renew(TimePoint::ORIGIN, TimePoint::from_millis(10_000));
    (0..MAX_SHARES).for_each(|it| home.acquire_share(TimePoint::ORIGIN, &account, it));
    let now = TimePoint::from_millis(5_000);
    let mut out = Vec::new();

    let verdict = stash.acquire(now, &account, CallId(1), &mut out);
    let Some(QuotaEffect::SendRequest { request: ask, .. }) = out.pop() else {
        panic!("no ask in {out:?}")
    };
    let grant = home.grant_tokens(now, now.plus(Duration::from_secs(1)), &ask);
    stash.apply_grant(now, &grant, &mut out);

    assert_eq!(verdict, QuotaVerdict::Waiting);
    assert_eq!(out, [QuotaEffect::Admit { call: CallId(1) }]);
}

fn calm_case() -> FleetCase {
    FleetCase {
        rate: 300,
        burst: 60,
        n_entries: 3,
        n_homes: 3,
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
fn token_of_a_call_that_has_not_run_serves_another_until_it_is_void() {
    let account = AccountName::from("meteo");
    let admitted = TimePoint::from_millis(5_000);
    let used_at = |pause_ms: u64| {
        let mut stash = stash_with_spent_token(&account, admitted);
        let later = admitted.plus(Duration::from_millis(pause_ms));
        stash.return_token(later, &account, CallId(1));
        stash.acquire(later, &account, CallId(2), &mut Vec::new())
    };

    assert_eq!(used_at(5), QuotaVerdict::Granted);
    assert_eq!(used_at(500), QuotaVerdict::Waiting);
}

/// Returns a stash in which call 1 has spent the only token.
fn stash_with_spent_token(account: &AccountName, now: TimePoint) -> TokenCache {
    let mut stash = TokenCache::new(QuotaOptions::default(), 1);
    let mut home = QuotaOwner::new(QuotaOptions::default());
    stash.set_account(TimePoint::ORIGIN, account, 100.0, 50.0);
    home.set_account(TimePoint::ORIGIN, account, 100.0, 50.0);
    home.renew(TimePoint::ORIGIN, TimePoint::from_millis(10_000));
    (0..MAX_SHARES).for_each(|it| home.acquire_share(TimePoint::ORIGIN, account, it));
    let mut out = Vec::new();
    stash.acquire(now, account, CallId(1), &mut out);
    let Some(QuotaEffect::SendRequest { request: ask, .. }) = out.pop() else {
        panic!("no ask in {out:?}")
    };
    let grant = home.grant_tokens(now, now.plus(Duration::from_secs(1)), &ask);
    stash.apply_grant(now, &grant, &mut out);
    assert_eq!(out, [QuotaEffect::Admit { call: CallId(1) }]);
    stash
}

#[test]
fn overrun_counts_the_busiest_window() {
    assert_eq!(overrun(&[0, 0, 0, 500_000], 2, 3), 0);
    assert_eq!(overrun(&[0, 0, 0, 499_999], 2, 3), 2);
}

#[test]
fn calm_fleet_refuses_nothing_within_the_rate() {
    let case = FleetCase { phases: vec![(1_000_000, 0), (3_000_000, 90)], ..calm_case() };
    let (fleet, overrun) = run(case);
    assert_eq!((fleet.n_refused, fleet.uses.len()), (0, 810));
    assert!(overrun <= 0);
}

#[test]
fn fleet_uses_nearly_the_whole_rate_under_overload() {
    let (fleet, overrun) = run(calm_case());
    assert!(1_600 < fleet.uses.len(), "{} uses", fleet.uses.len());
    assert!(overrun <= 0);
}

#[test]
fn check_finds_a_second_owner() {
    let (_, overrun) = run(FleetCase { fault: FleetFault::DoubleOwner, ..calm_case() });
    assert!(0 < overrun);
}

#[test]
fn check_finds_tokens_that_live_too_long() {
    let phases = vec![(1_000_000, 300), (600_000, 0), (300_000, 2_000)];
    let case =
        FleetCase { fault: FleetFault::LongHold, max_delay_us: 150_000, phases, ..calm_case() };
    let (_, overrun) = run(case);
    assert!(0 < overrun);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn uses_stay_within_rate_and_burst(case in cases()) {
        let (_, overrun) = run(case);
        prop_assert!(overrun <= 0, "the busiest window holds {} millionths of a request too many", overrun);
    }
}

#[test]
fn home_whose_lease_lapsed_gives_up_its_shares() {
    let account = AccountName::from("meteo");
    let mut home = QuotaOwner::new(QuotaOptions::default());
    home.set_account(TimePoint::ORIGIN, &account, 100.0, 50.0);
    home.renew(TimePoint::ORIGIN, TimePoint::from_millis(1_000));
    home.acquire_share(TimePoint::ORIGIN, &account, 0);

    home.renew(TimePoint::from_millis(900), TimePoint::from_millis(1_900));
    assert!(home.owns(&account, 0));
    home.renew(TimePoint::from_millis(1_901), TimePoint::from_millis(2_900));
    assert!(!home.owns(&account, 0));
}

#[test]
fn undelivered_ask_goes_to_another_share() {
    let account = AccountName::from("meteo");
    let mut stash = TokenCache::new(QuotaOptions::default(), 1);
    stash.set_account(TimePoint::ORIGIN, &account, 100.0, 50.0);
    let now = TimePoint::from_millis(5_000);
    let mut out = Vec::new();
    stash.acquire(now, &account, CallId(1), &mut out);
    let Some(QuotaEffect::SendRequest { request: ask, .. }) = out.pop() else {
        panic!("no ask in {out:?}")
    };

    stash.handle_failed_request(now, &ask, &mut out);

    let is_elsewhere = |it: &QuotaEffect| matches!(it, QuotaEffect::SendRequest { share, .. } if *share != ask.share);
    assert!(out.len() == 1 && out.iter().all(is_elsewhere), "{out:?}");
}

#[test]
fn removed_account_refuses_its_waiting_calls() {
    let account = AccountName::from("meteo");
    let mut stash = TokenCache::new(QuotaOptions::default(), 1);
    stash.set_account(TimePoint::ORIGIN, &account, 100.0, 50.0);
    let mut out = Vec::new();
    stash.acquire(TimePoint::ORIGIN, &account, CallId(1), &mut out);
    out.clear();

    stash.remove_account(&account, &mut out);

    assert!(matches!(out[..], [QuotaEffect::Refuse { call: CallId(1), .. }]), "{out:?}");
}

/// The first home is paused and loses its shares to the second one, which saves up tokens, spends them and is paused in
/// turn. The first one must not add what it would have saved up in all that time.
#[test]
fn home_that_owns_a_share_again_starts_empty() {
    let case = FleetCase {
        rate: 20,
        burst: 200,
        n_entries: 1,
        n_homes: 2,
        phases: vec![(9_300_000, 0), (100_000, 3_000), (1_400_000, 0), (100_000, 3_000)],
        pauses: vec![(1, 500_000, 1_500_000), (2, 9_500_000, 2_500_000)],
        ..calm_case()
    };
    let (fleet, overrun) = run(case);
    assert!(140 < fleet.uses.len(), "{} uses", fleet.uses.len());
    assert!(overrun <= 0);
}

#[test]
fn burst_too_small_for_the_hold_time_lowers_the_minted_rate() {
    let plan = |rate, burst| QuotaPlan::new(rate, burst, &QuotaOptions::default());
    assert_eq!(plan(100.0, 0.5), None);
    assert!(plan(10.0, 1.0).is_some_and(|it| (8.9..9.1).contains(&it.issue_rate_per_s())));
    assert!(plan(10.0, 2.0).is_some_and(|it| it.issue_rate_per_s() == 10.0 && it.n_shares() == 1));
    assert!(plan(300.0, 300.0).is_some_and(|it| it.n_shares() == MAX_SHARES));
}
