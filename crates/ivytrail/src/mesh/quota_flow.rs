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
    /// It was taken from this daemon's share of the rate.
    Fallback,
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

    /// Cancels what this daemon owes to a quota owner whose link ends.
    pub(super) fn cancel_debts_to(&mut self, peer: &InstanceName) {
        let me = &self.options.member.instance;
        let links = &self.links;
        self.token_cache.cancel_debts(|account| links.quota_owner(account, me) == Some(peer));
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
        self.token_cache.clear_pending_request(&account.name);
        if let Some(owner) = self.quota_owner(&account.name) {
            self.links.record_timeout(&owner);
        }
        let n_daemons = self.links.contact(step.now).n_daemons;
        match self.quotas.take_fallback(step.now, &account, n_daemons, 1) {
            0 => self.deny_token(step, id, DenialSource::Fallback),
            _ => {
                self.token_cache.record_debt(&account.name);
                self.grant_token(step, id, TokenSource::Fallback);
            }
        }
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
        match source {
            TokenSource::Fallback => self.token_cache.reduce_debt(&account.name),
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
