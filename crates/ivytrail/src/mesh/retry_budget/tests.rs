use super::*;

const N_DAEMONS: usize = 12;
const POLICY: RetryPolicy = RetryPolicy { ratio: 0.2, window_s: 10.0, base_allowance: 48.0 };
const TICKS_PER_WINDOW: u64 = 1_000;

fn at_tick(tick: u64) -> TimePoint {
    TimePoint::from_millis(tick * 10)
}

/// Returns the largest sum over any window of ten seconds.
fn max_per_window(per_tick: &[f64]) -> f64 {
    per_tick.windows(TICKS_PER_WINDOW as usize).map(|it| it.iter().sum::<f64>()).fold(0.0, f64::max)
}

/// The retries of all daemons stay within the operators' limit in every window.
#[test]
fn retries_stay_within_the_ratio_and_the_base_allowance() {
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
    let most = max_per_window(&spent);
    assert!(most <= bound, "{most} retries in a window, bound {bound}");
    assert!(0.0 < most);
}

/// Each run of a catalogue request makes ten calls to the leaf. Three in ten catalogue requests are admitted, so the leaf
/// gets three calls per request, while the budget of the catalogue service counts all requests.
#[test]
fn nested_calls_of_retries_stay_within_the_limit_of_the_leaf() {
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
    let most = max_per_window(&at_leaf);
    assert!(most <= bound, "{most} retries at the leaf in a window, bound {bound}");
    assert!(0.0 < most);
}

#[test]
fn a_retry_denied_for_one_service_is_not_charged_at_the_others() {
    let (root, leaf) = (ServiceName::from("catalogue"), ServiceName::from("cellar"));
    let mut budgets = RetryBudgets::default();
    budgets.record_requests(at_tick(100), &POLICY, &root, 20.0);
    let both = vec![(root.clone(), 1.0), (leaf, 50.0)];

    let is_allowed = budgets.try_spend(at_tick(100), &POLICY, N_DAEMONS, &both);
    let is_root_allowed = budgets.try_spend(at_tick(100), &POLICY, N_DAEMONS, &vec![(root, 2.0)]);

    assert!(!is_allowed);
    assert!(is_root_allowed);
}

/// A leaf succeeds for a long time, and then fails a quarter of its calls for four seconds.
#[test]
fn a_period_of_failures_spends_the_allowance_earned_before_it() {
    const REQUESTS_PER_TICK: u64 = 10;
    const FAILURES: std::ops::Range<u64> = 2_500..2_900;
    let service = ServiceName::from("quoting");
    let arrivals = vec![(service.clone(), 1.0)];
    let mut budget = RetryBudgets::default();
    let (mut n_wanted, mut n_spent) = (0, 0);

    for tick in 0..FAILURES.end {
        for n in 0..REQUESTS_PER_TICK {
            budget.record_requests(at_tick(tick), &POLICY, &service, 1.0);
            if FAILURES.contains(&tick) && n % 4 == 0 {
                n_wanted += 1;
                n_spent += u32::from(budget.try_spend(at_tick(tick), &POLICY, 1, &arrivals));
            }
        }
    }

    assert!(n_wanted * 8 / 10 <= n_spent, "{n_spent} of {n_wanted}");
}

/// The allowance from traffic that has ended remains for two windows and no longer.
#[test]
fn the_allowance_of_ended_traffic_expires() {
    let service = ServiceName::from("quoting");
    let arrivals = vec![(service.clone(), 10.0)];
    let policy = RetryPolicy { base_allowance: 0.0, ..POLICY };
    let mut budget = RetryBudgets::default();
    budget.record_requests(at_tick(0), &policy, &service, 1_000.0);

    assert!(budget.try_spend(at_tick(1_500), &policy, 1, &arrivals));
    assert!(!budget.try_spend(at_tick(2_100), &policy, 1, &arrivals));
}
