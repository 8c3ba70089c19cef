//! Adaptive limit on the number of requests that run at once.

use crate::time::TimePoint;

use super::RunSample;

const DECREASE_FACTOR: f64 = 0.9;

/// The number of requests that may run at once, between 1 and the slots of the backend server.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    adaptive: bool,
    slots: u32,
    limit: f64,
    decreased: TimePoint,
}

impl ConcurrencyLimit {
    pub(super) fn new(adaptive: bool) -> ConcurrencyLimit {
        ConcurrencyLimit { adaptive, slots: 0, limit: 0.0, decreased: TimePoint::ORIGIN }
    }

    /// Returns the limit: zero without slots, otherwise at least 1 and at most the slots.
    pub(super) fn get(&self) -> u32 {
        if self.slots == 0 {
            return 0;
        }
        (self.limit as u32).clamp(1, self.slots)
    }

    pub(super) fn set_slots(&mut self, slots: u32) {
        let was_full = self.get() == self.slots;
        self.slots = slots;
        if was_full || f64::from(slots) < self.limit {
            self.limit = f64::from(slots);
        }
    }

    pub(super) fn note(&mut self, now: TimePoint, running: u32, sample: RunSample) {
        if !self.adaptive {
            return;
        }
        match sample {
            RunSample::Overloaded if self.decreased < now => {
                self.limit = (f64::from(running) * DECREASE_FACTOR).max(1.0);
                self.decreased = now;
            }
            RunSample::Whole { .. } => {
                self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(f64::from(self.slots));
            }
            RunSample::Overloaded | RunSample::Failed { .. } | RunSample::Cancelled => {}
        }
    }
}
