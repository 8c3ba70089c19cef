//! Stashes and homes of one account, joined by a queue in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap};

use ivytrail::{
    id::{AccountName, CallId},
    quota::{
        MAX_SHARES, QuotaEffect, QuotaGrant, QuotaOptions, QuotaOwner, QuotaRequest, QuotaVerdict,
        TokenCache,
    },
    time::TimePoint,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{DEATH_US, QuotaCase, RunOutcome};

enum DriverEvent {
    Request(usize),
    Ask(usize, QuotaRequest),
    Grant(usize, QuotaGrant),
    Tick(usize),
    Takeover,
}

pub struct QuotaDriver<'a> {
    case: &'a QuotaCase,
    account: AccountName,
    rng: StdRng,
    events: Vec<Option<DriverEvent>>,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    stashes: Vec<TokenCache>,
    ticks: Vec<u64>,
    homes: Vec<QuotaOwner>,
    sent_at: Vec<u64>,
    outcome: RunOutcome,
}

impl QuotaDriver<'_> {
    pub fn new<'a>(case: &'a QuotaCase, requests: &[(u64, usize)], seed: u64) -> QuotaDriver<'a> {
        let options = QuotaOptions::default();
        let mut driver = QuotaDriver {
            case,
            account: AccountName::from("meteo"),
            rng: StdRng::seed_from_u64(seed),
            events: Vec::new(),
            queue: BinaryHeap::new(),
            stashes: (0..case.n_entries)
                .map(|it| TokenCache::new(options.clone(), seed + it as u64))
                .collect(),
            ticks: vec![0; case.n_entries],
            homes: (0..MAX_SHARES).map(|_| QuotaOwner::new(options.clone())).collect(),
            sent_at: Vec::new(),
            outcome: RunOutcome { n_sent: requests.len(), ..RunOutcome::default() },
        };
        for (share, home) in (0..MAX_SHARES).zip(&mut driver.homes) {
            home.set_account(TimePoint::ORIGIN, &driver.account, case.rate, case.burst);
            home.renew(TimePoint::ORIGIN, TimePoint::from_micros(u64::MAX));
            home.acquire_share(TimePoint::ORIGIN, &driver.account, share);
        }
        for stash in &mut driver.stashes {
            stash.set_account(TimePoint::ORIGIN, &driver.account, case.rate, case.burst);
        }
        driver.push(DEATH_US + case.death_us, DriverEvent::Takeover);
        requests
            .iter()
            .for_each(|(at_us, entry)| driver.push(*at_us, DriverEvent::Request(*entry)));
        driver
    }

    pub fn run(mut self) -> RunOutcome {
        while let Some(Reverse((at_us, idx))) = self.queue.pop() {
            let event = self.events[idx].take();
            event.into_iter().for_each(|it| self.handle(at_us, it));
        }
        self.outcome.n_lapsed = self.stashes.iter().map(|it| it.n_expired(&self.account)).sum();
        self.outcome
    }

    fn handle(&mut self, at_us: u64, event: DriverEvent) {
        let now = TimePoint::from_micros(at_us);
        let mut out = Vec::new();
        let entry = match event {
            DriverEvent::Request(entry) => {
                let call = CallId(self.sent_at.len() as u64);
                self.sent_at.push(at_us);
                match self.stashes[entry].acquire(now, &self.account, call, &mut out) {
                    QuotaVerdict::Granted => self.admit(at_us, call),
                    QuotaVerdict::Refused { .. } => self.outcome.n_refused += 1,
                    QuotaVerdict::Waiting => {}
                }
                entry
            }
            DriverEvent::Ask(entry, ask) => {
                let is_dead = (DEATH_US..DEATH_US + self.case.death_us).contains(&at_us);
                if !(is_dead && ask.share == 0) {
                    let grant = self.homes[usize::from(ask.share)].grant_tokens(
                        now,
                        TimePoint::from_micros(u64::MAX),
                        &ask,
                    );
                    let due_us = at_us + delay_us(&mut self.rng);
                    self.outcome.n_bytes += rmp_serde::to_vec(&grant).map_or(0, |it| it.len());
                    self.push(due_us, DriverEvent::Grant(entry, grant));
                }
                return;
            }
            DriverEvent::Grant(entry, grant) => {
                self.stashes[entry].apply_grant(now, &grant, &mut out);
                entry
            }
            DriverEvent::Tick(entry) => {
                self.stashes[entry].tick(now, &mut out);
                entry
            }
            DriverEvent::Takeover => {
                if 0 < self.case.death_us {
                    self.homes[0].release_share(&self.account, 0);
                    self.homes[0].acquire_share(now, &self.account, 0);
                }
                return;
            }
        };
        self.take_effects(at_us, entry, out);
    }

    fn take_effects(&mut self, at_us: u64, entry: usize, effects: Vec<QuotaEffect>) {
        for effect in effects {
            match effect {
                QuotaEffect::Admit { call } => self.admit(at_us, call),
                QuotaEffect::Refuse { .. } => self.outcome.n_refused += 1,
                QuotaEffect::SendRequest { request: ask, .. } => {
                    self.outcome.n_asks += 1;
                    self.outcome.n_bytes += rmp_serde::to_vec(&ask).map_or(0, |it| it.len());
                    let due_us = at_us + delay_us(&mut self.rng);
                    self.push(due_us, DriverEvent::Ask(entry, ask));
                }
            }
        }
        let Some(due) = self.stashes[entry].next_due() else { return };
        let due_us = due.as_micros().max(at_us + 1);
        if due_us < self.ticks[entry] || self.ticks[entry] <= at_us {
            self.ticks[entry] = due_us;
            self.push(due_us, DriverEvent::Tick(entry));
        }
    }

    fn admit(&mut self, at_us: u64, call: CallId) {
        self.outcome.uses.push(at_us);
        self.outcome.waits_us.push(at_us - self.sent_at[call.0 as usize]);
    }

    fn push(&mut self, at_us: u64, event: DriverEvent) {
        self.queue.push(Reverse((at_us, self.events.len())));
        self.events.push(Some(event));
    }
}

/// One way between two daemons, in the same failure domain or another.
pub fn delay_us(rng: &mut StdRng) -> u64 {
    if rng.random_range(0..3) == 0 {
        rng.random_range(100..300)
    } else {
        rng.random_range(1_500..1_800)
    }
}
