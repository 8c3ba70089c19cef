//! Rate and burst of client accounts, counted over all daemons.
//!
//! Each account has one home, the live daemon with the greatest rendezvous weight for the account's name. The home keeps
//! the account's token bucket, and the entries ask it for each request. While an entry can't reach the home it spends
//! from a bucket of its own that holds one daemon's part of the rate; the home sets that part aside for each daemon that
//! it can't reach, so that the sum stays within the rate.

use std::{collections::HashMap, time::Duration};

use crate::{
    id::{AccountName, ContentDigest, InstanceName, rendezvous_weight},
    mesh::{frame::QuotaVerdict, policy::AccountPolicy},
    time::TimePoint,
};

/// Part of the burst with which a home's bucket starts. What an earlier home has granted is not known.
const STARTING_SHARE: f64 = 0.2;
/// Longest hint of when to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A token bucket.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    filled_at: TimePoint,
}

impl TokenBucket {
    fn take(&mut self, now: TimePoint, rate_per_s: f64, burst: f64) -> QuotaVerdict {
        let earned = now.since(self.filled_at).as_secs_f64() * rate_per_s;
        self.filled_at = now;
        self.tokens = (self.tokens + earned).min(burst.max(1.0));
        if 1.0 <= self.tokens {
            self.tokens -= 1.0;
            return QuotaVerdict::Granted;
        }
        let missing_s = (1.0 - self.tokens) / rate_per_s.max(1e-3);
        let retry_after = Duration::from_secs_f64(missing_s.min(MAX_RETRY_AFTER.as_secs_f64()));
        QuotaVerdict::Denied { retry_after }
    }
}

/// The buckets that one daemon keeps.
#[derive(Clone, Debug, Default)]
pub struct QuotaBuckets {
    homes: HashMap<AccountName, TokenBucket>,
    fallbacks: HashMap<AccountName, TokenBucket>,
}

impl QuotaBuckets {
    /// Answers for one request as the account's home. `n_unreachable` of `n_daemons` can't ask now and spend their own
    /// part.
    pub fn take_as_home(
        &mut self,
        now: TimePoint,
        account: &AccountPolicy,
        n_unreachable: usize,
        n_daemons: usize,
    ) -> QuotaVerdict {
        let bucket = self
            .homes
            .entry(account.name.clone())
            .or_insert(TokenBucket { tokens: account.burst * STARTING_SHARE, filled_at: now });
        let reachable = 1.0 - n_unreachable as f64 / n_daemons.max(1) as f64;
        bucket.take(now, account.rate_per_s * reachable, account.burst * reachable)
    }

    /// Takes back the token of a request that has not run.
    pub fn give_back(&mut self, account: &AccountName) {
        if let Some(bucket) = self.homes.get_mut(account) {
            // The next grant bounds it by the burst.
            bucket.tokens += 1.0;
        }
    }

    /// Answers for one request while the home can't be asked.
    pub fn take_fallback(
        &mut self,
        now: TimePoint,
        account: &AccountPolicy,
        n_daemons: usize,
    ) -> QuotaVerdict {
        let part = 1.0 / n_daemons.max(1) as f64;
        let bucket = self
            .fallbacks
            .entry(account.name.clone())
            .or_insert(TokenBucket { tokens: 1.0, filled_at: now });
        bucket.take(now, account.rate_per_s * part, account.burst * part)
    }
}

/// Returns the home of an account among `members`.
pub fn home_of<'m, M>(account: &AccountName, members: M) -> Option<&'m InstanceName>
where
    M: IntoIterator<Item = &'m InstanceName>,
{
    let digest = ContentDigest::of_parts(&[account.as_str().as_bytes()]);
    members.into_iter().max_by_key(|member| (rendezvous_weight(member, &digest), *member))
}

#[cfg(test)]
mod tests;
