//! Calls at their entry daemon, from the request to its one answer.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;

use super::{
    MeshReducer, ReducerStep,
    event::{CallAnswer, MeshEffect, RunId},
    frame::{AttemptRequest, AttemptResult, PeerFrame, ServerLoad},
    log_limit::LogPriority,
    picker::AttemptNews,
    policy::{AccountPolicy, RoutePolicy},
    queue::QueueRank,
};
use crate::{
    id::{CallId, InstanceName},
    message::{CallOutcome, RefusalReason},
    time::TimePoint,
};

/// When to come back while no backend server of a service can be reached.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Part of the target latency that a client's request may wait for a slot.
const ROOT_QUEUE_WAIT_FRACTION: f64 = 0.125;
/// Part of the target latency after which a request that was not let in shall come back.
pub(super) const REFUSAL_RETRY_FRACTION: f64 = 0.25;
/// Part of the time left that a nested call may wait for a slot.
const NESTED_QUEUE_WAIT_FRACTION: f64 = 0.6;
/// Guards that are asked for a slot before a request is refused.
const MAX_REDIRECTS: usize = 3;
/// Run times that must be left for a repeated send.
const MIN_RUN_TIMES_FOR_RETRY: f64 = 1.3;
/// Part of the time left that the answer needs to travel back.
const RESPONSE_TRANSIT_MARGIN: Duration = Duration::from_millis(4);

/// Where a call stands.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CallStage {
    /// The account's home has been asked.
    AwaitingQuota { until: TimePoint },
    /// An attempt is at a guard.
    Sent { serial: u64, peer: InstanceName, sent_at: TimePoint },
    /// A decision is being taken.
    Deciding,
}

/// A call without an answer.
#[derive(Debug)]
pub(super) struct EntryCall {
    pub(super) request: AttemptRequest,
    pub(super) body: Bytes,
    /// The run at the own backend server that makes this call.
    pub(super) parent: Option<RunId>,
    pub(super) route: Arc<RoutePolicy>,
    pub(super) account: Option<Arc<AccountPolicy>>,
    pub(super) received_at: TimePoint,
    pub(super) root_start: TimePoint,
    pub(super) deadline: TimePoint,
    pub(super) stage: CallStage,
    pub(super) tried: Vec<InstanceName>,
    /// Attempts that may have begun to run.
    pub(super) n_runs: u32,
    pub(super) may_have_run: bool,
    /// Whether a token of the account's quota was spent on it.
    pub(super) has_token: bool,
    /// A backend server's failure, in case that no repeat does better.
    pub(super) fallback: Option<CallAnswer>,
    pub(super) retry_after: Option<Duration>,
}

impl EntryCall {
    pub(super) fn is_nested(&self) -> bool {
        QueueRank(self.request.rank).is_nested()
    }
}

/// Serial numbers of attempts that one run of a daemon has to itself: more than it uses in the milliseconds that lie
/// between two runs, which are numbered by the time of their start.
const SERIALS_PER_INCARNATION: u64 = 1 << 22;

/// All calls without an answer at this daemon.
#[derive(Debug)]
pub(super) struct EntryCalls {
    pub(super) calls: HashMap<CallId, EntryCall>,
    pub(super) attempts: HashMap<u64, CallId>,
    pub(super) timers: BinaryHeap<Reverse<(TimePoint, CallId)>>,
    next_serial: u64,
}

impl EntryCalls {
    /// Returns the calls of a daemon's run that has just started. No earlier run of it has used the serial numbers, so that
    /// a late reply to one never answers a call of this run.
    pub(super) fn new(incarnation: u64) -> EntryCalls {
        EntryCalls {
            calls: HashMap::new(),
            attempts: HashMap::new(),
            timers: BinaryHeap::new(),
            next_serial: incarnation.wrapping_mul(SERIALS_PER_INCARNATION),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns the daemons that owe a reply for longer than `patience`.
    pub(super) fn overdue_peers(&self, now: TimePoint, patience: Duration) -> Vec<InstanceName> {
        let mut peers: Vec<InstanceName> = self
            .calls
            .values()
            .filter_map(|call| match &call.stage {
                CallStage::Sent { peer, sent_at, .. } if patience <= now.since(*sent_at) => {
                    Some(peer.clone())
                }
                _ => None,
            })
            .collect();
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    pub(super) fn attempts_at(&self, peer: &InstanceName) -> Vec<(CallId, u64)> {
        self.calls
            .iter()
            .filter_map(|(id, call)| match &call.stage {
                CallStage::Sent { serial, peer: to, .. } if to == peer => Some((*id, *serial)),
                _ => None,
            })
            .collect()
    }
}

impl MeshReducer {
    /// Lets a client's request in, unless a service that it needs is short of slots.
    pub(super) fn admit_call(&mut self, step: &mut ReducerStep<'_>, id: CallId) {
        let Some(call) = self.entry.calls.get(&id) else { return };
        if call.is_nested() {
            return self.dispatch(step, id);
        }
        let (route, rank) = (call.request.route.clone(), QueueRank(call.request.rank));
        let fingerprint = call.request.fingerprint;
        let target_latency = call.route.target_latency;
        let request_id = call.request.request_id.clone();
        if self.gate.admit(step.now, &route, rank, &fingerprint) {
            self.record_expected_calls(step.now, id);
            return self.dispatch(step, id);
        }
        let wait = self.jitter(target_latency.mul_f64(REFUSAL_RETRY_FRACTION));
        self.gate.note_refused(step.now, fingerprint, wait);
        if self.log.allows(step.now, LogPriority::Notable) {
            step.log(format!(
                "event=gate_refused request={request_id} route={route} rank={rank} share={:.3}",
                self.gate.share(&route, rank)
            ));
        }
        self.refuse(step, id, RefusalReason::Overloaded, Some(wait));
    }

    /// Sends the call to the guard that is expected to answer first.
    pub(super) fn dispatch(&mut self, step: &mut ReducerStep<'_>, id: CallId) {
        let me = self.options.member.clone();
        let Some(call) = self.entry.calls.get_mut(&id) else { return };
        if call.deadline <= step.now {
            return self.refuse(step, id, RefusalReason::DeadlineExceeded, None);
        }
        let picked =
            self.picker.pick(step.now, &call.request.service, &call.request.route, &call.tried);
        let Some(peer) = picked.cloned() else {
            let reason = match call.tried.is_empty() {
                true => RefusalReason::NoUpstream,
                false => RefusalReason::Overloaded,
            };
            return self.fail_retryable(step, id, reason);
        };
        let serial = self.entry.next_serial;
        self.entry.next_serial += 1;
        let time_left = call.deadline.since(step.now).saturating_sub(RESPONSE_TRANSIT_MARGIN);
        let max_wait = match call.is_nested() {
            true => time_left.mul_f64(NESTED_QUEUE_WAIT_FRACTION),
            false => call.route.target_latency.mul_f64(ROOT_QUEUE_WAIT_FRACTION),
        };
        call.stage = CallStage::Sent { serial, peer: peer.clone(), sent_at: step.now };
        let mut request = call.request.clone();
        request.serial = serial;
        request.root_age_us = as_micros_u64(step.now.since(call.root_start));
        request.time_left_us = as_micros_u64(time_left);
        request.max_wait_us = as_micros_u64(max_wait);
        let body = call.body.clone();
        self.entry.attempts.insert(serial, id);
        self.picker.note_sent(&peer);
        if peer == me.instance {
            return self.handle_attempt(step, &me, request, body);
        }
        step.send(&peer, PeerFrame::Attempt(Box::new(request)), body);
    }

    pub(super) fn handle_reply(
        &mut self,
        step: &mut ReducerStep<'_>,
        peer: &InstanceName,
        serial: u64,
        result: AttemptResult,
        load: Option<ServerLoad>,
        body: Bytes,
    ) {
        let Some(id) = self.entry.attempts.remove(&serial) else { return };
        let Some(call) = self.entry.calls.get_mut(&id) else { return };
        let route = call.request.route.clone();
        call.stage = CallStage::Deciding;
        let news = attempt_news(&result);
        self.picker.note_end(step.now, peer, &route, news, load);
        match result {
            AttemptResult::Answered { status, headers, is_call_failed, .. } => {
                call.n_runs += 1;
                call.may_have_run = true;
                let answer = CallAnswer::Complete { status, headers, body };
                let is_repeatable = is_server_fault(status) && !is_call_failed;
                if is_repeatable && call.request.is_idempotent {
                    call.tried.push(peer.clone());
                    call.fallback = Some(answer.clone());
                    if self.try_spend_retry(step, id) {
                        return self.dispatch(step, id);
                    }
                }
                self.finish(step, id, answer);
            }
            AttemptResult::Refused { outcome, reason, retry_after, is_sent } => {
                call.tried.push(peer.clone());
                call.retry_after = match (call.retry_after, retry_after) {
                    (Some(a), Some(b)) => Some(a.min(b)),
                    (a, b) => a.or(b),
                };
                if outcome == CallOutcome::NotRun {
                    return self.redirect(step, id, reason, is_sent);
                }
                call.n_runs += 1;
                call.may_have_run = true;
                if call.request.is_idempotent && self.try_spend_retry(step, id) {
                    return self.dispatch(step, id);
                }
                self.fail_call(step, id, reason, None);
            }
        }
    }

    /// Sends a call that has not run to another guard, if one may take it.
    fn redirect(
        &mut self,
        step: &mut ReducerStep<'_>,
        id: CallId,
        reason: RefusalReason,
        is_sent: bool,
    ) {
        let Some(call) = self.entry.calls.get(&id) else { return };
        let is_final = reason == RefusalReason::Quarantined || MAX_REDIRECTS < call.tried.len();
        if !is_final && (!is_sent || self.try_spend_retry(step, id)) {
            return self.dispatch(step, id);
        }
        self.fail_retryable(step, id, reason);
    }

    /// Gives up a call that may come back: after the time that guards have named, if one has.
    fn fail_retryable(&mut self, step: &mut ReducerStep<'_>, id: CallId, reason: RefusalReason) {
        let told = self.entry.calls.get(&id).and_then(|it| it.retry_after);
        let retry_after = told.unwrap_or_else(|| self.jitter(NO_SERVER_RETRY_AFTER));
        self.fail_call(step, id, reason, Some(retry_after));
    }

    /// Returns whether a call may be sent to a backend server once more, and spends the repeat.
    pub(super) fn try_spend_retry(&mut self, step: &mut ReducerStep<'_>, id: CallId) -> bool {
        let Some(call) = self.entry.calls.get(&id) else { return false };
        let needed = self.picker.route_run(&call.request.route).mul_f64(MIN_RUN_TIMES_FOR_RETRY);
        let (n_daemons, _) = self.links.n_daemons(step.now);
        let has_time = needed < call.deadline.since(step.now);
        let has_attempts_left = call.n_runs < call.route.max_attempts;
        let has_untried_server = self
            .picker
            .open_servers(&call.request.service)
            .any(|record| !call.tried.contains(&record.instance));
        if !has_time || !has_attempts_left || !has_untried_server {
            return false;
        }
        let own_service = &call.request.service;
        let below = self.costs.arrivals_below(&call.request.route, own_service).cloned();
        let arrivals = std::iter::once((own_service.clone(), 1.0)).chain(below).collect();
        self.retry_budgets.try_spend(step.now, &self.options.retry_policy, n_daemons, &arrivals)
    }

    /// Answers with the failure that a backend server gave, or else with a refusal.
    pub(super) fn fail_call(
        &mut self,
        step: &mut ReducerStep<'_>,
        id: CallId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) {
        let fallback = self.entry.calls.get_mut(&id).and_then(|it| it.fallback.take());
        match fallback {
            Some(answer) => self.finish(step, id, answer),
            None => self.refuse(step, id, reason, retry_after),
        }
    }

    pub(super) fn refuse(
        &mut self,
        step: &mut ReducerStep<'_>,
        id: CallId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) {
        let Some(call) = self.entry.calls.get(&id) else { return };
        let outcome = match call.may_have_run {
            true => CallOutcome::Unknown,
            false => CallOutcome::NotRun,
        };
        self.finish(step, id, CallAnswer::Refused { outcome, reason, retry_after });
    }

    /// Gives a call its one answer.
    fn finish(&mut self, step: &mut ReducerStep<'_>, id: CallId, answer: CallAnswer) {
        let Some(call) = self.entry.calls.remove(&id) else { return };
        self.return_token(step.now, &call);
        let is_good = matches!(&answer, CallAnswer::Complete { status, .. } if *status < 500);
        if call.is_nested() && !is_good {
            self.guard.record_failed_call(step.now, call.parent);
        }
        let weight = if is_good { LogPriority::Routine } else { LogPriority::Notable };
        if self.log.allows(step.now, weight) {
            step.log(format!(
                "event=call_answered request={} route={} service={} account={} tried={} took_ms={} {}",
                call.request.request_id,
                call.request.route,
                call.request.service,
                call.request.account.as_ref().map_or("-", |it| it.as_str()),
                call.tried.len(),
                step.now.since(call.received_at).as_millis(),
                answer_summary(&answer),
            ));
        }
        step.out.push(MeshEffect::Answer { call: id, answer });
    }

    pub(super) fn handle_caller_disconnect(&mut self, step: &mut ReducerStep<'_>, id: CallId) {
        let Some(call) = self.entry.calls.remove(&id) else { return };
        if self.log.allows(step.now, LogPriority::Routine) {
            step.log(format!(
                "event=caller_gone request={} waited_ms={}",
                call.request.request_id,
                step.now.since(call.received_at).as_millis(),
            ));
        }
        self.abandon(step, id, &call);
    }

    /// Gives up what a call waits for.
    fn abandon(&mut self, step: &mut ReducerStep<'_>, id: CallId, call: &EntryCall) {
        match &call.stage {
            CallStage::AwaitingQuota { .. } => {
                if let Some(account) = &call.request.account {
                    self.token_cache.withdraw(account, id);
                }
            }
            CallStage::Sent { serial, peer, .. } => {
                self.entry.attempts.remove(serial);
                self.picker.note_end(
                    step.now,
                    peer,
                    &call.request.route,
                    AttemptNews::Neutral,
                    None,
                );
                let me = self.options.member.clone();
                match *peer == me.instance {
                    true => self.cancel_attempt(step, &me, *serial),
                    false => {
                        step.send(peer, PeerFrame::Cancel { serial: *serial }, Bytes::new());
                    }
                }
            }
            CallStage::Deciding => {}
        }
    }

    pub(super) fn tick_calls(&mut self, step: &mut ReducerStep<'_>) {
        while let Some(Reverse((due, id))) = self.entry.timers.peek().copied() {
            if step.now < due {
                return;
            }
            self.entry.timers.pop();
            let Some(call) = self.entry.calls.get(&id) else { continue };
            match &call.stage {
                _ if call.deadline <= step.now => self.time_out(step, id),
                CallStage::AwaitingQuota { until } if *until <= step.now => {
                    self.take_fallback_token(step, id)
                }
                _ => {}
            }
        }
    }

    fn time_out(&mut self, step: &mut ReducerStep<'_>, id: CallId) {
        let Some(mut call) = self.entry.calls.remove(&id) else { return };
        call.may_have_run |= matches!(call.stage, CallStage::Sent { .. });
        self.abandon(step, id, &call);
        call.stage = CallStage::Deciding;
        self.entry.calls.insert(id, call);
        self.fail_call(step, id, RefusalReason::DeadlineExceeded, None);
    }
}

fn as_micros_u64(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn is_server_fault(status: u16) -> bool {
    (500..600).contains(&status) && status != 504
}

fn attempt_news(result: &AttemptResult) -> AttemptNews {
    match result {
        AttemptResult::Answered { status, run_us, .. } if *status < 500 => {
            AttemptNews::Answered { run: Duration::from_micros(*run_us) }
        }
        AttemptResult::Answered { is_call_failed: true, .. } => AttemptNews::Neutral,
        AttemptResult::Answered { .. } => AttemptNews::Failed,
        AttemptResult::Refused { is_sent: true, .. } => AttemptNews::Failed,
        AttemptResult::Refused { reason: RefusalReason::NoUpstream, .. } => AttemptNews::Failed,
        AttemptResult::Refused { .. } => AttemptNews::Neutral,
    }
}

fn answer_summary(answer: &CallAnswer) -> String {
    match answer {
        CallAnswer::Complete { status, body, .. } => {
            format!("outcome=ran status={status} bytes={}", body.len())
        }
        CallAnswer::Refused { outcome, reason, retry_after } => format!(
            "outcome={outcome} reason={reason} retry_after_ms={}",
            retry_after.map_or(0, |it| it.as_millis()),
        ),
    }
}
