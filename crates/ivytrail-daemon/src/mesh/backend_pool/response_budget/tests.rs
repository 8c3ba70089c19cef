use super::*;

const MIB: usize = 1 << 20;

#[test]
fn a_body_beyond_the_maximum_size_fails() {
    let budget = ResponseBudget::default();
    let mut share = BudgetShare::new(&budget);

    assert!(share.add(MAX_RESPONSE_BYTES).is_ok());
    assert!(matches!(share.add(1), Err(BodyError::TooLarge)));
}

/// Endless responses must not make small ones fail.
#[test]
fn only_large_bodies_fail_when_the_budget_is_exceeded() {
    let budget = ResponseBudget::default();
    let mut large: Vec<BudgetShare<'_>> = (0..4).map(|_| BudgetShare::new(&budget)).collect();
    for share in &mut large {
        share.add(15 * MIB).expect("the bodies fit into the budget");
    }
    let mut small = BudgetShare::new(&budget);

    assert!(small.add(5 * MIB).is_ok());
    assert!(matches!(large[0].add(MIB), Err(BodyError::OverBudget(_))));
}

#[test]
fn a_body_that_has_been_read_frees_its_memory() {
    let budget = ResponseBudget::default();
    let mut share = BudgetShare::new(&budget);
    share.add(60 * MIB).expect("the body fits into the budget");

    drop(share);

    assert_eq!((budget.n_bytes.get(), budget.n_responses.get()), (0, 0));
}
