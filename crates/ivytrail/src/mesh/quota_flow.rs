//! Tokens of accounts: questions to their homes, and the answers.

use std::{cmp::Reverse, time::Duration};

use bytes::Bytes;

use super::{
    MeshReducer, Turn,
    entry::{COMEBACK_SHARE, CallStage, EntryCall},
    frame::PeerFrame,
    log_budget::LineWeight,
    policy::AccountPolicy,
    quota::TokenDecision,
};
use crate::{
    id::{AccountName, CallId, InstanceName},
    message::RefusalReason,
    time::TimePoint,
};

/// Longest wait for the answer of an account's home.
const QUOTA_PATIENCE: Duration = Duration::from_millis(100);
/// Longest wait that is asked for after the account's rate was spent.
const DENIED_RETRY_AFTER: Duration = Duration::from_millis(300);

impl MeshReducer {
    /// Gets a token for a call whose account has a rate, and takes the call to the gate. Only requests within their
    /// account's rate count as demand there.
    pub(super) fn check_quota(&mut self, turn: &mut Turn<'_>, id: CallId) {
        let Some(call) = self.entry.calls.get_mut(&id) else { return };
        let Some(account) = call.account.clone().filter(|it| 0.0 < it.rate_per_s) else {
            return self.pass_gate(turn, id);
        };
        match self.stash.acquire(turn.now, &account.name, id) {
            TokenDecision::Granted => self.grant(turn, id),
            TokenDecision::Denied => self.deny(turn, id, "entry"),
            TokenDecision::Pending { to_request } => {
                let until = turn.now.plus(QUOTA_PATIENCE);
                call.stage = CallStage::Quota { until };
                self.entry.timers.push(Reverse((until, id)));
                if let Some(wanted) = to_request {
                    self.ask_home(turn, &account, wanted);
                }
            }
        }
    }

    fn home(&self, account: &AccountName) -> Option<InstanceName> {
        let me = &self.options.member.instance;
        self.links.home_of(account, me).cloned()
    }

    /// Forgets the buckets of accounts whose home another daemon is, now that it can be reached.
    pub(super) fn keep_homes(&mut self) {
        let me = &self.options.member.instance;
        let links = &self.links;
        self.quotas.retain_owned(|account| links.home_of(account, me) == Some(me));
    }

    fn ask_home(&mut self, turn: &mut Turn<'_>, account: &AccountPolicy, wanted: u32) {
        match self.home(&account.name) {
            Some(home) if home != self.options.member.instance => {
                let frame = PeerFrame::QuotaAsk { account: account.name.clone(), wanted };
                turn.send(&home, frame, Bytes::new());
            }
            _ => {
                let granted = self.take_as_home(turn.now, account, wanted);
                self.receive_tokens(turn, &account.name, wanted, granted);
            }
        }
    }

    fn take_as_home(&mut self, now: TimePoint, account: &AccountPolicy, wanted: u32) -> u32 {
        let (n_daemons, n_unreachable) = self.links.n_daemons(now);
        self.quotas.take_as_owner(now, account, n_unreachable, n_daemons, wanted)
    }

    /// Answers a question as the account's home.
    pub(super) fn answer_quota(&mut self, now: TimePoint, name: &AccountName, wanted: u32) -> u32 {
        let account = self.settings.as_ref().and_then(|it| it.account(name)).cloned();
        match account.filter(|it| 0.0 < it.rate_per_s) {
            Some(account) => self.take_as_home(now, &account, wanted),
            // The asking daemon has checked the key; settings here may be older.
            None => wanted,
        }
    }

    /// Takes tokens from an account's home and hands them to the calls that wait.
    pub(super) fn receive_tokens(
        &mut self,
        turn: &mut Turn<'_>,
        account: &AccountName,
        wanted: u32,
        granted: u32,
    ) {
        let (served, denied, to_request) =
            self.stash.apply_grant(turn.now, account, wanted, granted);
        for id in served {
            self.grant(turn, id);
        }
        for id in denied {
            self.deny(turn, id, "home");
        }
        let policy = self.settings.as_ref().and_then(|it| it.account(account)).cloned();
        if let (Some(wanted), Some(policy)) = (to_request, policy) {
            self.ask_home(turn, &policy, wanted);
        }
    }

    /// Spends from this daemon's own part of the rate, since the home has not answered.
    pub(super) fn take_fallback(&mut self, turn: &mut Turn<'_>, id: CallId) {
        let Some(account) = self.entry.calls.get(&id).and_then(|it| it.account.clone()) else {
            return;
        };
        self.stash.remove_waiting(&account.name, id);
        self.stash.clear_pending_request(&account.name);
        if let Some(home) = self.home(&account.name) {
            self.links.note_unanswered(&home);
        }
        let (n_daemons, _) = self.links.n_daemons(turn.now);
        match self.quotas.take_fallback(turn.now, &account, n_daemons, 1) {
            0 => self.deny(turn, id, "fallback"),
            _ => self.grant(turn, id),
        }
    }

    fn grant(&mut self, turn: &mut Turn<'_>, id: CallId) {
        if let Some(call) = self.entry.calls.get_mut(&id) {
            call.stage = CallStage::Deciding;
            call.has_token = true;
            self.pass_gate(turn, id);
        }
    }

    fn deny(&mut self, turn: &mut Turn<'_>, id: CallId, decided_by: &str) {
        let Some(call) = self.entry.calls.get_mut(&id) else { return };
        call.stage = CallStage::Deciding;
        if self.log.allows(turn.now, LineWeight::Notable) {
            turn.log(format!(
                "event=quota_denied request={} account={} decided_by={decided_by}",
                call.order.request_id,
                call.account.as_ref().map_or("", |it| it.name.as_str()),
            ));
        }
        let wait = DENIED_RETRY_AFTER.min(call.route.target_latency.mul_f64(COMEBACK_SHARE));
        let retry_after = Some(self.jitter(wait));
        self.refuse(turn, id, RefusalReason::OverQuota, retry_after);
    }

    /// Keeps the token of a call that has not run for the next one, unless the account is over its rate: it would bring
    /// its surplus before the gate again and again, at the cost of the other accounts.
    pub(super) fn return_token(&mut self, now: TimePoint, call: &EntryCall) {
        if let Some(account) =
            call.account.as_ref().filter(|_| call.has_token && !call.may_have_run)
        {
            self.stash.return_token(now, &account.name);
        }
    }
}
