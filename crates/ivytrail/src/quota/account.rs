//! The state of an account at an entry: tokens, waiting calls and pending token requests.

use std::{collections::VecDeque, time::Duration};

use rand::{RngExt, rngs::StdRng};

use super::{
    demand::DemandMeter,
    message::{QuotaEffect, QuotaGrant, QuotaRequest, QuotaVerdict},
    plan::{QuotaOptions, QuotaPlan},
};
use crate::{
    id::{AccountName, CallId},
    time::TimePoint,
};

/// Minimum time before tokens are requested again from a share whose bucket was empty.
const MIN_EMPTY_COOLDOWN: Duration = Duration::from_millis(20);

/// Number of calls expected within a token TTL from which tokens are prefetched at any level of the owner's bucket: at
/// such a demand, hardly any token expires unused.
const PREFETCH_DEMAND: f64 = 8.0;

/// Number of calls expected within a token TTL from which spare tokens are prefetched.
const SPARE_PREFETCH_DEMAND: f64 = 0.5;

/// Time for which tokens are prefetched: the round trip to an owner plus a margin.
const PREFETCH_HORIZON: Duration = Duration::from_millis(8);

/// Resolution of [`TimePoint`].
const CLOCK_RESOLUTION: Duration = Duration::from_micros(1);

/// A token and the time range in which it is usable.
#[derive(Clone, Copy, Debug)]
struct CachedToken {
    usable_from: TimePoint,
    expires_at: TimePoint,
}

/// A token that was spent on a call and can be returned until it expires.
#[derive(Clone, Copy, Debug)]
struct SpentToken {
    call: CallId,
    expires_at: TimePoint,
}

/// A call that waits for a token.
#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    call: CallId,
    deadline: TimePoint,
}

/// A token request without a response.
#[derive(Clone, Debug)]
struct PendingRequest {
    share: u8,
    serial: u64,
    sent_at: TimePoint,
    n_waiting: u32,
    n_prefetch: u32,
    is_lost: bool,
}

/// State of a share's owner as observed by the entry.
#[derive(Clone, Debug, Default)]
struct ShareState {
    /// The owner has no tokens to reserve before this time.
    empty_until: TimePoint,
    /// End of the backoff after the owner did not respond or did not own the share. Ignored while all shares are in
    /// backoff.
    backoff_until: TimePoint,
    backoff: Duration,
}

/// Tokens, waiting calls and pending requests of an account at an entry.
#[derive(Debug)]
pub(crate) struct AccountTokens {
    name: AccountName,
    plan: Option<QuotaPlan>,
    shares: Vec<ShareState>,
    next_share: usize,
    tokens: Vec<CachedToken>,
    /// Tokens that can still be returned.
    spent: VecDeque<SpentToken>,
    waiting: VecDeque<WaitingCall>,
    pending: Vec<PendingRequest>,
    demand: DemandMeter,
    /// No tokens are prefetched before this time, because an owner granted fewer than requested.
    prefetch_from: TimePoint,
    n_expired: u64,
}

impl AccountTokens {
    pub(crate) fn new(name: AccountName) -> AccountTokens {
        AccountTokens {
            name,
            plan: None,
            shares: Vec::new(),
            next_share: 0,
            tokens: Vec::new(),
            spent: VecDeque::new(),
            waiting: VecDeque::new(),
            pending: Vec::new(),
            demand: DemandMeter::default(),
            prefetch_from: TimePoint::ORIGIN,
            n_expired: 0,
        }
    }

    pub(crate) fn set_plan(&mut self, now: TimePoint, plan: Option<QuotaPlan>, rng: &mut StdRng) {
        self.drop_expired(now);
        let n_shares = plan.as_ref().map_or(0, |it| usize::from(it.n_shares()));
        if self.shares.len() != n_shares {
            self.shares = vec![ShareState::default(); n_shares];
            self.next_share = if n_shares == 0 { 0 } else { rng.random_range(0..n_shares) };
        }
        self.plan = plan;
    }

    /// Returns whether the account needs no work before the next call.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty()
            && self.pending.is_empty()
            && self.tokens.is_empty()
            && self.spent.is_empty()
    }

    /// Returns the number of tokens that expired unused.
    pub(crate) fn n_expired(&self) -> u64 {
        self.n_expired
    }

    /// Decides on a call; see [`TokenCache::acquire`](super::TokenCache::acquire).
    pub(crate) fn acquire(
        &mut self,
        now: TimePoint,
        call: CallId,
        serial: &mut u64,
        out: &mut Vec<QuotaEffect>,
    ) -> QuotaVerdict {
        let Some(plan) = &self.plan else {
            return QuotaVerdict::Refused { retry_after: super::token_cache::NO_QUOTA_RETRY_DELAY };
        };
        let deadline = now.plus(plan.max_wait());
        self.demand.record(now);
        self.drop_expired(now);
        let spent = if self.waiting.is_empty() { self.spend_token(now) } else { None };
        let verdict = match spent {
            Some(expires_at) => {
                self.spent.push_back(SpentToken { call, expires_at });
                QuotaVerdict::Granted
            }
            None => {
                self.waiting.push_back(WaitingCall { call, deadline });
                QuotaVerdict::Waiting
            }
        };
        let n_before = out.len();
        self.request_missing_tokens(now, serial, out);
        // The newest call is refused first, so the first refusal is for this call.
        match out.get(n_before) {
            Some(QuotaEffect::Refuse { call: refused, retry_after }) if *refused == call => {
                let retry_after = *retry_after;
                out.remove(n_before);
                QuotaVerdict::Refused { retry_after }
            }
            _ => verdict,
        }
    }

    /// Applies the grant of a quota owner. A grant for a request that is not pending is ignored, so that tokens are
    /// counted only once.
    pub(crate) fn apply_grant(
        &mut self,
        now: TimePoint,
        grant: &QuotaGrant,
        options: &QuotaOptions,
        serial: &mut u64,
        out: &mut Vec<QuotaEffect>,
    ) {
        let pending =
            self.pending.iter().position(|it| it.serial == grant.serial && it.share == grant.share);
        let Some(request) = pending.map(|it| self.pending.swap_remove(it)) else { return };
        if grant.is_owner {
            self.record_grant(now, &request, grant);
            self.add_tokens(now, request.sent_at, grant);
        } else if !request.is_lost {
            self.back_off(now, grant.share, options);
        }
        self.serve_waiting(now, serial, out);
    }

    /// Handles a request that could not be delivered.
    pub(crate) fn handle_failed_request(
        &mut self,
        now: TimePoint,
        request: &QuotaRequest,
        options: &QuotaOptions,
        serial: &mut u64,
        out: &mut Vec<QuotaEffect>,
    ) {
        let pending = self
            .pending
            .iter()
            .position(|it| it.serial == request.serial && it.share == request.share);
        let Some(request) = pending.map(|it| self.pending.swap_remove(it)) else { return };
        if !request.is_lost {
            self.back_off(now, request.share, options);
        }
        self.serve_waiting(now, serial, out);
    }

    pub(crate) fn remove_waiting(&mut self, call: CallId) {
        self.waiting.retain(|it| it.call != call);
    }

    pub(crate) fn tick(
        &mut self,
        now: TimePoint,
        options: &QuotaOptions,
        serial: &mut u64,
        out: &mut Vec<QuotaEffect>,
    ) {
        self.mark_lost_requests(now, options);
        self.serve_waiting(now, serial, out);
        while let Some(late) = self.waiting.pop_front_if(|it| it.deadline <= now) {
            let retry_after = self.retry_after(now);
            out.push(QuotaEffect::Refuse { call: late.call, retry_after });
        }
    }

    /// Returns the time at which [`AccountTokens::tick`] has work to do.
    pub(crate) fn next_due(&self, options: &QuotaOptions) -> Option<TimePoint> {
        let deadline = self.waiting.front().map(|it| it.deadline);
        let ready =
            self.tokens.iter().map(|it| it.usable_from).min().filter(|_| !self.waiting.is_empty());
        let unanswered = self.pending.iter().filter(|it| !it.is_lost);
        let timeout = unanswered.map(|it| it.sent_at.plus(options.request_timeout)).min();
        let expiry = self.tokens.iter().map(|it| it.expires_at.plus(CLOCK_RESOLUTION)).min();
        [deadline, ready, timeout, expiry].into_iter().flatten().min()
    }

    /// Spends tokens on waiting calls and requests the missing tokens.
    fn serve_waiting(&mut self, now: TimePoint, serial: &mut u64, out: &mut Vec<QuotaEffect>) {
        self.drop_expired(now);
        while !self.waiting.is_empty()
            && let Some(expires_at) = self.spend_token(now)
        {
            let Some(served) = self.waiting.pop_front() else { break };
            self.spent.push_back(SpentToken { call: served.call, expires_at });
            out.push(QuotaEffect::Admit { call: served.call });
        }
        self.request_missing_tokens(now, serial, out);
    }

    /// Returns the token of a call that has not run. The token keeps its expiry time, so the limit on the requests in
    /// any window still holds.
    pub(crate) fn return_token(&mut self, now: TimePoint, call: CallId) {
        let spent = self.spent.iter().position(|it| it.call == call);
        let token = spent.and_then(|idx| self.spent.remove(idx));
        if let Some(token) = token.filter(|it| now <= it.expires_at) {
            self.tokens.push(CachedToken { usable_from: now, expires_at: token.expires_at });
        }
    }

    /// Spends the usable token that expires first and returns its expiry time.
    fn spend_token(&mut self, now: TimePoint) -> Option<TimePoint> {
        let usable = self
            .tokens
            .iter()
            .enumerate()
            .filter(|(_, it)| it.usable_from <= now && now <= it.expires_at);
        let first = usable.min_by_key(|(_, it)| it.expires_at).map(|(idx, _)| idx);
        first.map(|idx| self.tokens.swap_remove(idx).expires_at)
    }

    fn drop_expired(&mut self, now: TimePoint) {
        let n_before = self.tokens.len();
        self.tokens.retain(|it| now <= it.expires_at);
        self.spent.retain(|it| now <= it.expires_at);
        self.n_expired += (n_before - self.tokens.len()) as u64;
    }

    fn add_tokens(&mut self, now: TimePoint, sent_at: TimePoint, grant: &QuotaGrant) {
        let ready = CachedToken { usable_from: now, expires_at: sent_at.plus(grant.token_ttl) };
        self.tokens.extend((0..grant.ready).map(|_| ready));
        let reserved = (0..grant.reserved).map(|it| {
            let wait = grant.first_wait + grant.spacing * it;
            CachedToken {
                usable_from: now.plus(wait),
                expires_at: sent_at.plus(wait + grant.token_ttl),
            }
        });
        self.tokens.extend(reserved);
    }

    fn record_grant(&mut self, now: TimePoint, request: &PendingRequest, grant: &QuotaGrant) {
        if grant.ready + grant.reserved < request.n_waiting + request.n_prefetch {
            self.prefetch_from = now.plus(MIN_EMPTY_COOLDOWN);
        }
        let Some(share) = self.shares.get_mut(usize::from(grant.share)) else { return };
        share.backoff = Duration::ZERO;
        share.backoff_until = TimePoint::ORIGIN;
        if let Some(retry_after) = grant.retry_after {
            share.empty_until = now.plus(retry_after.max(MIN_EMPTY_COOLDOWN));
        }
    }

    fn back_off(&mut self, now: TimePoint, share: u8, options: &QuotaOptions) {
        let Some(share) = self.shares.get_mut(usize::from(share)) else { return };
        share.backoff = (share.backoff * 2).clamp(options.min_backoff, options.max_backoff);
        share.backoff_until = now.plus(share.backoff);
    }

    /// Marks requests without a timely response as lost. They stay pending until their tokens would have expired.
    fn mark_lost_requests(&mut self, now: TimePoint, options: &QuotaOptions) {
        let mut lost_shares = Vec::new();
        for request in &mut self.pending {
            if !request.is_lost && options.request_timeout <= now.since(request.sent_at) {
                request.is_lost = true;
                lost_shares.push(request.share);
            }
        }
        for share in lost_shares {
            self.back_off(now, share, options);
        }
        let max_age = options.max_token_ttl * 2;
        self.pending.retain(|it| now.since(it.sent_at) < max_age);
    }

    /// Requests the tokens that neither the cache nor a pending request covers. Waiting calls that no share can serve
    /// are refused, newest first.
    fn request_missing_tokens(
        &mut self,
        now: TimePoint,
        serial: &mut u64,
        out: &mut Vec<QuotaEffect>,
    ) {
        let pending = self.pending.iter().filter(|it| !it.is_lost);
        let n_requested: u32 = pending.map(|it| it.n_waiting + it.n_prefetch).sum();
        let n_waiting = self.waiting.len() as u32;
        let n_covered = self.tokens.len() as u32 + n_requested;
        let uncovered = n_waiting.saturating_sub(n_covered);
        let (prefetch, spare) = self.prefetch_counts(now, n_covered.saturating_sub(n_waiting));
        if 0 < uncovered && !self.has_available_share(now) {
            return self.refuse_newest(now, uncovered, out);
        }
        let shares = self.select_shares(now, uncovered);
        // The waiting calls are divided among the shares, so that each share first grants its immediate tokens.
        let n_shares = shares.len() as u32;
        for (idx, share) in (0..).zip(shares) {
            let waiting = uncovered / n_shares + u32::from(idx < uncovered % n_shares);
            let (prefetch, spare) = if idx == 0 { (prefetch, spare) } else { (0, 0) };
            if 0 < waiting + prefetch + spare {
                *serial = serial.wrapping_add(1);
                let account = self.name.clone();
                let request =
                    QuotaRequest { account, share, serial: *serial, waiting, prefetch, spare };
                self.send_request(now, request, out);
            }
        }
    }

    fn send_request(&mut self, now: TimePoint, request: QuotaRequest, out: &mut Vec<QuotaEffect>) {
        self.pending.push(PendingRequest {
            share: request.share,
            serial: request.serial,
            sent_at: now,
            n_waiting: request.waiting,
            n_prefetch: request.prefetch + request.spare,
            is_lost: false,
        });
        self.next_share = (usize::from(request.share) + 1) % self.shares.len();
        out.push(QuotaEffect::SendRequest { share: request.share, request });
    }

    /// Returns how many tokens to prefetch at any level of the owner's bucket, and how many only if the owner has
    /// tokens to spare.
    fn prefetch_counts(&self, now: TimePoint, n_surplus: u32) -> (u32, u32) {
        let Some(plan) = self.plan.as_ref().filter(|_| self.prefetch_from <= now) else {
            return (0, 0);
        };
        let demand = self.demand.rate_per_s(now);
        let demand_per_ttl = demand * plan.token_ttl().as_secs_f64();
        let horizon_s = PREFETCH_HORIZON.as_secs_f64().min(plan.token_ttl().as_secs_f64() / 2.0);
        let target = (demand * horizon_s).ceil() as u32;
        match demand_per_ttl {
            // Prefetches only once the surplus has fallen to half of the target, so that a request covers several
            // tokens.
            it if PREFETCH_DEMAND <= it && n_surplus <= target / 2 => (target - n_surplus, 0),
            it if PREFETCH_DEMAND <= it => (0, 0),
            // Requesting more at a time would keep the bucket below the level at which an owner has tokens to spare.
            it if SPARE_PREFETCH_DEMAND <= it && n_surplus == 0 => (0, target.max(1)),
            _ => (0, 0),
        }
    }

    /// Returns whether some share may have tokens: it is not empty, and not in backoff unless all shares are.
    fn has_available_share(&self, now: TimePoint) -> bool {
        (0..self.shares.len()).any(|it| self.is_available(now, it))
    }

    fn is_available(&self, now: TimePoint, idx: usize) -> bool {
        let all_backed_off = self.shares.iter().all(|it| now < it.backoff_until);
        let share = &self.shares[idx];
        share.empty_until <= now && (all_backed_off || share.backoff_until <= now)
    }

    /// Returns up to `n_wanted`, and up to one if it is zero, of the available shares in round-robin order. Shares with
    /// a pending request are skipped; further demand goes into their next request.
    fn select_shares(&self, now: TimePoint, n_wanted: u32) -> Vec<u8> {
        let n_shares = self.shares.len();
        let order = (0..n_shares).map(|it| (self.next_share + it) % n_shares);
        let has_pending =
            |idx: usize| self.pending.iter().any(|it| usize::from(it.share) == idx && !it.is_lost);
        let available = order.filter(|it| !has_pending(*it) && self.is_available(now, *it));
        available.take(n_wanted.max(1) as usize).map(|it| it as u8).collect()
    }

    fn refuse_newest(&mut self, now: TimePoint, n_calls: u32, out: &mut Vec<QuotaEffect>) {
        let retry_after = self.retry_after(now);
        for _ in 0..n_calls {
            let Some(newest) = self.waiting.pop_back() else { return };
            out.push(QuotaEffect::Refuse { call: newest.call, retry_after });
        }
    }

    /// Returns the time until a request can be sent to a share again.
    fn retry_after(&self, now: TimePoint) -> Duration {
        let available_at = self.shares.iter().map(|it| it.empty_until.max(it.backoff_until)).min();
        available_at.map_or(MIN_EMPTY_COOLDOWN, |it| it.since(now)).max(MIN_EMPTY_COOLDOWN)
    }
}
