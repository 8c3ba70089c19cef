//! Estimate of the backend server's service time, as measured by the guard.

use std::time::Duration;

use crate::time::TimePoint;

const MEAN_GAIN: f64 = 0.05;
const QUANTILE: f64 = 0.25;
const QUANTILE_GAIN: f64 = 0.05;
/// Time without samples after which the estimate is halved, so that an overestimate cannot cause refusals indefinitely.
const HALF_LIFE: Duration = Duration::from_millis(500);

/// Moving estimates of the mean and the lower quartile of the service time.
#[derive(Debug, Default)]
pub(super) struct ServiceTimeEstimate {
    mean_us: f64,
    quantile_us: f64,
    updated: TimePoint,
}

impl ServiceTimeEstimate {
    /// Records the latency of a completed run.
    pub(super) fn record_completed(&mut self, now: TimePoint, latency: Duration) {
        let sample = micros_f64(latency);
        if self.mean_us == 0.0 {
            self.mean_us = sample;
            self.quantile_us = sample;
        }
        self.mean_us += MEAN_GAIN * (sample - self.mean_us);
        let direction = if sample < self.quantile_us { QUANTILE - 1.0 } else { QUANTILE };
        self.quantile_us += QUANTILE_GAIN * direction * self.mean_us;
        self.quantile_us = self.quantile_us.clamp(0.0, self.mean_us);
        self.updated = now;
    }

    /// Records a run that was interrupted after `elapsed`, which is a lower bound of its service time.
    pub(super) fn record_interrupted(&mut self, now: TimePoint, elapsed: Duration) {
        let sample = micros_f64(elapsed);
        if self.mean_us < sample {
            self.mean_us += MEAN_GAIN * (sample - self.mean_us);
            self.updated = now;
        }
    }

    /// Returns the estimated mean service time, or zero before the first sample.
    pub(super) fn mean(&self, now: TimePoint) -> Duration {
        Duration::from_secs_f64(self.mean_us * self.decay(now) / 1e6)
    }

    /// Returns the estimated service time that three in four runs exceed, or zero before the first sample.
    ///
    /// An attempt with less time left is unlikely to meet its deadline.
    pub(super) fn lower_quartile(&self, now: TimePoint) -> Duration {
        Duration::from_secs_f64(self.quantile_us * self.decay(now) / 1e6)
    }

    fn decay(&self, now: TimePoint) -> f64 {
        0.5_f64.powi((now.since(self.updated).as_millis() / HALF_LIFE.as_millis()).min(30) as i32)
    }
}

fn micros_f64(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
