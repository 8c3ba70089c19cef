//! Warm-up of the local backend server.
//!
//! A server is cold for some time after its start, and may become cold again. While it is cold it tolerates only few
//! requests per second, and more of them crash it. Its guard, which all requests pass, spaces out the starts of runs
//! accordingly. A server whose state isn't known counts as cold, and is asked for its state.

use std::{collections::VecDeque, time::Duration};

use derive_more::Display;

use super::{
    MeshReducer, ReducerStep,
    event::{HealthReport, MeshEffect},
    frame::ServerPhase,
    policy::WarmUpPolicy,
};
use crate::time::TimePoint;

/// Time after which an announcement counts as sent later than an event; a late announcement may have been sent before.
const ANNOUNCEMENT_DELAY_BOUND: Duration = Duration::from_secs(3);
/// Interval between probes of a server whose state isn't known.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Window in which starts are counted when a cold server crashes.
const START_WINDOW: Duration = Duration::from_secs(1);
/// Multiple of the requests that a cold server tolerates above which a crash is attributed to their number.
const OVERLOAD_FACTOR: f64 = 1.5;

/// What is known of the warm-up of the local backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ServerWarmth {
    /// Nothing; the server counts as cold.
    #[default]
    Unknown,
    Cold {
        until: TimePoint,
    },
    Warm,
}

/// Something that shows whether the local backend server is cold.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub(super) enum WarmUpObservation {
    /// A new run of the server announced itself.
    #[display("started")]
    Started { cold_for: Duration },
    /// The known run announced itself, possibly with a delay.
    #[display("announced")]
    Announced { cold_for: Duration },
    /// The server responded to a probe.
    #[display("probed")]
    Probed { cold_for: Duration },
    /// The server accepted no connection, so that another run of it may follow.
    Unreachable,
    /// The evacuation of the server's failure domain has ended.
    Evacuated,
    /// The known warm-up time has passed.
    Elapsed,
}

/// Warm-up of the local backend server, as its guard knows it.
#[derive(Debug, Default)]
pub(super) struct WarmUpState {
    policy: Option<WarmUpPolicy>,
    warmth: ServerWarmth,
    /// Time up to which announcements may have been sent before the server's state became unknown.
    announcements_outdated_until: TimePoint,
    probed_at: Option<TimePoint>,
    is_probing: bool,
    /// Times of the starts in the last [`START_WINDOW`].
    recent_starts: VecDeque<TimePoint>,
    n_held_starts: u64,
}

impl WarmUpState {
    /// Sets what a cold server tolerates.
    pub(super) fn set_policy(&mut self, policy: Option<WarmUpPolicy>) {
        self.policy = policy;
    }

    fn observe(&mut self, now: TimePoint, observation: WarmUpObservation) {
        self.warmth = match (observation, self.warmth) {
            (
                WarmUpObservation::Started { cold_for } | WarmUpObservation::Probed { cold_for },
                _,
            ) => warmth_of(now, cold_for),
            (WarmUpObservation::Announced { cold_for }, warmth) => {
                self.warmth_after_announcement(now, cold_for, warmth)
            }
            (WarmUpObservation::Unreachable | WarmUpObservation::Evacuated, _) => {
                self.announcements_outdated_until = now.plus(ANNOUNCEMENT_DELAY_BOUND);
                self.probed_at = None;
                ServerWarmth::Unknown
            }
            (WarmUpObservation::Elapsed, ServerWarmth::Cold { until }) if until <= now => {
                ServerWarmth::Warm
            }
            (WarmUpObservation::Elapsed, warmth) => warmth,
        };
    }

    /// An announcement may be late. It can show that the server is cold, but that it is warm only where nothing that was
    /// observed since may have made it cold.
    fn warmth_after_announcement(
        &self,
        now: TimePoint,
        cold_for: Duration,
        warmth: ServerWarmth,
    ) -> ServerWarmth {
        match (warmth_of(now, cold_for), warmth) {
            (ServerWarmth::Cold { until }, ServerWarmth::Cold { until: known }) => {
                ServerWarmth::Cold { until: until.max(known) }
            }
            (ServerWarmth::Warm, ServerWarmth::Unknown)
                if self.announcements_outdated_until <= now =>
            {
                ServerWarmth::Warm
            }
            (ServerWarmth::Warm, warmth) => warmth,
            (cold, _) => cold,
        }
    }

    /// Returns the requests per second that the server tolerates, or `None` if its warm-up imposes no limit.
    pub(super) fn tolerated_per_s(&self) -> Option<f64> {
        let policy = self.policy?;
        (self.warmth != ServerWarmth::Warm).then_some(policy.requests_per_s)
    }

    /// Returns the time for which the server may remain cold, or `None` if it is warm or needs no warm-up.
    pub(super) fn cold_for(&self, now: TimePoint) -> Option<Duration> {
        let policy = self.policy?;
        match self.warmth {
            ServerWarmth::Unknown => Some(policy.duration),
            ServerWarmth::Cold { until } => Some(until.since(now)),
            ServerWarmth::Warm => None,
        }
    }

    fn has_elapsed(&self, now: TimePoint) -> bool {
        matches!(self.warmth, ServerWarmth::Cold { until } if until <= now)
    }

    fn is_probe_due(&self, now: TimePoint) -> bool {
        self.policy.is_some()
            && self.warmth == ServerWarmth::Unknown
            && !self.is_probing
            && self.probed_at.is_none_or(|at| PROBE_INTERVAL <= now.since(at))
    }

    pub(super) fn record_start(&mut self, now: TimePoint) {
        if self.policy.is_some() {
            self.recent_starts.push_back(now);
            while self.recent_starts.pop_front_if(|at| START_WINDOW <= now.since(*at)).is_some() {}
        }
    }

    /// Returns whether the number of recent starts explains a crash of the server, which is known to be cold.
    pub(super) fn explains_crash(&self, now: TimePoint) -> bool {
        let Some(policy) = self.policy else { return false };
        let is_cold = matches!(self.warmth, ServerWarmth::Cold { until } if now < until);
        let n_starts =
            self.recent_starts.iter().filter(|at| now.since(**at) < START_WINDOW).count();
        is_cold && policy.requests_per_s * OVERLOAD_FACTOR < n_starts as f64
    }

    /// Counts a start that waits although a slot is free.
    pub(super) fn count_held_start(&mut self) {
        self.n_held_starts += 1;
    }
}

fn warmth_of(now: TimePoint, cold_for: Duration) -> ServerWarmth {
    match cold_for.is_zero() {
        true => ServerWarmth::Warm,
        false => ServerWarmth::Cold { until: now.plus(cold_for) },
    }
}

impl MeshReducer {
    /// Returns the time for which the local backend server may remain cold, or `None` if it is warm or needs no warm-up.
    pub fn server_cold_for(&self) -> Option<Duration> {
        self.guard.warm_up.cold_for(self.applied_at)
    }

    /// Returns the number of attempts that had to wait for the warm-up of the local backend server.
    pub fn n_held_starts(&self) -> u64 {
        self.guard.warm_up.n_held_starts
    }

    /// Applies what shows whether the local backend server is cold.
    pub(super) fn observe_warm_up(
        &mut self,
        step: &mut ReducerStep<'_>,
        observation: WarmUpObservation,
    ) {
        let was_cold = self.guard.warm_up.tolerated_per_s().is_some();
        self.guard.warm_up.observe(step.now, observation);
        let tolerated_per_s = self.guard.warm_up.tolerated_per_s();
        if was_cold != tolerated_per_s.is_some()
            && let Some(server) = &self.guard.server
        {
            step.log(match tolerated_per_s {
                Some(per_s) => format!(
                    "event=server_cold server={} cause={observation} cold_ms={} tolerated={per_s}/s",
                    server.id,
                    self.guard.warm_up.cold_for(step.now).unwrap_or_default().as_millis(),
                ),
                None => format!("event=server_warm server={} cause={observation}", server.id),
            });
        }
        self.update_request_limit(step);
    }

    /// Ends the warm-up whose time has passed, and probes a server whose state isn't known.
    pub(super) fn tick_warm_up(&mut self, step: &mut ReducerStep<'_>) {
        if self.guard.warm_up.has_elapsed(step.now) {
            self.observe_warm_up(step, WarmUpObservation::Elapsed);
        }
        let is_in_use = !self.guard.is_evacuated && self.guard.paused_until <= step.now;
        let is_ready = self.guard.server.as_ref().is_some_and(|it| it.phase == ServerPhase::Ready);
        if is_in_use && is_ready && self.guard.warm_up.is_probe_due(step.now) {
            self.probe_health(step);
        }
    }

    fn probe_health(&mut self, step: &mut ReducerStep<'_>) {
        let Some(path) = self.server_policy().map(|it| it.health_path.clone()) else { return };
        self.guard.warm_up.is_probing = true;
        self.guard.warm_up.probed_at = Some(step.now);
        step.out.push(MeshEffect::ProbeHealth { path });
    }

    /// Handles the response to a health probe, or its failure.
    pub(super) fn handle_health_probe(
        &mut self,
        step: &mut ReducerStep<'_>,
        report: Option<HealthReport>,
    ) {
        self.guard.warm_up.is_probing = false;
        let server_id = self.guard.server.as_ref().map(|it| &it.id);
        if let Some(report) = report.filter(|it| Some(&it.server_id) == server_id) {
            let cold_for = report.cold_for;
            self.observe_warm_up(step, WarmUpObservation::Probed { cold_for });
        }
    }
}

#[cfg(test)]
mod tests;
