//! Attempts at the guard: checks, admission, runs at the backend server, replies.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use super::{
    ANNOUNCEMENT_PATIENCE, BackendNotice, BackendState, DaemonEffect, DaemonReducer, RunEnd, Turn,
    guard::RunState,
};
use crate::{
    admission::{AdmissionRequest, AdmissionVerdict, RunSample},
    claim::{AttemptFate, AttemptOutcome},
    id::AttemptId,
    message::{AttemptHeader, AttemptReply, AttemptResult, CallOutcome, LoadReport, RefusalReason},
};

/// Longest wait in the queue where the service declares none.
const DEFAULT_MAX_WAIT: Duration = Duration::from_millis(100);
/// When to come back to a guard whose backend server takes nothing.
const UNFIT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// When to come back with a request that may crash backend servers, while another such one runs.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Share of capacity of a request without a client account.
const OPEN_ROUTE_WEIGHT: f64 = 1.0;

impl DaemonReducer {
    pub(super) fn receive_attempt(&mut self, turn: &mut Turn, header: Box<AttemptHeader>) {
        let unfit = match self.ledger.begin(turn.now, &header.attempt) {
            AttemptOutcome::Fresh => None,
            // The reply to the first copy goes to this connection too.
            AttemptOutcome::Duplicate => return,
            AttemptOutcome::Buried => Some(not_run(RefusalReason::ConnectionLost, None)),
            AttemptOutcome::Full if header.claim.is_some() => {
                Some(final_refusal(CallOutcome::Unknown, RefusalReason::Overloaded, None))
            }
            AttemptOutcome::Full => Some(not_run(RefusalReason::Overloaded, None)),
            AttemptOutcome::Stale => {
                Some(final_refusal(CallOutcome::Unknown, RefusalReason::ConnectionLost, None))
            }
        };
        if let Some(result) = unfit {
            return self.reply(turn, &header.attempt, header.retry_tokens, result, Bytes::new());
        }
        let header: Arc<AttemptHeader> = Arc::from(header);
        if let Some(claim) = header.claim {
            return self.receive_claimed(turn, &header, claim);
        }
        self.guard.insert(turn.now, header.clone(), RunState::Waiting);
        match self.unfit_for(turn, &header) {
            Some(result) => self.end_attempt(turn, &header.attempt, result, Bytes::new()),
            None => self.offer_run(turn, &header),
        }
    }

    /// Offers an attempt to admission.
    pub(super) fn offer_run(&mut self, turn: &mut Turn, header: &AttemptHeader) {
        let ticket = self.ticket(turn, header);
        let mut verdicts = Vec::new();
        self.admission.offer(turn.now, ticket, &mut verdicts);
        self.carry_out(turn, verdicts);
    }

    /// Returns the refusal of an attempt that this guard can't take at all.
    pub(super) fn unfit_for(&self, turn: &Turn, header: &AttemptHeader) -> Option<AttemptResult> {
        if let Some(wait) = self.quarantine.remaining_quarantine(turn.now, &header.fingerprint) {
            let reason = RefusalReason::Quarantined;
            return Some(final_refusal(CallOutcome::NotRun, reason, Some(wait)));
        }
        let reason = match &self.backend.notice {
            _ if self.is_leaving => RefusalReason::Draining,
            None => RefusalReason::NoUpstream,
            Some(notice) if notice.service != header.service => RefusalReason::NoUpstream,
            Some(notice) => match notice.state {
                BackendState::Serving => return None,
                BackendState::Draining => RefusalReason::Draining,
                BackendState::Starting | BackendState::Silent => RefusalReason::NoUpstream,
            },
        };
        Some(not_run(reason, Some(UNFIT_RETRY_AFTER)))
    }

    fn ticket(&self, turn: &Turn, header: &AttemptHeader) -> AdmissionRequest {
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
            deadline: turn.now.plus(header.time_left),
            max_wait,
        }
    }

    pub(super) fn carry_out(&mut self, turn: &mut Turn, verdicts: Vec<AdmissionVerdict>) {
        for verdict in verdicts {
            match verdict {
                AdmissionVerdict::Run { attempt } => self.start_run(turn, attempt),
                AdmissionVerdict::Refuse { attempt, reason, retry_after } => {
                    self.end_unrun(turn, &attempt, &not_run(reason, retry_after));
                }
            }
        }
    }

    fn start_run(&mut self, turn: &mut Turn, attempt: AttemptId) {
        let Some(run) = self.guard.get(&attempt) else { return };
        let header = run.header.clone();
        if !self.owns_claim(turn, &header) {
            let mut verdicts = Vec::new();
            self.admission.finish(turn.now, &attempt, RunSample::Cancelled, &mut verdicts);
            self.end_unrun(turn, &attempt, &not_run(RefusalReason::NotOwner, None));
            return self.carry_out(turn, verdicts);
        }
        if !self.quarantine.try_isolate(&header.fingerprint) {
            // Another suspect runs here; two at once could not be told apart if the backend server crashed.
            let mut verdicts = Vec::new();
            self.admission.finish(turn.now, &attempt, RunSample::Cancelled, &mut verdicts);
            let result = not_run(RefusalReason::Overloaded, Some(SUSPECT_RETRY_AFTER));
            self.end_unrun(turn, &attempt, &result);
            return self.carry_out(turn, verdicts);
        }
        let (token, time_left) = self.guard.start(turn.now, &attempt);
        let start_by = turn.now.plus(self.run_window);
        turn.out.push(DaemonEffect::StartRun { attempt, header, token, start_by, time_left });
    }

    pub(super) fn end_run(&mut self, turn: &mut Turn, attempt: &AttemptId, end: RunEnd) {
        let Some(run) = self.guard.get(attempt) else { return };
        let RunState::Running { started_at, .. } = run.state else { return };
        let header = run.header.clone();
        let sample = sample_of(&end, turn.now.since(started_at));
        let mut verdicts = Vec::new();
        self.admission.finish(turn.now, attempt, sample, &mut verdicts);
        match &end {
            RunEnd::Answered { .. } => self.quarantine.record_completion(&header.fingerprint),
            RunEnd::Broken => self.suspect_crash(turn),
            RunEnd::NotSent | RunEnd::Shed { .. } | RunEnd::TooLarge | RunEnd::TimedOut => {}
        }
        let (result, body) = result_of(end);
        self.end_attempt(turn, attempt, result.clone(), body.clone());
        if let Some(claim) = &header.claim {
            self.settle_claim(turn, claim, &result, &body);
        }
        self.carry_out(turn, verdicts);
    }

    /// Ends an attempt that waited and has not run.
    fn end_unrun(&mut self, turn: &mut Turn, attempt: &AttemptId, result: &AttemptResult) {
        let claim = self.guard.get(attempt).and_then(|it| it.header.claim);
        self.end_attempt(turn, attempt, result.clone(), Bytes::new());
        if let Some(claim) = claim {
            self.release_claim(turn, &claim, result);
        }
    }

    /// Gives an attempt its one reply.
    pub(super) fn end_attempt(
        &mut self,
        turn: &mut Turn,
        attempt: &AttemptId,
        result: AttemptResult,
        body: Bytes,
    ) {
        let Some(run) = self.guard.remove(attempt) else { return };
        self.ledger.end(turn.now, attempt, outcome_of(&result));
        if matches!(run.state, RunState::Running { .. }) {
            self.quarantine.release(&run.header.fingerprint);
        }
        let load = LoadReport { chain_threshold: run.chain_cut, ..self.admission.load() };
        let attempt = attempt.clone();
        let reply = AttemptReply { attempt, result, retry_tokens: run.purse.available(), load };
        self.recent.keep(&reply, &body);
        turn.out.push(DaemonEffect::ReplyAttempt { reply: Box::new(reply), body });
    }

    /// Replies to an attempt, or to a question for its fate, of which nothing is kept here.
    fn reply(
        &mut self,
        turn: &mut Turn,
        attempt: &AttemptId,
        retry_tokens: u32,
        result: AttemptResult,
        body: Bytes,
    ) {
        let load = self.admission.load();
        let reply = AttemptReply { attempt: attempt.clone(), result, retry_tokens, load };
        turn.out.push(DaemonEffect::ReplyAttempt { reply: Box::new(reply), body });
    }

    /// Answers an entry that lost its connection. The reply goes to whoever waits for the attempt now; an attempt that
    /// never came is kept from running later.
    pub(super) fn receive_inquiry(&mut self, turn: &mut Turn, attempt: &AttemptId) {
        let result = match self.ledger.ask(turn.now, attempt) {
            // The reply goes to this connection too.
            AttemptFate::Pending => return,
            AttemptFate::NotRun => not_run(RefusalReason::ConnectionLost, None),
            AttemptFate::Forgotten => {
                final_refusal(CallOutcome::Unknown, RefusalReason::ConnectionLost, None)
            }
            AttemptFate::Ended(outcome) => match self.recent.find(attempt).cloned() {
                Some((reply, body)) => {
                    turn.out.push(DaemonEffect::ReplyAttempt { reply: Box::new(reply), body });
                    return;
                }
                None => final_refusal(outcome, RefusalReason::AnswerGone, None),
            },
        };
        self.reply(turn, attempt, 0, result, Bytes::new());
    }

    /// Ends an attempt whose entry needs no answer any more. A non-idempotent run goes on, since a resend of its
    /// request may still ask for the answer.
    pub(super) fn cancel_attempt(&mut self, turn: &mut Turn, attempt: &AttemptId) {
        let Some(run) = self.guard.get(attempt) else { return };
        let mut verdicts = Vec::new();
        match run.state {
            RunState::Running { .. } if !run.header.idempotent => return,
            RunState::Running { .. } => {
                turn.out.push(DaemonEffect::CancelRun { attempt: attempt.clone() });
                self.admission.finish(turn.now, attempt, RunSample::Cancelled, &mut verdicts);
                let result = final_refusal(CallOutcome::Unknown, RefusalReason::CallerGone, None);
                self.end_attempt(turn, attempt, result, Bytes::new());
            }
            RunState::Waiting => {
                self.admission.cancel(turn.now, attempt, &mut verdicts);
                let result = final_refusal(CallOutcome::NotRun, RefusalReason::CallerGone, None);
                self.end_unrun(turn, attempt, &result);
            }
            // The run that it waits for goes on for the others.
            RunState::Joined => {
                let result = final_refusal(CallOutcome::Unknown, RefusalReason::CallerGone, None);
                self.end_attempt(turn, attempt, result, Bytes::new());
            }
        }
        self.carry_out(turn, verdicts);
    }

    pub(super) fn tick_runs(&mut self, turn: &mut Turn) {
        let mut verdicts = Vec::new();
        self.admission.tick(turn.now, &mut verdicts);
        self.carry_out(turn, verdicts);
        let clearances = self.quarantine.take_clearances();
        self.spread_suspicions(&clearances);
        self.ledger.sweep(turn.now);
        self.claims.sweep(turn.now);
        let is_silent = ANNOUNCEMENT_PATIENCE < turn.now.since(self.backend.heard_at);
        match &self.backend.notice {
            Some(notice) if is_silent && notice.state != BackendState::Silent => {
                self.silence_backend(turn);
            }
            _ => {}
        }
    }

    /// Asks whether the backend server still lives after a run broke. What ran at the first break is remembered, so
    /// that one crash counts once, however many runs it breaks.
    fn suspect_crash(&mut self, turn: &mut Turn) {
        if self.backend.in_flight_at_break.is_none() {
            self.backend.in_flight_at_break = Some(self.guard.running_fingerprints());
            turn.out.push(DaemonEffect::ProbeBackend);
        }
    }

    /// Takes the answer to a probe of the backend server.
    pub(super) fn take_probe(&mut self, turn: &mut Turn, is_alive: bool) {
        let Some(fingerprints) = self.backend.in_flight_at_break.take() else { return };
        if is_alive {
            return;
        }
        turn.log(format!("event=backend_crashed in_flight={}", fingerprints.len()));
        let suspicions = self.quarantine.record_crash(turn.now, &fingerprints);
        self.spread_suspicions(&suspicions);
        self.silence_backend(turn);
    }

    /// Takes the backend server out of use until it announces itself again.
    fn silence_backend(&mut self, turn: &mut Turn) {
        if let Some(notice) = self.backend.notice.clone() {
            let heard_at = self.backend.heard_at;
            self.hear_backend(turn, BackendNotice { state: BackendState::Silent, ..notice });
            self.backend.heard_at = heard_at;
        }
    }
}

fn sample_of(end: &RunEnd, latency: Duration) -> RunSample {
    match end {
        RunEnd::Answered { .. } | RunEnd::TooLarge => RunSample::Completed { latency },
        RunEnd::Shed { is_own: true, .. } => RunSample::Overloaded,
        RunEnd::Shed { is_own: false, .. } => RunSample::Cancelled,
        RunEnd::NotSent | RunEnd::Broken | RunEnd::TimedOut => RunSample::Failed { latency },
    }
}

fn result_of(end: RunEnd) -> (AttemptResult, Bytes) {
    let result = match end {
        RunEnd::Answered { status, headers, body } => {
            return (AttemptResult::Answered { status, headers }, body);
        }
        RunEnd::Shed { retry_after, is_own: true } => {
            not_run(RefusalReason::Overloaded, retry_after)
        }
        RunEnd::Shed { retry_after, is_own: false } => {
            final_refusal(CallOutcome::NotRun, RefusalReason::Overloaded, retry_after)
        }
        RunEnd::NotSent => not_run(RefusalReason::ConnectionLost, None),
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

/// Returns a refusal by this guard that another guard may mend.
pub(super) fn not_run(reason: RefusalReason, retry_after: Option<Duration>) -> AttemptResult {
    AttemptResult::Refused { outcome: CallOutcome::NotRun, reason, retry_after, local: true }
}

/// Returns a refusal that no other guard can mend.
pub(super) fn final_refusal(
    outcome: CallOutcome,
    reason: RefusalReason,
    retry_after: Option<Duration>,
) -> AttemptResult {
    AttemptResult::Refused { outcome, reason, retry_after, local: false }
}

/// Returns what a result says of the run.
fn outcome_of(result: &AttemptResult) -> CallOutcome {
    match result {
        AttemptResult::Answered { .. } => CallOutcome::Ran,
        AttemptResult::Refused { outcome, .. } => *outcome,
    }
}
