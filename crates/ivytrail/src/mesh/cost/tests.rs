use super::*;

const LATER: TimePoint = TimePoint::from_micros(1_000_000);

#[test]
fn slot_time_follows_calls_to_the_leaves() {
    let mut learner = CostEstimator::default();
    for _ in 0..100 {
        learner.record_run(&"track".into(), &"tracker".into(), 0.2, &[("ledger".into(), 2)]);
    }
    let mut booking = CostEstimator::default();
    for _ in 0..100 {
        booking.record_run(&"ledger".into(), &"booking".into(), 0.1, &[("window".into(), 4)]);
    }
    let mut quoting = CostEstimator::default();
    for _ in 0..100 {
        quoting.record_run(&"window".into(), &"quoting".into(), 0.03, &[]);
    }
    let mut book = CostModel::default();
    book.record_report(&"a".into(), learner.report(LATER));
    book.record_report(&"b".into(), booking.report(LATER));
    book.record_report(&"c".into(), quoting.report(LATER));

    let demand = book.demand_of(&"track".into());

    let at = |service: &str| demand.get(&ServiceName::from(service)).copied().unwrap_or_default();
    assert!((at("tracker").slot_time_s - 0.2).abs() < 1e-6);
    assert!((at("booking").slot_time_s - 0.2).abs() < 1e-6);
    assert!((at("quoting").slot_time_s - 0.24).abs() < 1e-6);
    assert!((at("tracker").n_arrivals - 1.0).abs() < 1e-6);
    assert!((at("quoting").n_arrivals - 8.0).abs() < 1e-6);
}

#[test]
fn a_circle_of_calls_ends() {
    let mut learner = CostEstimator::default();
    learner.record_run(&"a".into(), &"s".into(), 0.1, &[("a".into(), 1)]);
    let mut book = CostModel::default();
    book.record_report(&"i".into(), learner.report(LATER));

    let demand = book.demand_of(&"a".into());

    assert!(demand[&ServiceName::from("s")].slot_time_s <= 0.1 * MAX_DEPTH as f64 + 1e-6);
}

#[test]
fn a_new_report_replaces_the_earlier_one() {
    let mut learner = CostEstimator::default();
    learner.record_run(&"a".into(), &"s".into(), 0.1, &[]);
    let mut book = CostModel::default();
    book.record_report(&"i".into(), learner.report(LATER));

    book.record_report(&"i".into(), Vec::new());

    assert!(book.demand_of(&"a".into()).is_empty());
}

fn learned(route: &str, service: &str, hold_s: f64, n_runs: usize) -> CostEstimator {
    let mut learner = CostEstimator::default();
    for _ in 0..n_runs {
        learner.record_run(&route.into(), &service.into(), hold_s, &[]);
    }
    learner
}

/// One server of three that turns ten times slower takes a bit less than a third of the work away.
#[test]
fn a_slow_server_raises_the_cost_by_the_work_that_it_loses() {
    let mut book = CostModel::default();
    for (instance, hold_s, n_runs) in [("a", 0.03, 300), ("b", 0.03, 300), ("c", 0.3, 200)] {
        let report = learned("window", "quoting", hold_s, n_runs).report(LATER);
        book.record_report(&instance.into(), report);
    }

    let cost_s = book.demand_of(&"window".into())[&ServiceName::from("quoting")].slot_time_s;

    let whole = 3.0 / (1.0 / 0.03 + 1.0 / 0.03 + 1.0 / 0.3);
    assert!((cost_s - whole).abs() < 1e-9, "{cost_s}");
}

/// A route that now goes to another service soon counts there.
#[test]
fn a_route_that_moved_costs_where_it_runs_now() {
    let mut book = CostModel::default();
    let mut old = learned("book", "booking", 0.2, 500);
    let mut new = learned("book", "tracker", 0.2, 500);
    old.report(LATER);
    book.record_report(&"a".into(), old.report(TimePoint::from_millis(9_000)));
    book.record_report(&"b".into(), new.report(LATER));

    let demand = book.demand_of(&"book".into());

    assert!(demand[&ServiceName::from("booking")].n_arrivals < 0.05);
    assert!(0.95 < demand[&ServiceName::from("tracker")].n_arrivals);
}
