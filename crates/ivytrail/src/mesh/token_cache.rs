//! Quota tokens at one entry: those that are unused, the calls that wait for one, and what the entry owes.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::quota::RateEstimate;
use crate::{
    id::{AccountName, CallId, InstanceName},
    time::TimePoint,
};

/// Time for which an entry denies calls by itself after a request that was not granted in full.
const DENIAL_TIME: Duration = Duration::from_millis(40);
/// Time after which a request without a response is repeated. A quota owner that stood still receives all of them when it
/// goes on, and tokens that it grants then may be lost.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which an entry keeps an unused token.
const TOKEN_TTL: Duration = Duration::from_millis(500);

/// Decision on a call that needs a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenDecision {
    /// The call has a token.
    Granted,
    /// The account is over its rate.
    Denied,
    /// The call waits for the reply of the account's quota owner.
    Pending {
        /// Number of tokens to request from the owner now; `None` while a request is outstanding.
        to_request: Option<u32>,
    },
}

/// Cached tokens and waiting calls of one account at one entry.
#[derive(Debug, Default)]
struct AccountTokens {
    /// Expiry of each unused token.
    unused: VecDeque<TimePoint>,
    waiting: VecDeque<CallId>,
    has_pending_request: bool,
    requested_at: TimePoint,
    denied_until: TimePoint,
    /// Tokens spent without a grant of the quota owner, by the owner that did not respond.
    spent: HashMap<InstanceName, u32>,
    /// Tokens that quota owners have granted to this entry.
    granted: RateEstimate,
}

/// Cached tokens and waiting calls of all accounts at one entry.
#[derive(Debug, Default)]
pub struct TokenCache {
    accounts: HashMap<AccountName, AccountTokens>,
}

impl TokenCache {
    /// Takes a token for a call, denies it, or adds it to the waiting calls.
    pub fn acquire(
        &mut self,
        now: TimePoint,
        account: &AccountName,
        call: CallId,
    ) -> TokenDecision {
        let tokens = self.accounts.entry(account.clone()).or_default();
        while let Some(expires_at) = tokens.unused.pop_front() {
            if now < expires_at {
                return TokenDecision::Granted;
            }
        }
        if now < tokens.denied_until {
            return TokenDecision::Denied;
        }
        tokens.waiting.push_back(call);
        let to_request = (!tokens.has_pending_request).then_some(1);
        if to_request.is_some() {
            tokens.has_pending_request = true;
            tokens.requested_at = now;
        }
        TokenDecision::Pending { to_request }
    }

    /// Applies the reply to a request for `wanted` tokens, of which `granted` were granted. Returns the calls that get a
    /// token, the calls that are denied, and the number of tokens to request next.
    pub fn apply_grant(
        &mut self,
        now: TimePoint,
        account: &AccountName,
        wanted: u32,
        granted: u32,
    ) -> (Vec<CallId>, Vec<CallId>, Option<u32>) {
        let Some(tokens) = self.accounts.get_mut(account) else { return Default::default() };
        tokens.has_pending_request = false;
        tokens.granted.record(now, granted);
        let n_available = granted as usize;
        let n_served = n_available.min(tokens.waiting.len());
        let served = tokens.waiting.drain(..n_served).collect();
        // The tokens of calls that were removed in the meantime are kept for later calls.
        let n_unused = n_available - n_served;
        tokens.unused.extend(std::iter::repeat_n(now.plus(TOKEN_TTL), n_unused));
        if granted < wanted {
            tokens.denied_until = now.plus(DENIAL_TIME);
            return (served, tokens.waiting.drain(..).collect(), None);
        }
        let n_waiting = u32::try_from(tokens.waiting.len()).unwrap_or(u32::MAX);
        tokens.has_pending_request = 0 < n_waiting;
        tokens.requested_at = now;
        (served, Vec::new(), tokens.has_pending_request.then_some(n_waiting))
    }

    /// Records tokens that were spent without a grant of `owner`, which does not respond.
    pub fn record_spent(&mut self, account: &AccountName, owner: &InstanceName, n_tokens: u32) {
        let tokens = self.accounts.entry(account.clone()).or_default();
        let spent = tokens.spent.entry(owner.clone()).or_default();
        *spent = spent.saturating_add(n_tokens);
    }

    /// Records that a token counted by [`TokenCache::record_spent`] was not used.
    pub fn reduce_spent(&mut self, account: &AccountName, owner: &InstanceName) {
        let tokens = self.accounts.get_mut(account);
        if let Some(spent) = tokens.and_then(|it| it.spent.get_mut(owner)) {
            *spent = spent.saturating_sub(1);
        }
    }

    /// Takes the numbers of tokens that were spent without a grant of `owner`, by account.
    pub fn take_spent(&mut self, owner: &InstanceName) -> Vec<(AccountName, u32)> {
        let accounts = self.accounts.iter_mut().filter(|(_, tokens)| !tokens.spent.is_empty());
        accounts
            .filter_map(|(account, tokens)| {
                let n_tokens = tokens.spent.remove(owner)?;
                (0 < n_tokens).then(|| (account.clone(), n_tokens))
            })
            .collect()
    }

    /// Returns the number of tokens per second that quota owners have lately granted to this entry.
    pub fn granted_per_s(&self, now: TimePoint, account: &AccountName) -> f64 {
        self.accounts.get(account).map_or(0.0, |tokens| tokens.granted.per_s_at(now))
    }

    /// Records that a token of a quota owner was returned to it.
    pub fn withdraw_grant(&mut self, account: &AccountName) {
        if let Some(tokens) = self.accounts.get_mut(account) {
            tokens.granted.withdraw();
        }
    }

    /// Removes a call that no longer waits for a token.
    pub fn remove_waiting(&mut self, account: &AccountName, call: CallId) {
        if let Some(tokens) = self.accounts.get_mut(account) {
            tokens.waiting.retain(|it| *it != call);
        }
    }

    /// Returns the accounts with an outstanding request, or with calls that wait for a token.
    pub fn pending_accounts(&self) -> impl Iterator<Item = &AccountName> {
        let is_pending =
            |tokens: &AccountTokens| tokens.has_pending_request || !tokens.waiting.is_empty();
        self.accounts.iter().filter(move |(_, it)| is_pending(it)).map(|(account, _)| account)
    }

    /// Returns the call of an account that has waited longest.
    pub fn first_waiting(&self, account: &AccountName) -> Option<CallId> {
        self.accounts.get(account)?.waiting.front().copied()
    }

    /// Records a request for all waiting calls of an account, in place of an outstanding one. Returns the number of
    /// tokens to request, or `None` if no call is waiting.
    pub fn request_for_waiting(&mut self, now: TimePoint, account: &AccountName) -> Option<u32> {
        let tokens = self.accounts.get_mut(account)?;
        tokens.has_pending_request = !tokens.waiting.is_empty();
        tokens.requested_at = now;
        let n_waiting = u32::try_from(tokens.waiting.len()).unwrap_or(u32::MAX);
        tokens.has_pending_request.then_some(n_waiting)
    }

    /// Lets the next call of an account repeat a request that its quota owner has not responded to for
    /// [`REQUEST_INTERVAL`].
    pub fn expire_request(&mut self, now: TimePoint, account: &AccountName) {
        if let Some(tokens) = self.accounts.get_mut(account) {
            tokens.has_pending_request &= now.since(tokens.requested_at) < REQUEST_INTERVAL;
        }
    }
}

#[cfg(test)]
mod tests;
