//! Rate and burst limits of client accounts, enforced over all daemons.
//!
//! Each account has one quota owner: the live daemon with the greatest rendezvous weight for the account's name. The
//! owner keeps the account's token bucket. An entry requests as many tokens as it has calls waiting, with at most one
//! outstanding request per account. When a request is not granted in full, the entry denies calls by itself for a short
//! time, so that an account far over its rate does not overload its owner. While an entry cannot reach the owner, it
//! spends from a local fallback bucket that holds one daemon's share of the rate. The owner reserves that share for each
//! daemon that it cannot reach, so that the sum stays within the rate.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    id::{AccountName, CallId, ContentDigest, InstanceName, rendezvous_weight},
    mesh::policy::AccountPolicy,
    time::TimePoint,
};

/// Share of the burst that a new owner's bucket starts with, since the tokens granted by an earlier owner are unknown.
const INITIAL_BURST_SHARE: f64 = 0.2;
/// Time for which an entry denies calls by itself after a request that was not granted in full.
const DENIAL_TIME: Duration = Duration::from_millis(40);
/// Time constant of the moving average of the requested tokens, in seconds.
const REQUEST_RATE_WINDOW_S: f64 = 3.0;
/// Time for which an entry keeps an unused token.
const TOKEN_TTL: Duration = Duration::from_millis(500);

/// Token bucket of one account.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    filled_at: TimePoint,
    /// Moving average of the tokens requested per second.
    requested_per_s: f64,
}

impl TokenBucket {
    fn new(now: TimePoint, tokens: f64) -> TokenBucket {
        TokenBucket { tokens, filled_at: now, requested_per_s: 0.0 }
    }

    /// Takes up to `wanted` tokens and returns how many were available.
    fn take(&mut self, now: TimePoint, rate_per_s: f64, burst: f64, wanted: u32) -> u32 {
        let elapsed_s = now.since(self.filled_at).as_secs_f64();
        let earned = elapsed_s * rate_per_s;
        self.filled_at = now;
        self.requested_per_s *= (-elapsed_s / REQUEST_RATE_WINDOW_S).exp();
        self.requested_per_s += f64::from(wanted) / REQUEST_RATE_WINDOW_S;
        self.tokens = (self.tokens + earned).min(burst.max(1.0));
        let taken = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Puts back tokens of requests that have not run, reduced to the share of the requests that is within the rate and
    /// the burst.
    fn put_back(&mut self, rate_per_s: f64, burst: f64, n_tokens: u32) {
        let allowed_per_s = rate_per_s + burst / REQUEST_RATE_WINDOW_S;
        let share = (allowed_per_s / self.requested_per_s.max(f64::MIN_POSITIVE)).min(1.0);
        self.tokens = (self.tokens + f64::from(n_tokens) * share).min(burst.max(1.0));
    }
}

/// Token buckets of one daemon: those of the accounts that it owns, and the fallback buckets of others.
#[derive(Clone, Debug, Default)]
pub struct QuotaBuckets {
    owned: HashMap<AccountName, TokenBucket>,
    fallbacks: HashMap<AccountName, TokenBucket>,
    n_granted_as_owner: u64,
    n_granted_as_fallback: u64,
}

impl QuotaBuckets {
    /// Grants up to `wanted` tokens as the account's quota owner. Of `n_daemons`, `n_unreachable` cannot request tokens
    /// and spend their own share of the rate.
    pub fn take_as_owner(
        &mut self,
        now: TimePoint,
        account: &AccountPolicy,
        n_unreachable: usize,
        n_daemons: usize,
        wanted: u32,
    ) -> u32 {
        let bucket = self
            .owned
            .entry(account.name.clone())
            .or_insert_with(|| TokenBucket::new(now, account.burst * INITIAL_BURST_SHARE));
        let reachable = 1.0 - n_unreachable as f64 / n_daemons.max(1) as f64;
        let granted =
            bucket.take(now, account.rate_per_s * reachable, account.burst * reachable, wanted);
        self.n_granted_as_owner += u64::from(granted);
        granted
    }

    /// Takes back tokens as the account's quota owner, for requests that have not run.
    ///
    /// The further an account is over its rate, the fewer of them are put back: its excess requests would otherwise reach
    /// admission control repeatedly, at the expense of other accounts.
    pub fn put_back_as_owner(&mut self, account: &AccountPolicy, n_tokens: u32) {
        if let Some(bucket) = self.owned.get_mut(&account.name) {
            bucket.put_back(account.rate_per_s, account.burst, n_tokens);
        }
    }

    /// Removes the buckets of accounts that this daemon no longer owns. If it becomes their owner again, it cannot know
    /// how many tokens were spent in between.
    pub fn retain_owned<F>(&mut self, is_owner: F)
    where
        F: Fn(&AccountName) -> bool,
    {
        self.owned.retain(|account, _| is_owner(account));
    }

    /// Grants up to `wanted` tokens from this daemon's share of the rate, while the quota owner is unreachable.
    pub fn take_fallback(
        &mut self,
        now: TimePoint,
        account: &AccountPolicy,
        n_daemons: usize,
        wanted: u32,
    ) -> u32 {
        let share = 1.0 / n_daemons.max(1) as f64;
        let bucket = self
            .fallbacks
            .entry(account.name.clone())
            .or_insert_with(|| TokenBucket::new(now, 1.0));
        let granted = bucket.take(now, account.rate_per_s * share, account.burst * share, wanted);
        self.n_granted_as_fallback += u64::from(granted);
        granted
    }

    /// Returns the number of tokens granted, by the name of the bucket that they came from.
    pub fn n_granted(&self) -> [(&'static str, u64); 2] {
        [("owner", self.n_granted_as_owner), ("fallback", self.n_granted_as_fallback)]
    }
}

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
        let n_served = (granted as usize).min(tokens.waiting.len());
        let served = tokens.waiting.drain(..n_served).collect();
        // The tokens of calls that were removed in the meantime are kept for later calls.
        let n_unused = granted as usize - n_served;
        tokens.unused.extend(std::iter::repeat_n(now.plus(TOKEN_TTL), n_unused));
        if granted < wanted {
            tokens.denied_until = now.plus(DENIAL_TIME);
            return (served, tokens.waiting.drain(..).collect(), None);
        }
        let n_waiting = u32::try_from(tokens.waiting.len()).unwrap_or(u32::MAX);
        tokens.has_pending_request = 0 < n_waiting;
        (served, Vec::new(), tokens.has_pending_request.then_some(n_waiting))
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

/// Returns the quota owner of an account among `members`.
pub fn quota_owner<'m, M>(account: &AccountName, members: M) -> Option<&'m InstanceName>
where
    M: IntoIterator<Item = &'m InstanceName>,
{
    let digest = ContentDigest::of_parts(&[account.as_str().as_bytes()]);
    members.into_iter().max_by_key(|member| (rendezvous_weight(member, &digest), *member))
}

#[cfg(test)]
mod tests;
