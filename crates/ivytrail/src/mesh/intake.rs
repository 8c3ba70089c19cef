//! Intake of new calls at their entry daemon: route lookup, authentication and immediate refusals.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use super::{
    MeshReducer, ReducerStep,
    entry::{CallStage, EntryCall},
    event::{CallAnswer, CallRequest, MeshEffect},
    frame::AttemptRequest,
    log_limit::LogPriority,
    policy::{AccountPolicy, RoutePolicy},
    queue::{QueueRank, RootPriority},
    weighted_split::WeightedSplit,
};
use crate::{
    id::{AccountName, CallId, ContentDigest, RouteName, ServiceName},
    message::{CallOutcome, RefusalReason},
    time::TimePoint,
};

/// Retry delay sent to callers while the daemon has no settings.
const NO_SETTINGS_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Fraction of a nested call that counts towards the retry budget at the call's own entry; the rest counts at the entry
/// of its root request.
const NESTED_CALL_ENTRY_SHARE: f64 = 0.5;

impl MeshReducer {
    pub(super) fn handle_call(&mut self, step: &mut ReducerStep<'_>, request: CallRequest) {
        let id = request.call;
        let (route, account) = match self.find_route_and_account(&request) {
            Ok(found) => found,
            Err(reason) => {
                let retry_after = match reason {
                    RefusalReason::StaleSettings => Some(self.jitter(NO_SETTINGS_RETRY_AFTER)),
                    _ => None,
                };
                return self.refuse_request(step, &request, reason, retry_after);
            }
        };
        let time_limit = request.time_limit.unwrap_or(route.timeout).min(route.timeout);
        if let Some(delay) = self.late_call_delay(step.now, &request, &route.name, time_limit) {
            return self.refuse_request(step, &request, RefusalReason::Draining, Some(delay));
        }
        let fingerprint = fingerprint_of(&request, account.as_ref().map(|it| &it.name));
        if let Some(span) = self.quarantine.remaining_quarantine(step.now, &fingerprint) {
            if self.log_limit.allows(step.now, LogPriority::Notable) {
                step.log(format!(
                    "event=request_quarantined request={} fingerprint={fingerprint:?} quarantine_ms={}",
                    request.request_id,
                    span.as_millis()
                ));
            }
            return self.refuse_request(step, &request, RefusalReason::Quarantined, Some(span));
        }
        let Some(service) = self.choose_target(&route) else {
            return self.refuse_request(step, &request, RefusalReason::NoRoute, None);
        };
        let call = self.new_call(step, request, route, account, service, fingerprint);
        let n_requests = if call.is_nested() { NESTED_CALL_ENTRY_SHARE } else { 1.0 };
        self.retry_budgets.record_requests(
            step.now,
            &self.options.retry_policy,
            &call.request.service,
            n_requests,
        );
        self.entry.timers.push(Reverse((call.deadline, id)));
        self.entry.calls.insert(id, call);
        self.check_quota(step, id);
    }

    /// Returns the retry delay for a call that the process may not be able to finish before it exits, or `None` if it may
    /// accept the call.
    ///
    /// A call is nested only if the request that makes it is known to run at the local backend server: a client's request
    /// on a public route has no API key either. Most clients have moved to other daemons by then, whereas refusing a
    /// nested call fails a request that was accepted before.
    fn late_call_delay(
        &self,
        now: TimePoint,
        request: &CallRequest,
        route: &RouteName,
        time_limit: Duration,
    ) -> Option<Duration> {
        let plan = self.shutdown?;
        let is_accepted = match self.guard.parent_run(&request.request_id) {
            None => plan.accepts_request(now, time_limit),
            Some(_) => plan.accepts_nested_call(now, self.picker.known_run_time(route), time_limit),
        };
        (!is_accepted).then(|| plan.time_left(now))
    }

    /// Returns the route of a request and the account of its API key; requests on public routes have no account.
    fn find_route_and_account(
        &self,
        request: &CallRequest,
    ) -> Result<(Arc<RoutePolicy>, Option<Arc<AccountPolicy>>), RefusalReason> {
        let settings = self.settings.as_ref().ok_or(RefusalReason::StaleSettings)?;
        let route =
            settings.route_of(&request.host, &request.target).ok_or(RefusalReason::NoRoute)?;
        let account = match route.is_public {
            true => None,
            false => {
                let key = request.key.as_ref().ok_or(RefusalReason::BadKey)?;
                Some(settings.account_by_key(key).ok_or(RefusalReason::BadKey)?)
            }
        };
        match request.request_id.is_empty() {
            true => Err(RefusalReason::BadRequest),
            false => Ok((Arc::clone(route), account.cloned())),
        }
    }

    fn new_call(
        &mut self,
        step: &ReducerStep<'_>,
        request: CallRequest,
        route: Arc<RoutePolicy>,
        account: Option<Arc<AccountPolicy>>,
        service: ServiceName,
        fingerprint: ContentDigest,
    ) -> EntryCall {
        let time_limit = request.time_limit.unwrap_or(route.timeout).min(route.timeout);
        let parent = self.guard.parent_run(&request.request_id);
        let root = parent.and_then(|it| self.guard.record_call(it, &route.name));
        let deadline = match (self.shutdown, parent) {
            (Some(plan), Some(_)) => step.now.plus(time_limit).min(plan.nested_response_deadline()),
            _ => step.now.plus(time_limit),
        };
        let priority = match (root, account.as_deref()) {
            (Some((priority, _)), _) => priority,
            (None, Some(AccountPolicy { priority: Some(priority), .. })) => {
                RootPriority::of_account(*priority, route.priority)
            }
            (None, _) => RootPriority::of_route(route.priority),
        };
        // Requests without an API key are calls of backend servers.
        let rank = match account {
            Some(_) => QueueRank::of_root(priority),
            None => QueueRank::of_nested(priority),
        };
        let attempt = AttemptRequest {
            serial: 0,
            service,
            route: route.name.clone(),
            request_id: request.request_id,
            method: request.method,
            target: request.target,
            headers: request.headers,
            account: account.as_ref().map(|it| it.name.clone()),
            caller_service: self.options.service.clone(),
            is_idempotent: route.is_idempotent,
            rank: rank.0,
            priority,
            root_age_us: 0,
            time_left_us: 0,
            max_wait_us: 0,
            fingerprint,
        };
        EntryCall {
            request: attempt,
            body: request.body,
            parent,
            route,
            account,
            received_at: step.now,
            root_start: root.map_or(step.now, |(_, start)| start),
            deadline,
            stage: CallStage::Deciding,
            tried: Vec::new(),
            n_runs: 0,
            may_have_run: false,
            token: None,
            fallback: None,
            retry_after: None,
        }
    }

    fn refuse_request(
        &mut self,
        step: &mut ReducerStep<'_>,
        request: &CallRequest,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) {
        if self.log_limit.allows(step.now, LogPriority::Notable) {
            step.log(format!(
                "event=call_refused request={} host={} target={} reason={reason} settings={} outcome=not-run",
                request.request_id,
                request.host,
                request.target,
                self.settings.as_ref().map_or(0, |it| it.version()),
            ));
        }
        let answer = CallAnswer::Refused { outcome: CallOutcome::NotRun, reason, retry_after };
        step.out.push(MeshEffect::Answer { call: request.call, answer });
    }

    /// Returns the service for the next request of a route, by the weights of its targets.
    fn choose_target(&mut self, route: &RoutePolicy) -> Option<ServiceName> {
        if let [target] = route.targets.as_slice() {
            return Some(target.service.clone());
        }
        let phase = rand::RngExt::random_range(&mut self.rng, 0.0..1.0);
        let split = self.splits.entry(route.name.clone()).or_default();
        if !split.matches(&route.targets) {
            *split = WeightedSplit::new(&route.targets, phase);
        }
        split.next_target().cloned()
    }

    /// Adds the nested calls that a client request is expected to make to the retry budgets, since a retry of the
    /// request makes them again.
    pub(super) fn record_expected_calls(&mut self, now: TimePoint, id: CallId) {
        let Some(call) = self.entry.calls.get(&id) else { return };
        let nested = self.costs.nested_arrivals(&call.request.route, &call.request.service);
        for (service, n_arrivals) in nested {
            let n_requests = n_arrivals * (1.0 - NESTED_CALL_ENTRY_SHARE);
            self.retry_budgets.record_requests(
                now,
                &self.options.retry_policy,
                service,
                n_requests,
            );
        }
    }
}

fn fingerprint_of(request: &CallRequest, account: Option<&AccountName>) -> ContentDigest {
    ContentDigest::of_parts(&[
        account.map_or(&[], |it| it.as_str().as_bytes()),
        request.host.as_bytes(),
        request.target.as_bytes(),
        &request.body,
    ])
}
