use super::*;

const NOW: TimePoint = TimePoint::from_millis(5_000);

/// Tokens that an owner did not earn must not be taken from it a second time.
#[test]
fn reserved_tokens_cover_reports_in_either_order() {
    let mut settlement = AbsenceSettlement::default();

    assert_eq!(settlement.reserve(NOW, 10.0), 10.0);
    assert_eq!(settlement.spend(NOW, 4.0, 100.0), 0.0);
    assert_eq!(settlement.spend(NOW, 9.0, 100.0), 3.0);
    assert_eq!(settlement.reserve(NOW, 5.0), 2.0);
    assert_eq!(settlement.spend(NOW, 3.0, 100.0), 1.0);
}

/// A report must not be covered by what was reserved for another absence.
#[test]
fn reserved_tokens_cover_no_reports_of_later_absences() {
    let mut settlement = AbsenceSettlement::default();
    settlement.reserve(NOW, 10.0);

    let uncovered = settlement.spend(NOW.plus(SETTLEMENT_TIME), 4.0, 100.0);

    assert_eq!(uncovered, 4.0);
}

/// A later reservation must not be reduced by a report that the bucket did not pay for.
#[test]
fn a_report_beyond_the_limit_is_not_kept() {
    let mut settlement = AbsenceSettlement::default();

    assert_eq!(settlement.spend(NOW, 9.0, 2.0), 2.0);
    assert_eq!(settlement.reserve(NOW, 5.0), 3.0);
}
