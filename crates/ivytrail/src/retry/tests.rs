//! Tests of the bounds on retries.

use proptest::{
    prelude::*,
    test_runner::{TestRng, TestRunner},
};

use super::*;

const MAX_DEPTH: usize = 20;

#[test]
fn a_budget_lends_and_gets_back_what_was_not_spent() {
    let mut budget = RetryBudget::new(3);

    let lent = budget.lend(5);
    budget.repay(2);
    budget.repay(9);

    assert_eq!(lent, 3);
    assert_eq!(budget.available(), 3);
}

#[test]
fn the_ratio_allows_a_tenth_and_a_floor() {
    let now = TimePoint::from_millis(5_000);
    let mut ratio = RetryRatio::new();
    (0..100).for_each(|_| ratio.record_first_attempt(now));

    let n_allowed = (0..100).filter(|_| ratio.try_retry(now)).count();

    assert_eq!(n_allowed as u64, 10 + RATIO_FLOOR);
}

/// A chain 20 deep in which each call tries each nested call as often as its tokens allow, and some answers are lost.
#[test]
fn randomised_chains_never_spend_more_than_the_root_was_given() {
    let mut runner = runner();
    let plan = prop::collection::vec((0..3_u32, any::<bool>()), 1..4_000);

    let checked = runner.run(&(0..10_u32, plan), |(tokens, plan)| {
        let mut choices = plan.into_iter();
        let mut n_spent = 0;
        let left = run_call(tokens, 0, &mut choices, &mut n_spent);
        prop_assert!(n_spent + left <= tokens);
        Ok(())
    });

    assert_eq!(checked, Ok(()));
}

#[test]
fn randomised_traffic_keeps_retries_in_each_window_to_the_ratio() {
    let mut runner = runner();
    let traffic = prop::collection::vec((0..400_u64, 0..3_u8), 1..600);

    let checked = runner.run(&traffic, |traffic| {
        let mut ratio = RetryRatio::new();
        let (mut now, mut firsts, mut retries) = (TimePoint::ORIGIN, Vec::new(), Vec::new());
        for (pause, kind) in traffic {
            now = now.plus(Duration::from_millis(pause));
            match kind {
                0 => {
                    firsts.push(now);
                    ratio.record_first_attempt(now);
                }
                _ if ratio.try_retry(now) => retries.push(now),
                _ => {}
            }
            // The window of the program begins at a whole second, at most ten seconds back.
            let n_since = |times: &[TimePoint], millis| {
                times.iter().filter(|at| now.since(**at) < Duration::from_millis(millis)).count()
            };
            let allowed = n_since(&firsts, 10_000) as u64 / 10 + RATIO_FLOOR;
            prop_assert!(n_since(&retries, 9_000) as u64 <= allowed + 1);
        }
        Ok(())
    });

    assert_eq!(checked, Ok(()));
}

/// Runs one call and returns the tokens that come back from it.
fn run_call(
    tokens: u32,
    depth: usize,
    choices: &mut std::vec::IntoIter<(u32, bool)>,
    n_spent: &mut u32,
) -> u32 {
    let mut budget = RetryBudget::new(tokens);
    while let Some((wish, lost)) = choices.next().filter(|_| depth < MAX_DEPTH) {
        let lent = budget.lend(wish);
        let back = run_call(lent, depth + 1, choices, n_spent);
        budget.repay(if lost { 0 } else { back });
        if !budget.spend() {
            break;
        }
        *n_spent += 1;
    }
    budget.available()
}

fn runner() -> TestRunner {
    let config = ProptestConfig { cases: 200, failure_persistence: None, ..Default::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(Default::default()))
}
