//! Processing of attempts at the guard: checks, admission, runs at the backend server and replies.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use super::{
    ANNOUNCEMENT_TIMEOUT, BackendAnnouncement, BackendState, DaemonEffect, DaemonReducer,
    ReducerStep, RunEnd, guard::RunState,
};
use crate::{
    admission::{AdmissionRequest, AdmissionVerdict, RunSample},
    claim::{AttemptStatus, AttemptVerdict},
    id::AttemptId,
    message::{AttemptHeader, AttemptReply, AttemptResult, CallOutcome, LoadReport, RefusalReason},
};

/// Maximum queueing time for a service that does not declare one.
const DEFAULT_MAX_WAIT: Duration = Duration::from_millis(100);
/// Retry delay suggested while the backend server accepts no requests.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay suggested for a request suspected of crashing backend servers, while another suspect runs.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Fair-share weight of requests without a client account.
const OPEN_ROUTE_WEIGHT: f64 = 1.0;

impl DaemonReducer {
    pub(super) fn handle_attempt(&mut self, step: &mut ReducerStep, header: Box<AttemptHeader>) {
        let refusal = match self.ledger.begin(step.now, &header.attempt) {
            AttemptVerdict::Fresh => None,
            // The reply to the first copy is also sent on this connection.
            AttemptVerdict::Duplicate => return,
            AttemptVerdict::Tombstone => {
                Some(retryable_refusal(RefusalReason::ConnectionLost, None))
            }
            AttemptVerdict::Full if header.claim.is_some() => {
                Some(final_refusal(CallOutcome::Unknown, RefusalReason::Overloaded, None))
            }
            AttemptVerdict::Full => Some(retryable_refusal(RefusalReason::Overloaded, None)),
            AttemptVerdict::Stale => {
                Some(final_refusal(CallOutcome::Unknown, RefusalReason::ConnectionLost, None))
            }
        };
        if let Some(result) = refusal {
            return self.send_reply(
                step,
                &header.attempt,
                header.retry_tokens,
                result,
                Bytes::new(),
            );
        }
        let header: Arc<AttemptHeader> = Arc::from(header);
        if let Some(claim) = header.claim {
            return self.handle_claimed_attempt(step, &header, claim);
        }
        self.guard.insert(step.now, header.clone(), RunState::Waiting);
        match self.availability_refusal(step, &header) {
            Some(result) => self.end_attempt(step, &header.attempt, result, Bytes::new()),
            None => self.offer_run(step, &header),
        }
    }

    /// Submits an attempt to admission control.
    pub(super) fn offer_run(&mut self, step: &mut ReducerStep, header: &AttemptHeader) {
        let request = self.admission_request(step, header);
        let mut verdicts = Vec::new();
        self.admission.offer(step.now, request, &mut verdicts);
        self.apply_verdicts(step, verdicts);
    }

    /// Returns a refusal if this guard cannot currently accept the attempt, because its fingerprint is quarantined, the
    /// daemon is leaving, or its backend server is not serving the requested service.
    pub(super) fn availability_refusal(
        &self,
        step: &ReducerStep,
        header: &AttemptHeader,
    ) -> Option<AttemptResult> {
        if let Some(wait) = self.quarantine.remaining_quarantine(step.now, &header.fingerprint) {
            let reason = RefusalReason::Quarantined;
            return Some(final_refusal(CallOutcome::NotRun, reason, Some(wait)));
        }
        let reason = match &self.backend.announcement {
            _ if self.is_leaving => RefusalReason::Draining,
            None => RefusalReason::NoUpstream,
            Some(announcement) if announcement.service != header.service => {
                RefusalReason::NoUpstream
            }
            Some(announcement) => match announcement.state {
                BackendState::Serving => return None,
                BackendState::Draining => RefusalReason::Draining,
                BackendState::Starting | BackendState::Silent => RefusalReason::NoUpstream,
            },
        };
        Some(retryable_refusal(reason, Some(UNAVAILABLE_RETRY_AFTER)))
    }

    fn admission_request(&self, step: &ReducerStep, header: &AttemptHeader) -> AdmissionRequest {
        let account = header.account.as_ref().and_then(|it| self.settings.find_account(it));
        let weight = account.map_or(OPEN_ROUTE_WEIGHT, |it| it.weight.unwrap_or(it.rate_per_s));
        let service = self.settings.find_service(&header.service);
        let max_wait =
            service.map_or(DEFAULT_MAX_WAIT, |it| Duration::from_millis(it.max_queue_ms));
        AdmissionRequest {
            attempt: header.attempt.clone(),
            class: header.priority,
            level: header.level,
            account: header.account.clone(),
            weight,
            deadline: step.now.plus(header.time_left),
            max_wait,
        }
    }

    pub(super) fn apply_verdicts(
        &mut self,
        step: &mut ReducerStep,
        verdicts: Vec<AdmissionVerdict>,
    ) {
        for verdict in verdicts {
            match verdict {
                AdmissionVerdict::Run { attempt } => self.start_run(step, attempt),
                AdmissionVerdict::Refuse { attempt, reason, retry_after } => {
                    self.end_unstarted(step, &attempt, &retryable_refusal(reason, retry_after));
                }
            }
        }
    }

    fn start_run(&mut self, step: &mut ReducerStep, attempt: AttemptId) {
        let Some(run) = self.guard.get(&attempt) else { return };
        let header = run.header.clone();
        if !self.owns_claim(step, &header) {
            let mut verdicts = Vec::new();
            self.admission.finish(step.now, &attempt, RunSample::Cancelled, &mut verdicts);
            self.end_unstarted(step, &attempt, &retryable_refusal(RefusalReason::NotOwner, None));
            return self.apply_verdicts(step, verdicts);
        }
        if !self.quarantine.try_isolate(&header.fingerprint) {
            // Another suspect is running. With two at once, a crash could not be attributed to either of them.
            let mut verdicts = Vec::new();
            self.admission.finish(step.now, &attempt, RunSample::Cancelled, &mut verdicts);
            let result = retryable_refusal(RefusalReason::Overloaded, Some(SUSPECT_RETRY_AFTER));
            self.end_unstarted(step, &attempt, &result);
            return self.apply_verdicts(step, verdicts);
        }
        let (token, time_left) = self.guard.start(step.now, &attempt);
        let start_by = step.now.plus(self.run_window);
        step.effects.push(DaemonEffect::StartRun { attempt, header, token, start_by, time_left });
    }

    pub(super) fn handle_run_end(
        &mut self,
        step: &mut ReducerStep,
        attempt: &AttemptId,
        end: RunEnd,
    ) {
        let Some(run) = self.guard.get(attempt) else { return };
        let RunState::Running { started_at, .. } = run.state else { return };
        let header = run.header.clone();
        let sample = sample_of(&end, step.now.since(started_at));
        let mut verdicts = Vec::new();
        self.admission.finish(step.now, attempt, sample, &mut verdicts);
        match &end {
            RunEnd::Answered { .. } => self.quarantine.record_completion(&header.fingerprint),
            RunEnd::Broken => self.check_for_crash(step),
            RunEnd::NotSent | RunEnd::Shed { .. } | RunEnd::TooLarge | RunEnd::TimedOut => {}
        }
        let (result, body) = result_of(end);
        self.end_attempt(step, attempt, result.clone(), body.clone());
        if let Some(claim) = &header.claim {
            self.complete_claim(step, claim, &result, &body);
        }
        self.apply_verdicts(step, verdicts);
    }

    /// Replies to an attempt that was queued but never started, and releases its claim.
    fn end_unstarted(
        &mut self,
        step: &mut ReducerStep,
        attempt: &AttemptId,
        result: &AttemptResult,
    ) {
        let claim = self.guard.get(attempt).and_then(|it| it.header.claim);
        self.end_attempt(step, attempt, result.clone(), Bytes::new());
        if let Some(claim) = claim {
            self.release_claim(step, &claim, result);
        }
    }

    /// Removes an attempt and sends its only reply.
    pub(super) fn end_attempt(
        &mut self,
        step: &mut ReducerStep,
        attempt: &AttemptId,
        result: AttemptResult,
        body: Bytes,
    ) {
        let Some(run) = self.guard.remove(attempt) else { return };
        self.ledger.end(step.now, attempt, outcome_of(&result));
        if matches!(run.state, RunState::Running { .. }) {
            self.quarantine.release(&run.header.fingerprint);
        }
        let load = LoadReport { chain_threshold: run.chain_threshold, ..self.admission.load() };
        let attempt = attempt.clone();
        let reply =
            AttemptReply { attempt, result, retry_tokens: run.retry_budget.available(), load };
        self.recent_replies.insert(&reply, &body);
        step.effects.push(DaemonEffect::SendReply { reply: Box::new(reply), body });
    }

    /// Replies to an attempt, or to an inquiry about one, for which this guard holds no state.
    fn send_reply(
        &mut self,
        step: &mut ReducerStep,
        attempt: &AttemptId,
        retry_tokens: u32,
        result: AttemptResult,
        body: Bytes,
    ) {
        let load = self.admission.load();
        let reply = AttemptReply { attempt: attempt.clone(), result, retry_tokens, load };
        step.effects.push(DaemonEffect::SendReply { reply: Box::new(reply), body });
    }

    /// Handles an inquiry from an entry that lost its connection. The reply is sent on every connection that waits for
    /// the attempt; an attempt that never arrived is prevented from running later.
    pub(super) fn handle_inquiry(&mut self, step: &mut ReducerStep, attempt: &AttemptId) {
        let result = match self.ledger.query(step.now, attempt) {
            // The reply is also sent on the connection of the inquiry.
            AttemptStatus::Pending => return,
            AttemptStatus::NotRun => retryable_refusal(RefusalReason::ConnectionLost, None),
            AttemptStatus::Forgotten => {
                final_refusal(CallOutcome::Unknown, RefusalReason::ConnectionLost, None)
            }
            AttemptStatus::Ended(outcome) => match self.recent_replies.get(attempt).cloned() {
                Some((reply, body)) => {
                    step.effects.push(DaemonEffect::SendReply { reply: Box::new(reply), body });
                    return;
                }
                None => final_refusal(outcome, RefusalReason::AnswerGone, None),
            },
        };
        self.send_reply(step, attempt, 0, result, Bytes::new());
    }

    /// Cancels an attempt whose entry no longer needs a reply. A non-idempotent run continues, since a resent request
    /// may still need its result.
    pub(super) fn cancel_attempt(&mut self, step: &mut ReducerStep, attempt: &AttemptId) {
        let Some(run) = self.guard.get(attempt) else { return };
        let mut verdicts = Vec::new();
        match run.state {
            RunState::Running { .. } if !run.header.idempotent => return,
            RunState::Running { .. } => {
                step.effects.push(DaemonEffect::CancelRun { attempt: attempt.clone() });
                self.admission.finish(step.now, attempt, RunSample::Cancelled, &mut verdicts);
                let result = final_refusal(CallOutcome::Unknown, RefusalReason::CallerGone, None);
                self.end_attempt(step, attempt, result, Bytes::new());
            }
            RunState::Waiting => {
                self.admission.cancel(step.now, attempt, &mut verdicts);
                let result = final_refusal(CallOutcome::NotRun, RefusalReason::CallerGone, None);
                self.end_unstarted(step, attempt, &result);
            }
            // The run that it joined continues for the other attempts.
            RunState::Joined => {
                let result = final_refusal(CallOutcome::Unknown, RefusalReason::CallerGone, None);
                self.end_attempt(step, attempt, result, Bytes::new());
            }
        }
        self.apply_verdicts(step, verdicts);
    }

    pub(super) fn tick_runs(&mut self, step: &mut ReducerStep) {
        let mut verdicts = Vec::new();
        self.admission.tick(step.now, &mut verdicts);
        self.apply_verdicts(step, verdicts);
        let clearances = self.quarantine.take_clearances();
        self.broadcast_evidence(&clearances);
        self.ledger.sweep(step.now);
        self.claims.sweep(step.now);
        let is_silent = ANNOUNCEMENT_TIMEOUT < step.now.since(self.backend.announced_at);
        match &self.backend.announcement {
            Some(announcement) if is_silent && announcement.state != BackendState::Silent => {
                self.mark_backend_silent(step);
            }
            _ => {}
        }
    }

    /// Probes whether the backend server is still alive after the connection of a run was lost. Records the runs in
    /// progress at the first failure only, so that one crash counts once regardless of how many runs it interrupts.
    fn check_for_crash(&mut self, step: &mut ReducerStep) {
        if self.backend.in_flight_at_failure.is_none() {
            self.backend.in_flight_at_failure = Some(self.guard.running_fingerprints());
            step.effects.push(DaemonEffect::ProbeBackend);
        }
    }

    /// Handles the result of a probe; a failed one counts as a crash of the backend server.
    pub(super) fn handle_probe(&mut self, step: &mut ReducerStep, is_alive: bool) {
        let Some(fingerprints) = self.backend.in_flight_at_failure.take() else { return };
        if is_alive {
            return;
        }
        step.log(format!("event=backend_crashed in_flight={}", fingerprints.len()));
        let records = self.quarantine.record_crash(step.now, &fingerprints);
        self.broadcast_evidence(&records);
        self.mark_backend_silent(step);
    }

    /// Marks the backend server as silent until its next announcement, preserving the time of the last one.
    fn mark_backend_silent(&mut self, step: &mut ReducerStep) {
        if let Some(announcement) = self.backend.announcement.clone() {
            let announced_at = self.backend.announced_at;
            self.handle_announcement(
                step,
                BackendAnnouncement { state: BackendState::Silent, ..announcement },
            );
            self.backend.announced_at = announced_at;
        }
    }
}

fn sample_of(end: &RunEnd, latency: Duration) -> RunSample {
    match end {
        RunEnd::Answered { .. } | RunEnd::TooLarge => RunSample::Completed { latency },
        RunEnd::Shed { is_local: true, .. } => RunSample::Overloaded,
        RunEnd::Shed { is_local: false, .. } => RunSample::Cancelled,
        RunEnd::NotSent | RunEnd::Broken | RunEnd::TimedOut => RunSample::Failed { latency },
    }
}

fn result_of(end: RunEnd) -> (AttemptResult, Bytes) {
    let result = match end {
        RunEnd::Answered { status, headers, body } => {
            return (AttemptResult::Answered { status, headers }, body);
        }
        RunEnd::Shed { retry_after, is_local: true } => {
            retryable_refusal(RefusalReason::Overloaded, retry_after)
        }
        RunEnd::Shed { retry_after, is_local: false } => {
            final_refusal(CallOutcome::NotRun, RefusalReason::Overloaded, retry_after)
        }
        RunEnd::NotSent => retryable_refusal(RefusalReason::ConnectionLost, None),
        RunEnd::Broken => AttemptResult::Refused {
            outcome: CallOutcome::Unknown,
            reason: RefusalReason::BrokenAnswer,
            retry_after: None,
            local: true,
        },
        RunEnd::TooLarge => final_refusal(CallOutcome::Ran, RefusalReason::AnswerTooLarge, None),
        RunEnd::TimedOut => {
            final_refusal(CallOutcome::Unknown, RefusalReason::DeadlineExceeded, None)
        }
    };
    (result, Bytes::new())
}

/// Returns a refusal that is specific to this guard: the attempt has not run, and another guard may accept it.
pub(super) fn retryable_refusal(
    reason: RefusalReason,
    retry_after: Option<Duration>,
) -> AttemptResult {
    AttemptResult::Refused { outcome: CallOutcome::NotRun, reason, retry_after, local: true }
}

/// Returns a refusal that retrying at another guard cannot change.
pub(super) fn final_refusal(
    outcome: CallOutcome,
    reason: RefusalReason,
    retry_after: Option<Duration>,
) -> AttemptResult {
    AttemptResult::Refused { outcome, reason, retry_after, local: false }
}

/// Returns whether the request ran according to its result.
fn outcome_of(result: &AttemptResult) -> CallOutcome {
    match result {
        AttemptResult::Answered { .. } => CallOutcome::Ran,
        AttemptResult::Refused { outcome, .. } => *outcome,
    }
}
