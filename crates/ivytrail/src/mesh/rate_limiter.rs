//! Token bucket that spaces out requests to a backend server which has named a limit.

use std::time::Duration;

use crate::time::TimePoint;

/// Time over which unused tokens accumulate.
const BURST_WINDOW: Duration = Duration::from_millis(100);
/// Smallest enforced rate, in requests per second. A server that names a lower limit still gets a request from time to
/// time, whose response may lift the limit.
const MIN_PER_S: f64 = 0.5;

/// A token bucket. It starts empty, since requests may have been sent just before it was created.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimiter {
    per_s: f64,
    tokens: f64,
    filled_at: TimePoint,
}

impl RateLimiter {
    /// Creates a limiter that allows `per_s` requests per second.
    pub fn new(now: TimePoint, per_s: f64) -> RateLimiter {
        RateLimiter { per_s: per_s.max(MIN_PER_S), tokens: 0.0, filled_at: now }
    }

    /// Changes the rate and keeps the tokens that fit into the new burst.
    pub fn set_rate(&mut self, now: TimePoint, per_s: f64) {
        self.tokens = self.tokens_at(now);
        self.filled_at = now;
        self.per_s = per_s.max(MIN_PER_S);
        self.tokens = self.tokens.min(self.burst());
    }

    /// Takes a token if there is one, and returns whether it did.
    pub fn try_take(&mut self, now: TimePoint) -> bool {
        self.tokens = self.tokens_at(now);
        self.filled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the time until `n_tokens` have become available, if no others are taken.
    pub fn wait_for(&self, now: TimePoint, n_tokens: usize) -> Duration {
        let missing = (n_tokens as f64 - self.tokens_at(now)).max(0.0);
        Duration::from_secs_f64(missing / self.per_s)
    }

    fn tokens_at(&self, now: TimePoint) -> f64 {
        let earned = now.since(self.filled_at).as_secs_f64() * self.per_s;
        (self.tokens + earned).min(self.burst())
    }

    fn burst(&self) -> f64 {
        (self.per_s * BURST_WINDOW.as_secs_f64()).max(1.0)
    }
}

#[cfg(test)]
mod tests;
