//! Quota tokens at one entry: those that are unused, the calls that wait for one, and what the entry owes.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    id::{AccountName, CallId},
    time::TimePoint,
};

/// Time for which an entry denies calls by itself after a request that was not granted in full.
const DENIAL_TIME: Duration = Duration::from_millis(40);
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
    denied_until: TimePoint,
    /// Tokens spent from the fallback bucket that the owner has not granted yet.
    debt: u32,
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
        tokens.has_pending_request = true;
        TokenDecision::Pending { to_request }
    }

    /// Applies the reply to a request for `wanted` tokens, of which `granted` were granted. Tokens that were spent while the
    /// owner did not respond are repaid first. Returns the calls that get a token, the calls that are denied, and the
    /// number of tokens to request next.
    pub fn apply_grant(
        &mut self,
        now: TimePoint,
        account: &AccountName,
        wanted: u32,
        granted: u32,
    ) -> (Vec<CallId>, Vec<CallId>, Option<u32>) {
        let Some(tokens) = self.accounts.get_mut(account) else { return Default::default() };
        tokens.has_pending_request = false;
        let repaid = tokens.debt.min(granted);
        tokens.debt -= repaid;
        let n_available = (granted - repaid) as usize;
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
        let n_needed = n_waiting.saturating_add(tokens.debt);
        tokens.has_pending_request = 0 < n_needed;
        (served, Vec::new(), tokens.has_pending_request.then_some(n_needed))
    }

    /// Records a token that was spent from the fallback bucket.
    pub fn record_debt(&mut self, account: &AccountName) {
        let tokens = self.accounts.entry(account.clone()).or_default();
        tokens.debt = tokens.debt.saturating_add(1);
    }

    /// Records that a token from the fallback bucket was not used.
    pub fn reduce_debt(&mut self, account: &AccountName) {
        if let Some(tokens) = self.accounts.get_mut(account) {
            tokens.debt = tokens.debt.saturating_sub(1);
        }
    }

    /// Cancels the debts to a quota owner that is out of contact: it does not earn this daemon's share of the rate for
    /// that time.
    pub fn cancel_debts<F>(&mut self, is_owner: F)
    where
        F: Fn(&AccountName) -> bool,
    {
        let debtors = self.accounts.iter_mut().filter(|(_, tokens)| 0 < tokens.debt);
        debtors.filter(|(account, _)| is_owner(account)).for_each(|(_, tokens)| tokens.debt = 0);
    }

    /// Removes a call that no longer waits for a token.
    pub fn remove_waiting(&mut self, account: &AccountName, call: CallId) {
        if let Some(tokens) = self.accounts.get_mut(account) {
            tokens.waiting.retain(|it| *it != call);
        }
    }

    /// Clears the outstanding request of an account whose quota owner has not replied, so that the next call sends a new
    /// one.
    pub fn clear_pending_request(&mut self, account: &AccountName) {
        if let Some(tokens) = self.accounts.get_mut(account) {
            tokens.has_pending_request = false;
        }
    }
}

#[cfg(test)]
mod tests;
