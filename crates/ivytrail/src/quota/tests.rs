mod fleet;

use std::time::Duration;

use proptest::prelude::*;

use self::fleet::{FleetCase, FleetFault, QuotaFleet, cases, overrun};
use super::*;
use crate::{id::CallId, time::TimePoint};

#[test]
fn request_waits_for_a_grant_and_is_admitted() {
    let account = AccountName::from("meteo");
    let mut stash = QuotaStash::new(QuotaOptions::default(), 1);
    let mut home = QuotaHome::new(QuotaOptions::default());
    stash.set_account(TimePoint::ORIGIN, &account, 100.0, 50.0);
    home.set_account(TimePoint::ORIGIN, &account, 100.0, 50.0);
    (0..MAX_SHARES).for_each(|it| home.gain(TimePoint::ORIGIN, &account, it));
    let now = TimePoint::from_millis(5_000);
    let mut out = Vec::new();

    let verdict = stash.request(now, &account, CallId(1), &mut out);
    let Some(QuotaEffect::Ask { ask, .. }) = out.pop() else { panic!("no ask in {out:?}") };
    let grant = home.ask(now, now.plus(Duration::from_secs(1)), &ask);
    stash.receive(now, &grant, &mut out);

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
