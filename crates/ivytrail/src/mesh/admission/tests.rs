//! Load patterns and what the gate makes of them.

use super::*;
use crate::mesh::cost::RouteCost;

const SERVICE: &str = "quoting";

fn costs() -> CostModel {
    let mut book = CostModel::default();
    let cost = |route: &str, service: &str, hold_s: f64, calls: &[(&str, f64)]| RouteCost {
        route: route.into(),
        service: service.into(),
        hold_s,
        calls: calls.iter().map(|(name, ratio)| ((*name).into(), *ratio)).collect(),
        runs_per_s: 100.0,
    };
    book.record_report(
        &"i-1".into(),
        vec![
            cost("track", "tracker", 0.2, &[("window", 8.0)]),
            cost("book", "booking", 0.2, &[("window", 8.0)]),
            cost("release", "launch", 0.08, &[]),
            cost("quote", SERVICE, 0.48, &[]),
            cost("window", SERVICE, 0.03, &[]),
        ],
    );
    book
}

fn root(priority: u8) -> QueueRank {
    QueueRank::of_root(priority)
}

/// Returns a gate after three seconds of `per_s` requests of each route at this entry alone.
fn gate_under(load: &[(&str, u8, u32)], quoting_slots: f64, pressure: f64) -> AdmissionController {
    let mut gate = AdmissionController::default();
    let step = Duration::from_millis(100);
    for n_step in 0..30_u64 {
        let now = TimePoint::from_millis(100 * n_step);
        for (route, priority, per_s) in load {
            for n in 0..(per_s / 10) {
                let request = format!("{route}{n_step}-{n}");
                let fingerprint = ContentDigest::of_parts(&[request.as_bytes()]);
                gate.admit(now, &(*route).into(), root(*priority), &fingerprint);
            }
        }
        gate.update(step, &costs(), |service| match service.as_str() {
            SERVICE => ServiceSlots { slots: quoting_slots, pressure },
            _ => ServiceSlots { slots: 1_000.0, pressure: 0.0 },
        });
    }
    gate
}

const HEAVY: [(&str, u8, u32); 4] =
    [("track", 2, 500), ("book", 0, 250), ("release", 0, 190), ("quote", 2, 130)];

#[test]
fn a_calm_load_passes_whole() {
    let calm = [("track", 2, 230), ("book", 0, 110), ("release", 0, 90), ("quote", 2, 60)];

    let gate = gate_under(&calm, 162.0, 0.0);

    for (route, priority, _) in calm {
        assert_eq!(gate.admitted_share(&route.into(), root(priority)), 1.0, "{route}");
    }
}

/// Slots of a leaf that is short of them also when the figures of costs are a third too high.
const SHORT_SLOTS: f64 = 130.0;

/// Pattern: a leaf service is offered half again as much as it has slots, by calls and by roots of its own.
#[test]
fn an_overloaded_leaf_sheds_what_is_least_urgent_and_costs_most() {
    let gate = gate_under(&HEAVY, SHORT_SLOTS, 0.0);

    assert_eq!(gate.admitted_share(&"book".into(), root(0)), 1.0);
    assert_eq!(gate.admitted_share(&"release".into(), root(0)), 1.0);
    let track = gate.admitted_share(&"track".into(), root(2));
    let quote = gate.admitted_share(&"quote".into(), root(2));
    assert!(quote < track && track < 1.0, "track {track}, quote {quote}");
    // A quote costs twice as much as a track.
    assert!(
        (track / quote - 2.0_f64.powf(COST_EXPONENT)).abs() < 0.1,
        "track {track}, quote {quote}"
    );
    let used = 500.0 * 0.24 * track + 250.0 * 0.24 + 130.0 * 0.48 * quote;
    assert!(used < SHORT_SLOTS * TRIM_BOUNDS.1, "slot time used: {used}");
}

/// Of one rank, what costs twice as much at the short service is let in less often, but not half as often.
#[test]
fn a_costly_route_does_not_pay_for_the_whole_shortage() {
    let load = [("track", 2, 500), ("quote", 2, 250)];

    let gate = gate_under(&load, SHORT_SLOTS, 0.0);

    let ratio = gate.admitted_share(&"track".into(), root(2))
        / gate.admitted_share(&"quote".into(), root(2));
    assert!((1.3..1.8).contains(&ratio), "{ratio}");
}

/// Pattern: two thirds of the leaf's servers are gone.
#[test]
fn urgent_roots_are_shed_last_and_none_starves() {
    let gate = gate_under(&HEAVY, 54.0, 0.0);

    let book = gate.admitted_share(&"book".into(), root(0));
    let track = gate.admitted_share(&"track".into(), root(2));
    assert!(0.6 < book, "book {book}");
    assert!(MIN_SHARE <= track && track < book / 3.0, "track {track}, book {book}");
    assert_eq!(gate.admitted_share(&"release".into(), root(0)), 1.0);
}

/// Pattern: servers run slower than the figures say.
#[test]
fn lasting_pressure_lowers_the_shares_further() {
    let relaxed = gate_under(&HEAVY, 162.0, 0.0).admitted_share(&"track".into(), root(2));

    let pressed = gate_under(&HEAVY, 162.0, 0.5).admitted_share(&"track".into(), root(2));

    assert!(pressed < relaxed * 0.8, "relaxed {relaxed}, pressed {pressed}");
}

#[test]
fn what_other_daemons_are_offered_counts() {
    let mut gate = gate_under(&[("track", 2, 50)], 162.0, 0.0);
    assert_eq!(gate.admitted_share(&"track".into(), root(2)), 1.0);

    let demand = RouteDemand { route: "track".into(), rank: root(2).0, per_s: 1_400.0 };
    gate.record_demand(&"i-2".into(), vec![demand]);
    gate.update(Duration::from_millis(100), &costs(), |_| ServiceSlots {
        slots: 162.0,
        pressure: 0.0,
    });

    assert!(gate.admitted_share(&"track".into(), root(2)) < 0.7);
}

#[test]
fn a_request_that_waited_as_told_goes_before_new_ones() {
    let mut gate = gate_under(&HEAVY, 54.0, 0.0);
    let now = TimePoint::from_millis(10_000);
    let digest = |text: &str| ContentDigest::of_parts(&[text.as_bytes()]);
    let refused = (0..50)
        .map(|n| digest(&format!("r{n}")))
        .find(|it| !gate.admit(now, &"track".into(), root(2), it))
        .expect("most are refused");
    gate.record_refusal(now, refused, Duration::from_millis(300));

    let too_soon =
        gate.admit(now.plus(Duration::from_millis(10)), &"track".into(), root(2), &refused);
    gate.record_refusal(now, refused, Duration::from_millis(300));
    // The share earns a comeback once a few new requests have been refused.
    let later = now.plus(Duration::from_millis(300));
    let n_before = (0..200)
        .take_while(|n| !gate.admit(later, &"track".into(), root(2), &digest(&format!("n{n}"))))
        .count();
    let returned = gate.admit(later, &"track".into(), root(2), &refused);

    assert!(!too_soon);
    assert!(0 < n_before, "new requests are refused meanwhile");
    assert!(returned, "the one that waited is let in on the credit of the next");
}

/// Pattern: half of a leaf's servers leave at once after a long heavy load that the gate had learned to carry.
#[test]
fn a_loss_of_slots_takes_effect_at_once() {
    let mut gate = gate_under(&HEAVY, 162.0, 0.0);
    let before = gate.admitted_share(&"track".into(), root(2));

    gate.update(Duration::from_millis(100), &costs(), |service| match service.as_str() {
        SERVICE => ServiceSlots { slots: 81.0, pressure: 1.0 },
        _ => ServiceSlots { slots: 1_000.0, pressure: 0.0 },
    });

    let after = gate.admitted_share(&"track".into(), root(2));
    assert!(after < before / 2.0, "before {before}, after {after}");
}

#[test]
fn what_was_learned_of_an_overload_is_forgotten_when_it_is_over() {
    let calm = [("track", 2, 230), ("book", 0, 110), ("release", 0, 90), ("quote", 2, 60)];

    let gate = gate_under(&calm, 162.0, 0.0);

    assert!(gate.trims.values().all(|trim| (trim - 1.0).abs() < 1e-6), "{:?}", gate.trims);
}
