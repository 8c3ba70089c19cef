//! Bound on the volume of the log.

use std::time::Duration;

use crate::time::TimePoint;

/// Lines a second for requests that went as they should.
const ROUTINE_LINES_PER_S: u32 = 20;
/// Lines a second for requests that were refused, repeated or lost.
const NOTABLE_LINES_PER_S: u32 = 150;
/// Length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// How much a line tells an engineer who looks for the cause of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LogPriority {
    /// A request that went as it should.
    Routine,
    /// A request that was refused, repeated or lost.
    Notable,
}

/// Lines that may still be written in this window; what is dropped is counted.
#[derive(Debug, Default)]
pub(super) struct LogRateLimit {
    window_start: TimePoint,
    n_routine: u32,
    n_notable: u32,
    n_dropped: u64,
}

impl LogRateLimit {
    /// Returns whether a line may be written now.
    pub(super) fn allows(&mut self, now: TimePoint, weight: LogPriority) -> bool {
        if WINDOW <= now.since(self.window_start) {
            self.window_start = now;
            self.n_routine = 0;
            self.n_notable = 0;
        }
        let (n_written, bound) = match weight {
            LogPriority::Routine => (&mut self.n_routine, ROUTINE_LINES_PER_S),
            LogPriority::Notable => (&mut self.n_notable, NOTABLE_LINES_PER_S),
        };
        if bound <= *n_written {
            self.n_dropped += 1;
            return false;
        }
        *n_written += 1;
        true
    }

    /// Returns the number of lines dropped since the last call, once a window.
    pub(super) fn take_dropped(&mut self, now: TimePoint) -> Option<u64> {
        if self.n_dropped == 0 || now.since(self.window_start) < WINDOW {
            return None;
        }
        Some(std::mem::take(&mut self.n_dropped))
    }
}
