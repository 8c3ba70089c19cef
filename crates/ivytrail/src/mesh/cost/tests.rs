use super::*;

const LATER: TimePoint = TimePoint::from_micros(1_000_000);

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

    let demand = model.demand_of(&"track".into());

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

    let demand = model.demand_of(&"a".into());

    assert!(demand[&ServiceName::from("s")].slot_time_s <= 0.1 * MAX_DEPTH as f64 + 1e-6);
}

#[test]
fn a_new_report_replaces_the_earlier_one() {
    let mut estimator = CostEstimator::default();
    estimator.record_run(&"a".into(), &"s".into(), 0.1, &[]);
    let mut model = CostModel::default();
    model.record_report(&"i".into(), estimator.report(LATER));

    model.record_report(&"i".into(), Vec::new());

    assert!(model.demand_of(&"a".into()).is_empty());
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

    let cost_s = model.demand_of(&"window".into())[&ServiceName::from("quoting")].slot_time_s;

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

    let demand = model.demand_of(&"book".into());

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
