//! Limits on retries: a token budget per root request, and a ratio per route and account.
//!
//! [`RetryBudget`] limits the retries of one root request. Its tokens are passed down the call chain and returned, but
//! never duplicated. [`RetryRatio`] limits the retries of one route and account at one daemon, which also bounds the
//! retries of many concurrent root requests.

use std::time::Duration;

use crate::time::TimePoint;

#[cfg(test)]
mod tests;

const RATIO_WINDOW_S: usize = 10;
const RATIO_PERCENT: u64 = 10;
/// Number of retries that are allowed in each window regardless of the traffic.
const MIN_RETRIES_PER_WINDOW: u64 = 3;

/// Retry tokens of a call and its descendants.
///
/// The root call starts with the number of tokens that its route allows. A nested call borrows tokens from its parent,
/// and its reply returns those it did not spend. A lost reply loses tokens but never creates any, so a call tree spends
/// at most the initial tokens of its root.
///
/// # Example
///
/// ```
/// use ivytrail::retry::RetryBudget;
///
/// let mut budget = RetryBudget::new(3);
/// let lent = budget.lend(2);
/// assert_eq!(lent, 2);
/// assert!(budget.spend());
/// assert!(!budget.spend());
/// budget.repay(1);
/// assert!(budget.spend());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    initial_tokens: u32,
    available: u32,
    spent: u32,
    /// Tokens that nested calls have borrowed and not repaid, including those lost with a reply.
    lent: u32,
}

impl RetryBudget {
    /// Returns a budget of `tokens` retries.
    pub fn new(tokens: u32) -> RetryBudget {
        RetryBudget { initial_tokens: tokens, available: tokens, spent: 0, lent: 0 }
    }

    /// Returns the number of tokens that are neither spent nor lent.
    pub fn available(&self) -> u32 {
        self.available
    }

    /// Spends one token on a retry. Returns `false` if no token is available.
    pub fn spend(&mut self) -> bool {
        if self.available == 0 {
            return false;
        }
        self.available -= 1;
        self.spent += 1;
        self.check_conserved();
        true
    }

    /// Lends up to `n` tokens to a nested call and returns the number lent.
    pub fn lend(&mut self, n: u32) -> u32 {
        let lent = n.min(self.available);
        self.available -= lent;
        self.lent += lent;
        self.check_conserved();
        lent
    }

    /// Adds back `n` tokens that a nested call did not spend. The number comes from another daemon, so any excess over
    /// the lent tokens is ignored.
    pub fn repay(&mut self, n: u32) {
        let repaid = n.min(self.lent);
        self.lent -= repaid;
        self.available += repaid;
        self.check_conserved();
    }

    fn check_conserved(&self) {
        let total = u64::from(self.available) + u64::from(self.spent) + u64::from(self.lent);
        assert_eq!(total, u64::from(self.initial_tokens), "retry tokens are not conserved");
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct AttemptCounts {
    second: u64,
    n_first: u64,
    n_retries: u64,
}

/// Limit on the ratio of retries to first attempts of one route and account.
///
/// Within the last ten seconds, the retries may amount to one tenth of the first attempts, plus a constant so that
/// routes with little traffic can retry.
#[derive(Clone, Debug, Default)]
pub struct RetryRatio {
    counts_by_second: [AttemptCounts; RATIO_WINDOW_S],
}

impl RetryRatio {
    /// Returns a limit without recorded attempts.
    pub fn new() -> RetryRatio {
        RetryRatio::default()
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, now: TimePoint) {
        self.counts_at(now).n_first += 1;
    }

    /// Records a retry if the ratio allows it. Returns whether the retry is allowed.
    pub fn try_retry(&mut self, now: TimePoint) -> bool {
        let current = second_of(now);
        let (n_first, n_retries) = self
            .counts_by_second
            .iter()
            .filter(|counts| current < counts.second + RATIO_WINDOW_S as u64)
            .fold((0, 0), |acc, counts| (acc.0 + counts.n_first, acc.1 + counts.n_retries));
        let allowed = n_retries < n_first * RATIO_PERCENT / 100 + MIN_RETRIES_PER_WINDOW;
        if allowed {
            self.counts_at(now).n_retries += 1;
        }
        allowed
    }

    fn counts_at(&mut self, now: TimePoint) -> &mut AttemptCounts {
        let second = second_of(now);
        let counts = &mut self.counts_by_second[second as usize % RATIO_WINDOW_S];
        if counts.second != second {
            *counts = AttemptCounts { second, ..AttemptCounts::default() };
        }
        counts
    }
}

fn second_of(now: TimePoint) -> u64 {
    now.since(TimePoint::ORIGIN).as_micros() as u64 / Duration::from_secs(1).as_micros() as u64
}
