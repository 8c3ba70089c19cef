//! Rate and burst of client accounts, counted over all daemons.
//!
//! Each account has one home, the live daemon with the greatest rendezvous weight for the account's name. The home keeps
//! the account's token bucket. An entry asks it for as many tokens as it has requests waiting, with one question at a
//! time for each account; after a question that was not met in full it refuses by itself for a moment, so that an account
//! far over its rate doesn't keep its home busy. While an entry can't reach the home it spends from a bucket of its own
//! that holds one daemon's part of the rate; the home sets that part aside for each daemon that it can't reach, so that
//! the sum stays within the rate.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    id::{AccountName, CallId, ContentDigest, InstanceName, rendezvous_weight},
    mesh::policy::AccountPolicy,
    time::TimePoint,
};

/// Part of the burst with which a home's bucket starts. What an earlier home has granted is not known.
const STARTING_SHARE: f64 = 0.2;
/// Time for which an entry refuses by itself after a question that was not met in full.
const DENIAL_TIME: Duration = Duration::from_millis(40);
/// Time after a denial for which an account counts as over its rate.
const OVER_RATE_TIME: Duration = Duration::from_millis(500);
/// Time for which an entry keeps a token that came back from a request that has not run.
const TOKEN_LIFE: Duration = Duration::from_millis(500);

/// A token bucket.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    filled_at: TimePoint,
}

impl TokenBucket {
    /// Takes up to `wanted` tokens and returns how many there were.
    fn take(&mut self, now: TimePoint, rate_per_s: f64, burst: f64, wanted: u32) -> u32 {
        let earned = now.since(self.filled_at).as_secs_f64() * rate_per_s;
        self.filled_at = now;
        self.tokens = (self.tokens + earned).min(burst.max(1.0));
        let taken = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(taken);
        taken
    }
}

/// The buckets that one daemon keeps.
#[derive(Clone, Debug, Default)]
pub struct QuotaBuckets {
    homes: HashMap<AccountName, TokenBucket>,
    fallbacks: HashMap<AccountName, TokenBucket>,
}

impl QuotaBuckets {
    /// Grants up to `wanted` tokens as the account's home. `n_unreachable` of `n_daemons` can't ask now and spend their
    /// own part.
    pub fn take_as_owner(
        &mut self,
        now: TimePoint,
        account: &AccountPolicy,
        n_unreachable: usize,
        n_daemons: usize,
        wanted: u32,
    ) -> u32 {
        let bucket = self
            .homes
            .entry(account.name.clone())
            .or_insert(TokenBucket { tokens: account.burst * STARTING_SHARE, filled_at: now });
        let reachable = 1.0 - n_unreachable as f64 / n_daemons.max(1) as f64;
        bucket.take(now, account.rate_per_s * reachable, account.burst * reachable, wanted)
    }

    /// Forgets the buckets of accounts that this daemon is not the home of any more. Where it becomes the home again, it
    /// can't tell what was spent meanwhile.
    pub fn retain_owned<F>(&mut self, is_home: F)
    where
        F: Fn(&AccountName) -> bool,
    {
        self.homes.retain(|account, _| is_home(account));
    }

    /// Grants up to `wanted` tokens while the home can't be asked.
    pub fn take_fallback(
        &mut self,
        now: TimePoint,
        account: &AccountPolicy,
        n_daemons: usize,
        wanted: u32,
    ) -> u32 {
        let part = 1.0 / n_daemons.max(1) as f64;
        let bucket = self
            .fallbacks
            .entry(account.name.clone())
            .or_insert(TokenBucket { tokens: 1.0, filled_at: now });
        bucket.take(now, account.rate_per_s * part, account.burst * part, wanted)
    }
}

/// What becomes of a request that needs a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenDecision {
    /// It has one.
    Granted,
    /// The account has spent its rate.
    Denied,
    /// It waits for the answer of the account's home.
    Pending {
        /// Whether the home has to be asked now, for this many tokens.
        to_request: Option<u32>,
    },
}

/// One account's tokens at one entry.
#[derive(Debug, Default)]
struct AccountStash {
    /// Tokens that came back, each with the time at which it lapses.
    returned: VecDeque<TimePoint>,
    waiting: VecDeque<CallId>,
    is_asked: bool,
    denied_until: TimePoint,
}

/// Tokens of all accounts at one entry.
#[derive(Debug, Default)]
pub struct TokenCache {
    accounts: HashMap<AccountName, AccountStash>,
}

impl TokenCache {
    /// Takes a token for a call, or lets the call wait for one.
    pub fn acquire(
        &mut self,
        now: TimePoint,
        account: &AccountName,
        call: CallId,
    ) -> TokenDecision {
        let stash = self.accounts.entry(account.clone()).or_default();
        while let Some(lapses_at) = stash.returned.pop_front() {
            if now < lapses_at {
                return TokenDecision::Granted;
            }
        }
        if now < stash.denied_until {
            return TokenDecision::Denied;
        }
        stash.waiting.push_back(call);
        let to_request = (!stash.is_asked).then_some(1);
        stash.is_asked = true;
        TokenDecision::Pending { to_request }
    }

    /// Takes the answer to a question: `granted` tokens. Returns the calls that get one, those that are denied, and for
    /// how many tokens the home has to be asked next.
    pub fn apply_grant(
        &mut self,
        now: TimePoint,
        account: &AccountName,
        wanted: u32,
        granted: u32,
    ) -> (Vec<CallId>, Vec<CallId>, Option<u32>) {
        let Some(stash) = self.accounts.get_mut(account) else { return Default::default() };
        stash.is_asked = false;
        let n_served = (granted as usize).min(stash.waiting.len());
        let served = stash.waiting.drain(..n_served).collect();
        // A call that left meanwhile leaves its token to the next.
        let n_unused = granted as usize - n_served;
        stash.returned.extend(std::iter::repeat_n(now.plus(TOKEN_LIFE), n_unused));
        if granted < wanted {
            stash.denied_until = now.plus(DENIAL_TIME);
            return (served, stash.waiting.drain(..).collect(), None);
        }
        let n_waiting = u32::try_from(stash.waiting.len()).unwrap_or(u32::MAX);
        stash.is_asked = 0 < n_waiting;
        (served, Vec::new(), stash.is_asked.then_some(n_waiting))
    }

    /// Withdraws a call that no longer waits.
    pub fn remove_waiting(&mut self, account: &AccountName, call: CallId) {
        if let Some(stash) = self.accounts.get_mut(account) {
            stash.waiting.retain(|it| *it != call);
        }
    }

    /// Takes back the token of a request that has not run. It lapses at once while the account is over its rate.
    pub fn return_token(&mut self, now: TimePoint, account: &AccountName) {
        let stash = self.accounts.entry(account.clone()).or_default();
        if now < stash.denied_until.plus(OVER_RATE_TIME) {
            return;
        }
        stash.returned.push_back(now.plus(TOKEN_LIFE));
    }

    /// Forgets that the home has been asked, since its answer did not come.
    pub fn clear_pending_request(&mut self, account: &AccountName) {
        if let Some(stash) = self.accounts.get_mut(account) {
            stash.is_asked = false;
        }
    }
}

/// Returns the home of an account among `members`.
pub fn quota_owner<'m, M>(account: &AccountName, members: M) -> Option<&'m InstanceName>
where
    M: IntoIterator<Item = &'m InstanceName>,
{
    let digest = ContentDigest::of_parts(&[account.as_str().as_bytes()]);
    members.into_iter().max_by_key(|member| (rendezvous_weight(member, &digest), *member))
}

#[cfg(test)]
mod tests;
