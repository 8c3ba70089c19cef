//! Tests of the bounds on retries.

use super::*;

#[test]
fn a_purse_lends_and_gets_back_what_was_not_spent() {
    let mut purse = RetryPurse::new(3);

    let lent = purse.lend(5);
    purse.repay(2);
    purse.repay(9);

    assert_eq!(lent, 3);
    assert_eq!(purse.held(), 3);
}

#[test]
fn the_ratio_allows_a_tenth_and_a_floor() {
    let now = TimePoint::from_millis(5_000);
    let mut ratio = RetryRatio::new();
    (0..100).for_each(|_| ratio.note_first(now));

    let n_allowed = (0..100).filter(|_| ratio.try_retry(now)).count();

    assert_eq!(n_allowed as u64, 10 + RATIO_FLOOR);
}
