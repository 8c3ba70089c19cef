//! Processing of calls at the entry: checks, guard selection, retries and the final answer.

use std::time::Duration;

use bytes::Bytes;
use rand::Rng;

use super::{
    CallAnswer, CallRequest, CallSource, DaemonEffect, DaemonReducer, ReducerStep,
    entry::{NextAction, claim_digest},
    event::AttemptFailure,
};
use crate::{
    claim::made_ms_of,
    id::{AccountName, AttemptId, CallId, CallToken, ContentDigest, MemberId, RootId},
    message::{AttemptHeader, AttemptReply, AttemptResult, CallOutcome, RefusalReason},
    quota::QuotaVerdict,
    settings::{PriorityClass, Revision, RoutePolicy},
};

/// Maximum depth of a call chain; the root call has depth 0.
const MAX_CALL_DEPTH: u8 = 20;
/// Maximum retries per hop when the retry bounds are disabled for a measurement.
const RETRIES_WITHOUT_BOUNDS: usize = 3;
/// Retry delay suggested by a daemon that must confirm its settings first.
const STALE_SETTINGS_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Retry delay suggested when no upstream is available.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Properties that a call inherits, from its route if it is a root call or else from the running call that made it.
struct CallContext {
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
    pub(super) fn handle_call(&mut self, step: &mut ReducerStep, request: CallRequest) {
        let settings = self.settings.clone();
        let Some((route, policy)) = settings.find_route(&request.method, &request.path) else {
            // The route may have existed under earlier settings, or under those of another daemon.
            let is_claimable = request.idempotency_key.is_some();
            let outcome = if is_claimable { CallOutcome::Unknown } else { CallOutcome::NotRun };
            // Without settings, a missing route is not conclusive, so the refusal must not appear final.
            let has_no_settings = settings.revision() == Revision::default();
            let reason = match has_no_settings {
                true => RefusalReason::StaleSettings,
                false => RefusalReason::NoRoute,
            };
            return refuse_immediately(step, &request, reason, outcome);
        };
        let context = match request.source {
            CallSource::Caller(key) => self.root_context(step, &request, policy, key),
            CallSource::Nested(token) => self.nested_context(step, policy, &token),
        };
        let context = match context {
            Ok(context) => context,
            Err(reason) => {
                let outcome = unconfirmed_outcome(&request, policy);
                return refuse_immediately(step, &request, reason, outcome);
            }
        };
        self.control.view.subscribe(step.now, policy.service.clone());
        let is_root = context.parent.is_none();
        let deadline = step.now.plus(context.time_left);
        let parent = context.parent.clone();
        let call = request.call;
        let template = self.attempt_template(request, route.clone(), policy, context);
        self.entry.insert(call, template, deadline, parent);
        if let Some(wait) = self.quarantine_wait(step, call) {
            return self.refuse_call(step, call, RefusalReason::Quarantined, Some(wait));
        }
        match is_root {
            true => self.admit_root(step, call),
            false => self.dispatch(step, call, None),
        }
    }

    fn root_context(
        &mut self,
        step: &ReducerStep,
        request: &CallRequest,
        policy: &RoutePolicy,
        key: Option<ContentDigest>,
    ) -> Result<CallContext, RefusalReason> {
        if self.is_leaving {
            return Err(RefusalReason::Draining);
        }
        let account = match key.and_then(|it| self.settings.find_key(&it)).cloned() {
            _ if policy.open => None,
            _ if !self.is_authoritative(step.now) => return Err(RefusalReason::StaleSettings),
            None => return Err(RefusalReason::BadKey),
            account => account,
        };
        let random = self.random_level();
        let level = self.gate.assign_level(policy.priority, account.as_ref(), random);
        let limit = Duration::from_millis(policy.deadline_ms);
        Ok(CallContext {
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

    fn nested_context(
        &mut self,
        step: &ReducerStep,
        policy: &RoutePolicy,
        token: &CallToken,
    ) -> Result<CallContext, RefusalReason> {
        let Some(run) = self.guard.find_token(token) else { return Err(RefusalReason::BadToken) };
        if MAX_CALL_DEPTH <= run.header.depth {
            return Err(RefusalReason::BadRequest);
        }
        // Lend half of the available tokens, so that parallel nested calls receive some too.
        let retry_tokens = run.retry_budget.lend(run.retry_budget.available().div_ceil(2));
        let limit = Duration::from_millis(policy.deadline_ms);
        Ok(CallContext {
            root: run.header.root.clone(),
            account: run.header.account.clone(),
            priority: run.header.priority,
            level: run.header.level,
            time_left: run.deadline.since(step.now).min(limit),
            retry_tokens,
            depth: run.header.depth + 1,
            parent: Some(run.header.attempt.clone()),
        })
    }

    fn attempt_template(
        &self,
        request: CallRequest,
        route: crate::id::RouteName,
        policy: &RoutePolicy,
        context: CallContext,
    ) -> AttemptHeader {
        let account = context.account.as_ref().map_or("", |it| it.as_str());
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
            root: context.root,
            service: policy.service.clone(),
            route,
            priority: context.priority,
            level: context.level,
            time_left: context.time_left,
            retry_tokens: context.retry_tokens,
            depth: context.depth,
            idempotent: policy.idempotent,
            claim: claim_key.map(|it| claim_digest(context.account.as_ref(), it)),
            claim_made_ms: claim_key.and_then(made_ms_of),
            account: context.account,
            entry_refusal: None,
            fingerprint,
            revision: self.settings.revision(),
            method: request.method,
            path: request.path,
            headers: request.headers,
        }
    }

    fn quarantine_wait(&mut self, step: &ReducerStep, call: CallId) -> Option<Duration> {
        let call = self.entry.get(call)?;
        self.quarantine.remaining_quarantine(step.now, &call.template.fingerprint)
    }

    fn admit_root(&mut self, step: &mut ReducerStep, id: CallId) {
        let random = self.random_level();
        let Some(call) = self.entry.get(id) else { return };
        let route = &call.template.route;
        let admitted = self.gate.admit(step.now, route, call.template.level, random);
        if let Err(wait) = admitted {
            return self.refuse_call(step, id, RefusalReason::Overloaded, Some(wait));
        }
        let Some(account) = call.template.account.clone() else {
            return self.dispatch(step, id, None);
        };
        match self.request_quota(step, &account, id) {
            QuotaVerdict::Granted => self.dispatch(step, id, None),
            QuotaVerdict::Waiting => {}
            QuotaVerdict::Refused { retry_after } => {
                self.refuse_call(step, id, RefusalReason::OverQuota, Some(retry_after));
            }
        }
    }

    /// Dispatches a call that was waiting for a quota token, unless it was already answered.
    pub(super) fn resume_call(&mut self, step: &mut ReducerStep, call: CallId) {
        if self.entry.get(call).is_some() {
            self.dispatch(step, call, None);
        }
    }

    /// Refuses a call. An earlier copy of a claimed request may have run, so the claim's owner must confirm the refusal.
    pub(super) fn refuse_call(
        &mut self,
        step: &mut ReducerStep,
        id: CallId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) {
        let Some(call) = self.entry.get_mut(id) else { return };
        if call.template.claim.is_some() {
            call.template.entry_refusal = Some(reason);
            call.refusal_retry_after = retry_after;
            return self.dispatch(step, id, None);
        }
        let outcome = CallOutcome::NotRun;
        self.finish(step, id, CallAnswer::Refused { outcome, reason, retry_after });
    }

    /// Sends a call to a guard, or answers it with `fallback` if no guard is available.
    fn dispatch(&mut self, step: &mut ReducerStep, id: CallId, fallback: Option<CallAnswer>) {
        let Some((guard, address)) = self.choose_guard(step, id) else {
            let answer = fallback.unwrap_or_else(|| self.no_upstream_answer(id));
            return self.finish(step, id, answer);
        };
        if fallback.is_none() {
            self.retry_ratio(id).record_first_attempt(step.now);
        }
        self.picker.record_sent(step.now, &guard);
        self.entry.send(step.now, id, guard, address, &mut step.effects);
    }

    fn choose_guard(&mut self, step: &ReducerStep, id: CallId) -> Option<(MemberId, String)> {
        let call = self.entry.get(id)?;
        let service = &call.template.service;
        let guard = match &call.template.claim {
            // Any guard is safe to choose: only the claim's owner runs the request.
            Some(claim) => self.control.probable_claim_owner(service, claim, &call.tried)?,
            None => self.picker.pick(step.now, service, &call.tried)?,
        };
        let address = self.control.address_of(&guard)?;
        Some((guard, address))
    }

    fn no_upstream_answer(&self, id: CallId) -> CallAnswer {
        let is_claimed = self.entry.get(id).is_some_and(|it| it.template.claim.is_some());
        let outcome = if is_claimed { CallOutcome::Unknown } else { CallOutcome::NotRun };
        let retry_after = Some(NO_UPSTREAM_RETRY_AFTER);
        CallAnswer::Refused { outcome, reason: RefusalReason::NoUpstream, retry_after }
    }

    pub(super) fn handle_reply(
        &mut self,
        step: &mut ReducerStep,
        reply: &AttemptReply,
        body: Bytes,
    ) {
        let (action, observation) = self.entry.handle_reply(step.now, reply, body);
        if let Some(observation) = observation {
            self.control.view.record_contact(step.now, &observation.guard);
            let ok = is_server_healthy(&reply.result);
            self.peer_loads.insert(observation.guard.clone(), reply.load);
            self.picker.record_reply(
                step.now,
                &observation.guard,
                reply.load,
                observation.latency,
                ok,
            );
            self.record_thresholds(step, &action, reply);
        }
        self.apply_action(step, action);
    }

    fn record_thresholds(&mut self, step: &ReducerStep, action: &NextAction, reply: &AttemptReply) {
        let (NextAction::Finish { call, .. } | NextAction::Retry { call, .. }) = action else {
            return;
        };
        let Some(call) = self.entry.get(*call) else { return };
        let threshold = reply.load.level_threshold.min(reply.load.chain_threshold);
        match &call.parent {
            Some(parent) => {
                if let Some(run) = self.guard.get_mut(parent) {
                    run.chain_threshold = run.chain_threshold.min(threshold);
                }
            }
            None => self.gate.record_threshold(step.now, &call.template.route, threshold),
        }
    }

    pub(super) fn handle_attempt_failure(
        &mut self,
        step: &mut ReducerStep,
        serial: u64,
        cause: AttemptFailure,
    ) {
        if let Some(guard) = self.entry.guard_of(serial).cloned() {
            self.picker.record_failure(step.now, &guard);
            self.control.view.record_unreachable(step.now, &guard);
        }
        let action = self.entry.handle_failure(step.now, serial, cause, &mut step.effects);
        self.apply_action(step, action);
    }

    pub(super) fn handle_inquiry_failure(&mut self, step: &mut ReducerStep, serial: u64) {
        let action = self.entry.handle_inquiry_failure(serial);
        self.apply_action(step, action);
    }

    fn apply_action(&mut self, step: &mut ReducerStep, action: NextAction) {
        match action {
            NextAction::Wait => {}
            NextAction::Finish { call, answer } => self.finish(step, call, answer),
            NextAction::Retry { call, fallback } => match self.may_retry(step, call) {
                true => self.dispatch(step, call, Some(fallback)),
                false => self.finish(step, call, fallback),
            },
        }
    }

    fn may_retry(&mut self, step: &ReducerStep, id: CallId) -> bool {
        let Some(call) = self.entry.get(id).filter(|it| step.now < it.deadline) else {
            return false;
        };
        if !self.switches.retry_bounds {
            return call.tried.len() <= RETRIES_WITHOUT_BOUNDS;
        }
        self.retry_ratio(id).try_retry(step.now)
            && self.entry.get_mut(id).is_some_and(|it| it.retry_budget.spend())
    }

    fn retry_ratio(&mut self, id: CallId) -> &mut crate::retry::RetryRatio {
        let key =
            self.entry.get(id).map(|it| (it.template.route.clone(), it.template.account.clone()));
        self.retry_ratios.entry(key.unwrap_or_default()).or_default()
    }

    /// Removes a call and sends its only answer.
    fn finish(&mut self, step: &mut ReducerStep, id: CallId, answer: CallAnswer) {
        let Some(call) = self.entry.remove(id, &mut step.effects) else { return };
        if let Some(run) = call.parent.as_ref().and_then(|it| self.guard.get_mut(it)) {
            run.retry_budget.repay(call.retry_budget.available());
        }
        let is_token_unused =
            matches!(&answer, CallAnswer::Refused { outcome: CallOutcome::NotRun, .. });
        if let Some(account) = call.template.account.as_ref().filter(|_| is_token_unused) {
            self.control.token_cache.return_token(step.now, account, id);
        }
        let answer = match answer {
            CallAnswer::Refused { outcome, reason, retry_after } => CallAnswer::Refused {
                outcome: match outcome {
                    CallOutcome::NotRun if call.may_have_run => CallOutcome::Unknown,
                    outcome => outcome,
                },
                reason,
                retry_after: retry_after.or(call.refusal_retry_after),
            },
            answer => answer,
        };
        step.effects.push(DaemonEffect::AnswerCall { call: id, answer });
    }

    pub(super) fn abandon_call(&mut self, step: &mut ReducerStep, id: CallId) {
        self.control.token_cache.remove_waiting(id);
        let Some(call) = self.entry.remove(id, &mut step.effects) else { return };
        if let Some(run) = call.parent.as_ref().and_then(|it| self.guard.get_mut(it)) {
            run.retry_budget.repay(call.retry_budget.available());
        }
    }

    pub(super) fn tick_calls(&mut self, step: &mut ReducerStep) {
        for (call, answer) in self.entry.tick(step.now, &mut step.effects) {
            self.control.token_cache.remove_waiting(call);
            self.finish(step, call, answer);
        }
    }

    fn random_level(&mut self) -> u16 {
        (self.rng.next_u32() >> 16) as u16
    }
}

fn refuse_immediately(
    step: &mut ReducerStep,
    request: &CallRequest,
    reason: RefusalReason,
    outcome: CallOutcome,
) {
    let retry_after =
        (reason == RefusalReason::StaleSettings).then_some(STALE_SETTINGS_RETRY_AFTER);
    let answer = CallAnswer::Refused { outcome, reason, retry_after };
    step.effects.push(DaemonEffect::AnswerCall { call: request.call, answer });
}

/// Returns the outcome to report for a request refused before its claim's owner was queried: an earlier copy with the
/// same idempotency key may have run.
fn unconfirmed_outcome(request: &CallRequest, policy: &RoutePolicy) -> CallOutcome {
    match request.idempotency_key.is_some() && !policy.idempotent {
        true => CallOutcome::Unknown,
        false => CallOutcome::NotRun,
    }
}

/// Returns whether the result indicates a healthy backend server; shedding load does not count as a failure.
fn is_server_healthy(result: &AttemptResult) -> bool {
    match result {
        AttemptResult::Answered { status, .. } => *status < 500,
        AttemptResult::Refused { reason, local, .. } => {
            !local || !matches!(reason, RefusalReason::ConnectionLost | RefusalReason::BrokenAnswer)
        }
    }
}
