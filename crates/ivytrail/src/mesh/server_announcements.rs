//! Handling of what the local backend server reports about itself: its announcements, the notices in its responses and
//! the report that it is shutting down.

use std::time::Duration;

use smol_str::SmolStr;

use super::{
    MeshReducer, ReducerStep,
    event::MeshEffect,
    frame::{RequestLimit, ServerAdvertisement, ServerNotice, ServerPhase},
    leaving_servers::{DepartureSource, LeavingRun},
    log_limit::LogPriority,
    rejection_share::RejectionShare,
    run_outcome::CrashSign,
    warm_up::WarmUpObservation,
};
use crate::{id::ServiceName, time::TimePoint};

/// Time after the last response with a limit from which on a response without one lifts it. Single responses of a server
/// in trouble may lack the header.
const LIMIT_LIFT_DELAY: Duration = Duration::from_secs(1);
/// Fraction by which a server's limit may change before other daemons are notified at once.
const SMALL_LIMIT_CHANGE: f64 = 0.2;

impl MeshReducer {
    pub(super) fn handle_server_announcement(
        &mut self,
        step: &mut ReducerStep<'_>,
        announced: ServerAdvertisement,
        sequence: u64,
    ) {
        if let Some(cause) = self.conflict_with_known(&announced, sequence) {
            return self.ignore_announcement(step, &announced, sequence, cause);
        }
        let mut announced = announced;
        match self.leaving_servers.conflicting_shutdown(step.now, &announced) {
            // This may already be the next run of the server; a later announcement decides.
            Some(LeavingRun::Unknown) => {
                return self.ignore_announcement(step, &announced, sequence, "left");
            }
            Some(LeavingRun::Started { .. }) => announced.phase = ServerPhase::Draining,
            None => {}
        }
        if announced.phase == ServerPhase::Draining {
            let started_at_ms = Some(announced.started_at_ms);
            self.record_departure(step, &announced.id, started_at_ms, DepartureSource::Server);
        }
        self.guard.sequence = sequence;
        let is_changed = self.guard.server.as_ref().is_none_or(|it| {
            it.id != announced.id
                || it.started_at_ms != announced.started_at_ms
                || it.phase != announced.phase
                || it.slots != announced.slots
                || it.service != announced.service
        });
        let cold_for = announced.warm_up;
        if !is_changed {
            return self.observe_warm_up(step, WarmUpObservation::Announced { cold_for });
        }
        step.log(format!(
            "event=server_announced server={} service={} phase={:?} slots={} born_ms={} sequence={sequence}",
            announced.id, announced.service, announced.phase, announced.slots, announced.started_at_ms,
        ));
        let is_same_run = self.guard.server.as_ref().is_some_and(|it| {
            // A server that was found by its health check has an unknown start time.
            it.id == announced.id && [0, announced.started_at_ms].contains(&it.started_at_ms)
        });
        if !is_same_run {
            self.record_server_crash(step, CrashSign::Replaced);
            self.guard.crash_detector.record_restart();
        }
        let before = self.guard.server.replace(announced);
        self.guard.paused_until = TimePoint::ORIGIN;
        if !is_same_run {
            self.guard.notice = ServerNotice::default();
        }
        if let Some(before) = before {
            self.handle_service_change(step, &before.service);
        }
        self.observe_warm_up(
            step,
            match is_same_run {
                true => WarmUpObservation::Announced { cold_for },
                false => WarmUpObservation::Started { cold_for },
            },
        );
        self.update_limit(step);
        self.publish_advertisement(step);
    }

    /// Notifies the entries if the local backend server belongs to another service than the former one, `before`, refuses the
    /// attempts that wait for that, and drops what the former server has shown.
    fn handle_service_change(&mut self, step: &mut ReducerStep<'_>, before: &ServiceName) {
        let Some(server) = self.guard.server.as_ref().filter(|it| it.service != *before) else {
            return;
        };
        step.log(format!(
            "event=server_service_changed server={} service={} before={before} running={} queued={}",
            server.id,
            server.service,
            self.guard.queue.n_running(),
            self.guard.queue.n_waiting(),
        ));
        self.guard.queue.forget_history();
        self.guard.rejections = RejectionShare::default();
        self.update_warm_up_policy();
        self.publish_before_replies(step);
        self.refuse_foreign_attempts(step);
    }

    /// Returns why an announcement changes nothing, if it doesn't: no server beside this daemon can have sent it, or it is
    /// older than what is known.
    fn conflict_with_known(
        &self,
        announced: &ServerAdvertisement,
        sequence: u64,
    ) -> Option<&'static str> {
        if !self.is_known_service(&announced.service) {
            return Some("service");
        }
        let current = self.guard.server.as_ref()?;
        let is_same_run =
            current.id == announced.id && current.started_at_ms == announced.started_at_ms;
        let is_old = announced.started_at_ms < current.started_at_ms
            || (is_same_run && (sequence <= self.guard.sequence));
        // A server that is shutting down does not become ready again within the same run.
        let is_ready_again = is_same_run
            && current.phase == ServerPhase::Draining
            && announced.phase == ServerPhase::Ready;
        (is_old || is_ready_again).then_some("old")
    }

    /// Returns whether a server beside this daemon may belong to a service: the daemon's own one, or one that the settings
    /// declare.
    fn is_known_service(&self, service: &ServiceName) -> bool {
        *service == self.options.service
            || self.settings.as_ref().is_some_and(|it| it.service(service).is_some())
    }

    fn ignore_announcement(
        &self,
        step: &mut ReducerStep<'_>,
        announced: &ServerAdvertisement,
        sequence: u64,
        cause: &str,
    ) {
        step.log(format!(
            "event=announcement_ignored cause={cause} server={} sequence={sequence} known_sequence={} born_ms={}",
            announced.id, self.guard.sequence, announced.started_at_ms,
        ));
    }

    /// Handles what the local backend server reported in a response.
    pub(super) fn handle_server_notice(
        &mut self,
        step: &mut ReducerStep<'_>,
        id: &SmolStr,
        notice: ServerNotice,
    ) {
        if self.guard.server.as_ref().is_none_or(|it| it.id != *id) {
            return;
        }
        let mut notice = notice;
        if let Some(cold_for) = notice.cold_for.take() {
            self.observe_warm_up(step, WarmUpObservation::Announced { cold_for });
        }
        match notice.request_limit {
            RequestLimit::PerSecond(_) => self.guard.limit_named_at = step.now,
            _ if step.now.since(self.guard.limit_named_at) < LIMIT_LIFT_DELAY => {
                notice.request_limit = self.guard.notice.request_limit;
            }
            RequestLimit::Unknown => notice.request_limit = self.guard.notice.request_limit,
            RequestLimit::Unlimited => {}
        }
        if self.guard.notice == notice {
            return;
        }
        if self.log_limit.allows(step.now, LogPriority::Notable) {
            step.log(format!(
                "event=server_notice server={id} limit={} before={} leaving={}",
                notice.request_limit, self.guard.notice.request_limit, notice.is_leaving
            ));
        }
        self.guard.notice = notice;
        self.update_request_limit(step);
        if notice.is_leaving {
            self.handle_server_shutdown(step, id, None, DepartureSource::Server);
        }
    }

    /// Handles another daemon's report of the limit that the local backend server has named to an earlier incarnation of
    /// this daemon. What the server itself has reported since takes precedence.
    pub(super) fn handle_reported_limit(
        &mut self,
        step: &mut ReducerStep<'_>,
        id: &SmolStr,
        per_s: f64,
    ) {
        let is_local = self.guard.server.as_ref().is_some_and(|it| it.id == *id);
        if is_local && self.guard.notice.request_limit == RequestLimit::Unknown {
            step.log(format!("event=server_limit_reported server={id} limit={per_s}/s"));
            self.guard.notice.request_limit = RequestLimit::PerSecond(per_s);
            self.update_request_limit(step);
        }
    }

    /// Limits the starts of attempts to what the local backend server has named, and to what it tolerates while it is
    /// cold. Notifies the other daemons of a notable change.
    pub(super) fn update_request_limit(&mut self, step: &mut ReducerStep<'_>) {
        let request_limit = self.guard.combined_request_limit();
        let before = std::mem::replace(&mut self.guard.request_limit, request_limit);
        if before == request_limit {
            return;
        }
        let per_s = match request_limit {
            RequestLimit::PerSecond(per_s) => Some(per_s),
            RequestLimit::Unknown | RequestLimit::Unlimited => None,
        };
        let mut decisions = Vec::new();
        self.guard.queue.set_rate(step.now, per_s, &mut decisions);
        self.apply_decisions(step, decisions);
        let is_urgent = match (before, request_limit) {
            (RequestLimit::Unknown, RequestLimit::Unlimited) => false,
            (RequestLimit::PerSecond(before), RequestLimit::PerSecond(per_s)) => {
                before * SMALL_LIMIT_CHANGE <= (per_s - before).abs()
            }
            _ => true,
        };
        // Replies and periodic advertisements carry all other changes.
        if is_urgent && self.guard.server.is_some() {
            self.publish_before_replies(step);
        }
    }

    /// Handles the notice that a run of the server is shutting down: the run that started at `started_at_ms`, or else
    /// the current one.
    pub(super) fn handle_server_shutdown(
        &mut self,
        step: &mut ReducerStep<'_>,
        id: &SmolStr,
        started_at_ms: Option<u64>,
        source: DepartureSource,
    ) {
        let current = self.guard.server.as_ref().filter(|it| it.id == *id);
        let started_at_ms = started_at_ms.or(current.map(|it| it.started_at_ms));
        self.record_departure(step, id, started_at_ms, source);
        let is_leaving =
            |it: &&mut ServerAdvertisement| it.id == *id && Some(it.started_at_ms) <= started_at_ms;
        let Some(server) = self.guard.server.as_mut().filter(is_leaving) else { return };
        if server.phase == ServerPhase::Draining {
            return;
        }
        server.phase = ServerPhase::Draining;
        step.log(format!("event=server_leaving server={id}"));
        self.update_limit(step);
        self.publish_before_replies(step);
    }

    /// Records the departure of a server, and stores one that the server beside this daemon has reported.
    fn record_departure(
        &mut self,
        step: &mut ReducerStep<'_>,
        id: &SmolStr,
        started_at_ms: Option<u64>,
        source: DepartureSource,
    ) {
        let departure = self.leaving_servers.record(step.now, id, started_at_ms);
        match (source, departure) {
            (DepartureSource::Server, Some(departure)) => {
                step.out.push(MeshEffect::SaveDeparture(departure));
            }
            (DepartureSource::Server, None) | (DepartureSource::Record, _) => {}
        }
    }

    /// Updates the queue's limit to what the backend server accepts now; at a limit of zero, waiting attempts are refused.
    pub(super) fn update_limit(&mut self, step: &mut ReducerStep<'_>) {
        let limit = self.guard.target_limit(step.now);
        let mut decisions = Vec::new();
        if limit == 0 {
            self.guard.queue.refuse_waiting(&mut decisions);
        }
        if limit != self.guard.queue.limit() {
            self.guard.queue.set_limit(step.now, limit, &mut decisions);
        }
        self.apply_decisions(step, decisions);
    }
}
