use super::*;

#[test]
fn slot_time_follows_calls_to_the_leaves() {
    let mut learner = CostLearner::default();
    for _ in 0..100 {
        learner.note_run(&"track".into(), &"tracker".into(), 0.2, &[("ledger".into(), 2)]);
    }
    let mut booking = CostLearner::default();
    for _ in 0..100 {
        booking.note_run(&"ledger".into(), &"booking".into(), 0.1, &[("window".into(), 4)]);
    }
    let mut quoting = CostLearner::default();
    for _ in 0..100 {
        quoting.note_run(&"window".into(), &"quoting".into(), 0.03, &[]);
    }
    let mut book = CostBook::default();
    book.note_report(&"a".into(), learner.report());
    book.note_report(&"b".into(), booking.report());
    book.note_report(&"c".into(), quoting.report());

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
    let mut learner = CostLearner::default();
    learner.note_run(&"a".into(), &"s".into(), 0.1, &[("a".into(), 1)]);
    let mut book = CostBook::default();
    book.note_report(&"i".into(), learner.report());

    let demand = book.demand_of(&"a".into());

    assert!(demand[&ServiceName::from("s")].slot_time_s <= 0.1 * MAX_DEPTH as f64 + 1e-6);
}

#[test]
fn a_new_report_replaces_the_earlier_one() {
    let mut learner = CostLearner::default();
    learner.note_run(&"a".into(), &"s".into(), 0.1, &[]);
    let mut book = CostBook::default();
    book.note_report(&"i".into(), learner.report());

    book.note_report(&"i".into(), Vec::new());

    assert!(book.demand_of(&"a".into()).is_empty());
}
