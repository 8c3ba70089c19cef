//! Calls at their entry daemon, from the request to the single final answer.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use bytes::Bytes;

use crate::{
    id::{AccountName, AttemptId, CallId, ContentDigest, MemberId, RootId},
    message::{AttemptHeader, AttemptReply, AttemptResult, CallOutcome, RefusalReason},
    reducer::{
        effect::{CallAnswer, DaemonEffect},
        event::AttemptFailure,
    },
    retry::RetryBudget,
    time::TimePoint,
};

/// Time without a reply after which an entry inquires about the status of an attempt on a new connection.
const INQUIRY_DELAY: Duration = Duration::from_millis(400);
/// Part of the remaining time reserved for the guard's reply to reach the entry.
const REPLY_MARGIN: Duration = Duration::from_millis(5);

/// A call without a final answer.
#[derive(Debug)]
pub struct EntryCall {
    /// Header fields shared by all attempts of this call.
    pub template: AttemptHeader,
    /// Time by which the caller needs the answer.
    pub deadline: TimePoint,
    /// Retry tokens available to this call.
    pub retry_budget: RetryBudget,
    /// Running attempt that made this call, if it is nested.
    pub parent: Option<AttemptId>,
    /// Guards that have already replied to this call or failed.
    pub tried: Vec<MemberId>,
    /// Delay before a retry, for a call that the entry itself refuses.
    pub refusal_retry_after: Option<Duration>,
    /// Whether an earlier attempt may have run, so that a refusal of the last attempt does not prove that the call did
    /// not run. Never set for claimed requests, whose owner reports on all attempts.
    pub may_have_run: bool,
    outstanding: Option<OutstandingAttempt>,
    inquiry_at: Option<TimePoint>,
}

impl EntryCall {
    fn record_outcome(&mut self, outcome: CallOutcome) {
        self.may_have_run |= self.template.claim.is_none() && outcome != CallOutcome::NotRun;
    }
}

#[derive(Clone, Debug)]
struct OutstandingAttempt {
    serial: u64,
    to: MemberId,
    address: String,
    sent_at: TimePoint,
    lent_tokens: u32,
    inquiry_sent: bool,
    connection_lost: bool,
}

/// Next action of the entry for a call.
#[derive(Debug, PartialEq)]
pub enum NextAction {
    /// Do nothing: an attempt is outstanding or the call is already answered.
    Wait,
    /// Try another guard, if the retry bounds allow it.
    Retry {
        /// Call that this action concerns.
        call: CallId,
        /// Answer to give if no further attempt is possible.
        fallback: CallAnswer,
    },
    /// Send the final answer to the caller.
    Finish {
        /// Call that this action concerns.
        call: CallId,
        /// Final answer.
        answer: CallAnswer,
    },
}

/// Observation about a guard, taken from its reply to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptObservation {
    /// Guard that replied.
    pub guard: MemberId,
    /// Time from sending the attempt to receiving the reply.
    pub latency: Duration,
}

/// Calls at this entry that have no final answer yet.
#[derive(Debug)]
pub struct EntryCalls {
    local_member: MemberId,
    calls: HashMap<CallId, EntryCall>,
    attempts: HashMap<u64, CallId>,
    timers: BTreeSet<(TimePoint, CallId)>,
    next_serial: u64,
}

impl EntryCalls {
    /// Creates an empty set of calls for the daemon `local_member`.
    pub fn new(local_member: MemberId) -> EntryCalls {
        EntryCalls {
            local_member,
            calls: HashMap::new(),
            attempts: HashMap::new(),
            timers: BTreeSet::new(),
            next_serial: 0,
        }
    }

    /// Returns whether every call has been answered.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the identifier of a new root request.
    pub fn new_root(&self, call: CallId) -> RootId {
        RootId { entry: self.local_member.clone(), serial: call.0 }
    }

    /// Returns a call that has no final answer yet.
    pub fn get(&self, call: CallId) -> Option<&EntryCall> {
        self.calls.get(&call)
    }

    /// Returns a mutable reference to a call that has no final answer yet.
    pub fn get_mut(&mut self, call: CallId) -> Option<&mut EntryCall> {
        self.calls.get_mut(&call)
    }

    /// Adds a call that has passed the initial checks.
    ///
    /// # Panics
    ///
    /// Panics if the call was inserted before.
    pub fn insert(
        &mut self,
        call: CallId,
        template: AttemptHeader,
        deadline: TimePoint,
        parent: Option<AttemptId>,
    ) {
        let retry_budget = RetryBudget::new(template.retry_tokens);
        self.timers.insert((deadline, call));
        let state = EntryCall {
            template,
            deadline,
            retry_budget,
            parent,
            tried: Vec::new(),
            refusal_retry_after: None,
            may_have_run: false,
            outstanding: None,
            inquiry_at: None,
        };
        let replaced = self.calls.insert(call, state);
        assert!(replaced.is_none(), "call {call} was inserted twice");
    }

    /// Sends an attempt of the call to the guard `to`.
    ///
    /// # Panics
    ///
    /// Panics if the call is unknown or already has an outstanding attempt: a call has at most one attempt at a time.
    pub fn send(
        &mut self,
        now: TimePoint,
        id: CallId,
        to: MemberId,
        address: String,
        out: &mut Vec<DaemonEffect>,
    ) {
        let serial = self.next_serial;
        self.next_serial += 1;
        let call = self.calls.get_mut(&id).expect("call must be inserted before it is sent");
        assert!(call.outstanding.is_none(), "{id} already has an outstanding attempt");
        // Keep one token here, so that a lost attempt does not lose the last retry with it.
        let lent_tokens = call.retry_budget.lend(call.retry_budget.available().saturating_sub(1));
        let mut header = call.template.clone();
        header.attempt = AttemptId { entry: self.local_member.clone(), serial };
        header.retry_tokens = lent_tokens;
        header.time_left = call.deadline.since(now).saturating_sub(REPLY_MARGIN);
        call.outstanding = Some(OutstandingAttempt {
            serial,
            to: to.clone(),
            address: address.clone(),
            sent_at: now,
            lent_tokens,
            inquiry_sent: false,
            connection_lost: false,
        });
        let inquiry_at = now.plus(INQUIRY_DELAY);
        call.inquiry_at = Some(inquiry_at);
        self.timers.insert((inquiry_at, id));
        self.attempts.insert(serial, id);
        out.push(DaemonEffect::SendAttempt { call: id, to, address, header: Box::new(header) });
    }

    /// Processes the reply of a guard to an attempt.
    pub fn handle_reply(
        &mut self,
        now: TimePoint,
        reply: &AttemptReply,
        body: Bytes,
    ) -> (NextAction, Option<AttemptObservation>) {
        if reply.attempt.entry != self.local_member {
            return (NextAction::Wait, None);
        }
        let Some((id, attempt)) = self.remove_attempt(reply.attempt.serial) else {
            // The call was already answered, by the reply to an inquiry or at its deadline.
            return (NextAction::Wait, None);
        };
        let call = self.calls.get_mut(&id).expect("outstanding attempt must belong to a call");
        call.retry_budget.repay(reply.retry_tokens.min(attempt.lent_tokens));
        let observation =
            AttemptObservation { guard: attempt.to.clone(), latency: now.since(attempt.sent_at) };
        call.tried.push(attempt.to);
        let action = match &reply.result {
            AttemptResult::Answered { status, headers } => NextAction::Finish {
                call: id,
                answer: CallAnswer::Complete { status: *status, headers: headers.clone(), body },
            },
            AttemptResult::Refused { outcome, reason, retry_after, local } => {
                call.record_outcome(*outcome);
                let is_outcome_unknown =
                    call.template.claim.is_some() && is_attempt_specific(*reason);
                let answer = CallAnswer::Refused {
                    outcome: if is_outcome_unknown { CallOutcome::Unknown } else { *outcome },
                    reason: *reason,
                    retry_after: *retry_after,
                };
                let may_retry = match call.template.claim {
                    // A retry at any guard is safe: only the claim's owner runs the request.
                    Some(_) => is_ownership_refusal(*reason),
                    None => {
                        (*outcome == CallOutcome::NotRun || call.template.idempotent)
                            && is_worth_retrying(*reason)
                    }
                };
                let may_retry = *local && may_retry;
                match may_retry {
                    true => NextAction::Retry { call: id, fallback: answer },
                    false => NextAction::Finish { call: id, answer },
                }
            }
        };
        (action, Some(observation))
    }

    /// Processes the failure of an attempt that has no reply.
    pub fn handle_failure(
        &mut self,
        now: TimePoint,
        serial: u64,
        cause: AttemptFailure,
        out: &mut Vec<DaemonEffect>,
    ) -> NextAction {
        let Some(id) = self.attempts.get(&serial).copied() else { return NextAction::Wait };
        let call = self.calls.get_mut(&id).expect("outstanding attempt must belong to a call");
        let is_claimed = call.template.claim.is_some();
        let attempt = call.outstanding.as_mut().expect("registered attempt must be outstanding");
        match cause {
            // The status will be known from the outstanding inquiry.
            AttemptFailure::Lost if attempt.inquiry_sent => {
                attempt.connection_lost = true;
                NextAction::Wait
            }
            AttemptFailure::Lost => {
                attempt.connection_lost = true;
                attempt.inquiry_sent = true;
                out.push(inquiry(attempt, &self.local_member, call.deadline.since(now)));
                NextAction::Wait
            }
            AttemptFailure::NotSent => {
                let outcome = if is_claimed { CallOutcome::Unknown } else { CallOutcome::NotRun };
                self.abandon_attempt(id, outcome, false)
            }
        }
    }

    /// Processes the failure of an inquiry: the guard is unreachable, so the status of the attempt is unknown.
    pub fn handle_inquiry_failure(&mut self, serial: u64) -> NextAction {
        let Some(id) = self.attempts.get(&serial).copied() else { return NextAction::Wait };
        let call = self.calls.get_mut(&id).expect("outstanding attempt must belong to a call");
        let attempt = call.outstanding.as_ref().expect("registered attempt must be outstanding");
        if !attempt.connection_lost {
            // The original connection is still open and may deliver the reply.
            return NextAction::Wait;
        }
        self.abandon_attempt(id, CallOutcome::Unknown, true)
    }

    fn abandon_attempt(&mut self, id: CallId, outcome: CallOutcome, was_sent: bool) -> NextAction {
        let call = self.calls.get_mut(&id).expect("presence was checked by the caller");
        let not_sent_claim = !was_sent && call.template.claim.is_some();
        let attempt = call.outstanding.take().expect("presence was checked by the caller");
        call.tried.push(attempt.to);
        call.record_outcome(outcome);
        self.attempts.remove(&attempt.serial);
        let answer = CallAnswer::Refused {
            outcome,
            reason: RefusalReason::ConnectionLost,
            retry_after: None,
        };
        let may_retry = outcome == CallOutcome::NotRun || call.template.idempotent;
        match may_retry || not_sent_claim {
            true => NextAction::Retry { call: id, fallback: answer },
            false => NextAction::Finish { call: id, answer },
        }
    }

    /// Returns the guard of the outstanding attempt `serial`.
    pub fn guard_of(&self, serial: u64) -> Option<&MemberId> {
        let id = self.attempts.get(&serial)?;
        self.calls.get(id)?.outstanding.as_ref().map(|it| &it.to)
    }

    /// Removes a call and cancels its outstanding attempt, if any.
    pub fn remove(&mut self, id: CallId, out: &mut Vec<DaemonEffect>) -> Option<EntryCall> {
        let mut call = self.calls.remove(&id)?;
        self.timers.remove(&(call.deadline, id));
        if let Some(inquiry_at) = call.inquiry_at {
            self.timers.remove(&(inquiry_at, id));
        }
        if let Some(attempt) = call.outstanding.take() {
            self.attempts.remove(&attempt.serial);
            let attempt_id = AttemptId { entry: self.local_member.clone(), serial: attempt.serial };
            out.push(DaemonEffect::SendCancel { address: attempt.address, attempt: attempt_id });
        }
        Some(call)
    }

    /// Returns the calls whose deadline has passed, each with its final answer, and sends the inquiries that are due.
    pub fn tick(
        &mut self,
        now: TimePoint,
        out: &mut Vec<DaemonEffect>,
    ) -> Vec<(CallId, CallAnswer)> {
        let mut expired = Vec::new();
        while let Some(&(due, id)) = self.timers.first().filter(|(due, _)| *due <= now) {
            self.timers.remove(&(due, id));
            let Some(call) = self.calls.get_mut(&id) else { continue };
            if call.deadline <= now {
                let is_known_not_run = call.outstanding.is_none() && call.template.claim.is_none();
                let outcome =
                    if is_known_not_run { CallOutcome::NotRun } else { CallOutcome::Unknown };
                let reason = RefusalReason::DeadlineExceeded;
                expired.push((id, CallAnswer::Refused { outcome, reason, retry_after: None }));
                continue;
            }
            match &mut call.outstanding {
                Some(attempt) if call.inquiry_at == Some(due) && !attempt.inquiry_sent => {
                    attempt.inquiry_sent = true;
                    out.push(inquiry(attempt, &self.local_member, call.deadline.since(now)));
                }
                _ => {}
            }
        }
        expired
    }

    fn remove_attempt(&mut self, serial: u64) -> Option<(CallId, OutstandingAttempt)> {
        let id = self.attempts.remove(&serial)?;
        let attempt = self.calls.get_mut(&id)?.outstanding.take()?;
        Some((id, attempt))
    }
}

fn inquiry(
    attempt: &OutstandingAttempt,
    local_member: &MemberId,
    timeout: Duration,
) -> DaemonEffect {
    let attempt_id = AttemptId { entry: local_member.clone(), serial: attempt.serial };
    DaemonEffect::SendInquiry { address: attempt.address.clone(), attempt: attempt_id, timeout }
}

/// Returns whether another guard may accept a request that was refused for `reason`.
fn is_worth_retrying(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Overloaded
            | RefusalReason::Draining
            | RefusalReason::NoUpstream
            | RefusalReason::NotOwner
            | RefusalReason::ConnectionLost
            | RefusalReason::BrokenAnswer
    )
}

/// Returns whether a refusal applies to a single attempt only: the guard did not check its claim table for an earlier
/// copy of the request that may have run.
fn is_attempt_specific(reason: RefusalReason) -> bool {
    reason == RefusalReason::ConnectionLost
}

/// Returns whether a refusal indicates that another guard may own the claim. All other refusals of a claimed request
/// come from its owner and are final.
fn is_ownership_refusal(reason: RefusalReason) -> bool {
    reason == RefusalReason::NotOwner
}

/// Returns the digest that identifies the claim of a non-idempotent request.
pub fn claim_digest(account: Option<&AccountName>, idempotency_key: &str) -> ContentDigest {
    let account = account.map_or("", AccountName::as_str);
    ContentDigest::of_parts(&[account.as_bytes(), idempotency_key.as_bytes()])
}
