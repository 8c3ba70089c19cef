//! The home of shares: it mints their tokens and gives them to entries.

use std::{collections::BTreeMap, time::Duration};

use super::{
    message::{QuotaGrant, QuotaRequest},
    plan::{QuotaOptions, QuotaPlan},
};
use crate::{id::AccountName, time::TimePoint};

/// Nanoseconds per microsecond.
const NANOS_PER_MICRO: u64 = 1_000;

/// Tokens that one ask gets at most.
const MAX_TOKENS: u32 = 1_000;

/// Spare tokens are given while at least three quarters of the bucket would be left.
const SPARE_PART: u64 = 4;

/// An account's settings at a home.
#[derive(Debug)]
struct HomeAccount {
    plan: Option<QuotaPlan>,
    /// No token is minted before this moment.
    settled_at: TimePoint,
}

/// A token bucket in the form of the generic cell rate algorithm: the moment at which the bucket will be full, less
/// its tolerance, tells when the next token can be minted.
#[derive(Debug)]
struct TokenMint {
    full_at_ns: u64,
}

/// The shares that one daemon owns.
///
/// The caller reports each renewal of its lease, and when ownership of a share begins and ends. A share starts empty:
/// what the former owner had saved up is lost, never doubled. When a lease has lapsed before its renewal, another home
/// may have minted meanwhile, so all shares are given up.
#[derive(Debug)]
pub struct QuotaOwner {
    options: QuotaOptions,
    accounts: BTreeMap<AccountName, HomeAccount>,
    mints: BTreeMap<(AccountName, u8), TokenMint>,
    lease_end: TimePoint,
}

impl QuotaOwner {
    /// Returns a home that owns nothing.
    pub fn new(options: QuotaOptions) -> QuotaOwner {
        QuotaOwner {
            options,
            accounts: BTreeMap::new(),
            mints: BTreeMap::new(),
            lease_end: TimePoint::ORIGIN,
        }
    }

    /// Sets rate and burst of an account.
    ///
    /// While the daemons have different settings, the uses stay within the greatest rate and burst of them. When the
    /// number of shares changes, nothing is minted for the settle time, because shares of two divisions would add up
    /// to more than the whole.
    pub fn set_account(
        &mut self,
        now: TimePoint,
        account: &AccountName,
        rate_per_s: f64,
        burst: f64,
    ) {
        let plan = QuotaPlan::new(rate_per_s, burst, &self.options);
        let n_shares = plan.as_ref().map_or(0, QuotaPlan::n_shares);
        let known = self.accounts.get(account);
        let known_shares = known.map(|it| it.plan.as_ref().map_or(0, QuotaPlan::n_shares));
        let settled_at = match known {
            Some(known) if known_shares == Some(n_shares) => known.settled_at,
            Some(_) => now.plus(self.options.resharding_delay),
            None => now,
        };
        for share in 0..super::MAX_SHARES {
            self.replan(now.max(settled_at), account, share, plan.as_ref());
        }
        self.accounts.insert(account.clone(), HomeAccount { plan, settled_at });
    }

    /// Forgets an account.
    pub fn remove_account(&mut self, account: &AccountName) {
        self.accounts.remove(account);
        self.mints.retain(|(name, _), _| name != account);
    }

    /// Notes that the lease runs until `lease_end`. It is called at each renewal, and gives up all shares when the lease
    /// had lapsed before.
    pub fn renew(&mut self, now: TimePoint, lease_end: TimePoint) {
        if self.lease_end < now {
            self.release_all_shares();
        }
        self.lease_end = self.lease_end.max(lease_end);
    }

    /// Takes over a share, which starts empty. `now` must not be before the former owner's lease has ended. It changes
    /// nothing when the share is owned already, or when the own lease does not run.
    pub fn acquire_share(&mut self, now: TimePoint, account: &AccountName, share: u8) {
        if self.lease_end < now {
            return;
        }
        let Some(known) = self.accounts.get(account) else { return };
        let Some(plan) = known.plan.as_ref().filter(|it| share < it.n_shares()) else { return };
        let mint = TokenMint::empty(now.max(known.settled_at), plan);
        self.mints.entry((account.clone(), share)).or_insert(mint);
    }

    /// Gives up a share.
    pub fn release_share(&mut self, account: &AccountName, share: u8) {
        self.mints.remove(&(account.clone(), share));
    }

    /// Gives up all shares, because the lease has ended or the ring's epoch has changed.
    pub fn release_all_shares(&mut self) {
        self.mints.clear();
    }

    /// Returns whether this home owns the share.
    pub fn owns(&self, account: &AccountName, share: u8) -> bool {
        self.mints.contains_key(&(account.clone(), share))
    }

    /// Grants what it can of `ask`. Nothing is minted for a moment after `lease_end`.
    ///
    /// The caller must read `now` and `lease_end` after `ask` has arrived. A pause after that does no harm: the hold
    /// time runs at the entry.
    pub fn grant_tokens(
        &mut self,
        now: TimePoint,
        lease_end: TimePoint,
        ask: &QuotaRequest,
    ) -> QuotaGrant {
        let mut grant = QuotaGrant::not_owned(ask);
        self.renew(now, lease_end);
        let plan = self.accounts.get(&ask.account).and_then(|it| it.plan.as_ref());
        let mint = self.mints.get_mut(&(ask.account.clone(), ask.share));
        let (Some(plan), Some(mint)) = (plan, mint) else { return grant };
        if lease_end <= now {
            return grant;
        }
        grant.is_owner = true;
        grant.token_ttl = plan.token_ttl();
        grant.spacing = Duration::from_nanos(plan.interval_ns());
        mint.grant_waiting(now, lease_end, ask.waiting.min(MAX_TOKENS), plan, &mut grant);
        mint.grant_ahead(now, ask.prefetch.min(MAX_TOKENS), plan.tolerance_ns(), plan, &mut grant);
        mint.grant_ahead(
            now,
            ask.spare.min(MAX_TOKENS),
            plan.tolerance_ns() / SPARE_PART,
            plan,
            &mut grant,
        );
        grant
    }

    /// Adapts an owned share to a new plan.
    fn replan(
        &mut self,
        now: TimePoint,
        account: &AccountName,
        share: u8,
        plan: Option<&QuotaPlan>,
    ) {
        let key = (account.clone(), share);
        let Some(mint) = self.mints.get_mut(&key) else { return };
        let old = self.accounts.get(account).and_then(|it| it.plan.as_ref());
        match (old, plan) {
            (Some(old), Some(plan)) if old == plan => {}
            // The saved tokens were counted in another interval; it is safe, and rare enough, to start empty.
            (_, Some(plan)) if share < plan.n_shares() => *mint = TokenMint::empty(now, plan),
            _ => {
                self.mints.remove(&key);
            }
        }
    }
}

impl TokenMint {
    /// Returns a bucket whose first token comes one interval after `now`.
    fn empty(now: TimePoint, plan: &QuotaPlan) -> TokenMint {
        TokenMint { full_at_ns: nanos(now) + plan.tolerance_ns() + plan.interval_ns() }
    }

    /// Grants tokens to waiting requests, some of them for moments within the promise time.
    fn grant_waiting(
        &mut self,
        now: TimePoint,
        lease_end: TimePoint,
        n_tokens: u32,
        plan: &QuotaPlan,
        grant: &mut QuotaGrant,
    ) {
        let now_ns = nanos(now);
        let latest_ns = nanos(now.plus(plan.reservation_horizon()));
        for _ in 0..n_tokens {
            let minted_at_ns = now_ns.max(self.full_at_ns.saturating_sub(plan.tolerance_ns()));
            if latest_ns < minted_at_ns || nanos(lease_end) <= minted_at_ns {
                let wait_ns = minted_at_ns.saturating_sub(latest_ns).max(plan.interval_ns());
                grant.retry_after = Some(Duration::from_nanos(wait_ns));
                return;
            }
            self.full_at_ns = self.full_at_ns.max(minted_at_ns) + plan.interval_ns();
            match minted_at_ns {
                it if it == now_ns => grant.ready += 1,
                it if grant.later == 0 => {
                    grant.first_wait = Duration::from_nanos(it - now_ns);
                    grant.later = 1;
                }
                _ => grant.later += 1,
            }
        }
    }

    /// Grants tokens that are ready now, as long as the bucket stays fuller than `tolerance_ns` tells.
    fn grant_ahead(
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
    /// Returns the answer of a home that does not own the share.
    pub fn not_owned(ask: &QuotaRequest) -> QuotaGrant {
        QuotaGrant {
            account: ask.account.clone(),
            share: ask.share,
            serial: ask.serial,
            ready: 0,
            later: 0,
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
