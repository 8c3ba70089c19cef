use std::time::Instant;

use super::*;

const LATER: TimePoint = TimePoint::from_micros(1_000_000);

/// Returns the demand of a route after an update with the latest reports.
fn demands_of(model: &mut CostModel, route: &str) -> ServiceDemands {
    model.update_demands();
    model.demand_of(&route.into()).cloned().unwrap_or_default()
}

#[test]
fn slot_time_follows_calls_to_the_leaves() {
    let mut estimator = CostEstimator::default();
    for _ in 0..100 {
        estimator.record_run(&"track".into(), &"tracker".into(), 0.2, &[("ledger".into(), 2)]);
    }
    let mut booking = CostEstimator::default();
    for _ in 0..100 {
        booking.record_run(&"ledger".into(), &"booking".into(), 0.1, &[("window".into(), 4)]);
    }
    let mut quoting = CostEstimator::default();
    for _ in 0..100 {
        quoting.record_run(&"window".into(), &"quoting".into(), 0.03, &[]);
    }
    let mut model = CostModel::default();
    model.record_report(&"a".into(), estimator.report(LATER));
    model.record_report(&"b".into(), booking.report(LATER));
    model.record_report(&"c".into(), quoting.report(LATER));

    let demand = demands_of(&mut model, "track");

    let at = |service: &str| demand.get(&ServiceName::from(service)).copied().unwrap_or_default();
    assert!((at("tracker").slot_time_s - 0.2).abs() < 1e-6);
    assert!((at("booking").slot_time_s - 0.2).abs() < 1e-6);
    assert!((at("quoting").slot_time_s - 0.24).abs() < 1e-6);
    assert!((at("tracker").n_arrivals - 1.0).abs() < 1e-6);
    assert!((at("quoting").n_arrivals - 8.0).abs() < 1e-6);
}

#[test]
fn a_cycle_of_calls_is_cut_off() {
    let mut estimator = CostEstimator::default();
    estimator.record_run(&"a".into(), &"s".into(), 0.1, &[("a".into(), 1)]);
    let mut model = CostModel::default();
    model.record_report(&"i".into(), estimator.report(LATER));

    let demand = demands_of(&mut model, "a");

    assert!(demand[&ServiceName::from("s")].slot_time_s <= 0.1 * MAX_DEPTH as f64 + 1e-6);
}

#[test]
fn a_new_report_replaces_the_earlier_one() {
    let mut estimator = CostEstimator::default();
    estimator.record_run(&"a".into(), &"s".into(), 0.1, &[]);
    let mut model = CostModel::default();
    model.record_report(&"i".into(), estimator.report(LATER));

    model.record_report(&"i".into(), Vec::new());

    assert!(demands_of(&mut model, "a").is_empty());
}

fn estimator_of(route: &str, service: &str, hold_s: f64, n_runs: usize) -> CostEstimator {
    let mut estimator = CostEstimator::default();
    for _ in 0..n_runs {
        estimator.record_run(&route.into(), &service.into(), hold_s, &[]);
    }
    estimator
}

/// When one of three servers becomes ten times slower, the service loses a bit less than a third of its throughput.
#[test]
fn a_slow_server_raises_the_cost_by_the_throughput_that_it_loses() {
    let mut model = CostModel::default();
    for (instance, hold_s, n_runs) in [("a", 0.03, 300), ("b", 0.03, 300), ("c", 0.3, 200)] {
        let report = estimator_of("window", "quoting", hold_s, n_runs).report(LATER);
        model.record_report(&instance.into(), report);
    }

    let cost_s = demands_of(&mut model, "window")[&ServiceName::from("quoting")].slot_time_s;

    let harmonic_mean = 3.0 / (1.0 / 0.03 + 1.0 / 0.03 + 1.0 / 0.3);
    assert!((cost_s - harmonic_mean).abs() < 1e-9, "{cost_s}");
}

/// The cost of a route that has moved to another service is soon counted there.
#[test]
fn a_moved_route_costs_where_it_now_runs() {
    let mut model = CostModel::default();
    let mut old = estimator_of("book", "booking", 0.2, 500);
    let mut new = estimator_of("book", "tracker", 0.2, 500);
    old.report(LATER);
    model.record_report(&"a".into(), old.report(TimePoint::from_millis(9_000)));
    model.record_report(&"b".into(), new.report(LATER));

    let demand = demands_of(&mut model, "book");

    assert!(demand[&ServiceName::from("booking")].n_arrivals < 0.05);
    assert!(0.95 < demand[&ServiceName::from("tracker")].n_arrivals);
}

/// All daemons start anew under load: the first few runs of each route must be told at once.
#[test]
fn the_first_cost_of_a_route_is_due_after_a_few_runs_and_once() {
    let mut estimator = CostEstimator::default();
    let run = |estimator: &mut CostEstimator| {
        estimator.record_run(&"track".into(), &"tracker".into(), 0.2, &[("ledger".into(), 2)]);
    };

    run(&mut estimator);
    let is_due_after_one = estimator.has_first_cost();
    run(&mut estimator);
    run(&mut estimator);
    let is_due_after_three = estimator.has_first_cost();
    let known_before = estimator.known_costs();
    estimator.report(TimePoint::from_millis(500));

    assert!(!is_due_after_one && is_due_after_three);
    assert!(!estimator.has_first_cost());
    assert!(known_before.is_empty());
    assert_eq!(estimator.known_costs().len(), 1);
}

/// Returns the reports of a call graph with `width` routes on each of `depth` levels, each of which calls all routes of
/// the next level once.
fn layered_costs(depth: usize, width: usize) -> Vec<RouteCost> {
    let name = |level: usize, idx: usize| RouteName::from(format!("r-{level}-{idx}"));
    let cost = |level: usize, idx: usize| RouteCost {
        route: name(level, idx),
        service: format!("s-{level}").into(),
        hold_s: 0.01,
        calls: match level + 1 < depth {
            true => (0..width).map(|callee| (name(level + 1, callee), 1.0)).collect(),
            false => Vec::new(),
        },
        runs_per_s: 10.0,
    };
    (0..depth)
        .flat_map(|level| (0..width).map(move |idx| (level, idx)))
        .map(|(level, idx)| cost(level, idx))
        .collect()
}

/// A daemon must not stop responding while it follows the calls of a deep graph, which has 3^19 paths here.
#[test]
fn the_demand_of_a_deep_call_graph_is_computed_without_following_each_path() {
    let mut model = CostModel::default();
    model.record_report(&"i".into(), layered_costs(MAX_DEPTH, 3));
    let started = Instant::now();

    let demand = demands_of(&mut model, "r-0-0");

    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    for level in 0..MAX_DEPTH {
        let arrivals = demand[&ServiceName::from(format!("s-{level}"))].n_arrivals;
        assert!((arrivals / 3.0_f64.powi(level as i32) - 1.0).abs() < 1e-9, "{level}: {arrivals}");
    }
}

/// Reports arrive from every daemon several times a second. They must not each cost a computation.
#[test]
fn reports_between_two_updates_leave_the_demands_unchanged() {
    let mut model = CostModel::default();
    model.record_report(&"i".into(), layered_costs(2, 1));
    let before = demands_of(&mut model, "r-0-0");

    model.record_report(&"i".into(), layered_costs(3, 1));
    let between = model.demand_of(&"r-0-0".into()).cloned();
    let after = demands_of(&mut model, "r-0-0");

    assert_eq!(between, Some(before));
    assert_eq!(after.len(), 3);
}

#[test]
fn costs_that_are_no_finite_numbers_are_ignored() {
    let mut model = CostModel::default();
    for (instance, hold_s, ratio) in
        [("a", f64::NAN, 1.0), ("b", f64::INFINITY, 1.0), ("c", 0.1, f64::NAN), ("d", -1.0, 1.0)]
    {
        let mut costs = layered_costs(2, 1);
        costs[0].hold_s = hold_s;
        costs[0].calls[0].1 = ratio;
        model.record_report(&instance.into(), costs);
    }

    assert!(demands_of(&mut model, "r-0-0").is_empty());
    assert_eq!(demands_of(&mut model, "r-1-0").len(), 1);
}

/// Ratios above one at each level of a cycle grow with the depth, but remain numbers.
#[test]
fn the_demand_of_a_growing_cycle_is_finite() {
    let mut costs = layered_costs(2, 3);
    for cost in &mut costs {
        cost.calls = (0..3).map(|callee| (format!("r-0-{callee}").into(), 1e6)).collect();
    }
    let mut model = CostModel::default();
    model.record_report(&"i".into(), costs);

    let demand = demands_of(&mut model, "r-1-0");

    assert!(demand.values().all(|it| it.n_arrivals.is_finite() && it.slot_time_s.is_finite()));
}
