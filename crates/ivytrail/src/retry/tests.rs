//! Tests of the limits on retries.

use proptest::{
    prelude::*,
    test_runner::{TestRng, TestRunner},
};

use super::*;

const MAX_DEPTH: usize = 20;

#[test]
fn repaid_tokens_are_available_again_up_to_the_lent_ones() {
    let mut budget = RetryBudget::new(3);

    let lent = budget.lend(5);
    budget.repay(2);
    budget.repay(9);

    assert_eq!(lent, 3);
    assert_eq!(budget.available(), 3);
}

#[test]
fn the_ratio_allows_a_tenth_of_the_first_attempts_and_a_minimum() {
    let now = TimePoint::from_millis(5_000);
    let mut ratio = RetryRatio::new();
    (0..100).for_each(|_| ratio.record_first_attempt(now));

    let n_allowed = (0..100).filter(|_| ratio.try_retry(now)).count();

    assert_eq!(n_allowed as u64, 10 + MIN_RETRIES_PER_WINDOW);
}

/// Call chains of up to 20 levels, in which each call retries its nested calls as often as its tokens allow, and some
/// replies are lost.
#[test]
fn randomised_chains_spend_at_most_the_tokens_of_the_root() {
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
fn randomised_traffic_keeps_the_retry_ratio_in_each_window() {
    let mut runner = runner();
    let traffic = prop::collection::vec((0..400_u64, 0..3_u8), 1..600);

    let checked = runner.run(&traffic, |traffic| {
        let mut ratio = RetryRatio::new();
        let (mut now, mut first_attempts, mut retries) =
            (TimePoint::ORIGIN, Vec::new(), Vec::new());
        for (delay_ms, kind) in traffic {
            now = now.plus(Duration::from_millis(delay_ms));
            match kind {
                0 => {
                    first_attempts.push(now);
                    ratio.record_first_attempt(now);
                }
                _ if ratio.try_retry(now) => retries.push(now),
                _ => {}
            }
            // The window starts on a second boundary, nine to ten seconds ago.
            let n_since = |times: &[TimePoint], millis| {
                times.iter().filter(|at| now.since(**at) < Duration::from_millis(millis)).count()
            };
            let allowed = n_since(&first_attempts, 10_000) as u64 / 10 + MIN_RETRIES_PER_WINDOW;
            prop_assert!(n_since(&retries, 9_000) as u64 <= allowed + 1);
        }
        Ok(())
    });

    assert_eq!(checked, Ok(()));
}

/// Runs one call and returns the tokens that it did not spend.
fn run_call(
    tokens: u32,
    depth: usize,
    choices: &mut std::vec::IntoIter<(u32, bool)>,
    n_spent: &mut u32,
) -> u32 {
    let mut budget = RetryBudget::new(tokens);
    while let Some((wanted, lost)) = choices.next().filter(|_| depth < MAX_DEPTH) {
        let lent = budget.lend(wanted);
        let repaid = run_call(lent, depth + 1, choices, n_spent);
        budget.repay(if lost { 0 } else { repaid });
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
