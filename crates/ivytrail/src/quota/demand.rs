//! Measured request rate of an account at an entry.

use std::time::Duration;

use crate::time::TimePoint;

/// Time constant of the moving average.
const AVERAGING_TIME: Duration = Duration::from_millis(500);

/// Exponentially weighted moving average of the requests per second.
#[derive(Debug, Default)]
pub(crate) struct DemandMeter {
    rate_per_s: f64,
    updated_at: TimePoint,
}

impl DemandMeter {
    pub(crate) fn record(&mut self, now: TimePoint) {
        self.rate_per_s = self.rate_per_s(now) + 1.0 / AVERAGING_TIME.as_secs_f64();
        self.updated_at = now;
    }

    pub(crate) fn rate_per_s(&self, now: TimePoint) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.rate_per_s * (-age / AVERAGING_TIME.as_secs_f64()).exp()
    }
}
