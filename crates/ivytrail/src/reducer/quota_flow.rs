//! Quota: tokens for root requests at this entry, and the shares that this daemon mints.

use super::{DaemonReducer, Turn, control_flow::ControlPlane};
use crate::{
    id::{AccountName, CallId, MemberId},
    message::{ControlMessage, RefusalReason},
    quota::{MAX_SHARES, QuotaAsk, QuotaEffect, QuotaGrant, QuotaVerdict, share_digest},
    settings::index::SettingsInForce,
    time::TimePoint,
};

/// What decides which shares this daemon owns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ShareStanding {
    epoch: u64,
    holds_lease: bool,
    n_fenced: usize,
}

impl ControlPlane {
    /// Takes the accounts of newly installed settings; returns what becomes of the calls that waited for tokens.
    pub(super) fn install_accounts(
        &mut self,
        now: TimePoint,
        before: &SettingsInForce,
        after: &SettingsInForce,
    ) -> Vec<QuotaEffect> {
        let mut effects = Vec::new();
        for (name, _) in before.accounts().filter(|(name, _)| after.find_account(name).is_none()) {
            self.stash.remove_account(name, &mut effects);
            self.home.remove_account(name);
        }
        for (name, account) in after.accounts() {
            if before.find_account(name) != Some(account) {
                self.stash.set_account(now, name, account.rate_per_s, account.burst);
                self.home.set_account(now, name, account.rate_per_s, account.burst);
            }
        }
        self.shares_due = true;
        effects
    }

    /// Gains and loses shares as the control ring says.
    pub(super) fn review_shares(&mut self, now: TimePoint, settings: &SettingsInForce) {
        let ring = self.rings.control();
        let standing = ShareStanding {
            epoch: ring.definition().map_or(0, |it| it.epoch),
            holds_lease: ring.holds_lease(now),
            n_fenced: self.rings.n_fenced(ring),
        };
        if standing.holds_lease {
            self.home.renew(now, ring.lease_end());
        }
        let before = std::mem::replace(&mut self.standing, standing);
        if (before.epoch, before.holds_lease) != (standing.epoch, standing.holds_lease) {
            // A share that was owned under another epoch or lease starts empty.
            self.home.lose_all();
        } else if before == standing && !self.shares_due {
            return;
        }
        self.shares_due = false;
        for (account, _) in settings.accounts() {
            for share in 0..MAX_SHARES {
                if ring.owns(now, &share_digest(account, share)) {
                    self.home.gain(now, account, share);
                }
            }
        }
    }

    /// Hands over what the stash asks for. An ask without an owner fails at the next tick, not at once: the stash then
    /// asks for another share, and while no share has an owner that would go on without end.
    fn route_asks(&mut self, effects: Vec<QuotaEffect>) -> Vec<QuotaEffect> {
        let mut decided = Vec::new();
        for effect in effects {
            match effect {
                QuotaEffect::Ask { share, ask } => {
                    let digest = share_digest(&ask.account, share);
                    match self.rings.control().owner_of(&digest) {
                        Some(owner) => {
                            self.outbox.push_back((owner, ControlMessage::QuotaAsk(ask)));
                        }
                        None => self.lost_asks.push(ask),
                    }
                }
                decision => decided.push(decision),
            }
        }
        decided
    }
}

impl DaemonReducer {
    /// Asks for a token for a root request.
    pub(super) fn request_quota(
        &mut self,
        turn: &mut Turn,
        account: &AccountName,
        call: CallId,
    ) -> QuotaVerdict {
        let mut effects = Vec::new();
        let verdict = self.control.stash.request(turn.now, account, call, &mut effects);
        self.settle_quota(turn, effects);
        verdict
    }

    pub(super) fn receive_grant(&mut self, turn: &mut Turn, grant: &QuotaGrant) {
        let mut effects = Vec::new();
        self.control.stash.receive(turn.now, grant, &mut effects);
        self.settle_quota(turn, effects);
    }

    pub(super) fn receive_ask(&mut self, turn: &mut Turn, from: &MemberId, ask: &QuotaAsk) {
        let is_own = *from == self.identity.member;
        let ring = self.control.rings.control();
        let is_home = ring.holds_lease(turn.now) && self.control.home.owns(&ask.account, ask.share);
        if is_own && !is_home {
            // The ring says that the share is this daemon's, and its home will take it over at a tick.
            return self.control.lost_asks.push(ask.clone());
        }
        let lease_end = self.control.rings.control().lease_end();
        let grant = self.control.home.ask(turn.now, lease_end, ask);
        self.control.outbox.push_back((from.clone(), ControlMessage::QuotaGrant(grant)));
    }

    pub(super) fn tick_quota(&mut self, turn: &mut Turn) {
        self.control.review_shares(turn.now, &self.settings);
        for ask in std::mem::take(&mut self.control.lost_asks) {
            self.fail_ask(turn, &ask);
        }
        let mut effects = Vec::new();
        self.control.stash.tick(turn.now, &mut effects);
        self.settle_quota(turn, effects);
    }

    /// Notes that an ask did not reach the owner of its share.
    pub(super) fn fail_ask(&mut self, turn: &mut Turn, ask: &QuotaAsk) {
        let mut effects = Vec::new();
        self.control.stash.fail(turn.now, ask, &mut effects);
        self.settle_quota(turn, effects);
    }

    pub(super) fn settle_quota(&mut self, turn: &mut Turn, effects: Vec<QuotaEffect>) {
        for decision in self.control.route_asks(effects) {
            match decision {
                QuotaEffect::Admit { call } => self.quota_granted(turn, call),
                QuotaEffect::Refuse { call, retry_after } => {
                    self.refuse_call(turn, call, RefusalReason::OverQuota, Some(retry_after));
                }
                QuotaEffect::Ask { .. } => unreachable!("asks are routed before"),
            }
        }
    }
}
