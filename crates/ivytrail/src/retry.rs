//! Bounds on retries: conserved tokens in the call chain and a ratio per route.
//!
//! [`RetryBudget`] bounds the retries of one root request: its tokens are handed down the chain and back, never copied.
//! [`RetryRatio`] bounds the retries of one route and account at one daemon, so that many new root requests can't
//! retry at will.

use std::time::Duration;

use crate::time::TimePoint;

#[cfg(test)]
mod tests;

const RATIO_WINDOW_S: usize = 10;
const RATIO_PERCENT: u64 = 10;
/// Retries that are allowed in each window whatever the traffic.
const RATIO_FLOOR: u64 = 3;

/// Retry tokens that a call holds for itself and its descendants.
///
/// The root call is given the tokens of its route. A nested call borrows from its parent, and what it didn't spend comes
/// back with its answer. A lost answer loses tokens and never creates them, so a whole call tree spends at most what the
/// root was given.
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
    given: u32,
    available: u32,
    spent: u32,
    /// Tokens that nested calls have borrowed and not yet repaid, lost ones included.
    lent: u32,
}

impl RetryBudget {
    /// Returns a budget that holds `tokens` retries.
    pub fn new(tokens: u32) -> RetryBudget {
        RetryBudget { given: tokens, available: tokens, spent: 0, lent: 0 }
    }

    /// Returns the tokens at hand.
    pub fn available(&self) -> u32 {
        self.available
    }

    /// Spends one token on a retry. Returns whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.available == 0 {
            return false;
        }
        self.available -= 1;
        self.spent += 1;
        self.check_conserved();
        true
    }

    /// Lends up to `n` tokens to a nested call and returns how many it gets.
    pub fn lend(&mut self, n: u32) -> u32 {
        let lent = n.min(self.available);
        self.available -= lent;
        self.lent += lent;
        self.check_conserved();
        lent
    }

    /// Takes back `n` tokens that a nested call did not spend. What exceeds the tokens on loan is dropped, since the
    /// number comes from another daemon.
    pub fn repay(&mut self, n: u32) {
        let repaid = n.min(self.lent);
        self.lent -= repaid;
        self.available += repaid;
        self.check_conserved();
    }

    fn check_conserved(&self) {
        let total = u64::from(self.available) + u64::from(self.spent) + u64::from(self.lent);
        assert_eq!(total, u64::from(self.given), "retry tokens are not conserved");
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RatioSecond {
    second: u64,
    n_first: u64,
    n_retries: u64,
}

/// Share of retries among the attempts of one route and account.
///
/// At most one in ten first attempts of the last ten seconds may be retried, plus a few so that quiet routes can retry.
#[derive(Clone, Debug, Default)]
pub struct RetryRatio {
    seconds: [RatioSecond; RATIO_WINDOW_S],
}

impl RetryRatio {
    /// Returns a ratio without history.
    pub fn new() -> RetryRatio {
        RetryRatio::default()
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, now: TimePoint) {
        self.second_at(now).n_first += 1;
    }

    /// Records a retry if the ratio allows one. Returns whether it does.
    pub fn try_retry(&mut self, now: TimePoint) -> bool {
        let current = second_of(now);
        let (n_first, n_retries) = self
            .seconds
            .iter()
            .filter(|second| current < second.second + RATIO_WINDOW_S as u64)
            .fold((0, 0), |acc, second| (acc.0 + second.n_first, acc.1 + second.n_retries));
        let allowed = n_retries < n_first * RATIO_PERCENT / 100 + RATIO_FLOOR;
        if allowed {
            self.second_at(now).n_retries += 1;
        }
        allowed
    }

    fn second_at(&mut self, now: TimePoint) -> &mut RatioSecond {
        let second = second_of(now);
        let slot = &mut self.seconds[second as usize % RATIO_WINDOW_S];
        if slot.second != second {
            *slot = RatioSecond { second, ..RatioSecond::default() };
        }
        slot
    }
}

fn second_of(now: TimePoint) -> u64 {
    now.since(TimePoint::ORIGIN).as_micros() as u64 / Duration::from_secs(1).as_micros() as u64
}
