//! Rate limit for log lines about single requests.

use std::time::Duration;

use crate::time::TimePoint;

/// Lines per second for successful requests.
const ROUTINE_LINES_PER_S: u32 = 20;
/// Lines per second for requests that were refused, retried or lost.
const NOTABLE_LINES_PER_S: u32 = 150;
/// Length of the counting window.
const WINDOW: Duration = Duration::from_secs(1);

/// Priority of a log line, by its value in an investigation of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LogPriority {
    /// A successful request.
    Routine,
    /// A request that was refused, retried or lost.
    Notable,
}

/// Limits the lines of each priority in a fixed window and counts the dropped ones.
#[derive(Debug, Default)]
pub(super) struct LogLimit {
    window_start: TimePoint,
    n_routine: u32,
    n_notable: u32,
    n_dropped: u64,
}

impl LogLimit {
    /// Returns whether a line may be written now; a refused line counts as dropped.
    pub(super) fn allows(&mut self, now: TimePoint, priority: LogPriority) -> bool {
        if WINDOW <= now.since(self.window_start) {
            self.window_start = now;
            self.n_routine = 0;
            self.n_notable = 0;
        }
        let (n_written, limit) = match priority {
            LogPriority::Routine => (&mut self.n_routine, ROUTINE_LINES_PER_S),
            LogPriority::Notable => (&mut self.n_notable, NOTABLE_LINES_PER_S),
        };
        if limit <= *n_written {
            self.n_dropped += 1;
            return false;
        }
        *n_written += 1;
        true
    }

    /// Returns the number of lines dropped since the last call, or `None` if there are none or the window is still open.
    pub(super) fn take_dropped(&mut self, now: TimePoint) -> Option<u64> {
        if self.n_dropped == 0 || now.since(self.window_start) < WINDOW {
            return None;
        }
        Some(std::mem::take(&mut self.n_dropped))
    }
}
