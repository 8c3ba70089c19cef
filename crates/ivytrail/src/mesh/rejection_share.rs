//! Share of requests that a backend server rejects without running them.

use std::time::Duration;

use crate::time::TimePoint;

/// Time constant of the moving average.
const SHARE_WINDOW: Duration = Duration::from_millis(700);
/// Smallest weight of one request.
const MIN_GAIN: f64 = 0.02;
/// Time without a request after which the share decays.
const IDLE_TIME: Duration = Duration::from_millis(200);
/// Change of the share that the other daemons are informed of before the next regular advertisement.
const REPORTED_CHANGE: f64 = 0.2;
/// Minimum time between two such advertisements.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Moving average of the share of requests that the local backend server rejected unexecuted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RejectionShare {
    share: f64,
    updated_at: TimePoint,
    /// Share in the last advertisement that was sent because of a change.
    reported: f64,
    reported_at: TimePoint,
}

impl RejectionShare {
    /// Returns the share, from 0 to 1.
    pub(super) fn get(&self) -> f64 {
        self.share
    }

    /// Records whether the server rejected a request.
    pub(super) fn record(&mut self, now: TimePoint, is_rejected: bool) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let gain = (1.0 - (-elapsed / SHARE_WINDOW.as_secs_f64()).exp()).max(MIN_GAIN);
        let sample = if is_rejected { 1.0 } else { 0.0 };
        self.share += gain * (sample - self.share);
    }

    /// Lowers the share while there are no requests, so that a server that is given none is tried again.
    pub(super) fn decay(&mut self, now: TimePoint) {
        if IDLE_TIME <= now.since(self.updated_at) {
            self.record(now, false);
        }
    }

    /// Returns whether the share has changed so much that it should be advertised now, and records that it is.
    pub(super) fn take_change(&mut self, now: TimePoint) -> bool {
        let has_changed = REPORTED_CHANGE <= (self.share - self.reported).abs();
        if !has_changed || now.since(self.reported_at) < MIN_REPORT_INTERVAL {
            return false;
        }
        self.reported = self.share;
        self.reported_at = now;
        true
    }
}

#[cfg(test)]
mod tests;
