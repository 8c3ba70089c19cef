//! Calls at their entry daemon: from the request to its one final answer.

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
        event::BreakCause,
    },
    retry::RetryBudget,
    time::TimePoint,
};

/// Silence after which an entry asks on a new connection what became of an attempt.
const INQUIRY_DELAY: Duration = Duration::from_millis(400);
/// Part of the time left that a guard must leave for its answer to travel back.
const ANSWER_MARGIN: Duration = Duration::from_millis(5);

/// A call that has no final answer yet.
#[derive(Debug)]
pub struct EntryCall {
    /// What every attempt of this call says about it.
    pub template: AttemptHeader,
    /// Latest time at which an answer is of use.
    pub deadline: TimePoint,
    /// Retries left to this call.
    pub purse: RetryBudget,
    /// The attempt of a running call from which this one is nested.
    pub parent: Option<AttemptId>,
    /// Guards that refused it or broke.
    pub tried: Vec<MemberId>,
    /// When to come back, for a call that the entry itself refuses.
    pub refuse_after: Option<Duration>,
    /// Whether an earlier attempt may have run, so that a refusal of the last one proves nothing. Of a claimed request
    /// its owner tells what became of all attempts.
    pub may_have_run: bool,
    outstanding: Option<OutstandingAttempt>,
    inquiry_at: Option<TimePoint>,
}

impl EntryCall {
    fn note_outcome(&mut self, outcome: CallOutcome) {
        self.may_have_run |= self.template.claim.is_none() && outcome != CallOutcome::NotRun;
    }
}

#[derive(Clone, Debug)]
struct OutstandingAttempt {
    serial: u64,
    to: MemberId,
    address: String,
    sent_at: TimePoint,
    lent: u32,
    inquired: bool,
    broken: bool,
}

/// What the owner of a call has to do next.
#[derive(Debug, PartialEq)]
pub enum NextStep {
    /// Nothing: an attempt is outstanding or the call is already answered.
    Wait,
    /// Try another guard, if the retry bounds allow it. `proved` tells that the last attempt has not run.
    Retry {
        /// The call.
        call: CallId,
        /// What to answer when no further attempt is possible.
        otherwise: CallAnswer,
    },
    /// Give the call its final answer.
    Finish {
        /// The call.
        call: CallId,
        /// The answer.
        answer: CallAnswer,
    },
}

/// What an ended attempt tells about the guard that had it.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptNews {
    /// The guard.
    pub guard: MemberId,
    /// Time from sending to the answer.
    pub latency: Duration,
}

/// All calls without a final answer at this daemon.
#[derive(Debug)]
pub struct EntryCalls {
    me: MemberId,
    calls: HashMap<CallId, EntryCall>,
    attempts: HashMap<u64, CallId>,
    timers: BTreeSet<(TimePoint, CallId)>,
    next_serial: u64,
}

impl EntryCalls {
    /// Returns a daemon's empty set of calls.
    pub fn new(me: MemberId) -> EntryCalls {
        EntryCalls {
            me,
            calls: HashMap::new(),
            attempts: HashMap::new(),
            timers: BTreeSet::new(),
            next_serial: 0,
        }
    }

    /// Returns whether every call has its final answer.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the identifier of a new root request.
    pub fn new_root(&self, call: CallId) -> RootId {
        RootId { entry: self.me.clone(), serial: call.0 }
    }

    /// Returns the call, while it has no final answer.
    pub fn get(&self, call: CallId) -> Option<&EntryCall> {
        self.calls.get(&call)
    }

    /// Returns the call for changes, while it has no final answer.
    pub fn get_mut(&mut self, call: CallId) -> Option<&mut EntryCall> {
        self.calls.get_mut(&call)
    }

    /// Adds a call that has passed the first checks.
    pub fn insert(
        &mut self,
        call: CallId,
        template: AttemptHeader,
        deadline: TimePoint,
        parent: Option<AttemptId>,
    ) {
        let purse = RetryBudget::new(template.retry_tokens);
        self.timers.insert((deadline, call));
        let state = EntryCall {
            template,
            deadline,
            purse,
            parent,
            tried: Vec::new(),
            refuse_after: None,
            may_have_run: false,
            outstanding: None,
            inquiry_at: None,
        };
        let replaced = self.calls.insert(call, state);
        assert!(replaced.is_none(), "call {call} was received twice");
    }

    /// Sends the call to the guard `to`.
    ///
    /// # Panics
    ///
    /// Panics when the call is unknown or has an attempt outstanding: a call has one attempt at a time.
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
        let call = self.calls.get_mut(&id).expect("only a received call is sent");
        assert!(call.outstanding.is_none(), "{id} has an attempt outstanding");
        // One token stays here, so that a lost attempt does not take the last retry with it.
        let lent = call.purse.lend(call.purse.available().saturating_sub(1));
        let mut header = call.template.clone();
        header.attempt = AttemptId { entry: self.me.clone(), serial };
        header.retry_tokens = lent;
        header.time_left = call.deadline.since(now).saturating_sub(ANSWER_MARGIN);
        call.outstanding = Some(OutstandingAttempt {
            serial,
            to: to.clone(),
            address: address.clone(),
            sent_at: now,
            lent,
            inquired: false,
            broken: false,
        });
        let inquiry_at = now.plus(INQUIRY_DELAY);
        call.inquiry_at = Some(inquiry_at);
        self.timers.insert((inquiry_at, id));
        self.attempts.insert(serial, id);
        out.push(DaemonEffect::SendAttempt { call: id, to, address, header: Box::new(header) });
    }

    /// Takes a guard's answer.
    pub fn answered(
        &mut self,
        now: TimePoint,
        reply: &AttemptReply,
        body: Bytes,
    ) -> (NextStep, Option<AttemptNews>) {
        if reply.attempt.entry != self.me {
            return (NextStep::Wait, None);
        }
        let Some((id, attempt)) = self.take_attempt(reply.attempt.serial) else {
            // The call was answered before, by the inquiry's answer or at its deadline.
            return (NextStep::Wait, None);
        };
        let call = self.calls.get_mut(&id).expect("an outstanding attempt belongs to a call");
        call.purse.repay(reply.retry_tokens.min(attempt.lent));
        let news = AttemptNews { guard: attempt.to.clone(), latency: now.since(attempt.sent_at) };
        call.tried.push(attempt.to);
        let step = match &reply.result {
            AttemptResult::Answered { status, headers } => NextStep::Finish {
                call: id,
                answer: CallAnswer::Whole { status: *status, headers: headers.clone(), body },
            },
            AttemptResult::Refused { outcome, reason, retry_after, local } => {
                call.note_outcome(*outcome);
                let is_unproved = call.template.claim.is_some() && is_lost(*reason);
                let answer = CallAnswer::Refused {
                    outcome: if is_unproved { CallOutcome::Unknown } else { *outcome },
                    reason: *reason,
                    retry_after: *retry_after,
                };
                let may_retry = match call.template.claim {
                    // Any guard may be asked: only the claim's owner runs the request.
                    Some(_) => is_from_other_owner(*reason),
                    None => {
                        (*outcome == CallOutcome::NotRun || call.template.idempotent)
                            && is_worth_retrying(*reason)
                    }
                };
                let may_retry = *local && may_retry;
                match may_retry {
                    true => NextStep::Retry { call: id, otherwise: answer },
                    false => NextStep::Finish { call: id, answer },
                }
            }
        };
        (step, Some(news))
    }

    /// Takes the end of an attempt without an answer.
    pub fn broken(
        &mut self,
        now: TimePoint,
        serial: u64,
        cause: BreakCause,
        out: &mut Vec<DaemonEffect>,
    ) -> NextStep {
        let Some(id) = self.attempts.get(&serial).copied() else { return NextStep::Wait };
        let call = self.calls.get_mut(&id).expect("an outstanding attempt belongs to a call");
        let claimed = call.template.claim.is_some();
        let attempt = call.outstanding.as_mut().expect("a registered attempt is outstanding");
        match cause {
            // An inquiry is on its way and will tell.
            BreakCause::Lost if attempt.inquired => {
                attempt.broken = true;
                NextStep::Wait
            }
            BreakCause::Lost => {
                attempt.broken = true;
                attempt.inquired = true;
                out.push(inquiry(attempt, &self.me, call.deadline.since(now)));
                NextStep::Wait
            }
            BreakCause::NotSent => {
                let outcome = if claimed { CallOutcome::Unknown } else { CallOutcome::NotRun };
                self.give_up_attempt(id, outcome, false)
            }
        }
    }

    /// Takes the failure of an inquiry: the guard can't be asked, so what became of the attempt is not known.
    pub fn inquiry_broken(&mut self, serial: u64) -> NextStep {
        let Some(id) = self.attempts.get(&serial).copied() else { return NextStep::Wait };
        let call = self.calls.get_mut(&id).expect("an outstanding attempt belongs to a call");
        let attempt = call.outstanding.as_ref().expect("a registered attempt is outstanding");
        if !attempt.broken {
            // The first connection is still open and may bring the answer.
            return NextStep::Wait;
        }
        self.give_up_attempt(id, CallOutcome::Unknown, true)
    }

    fn give_up_attempt(&mut self, id: CallId, outcome: CallOutcome, was_sent: bool) -> NextStep {
        let call = self.calls.get_mut(&id).expect("the caller looked it up");
        let not_sent_claim = !was_sent && call.template.claim.is_some();
        let attempt = call.outstanding.take().expect("the caller looked it up");
        call.tried.push(attempt.to);
        call.note_outcome(outcome);
        self.attempts.remove(&attempt.serial);
        let answer = CallAnswer::Refused {
            outcome,
            reason: RefusalReason::ConnectionLost,
            retry_after: None,
        };
        let may_retry = outcome == CallOutcome::NotRun || call.template.idempotent;
        match may_retry || not_sent_claim {
            true => NextStep::Retry { call: id, otherwise: answer },
            false => NextStep::Finish { call: id, answer },
        }
    }

    /// Returns the guard of the outstanding attempt.
    pub fn guard_of(&self, serial: u64) -> Option<&MemberId> {
        let id = self.attempts.get(&serial)?;
        self.calls.get(id)?.outstanding.as_ref().map(|it| &it.to)
    }

    /// Removes a call that gets its final answer now; gives up its outstanding attempt.
    pub fn remove(&mut self, id: CallId, out: &mut Vec<DaemonEffect>) -> Option<EntryCall> {
        let mut call = self.calls.remove(&id)?;
        self.timers.remove(&(call.deadline, id));
        if let Some(inquiry_at) = call.inquiry_at {
            self.timers.remove(&(inquiry_at, id));
        }
        if let Some(attempt) = call.outstanding.take() {
            self.attempts.remove(&attempt.serial);
            let attempt_id = AttemptId { entry: self.me.clone(), serial: attempt.serial };
            out.push(DaemonEffect::SendCancel { address: attempt.address, attempt: attempt_id });
        }
        Some(call)
    }

    /// Returns the calls whose deadline has passed, with the answer that each gets; sends the inquiries that are due.
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
                let proved = call.outstanding.is_none() && call.template.claim.is_none();
                let outcome = if proved { CallOutcome::NotRun } else { CallOutcome::Unknown };
                let reason = RefusalReason::DeadlineExceeded;
                expired.push((id, CallAnswer::Refused { outcome, reason, retry_after: None }));
                continue;
            }
            match &mut call.outstanding {
                Some(attempt) if call.inquiry_at == Some(due) && !attempt.inquired => {
                    attempt.inquired = true;
                    out.push(inquiry(attempt, &self.me, call.deadline.since(now)));
                }
                _ => {}
            }
        }
        expired
    }

    fn take_attempt(&mut self, serial: u64) -> Option<(CallId, OutstandingAttempt)> {
        let id = self.attempts.remove(&serial)?;
        let attempt = self.calls.get_mut(&id)?.outstanding.take()?;
        Some((id, attempt))
    }
}

fn inquiry(attempt: &OutstandingAttempt, me: &MemberId, patience: Duration) -> DaemonEffect {
    let attempt_id = AttemptId { entry: me.clone(), serial: attempt.serial };
    DaemonEffect::SendInquiry { address: attempt.address.clone(), attempt: attempt_id, patience }
}

/// Returns whether another guard may do better after a refusal for `reason`.
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

/// Returns whether a refusal tells of one attempt only: the guard did not ask its claim table whether an earlier copy
/// of the request ran.
fn is_lost(reason: RefusalReason) -> bool {
    reason == RefusalReason::ConnectionLost
}

/// Returns whether a refusal says that another guard may own the claim. All other refusals of a claimed request come
/// from its owner and are final.
fn is_from_other_owner(reason: RefusalReason) -> bool {
    reason == RefusalReason::NotOwner
}

/// Returns the digest under which a non-idempotent request is claimed.
pub fn claim_digest(account: Option<&AccountName>, idempotency_key: &str) -> ContentDigest {
    let account = account.map_or("", AccountName::as_str);
    ContentDigest::of_parts(&[account.as_bytes(), idempotency_key.as_bytes()])
}
