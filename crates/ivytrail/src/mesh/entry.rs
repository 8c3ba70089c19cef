//! Calls at their entry daemon, from receipt of the request to its single response.

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
    picker::AttemptOutcome,
    policy::{AccountPolicy, RoutePolicy},
    queue::QueueRank,
    quota_flow::TokenSource,
};
use crate::{
    id::{CallId, InstanceName},
    message::{CallOutcome, RefusalReason},
    quarantine::RunPermission,
    time::TimePoint,
};

/// Retry delay sent to the caller while no backend server of the service is reachable.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Fraction of the route's target latency that a client request may wait for a slot.
const ROOT_QUEUE_WAIT_FRACTION: f64 = 0.125;
/// Fraction of the remaining time that a nested call may wait for a slot.
const NESTED_QUEUE_WAIT_FRACTION: f64 = 0.6;
/// Maximum number of further guards that a call is sent to after a refusal.
const MAX_REDIRECTS: usize = 3;
/// Remaining time that a retry requires, as a multiple of the route's expected run time.
const MIN_RUN_TIMES_FOR_RETRY: f64 = 1.3;

/// Current stage of a call.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CallStage {
    /// A token was requested from the account's quota owner; the entry decides by itself at `until`.
    AwaitingQuota { until: TimePoint },
    /// An attempt was sent to a guard and its reply is outstanding.
    Sent { serial: u64, peer: InstanceName, sent_at: TimePoint },
    /// The reducer is choosing the next action; no reply is outstanding.
    Deciding,
}

impl CallStage {
    /// Returns the stage's name in logs.
    fn name(&self) -> &'static str {
        match self {
            CallStage::AwaitingQuota { .. } => "awaiting-quota",
            CallStage::Sent { .. } => "sent",
            CallStage::Deciding => "deciding",
        }
    }
}

/// A call that has no response yet.
#[derive(Debug)]
pub(super) struct EntryCall {
    pub(super) request: AttemptRequest,
    pub(super) body: Bytes,
    /// The run at the local backend server that issued this call, if it is known.
    pub(super) parent: Option<RunId>,
    pub(super) route: Arc<RoutePolicy>,
    pub(super) account: Option<Arc<AccountPolicy>>,
    pub(super) received_at: TimePoint,
    pub(super) root_start: TimePoint,
    pub(super) deadline: TimePoint,
    pub(super) stage: CallStage,
    /// Daemons whose guards have refused, failed or lost an attempt of the call.
    pub(super) tried: Vec<InstanceName>,
    /// Number of attempts that may have started to run.
    pub(super) n_runs: u32,
    pub(super) may_have_run: bool,
    /// Where the call's token of the account's quota came from, if it holds one.
    pub(super) token: Option<TokenSource>,
    /// A backend server's error response, returned if no retry succeeds.
    pub(super) fallback: Option<CallAnswer>,
    pub(super) retry_after: Option<Duration>,
}

impl EntryCall {
    pub(super) fn is_nested(&self) -> bool {
        QueueRank(self.request.rank).is_nested()
    }

    /// Returns the log line of the call while it has no response.
    pub(super) fn open_line(&self, now: TimePoint) -> String {
        format!(
            "event=call_open request={} route={} account={} parent={} stage={} received_ms_ago={} time_left_ms={}",
            self.request.request_id,
            self.request.route,
            self.request.account.as_ref().map_or("-", |it| it.as_str()),
            if self.parent.is_some() { "known" } else { "-" },
            self.stage.name(),
            now.since(self.received_at).as_millis(),
            self.deadline.since(now).as_millis(),
        )
    }
}

/// Number of attempt serials reserved per incarnation. Incarnations are start times in milliseconds, so this exceeds
/// the number of attempts that a daemon makes in the milliseconds between two starts.
const SERIALS_PER_INCARNATION: u64 = 1 << 22;

/// All calls at this daemon that have no response yet.
#[derive(Debug)]
pub(super) struct EntryCalls {
    pub(super) calls: HashMap<CallId, EntryCall>,
    /// Calls by the serial of their outstanding attempt.
    pub(super) attempts: HashMap<u64, CallId>,
    pub(super) timers: BinaryHeap<Reverse<(TimePoint, CallId)>>,
    next_serial: u64,
}

impl EntryCalls {
    /// Creates an empty set of calls. No earlier incarnation has used the same attempt serials, so a late reply to an
    /// earlier incarnation can't match a call of this one.
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

    /// Returns the peers with an attempt that has been without a reply for at least `timeout`.
    pub(super) fn overdue_peers(&self, now: TimePoint, timeout: Duration) -> Vec<InstanceName> {
        let mut peers: Vec<InstanceName> = self
            .calls
            .values()
            .filter_map(|call| match &call.stage {
                CallStage::Sent { peer, sent_at, .. } if timeout <= now.since(*sent_at) => {
                    Some(peer.clone())
                }
                _ => None,
            })
            .collect();
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    /// Returns the calls whose current attempt is at `peer`, with the attempt's serial.
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
    /// Admits a client request unless a service that it calls lacks free slots; nested calls are always admitted.
    pub(super) fn admit_call(&mut self, step: &mut ReducerStep<'_>, id: CallId) {
        let Some(call) = self.entry.calls.get(&id) else { return };
        if call.is_nested() {
            return self.dispatch(step, id);
        }
        let (route, rank) = (call.request.route.clone(), QueueRank(call.request.rank));
        let fingerprint = call.request.fingerprint;
        let target_latency = call.route.target_latency;
        let request_id = call.request.request_id.clone();
        if self.admission.admit(step.now, &route, rank, &fingerprint) {
            self.record_expected_calls(step.now, id);
            return self.dispatch(step, id);
        }
        let retry_fraction = self.admission.retry_fraction(&route, rank);
        let wait = self.jitter(target_latency.mul_f64(retry_fraction));
        self.admission.record_refusal(step.now, fingerprint, wait);
        if self.log_limit.allows(step.now, LogPriority::Notable) {
            step.log(format!(
                "event=gate_refused request={request_id} route={route} rank={rank} share={:.3}",
                self.admission.admitted_share(&route, rank)
            ));
        }
        self.refuse(step, id, RefusalReason::Overloaded, Some(wait));
    }

    /// Sends the call to the guard with the earliest expected response.
    pub(super) fn dispatch(&mut self, step: &mut ReducerStep<'_>, id: CallId) {
        let me = self.options.member.clone();
        let Some(call) = self.entry.calls.get_mut(&id) else { return };
        let run_deadline = call.run_deadline(self.shutdown);
        if run_deadline <= step.now {
            return self.refuse(step, id, RefusalReason::DeadlineExceeded, None);
        }
        let (service, fingerprint) = (&call.request.service, &call.request.fingerprint);
        let picked = match self.quarantine.permission(step.now, fingerprint) {
            RunPermission::Unrestricted => {
                self.picker.pick(step.now, service, &call.request.route, &call.tried)
            }
            RunPermission::TrialOnly => {
                let server = self.picker.trial_server(service, fingerprint);
                server.filter(|it| !call.tried.contains(it))
            }
            RunPermission::Quarantined { remaining } => {
                return self.fail_call(step, id, RefusalReason::Quarantined, Some(remaining));
            }
        };
        let Some(peer) = picked.cloned() else {
            let reason = match call.tried.is_empty() {
                true => RefusalReason::NoUpstream,
                false => RefusalReason::Overloaded,
            };
            return self.fail_retryable(step, id, reason);
        };
        let serial = self.entry.next_serial;
        self.entry.next_serial += 1;
        let time_left = run_deadline.since(step.now);
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
        self.picker.record_sent(&peer);
        if peer == me.instance {
            return self.handle_attempt(step, &me, request, body);
        }
        step.send(&peer, PeerFrame::Attempt(Box::new(request)), body);
    }

    /// Ends the call whose attempt a guard has replied to, or sends it to another guard.
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
        let result = result.with_final_status();
        let route = call.request.route.clone();
        call.stage = CallStage::Deciding;
        let attempt_outcome = outcome_of(&result);
        self.picker.record_outcome(step.now, peer, &route, attempt_outcome, load);
        match result {
            AttemptResult::Answered { status, headers, is_call_failed, .. } => {
                call.n_runs += 1;
                call.may_have_run = true;
                let answer = CallAnswer::Complete { status, headers, body };
                let is_retryable = is_server_error(status) && !is_call_failed;
                if is_retryable && call.request.is_idempotent {
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

    /// Sends a call that has not run to another guard. Fails it if the refusal is final, the redirect limit is reached
    /// or, for a request that reached a backend server, no retry is allowed.
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

    /// Fails a call that the caller may retry, after the shortest delay that guards have returned or else the default.
    fn fail_retryable(&mut self, step: &mut ReducerStep<'_>, id: CallId, reason: RefusalReason) {
        let guard_delay = self.entry.calls.get(&id).and_then(|it| it.retry_after);
        let retry_after = guard_delay.unwrap_or_else(|| self.jitter(NO_SERVER_RETRY_AFTER));
        self.fail_call(step, id, reason, Some(retry_after));
    }

    /// Returns whether a call may be retried, and charges the retry budgets if so.
    pub(super) fn try_spend_retry(&mut self, step: &mut ReducerStep<'_>, id: CallId) -> bool {
        let Some(call) = self.entry.calls.get(&id) else { return false };
        let needed =
            self.picker.mean_run_time(&call.request.route).mul_f64(MIN_RUN_TIMES_FOR_RETRY);
        let n_daemons = self.links.contact(step.now).n_daemons;
        let has_time = needed < call.run_deadline(self.shutdown).since(step.now);
        let has_attempts_left = call.n_runs < call.route.max_attempts;
        let has_untried_server = self
            .picker
            .available_servers(&call.request.service)
            .any(|record| !call.tried.contains(&record.instance));
        if !has_time || !has_attempts_left || !has_untried_server {
            return false;
        }
        let service = &call.request.service;
        let nested = self.costs.nested_arrivals(&call.request.route, service);
        let nested = nested.map(|(service, n_arrivals)| (service.clone(), n_arrivals));
        let arrivals = std::iter::once((service.clone(), 1.0)).chain(nested).collect();
        self.retry_budgets.try_spend(step.now, &self.options.retry_policy, n_daemons, &arrivals)
    }

    /// Ends a call with the error response that a backend server returned, or else with a refusal.
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

    /// Sends the call's response and removes the call.
    fn finish(&mut self, step: &mut ReducerStep<'_>, id: CallId, answer: CallAnswer) {
        let Some(call) = self.entry.calls.remove(&id) else { return };
        self.return_token(step, &call);
        let is_success = matches!(&answer, CallAnswer::Complete { status, .. } if *status < 500);
        if call.is_nested() && !is_success {
            self.guard.record_failed_call(step.now, call.parent);
        }
        let priority = if is_success { LogPriority::Routine } else { LogPriority::Notable };
        if self.log_limit.allows(step.now, priority) {
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
        if self.log_limit.allows(step.now, LogPriority::Routine) {
            step.log(format!(
                "event=caller_disconnected request={} waited_ms={}",
                call.request.request_id,
                step.now.since(call.received_at).as_millis(),
            ));
        }
        self.abandon(step, id, &call);
    }

    /// Cancels the quota request or the attempt that a call is waiting for.
    fn abandon(&mut self, step: &mut ReducerStep<'_>, id: CallId, call: &EntryCall) {
        match &call.stage {
            CallStage::AwaitingQuota { .. } => {
                if let Some(account) = &call.request.account {
                    self.token_cache.remove_waiting(account, id);
                }
            }
            CallStage::Sent { serial, peer, .. } => {
                self.entry.attempts.remove(serial);
                self.picker.record_outcome(
                    step.now,
                    peer,
                    &call.request.route,
                    AttemptOutcome::Neutral,
                    None,
                );
                let me = self.options.member.clone();
                match *peer == me.instance {
                    true => self.cancel_attempt(step, &me, *serial),
                    false => {
                        self.links.record_cancel(peer, *serial);
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
                    self.take_fallback_token(step, id);
                }
                _ => {}
            }
        }
    }

    /// Ends a call at its deadline; an outstanding attempt may have run.
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

fn is_server_error(status: u16) -> bool {
    (500..600).contains(&status) && status != 504
}

fn outcome_of(result: &AttemptResult) -> AttemptOutcome {
    match result {
        AttemptResult::Answered { status, run_us, .. } if *status < 500 => {
            AttemptOutcome::Completed { run_time: Duration::from_micros(*run_us) }
        }
        AttemptResult::Answered { is_call_failed: true, .. } => AttemptOutcome::Neutral,
        AttemptResult::Answered { .. } => AttemptOutcome::Failed,
        AttemptResult::Refused { is_sent: true, .. } => AttemptOutcome::Failed,
        AttemptResult::Refused { reason: RefusalReason::NoUpstream, .. } => AttemptOutcome::Failed,
        AttemptResult::Refused { .. } => AttemptOutcome::Neutral,
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
