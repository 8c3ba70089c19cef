use std::time::Duration;

use proptest::{prop_assert, proptest};

use super::RateLimiter;
use crate::time::TimePoint;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// Returns the times in milliseconds at which requests pass, when one is waiting at each of `times`.
fn passes(limiter: &mut RateLimiter, times: impl Iterator<Item = u64>) -> Vec<u64> {
    times.filter(|it| limiter.try_take(at(*it))).collect()
}

proptest! {
    /// Server operators tolerate one and a half times the limit and five requests in any four seconds.
    #[test]
    fn no_window_has_more_requests_than_the_rate_allows(per_s in 0.0_f64..300.0, step_ms in 1_u64..30) {
        const WINDOW_MS: u64 = 4_000;
        let mut limiter = RateLimiter::new(at(0), per_s);
        let allowed = 1.5 * per_s * WINDOW_MS as f64 / 1e3 + 5.0;

        let passed = passes(&mut limiter, (0..12_000).step_by(step_ms as usize));

        for (idx, from) in passed.iter().enumerate() {
            let n_in_window = passed[idx..].iter().take_while(|it| **it < from + WINDOW_MS).count();
            prop_assert!(n_in_window as f64 <= allowed, "{n_in_window} from {from} ms");
        }
    }
}

#[test]
fn requests_pass_at_the_rate() {
    let mut limiter = RateLimiter::new(at(0), 50.0);

    let n_passed = passes(&mut limiter, (0..10_000).step_by(5)).len();

    assert!((490..=505).contains(&n_passed), "{n_passed}");
}

#[test]
fn a_limit_of_zero_lets_a_request_pass_from_time_to_time() {
    let mut limiter = RateLimiter::new(at(0), 0.0);

    let passed = passes(&mut limiter, (0..=4_000).step_by(100));

    assert_eq!(passed, [2_000, 4_000]);
}

#[test]
fn a_lower_rate_applies_to_tokens_that_were_saved() {
    let mut limiter = RateLimiter::new(at(0), 100.0);
    assert_eq!(limiter.wait_for(at(1_000), 10), Duration::ZERO);

    limiter.set_rate(at(1_000), 2.0);

    assert_eq!(passes(&mut limiter, (1_000..2_100).step_by(100)), [1_000, 1_500, 2_000]);
    assert_eq!(limiter.wait_for(at(2_000), 2), Duration::from_secs(1));
}
