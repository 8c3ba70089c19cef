//! Bound on repeated sends to one service, over the whole fleet.

use crate::time::TimePoint;

/// What operators allow of repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatPolicy {
    /// Repeats for each request, over the window.
    pub ratio: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Repeats in a window whatever the traffic, over all daemons.
    pub slack: f64,
}

impl Default for RepeatPolicy {
    fn default() -> RepeatPolicy {
        RepeatPolicy { ratio: 0.1, window_s: 10.0, slack: 0.0 }
    }
}

/// Share of the allowance that is spent; the rest covers repeats of calls that a repeated run makes again.
const SPENT_SHARE: f64 = 0.5;

/// One daemon's part of the repeats that a service may get.
///
/// Each request earns a part of a repeat, and each daemon gets its part of the slack. Unspent repeats lapse after a
/// window, so that the sum over all daemons stays within the allowance in any window.
#[derive(Clone, Copy, Debug, Default)]
pub struct RepeatBudget {
    tokens: f64,
    earned_at: TimePoint,
}

impl RepeatBudget {
    /// Records a client's request for the service.
    pub fn note_request(&mut self, policy: &RepeatPolicy) {
        self.tokens += policy.ratio * SPENT_SHARE;
    }

    /// Spends one repeat. Returns whether there was one; `n_daemons` share the slack.
    pub fn try_spend(&mut self, now: TimePoint, policy: &RepeatPolicy, n_daemons: usize) -> bool {
        let part = policy.slack * SPENT_SHARE / n_daemons.max(1) as f64;
        let elapsed = now.since(self.earned_at).as_secs_f64();
        self.earned_at = now;
        self.tokens = (self.tokens + part * elapsed / policy.window_s).min(part.max(1.0) + 4.0);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests;
