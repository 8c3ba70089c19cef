//! Planned exit of the process, and which work it can still finish.

use std::time::Duration;

use super::{MeshReducer, entry::EntryCall, frame::AttemptRequest};
use crate::time::TimePoint;

/// Time after a requested shutdown in which all client requests are accepted.
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(2_800);
/// Time between the end of accepted work and the exit of the process that is left for its response.
const FINISH_MARGIN: Duration = Duration::from_millis(100);
/// Time between the deadline of a run of a late nested call and the exit. The run may overrun its deadline, and its response
/// passes two daemons and the server that made the call.
const NESTED_RUN_MARGIN: Duration = Duration::from_millis(400);
/// Time between the entry's own response to a late nested call and the exit.
const NESTED_RESPONSE_MARGIN: Duration = Duration::from_millis(250);
/// Time between the deadline of a run that can't be repeated elsewhere and the exit.
const RUN_MARGIN: Duration = Duration::from_millis(250);
/// Part of the remaining time that is reserved for the transfer of the response to the entry.
const RESPONSE_TRANSIT_MARGIN: Duration = Duration::from_millis(4);
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

    /// Returns whether a nested call is expected to end before its [`ShutdownPlan::nested_run_deadline`].
    pub(super) fn accepts_nested_call(
        &self,
        now: TimePoint,
        mean_run_time: Option<Duration>,
        time_limit: Duration,
    ) -> bool {
        expected_time(mean_run_time, time_limit) <= self.nested_run_deadline().since(now)
    }

    /// Returns whether a run is expected to end before the exit.
    pub(super) fn expects_to_finish(
        &self,
        now: TimePoint,
        mean_run_time: Option<Duration>,
        time_limit: Duration,
    ) -> bool {
        self.fits(now, expected_time(mean_run_time, time_limit))
    }

    /// Returns the latest deadline that the server of a nested call is given. Some calls of a route take much longer than
    /// most; their servers end them in time for a response.
    pub(super) fn nested_run_deadline(&self) -> TimePoint {
        self.exit_at.minus(NESTED_RUN_MARGIN)
    }

    /// Returns the time at which the entry itself responds to a nested call that is still open.
    pub(super) fn nested_response_deadline(&self) -> TimePoint {
        self.exit_at.minus(NESTED_RESPONSE_MARGIN)
    }

    /// Returns the latest deadline of a run that can't be repeated elsewhere.
    pub(super) fn run_deadline(&self) -> TimePoint {
        self.exit_at.minus(RUN_MARGIN)
    }

    fn fits(&self, now: TimePoint, needed: Duration) -> bool {
        needed + FINISH_MARGIN <= self.time_left(now)
    }
}

impl EntryCall {
    /// Returns the deadline that the backend server of the call is given. A nested call at a stopping daemon must have its
    /// response before the exit.
    pub(super) fn run_deadline(&self, shutdown: Option<ShutdownPlan>) -> TimePoint {
        let deadline = self.deadline.minus(RESPONSE_TRANSIT_MARGIN);
        match (shutdown, self.parent) {
            (Some(plan), Some(_)) => deadline.min(plan.nested_run_deadline()),
            _ => deadline,
        }
    }
}

impl MeshReducer {
    /// Returns whether an attempt is expected to end before the process exits. Another guard may run one that is not.
    pub(super) fn can_finish(
        &self,
        now: TimePoint,
        request: &AttemptRequest,
        time_left: Duration,
    ) -> bool {
        let Some(plan) = self.shutdown else { return true };
        let mean_run_time = self.guard.cost_estimator.mean_hold_time(&request.route);
        plan.expects_to_finish(now, mean_run_time, time_left)
    }
}

/// Returns the time that work is expected to take at most, from the mean run time of its route, or its whole time limit where
/// that is unknown.
fn expected_time(mean_run_time: Option<Duration>, time_limit: Duration) -> Duration {
    mean_run_time.map_or(time_limit, |it| it.mul_f64(RUN_TIME_ALLOWANCE).min(time_limit))
}
