//! Calls at the entry: checks, the choice of a guard, retries, the final answer.

use std::time::Duration;

use bytes::Bytes;
use rand::Rng;

use super::{
    CallAnswer, CallRequest, CallSource, DaemonEffect, DaemonReducer, Turn,
    entry::{NextStep, claim_digest},
    event::BreakCause,
};
use crate::{
    claim::made_ms_of,
    id::{AccountName, AttemptId, CallId, CallToken, ContentDigest, MemberId, RootId},
    message::{AttemptHeader, AttemptReply, AttemptResult, CallOutcome, RefusalReason},
    quota::QuotaVerdict,
    settings::{PriorityClass, Revision, RoutePolicy},
};

/// Greatest depth of a call chain; the root call has depth 0.
const MAX_CALL_DEPTH: u8 = 20;
/// Retries at each hop where the bounds are switched off for a measurement.
const NAIVE_RETRIES: usize = 3;
/// When to come back to a daemon that has to confirm its settings first.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// When to come back after a broken connection or a missing upstream.
const BROKEN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// What a call inherits: from its root's route, or from the running call that makes it.
struct CallLineage {
    root: RootId,
    account: Option<AccountName>,
    priority: PriorityClass,
    level: u16,
    time_left: Duration,
    retry_tokens: u32,
    depth: u8,
    parent: Option<AttemptId>,
}

impl DaemonReducer {
    pub(super) fn receive_call(&mut self, turn: &mut Turn, request: CallRequest) {
        let settings = self.settings.clone();
        let Some((route, policy)) = settings.find_route(&request.method, &request.path) else {
            // Earlier settings, or those of another daemon, may have had a route.
            let is_claimable = request.idempotency_key.is_some();
            let outcome = if is_claimable { CallOutcome::Unknown } else { CallOutcome::NotRun };
            // A daemon without settings can't know; it must not sound final.
            let is_empty_handed = settings.revision() == Revision::default();
            let reason = match is_empty_handed {
                true => RefusalReason::StaleSettings,
                false => RefusalReason::NoRoute,
            };
            return refuse_at_once(turn, &request, reason, outcome);
        };
        let lineage = match request.source {
            CallSource::Caller(key) => self.root_lineage(turn, &request, policy, key),
            CallSource::Nested(token) => self.nested_lineage(turn, policy, &token),
        };
        let lineage = match lineage {
            Ok(lineage) => lineage,
            Err(reason) => {
                let outcome = unproved_outcome(&request, policy);
                return refuse_at_once(turn, &request, reason, outcome);
            }
        };
        self.control.view.subscribe(turn.now, policy.service.clone());
        let is_root = lineage.parent.is_none();
        let deadline = turn.now.plus(lineage.time_left);
        let parent = lineage.parent.clone();
        let call = request.call;
        let template = self.template(request, route.clone(), policy, lineage);
        self.entry.insert(call, template, deadline, parent);
        if let Some(wait) = self.quarantined(turn, call) {
            return self.refuse_call(turn, call, RefusalReason::Quarantined, Some(wait));
        }
        match is_root {
            true => self.admit_root(turn, call),
            false => self.dispatch(turn, call, None),
        }
    }

    fn root_lineage(
        &mut self,
        turn: &Turn,
        request: &CallRequest,
        policy: &RoutePolicy,
        key: Option<ContentDigest>,
    ) -> Result<CallLineage, RefusalReason> {
        if self.is_leaving {
            return Err(RefusalReason::Draining);
        }
        let account = match key.and_then(|it| self.settings.find_key(&it)).cloned() {
            _ if policy.open => None,
            _ if !self.is_authoritative(turn.now) => return Err(RefusalReason::StaleSettings),
            None => return Err(RefusalReason::BadKey),
            account => account,
        };
        let random = self.random_level();
        let level = self.gate.assign_level(policy.priority, account.as_ref(), random);
        let limit = Duration::from_millis(policy.deadline_ms);
        Ok(CallLineage {
            root: self.entry.new_root(request.call),
            account,
            priority: policy.priority,
            level,
            time_left: request.time_limit.map_or(limit, |it| it.min(limit)),
            retry_tokens: policy.retry_budget,
            depth: 0,
            parent: None,
        })
    }

    fn nested_lineage(
        &mut self,
        turn: &Turn,
        policy: &RoutePolicy,
        token: &CallToken,
    ) -> Result<CallLineage, RefusalReason> {
        let Some(run) = self.guard.find_token(token) else { return Err(RefusalReason::BadToken) };
        if MAX_CALL_DEPTH <= run.header.depth {
            return Err(RefusalReason::BadRequest);
        }
        // Half of what is left, so that a call made beside this one finds some too.
        let retry_tokens = run.purse.lend(run.purse.available().div_ceil(2));
        let limit = Duration::from_millis(policy.deadline_ms);
        Ok(CallLineage {
            root: run.header.root.clone(),
            account: run.header.account.clone(),
            priority: run.header.priority,
            level: run.header.level,
            time_left: run.deadline.since(turn.now).min(limit),
            retry_tokens,
            depth: run.header.depth + 1,
            parent: Some(run.header.attempt.clone()),
        })
    }

    fn template(
        &self,
        request: CallRequest,
        route: crate::id::RouteName,
        policy: &RoutePolicy,
        lineage: CallLineage,
    ) -> AttemptHeader {
        let account = lineage.account.as_ref().map_or("", |it| it.as_str());
        let parts = [
            route.as_str().as_bytes(),
            account.as_bytes(),
            request.path.as_bytes(),
            &request.body_digest.0,
        ];
        let fingerprint = ContentDigest::of_parts(&parts);
        let claim_key = request.idempotency_key.as_deref().filter(|_| !policy.idempotent);
        AttemptHeader {
            attempt: AttemptId { entry: self.identity.member.clone(), serial: 0 },
            root: lineage.root,
            service: policy.service.clone(),
            route,
            priority: lineage.priority,
            level: lineage.level,
            time_left: lineage.time_left,
            retry_tokens: lineage.retry_tokens,
            depth: lineage.depth,
            idempotent: policy.idempotent,
            claim: claim_key.map(|it| claim_digest(lineage.account.as_ref(), it)),
            claim_made_ms: claim_key.and_then(made_ms_of),
            account: lineage.account,
            entry_refusal: None,
            fingerprint,
            revision: self.settings.revision(),
            method: request.method,
            path: request.path,
            headers: request.headers,
        }
    }

    fn quarantined(&mut self, turn: &Turn, call: CallId) -> Option<Duration> {
        let call = self.entry.get(call)?;
        self.quarantine.remaining_quarantine(turn.now, &call.template.fingerprint)
    }

    fn admit_root(&mut self, turn: &mut Turn, id: CallId) {
        let random = self.random_level();
        let Some(call) = self.entry.get(id) else { return };
        let route = &call.template.route;
        let admitted = self.gate.admit(turn.now, route, call.template.level, random);
        if let Err(wait) = admitted {
            return self.refuse_call(turn, id, RefusalReason::Overloaded, Some(wait));
        }
        let Some(account) = call.template.account.clone() else {
            return self.dispatch(turn, id, None);
        };
        match self.request_quota(turn, &account, id) {
            QuotaVerdict::Granted => self.dispatch(turn, id, None),
            QuotaVerdict::Waiting => {}
            QuotaVerdict::Refused { retry_after } => {
                self.refuse_call(turn, id, RefusalReason::OverQuota, Some(retry_after));
            }
        }
    }

    /// Continues a call whose quota has been decided.
    pub(super) fn quota_granted(&mut self, turn: &mut Turn, call: CallId) {
        if self.entry.get(call).is_some() {
            self.dispatch(turn, call, None);
        }
    }

    /// Refuses a call. When an earlier copy of the request may have run, its claim's owner has to confirm the refusal.
    pub(super) fn refuse_call(
        &mut self,
        turn: &mut Turn,
        id: CallId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) {
        let Some(call) = self.entry.get_mut(id) else { return };
        if call.template.claim.is_some() {
            call.template.entry_refusal = Some(reason);
            call.refuse_after = retry_after;
            return self.dispatch(turn, id, None);
        }
        let outcome = CallOutcome::NotRun;
        self.finish(turn, id, CallAnswer::Refused { outcome, reason, retry_after });
    }

    /// Sends a call to a guard, or gives it its final answer where there is none.
    fn dispatch(&mut self, turn: &mut Turn, id: CallId, otherwise: Option<CallAnswer>) {
        let Some((guard, address)) = self.choose_guard(turn, id) else {
            let answer = otherwise.unwrap_or_else(|| self.no_upstream(id));
            return self.finish(turn, id, answer);
        };
        if otherwise.is_none() {
            self.ratio_of(id).record_first_attempt(turn.now);
        }
        self.picker.record_sent(turn.now, &guard);
        self.entry.send(turn.now, id, guard, address, &mut turn.out);
    }

    fn choose_guard(&mut self, turn: &Turn, id: CallId) -> Option<(MemberId, String)> {
        let call = self.entry.get(id)?;
        let service = &call.template.service;
        let guard = match &call.template.claim {
            // Whichever guard is asked, only the claim's owner runs the request.
            Some(claim) => self.control.claim_owner(service, claim, &call.tried)?,
            None => self.picker.pick(turn.now, service, &call.tried)?,
        };
        let address = self.control.address_of(&guard)?;
        Some((guard, address))
    }

    fn no_upstream(&self, id: CallId) -> CallAnswer {
        let claimed = self.entry.get(id).is_some_and(|it| it.template.claim.is_some());
        let outcome = if claimed { CallOutcome::Unknown } else { CallOutcome::NotRun };
        let retry_after = Some(BROKEN_RETRY_AFTER);
        CallAnswer::Refused { outcome, reason: RefusalReason::NoUpstream, retry_after }
    }

    pub(super) fn receive_answer(&mut self, turn: &mut Turn, reply: &AttemptReply, body: Bytes) {
        let (step, news) = self.entry.answered(turn.now, reply, body);
        if let Some(news) = news {
            self.control.view.note_contact(turn.now, &news.guard);
            let ok = is_server_sound(&reply.result);
            self.loads.insert(news.guard.clone(), reply.load);
            self.picker.record_reply(turn.now, &news.guard, reply.load, news.latency, ok);
            self.note_cuts(turn, &step, reply);
        }
        self.take_step(turn, step);
    }

    fn note_cuts(&mut self, turn: &Turn, step: &NextStep, reply: &AttemptReply) {
        let (NextStep::Finish { call, .. } | NextStep::Retry { call, .. }) = step else { return };
        let Some(call) = self.entry.get(*call) else { return };
        let cut = reply.load.level_threshold.min(reply.load.chain_threshold);
        match &call.parent {
            Some(parent) => {
                if let Some(run) = self.guard.get_mut(parent) {
                    run.chain_cut = run.chain_cut.min(cut);
                }
            }
            None => self.gate.record_threshold(turn.now, &call.template.route, cut),
        }
    }

    pub(super) fn receive_break(&mut self, turn: &mut Turn, serial: u64, cause: BreakCause) {
        if let Some(guard) = self.entry.guard_of(serial).cloned() {
            self.picker.record_failure(turn.now, &guard);
            self.control.view.note_unreachable(turn.now, &guard);
        }
        let step = self.entry.broken(turn.now, serial, cause, &mut turn.out);
        self.take_step(turn, step);
    }

    pub(super) fn receive_no_fate(&mut self, turn: &mut Turn, serial: u64) {
        let step = self.entry.inquiry_broken(serial);
        self.take_step(turn, step);
    }

    fn take_step(&mut self, turn: &mut Turn, step: NextStep) {
        match step {
            NextStep::Wait => {}
            NextStep::Finish { call, answer } => self.finish(turn, call, answer),
            NextStep::Retry { call, otherwise } => match self.may_retry(turn, call) {
                true => self.dispatch(turn, call, Some(otherwise)),
                false => self.finish(turn, call, otherwise),
            },
        }
    }

    fn may_retry(&mut self, turn: &Turn, id: CallId) -> bool {
        let Some(call) = self.entry.get(id).filter(|it| turn.now < it.deadline) else {
            return false;
        };
        if !self.switches.retry_bounds {
            return call.tried.len() <= NAIVE_RETRIES;
        }
        self.ratio_of(id).try_retry(turn.now)
            && self.entry.get_mut(id).is_some_and(|it| it.purse.spend())
    }

    fn ratio_of(&mut self, id: CallId) -> &mut crate::retry::RetryRatio {
        let key =
            self.entry.get(id).map(|it| (it.template.route.clone(), it.template.account.clone()));
        self.ratios.entry(key.unwrap_or_default()).or_default()
    }

    /// Gives a call its one final answer.
    fn finish(&mut self, turn: &mut Turn, id: CallId, answer: CallAnswer) {
        let Some(call) = self.entry.remove(id, &mut turn.out) else { return };
        if let Some(run) = call.parent.as_ref().and_then(|it| self.guard.get_mut(it)) {
            run.purse.repay(call.purse.available());
        }
        let is_unused = matches!(&answer, CallAnswer::Refused { outcome: CallOutcome::NotRun, .. });
        if let Some(account) = call.template.account.as_ref().filter(|_| is_unused) {
            self.control.stash.take_back(turn.now, account, id);
        }
        let answer = match answer {
            CallAnswer::Refused { outcome, reason, retry_after } => CallAnswer::Refused {
                outcome: match outcome {
                    CallOutcome::NotRun if call.may_have_run => CallOutcome::Unknown,
                    outcome => outcome,
                },
                reason,
                retry_after: retry_after.or(call.refuse_after),
            },
            answer => answer,
        };
        turn.out.push(DaemonEffect::AnswerCall { call: id, answer });
    }

    pub(super) fn drop_call(&mut self, turn: &mut Turn, id: CallId) {
        self.control.stash.abandon(id);
        let Some(call) = self.entry.remove(id, &mut turn.out) else { return };
        if let Some(run) = call.parent.as_ref().and_then(|it| self.guard.get_mut(it)) {
            run.purse.repay(call.purse.available());
        }
    }

    pub(super) fn tick_calls(&mut self, turn: &mut Turn) {
        for (call, answer) in self.entry.tick(turn.now, &mut turn.out) {
            self.control.stash.abandon(call);
            self.finish(turn, call, answer);
        }
    }

    fn random_level(&mut self) -> u16 {
        (self.rng.next_u32() >> 16) as u16
    }
}

fn refuse_at_once(
    turn: &mut Turn,
    request: &CallRequest,
    reason: RefusalReason,
    outcome: CallOutcome,
) {
    let retry_after = (reason == RefusalReason::StaleSettings).then_some(STALE_RETRY_AFTER);
    let answer = CallAnswer::Refused { outcome, reason, retry_after };
    turn.out.push(DaemonEffect::AnswerCall { call: request.call, answer });
}

/// Returns what may be said of a request that is refused before its claim's owner was asked: an earlier copy with the
/// same idempotency key may have run.
fn unproved_outcome(request: &CallRequest, policy: &RoutePolicy) -> CallOutcome {
    match request.idempotency_key.is_some() && !policy.idempotent {
        true => CallOutcome::Unknown,
        false => CallOutcome::NotRun,
    }
}

/// Returns whether the guard's backend server did what it should: shedding load is no fault.
fn is_server_sound(result: &AttemptResult) -> bool {
    match result {
        AttemptResult::Answered { status, .. } => *status < 500,
        AttemptResult::Refused { reason, local, .. } => {
            !local || !matches!(reason, RefusalReason::ConnectionLost | RefusalReason::BrokenAnswer)
        }
    }
}
