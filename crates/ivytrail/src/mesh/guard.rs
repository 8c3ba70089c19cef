//! The guard in front of the local backend server: attempts from their arrival to their reply.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use smol_str::SmolStr;

use super::{
    MeshReducer, ReducerStep,
    cost::CostEstimator,
    crash_detector::CrashDetector,
    ended_attempts::{AttemptStatus, EndedAttempts},
    event::{MeshEffect, RunEnd, RunId},
    frame::{
        AttemptRequest, AttemptResult, PeerFrame, RequestLimit, ServerAdvertisement, ServerLoad,
        ServerNotice, ServerPhase,
    },
    log_limit::LogPriority,
    queue::{QueueRank, RootPriority, SlotQueue, SlotRequest},
    rejection_share::RejectionShare,
    warm_up::WarmUpState,
};
use crate::{
    id::{AttemptId, MemberId, RouteName},
    message::{CallOutcome, RefusalReason},
    quarantine::RunPermission,
    time::TimePoint,
};

/// Fraction of the announced slots that is used; some servers slow down when their last slots fill.
const USABLE_SLOT_FRACTION: f64 = 0.95;
/// Time without a link from the entry after which its attempts are abandoned.
const LOST_ENTRY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Separates a request's identifier from the suffix that distinguishes its nested calls.
const REQUEST_ID_SEPARATOR: char = '.';

/// An attempt that waits or runs at this guard.
#[derive(Debug)]
pub(super) struct GuardAttempt {
    pub(super) id: AttemptId,
    pub(super) request: Arc<AttemptRequest>,
    pub(super) body: Bytes,
    pub(super) deadline: TimePoint,
    pub(super) arrived_at: TimePoint,
    pub(super) started_at: Option<TimePoint>,
    /// Identity of the backend server at which the attempt was started.
    pub(super) server_id: Option<SmolStr>,
    /// Whether the entry no longer waits for the attempt.
    is_abandoned: bool,
    /// Number of nested calls made by the run, by route.
    pub(super) calls: Vec<(RouteName, u32)>,
    /// Whether one of the nested calls failed.
    has_failed_call: bool,
}

/// The guard's state: the local backend server, its slots and the attempts at it.
#[derive(Debug, Default)]
pub(super) struct GuardState {
    pub(super) server: Option<ServerAdvertisement>,
    /// What the server reported in its last response.
    pub(super) notice: ServerNotice,
    /// Time of the last response in which the server named a limit.
    pub(super) limit_named_at: TimePoint,
    /// Limit in force: the named one, or what the server tolerates while it is cold.
    pub(super) request_limit: RequestLimit,
    pub(super) warm_up: WarmUpState,
    /// Whether the server's failure domain is evacuated, so that no run may start.
    pub(super) is_evacuated: bool,
    /// Whether the daemon has settings; without them it doesn't know what a cold server tolerates.
    pub(super) has_settings: bool,
    /// Sequence number of the last accepted announcement.
    pub(super) sequence: u64,
    pub(super) queue: SlotQueue<RunId>,
    pub(super) attempts: HashMap<RunId, GuardAttempt>,
    run_ids: HashMap<AttemptId, RunId>,
    ended: EndedAttempts,
    next_run: u64,
    /// Time until which no run is started, because the backend server refused a connection or another one responded.
    pub(super) paused_until: TimePoint,
    pub(super) crash_detector: CrashDetector,
    /// Running attempts by request identifier.
    pub(super) runs_by_request: HashMap<SmolStr, RunId>,
    /// Time of the last failure of a nested call whose parent run is unknown.
    orphan_call_failed_at: Option<TimePoint>,
    pub(super) rejections: RejectionShare,
    /// Measures the costs of the routes that run at this guard.
    pub(super) cost_estimator: CostEstimator,
}

impl GuardState {
    pub(super) fn server(&self) -> Option<&ServerAdvertisement> {
        self.server.as_ref()
    }

    pub(super) fn load(&self) -> ServerLoad {
        let mean_run_time = self.queue.mean_run_time();
        ServerLoad {
            running: self.queue.n_running() as u32,
            queued: self.queue.n_waiting() as u32,
            limit: self.reported_limit(),
            mean_run_us: u32::try_from(mean_run_time.as_micros()).unwrap_or(u32::MAX),
            pressure: (self.queue.pressure() * 1_000.0) as u16,
            request_limit: self.request_limit,
            rejected: (self.rejections.get() * 1_000.0) as u16,
        }
    }

    /// Returns the limit that the server's last notice and its warm-up impose together.
    pub(super) fn combined_request_limit(&self) -> RequestLimit {
        match (self.notice.request_limit, self.warm_up.tolerated_per_s()) {
            (named, None) => named,
            (RequestLimit::PerSecond(named), Some(tolerated)) => {
                RequestLimit::PerSecond(named.min(tolerated))
            }
            (_, Some(tolerated)) => RequestLimit::PerSecond(tolerated),
        }
    }

    /// Returns the limit on concurrent runs that entries expect: the queue's, or as many runs as the server's limit on
    /// requests keeps busy on average.
    fn reported_limit(&self) -> u32 {
        match self.request_limit {
            RequestLimit::PerSecond(per_s) if 0 < self.queue.limit() => {
                let n_busy = per_s * self.queue.mean_run_time().as_secs_f64();
                (n_busy.round() as u32).clamp(1, self.queue.limit())
            }
            _ => self.queue.limit(),
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the limit on concurrent runs that the backend server's state allows at `now`.
    pub(super) fn target_limit(&self, now: TimePoint) -> u32 {
        match &self.server {
            _ if self.is_evacuated || !self.has_settings => 0,
            Some(server) if server.phase == ServerPhase::Ready && self.paused_until <= now => {
                ((f64::from(server.slots) * USABLE_SLOT_FRACTION) as u32).max(1)
            }
            _ => 0,
        }
    }

    /// Returns the run that issued the call with this identifier. Backend servers derive the identifiers of nested calls
    /// from that of the running request.
    pub(super) fn parent_run(&self, request_id: &str) -> Option<RunId> {
        let (parent_id, _) = request_id.rsplit_once(REQUEST_ID_SEPARATOR)?;
        self.runs_by_request.get(parent_id).copied()
    }

    /// Records a nested call of a run and returns the priority and start time of its root request.
    pub(super) fn record_call(
        &mut self,
        parent: RunId,
        route: &RouteName,
    ) -> Option<(RootPriority, TimePoint)> {
        let run = self.attempts.get_mut(&parent)?;
        match run.calls.iter_mut().find(|(it, _)| it == route) {
            Some((_, n_calls)) => *n_calls += 1,
            None => run.calls.push((route.clone(), 1)),
        }
        let root_age = Duration::from_micros(run.request.root_age_us);
        Some((run.request.priority, run.arrived_at.minus(root_age)))
    }

    /// Records the failure of a nested call.
    pub(super) fn record_failed_call(&mut self, now: TimePoint, parent: Option<RunId>) {
        match parent.and_then(|it| self.attempts.get_mut(&it)) {
            Some(run) => run.has_failed_call = true,
            None => self.orphan_call_failed_at = Some(now),
        }
    }

    /// Removes an attempt from all indexes.
    pub(super) fn remove_attempt(&mut self, run: RunId) -> Option<GuardAttempt> {
        let ended = self.attempts.remove(&run)?;
        self.run_ids.remove(&ended.id);
        if self.runs_by_request.get(&ended.request.request_id) == Some(&run) {
            self.runs_by_request.remove(&ended.request.request_id);
        }
        Some(ended)
    }
}

impl MeshReducer {
    pub(super) fn handle_attempt(
        &mut self,
        step: &mut ReducerStep<'_>,
        from: &MemberId,
        request: AttemptRequest,
        body: Bytes,
    ) {
        let attempt = AttemptId { entry: from.clone(), serial: request.serial };
        if self.guard.run_ids.contains_key(&attempt) {
            return;
        }
        match self.guard.ended.status(&attempt) {
            AttemptStatus::Unseen => {}
            AttemptStatus::Tombstone => {
                let result = AttemptResult::not_run(RefusalReason::ConnectionLost, None);
                return self.reply(step, &attempt, result, Bytes::new());
            }
            AttemptStatus::Replied { .. } => return,
            AttemptStatus::Forgotten => {
                return self.reply(step, &attempt, AttemptResult::expired(), Bytes::new());
            }
        }
        let time_left = Duration::from_micros(request.time_left_us);
        if let Some(reason) = self.refusal_reason_for(step.now, &request, time_left) {
            return self.reply(step, &attempt, AttemptResult::not_run(reason, None), Bytes::new());
        }
        let run = RunId(self.guard.next_run);
        self.guard.next_run += 1;
        let deadline = step.now.plus(time_left);
        let max_wait = Duration::from_micros(request.max_wait_us);
        let slot_request = SlotRequest {
            key: run,
            rank: QueueRank(request.rank),
            root_start: step.now.minus(Duration::from_micros(request.root_age_us)),
            start_by: step.now.plus(max_wait).min(deadline),
        };
        self.guard.run_ids.insert(attempt.clone(), run);
        let waiting = GuardAttempt {
            id: attempt,
            request: Arc::new(request),
            body,
            deadline,
            arrived_at: step.now,
            started_at: None,
            server_id: None,
            is_abandoned: false,
            calls: Vec::new(),
            has_failed_call: false,
        };
        self.guard.attempts.insert(run, waiting);
        let mut decisions = Vec::new();
        self.guard.queue.offer(step.now, slot_request, &mut decisions);
        self.apply_decisions(step, decisions);
        if self.guard.queue.is_held(&run) && self.guard.warm_up.tolerated_per_s().is_some() {
            self.record_held_start(step, run);
        }
    }

    /// Returns the reason to refuse an attempt that arrives, or `None` if the local backend server can run it.
    fn refusal_reason_for(
        &self,
        now: TimePoint,
        request: &AttemptRequest,
        time_left: Duration,
    ) -> Option<RefusalReason> {
        let server_reason = self.server_refusal_reason(now, request, time_left);
        server_reason.or_else(|| match self.quarantine.permission(now, &request.fingerprint) {
            RunPermission::Unrestricted => None,
            RunPermission::TrialOnly if self.is_trial_server(request) => None,
            RunPermission::TrialOnly | RunPermission::Quarantined { .. } => {
                Some(RefusalReason::Quarantined)
            }
        })
    }

    /// Returns the reason why the local backend server can't run an attempt, or `None` if it can. The answer may change
    /// while the attempt waits, since another server may take the place of this one.
    pub(super) fn server_refusal_reason(
        &self,
        now: TimePoint,
        request: &AttemptRequest,
        time_left: Duration,
    ) -> Option<RefusalReason> {
        match &self.guard.server {
            None => Some(RefusalReason::NoUpstream),
            // Not `NoUpstream`, which entries count as a failure of the present server.
            Some(server) if server.service != request.service => Some(RefusalReason::Draining),
            Some(server) if server.phase == ServerPhase::Draining => Some(RefusalReason::Draining),
            Some(_) if self.guard.is_evacuated => Some(RefusalReason::Draining),
            Some(_) if now < self.guard.paused_until => Some(RefusalReason::NoUpstream),
            Some(_) if !self.can_finish(now, request, time_left) => Some(RefusalReason::Draining),
            Some(_) => None,
        }
    }

    /// Returns whether a request that may run as a trial only may run at the local backend server.
    fn is_trial_server(&self, request: &AttemptRequest) -> bool {
        let server = self.picker.trial_server(&request.service, &request.fingerprint);
        server == Some(&self.options.member.instance)
    }

    pub(super) fn end_run(&mut self, step: &mut ReducerStep<'_>, run: RunId, end: RunEnd) {
        let Some(ended) = self.guard.remove_attempt(run) else { return };
        let started = ended.started_at.unwrap_or(ended.arrived_at);
        let is_complete = matches!(end, RunEnd::Answered { .. });
        let priority = if is_complete { LogPriority::Routine } else { LogPriority::Notable };
        if self.log_limit.allows(step.now, priority) {
            step.log(format!(
                "event=run_ended request={} attempt={} route={} server={} fingerprint={:?} waited_ms={} ran_ms={} end={}",
                ended.request.request_id,
                ended.id,
                ended.request.route,
                ended.server_id.as_deref().unwrap_or("-"),
                ended.request.fingerprint,
                started.since(ended.arrived_at).as_millis(),
                step.now.since(started).as_millis(),
                end.name(),
            ));
        }
        let mut decisions = Vec::new();
        self.guard.queue.release(step.now, &run, is_complete, &mut decisions);
        self.record_run_outcome(step, &ended, &end);
        self.apply_decisions(step, decisions);
        let (result, body) = self.attempt_result(&ended, step.now, end);
        match ended.is_abandoned {
            // The entry may reconnect and request the status.
            true => self.guard.ended.keep_reply(step.now, ended.id, result, body),
            false => self.reply(step, &ended.id, result, body),
        }
    }

    fn attempt_result(
        &self,
        ended: &GuardAttempt,
        now: TimePoint,
        end: RunEnd,
    ) -> (AttemptResult, Bytes) {
        let refused = |outcome, reason, is_sent| AttemptResult::Refused {
            outcome,
            reason,
            retry_after: None,
            is_sent,
        };
        let result = match end {
            RunEnd::Answered { status, headers, body } => {
                let started = ended.started_at.unwrap_or(ended.arrived_at);
                let run_us = u64::try_from(now.since(started).as_micros()).unwrap_or(u64::MAX);
                let has_orphan_failure =
                    self.guard.orphan_call_failed_at.is_some_and(|at| started <= at);
                let is_call_failed = ended.has_failed_call || has_orphan_failure;
                let result = AttemptResult::Answered { status, headers, run_us, is_call_failed };
                return (result, body);
            }
            RunEnd::Rejected { .. } => {
                refused(CallOutcome::NotRun, RefusalReason::Overloaded, true)
            }
            RunEnd::Unreachable | RunEnd::NotSent => {
                refused(CallOutcome::NotRun, RefusalReason::NoUpstream, false)
            }
            RunEnd::Broken => refused(CallOutcome::Unknown, RefusalReason::BrokenAnswer, true),
            RunEnd::TimedOut => {
                refused(CallOutcome::Unknown, RefusalReason::DeadlineExceeded, true)
            }
        };
        (result, Bytes::new())
    }

    pub(super) fn cancel_attempt(
        &mut self,
        step: &mut ReducerStep<'_>,
        from: &MemberId,
        serial: u64,
    ) {
        let attempt = AttemptId { entry: from.clone(), serial };
        let Some(run) = self.guard.run_ids.get(&attempt).copied() else { return };
        self.abandon_run(step, run);
    }

    /// Ends an attempt that no entry waits for. A run that isn't idempotent continues, since cancelling it could leave
    /// its effects incomplete.
    fn abandon_run(&mut self, step: &mut ReducerStep<'_>, run: RunId) {
        if self.guard.queue.remove_waiting(&run) {
            if let Some(ended) = self.guard.remove_attempt(run) {
                self.guard.ended.add_tombstone(step.now, ended.id);
            }
            return;
        }
        let Some(running) = self.guard.attempts.get_mut(&run) else { return };
        running.is_abandoned = true;
        if running.request.is_idempotent {
            step.out.push(MeshEffect::CancelRun { run });
            if let Some(cancelled) = self.guard.remove_attempt(run) {
                // The server may already be crashing under it.
                let was_trial = self.quarantine.release(&cancelled.request.fingerprint);
                self.record_unanswered_run(step, &cancelled, was_trial);
                self.guard.ended.mark_forgotten(&cancelled.id);
            }
            let mut decisions = Vec::new();
            self.guard.queue.release(step.now, &run, false, &mut decisions);
            self.apply_decisions(step, decisions);
        }
    }

    /// Responds to an entry that requests the status of an attempt on a new link. There is no response while the attempt
    /// waits or runs; its reply is sent when it ends, also if the attempt was abandoned in the meantime.
    pub(super) fn handle_resume(
        &mut self,
        step: &mut ReducerStep<'_>,
        from: &MemberId,
        serial: u64,
    ) {
        let attempt = AttemptId { entry: from.clone(), serial };
        if let Some(run) = self.guard.run_ids.get(&attempt) {
            if let Some(running) = self.guard.attempts.get_mut(run) {
                running.is_abandoned = false;
            }
            return;
        }
        let (result, body) = match self.guard.ended.status(&attempt) {
            AttemptStatus::Replied { result, body } => (result.clone(), body.clone()),
            AttemptStatus::Forgotten => (AttemptResult::expired(), Bytes::new()),
            AttemptStatus::Tombstone => {
                (AttemptResult::not_run(RefusalReason::ConnectionLost, None), Bytes::new())
            }
            AttemptStatus::Unseen => {
                self.guard.ended.add_tombstone(step.now, attempt);
                (AttemptResult::not_run(RefusalReason::ConnectionLost, None), Bytes::new())
            }
        };
        let frame = PeerFrame::Reply { serial, result, load: self.guard.load() };
        step.send_on_inbound(&from.instance, frame, body);
    }

    pub(super) fn reply(
        &mut self,
        step: &mut ReducerStep<'_>,
        attempt: &AttemptId,
        result: AttemptResult,
        body: Bytes,
    ) {
        let load = self.guard.load();
        if attempt.entry == self.options.member {
            let me = attempt.entry.instance.clone();
            return self.handle_reply(step, &me, attempt.serial, result, Some(load), body);
        }
        self.guard.ended.keep_reply(step.now, attempt.clone(), result.clone(), body.clone());
        let frame = PeerFrame::Reply { serial: attempt.serial, result, load };
        step.send_on_inbound(&attempt.entry.instance, frame, body);
    }

    pub(super) fn tick_runs(&mut self, step: &mut ReducerStep<'_>) {
        self.guard.ended.expire(step.now);
        self.tick_warm_up(step);
        self.guard.rejections.decay(step.now);
        if self.guard.target_limit(step.now) != self.guard.queue.limit() {
            self.update_limit(step);
        }
        let mut decisions = Vec::new();
        self.guard.queue.expire(step.now, &mut decisions);
        self.apply_decisions(step, decisions);
    }

    /// Abandons the attempts of entries whose links have been broken for [`LOST_ENTRY_TIMEOUT`].
    pub(super) fn abandon_runs_of_lost_entries(&mut self, step: &mut ReducerStep<'_>) {
        let now = step.now;
        let lost: Vec<MemberId> = self
            .guard
            .attempts
            .values()
            .filter(|it| !it.is_abandoned)
            .map(|it| &it.id.entry)
            .filter(|entry| {
                let inbound_closed_at =
                    self.links.get(&entry.instance).and_then(|link| link.inbound_closed_at);
                inbound_closed_at.is_some_and(|at| LOST_ENTRY_TIMEOUT <= now.since(at))
            })
            .cloned()
            .collect();
        if !lost.is_empty() {
            self.abandon_runs_of(step, |entry| lost.contains(entry));
        }
    }

    /// Abandons the attempts of earlier incarnations of an entry daemon.
    pub(super) fn abandon_runs_of_earlier_incarnations(
        &mut self,
        step: &mut ReducerStep<'_>,
        member: &MemberId,
    ) {
        self.guard.ended.remove_earlier_incarnations(member);
        self.abandon_runs_of(step, |entry| {
            entry.instance == member.instance && entry.incarnation != member.incarnation
        });
    }

    /// Abandons the attempts of all entries for which `is_affected` returns true.
    pub(super) fn abandon_runs_of<F>(&mut self, step: &mut ReducerStep<'_>, is_affected: F)
    where
        F: Fn(&MemberId) -> bool,
    {
        let attempts = self.guard.attempts.iter();
        let runs: Vec<RunId> = attempts
            .filter(|(_, it)| !it.is_abandoned && is_affected(&it.id.entry))
            .map(|(run, _)| *run)
            .collect();
        for run in runs {
            self.abandon_run(step, run);
        }
    }
}
