//! The token cache of an entry.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    account::AccountTokens,
    message::{QuotaEffect, QuotaGrant, QuotaRequest, QuotaVerdict},
    plan::{QuotaOptions, QuotaPlan},
};
use crate::{
    id::{AccountName, CallId},
    time::TimePoint,
};

/// Retry delay suggested to callers of an account without a quota.
pub(crate) const NO_QUOTA_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Tokens and waiting calls of all accounts at an entry.
///
/// A call is granted immediately if a token is cached. Otherwise it waits for the response of a quota owner, but no
/// longer than the plan's [`max_wait`](QuotaPlan::max_wait).
#[derive(Debug)]
pub struct TokenCache {
    options: QuotaOptions,
    rng: StdRng,
    /// Serial number of the last request. Its random initial value prevents a grant for an earlier run of the daemon
    /// from matching a request of this run.
    serial: u64,
    accounts: BTreeMap<AccountName, AccountTokens>,
    /// Accounts with tokens, waiting calls or pending requests.
    active: BTreeSet<AccountName>,
    waiting: BTreeMap<CallId, AccountName>,
}

impl TokenCache {
    /// Returns a cache without accounts. `seed` must differ between the runs of a daemon.
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

    /// Sets the rate, in requests per second, and the burst, in requests, of an account.
    pub fn set_account(
        &mut self,
        now: TimePoint,
        account: &AccountName,
        rate_per_s: f64,
        burst: f64,
    ) {
        let plan = QuotaPlan::new(rate_per_s, burst, &self.options);
        let entry = self.accounts.entry(account.clone());
        entry.or_insert_with(|| AccountTokens::new(account.clone())).set_plan(
            now,
            plan,
            &mut self.rng,
        );
    }

    /// Removes an account and refuses its waiting calls.
    pub fn remove_account(&mut self, account: &AccountName, out: &mut Vec<QuotaEffect>) {
        self.accounts.remove(account);
        self.active.remove(account);
        let (refused, waiting) =
            std::mem::take(&mut self.waiting).into_iter().partition(|(_, it)| it == account);
        self.waiting = waiting;
        let refused: BTreeMap<CallId, AccountName> = refused;
        let refusals = refused
            .into_keys()
            .map(|call| QuotaEffect::Refuse { call, retry_after: NO_QUOTA_RETRY_DELAY });
        out.extend(refusals);
    }

    /// Spends a token of `account` on `call`, queues the call until a token is available, or refuses it.
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
            return QuotaVerdict::Refused { retry_after: NO_QUOTA_RETRY_DELAY };
        };
        let n_before = out.len();
        let verdict = entry.acquire(now, call, &mut self.serial, out);
        if verdict == QuotaVerdict::Waiting {
            self.waiting.insert(call, account.clone());
        }
        self.update_indexes(account, &out[n_before..]);
        verdict
    }

    /// Applies the grant of a quota owner.
    pub fn apply_grant(&mut self, now: TimePoint, grant: &QuotaGrant, out: &mut Vec<QuotaEffect>) {
        let Some(entry) = self.accounts.get_mut(&grant.account) else { return };
        let n_before = out.len();
        entry.apply_grant(now, grant, &self.options, &mut self.serial, out);
        self.update_indexes(&grant.account, &out[n_before..]);
    }

    /// Handles a request that could not be delivered, so that waiting calls need not wait for its timeout.
    pub fn handle_failed_request(
        &mut self,
        now: TimePoint,
        request: &QuotaRequest,
        out: &mut Vec<QuotaEffect>,
    ) {
        let Some(entry) = self.accounts.get_mut(&request.account) else { return };
        let n_before = out.len();
        entry.handle_failed_request(now, request, &self.options, &mut self.serial, out);
        self.update_indexes(&request.account, &out[n_before..]);
    }

    /// Returns the token of a call that was refused and has not run, so that the next call of its account can use it.
    pub fn return_token(&mut self, now: TimePoint, account: &AccountName, call: CallId) {
        if let Some(entry) = self.accounts.get_mut(account) {
            entry.return_token(now, call);
            self.active.insert(account.clone());
        }
    }

    /// Removes a waiting call whose caller has disconnected.
    pub fn remove_waiting(&mut self, call: CallId) {
        let account = self.waiting.remove(&call);
        if let Some(entry) = account.and_then(|it| self.accounts.get_mut(&it)) {
            entry.remove_waiting(call);
        }
    }

    /// Performs the due work: admits calls whose reserved tokens have become usable, refuses calls that have waited too
    /// long, and replaces requests that were not answered. Should be called at [`TokenCache::next_due`].
    pub fn tick(&mut self, now: TimePoint, out: &mut Vec<QuotaEffect>) {
        for account in self.active.clone() {
            let Some(entry) = self.accounts.get_mut(&account) else { continue };
            let n_before = out.len();
            entry.tick(now, &self.options, &mut self.serial, out);
            self.update_indexes(&account, &out[n_before..]);
        }
    }

    /// Returns the time at which [`TokenCache::tick`] has work to do.
    pub fn next_due(&self) -> Option<TimePoint> {
        let active = self.active.iter().filter_map(|it| self.accounts.get(it));
        active.filter_map(|it| it.next_due(&self.options)).min()
    }

    /// Returns the number of tokens of `account` that expired unused.
    pub fn n_expired(&self, account: &AccountName) -> u64 {
        self.accounts.get(account).map_or(0, AccountTokens::n_expired)
    }

    /// Updates the indexes of waiting calls and active accounts after a change of an account.
    fn update_indexes(&mut self, account: &AccountName, effects: &[QuotaEffect]) {
        for effect in effects {
            match effect {
                QuotaEffect::Admit { call } | QuotaEffect::Refuse { call, .. } => {
                    self.waiting.remove(call);
                }
                QuotaEffect::SendRequest { .. } => {}
            }
        }
        let is_idle = self.accounts.get(account).is_none_or(AccountTokens::is_idle);
        if is_idle {
            self.active.remove(account);
        } else if !self.active.contains(account) {
            self.active.insert(account.clone());
        }
    }
}
