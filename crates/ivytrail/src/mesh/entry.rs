//! Calls at their entry daemon, from the request to its one answer.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;

use super::{
    MeshReducer, Turn,
    event::{CallAnswer, MeshEffect, RunId},
    frame::{AttemptOrder, AttemptResult, PeerFrame, ServerLoad},
    log_budget::LineWeight,
    picker::AttemptOutcome,
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
const ROOT_WAIT_SHARE: f64 = 0.125;
/// Part of the target latency after which a request that was not let in shall come back.
pub(super) const COMEBACK_SHARE: f64 = 0.25;
/// Part of the time left that a nested call may wait for a slot.
const NESTED_WAIT_SHARE: f64 = 0.6;
/// Guards that are asked for a slot before a request is refused.
const MAX_REDIRECTS: usize = 3;
/// Run times that must be left for a repeated send.
const REPEAT_ROOM: f64 = 1.3;
/// Part of the time left that the answer needs to travel back.
const ANSWER_MARGIN: Duration = Duration::from_millis(4);

/// Where a call stands.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CallStage {
    /// The account's home has been asked.
    Quota { until: TimePoint },
    /// An attempt is at a guard.
    Sent { serial: u64, peer: InstanceName, sent_at: TimePoint },
    /// A decision is being taken.
    Deciding,
}

/// A call without an answer.
#[derive(Debug)]
pub(super) struct EntryCall {
    pub(super) order: AttemptOrder,
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
        QueueRank(self.order.rank).is_nested()
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
    pub(super) fn awaited_peers(&self, now: TimePoint, patience: Duration) -> Vec<InstanceName> {
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

    pub(super) fn sent_to(&self, peer: &InstanceName) -> Vec<(CallId, u64)> {
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
    pub(super) fn pass_gate(&mut self, turn: &mut Turn<'_>, id: CallId) {
        let Some(call) = self.entry.calls.get(&id) else { return };
        if call.is_nested() {
            return self.dispatch(turn, id);
        }
        let (route, rank) = (call.order.route.clone(), QueueRank(call.order.rank));
        let fingerprint = call.order.fingerprint;
        let target_latency = call.route.target_latency;
        let request_id = call.order.request_id.clone();
        if self.gate.admit(turn.now, &route, rank, &fingerprint) {
            self.note_coming_calls(turn.now, id);
            return self.dispatch(turn, id);
        }
        let wait = self.jitter(target_latency.mul_f64(COMEBACK_SHARE));
        self.gate.record_refusal(turn.now, fingerprint, wait);
        if self.log.allows(turn.now, LineWeight::Notable) {
            turn.log(format!(
                "event=gate_refused request={request_id} route={route} rank={rank} share={:.3}",
                self.gate.admitted_share(&route, rank)
            ));
        }
        self.refuse(turn, id, RefusalReason::Overloaded, Some(wait));
    }

    /// Sends the call to the guard that is expected to answer first.
    pub(super) fn dispatch(&mut self, turn: &mut Turn<'_>, id: CallId) {
        let me = self.options.member.clone();
        let Some(call) = self.entry.calls.get_mut(&id) else { return };
        if call.deadline <= turn.now {
            return self.refuse(turn, id, RefusalReason::DeadlineExceeded, None);
        }
        let picked =
            self.picker.pick(turn.now, &call.order.service, &call.order.route, &call.tried);
        let Some(peer) = picked.cloned() else {
            let reason = match call.tried.is_empty() {
                true => RefusalReason::NoUpstream,
                false => RefusalReason::Overloaded,
            };
            return self.give_up_for_now(turn, id, reason);
        };
        let serial = self.entry.next_serial;
        self.entry.next_serial += 1;
        let time_left = call.deadline.since(turn.now).saturating_sub(ANSWER_MARGIN);
        let max_wait = match call.is_nested() {
            true => time_left.mul_f64(NESTED_WAIT_SHARE),
            false => call.route.target_latency.mul_f64(ROOT_WAIT_SHARE),
        };
        call.stage = CallStage::Sent { serial, peer: peer.clone(), sent_at: turn.now };
        let mut order = call.order.clone();
        order.serial = serial;
        order.root_age_us = micros_of(turn.now.since(call.root_start));
        order.time_left_us = micros_of(time_left);
        order.max_wait_us = micros_of(max_wait);
        let body = call.body.clone();
        self.entry.attempts.insert(serial, id);
        self.picker.record_sent(&peer);
        if peer == me.instance {
            return self.receive_attempt(turn, &me, order, body);
        }
        turn.send(&peer, PeerFrame::Attempt(Box::new(order)), body);
    }

    pub(super) fn receive_reply(
        &mut self,
        turn: &mut Turn<'_>,
        peer: &InstanceName,
        serial: u64,
        result: AttemptResult,
        load: Option<ServerLoad>,
        body: Bytes,
    ) {
        let Some(id) = self.entry.attempts.remove(&serial) else { return };
        let Some(call) = self.entry.calls.get_mut(&id) else { return };
        let route = call.order.route.clone();
        call.stage = CallStage::Deciding;
        let news = news_of(&result);
        self.picker.record_outcome(turn.now, peer, &route, news, load);
        match result {
            AttemptResult::Answered { status, headers, is_call_failed, .. } => {
                call.n_runs += 1;
                call.may_have_run = true;
                let answer = CallAnswer::Whole { status, headers, body };
                let is_repeatable = is_server_fault(status) && !is_call_failed;
                if is_repeatable && call.order.is_idempotent {
                    call.tried.push(peer.clone());
                    call.fallback = Some(answer.clone());
                    if self.may_repeat(turn, id) {
                        return self.dispatch(turn, id);
                    }
                }
                self.finish(turn, id, answer);
            }
            AttemptResult::Refused { outcome, reason, retry_after, is_sent } => {
                call.tried.push(peer.clone());
                call.retry_after = match (call.retry_after, retry_after) {
                    (Some(a), Some(b)) => Some(a.min(b)),
                    (a, b) => a.or(b),
                };
                if outcome == CallOutcome::NotRun {
                    return self.redirect(turn, id, reason, is_sent);
                }
                call.n_runs += 1;
                call.may_have_run = true;
                if call.order.is_idempotent && self.may_repeat(turn, id) {
                    return self.dispatch(turn, id);
                }
                self.give_up(turn, id, reason, None);
            }
        }
    }

    /// Sends a call that has not run to another guard, if one may take it.
    fn redirect(&mut self, turn: &mut Turn<'_>, id: CallId, reason: RefusalReason, is_sent: bool) {
        let Some(call) = self.entry.calls.get(&id) else { return };
        let is_final = reason == RefusalReason::Quarantined || MAX_REDIRECTS < call.tried.len();
        if !is_final && (!is_sent || self.may_repeat(turn, id)) {
            return self.dispatch(turn, id);
        }
        self.give_up_for_now(turn, id, reason);
    }

    /// Gives up a call that may come back: after the time that guards have named, if one has.
    fn give_up_for_now(&mut self, turn: &mut Turn<'_>, id: CallId, reason: RefusalReason) {
        let told = self.entry.calls.get(&id).and_then(|it| it.retry_after);
        let retry_after = told.unwrap_or_else(|| self.jitter(NO_SERVER_RETRY_AFTER));
        self.give_up(turn, id, reason, Some(retry_after));
    }

    /// Returns whether a call may be sent to a backend server once more, and spends the repeat.
    pub(super) fn may_repeat(&mut self, turn: &mut Turn<'_>, id: CallId) -> bool {
        let Some(call) = self.entry.calls.get(&id) else { return false };
        let needed = self.picker.mean_run_time(&call.order.route).mul_f64(REPEAT_ROOM);
        let (n_daemons, _) = self.links.n_daemons(turn.now);
        let has_room = needed < call.deadline.since(turn.now);
        let has_attempts = call.n_runs < call.route.max_attempts;
        let has_server = self
            .picker
            .available_servers(&call.order.service)
            .any(|record| !call.tried.contains(&record.instance));
        if !has_room || !has_attempts || !has_server {
            return false;
        }
        let own_service = &call.order.service;
        let below = self.costs.nested_arrivals(&call.order.route, own_service).cloned();
        let arrivals = std::iter::once((own_service.clone(), 1.0)).chain(below).collect();
        self.repeats.try_spend(turn.now, &self.options.repeats, n_daemons, &arrivals)
    }

    /// Answers with the failure that a backend server gave, or else with a refusal.
    pub(super) fn give_up(
        &mut self,
        turn: &mut Turn<'_>,
        id: CallId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) {
        let fallback = self.entry.calls.get_mut(&id).and_then(|it| it.fallback.take());
        match fallback {
            Some(answer) => self.finish(turn, id, answer),
            None => self.refuse(turn, id, reason, retry_after),
        }
    }

    pub(super) fn refuse(
        &mut self,
        turn: &mut Turn<'_>,
        id: CallId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) {
        let Some(call) = self.entry.calls.get(&id) else { return };
        let outcome = match call.may_have_run {
            true => CallOutcome::Unknown,
            false => CallOutcome::NotRun,
        };
        self.finish(turn, id, CallAnswer::Refused { outcome, reason, retry_after });
    }

    /// Gives a call its one answer.
    fn finish(&mut self, turn: &mut Turn<'_>, id: CallId, answer: CallAnswer) {
        let Some(call) = self.entry.calls.remove(&id) else { return };
        self.return_token(turn.now, &call);
        let is_good = matches!(&answer, CallAnswer::Whole { status, .. } if *status < 500);
        if call.is_nested() && !is_good {
            self.guard.note_failed_call(turn.now, call.parent);
        }
        let weight = if is_good { LineWeight::Routine } else { LineWeight::Notable };
        if self.log.allows(turn.now, weight) {
            turn.log(format!(
                "event=call_answered request={} route={} service={} account={} tried={} took_ms={} {}",
                call.order.request_id,
                call.order.route,
                call.order.service,
                call.order.account.as_ref().map_or("-", |it| it.as_str()),
                call.tried.len(),
                turn.now.since(call.received_at).as_millis(),
                summary_of(&answer),
            ));
        }
        turn.out.push(MeshEffect::Answer { call: id, answer });
    }

    pub(super) fn drop_call(&mut self, turn: &mut Turn<'_>, id: CallId) {
        let Some(call) = self.entry.calls.remove(&id) else { return };
        if self.log.allows(turn.now, LineWeight::Routine) {
            turn.log(format!(
                "event=caller_gone request={} waited_ms={}",
                call.order.request_id,
                turn.now.since(call.received_at).as_millis(),
            ));
        }
        self.abandon(turn, id, &call);
    }

    /// Gives up what a call waits for.
    fn abandon(&mut self, turn: &mut Turn<'_>, id: CallId, call: &EntryCall) {
        match &call.stage {
            CallStage::Quota { .. } => {
                if let Some(account) = &call.order.account {
                    self.stash.remove_waiting(account, id);
                }
            }
            CallStage::Sent { serial, peer, .. } => {
                self.entry.attempts.remove(serial);
                self.picker.record_outcome(
                    turn.now,
                    peer,
                    &call.order.route,
                    AttemptOutcome::Neutral,
                    None,
                );
                let me = self.options.member.clone();
                match *peer == me.instance {
                    true => self.cancel_attempt(turn, &me, *serial),
                    false => {
                        turn.send(peer, PeerFrame::Cancel { serial: *serial }, Bytes::new());
                    }
                }
            }
            CallStage::Deciding => {}
        }
    }

    pub(super) fn tick_calls(&mut self, turn: &mut Turn<'_>) {
        while let Some(Reverse((due, id))) = self.entry.timers.peek().copied() {
            if turn.now < due {
                return;
            }
            self.entry.timers.pop();
            let Some(call) = self.entry.calls.get(&id) else { continue };
            match &call.stage {
                _ if call.deadline <= turn.now => self.time_out(turn, id),
                CallStage::Quota { until } if *until <= turn.now => self.take_fallback(turn, id),
                _ => {}
            }
        }
    }

    fn time_out(&mut self, turn: &mut Turn<'_>, id: CallId) {
        let Some(mut call) = self.entry.calls.remove(&id) else { return };
        call.may_have_run |= matches!(call.stage, CallStage::Sent { .. });
        self.abandon(turn, id, &call);
        call.stage = CallStage::Deciding;
        self.entry.calls.insert(id, call);
        self.give_up(turn, id, RefusalReason::DeadlineExceeded, None);
    }
}

fn micros_of(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn is_server_fault(status: u16) -> bool {
    (500..600).contains(&status) && status != 504
}

fn news_of(result: &AttemptResult) -> AttemptOutcome {
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

fn summary_of(answer: &CallAnswer) -> String {
    match answer {
        CallAnswer::Whole { status, body, .. } => {
            format!("outcome=ran status={status} bytes={}", body.len())
        }
        CallAnswer::Refused { outcome, reason, retry_after } => format!(
            "outcome={outcome} reason={reason} retry_after_ms={}",
            retry_after.map_or(0, |it| it.as_millis()),
        ),
    }
}
