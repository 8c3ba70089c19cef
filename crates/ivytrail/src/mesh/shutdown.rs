//! Planned exit of the process, and which work it can still finish.

use std::time::Duration;

use crate::time::TimePoint;

/// Time after a requested shutdown in which all client requests are accepted.
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(2_800);
/// Time between the end of accepted work and the exit of the process that is left for its response.
const FINISH_MARGIN: Duration = Duration::from_millis(100);
/// Time that is allowed for a run, as a multiple of the route's mean run time.
const RUN_TIME_ALLOWANCE: f64 = 3.0;

/// Times of a requested shutdown.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShutdownPlan {
    requested_at: TimePoint,
    /// Time at which the process exits even if requests are still open.
    exit_at: TimePoint,
}

impl ShutdownPlan {
    /// Creates the plan of a shutdown that is requested at `now`.
    pub(super) fn new(now: TimePoint, exit_within: Duration) -> ShutdownPlan {
        ShutdownPlan { requested_at: now, exit_at: now.plus(exit_within) }
    }

    /// Returns the time until the exit.
    pub(super) fn time_left(&self, now: TimePoint) -> Duration {
        self.exit_at.since(now)
    }

    /// Returns whether a client request is accepted. A late one must fit with its whole time limit, however short most
    /// requests of its route are: the exit would cut it off, and it may not be repeatable.
    pub(super) fn accepts_request(&self, now: TimePoint, time_limit: Duration) -> bool {
        now.since(self.requested_at) < STOP_ACCEPT_TIME || self.fits(now, time_limit)
    }

    /// Returns whether work is expected to end before the exit, from the mean run time of its route. Where that is
    /// unknown, its whole time limit must fit.
    pub(super) fn expects_to_finish(
        &self,
        now: TimePoint,
        mean_run_time: Option<Duration>,
        time_limit: Duration,
    ) -> bool {
        let needed =
            mean_run_time.map_or(time_limit, |it| it.mul_f64(RUN_TIME_ALLOWANCE).min(time_limit));
        self.fits(now, needed)
    }

    fn fits(&self, now: TimePoint, needed: Duration) -> bool {
        needed + FINISH_MARGIN <= self.time_left(now)
    }
}
