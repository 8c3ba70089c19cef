//! Rate and burst limits of client accounts, enforced over all daemons.
//!
//! Each account has one quota owner: the live daemon with the greatest rendezvous weight for the account's name. The
//! owner keeps the account's token bucket. An entry requests as many tokens as it has calls waiting, with at most one
//! outstanding request per account. When a request is not granted in full, the entry denies calls by itself for a short
//! time, so that an account far over its rate does not overload its owner.
//!
//! Time in which an owner and an entry are out of contact must not be counted at both:
//!
//! - While an entry cannot reach the owner, it spends from a local fallback bucket that holds one daemon's share of the
//!   rate and earns only while the owner does not respond.
//! - An entry to which the owner has granted more than that share lately goes on at that rate for as long as it may take
//!   to notice that the owner has stopped; see [`advance`].
//! - After a longer time, the entry closes the link and requests tokens from the next owner. The former owner earns no
//!   share of the rate for the time in which a daemon was out of contact, whether that daemon, the network or the owner
//!   itself had stopped; see [`FleetContact`].
//! - When the former owner responds again, each entry reports what it has spent without it, also as tokens of the next
//!   owner. What the former owner has not earned for that time counts for it; see [`settlement`].
//! - The bucket of a daemon that is not the owner is on standby: it earns little, and no more than a new owner starts
//!   with.

mod advance;
mod rate_estimate;
mod settlement;

use std::{collections::HashMap, time::Duration};

pub(super) use self::rate_estimate::RateEstimate;
use self::{advance::AdvanceLimit, rate_estimate::RATE_WINDOW, settlement::AbsenceSettlement};
use crate::{
    id::{AccountName, ContentDigest, InstanceName, rendezvous_weight},
    mesh::policy::AccountPolicy,
    time::TimePoint,
};

/// Share of the burst that a new owner's bucket starts with, since the tokens granted by an earlier owner are unknown.
const INITIAL_BURST_SHARE: f64 = 0.2;
/// Tokens that a fallback bucket starts with.
const INITIAL_FALLBACK_TOKENS: f64 = 1.0;
/// Share of the rate at which a bucket on standby earns.
const STANDBY_RATE_SHARE: f64 = 0.05;
/// Time without a request after which the bucket of a daemon that doesn't count as the owner goes on standby.
const STANDBY_DELAY: Duration = Duration::from_secs(1);
/// Maximum wait of an entry for a response of an account's quota owner.
pub(super) const QUOTA_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Contact of a daemon with the other daemons of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetContact {
    /// Number of daemons, including this one.
    pub n_daemons: usize,
    /// Number of daemons that are out of contact now.
    pub n_absent: usize,
    /// Time for which other daemons have been out of contact since the start of this one, in seconds, summed over them.
    pub absence_s: f64,
}

impl FleetContact {
    /// Returns the share of the daemons that are in contact now.
    fn present_share(&self) -> f64 {
        1.0 - self.n_absent as f64 / self.n_daemons.max(1) as f64
    }
}

/// Rate and burst that a bucket has to keep to.
#[derive(Clone, Copy, Debug)]
struct BucketLimit {
    rate_per_s: f64,
    burst: f64,
    /// Tokens that the bucket starts with, and may earn on standby.
    initial_tokens: f64,
}

impl BucketLimit {
    /// Returns the limit of the owner's bucket.
    fn of_owner(account: &AccountPolicy) -> BucketLimit {
        let AccountPolicy { rate_per_s, burst, .. } = *account;
        BucketLimit { rate_per_s, burst, initial_tokens: burst * INITIAL_BURST_SHARE }
    }

    /// Returns the limit of a fallback bucket, which holds the share of one of `n_daemons`.
    fn of_fallback(account: &AccountPolicy, n_daemons: usize) -> BucketLimit {
        let share = 1.0 / n_daemons.max(1) as f64;
        BucketLimit {
            rate_per_s: account.rate_per_s * share,
            burst: account.burst * share,
            initial_tokens: INITIAL_FALLBACK_TOKENS,
        }
    }
}

/// Token bucket of one account.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    filled_at: TimePoint,
    /// Value of [`FleetContact::absence_s`] when the bucket was filled.
    absence_s: f64,
    /// Whether another daemon grants the account's tokens.
    is_on_standby: bool,
    /// Time at which the last standby ended.
    active_since: TimePoint,
    /// Tokens earned since then.
    earned: f64,
    requested: RateEstimate,
    settlement: AbsenceSettlement,
}

impl TokenBucket {
    fn new(now: TimePoint, limit: &BucketLimit) -> TokenBucket {
        TokenBucket {
            tokens: limit.initial_tokens,
            filled_at: now,
            absence_s: 0.0,
            is_on_standby: true,
            active_since: now,
            earned: 0.0,
            requested: RateEstimate::default(),
            settlement: AbsenceSettlement::default(),
        }
    }

    /// Adds the tokens earned since the bucket was last filled. Of that time, other daemons have been out of contact for
    /// `absence_s - self.absence_s`, summed over `n_daemons`, and may have spent tokens that this bucket did not grant.
    fn fill(&mut self, now: TimePoint, limit: &BucketLimit, contact: &FleetContact) {
        let elapsed_s = now.since(self.filled_at).as_secs_f64();
        let absence_s = contact.absence_s - self.absence_s;
        let share_per_s = limit.rate_per_s / contact.n_daemons.max(1) as f64;
        let earned = elapsed_s * limit.rate_per_s;
        // An absence may have begun before the bucket became active. It earns its own share of the time since then.
        let own_share = now.since(self.active_since).as_secs_f64() * share_per_s;
        let max_reserved = (self.earned + earned - own_share).max(0.0);
        let reserved = (absence_s * share_per_s).min(max_reserved);
        let earned = earned - self.settlement.reserve(now, reserved);
        self.earned += earned;
        let floor = self.tokens.min(0.0);
        self.tokens = (self.tokens + earned).clamp(floor, limit.burst.max(1.0));
        self.mark_filled(now, contact);
    }

    /// Takes tokens that entries have spent while this daemon was out of contact. The bucket may owe up to a burst, but no
    /// more than it has earned: what was spent before it became active is not its own.
    fn settle(&mut self, now: TimePoint, limit: &BucketLimit, n_tokens: u32) {
        let max_uncovered = self.earned.min(self.tokens + limit.burst).max(0.0);
        let uncovered = self.settlement.spend(now, f64::from(n_tokens), max_uncovered);
        self.earned -= uncovered;
        self.tokens -= uncovered;
    }

    fn mark_filled(&mut self, now: TimePoint, contact: &FleetContact) {
        self.filled_at = now;
        self.absence_s = contact.absence_s;
    }

    /// Ends the standby, if the bucket is on standby.
    fn activate(&mut self, now: TimePoint, limit: &BucketLimit, contact: &FleetContact) {
        if std::mem::take(&mut self.is_on_standby) {
            let elapsed_s = now.since(self.filled_at).as_secs_f64();
            let earned = elapsed_s * limit.rate_per_s * STANDBY_RATE_SHARE;
            self.tokens =
                (self.tokens.min(limit.initial_tokens) + earned).min(limit.initial_tokens);
            self.active_since = now;
            self.earned = 0.0;
            self.mark_filled(now, contact);
        }
    }

    /// Puts the bucket on standby from `now` on.
    fn release(&mut self, now: TimePoint) {
        if !self.is_on_standby {
            self.is_on_standby = true;
            self.filled_at = now;
        }
    }

    /// Takes up to `wanted` tokens and returns how many were available.
    fn take(&mut self, now: TimePoint, wanted: u32) -> u32 {
        self.requested.record(now, wanted);
        let taken = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Puts back tokens of requests that have not run, reduced to the share of the requests that is within the rate and
    /// the burst.
    fn put_back(&mut self, rate_per_s: f64, burst: f64, n_tokens: u32) {
        let allowed_per_s = rate_per_s + burst / RATE_WINDOW.as_secs_f64();
        let share = (allowed_per_s / self.requested.per_s().max(f64::MIN_POSITIVE)).min(1.0);
        self.tokens = (self.tokens + f64::from(n_tokens) * share).min(burst.max(1.0));
    }
}

/// Token buckets of one daemon: those of the accounts that it grants tokens for, and the fallback buckets of others.
#[derive(Clone, Debug, Default)]
pub struct QuotaBuckets {
    owned: HashMap<AccountName, TokenBucket>,
    fallbacks: HashMap<AccountName, TokenBucket>,
    /// Limits of the tokens advanced to accounts whose quota owner does not respond.
    advances: HashMap<AccountName, AdvanceLimit>,
    n_granted_as_owner: u64,
    n_granted_as_fallback: u64,
    n_advanced: u64,
}

impl QuotaBuckets {
    /// Grants up to `wanted` tokens as the account's quota owner. Daemons out of contact spend their own share of the
    /// rate meanwhile, and the bucket does not earn it.
    pub fn take_as_owner(
        &mut self,
        now: TimePoint,
        account: &AccountPolicy,
        contact: &FleetContact,
        wanted: u32,
    ) -> u32 {
        let limit = BucketLimit::of_owner(account);
        let bucket =
            self.owned.entry(account.name.clone()).or_insert_with(|| TokenBucket::new(now, &limit));
        bucket.activate(now, &limit, contact);
        let present = BucketLimit { burst: limit.burst * contact.present_share(), ..limit };
        bucket.fill(now, &present, contact);
        let granted = bucket.take(now, wanted);
        self.n_granted_as_owner += u64::from(granted);
        granted
    }

    /// Takes tokens, as the account's quota owner, that an entry has spent while this daemon was out of contact.
    pub fn settle_as_owner(
        &mut self,
        now: TimePoint,
        account: &AccountPolicy,
        contact: &FleetContact,
        n_tokens: u32,
    ) {
        let limit = BucketLimit::of_owner(account);
        let Some(bucket) = self.owned.get_mut(&account.name) else { return };
        bucket.activate(now, &limit, contact);
        bucket.fill(now, &limit, contact);
        bucket.settle(now, &limit, n_tokens);
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

    /// Puts the buckets of accounts that this daemon doesn't own on standby. If it becomes their owner again, it cannot
    /// know how many tokens were spent in between.
    pub fn release_foreign<F>(&mut self, now: TimePoint, is_owner: F)
    where
        F: Fn(&AccountName) -> bool,
    {
        let foreign = self.owned.iter_mut().filter(|(account, _)| !is_owner(account));
        foreign.for_each(|(_, bucket)| bucket.release(now));
    }

    /// Puts those of them on standby that no daemon has requested tokens from in the last [`STANDBY_DELAY`]. Other daemons
    /// may take this one for an account's owner while it does not itself.
    pub fn release_unused_foreign<F>(&mut self, now: TimePoint, is_owner: F)
    where
        F: Fn(&AccountName) -> bool,
    {
        let active = self.owned.iter_mut().filter(|(_, bucket)| !bucket.is_on_standby);
        active
            .filter(|(account, bucket)| {
                STANDBY_DELAY <= now.since(bucket.filled_at) && !is_owner(account)
            })
            .for_each(|(_, bucket)| bucket.release(now));
    }

    /// Grants up to `wanted` tokens from this daemon's share of the rate, while the quota owner does not respond.
    pub fn take_fallback(
        &mut self,
        now: TimePoint,
        account: &AccountPolicy,
        n_daemons: usize,
        wanted: u32,
    ) -> u32 {
        let limit = BucketLimit::of_fallback(account, n_daemons);
        let contact = FleetContact { n_daemons, ..FleetContact::default() };
        // The owner has not responded for this time.
        let since = now.minus(QUOTA_RESPONSE_TIMEOUT);
        let bucket = self
            .fallbacks
            .entry(account.name.clone())
            .or_insert_with(|| TokenBucket::new(since, &limit));
        bucket.activate(since, &limit, &contact);
        bucket.fill(now, &limit, &contact);
        let granted = bucket.take(now, wanted);
        self.n_granted_as_fallback += u64::from(granted);
        granted
    }

    /// Advances a token to an account whose quota owner does not respond and whose share at this entry is used up. The
    /// owner has lately granted `granted_per_s` tokens per second to this entry. Returns whether a token was advanced.
    pub fn take_advance(
        &mut self,
        now: TimePoint,
        account: &AccountPolicy,
        n_daemons: usize,
        granted_per_s: f64,
    ) -> bool {
        let share_per_s = BucketLimit::of_fallback(account, n_daemons).rate_per_s;
        let per_s = granted_per_s.min(account.rate_per_s) - share_per_s;
        let since = now.minus(QUOTA_RESPONSE_TIMEOUT);
        let limit = self
            .advances
            .entry(account.name.clone())
            .or_insert_with(|| AdvanceLimit::new(since, per_s));
        let is_advanced = limit.take(now);
        self.n_advanced += u64::from(is_advanced);
        is_advanced
    }

    /// Puts the fallback bucket of an account on standby and ends its advances, because its quota owner has responded.
    pub fn release_fallback(&mut self, now: TimePoint, account: &AccountName) {
        self.advances.remove(account);
        if let Some(bucket) = self.fallbacks.get_mut(account) {
            bucket.release(now);
        }
    }

    /// Returns the number of tokens granted, by the name of the bucket that they came from.
    pub fn n_granted(&self) -> [(&'static str, u64); 3] {
        [
            ("owner", self.n_granted_as_owner),
            ("fallback", self.n_granted_as_fallback),
            ("advance", self.n_advanced),
        ]
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
