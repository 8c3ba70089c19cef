//! The stash of an entry: tokens of all accounts.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    account::StashAccount,
    message::{QuotaEffect, QuotaGrant, QuotaRequest, QuotaVerdict},
    plan::{QuotaOptions, QuotaPlan},
};
use crate::{
    id::{AccountName, CallId},
    time::TimePoint,
};

/// Time after which a caller of an account without any quota may come again.
pub(crate) const NO_QUOTA_RETRY: Duration = Duration::from_secs(1);

/// Tokens and waiting requests of all accounts at one entry.
///
/// A request is granted at once while tokens are at hand. Otherwise it waits, for no longer than the plan's
/// [`max_wait`](QuotaPlan::max_wait), until the homes have answered.
#[derive(Debug)]
pub struct TokenCache {
    options: QuotaOptions,
    rng: StdRng,
    /// Number of the last ask. It starts at random, so that a grant meant for an earlier run fits no ask of this one.
    serial: u64,
    accounts: BTreeMap<AccountName, StashAccount>,
    /// Accounts with tokens, waiting requests or open asks.
    active: BTreeSet<AccountName>,
    waiting: BTreeMap<CallId, AccountName>,
}

impl TokenCache {
    /// Returns a stash without accounts. `seed` must differ between the runs of a daemon.
    pub fn new(options: QuotaOptions, seed: u64) -> TokenCache {
        let mut rng = StdRng::seed_from_u64(seed);
        let serial = rng.random();
        let accounts = BTreeMap::new();
        TokenCache {
            options,
            rng,
            serial,
            accounts,
            active: BTreeSet::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Sets rate and burst of an account.
    pub fn set_account(
        &mut self,
        now: TimePoint,
        account: &AccountName,
        rate_per_s: f64,
        burst: f64,
    ) {
        let plan = QuotaPlan::new(rate_per_s, burst, &self.options);
        let entry = self.accounts.entry(account.clone());
        entry.or_insert_with(|| StashAccount::new(account.clone())).set_plan(
            now,
            plan,
            &mut self.rng,
        );
    }

    /// Forgets an account and refuses its waiting requests.
    pub fn remove_account(&mut self, account: &AccountName, out: &mut Vec<QuotaEffect>) {
        self.accounts.remove(account);
        self.active.remove(account);
        let (refused, waiting) =
            std::mem::take(&mut self.waiting).into_iter().partition(|(_, it)| it == account);
        self.waiting = waiting;
        let refused: BTreeMap<CallId, AccountName> = refused;
        let refusals = refused
            .into_keys()
            .map(|call| QuotaEffect::Refuse { call, retry_after: NO_QUOTA_RETRY });
        out.extend(refusals);
    }

    /// Spends a token of `account` on `call`, or lets it wait for one, or refuses it.
    ///
    /// Effects for this and other calls are appended to `out`.
    pub fn acquire(
        &mut self,
        now: TimePoint,
        account: &AccountName,
        call: CallId,
        out: &mut Vec<QuotaEffect>,
    ) -> QuotaVerdict {
        let Some(entry) = self.accounts.get_mut(account) else {
            return QuotaVerdict::Refused { retry_after: NO_QUOTA_RETRY };
        };
        let n_before = out.len();
        let verdict = entry.acquire(now, call, &mut self.serial, out);
        if verdict == QuotaVerdict::Waiting {
            self.waiting.insert(call, account.clone());
        }
        self.note_effects(account, &out[n_before..]);
        verdict
    }

    /// Takes a home's answer.
    pub fn apply_grant(&mut self, now: TimePoint, grant: &QuotaGrant, out: &mut Vec<QuotaEffect>) {
        let Some(entry) = self.accounts.get_mut(&grant.account) else { return };
        let n_before = out.len();
        entry.apply_grant(now, grant, &self.options, &mut self.serial, out);
        self.note_effects(&grant.account, &out[n_before..]);
    }

    /// Notes that `ask` could not be delivered, so that waiting requests need not wait for its timeout.
    pub fn handle_failed_request(
        &mut self,
        now: TimePoint,
        ask: &QuotaRequest,
        out: &mut Vec<QuotaEffect>,
    ) {
        let Some(entry) = self.accounts.get_mut(&ask.account) else { return };
        let n_before = out.len();
        entry.handle_failed_request(now, ask, &self.options, &mut self.serial, out);
        self.note_effects(&ask.account, &out[n_before..]);
    }

    /// Takes back the token of a call that was refused and has not run, for the next request of its account.
    pub fn return_token(&mut self, now: TimePoint, account: &AccountName, call: CallId) {
        if let Some(entry) = self.accounts.get_mut(account) {
            entry.return_token(now, call);
            self.active.insert(account.clone());
        }
    }

    /// Forgets a waiting call whose caller has gone.
    pub fn remove_waiting(&mut self, call: CallId) {
        let account = self.waiting.remove(&call);
        if let Some(entry) = account.and_then(|it| self.accounts.get_mut(&it)) {
            entry.remove_waiting(call);
        }
    }

    /// Does what is due: admits calls whose token's moment has come, refuses those that have waited too long, asks
    /// again where an answer did not come. It should be called at [`TokenCache::next_due`].
    pub fn tick(&mut self, now: TimePoint, out: &mut Vec<QuotaEffect>) {
        for account in self.active.clone() {
            let Some(entry) = self.accounts.get_mut(&account) else { continue };
            let n_before = out.len();
            entry.tick(now, &self.options, &mut self.serial, out);
            self.note_effects(&account, &out[n_before..]);
        }
    }

    /// Returns when [`TokenCache::tick`] has something to do.
    pub fn next_due(&self) -> Option<TimePoint> {
        let active = self.active.iter().filter_map(|it| self.accounts.get(it));
        active.filter_map(|it| it.next_due(&self.options)).min()
    }

    /// Returns the number of tokens of `account` that became void unused.
    pub fn n_expired(&self, account: &AccountName) -> u64 {
        self.accounts.get(account).map_or(0, StashAccount::n_expired)
    }

    /// Keeps the lists of waiting calls and active accounts in step with an account.
    fn note_effects(&mut self, account: &AccountName, effects: &[QuotaEffect]) {
        for effect in effects {
            match effect {
                QuotaEffect::Admit { call } | QuotaEffect::Refuse { call, .. } => {
                    self.waiting.remove(call);
                }
                QuotaEffect::SendRequest { .. } => {}
            }
        }
        let is_idle = self.accounts.get(account).is_none_or(StashAccount::is_idle);
        if is_idle {
            self.active.remove(account);
        } else if !self.active.contains(account) {
            self.active.insert(account.clone());
        }
    }
}
