//! Estimates of the rate at which an account gets or requests tokens.

use std::time::Duration;

use crate::time::TimePoint;

/// Time constant of the moving average.
pub(super) const RATE_WINDOW: Duration = Duration::from_secs(3);

/// Moving average of a number of tokens per second.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::mesh) struct RateEstimate {
    per_s: f64,
    updated_at: TimePoint,
}

impl RateEstimate {
    /// Adds tokens to the average.
    pub(in crate::mesh) fn record(&mut self, now: TimePoint, n_tokens: u32) {
        self.per_s = self.per_s_at(now) + f64::from(n_tokens) / RATE_WINDOW.as_secs_f64();
        self.updated_at = now;
    }

    /// Removes a token that was not used after all.
    pub(in crate::mesh) fn withdraw(&mut self) {
        self.per_s = (self.per_s - 1.0 / RATE_WINDOW.as_secs_f64()).max(0.0);
    }

    /// Returns the average now, in tokens per second.
    pub(in crate::mesh) fn per_s_at(&self, now: TimePoint) -> f64 {
        let elapsed_s = now.since(self.updated_at).as_secs_f64();
        self.per_s * (-elapsed_s / RATE_WINDOW.as_secs_f64()).exp()
    }

    /// Returns the average at the time of the last record, in tokens per second.
    pub(in crate::mesh) fn per_s(&self) -> f64 {
        self.per_s
    }
}
