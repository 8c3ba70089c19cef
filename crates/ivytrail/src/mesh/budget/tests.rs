use super::*;

/// Repeats of all daemons in any window stay within the operators' bound.
#[test]
fn repeats_stay_within_the_ratio_and_the_slack() {
    const N_DAEMONS: usize = 12;
    const REQUESTS_PER_TICK: usize = 4;
    let policy = RepeatPolicy { ratio: 0.2, window_s: 10.0, slack: 48.0 };
    let mut budgets = [RepeatBudget::default(); N_DAEMONS];
    let mut spent_at = Vec::new();

    for tick in 0..3_000_u64 {
        let now = TimePoint::from_millis(tick * 10);
        for n in 0..REQUESTS_PER_TICK {
            budgets[(tick as usize + n) % N_DAEMONS].note_request(&policy);
        }
        for budget in &mut budgets {
            if budget.try_spend(now, &policy, N_DAEMONS) {
                spent_at.push(tick);
            }
        }
    }

    let per_window = 1_000 * REQUESTS_PER_TICK;
    let bound = policy.ratio * per_window as f64 + policy.slack;
    for start in 0..2_000_u64 {
        let n = spent_at.iter().filter(|at| (start..start + 1_000).contains(*at)).count();
        assert!(n as f64 <= bound, "{n} repeats in the window from {start}, bound {bound}");
    }
    assert!(!spent_at.is_empty());
}
