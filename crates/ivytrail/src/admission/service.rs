//! Service time of the backend server as the guard measures it.

use std::time::Duration;

use crate::time::TimePoint;

const MEAN_GAIN: f64 = 0.05;
const QUANTILE: f64 = 0.25;
const QUANTILE_GAIN: f64 = 0.05;
/// Without samples for this long, the estimate is halved, so that an inflated one can't refuse work forever.
const HALF_LIFE: Duration = Duration::from_millis(500);

/// Running estimates of the service time.
#[derive(Debug, Default)]
pub(super) struct ServiceTime {
    mean_us: f64,
    quantile_us: f64,
    updated: TimePoint,
}

impl ServiceTime {
    /// Records a whole run.
    pub(super) fn note_whole(&mut self, now: TimePoint, latency: Duration) {
        let sample = micros(latency);
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

    /// Records a run that was cut off after `elapsed`: the service time is at least that.
    pub(super) fn note_cut_off(&mut self, now: TimePoint, elapsed: Duration) {
        let sample = micros(elapsed);
        if self.mean_us < sample {
            self.mean_us += MEAN_GAIN * (sample - self.mean_us);
            self.updated = now;
        }
    }

    /// Returns the mean service time, or zero before the first sample.
    pub(super) fn mean(&self, now: TimePoint) -> Duration {
        Duration::from_secs_f64(self.mean_us * self.decay(now) / 1e6)
    }

    /// Returns a service time that three in four runs exceed, or zero before the first sample.
    ///
    /// Work that has less time left will most likely not end in time.
    pub(super) fn optimistic(&self, now: TimePoint) -> Duration {
        Duration::from_secs_f64(self.quantile_us * self.decay(now) / 1e6)
    }

    fn decay(&self, now: TimePoint) -> f64 {
        0.5_f64.powi((now.since(self.updated).as_millis() / HALF_LIFE.as_millis()).min(30) as i32)
    }
}

fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
