//! Quota tokens of client accounts: requests to the quota owners, and their responses.

use std::{cmp::Reverse, time::Duration};

use bytes::Bytes;
use derive_more::Display;

use super::{
    MeshReducer, ReducerStep,
    admission::REFUSAL_RETRY_FRACTION,
    entry::{CallStage, EntryCall},
    frame::PeerFrame,
    log_limit::LogPriority,
    policy::AccountPolicy,
    quota::QUOTA_RESPONSE_TIMEOUT,
    token_cache::TokenDecision,
};
use crate::{
    id::{AccountName, CallId, InstanceName},
    message::RefusalReason,
    time::TimePoint,
};

/// Maximum retry delay sent to the caller when the account has exceeded its rate.
const MAX_DENIED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Where the quota token of a call came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TokenSource {
    /// The account's quota owner granted it.
    Owner(InstanceName),
    /// This daemon spent it while the named quota owner did not respond.
    Fallback(InstanceName),
}

/// What denied a call its quota token.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum DenialSource {
    /// The account's quota owner.
    #[display("home")]
    Owner,
    /// The entry, because of the quota owner's last response.
    #[display("entry")]
    Entry,
    /// The entry, which has no token for the account while the quota owner does not respond.
    #[display("fallback")]
    Fallback,
}

/// Numbers of calls that were denied a quota token, by what denied them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DenialCounts {
    by_owner: u64,
    by_entry: u64,
    by_fallback: u64,
}

impl DenialCounts {
    fn record(&mut self, source: DenialSource) {
        let count = match source {
            DenialSource::Owner => &mut self.by_owner,
            DenialSource::Entry => &mut self.by_entry,
            DenialSource::Fallback => &mut self.by_fallback,
        };
        *count += 1;
    }

    /// Returns each count with the name that log lines give its source.
    pub(super) fn by_source(&self) -> [(&'static str, u64); 3] {
        [("home", self.by_owner), ("entry", self.by_entry), ("fallback", self.by_fallback)]
    }
}

impl MeshReducer {
    /// Obtains a token for a call whose account has a rate limit, then passes the call to admission control. The quota
    /// is checked first, so that only requests within their account's rate count as demand there.
    pub(super) fn check_quota(&mut self, step: &mut ReducerStep<'_>, id: CallId) {
        let Some(call) = self.entry.calls.get_mut(&id) else { return };
        let Some(account) = call.account.clone().filter(|it| 0.0 < it.rate_per_s) else {
            return self.admit_call(step, id);
        };
        match self.token_cache.acquire(step.now, &account.name, id) {
            TokenDecision::Granted => {
                let me = &self.options.member.instance;
                let owner = self.quota_owner(&account.name).unwrap_or_else(|| me.clone());
                self.grant_token(step, id, TokenSource::Owner(owner));
            }
            TokenDecision::Denied => self.deny_token(step, id, DenialSource::Entry),
            TokenDecision::Pending { to_request } => {
                let until = step.now.plus(QUOTA_RESPONSE_TIMEOUT);
                call.stage = CallStage::AwaitingQuota { until };
                self.entry.timers.push(Reverse((until, id)));
                if let Some(wanted) = to_request {
                    self.request_quota(step, &account, wanted);
                }
            }
        }
    }

    /// Returns the account's quota owner among the reachable daemons.
    fn quota_owner(&self, account: &AccountName) -> Option<InstanceName> {
        let me = &self.options.member.instance;
        self.links.quota_owner(account, me).cloned()
    }

    /// Stops granting tokens of accounts whose quota owner is another daemon, now that it is reachable.
    pub(super) fn release_foreign_buckets(&mut self, now: TimePoint) {
        let me = &self.options.member.instance;
        let links = &self.links;
        self.quotas.release_foreign(now, |account| links.quota_owner(account, me) == Some(me));
    }

    /// Stops granting tokens that others no longer request, of accounts that this daemon doesn't own.
    pub(super) fn tick_quotas(&mut self, now: TimePoint) {
        let me = &self.options.member.instance;
        let links = &self.links;
        let is_owner = |account: &AccountName| links.quota_owner(account, me) == Some(me);
        self.quotas.release_unused_foreign(now, is_owner);
    }

    /// Reports to a quota owner that responds again what was spent without it.
    pub(super) fn report_spent_tokens(&mut self, step: &mut ReducerStep<'_>, owner: &InstanceName) {
        let spent = self.token_cache.take_spent(owner);
        if !self.links.is_versioned(owner) {
            // Builds without a version don't know the frame.
            return;
        }
        for (account, n_tokens) in spent {
            step.send(owner, PeerFrame::QuotaSpent { account, n_tokens }, Bytes::new());
        }
    }

    /// Forgets what was spent without a quota owner that has restarted or is gone, and so has no bucket to take it from.
    pub(super) fn cancel_spent_tokens(&mut self, owner: &InstanceName) {
        drop(self.token_cache.take_spent(owner));
    }

    /// Takes tokens that an entry has spent without this daemon as the account's quota owner.
    pub(super) fn settle_spent_tokens(
        &mut self,
        now: TimePoint,
        name: &AccountName,
        n_tokens: u32,
    ) {
        let account = self.settings.as_ref().and_then(|it| it.account(name)).cloned();
        if let Some(account) = account.filter(|it| 0.0 < it.rate_per_s) {
            let contact = self.links.contact(now);
            self.quotas.settle_as_owner(now, &account, &contact, n_tokens);
        }
    }

    /// Returns the accounts that wait for `peer` as their quota owner.
    pub(super) fn accounts_waiting_for(&self, peer: &InstanceName) -> Vec<AccountName> {
        let me = &self.options.member.instance;
        let pending = self.token_cache.pending_accounts();
        pending.filter(|it| self.links.quota_owner(it, me) == Some(peer)).cloned().collect()
    }

    /// Serves the calls of `accounts` that wait for `former`, whose link has closed: from this daemon's share and in
    /// advance as far as they allow it, otherwise by the next quota owner.
    pub(super) fn replace_quota_owner(
        &mut self,
        step: &mut ReducerStep<'_>,
        former: &InstanceName,
        accounts: Vec<AccountName>,
    ) {
        for name in accounts {
            let account = self.settings.as_ref().and_then(|it| it.account(&name)).cloned();
            let Some(account) = account.filter(|it| 0.0 < it.rate_per_s) else { continue };
            while let Some(id) = self.token_cache.first_waiting(&name) {
                let Some(source) = self.take_from_fallbacks(step.now, &account, former) else {
                    break;
                };
                self.token_cache.remove_waiting(&name, id);
                self.grant_token(step, id, source);
            }
            if let Some(wanted) = self.token_cache.request_for_waiting(step.now, &name) {
                self.request_quota(step, &account, wanted);
            }
        }
    }

    fn request_quota(&mut self, step: &mut ReducerStep<'_>, account: &AccountPolicy, wanted: u32) {
        match self.quota_owner(&account.name) {
            Some(owner) if owner != self.options.member.instance => {
                let frame = PeerFrame::QuotaRequest { account: account.name.clone(), wanted };
                step.send(&owner, frame, Bytes::new());
            }
            _ => {
                let granted = self.grant_as_owner(step.now, account, wanted);
                let me = self.options.member.instance.clone();
                self.handle_quota_response(step, &me, &account.name, wanted, granted);
            }
        }
    }

    fn grant_as_owner(&mut self, now: TimePoint, account: &AccountPolicy, wanted: u32) -> u32 {
        let contact = self.links.contact(now);
        self.quotas.take_as_owner(now, account, &contact, wanted)
    }

    /// Handles a quota request as the account's quota owner. Returns the number of tokens granted, or `None` if the local
    /// settings don't have the account or its rate. The requesting daemon, which has verified the API key, then spends
    /// its own share.
    pub(super) fn grant_quota(
        &mut self,
        now: TimePoint,
        name: &AccountName,
        wanted: u32,
    ) -> Option<u32> {
        let account = self.settings.as_ref().and_then(|it| it.account(name)).cloned();
        let account = account.filter(|it| 0.0 < it.rate_per_s)?;
        Some(self.grant_as_owner(now, &account, wanted))
    }

    /// Handles a response of `owner`, which granted tokens as an account's quota owner: distributes the tokens to waiting
    /// calls, refuses the calls that were denied and requests more tokens if calls are still waiting.
    pub(super) fn handle_quota_response(
        &mut self,
        step: &mut ReducerStep<'_>,
        owner: &InstanceName,
        account: &AccountName,
        wanted: u32,
        granted: u32,
    ) {
        self.quotas.release_fallback(step.now, account);
        match self.links.absent_quota_owner(step.now, account, owner).cloned() {
            Some(absent) => self.token_cache.record_spent(account, &absent, granted),
            None => self.report_spent_tokens(step, owner),
        }
        let (granted_calls, denied_calls, next_request) =
            self.token_cache.apply_grant(step.now, account, wanted, granted);
        for id in granted_calls {
            self.grant_token(step, id, TokenSource::Owner(owner.clone()));
        }
        for id in denied_calls {
            self.deny_token(step, id, DenialSource::Owner);
        }
        let policy = self.settings.as_ref().and_then(|it| it.account(account)).cloned();
        if let (Some(wanted), Some(policy)) = (next_request, policy) {
            self.request_quota(step, &policy, wanted);
        }
    }

    /// Takes a token from this daemon's share of the rate, because the quota owner has not responded in time.
    pub(super) fn take_fallback_token(&mut self, step: &mut ReducerStep<'_>, id: CallId) {
        let Some(account) = self.entry.calls.get(&id).and_then(|it| it.account.clone()) else {
            return;
        };
        self.token_cache.remove_waiting(&account.name, id);
        self.token_cache.expire_request(step.now, &account.name);
        let Some(owner) = self.quota_owner(&account.name) else { return };
        self.links.record_timeout(&owner);
        match self.take_from_fallbacks(step.now, &account, &owner) {
            None => self.deny_token(step, id, DenialSource::Fallback),
            Some(source) => self.grant_token(step, id, source),
        }
    }

    /// Takes a token that `owner` has not granted: from this daemon's share of the rate or, if that is used up, from what
    /// the owner would probably grant.
    fn take_from_fallbacks(
        &mut self,
        now: TimePoint,
        account: &AccountPolicy,
        owner: &InstanceName,
    ) -> Option<TokenSource> {
        let n_daemons = self.links.contact(now).n_daemons;
        let granted_per_s = self.token_cache.granted_per_s(now, &account.name);
        if self.quotas.take_fallback(now, account, n_daemons, 1) == 0
            && !self.quotas.take_advance(now, account, n_daemons, granted_per_s)
        {
            return None;
        }
        self.token_cache.record_spent(&account.name, owner, 1);
        Some(TokenSource::Fallback(owner.clone()))
    }

    fn grant_token(&mut self, step: &mut ReducerStep<'_>, id: CallId, source: TokenSource) {
        if let Some(call) = self.entry.calls.get_mut(&id) {
            call.stage = CallStage::Deciding;
            call.token = Some(source);
            self.admit_call(step, id);
        }
    }

    fn deny_token(&mut self, step: &mut ReducerStep<'_>, id: CallId, source: DenialSource) {
        let Some(call) = self.entry.calls.get_mut(&id) else { return };
        call.stage = CallStage::Deciding;
        self.quota_denials.record(source);
        if self.log_limit.allows(step.now, LogPriority::Notable) {
            step.log(format!(
                "event=quota_denied request={} account={} decided_by={source}",
                call.request.request_id,
                call.account.as_ref().map_or("", |it| it.name.as_str()),
            ));
        }
        let wait =
            MAX_DENIED_RETRY_AFTER.min(call.route.target_latency.mul_f64(REFUSAL_RETRY_FRACTION));
        let retry_after = Some(self.jitter(wait));
        self.refuse(step, id, RefusalReason::OverQuota, retry_after);
    }

    /// Returns the token of a call that has not run to the quota owner that granted it. In a large fleet, the account's
    /// next request probably reaches another daemon, so that a token kept here would be lost to it. The token of a former
    /// owner is dropped, since the present one never counted it.
    pub(super) fn return_token(&mut self, step: &mut ReducerStep<'_>, call: &EntryCall) {
        let (Some(account), Some(source), false) = (&call.account, &call.token, call.may_have_run)
        else {
            return;
        };
        if let TokenSource::Owner(owner) = source {
            self.token_cache.withdraw_grant(&account.name);
            if let Some(absent) = self.links.absent_quota_owner(step.now, &account.name, owner) {
                self.token_cache.reduce_spent(&account.name, absent);
            }
        }
        match source {
            TokenSource::Fallback(owner) => self.token_cache.reduce_spent(&account.name, owner),
            TokenSource::Owner(owner)
                if self.quota_owner(&account.name).as_ref() != Some(owner) => {}
            TokenSource::Owner(owner) if *owner == self.options.member.instance => {
                self.quotas.put_back_as_owner(account, 1);
            }
            TokenSource::Owner(owner) => {
                let frame = PeerFrame::QuotaReturn { account: account.name.clone(), n_tokens: 1 };
                step.send(owner, frame, Bytes::new());
            }
        }
    }

    /// Takes back the tokens that another daemon returns to this one as the account's quota owner.
    pub(super) fn take_back_tokens(&mut self, name: &AccountName, n_tokens: u32) {
        let account = self.settings.as_ref().and_then(|it| it.account(name)).cloned();
        if let Some(account) = account.filter(|it| 0.0 < it.rate_per_s) {
            self.quotas.put_back_as_owner(&account, n_tokens);
        }
    }
}
