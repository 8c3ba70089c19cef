//! Quota tokens for root requests at this entry, and the shares for which this daemon issues tokens.

use super::{DaemonReducer, ReducerStep, control_flow::ControlPlane};
use crate::{
    id::{AccountName, CallId, MemberId},
    message::{ControlMessage, RefusalReason},
    quota::{MAX_SHARES, QuotaEffect, QuotaGrant, QuotaRequest, QuotaVerdict, share_digest},
    settings::index::SettingsInForce,
    time::TimePoint,
};

/// Ring and lease state that determines which shares this daemon owns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ShareStatus {
    epoch: u64,
    holds_lease: bool,
    n_fenced: usize,
}

impl ControlPlane {
    /// Applies the accounts of newly installed settings; returns the decisions for calls that were waiting for tokens.
    pub(super) fn install_accounts(
        &mut self,
        now: TimePoint,
        before: &SettingsInForce,
        after: &SettingsInForce,
    ) -> Vec<QuotaEffect> {
        let mut effects = Vec::new();
        for (name, _) in before.accounts().filter(|(name, _)| after.find_account(name).is_none()) {
            self.token_cache.remove_account(name, &mut effects);
            self.quota_owner.remove_account(name);
        }
        for (name, account) in after.accounts() {
            if before.find_account(name) != Some(account) {
                self.token_cache.set_account(now, name, account.rate_per_s, account.burst);
                self.quota_owner.set_account(now, name, account.rate_per_s, account.burst);
            }
        }
        self.share_review_due = true;
        effects
    }

    /// Acquires and drops shares according to the control ring.
    pub(super) fn update_shares(&mut self, now: TimePoint, settings: &SettingsInForce) {
        let ring = self.rings.control();
        let share_status = ShareStatus {
            epoch: ring.definition().map_or(0, |it| it.epoch),
            holds_lease: ring.holds_lease(now),
            n_fenced: self.rings.n_fenced(ring),
        };
        if share_status.holds_lease {
            self.quota_owner.renew(now, ring.lease_end());
        }
        let before = std::mem::replace(&mut self.share_status, share_status);
        if (before.epoch, before.holds_lease) != (share_status.epoch, share_status.holds_lease) {
            // A share owned under a previous epoch or lease must not retain its tokens.
            self.quota_owner.release_all_shares();
        } else if before == share_status && !self.share_review_due {
            return;
        }
        self.share_review_due = false;
        for (account, _) in settings.accounts() {
            for share in 0..MAX_SHARES {
                if ring.owns(now, &share_digest(account, share)) {
                    self.quota_owner.acquire_share(now, account, share);
                }
            }
        }
    }

    /// Sends token requests to the owners of their shares and returns the remaining effects. A request without an owner
    /// fails on the next tick rather than immediately: the token cache then requests another share, which would loop
    /// forever while no share has an owner.
    fn route_requests(&mut self, effects: Vec<QuotaEffect>) -> Vec<QuotaEffect> {
        let mut remaining = Vec::new();
        for effect in effects {
            match effect {
                QuotaEffect::SendRequest { share, request } => {
                    let digest = share_digest(&request.account, share);
                    match self.rings.control().owner_of(&digest) {
                        Some(owner) => {
                            self.outbox.push_back((owner, ControlMessage::QuotaAsk(request)));
                        }
                        None => self.unrouted_requests.push(request),
                    }
                }
                other => remaining.push(other),
            }
        }
        remaining
    }
}

impl DaemonReducer {
    /// Requests a quota token for a root request.
    pub(super) fn request_quota(
        &mut self,
        step: &mut ReducerStep,
        account: &AccountName,
        call: CallId,
    ) -> QuotaVerdict {
        let mut effects = Vec::new();
        let verdict = self.control.token_cache.acquire(step.now, account, call, &mut effects);
        self.apply_quota_effects(step, effects);
        verdict
    }

    pub(super) fn handle_quota_grant(&mut self, step: &mut ReducerStep, grant: &QuotaGrant) {
        let mut effects = Vec::new();
        self.control.token_cache.apply_grant(step.now, grant, &mut effects);
        self.apply_quota_effects(step, effects);
    }

    pub(super) fn handle_quota_request(
        &mut self,
        step: &mut ReducerStep,
        from: &MemberId,
        request: &QuotaRequest,
    ) {
        let is_local = *from == self.identity.member;
        let ring = self.control.rings.control();
        let is_quota_owner = ring.holds_lease(step.now)
            && self.control.quota_owner.owns(&request.account, request.share);
        if is_local && !is_quota_owner {
            // The ring assigns the share to this daemon, but the quota owner acquires it only on a later tick.
            return self.control.unrouted_requests.push(request.clone());
        }
        let lease_end = self.control.rings.control().lease_end();
        let grant = self.control.quota_owner.grant_tokens(step.now, lease_end, request);
        self.control.outbox.push_back((from.clone(), ControlMessage::QuotaGrant(grant)));
    }

    pub(super) fn tick_quota(&mut self, step: &mut ReducerStep) {
        self.control.update_shares(step.now, &self.settings);
        for request in std::mem::take(&mut self.control.unrouted_requests) {
            self.handle_quota_request_failure(step, &request);
        }
        let mut effects = Vec::new();
        self.control.token_cache.tick(step.now, &mut effects);
        self.apply_quota_effects(step, effects);
    }

    /// Handles a token request that did not reach the owner of its share.
    pub(super) fn handle_quota_request_failure(
        &mut self,
        step: &mut ReducerStep,
        request: &QuotaRequest,
    ) {
        let mut effects = Vec::new();
        self.control.token_cache.handle_failed_request(step.now, request, &mut effects);
        self.apply_quota_effects(step, effects);
    }

    pub(super) fn apply_quota_effects(
        &mut self,
        step: &mut ReducerStep,
        effects: Vec<QuotaEffect>,
    ) {
        for effect in self.control.route_requests(effects) {
            match effect {
                QuotaEffect::Admit { call } => self.resume_call(step, call),
                QuotaEffect::Refuse { call, retry_after } => {
                    self.refuse_call(step, call, RefusalReason::OverQuota, Some(retry_after));
                }
                QuotaEffect::SendRequest { .. } => {
                    unreachable!("route_requests consumes all token requests")
                }
            }
        }
    }
}
