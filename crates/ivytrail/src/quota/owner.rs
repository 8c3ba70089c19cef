//! The quota owner: issues the tokens of its shares to entries.

use std::{collections::BTreeMap, time::Duration};

use super::{
    message::{QuotaGrant, QuotaRequest},
    plan::{QuotaOptions, QuotaPlan},
};
use crate::{id::AccountName, time::TimePoint};

/// Nanoseconds per microsecond.
const NANOS_PER_MICRO: u64 = 1_000;

/// Maximum number of tokens per kind that a single request is granted.
const MAX_TOKENS_PER_KIND: u32 = 1_000;

/// Divisor of the tolerance for spare tokens, which are granted only while at least three quarters of the bucket
/// remain.
const SPARE_TOLERANCE_DIVISOR: u64 = 4;

/// An account's settings at a quota owner.
#[derive(Debug)]
struct AccountState {
    plan: Option<QuotaPlan>,
    /// No token is issued before this time.
    issuing_from: TimePoint,
}

/// A token bucket that uses the generic cell rate algorithm: the next token can be issued at the time at which the
/// bucket will be full, minus the tolerance.
#[derive(Debug)]
struct TokenBucket {
    full_at_ns: u64,
}

/// The shares that a daemon owns.
///
/// The caller must report each renewal of its lease, and when ownership of a share begins and ends. A share starts with
/// an empty bucket: the tokens accumulated by the previous owner are lost, never duplicated. If the lease lapsed before
/// its renewal, another owner may have issued tokens in the meantime, so all shares are released.
#[derive(Debug)]
pub struct QuotaOwner {
    options: QuotaOptions,
    accounts: BTreeMap<AccountName, AccountState>,
    buckets: BTreeMap<(AccountName, u8), TokenBucket>,
    lease_end: TimePoint,
}

impl QuotaOwner {
    /// Returns a quota owner without accounts and shares.
    pub fn new(options: QuotaOptions) -> QuotaOwner {
        QuotaOwner {
            options,
            accounts: BTreeMap::new(),
            buckets: BTreeMap::new(),
            lease_end: TimePoint::ORIGIN,
        }
    }

    /// Sets the rate, in requests per second, and the burst, in requests, of an account.
    ///
    /// While daemons have different settings, the requests stay within the greatest rate and burst of these settings.
    /// After a change of the number of shares, no tokens are issued during the resharding delay, because the shares of
    /// the old and the new division together would exceed the account's rate.
    pub fn set_account(
        &mut self,
        now: TimePoint,
        account: &AccountName,
        rate_per_s: f64,
        burst: f64,
    ) {
        let plan = QuotaPlan::new(rate_per_s, burst, &self.options);
        let n_shares = plan.as_ref().map_or(0, QuotaPlan::n_shares);
        let current = self.accounts.get(account);
        let current_shares = current.map(|it| it.plan.as_ref().map_or(0, QuotaPlan::n_shares));
        let issuing_from = match current {
            Some(current) if current_shares == Some(n_shares) => current.issuing_from,
            Some(_) => now.plus(self.options.resharding_delay),
            None => now,
        };
        for share in 0..super::MAX_SHARES {
            self.update_bucket(now.max(issuing_from), account, share, plan.as_ref());
        }
        self.accounts.insert(account.clone(), AccountState { plan, issuing_from });
    }

    /// Removes an account and its shares.
    pub fn remove_account(&mut self, account: &AccountName) {
        self.accounts.remove(account);
        self.buckets.retain(|(name, _), _| name != account);
    }

    /// Records that the lease is valid until `lease_end`. Must be called at each renewal; releases all shares if the
    /// lease had lapsed before.
    pub fn renew(&mut self, now: TimePoint, lease_end: TimePoint) {
        if self.lease_end < now {
            self.release_all_shares();
        }
        self.lease_end = self.lease_end.max(lease_end);
    }

    /// Acquires a share, with an empty bucket. `now` must not be earlier than the end of the previous owner's lease.
    /// Has no effect if the share is already owned, or if the local lease has ended.
    pub fn acquire_share(&mut self, now: TimePoint, account: &AccountName, share: u8) {
        if self.lease_end < now {
            return;
        }
        let Some(current) = self.accounts.get(account) else { return };
        let Some(plan) = current.plan.as_ref().filter(|it| share < it.n_shares()) else { return };
        let bucket = TokenBucket::empty(now.max(current.issuing_from), plan);
        self.buckets.entry((account.clone(), share)).or_insert(bucket);
    }

    /// Releases a share.
    pub fn release_share(&mut self, account: &AccountName, share: u8) {
        self.buckets.remove(&(account.clone(), share));
    }

    /// Releases all shares, because the lease has ended or the epoch of the ring has changed.
    pub fn release_all_shares(&mut self) {
        self.buckets.clear();
    }

    /// Returns whether this daemon owns the share.
    pub fn owns(&self, account: &AccountName, share: u8) -> bool {
        self.buckets.contains_key(&(account.clone(), share))
    }

    /// Grants as many of the requested tokens as possible. No token is issued for a time at or after `lease_end`.
    ///
    /// The caller must read `now` and `lease_end` after `request` has arrived. A pause of the process after that is
    /// harmless, because the TTL is measured at the entry.
    pub fn grant_tokens(
        &mut self,
        now: TimePoint,
        lease_end: TimePoint,
        request: &QuotaRequest,
    ) -> QuotaGrant {
        let mut grant = QuotaGrant::not_owned(request);
        self.renew(now, lease_end);
        let plan = self.accounts.get(&request.account).and_then(|it| it.plan.as_ref());
        let bucket = self.buckets.get_mut(&(request.account.clone(), request.share));
        let (Some(plan), Some(bucket)) = (plan, bucket) else { return grant };
        if lease_end <= now {
            return grant;
        }
        grant.is_owner = true;
        grant.token_ttl = plan.token_ttl();
        grant.spacing = Duration::from_nanos(plan.interval_ns());
        bucket.grant_or_reserve(
            now,
            lease_end,
            request.waiting.min(MAX_TOKENS_PER_KIND),
            plan,
            &mut grant,
        );
        bucket.grant_immediate(
            now,
            request.prefetch.min(MAX_TOKENS_PER_KIND),
            plan.tolerance_ns(),
            plan,
            &mut grant,
        );
        bucket.grant_immediate(
            now,
            request.spare.min(MAX_TOKENS_PER_KIND),
            plan.tolerance_ns() / SPARE_TOLERANCE_DIVISOR,
            plan,
            &mut grant,
        );
        grant
    }

    /// Adapts the bucket of an owned share to a new plan.
    fn update_bucket(
        &mut self,
        now: TimePoint,
        account: &AccountName,
        share: u8,
        plan: Option<&QuotaPlan>,
    ) {
        let key = (account.clone(), share);
        let Some(bucket) = self.buckets.get_mut(&key) else { return };
        let old = self.accounts.get(account).and_then(|it| it.plan.as_ref());
        match (old, plan) {
            (Some(old), Some(plan)) if old == plan => {}
            // The accumulated tokens were counted in a different interval. Starting with an empty bucket is safe, and
            // such changes are rare.
            (_, Some(plan)) if share < plan.n_shares() => *bucket = TokenBucket::empty(now, plan),
            _ => {
                self.buckets.remove(&key);
            }
        }
    }
}

impl TokenBucket {
    /// Returns an empty bucket, which issues its first token one interval after `now`.
    fn empty(now: TimePoint, plan: &QuotaPlan) -> TokenBucket {
        TokenBucket { full_at_ns: nanos(now) + plan.tolerance_ns() + plan.interval_ns() }
    }

    /// Grants tokens for waiting calls; some of them are reservations within the reservation horizon.
    fn grant_or_reserve(
        &mut self,
        now: TimePoint,
        lease_end: TimePoint,
        n_tokens: u32,
        plan: &QuotaPlan,
        grant: &mut QuotaGrant,
    ) {
        let now_ns = nanos(now);
        let horizon_ns = nanos(now.plus(plan.reservation_horizon()));
        for _ in 0..n_tokens {
            let issue_at_ns = now_ns.max(self.full_at_ns.saturating_sub(plan.tolerance_ns()));
            if horizon_ns < issue_at_ns || nanos(lease_end) <= issue_at_ns {
                let wait_ns = issue_at_ns.saturating_sub(horizon_ns).max(plan.interval_ns());
                grant.retry_after = Some(Duration::from_nanos(wait_ns));
                return;
            }
            self.full_at_ns = self.full_at_ns.max(issue_at_ns) + plan.interval_ns();
            match issue_at_ns {
                it if it == now_ns => grant.ready += 1,
                it if grant.reserved == 0 => {
                    grant.first_wait = Duration::from_nanos(it - now_ns);
                    grant.reserved = 1;
                }
                _ => grant.reserved += 1,
            }
        }
    }

    /// Grants tokens that are usable immediately, while the bucket lacks at most `tolerance_ns` of being full.
    fn grant_immediate(
        &mut self,
        now: TimePoint,
        n_tokens: u32,
        tolerance_ns: u64,
        plan: &QuotaPlan,
        grant: &mut QuotaGrant,
    ) {
        let now_ns = nanos(now);
        for _ in 0..n_tokens {
            if now_ns + tolerance_ns < self.full_at_ns {
                return;
            }
            self.full_at_ns = self.full_at_ns.max(now_ns) + plan.interval_ns();
            grant.ready += 1;
        }
    }
}

impl QuotaGrant {
    /// Returns the response of a daemon that does not own the share.
    pub fn not_owned(request: &QuotaRequest) -> QuotaGrant {
        QuotaGrant {
            account: request.account.clone(),
            share: request.share,
            serial: request.serial,
            ready: 0,
            reserved: 0,
            first_wait: Duration::ZERO,
            spacing: Duration::ZERO,
            token_ttl: Duration::ZERO,
            retry_after: None,
            is_owner: false,
        }
    }
}

fn nanos(point: TimePoint) -> u64 {
    point.as_micros().saturating_mul(NANOS_PER_MICRO)
}
