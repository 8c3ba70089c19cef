//! Measured demand of one account at one entry.

use std::time::Duration;

use crate::time::TimePoint;

/// Time over which the demand is averaged.
const AVERAGING_TIME: Duration = Duration::from_millis(500);

/// Exponentially weighted average of the requests per second.
#[derive(Debug, Default)]
pub(crate) struct DemandMeter {
    rate_per_s: f64,
    counted_at: TimePoint,
}

impl DemandMeter {
    pub(crate) fn count(&mut self, now: TimePoint) {
        self.rate_per_s = self.rate_per_s(now) + 1.0 / AVERAGING_TIME.as_secs_f64();
        self.counted_at = now;
    }

    pub(crate) fn rate_per_s(&self, now: TimePoint) -> f64 {
        let age = now.since(self.counted_at).as_secs_f64();
        self.rate_per_s * (-age / AVERAGING_TIME.as_secs_f64()).exp()
    }
}
