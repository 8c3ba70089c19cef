use super::*;

const N_DAEMONS: usize = 12;
const POLICY: RetryPolicy = RetryPolicy { ratio: 0.2, window_s: 10.0, base_allowance: 48.0 };
const TICKS_PER_WINDOW: u64 = 1_000;

fn at_tick(tick: u64) -> TimePoint {
    TimePoint::from_millis(tick * 10)
}

/// Returns the most that any window of ten seconds holds.
fn most_in_a_window(per_tick: &[f64]) -> f64 {
    per_tick.windows(TICKS_PER_WINDOW as usize).map(|it| it.iter().sum::<f64>()).fold(0.0, f64::max)
}

/// Repeats of all daemons in any window stay within the operators' bound.
#[test]
fn repeats_stay_within_the_ratio_and_the_slack() {
    const REQUESTS_PER_TICK: usize = 4;
    let service = ServiceName::from("tracker");
    let arrivals = vec![(service.clone(), 1.0)];
    let mut budgets: Vec<RetryBudgets> = (0..N_DAEMONS).map(|_| RetryBudgets::default()).collect();
    let mut spent = vec![0.0; 3_000];

    for tick in 0..3_000_u64 {
        for n in 0..REQUESTS_PER_TICK {
            budgets[(tick as usize + n) % N_DAEMONS].record_requests(
                at_tick(tick),
                &POLICY,
                &service,
                1.0,
            );
        }
        for budget in &mut budgets {
            if budget.try_spend(at_tick(tick), &POLICY, N_DAEMONS, &arrivals) {
                spent[tick as usize] += 1.0;
            }
        }
    }

    let per_window = TICKS_PER_WINDOW as usize * REQUESTS_PER_TICK;
    let bound = POLICY.ratio * per_window as f64 + POLICY.base_allowance;
    let most = most_in_a_window(&spent);
    assert!(most <= bound, "{most} repeats in a window, bound {bound}");
    assert!(0.0 < most);
}

/// Each run of a price list makes ten calls at the leaf. Three in ten price lists are let in, so the leaf gets three
/// calls for each price list that is asked for, while the budget of the price lists counts all of them.
#[test]
fn calls_of_repeated_runs_stay_within_the_bound_of_the_leaf() {
    const ROOTS_PER_TICK: usize = 3;
    const CALLS: f64 = 10.0;
    const ADMITTED: f64 = 0.3;
    let (root, leaf) = (ServiceName::from("catalogue"), ServiceName::from("cellar"));
    let arrivals = vec![(root.clone(), 1.0), (leaf.clone(), CALLS)];
    let mut budgets: Vec<RetryBudgets> = (0..N_DAEMONS).map(|_| RetryBudgets::default()).collect();
    let mut at_leaf = vec![0.0; 3_000];

    for tick in 0..3_000_u64 {
        for n in 0..ROOTS_PER_TICK {
            let budget = &mut budgets[(tick as usize + n) % N_DAEMONS];
            budget.record_requests(at_tick(tick), &POLICY, &root, 1.0);
            budget.record_requests(at_tick(tick), &POLICY, &leaf, ADMITTED * CALLS);
        }
        for budget in &mut budgets {
            if budget.try_spend(at_tick(tick), &POLICY, N_DAEMONS, &arrivals) {
                at_leaf[tick as usize] += CALLS;
            }
        }
    }

    let calls_per_window = (TICKS_PER_WINDOW as usize * ROOTS_PER_TICK) as f64 * ADMITTED * CALLS;
    let bound = POLICY.ratio * calls_per_window + POLICY.base_allowance;
    let most = most_in_a_window(&at_leaf);
    assert!(most <= bound, "{most} repeats at the leaf in a window, bound {bound}");
    assert!(0.0 < most);
}

#[test]
fn a_repeat_that_one_service_forbids_spends_nothing_at_the_others() {
    let (root, leaf) = (ServiceName::from("catalogue"), ServiceName::from("cellar"));
    let mut budgets = RetryBudgets::default();
    budgets.record_requests(at_tick(100), &POLICY, &root, 20.0);
    let both = vec![(root.clone(), 1.0), (leaf, 50.0)];

    let is_allowed = budgets.try_spend(at_tick(100), &POLICY, N_DAEMONS, &both);
    let is_root_allowed = budgets.try_spend(at_tick(100), &POLICY, N_DAEMONS, &vec![(root, 2.0)]);

    assert!(!is_allowed);
    assert!(is_root_allowed);
}

/// Pattern: a leaf answers well for a long time, and then fails a quarter of its calls for four seconds.
#[test]
fn an_episode_of_failures_spends_what_the_calm_before_it_has_earned() {
    const REQUESTS_PER_TICK: u64 = 10;
    const EPISODE: std::ops::Range<u64> = 2_500..2_900;
    let service = ServiceName::from("quoting");
    let arrivals = vec![(service.clone(), 1.0)];
    let mut budget = RetryBudgets::default();
    let (mut n_wanted, mut n_spent) = (0, 0);

    for tick in 0..EPISODE.end {
        for n in 0..REQUESTS_PER_TICK {
            budget.record_requests(at_tick(tick), &POLICY, &service, 1.0);
            if EPISODE.contains(&tick) && n % 4 == 0 {
                n_wanted += 1;
                n_spent += u32::from(budget.try_spend(at_tick(tick), &POLICY, 1, &arrivals));
            }
        }
    }

    assert!(n_wanted * 8 / 10 <= n_spent, "{n_spent} of {n_wanted}");
}

/// Traffic that ends leaves its allowance for two windows and no longer.
#[test]
fn the_allowance_of_traffic_that_ended_lapses() {
    let service = ServiceName::from("quoting");
    let arrivals = vec![(service.clone(), 10.0)];
    let policy = RetryPolicy { base_allowance: 0.0, ..POLICY };
    let mut budget = RetryBudgets::default();
    budget.record_requests(at_tick(0), &policy, &service, 1_000.0);

    assert!(budget.try_spend(at_tick(1_500), &policy, 1, &arrivals));
    assert!(!budget.try_spend(at_tick(2_100), &policy, 1, &arrivals));
}
