//! Attempts at the guard: checks, admission, runs at the backend server, replies.

use std::time::Duration;

use bytes::Bytes;

use super::{
    ANNOUNCEMENT_PATIENCE, BackendNotice, BackendState, DaemonEffect, DaemonReducer, RunEnd, Turn,
    guard::{GuardRun, RunState},
};
use crate::{
    admission::{AdmissionTicket, AdmissionVerdict, RunSample},
    id::AttemptId,
    message::{AttemptHeader, AttemptReply, AttemptResult, CallOutcome, LoadReport, RefusalReason},
};

/// Longest wait in the queue where the service declares none.
const DEFAULT_MAX_WAIT: Duration = Duration::from_millis(100);
/// Share of capacity of a request without a client account.
const OPEN_ROUTE_WEIGHT: f64 = 1.0;

impl DaemonReducer {
    pub(super) fn receive_attempt(&mut self, turn: &mut Turn, header: Box<AttemptHeader>) {
        if let Some(reason) = self.unfit_for(&header) {
            let result = not_run(reason, None);
            return self.reply(turn, &header.attempt, header.retry_tokens, result, Bytes::new());
        }
        if let Some(wait) = self.quarantine.blocks(turn.now, &header.fingerprint) {
            let result = final_refusal(CallOutcome::NotRun, RefusalReason::Quarantined, Some(wait));
            return self.reply(turn, &header.attempt, header.retry_tokens, result, Bytes::new());
        }
        let ticket = self.ticket(turn, &header);
        self.guard.insert(turn.now, header, RunState::Waiting);
        let mut verdicts = Vec::new();
        self.admission.offer(turn.now, ticket, &mut verdicts);
        self.carry_out(turn, verdicts);
    }

    /// Returns why this guard can't take the attempt at all.
    fn unfit_for(&self, header: &AttemptHeader) -> Option<RefusalReason> {
        match &self.backend.notice {
            _ if self.is_leaving => Some(RefusalReason::Draining),
            None => Some(RefusalReason::NoUpstream),
            Some(notice) if notice.service != header.service => Some(RefusalReason::NoUpstream),
            Some(notice) => match notice.state {
                BackendState::Serving => None,
                BackendState::Draining => Some(RefusalReason::Draining),
                BackendState::Starting | BackendState::Silent => Some(RefusalReason::NoUpstream),
            },
        }
    }

    fn ticket(&self, turn: &Turn, header: &AttemptHeader) -> AdmissionTicket {
        let account = header.account.as_ref().and_then(|it| self.settings.find_account(it));
        let weight = account.map_or(OPEN_ROUTE_WEIGHT, |it| it.weight.unwrap_or(it.rate_per_s));
        let service = self.settings.find_service(&header.service);
        let max_wait =
            service.map_or(DEFAULT_MAX_WAIT, |it| Duration::from_millis(it.max_queue_ms));
        AdmissionTicket {
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
                    let result = not_run(reason, retry_after);
                    self.end_attempt(turn, &attempt, result, Bytes::new());
                }
            }
        }
    }

    fn start_run(&mut self, turn: &mut Turn, attempt: AttemptId) {
        let (token, header, time_left) = self.guard.start(turn.now, &attempt);
        turn.out.push(DaemonEffect::StartRun { attempt, header, token, time_left });
    }

    pub(super) fn end_run(&mut self, turn: &mut Turn, attempt: &AttemptId, end: RunEnd) {
        let Some(run) = self.guard.get(attempt) else { return };
        let RunState::Running { started_at, .. } = run.state else { return };
        let latency = turn.now.since(started_at);
        let fingerprint = run.header.fingerprint;
        let mut verdicts = Vec::new();
        self.admission.finish(turn.now, attempt, sample_of(&end, latency), &mut verdicts);
        match &end {
            RunEnd::Answered { .. } => self.quarantine.note_whole(&fingerprint),
            RunEnd::Broken => self.suspect_crash(turn),
            RunEnd::NotSent | RunEnd::Shed { .. } | RunEnd::TimedOut => {}
        }
        let (result, body) = result_of(end);
        self.end_attempt(turn, attempt, result, body);
        self.carry_out(turn, verdicts);
    }

    /// Gives an attempt its one reply.
    fn end_attempt(
        &mut self,
        turn: &mut Turn,
        attempt: &AttemptId,
        result: AttemptResult,
        body: Bytes,
    ) {
        let Some(run) = self.guard.remove(attempt) else { return };
        let GuardRun { purse, chain_cut, .. } = run;
        self.reply_with_cut(turn, attempt, purse.held(), chain_cut, result, body);
    }

    fn reply(
        &mut self,
        turn: &mut Turn,
        attempt: &AttemptId,
        retry_tokens: u32,
        result: AttemptResult,
        body: Bytes,
    ) {
        self.reply_with_cut(turn, attempt, retry_tokens, LoadReport::OPEN_CUT, result, body);
    }

    fn reply_with_cut(
        &mut self,
        turn: &mut Turn,
        attempt: &AttemptId,
        retry_tokens: u32,
        chain_cut: u16,
        result: AttemptResult,
        body: Bytes,
    ) {
        let load = LoadReport { chain_cut, ..self.admission.load() };
        let reply = AttemptReply { attempt: attempt.clone(), result, retry_tokens, load };
        turn.out.push(DaemonEffect::ReplyAttempt { reply: Box::new(reply), body });
    }

    /// Answers an entry that lost its connection. The reply goes to whoever waits for the attempt now; an attempt that
    /// never came is kept from running later.
    pub(super) fn receive_inquiry(&mut self, turn: &mut Turn, attempt: &AttemptId) {
        if self.guard.get(attempt).is_none() {
            let result = not_run(RefusalReason::ConnectionLost, None);
            self.reply(turn, attempt, 0, result, Bytes::new());
        }
    }

    /// Ends an attempt whose entry needs no answer any more. A non-idempotent run goes on, since a resend of its
    /// request may still ask for the answer.
    pub(super) fn cancel_attempt(&mut self, turn: &mut Turn, attempt: &AttemptId) {
        let Some(run) = self.guard.get(attempt) else { return };
        let mut verdicts = Vec::new();
        let outcome = match run.state {
            RunState::Running { .. } if !run.header.idempotent => return,
            RunState::Running { .. } => {
                turn.out.push(DaemonEffect::CancelRun { attempt: attempt.clone() });
                self.admission.finish(turn.now, attempt, RunSample::Cancelled, &mut verdicts);
                CallOutcome::Unknown
            }
            RunState::Waiting | RunState::Joined => {
                self.admission.cancel(turn.now, attempt, &mut verdicts);
                CallOutcome::NotRun
            }
        };
        let result = final_refusal(outcome, RefusalReason::CallerGone, None);
        self.end_attempt(turn, attempt, result, Bytes::new());
        self.carry_out(turn, verdicts);
    }

    pub(super) fn tick_runs(&mut self, turn: &mut Turn) {
        let mut verdicts = Vec::new();
        self.admission.tick(turn.now, &mut verdicts);
        self.carry_out(turn, verdicts);
        let is_silent = ANNOUNCEMENT_PATIENCE < turn.now.since(self.backend.heard_at);
        match &self.backend.notice {
            Some(notice) if is_silent && notice.state != BackendState::Silent => {
                let heard_at = self.backend.heard_at;
                let notice = BackendNotice { state: BackendState::Silent, ..notice.clone() };
                self.hear_backend(turn, notice);
                self.backend.heard_at = heard_at;
            }
            _ => {}
        }
    }

    /// Makes the requests in flight at a crash of the backend server suspects.
    fn suspect_crash(&mut self, turn: &mut Turn) {
        let fingerprints = self.guard.running_fingerprints();
        self.quarantine.note_crash(turn.now, &fingerprints);
    }
}

fn sample_of(end: &RunEnd, latency: Duration) -> RunSample {
    match end {
        RunEnd::Answered { .. } => RunSample::Whole { latency },
        RunEnd::Shed { .. } => RunSample::Overloaded,
        RunEnd::NotSent | RunEnd::Broken | RunEnd::TimedOut => RunSample::Failed { latency },
    }
}

fn result_of(end: RunEnd) -> (AttemptResult, Bytes) {
    let result = match end {
        RunEnd::Answered { status, headers, body } => {
            return (AttemptResult::Answered { status, headers }, body);
        }
        RunEnd::Shed { retry_after } => not_run(RefusalReason::Overloaded, retry_after),
        RunEnd::NotSent => not_run(RefusalReason::ConnectionLost, None),
        RunEnd::Broken => AttemptResult::Refused {
            outcome: CallOutcome::Unknown,
            reason: RefusalReason::BrokenAnswer,
            retry_after: None,
            local: true,
        },
        RunEnd::TimedOut => {
            final_refusal(CallOutcome::Unknown, RefusalReason::DeadlineExceeded, None)
        }
    };
    (result, Bytes::new())
}

/// Returns a refusal by this guard that another guard may mend.
fn not_run(reason: RefusalReason, retry_after: Option<Duration>) -> AttemptResult {
    AttemptResult::Refused { outcome: CallOutcome::NotRun, reason, retry_after, local: true }
}

/// Returns a refusal that no other guard can mend.
fn final_refusal(
    outcome: CallOutcome,
    reason: RefusalReason,
    retry_after: Option<Duration>,
) -> AttemptResult {
    AttemptResult::Refused { outcome, reason, retry_after, local: false }
}
