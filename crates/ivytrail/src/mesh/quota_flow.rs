//! Tokens of accounts: questions to their homes, and the answers.

use std::{cmp::Reverse, time::Duration};

use bytes::Bytes;

use super::{
    MeshReducer, ReducerStep,
    entry::{CallStage, EntryCall, REFUSAL_RETRY_FRACTION},
    frame::PeerFrame,
    log_limit::LogPriority,
    policy::AccountPolicy,
    quota::TokenVerdict,
};
use crate::{
    id::{AccountName, CallId, InstanceName},
    message::RefusalReason,
    time::TimePoint,
};

/// Longest wait for the answer of an account's home.
const QUOTA_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest wait that is asked for after the account's rate was spent.
const MAX_DENIED_RETRY_AFTER: Duration = Duration::from_millis(300);

impl MeshReducer {
    /// Gets a token for a call whose account has a rate, and takes the call to the gate. Only requests within their
    /// account's rate count as demand there.
    pub(super) fn check_quota(&mut self, step: &mut ReducerStep<'_>, id: CallId) {
        let Some(call) = self.entry.calls.get_mut(&id) else { return };
        let Some(account) = call.account.clone().filter(|it| 0.0 < it.rate_per_s) else {
            return self.admit_call(step, id);
        };
        match self.token_cache.take(step.now, &account.name, id) {
            TokenVerdict::Granted => self.grant_token(step, id),
            TokenVerdict::Denied => self.deny_token(step, id, "entry"),
            TokenVerdict::Waits { ask_for } => {
                let until = step.now.plus(QUOTA_RESPONSE_TIMEOUT);
                call.stage = CallStage::AwaitingQuota { until };
                self.entry.timers.push(Reverse((until, id)));
                if let Some(wanted) = ask_for {
                    self.request_quota(step, &account, wanted);
                }
            }
        }
    }

    fn quota_owner(&self, account: &AccountName) -> Option<InstanceName> {
        let me = &self.options.member.instance;
        self.links.quota_owner(account, me).cloned()
    }

    /// Forgets the buckets of accounts whose home another daemon is, now that it can be reached.
    pub(super) fn drop_foreign_buckets(&mut self) {
        let me = &self.options.member.instance;
        let links = &self.links;
        self.quotas.keep_homes(|account| links.quota_owner(account, me) == Some(me));
    }

    fn request_quota(&mut self, step: &mut ReducerStep<'_>, account: &AccountPolicy, wanted: u32) {
        match self.quota_owner(&account.name) {
            Some(owner) if owner != self.options.member.instance => {
                let frame = PeerFrame::QuotaRequest { account: account.name.clone(), wanted };
                step.send(&owner, frame, Bytes::new());
            }
            _ => {
                let granted = self.grant_as_owner(step.now, account, wanted);
                self.handle_quota_response(step, &account.name, wanted, granted);
            }
        }
    }

    fn grant_as_owner(&mut self, now: TimePoint, account: &AccountPolicy, wanted: u32) -> u32 {
        let (n_daemons, n_unreachable) = self.links.n_daemons(now);
        self.quotas.take_as_home(now, account, n_unreachable, n_daemons, wanted)
    }

    /// Answers a question as the account's home.
    pub(super) fn grant_quota(&mut self, now: TimePoint, name: &AccountName, wanted: u32) -> u32 {
        let account = self.settings.as_ref().and_then(|it| it.account(name)).cloned();
        match account.filter(|it| 0.0 < it.rate_per_s) {
            Some(account) => self.grant_as_owner(now, &account, wanted),
            // The asking daemon has checked the key; settings here may be older.
            None => wanted,
        }
    }

    /// Takes tokens from an account's home and hands them to the calls that wait.
    pub(super) fn handle_quota_response(
        &mut self,
        step: &mut ReducerStep<'_>,
        account: &AccountName,
        wanted: u32,
        granted: u32,
    ) {
        let (served, denied, ask_for) = self.token_cache.settle(step.now, account, wanted, granted);
        for id in served {
            self.grant_token(step, id);
        }
        for id in denied {
            self.deny_token(step, id, "home");
        }
        let policy = self.settings.as_ref().and_then(|it| it.account(account)).cloned();
        if let (Some(wanted), Some(policy)) = (ask_for, policy) {
            self.request_quota(step, &policy, wanted);
        }
    }

    /// Spends from this daemon's own part of the rate, since the home has not answered.
    pub(super) fn take_fallback_token(&mut self, step: &mut ReducerStep<'_>, id: CallId) {
        let Some(account) = self.entry.calls.get(&id).and_then(|it| it.account.clone()) else {
            return;
        };
        self.token_cache.withdraw(&account.name, id);
        self.token_cache.forget_question(&account.name);
        if let Some(owner) = self.quota_owner(&account.name) {
            self.links.record_timeout(&owner);
        }
        let (n_daemons, _) = self.links.n_daemons(step.now);
        match self.quotas.take_fallback(step.now, &account, n_daemons, 1) {
            0 => self.deny_token(step, id, "fallback"),
            _ => self.grant_token(step, id),
        }
    }

    fn grant_token(&mut self, step: &mut ReducerStep<'_>, id: CallId) {
        if let Some(call) = self.entry.calls.get_mut(&id) {
            call.stage = CallStage::Deciding;
            call.has_token = true;
            self.admit_call(step, id);
        }
    }

    fn deny_token(&mut self, step: &mut ReducerStep<'_>, id: CallId, decided_by: &str) {
        let Some(call) = self.entry.calls.get_mut(&id) else { return };
        call.stage = CallStage::Deciding;
        if self.log.allows(step.now, LogPriority::Notable) {
            step.log(format!(
                "event=quota_denied request={} account={} decided_by={decided_by}",
                call.request.request_id,
                call.account.as_ref().map_or("", |it| it.name.as_str()),
            ));
        }
        let wait =
            MAX_DENIED_RETRY_AFTER.min(call.route.target_latency.mul_f64(REFUSAL_RETRY_FRACTION));
        let retry_after = Some(self.jitter(wait));
        self.refuse(step, id, RefusalReason::OverQuota, retry_after);
    }

    /// Keeps the token of a call that has not run for the next one, unless the account is over its rate: it would bring
    /// its surplus before the gate again and again, at the cost of the other accounts.
    pub(super) fn return_token(&mut self, now: TimePoint, call: &EntryCall) {
        if let Some(account) =
            call.account.as_ref().filter(|_| call.has_token && !call.may_have_run)
        {
            self.token_cache.give_back(now, &account.name);
        }
    }
}
