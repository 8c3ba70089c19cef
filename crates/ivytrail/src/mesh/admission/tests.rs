//! Admitted shares under different load patterns.

use super::*;
use crate::mesh::cost::RouteCost;

const SERVICE: &str = "quoting";

fn costs() -> CostModel {
    let mut model = CostModel::default();
    let cost = |route: &str, service: &str, hold_s: f64, calls: &[(&str, f64)]| RouteCost {
        route: route.into(),
        service: service.into(),
        hold_s,
        calls: calls.iter().map(|(name, ratio)| ((*name).into(), *ratio)).collect(),
        runs_per_s: 100.0,
    };
    model.record_report(
        &"i-1".into(),
        vec![
            cost("track", "tracker", 0.2, &[("window", 8.0)]),
            cost("book", "booking", 0.2, &[("window", 8.0)]),
            cost("release", "launch", 0.08, &[]),
            cost("quote", SERVICE, 0.48, &[]),
            cost("window", SERVICE, 0.03, &[]),
        ],
    );
    model.update_demands();
    model
}

fn root(priority: u8) -> QueueRank {
    QueueRank::of_root(RootPriority::of_route(priority))
}

/// Returns a controller after three seconds of requests at this entry alone, given as route, priority and requests per
/// second.
fn controller_under(
    load: &[(&str, u8, u32)],
    quoting_slots: f64,
    pressure: f64,
) -> AdmissionController {
    let mut controller = AdmissionController::default();
    let step = Duration::from_millis(100);
    for n_step in 0..30_u64 {
        let now = TimePoint::from_millis(100 * n_step);
        for (route, priority, per_s) in load {
            for n in 0..(per_s / 10) {
                let request = format!("{route}{n_step}-{n}");
                let fingerprint = ContentDigest::of_parts(&[request.as_bytes()]);
                controller.admit(now, &(*route).into(), root(*priority), &fingerprint);
            }
        }
        controller.update(step, &costs(), |service| match service.as_str() {
            SERVICE => ServiceSlots { slots: quoting_slots, pressure, rejected: 0.0 },
            _ => ServiceSlots { slots: 1_000.0, ..ServiceSlots::default() },
        });
    }
    controller
}

/// Load within the capacity of 162 slots at the leaf.
const LIGHT: [(&str, u8, u32); 4] =
    [("track", 2, 230), ("book", 0, 110), ("release", 0, 90), ("quote", 2, 60)];

const HEAVY: [(&str, u8, u32); 4] =
    [("track", 2, 500), ("book", 0, 250), ("release", 0, 190), ("quote", 2, 130)];

#[test]
fn all_requests_are_admitted_within_capacity() {
    let controller = controller_under(&LIGHT, 162.0, 0.0);

    for (route, priority, _) in LIGHT {
        assert_eq!(controller.admitted_share(&route.into(), root(priority)), 1.0, "{route}");
    }
}

/// Slots of the leaf service: too few even if the costs were overestimated by a third.
const SHORT_SLOTS: f64 = 130.0;

/// Nested calls and root requests together offer a leaf service half again as much work as it has slots for.
#[test]
fn an_overloaded_leaf_sheds_the_least_urgent_and_costliest_routes() {
    let controller = controller_under(&HEAVY, SHORT_SLOTS, 0.0);

    assert_eq!(controller.admitted_share(&"book".into(), root(0)), 1.0);
    assert_eq!(controller.admitted_share(&"release".into(), root(0)), 1.0);
    let track = controller.admitted_share(&"track".into(), root(2));
    let quote = controller.admitted_share(&"quote".into(), root(2));
    assert!(quote < track && track < 1.0, "track {track}, quote {quote}");
    // At the leaf, a quote request costs twice as much as a track request.
    assert!(
        (track / quote - 2.0_f64.powf(COST_EXPONENT)).abs() < 0.1,
        "track {track}, quote {quote}"
    );
    let used = 500.0 * 0.24 * track + 250.0 * 0.24 + 130.0 * 0.48 * quote;
    assert!(used < SHORT_SLOTS * CORRECTION_BOUNDS.1, "slot time used: {used}");
}

/// Within one rank, a route that costs twice as much at the overloaded service gets a smaller share, but more than half
/// the share of the other route.
#[test]
fn a_costly_route_does_not_bear_the_whole_overload() {
    let load = [("track", 2, 500), ("quote", 2, 250)];

    let controller = controller_under(&load, SHORT_SLOTS, 0.0);

    let ratio = controller.admitted_share(&"track".into(), root(2))
        / controller.admitted_share(&"quote".into(), root(2));
    assert!((1.3..1.8).contains(&ratio), "{ratio}");
}

/// All accounts have the same priority of their own, and the leaf is offered half again as much work as it has slots for.
#[test]
fn the_most_urgent_routes_of_accounts_with_equal_priority_are_shed_last() {
    let mut controller = AdmissionController::default();
    let rank = |route: u8| QueueRank::of_root(RootPriority::of_account(1, route));
    let demand =
        |name: &str, route, per_s| RouteDemand { route: name.into(), rank: rank(route).0, per_s };
    let demands =
        vec![demand("track", 2, 500.0), demand("book", 0, 250.0), demand("quote", 2, 130.0)];
    controller.set_remote_demand(demands);

    controller.update(Duration::from_millis(100), &costs(), |_| ServiceSlots {
        slots: SHORT_SLOTS,
        ..ServiceSlots::default()
    });

    assert_eq!(controller.admitted_share(&"book".into(), rank(0)), 1.0);
    let track = controller.admitted_share(&"track".into(), rank(2));
    assert!((0.2..0.6).contains(&track), "track {track}");
}

/// Returns a controller after three seconds of a load within capacity, followed by an update in which the leaf's servers
/// reject a share of what reaches them.
fn controller_under_rejections(rejected: f64) -> AdmissionController {
    let mut controller = controller_under(&LIGHT, 162.0, 0.0);
    controller.update(Duration::from_millis(100), &costs(), |service| match service.as_str() {
        SERVICE => ServiceSlots { slots: 162.0, pressure: 0.0, rejected },
        _ => ServiceSlots { slots: 1_000.0, ..ServiceSlots::default() },
    });
    controller
}

/// All servers of the leaf reject more than half of what reaches them while they have free slots. A chain that makes
/// eight calls there ends unserved, and the slots above are wasted.
#[test]
fn roots_whose_calls_will_be_rejected_are_refused_at_the_entry() {
    let controller = controller_under_rejections(0.55);

    assert_eq!(controller.admitted_share(&"track".into(), root(2)), MIN_SHARE);
    assert_eq!(controller.admitted_share(&"book".into(), root(0)), MIN_SHARE);
    assert_eq!(controller.admitted_share(&"release".into(), root(0)), 1.0, "it makes no calls");
    assert_eq!(controller.admitted_share(&"quote".into(), root(2)), 1.0, "it needs one run there");
}

/// Rejections last longer than a shortage of slots: who returns too soon is refused a second time, which is final.
#[test]
fn a_root_refused_for_rejections_is_asked_to_return_later_than_one_refused_for_slots() {
    let at_rejections = controller_under_rejections(0.55);
    let at_shortage = controller_under(&HEAVY, 54.0, 0.0);

    let fraction = |it: &AdmissionController| it.retry_fraction(&"track".into(), root(2));

    assert!(at_shortage.admitted_share(&"track".into(), root(2)) < 1.0);
    assert!(fraction(&at_shortage) < fraction(&at_rejections));
}

#[test]
fn rejections_that_retries_make_up_for_refuse_no_root() {
    for rejected in [0.0, 0.05, 0.15] {
        let controller = controller_under_rejections(rejected);

        for (route, priority, _) in LIGHT {
            let share = controller.admitted_share(&route.into(), root(priority));
            assert_eq!(share, 1.0, "{route} at {rejected}");
        }
    }
}

#[test]
fn the_gate_opens_as_the_rejections_end() {
    let shares = [0.55, 0.4, 0.3, 0.2].map(|rejected| {
        controller_under_rejections(rejected).admitted_share(&"track".into(), root(2))
    });

    assert!(shares.is_sorted(), "{shares:?}");
    assert_eq!(shares[3], 1.0);
}

/// Two thirds of the leaf's servers are lost.
#[test]
fn urgent_roots_are_shed_last_and_no_route_starves() {
    let controller = controller_under(&HEAVY, 54.0, 0.0);

    let book = controller.admitted_share(&"book".into(), root(0));
    let track = controller.admitted_share(&"track".into(), root(2));
    assert!(0.6 < book, "book {book}");
    assert!(MIN_SHARE <= track && track < book / 3.0, "track {track}, book {book}");
    assert_eq!(controller.admitted_share(&"release".into(), root(0)), 1.0);
}

/// Servers run slower than the reported costs say.
#[test]
fn sustained_pressure_lowers_the_shares_further() {
    let at_low_pressure =
        controller_under(&HEAVY, 162.0, 0.0).admitted_share(&"track".into(), root(2));

    let at_high_pressure =
        controller_under(&HEAVY, 162.0, 0.5).admitted_share(&"track".into(), root(2));

    assert!(
        at_high_pressure < at_low_pressure * 0.8,
        "at low pressure {at_low_pressure}, at high pressure {at_high_pressure}"
    );
}

/// The reported costs are too high by half, as after a slow server has left: the demand lasts, and slots stay unused.
#[test]
fn slots_that_stay_unused_are_given_out_within_two_seconds() {
    let mut controller = controller_under(&HEAVY, 162.0, 0.5);
    let demand = |(route, priority, per_s): (&str, u8, u32)| RouteDemand {
        route: route.into(),
        rank: root(priority).0,
        per_s: f64::from(per_s),
    };
    controller.set_remote_demand(HEAVY.map(demand).to_vec());
    let before = controller.corrections[&SERVICE.into()];

    for _ in 0..20 {
        controller.update(Duration::from_millis(100), &costs(), |_| ServiceSlots {
            slots: 162.0,
            ..ServiceSlots::default()
        });
    }

    let after = controller.corrections[&SERVICE.into()];
    assert!(1.5 * before <= after, "{before} and then {after}");
}

#[test]
fn demand_at_other_daemons_counts() {
    let mut controller = controller_under(&[("track", 2, 50)], 162.0, 0.0);
    assert_eq!(controller.admitted_share(&"track".into(), root(2)), 1.0);

    let demand = RouteDemand { route: "track".into(), rank: root(2).0, per_s: 1_400.0 };
    controller.set_remote_demand(vec![demand]);
    controller.update(Duration::from_millis(100), &costs(), |_| ServiceSlots {
        slots: 162.0,
        ..ServiceSlots::default()
    });

    assert!(controller.admitted_share(&"track".into(), root(2)) < 0.7);
}

#[test]
fn a_retry_after_the_announced_delay_precedes_new_requests() {
    let mut controller = controller_under(&HEAVY, 45.0, 0.0);
    let now = TimePoint::from_millis(10_000);
    let digest = |text: &str| ContentDigest::of_parts(&[text.as_bytes()]);
    let refused = (0..50)
        .map(|n| digest(&format!("r{n}")))
        .find(|it| !controller.admit(now, &"track".into(), root(2), it))
        .expect("most are refused");
    controller.record_refusal(now, refused, Duration::from_millis(300));

    let is_early_retry_admitted =
        controller.admit(now.plus(Duration::from_millis(10)), &"track".into(), root(2), &refused);
    controller.record_refusal(now, refused, Duration::from_millis(300));
    // Credit for the retry builds up while a few new requests are refused.
    let later = now.plus(Duration::from_millis(300));
    let n_before = (0..200)
        .take_while(|n| {
            !controller.admit(later, &"track".into(), root(2), &digest(&format!("n{n}")))
        })
        .count();
    let is_retry_admitted = controller.admit(later, &"track".into(), root(2), &refused);

    assert!(!is_early_retry_admitted);
    assert!(0 < n_before, "new requests are refused before");
    assert!(is_retry_admitted, "the request that waited is admitted on the credit of the next");
}

/// The first refusal of a request expires shortly after its second one; the second must still be known then.
#[test]
fn a_request_that_is_refused_twice_keeps_its_second_refusal() {
    let mut controller = controller_under(&HEAVY, 54.0, 0.0);
    let at = TimePoint::from_millis;
    let digest = |text: &str| ContentDigest::of_parts(&[text.as_bytes()]);
    let refused = digest("refused");
    controller.record_refusal(at(10_000), refused, Duration::from_millis(300));
    controller.record_refusal(at(13_500), refused, Duration::from_millis(600));

    controller.record_refusal(at(14_050), digest("other"), Duration::from_millis(300));

    assert!(controller.refusals.contains_key(&refused));
    controller.record_refusal(at(17_550), digest("other"), Duration::from_millis(300));
    assert!(!controller.refusals.contains_key(&refused));
}

/// Half of a leaf's servers are lost at once after a long heavy load to which the correction has adapted.
#[test]
fn a_loss_of_slots_takes_effect_at_once() {
    let mut controller = controller_under(&HEAVY, 162.0, 0.0);
    let before = controller.admitted_share(&"track".into(), root(2));

    controller.update(Duration::from_millis(100), &costs(), |service| match service.as_str() {
        SERVICE => ServiceSlots { slots: 81.0, pressure: 1.0, rejected: 0.0 },
        _ => ServiceSlots { slots: 1_000.0, ..ServiceSlots::default() },
    });

    let after = controller.admitted_share(&"track".into(), root(2));
    assert!(after < before / 2.0, "before {before}, after {after}");
}

#[test]
fn the_correction_returns_to_one_after_an_overload() {
    let controller = controller_under(&LIGHT, 162.0, 0.0);

    assert!(
        controller.corrections.values().all(|correction| (correction - 1.0).abs() < 1e-6),
        "{:?}",
        controller.corrections
    );
}
