//! One account at an entry: its tokens, its waiting requests, its open asks.

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

/// Time for which a share that had nothing is not asked again, at least.
const MIN_DRY_TIME: Duration = Duration::from_millis(20);

/// Requests expected within a hold time from which on tokens are asked for ahead at any level of the bucket: hardly
/// any of them lapses then.
const SURE_DEMAND: f64 = 8.0;

/// Requests expected within a hold time from which on spare tokens are asked for.
const SPARE_DEMAND: f64 = 0.5;

/// Time for which tokens are asked ahead: the way to a home and back, with some margin.
const AHEAD_TIME: Duration = Duration::from_millis(8);

/// Resolution of time points.
const CLOCK_STEP: Duration = Duration::from_micros(1);

/// A token and the time within which it may be used.
#[derive(Clone, Copy, Debug)]
struct HeldToken {
    from: TimePoint,
    until: TimePoint,
}

/// A token that was spent on a call and may come back while it would not be void yet.
#[derive(Clone, Copy, Debug)]
struct SpentToken {
    call: CallId,
    until: TimePoint,
}

/// A request that waits for a token.
#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    call: CallId,
    deadline: TimePoint,
}

/// An ask that has not been answered.
#[derive(Clone, Debug)]
struct OpenAsk {
    share: u8,
    serial: u64,
    sent_at: TimePoint,
    n_waiting: u32,
    n_ahead: u32,
    is_lost: bool,
}

/// What an entry knows of one share's home.
#[derive(Clone, Debug, Default)]
struct ShareState {
    /// The home has nothing to promise before this moment.
    dry_until: TimePoint,
    /// The home did not answer; it is asked again after this moment.
    avoid_until: TimePoint,
    backoff: Duration,
}

/// One account at an entry.
#[derive(Debug)]
pub(crate) struct StashAccount {
    name: AccountName,
    plan: Option<QuotaPlan>,
    shares: Vec<ShareState>,
    next_share: usize,
    tokens: Vec<HeldToken>,
    /// Tokens that may still be taken back.
    spent: VecDeque<SpentToken>,
    waiting: VecDeque<WaitingCall>,
    asks: Vec<OpenAsk>,
    demand: DemandMeter,
    /// No tokens are asked ahead before this moment, because a home had none to spare.
    ahead_at: TimePoint,
    n_expired: u64,
}

impl StashAccount {
    pub(crate) fn new(name: AccountName) -> StashAccount {
        StashAccount {
            name,
            plan: None,
            shares: Vec::new(),
            next_share: 0,
            tokens: Vec::new(),
            spent: VecDeque::new(),
            waiting: VecDeque::new(),
            asks: Vec::new(),
            demand: DemandMeter::default(),
            ahead_at: TimePoint::ORIGIN,
            n_expired: 0,
        }
    }

    pub(crate) fn set_plan(&mut self, now: TimePoint, plan: Option<QuotaPlan>, rng: &mut StdRng) {
        self.drop_void(now);
        let n_shares = plan.as_ref().map_or(0, |it| usize::from(it.n_shares()));
        if self.shares.len() != n_shares {
            self.shares = vec![ShareState::default(); n_shares];
            self.next_share = if n_shares == 0 { 0 } else { rng.random_range(0..n_shares) };
        }
        self.plan = plan;
    }

    /// Returns whether there is nothing to do for this account before the next request.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty()
            && self.asks.is_empty()
            && self.tokens.is_empty()
            && self.spent.is_empty()
    }

    /// Returns the number of tokens that became void unused.
    pub(crate) fn n_expired(&self) -> u64 {
        self.n_expired
    }

    /// Takes a request; see [`TokenCache::acquire`](super::TokenCache::acquire).
    pub(crate) fn acquire(
        &mut self,
        now: TimePoint,
        call: CallId,
        serial: &mut u64,
        out: &mut Vec<QuotaEffect>,
    ) -> QuotaVerdict {
        let Some(plan) = &self.plan else {
            return QuotaVerdict::Refused { retry_after: super::token_cache::NO_QUOTA_RETRY };
        };
        let deadline = now.plus(plan.max_wait());
        self.demand.count(now);
        self.drop_void(now);
        let spent = if self.waiting.is_empty() { self.spend(now) } else { None };
        let verdict = match spent {
            Some(until) => {
                self.spent.push_back(SpentToken { call, until });
                QuotaVerdict::Granted
            }
            None => {
                self.waiting.push_back(WaitingCall { call, deadline });
                QuotaVerdict::Waiting
            }
        };
        let n_before = out.len();
        self.ask_for_needs(now, serial, out);
        // The newest request is refused first, so a refusal here is for this very call.
        match out.get(n_before) {
            Some(QuotaEffect::Refuse { call: refused, retry_after }) if *refused == call => {
                let retry_after = *retry_after;
                out.remove(n_before);
                QuotaVerdict::Refused { retry_after }
            }
            _ => verdict,
        }
    }

    /// Takes a home's answer. An answer to an ask that is not open is ignored: tokens count once.
    pub(crate) fn apply_grant(
        &mut self,
        now: TimePoint,
        grant: &QuotaGrant,
        options: &QuotaOptions,
        serial: &mut u64,
        out: &mut Vec<QuotaEffect>,
    ) {
        let open =
            self.asks.iter().position(|it| it.serial == grant.serial && it.share == grant.share);
        let Some(ask) = open.map(|it| self.asks.swap_remove(it)) else { return };
        if grant.is_owner {
            self.note_answer(now, &ask, grant);
            self.hold_tokens(now, ask.sent_at, grant);
        } else if !ask.is_lost {
            self.avoid(now, grant.share, options);
        }
        self.settle(now, serial, out);
    }

    /// Notes that an ask could not be delivered.
    pub(crate) fn handle_failed_request(
        &mut self,
        now: TimePoint,
        ask: &QuotaRequest,
        options: &QuotaOptions,
        serial: &mut u64,
        out: &mut Vec<QuotaEffect>,
    ) {
        let open = self.asks.iter().position(|it| it.serial == ask.serial && it.share == ask.share);
        let Some(ask) = open.map(|it| self.asks.swap_remove(it)) else { return };
        if !ask.is_lost {
            self.avoid(now, ask.share, options);
        }
        self.settle(now, serial, out);
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
        self.note_lost_asks(now, options);
        self.settle(now, serial, out);
        while let Some(late) = self.waiting.pop_front_if(|it| it.deadline <= now) {
            let retry_after = self.retry_after(now);
            out.push(QuotaEffect::Refuse { call: late.call, retry_after });
        }
    }

    /// Returns when something is due.
    pub(crate) fn next_due(&self, options: &QuotaOptions) -> Option<TimePoint> {
        let deadline = self.waiting.front().map(|it| it.deadline);
        let ready = self.tokens.iter().map(|it| it.from).min().filter(|_| !self.waiting.is_empty());
        let unanswered = self.asks.iter().filter(|it| !it.is_lost);
        let lost = unanswered.map(|it| it.sent_at.plus(options.request_timeout)).min();
        let void = self.tokens.iter().map(|it| it.until.plus(CLOCK_STEP)).min();
        [deadline, ready, lost, void].into_iter().flatten().min()
    }

    /// Hands tokens to waiting requests and asks for what is missing.
    fn settle(&mut self, now: TimePoint, serial: &mut u64, out: &mut Vec<QuotaEffect>) {
        self.drop_void(now);
        while !self.waiting.is_empty()
            && let Some(until) = self.spend(now)
        {
            let Some(served) = self.waiting.pop_front() else { break };
            self.spent.push_back(SpentToken { call: served.call, until });
            out.push(QuotaEffect::Admit { call: served.call });
        }
        self.ask_for_needs(now, serial, out);
    }

    /// Takes back the token of a call that has not run. It stays usable only until the time at which it was to become
    /// void, so the bound on the uses of any window holds as before.
    pub(crate) fn return_token(&mut self, now: TimePoint, call: CallId) {
        let spent = self.spent.iter().position(|it| it.call == call);
        let token = spent.and_then(|idx| self.spent.remove(idx));
        if let Some(token) = token.filter(|it| now <= it.until) {
            self.tokens.push(HeldToken { from: now, until: token.until });
        }
    }

    /// Spends the usable token that becomes void first, and returns when it would have become void.
    fn spend(&mut self, now: TimePoint) -> Option<TimePoint> {
        let usable =
            self.tokens.iter().enumerate().filter(|(_, it)| it.from <= now && now <= it.until);
        let first = usable.min_by_key(|(_, it)| it.until).map(|(idx, _)| idx);
        first.map(|idx| self.tokens.swap_remove(idx).until)
    }

    fn drop_void(&mut self, now: TimePoint) {
        let n_before = self.tokens.len();
        self.tokens.retain(|it| now <= it.until);
        self.spent.retain(|it| now <= it.until);
        self.n_expired += (n_before - self.tokens.len()) as u64;
    }

    fn hold_tokens(&mut self, now: TimePoint, sent_at: TimePoint, grant: &QuotaGrant) {
        let ready = HeldToken { from: now, until: sent_at.plus(grant.token_ttl) };
        self.tokens.extend((0..grant.ready).map(|_| ready));
        let later = (0..grant.later).map(|it| {
            let wait = grant.first_wait + grant.spacing * it;
            HeldToken { from: now.plus(wait), until: sent_at.plus(wait + grant.token_ttl) }
        });
        self.tokens.extend(later);
    }

    fn note_answer(&mut self, now: TimePoint, ask: &OpenAsk, grant: &QuotaGrant) {
        if grant.ready + grant.later < ask.n_waiting + ask.n_ahead {
            self.ahead_at = now.plus(MIN_DRY_TIME);
        }
        let Some(share) = self.shares.get_mut(usize::from(grant.share)) else { return };
        share.backoff = Duration::ZERO;
        share.avoid_until = TimePoint::ORIGIN;
        if let Some(retry_after) = grant.retry_after {
            share.dry_until = now.plus(retry_after.max(MIN_DRY_TIME));
        }
    }

    fn avoid(&mut self, now: TimePoint, share: u8, options: &QuotaOptions) {
        let Some(share) = self.shares.get_mut(usize::from(share)) else { return };
        share.backoff = (share.backoff * 2).clamp(options.min_backoff, options.max_backoff);
        share.avoid_until = now.plus(share.backoff);
    }

    /// Gives up on asks that were not answered in time. They stay open until their tokens would be void.
    fn note_lost_asks(&mut self, now: TimePoint, options: &QuotaOptions) {
        let mut lost_shares = Vec::new();
        for ask in &mut self.asks {
            if !ask.is_lost && options.request_timeout <= now.since(ask.sent_at) {
                ask.is_lost = true;
                lost_shares.push(ask.share);
            }
        }
        for share in lost_shares {
            self.avoid(now, share, options);
        }
        let longest = options.max_token_ttl * 2;
        self.asks.retain(|it| now.since(it.sent_at) < longest);
    }

    /// Asks for the tokens that neither the stash nor an open ask covers. Waiting requests that no share can serve are
    /// refused, the newest first.
    fn ask_for_needs(&mut self, now: TimePoint, serial: &mut u64, out: &mut Vec<QuotaEffect>) {
        let open = self.asks.iter().filter(|it| !it.is_lost);
        let n_asked: u32 = open.map(|it| it.n_waiting + it.n_ahead).sum();
        let n_waiting = self.waiting.len() as u32;
        let n_covered = self.tokens.len() as u32 + n_asked;
        let uncovered = n_waiting.saturating_sub(n_covered);
        let (ahead, spare) = self.wanted_ahead(now, n_covered.saturating_sub(n_waiting));
        if 0 < uncovered && !self.has_hope(now) {
            return self.refuse_newest(now, uncovered, out);
        }
        let shares = self.pick_shares(now, uncovered);
        // Waiting requests are divided among the shares, so that each gives of its ready tokens first.
        let n_shares = shares.len() as u32;
        for (idx, share) in (0..).zip(shares) {
            let waiting = uncovered / n_shares + u32::from(idx < uncovered % n_shares);
            let (ahead, spare) = if idx == 0 { (ahead, spare) } else { (0, 0) };
            if 0 < waiting + ahead + spare {
                *serial = serial.wrapping_add(1);
                let account = self.name.clone();
                let ask = QuotaRequest {
                    account,
                    share,
                    serial: *serial,
                    waiting,
                    prefetch: ahead,
                    spare,
                };
                self.send_ask(now, ask, out);
            }
        }
    }

    fn send_ask(&mut self, now: TimePoint, ask: QuotaRequest, out: &mut Vec<QuotaEffect>) {
        self.asks.push(OpenAsk {
            share: ask.share,
            serial: ask.serial,
            sent_at: now,
            n_waiting: ask.waiting,
            n_ahead: ask.prefetch + ask.spare,
            is_lost: false,
        });
        self.next_share = (usize::from(ask.share) + 1) % self.shares.len();
        out.push(QuotaEffect::SendRequest { share: ask.share, request: ask });
    }

    /// Returns how many tokens to ask for ahead at any level, and how many only where there is plenty.
    fn wanted_ahead(&self, now: TimePoint, stock: u32) -> (u32, u32) {
        let Some(plan) = self.plan.as_ref().filter(|_| self.ahead_at <= now) else { return (0, 0) };
        let demand = self.demand.rate_per_s(now);
        let per_hold = demand * plan.token_ttl().as_secs_f64();
        let ahead_s = AHEAD_TIME.as_secs_f64().min(plan.token_ttl().as_secs_f64() / 2.0);
        let target = (demand * ahead_s).ceil() as u32;
        match per_hold {
            // Half of the target is left before the next ask, so that an ask carries several tokens.
            it if SURE_DEMAND <= it && stock <= target / 2 => (target - stock, 0),
            it if SURE_DEMAND <= it => (0, 0),
            // More than one at a time keeps the bucket below the level at which a home has tokens to spare.
            it if SPARE_DEMAND <= it && stock == 0 => (0, target.max(1)),
            _ => (0, 0),
        }
    }

    /// Returns whether some share may still give tokens: it is not dry, and not avoided unless all are.
    fn has_hope(&self, now: TimePoint) -> bool {
        (0..self.shares.len()).any(|it| self.may_give(now, it))
    }

    fn may_give(&self, now: TimePoint, idx: usize) -> bool {
        let all_avoided = self.shares.iter().all(|it| now < it.avoid_until);
        let share = &self.shares[idx];
        share.dry_until <= now && (all_avoided || share.avoid_until <= now)
    }

    /// Returns up to `n_wanted`, but at least one, of the shares that can be asked now, in turn. A share with an open
    /// ask is left out: the needs of the meantime go into the next ask.
    fn pick_shares(&self, now: TimePoint, n_wanted: u32) -> Vec<u8> {
        let n_shares = self.shares.len();
        let order = (0..n_shares).map(|it| (self.next_share + it) % n_shares);
        let is_asked =
            |idx: usize| self.asks.iter().any(|it| usize::from(it.share) == idx && !it.is_lost);
        let free = order.filter(|it| !is_asked(*it) && self.may_give(now, *it));
        free.take(n_wanted.max(1) as usize).map(|it| it as u8).collect()
    }

    fn refuse_newest(&mut self, now: TimePoint, n_calls: u32, out: &mut Vec<QuotaEffect>) {
        let retry_after = self.retry_after(now);
        for _ in 0..n_calls {
            let Some(newest) = self.waiting.pop_back() else { return };
            out.push(QuotaEffect::Refuse { call: newest.call, retry_after });
        }
    }

    /// Returns the time until a share can be asked again.
    fn retry_after(&self, now: TimePoint) -> Duration {
        let open_at = self.shares.iter().map(|it| it.dry_until.max(it.avoid_until)).min();
        open_at.map_or(MIN_DRY_TIME, |it| it.since(now)).max(MIN_DRY_TIME)
    }
}
