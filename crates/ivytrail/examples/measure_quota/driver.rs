//! Discrete-event simulation of one account's token caches and quota owners.

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

use super::{OUTAGE_START_US, QuotaCase, RunResult};

enum DriverEvent {
    /// A caller's request arrives at an entry.
    CallArrived(usize),
    /// An entry's request for tokens arrives at the owner of the share.
    TokensRequested(usize, QuotaRequest),
    /// An owner's response arrives at the entry.
    TokensGranted(usize, QuotaGrant),
    Tick(usize),
    /// A new owner takes over share 0 without the state of the failed one.
    OwnerReplaced,
}

pub struct QuotaDriver<'a> {
    case: &'a QuotaCase,
    account: AccountName,
    rng: StdRng,
    events: Vec<Option<DriverEvent>>,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    caches: Vec<TokenCache>,
    /// Time of each entry's next tick.
    scheduled_ticks_us: Vec<u64>,
    owners: Vec<QuotaOwner>,
    /// Arrival time of each call, by call id.
    arrived_us: Vec<u64>,
    result: RunResult,
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
            caches: (0..case.n_entries)
                .map(|it| TokenCache::new(options.clone(), seed + it as u64))
                .collect(),
            scheduled_ticks_us: vec![0; case.n_entries],
            owners: (0..MAX_SHARES).map(|_| QuotaOwner::new(options.clone())).collect(),
            arrived_us: Vec::new(),
            result: RunResult { n_sent: requests.len(), ..RunResult::default() },
        };
        for (share, owner) in (0..MAX_SHARES).zip(&mut driver.owners) {
            owner.set_account(TimePoint::ORIGIN, &driver.account, case.rate, case.burst);
            owner.renew(TimePoint::ORIGIN, TimePoint::from_micros(u64::MAX));
            owner.acquire_share(TimePoint::ORIGIN, &driver.account, share);
        }
        for cache in &mut driver.caches {
            cache.set_account(TimePoint::ORIGIN, &driver.account, case.rate, case.burst);
        }
        driver.schedule(OUTAGE_START_US + case.owner_outage_us, DriverEvent::OwnerReplaced);
        requests
            .iter()
            .for_each(|(at_us, entry)| driver.schedule(*at_us, DriverEvent::CallArrived(*entry)));
        driver
    }

    pub fn run(mut self) -> RunResult {
        while let Some(Reverse((at_us, idx))) = self.queue.pop() {
            let event = self.events[idx].take();
            event.into_iter().for_each(|it| self.handle(at_us, it));
        }
        self.result.n_expired = self.caches.iter().map(|it| it.n_expired(&self.account)).sum();
        self.result
    }

    fn handle(&mut self, at_us: u64, event: DriverEvent) {
        let now = TimePoint::from_micros(at_us);
        let mut out = Vec::new();
        let entry = match event {
            DriverEvent::CallArrived(entry) => {
                let call = CallId(self.arrived_us.len() as u64);
                self.arrived_us.push(at_us);
                match self.caches[entry].acquire(now, &self.account, call, &mut out) {
                    QuotaVerdict::Granted => self.record_admission(at_us, call),
                    QuotaVerdict::Refused { .. } => self.result.n_refused += 1,
                    QuotaVerdict::Waiting => {}
                }
                entry
            }
            DriverEvent::TokensRequested(entry, ask) => {
                let is_down =
                    (OUTAGE_START_US..OUTAGE_START_US + self.case.owner_outage_us).contains(&at_us);
                if !(is_down && ask.share == 0) {
                    let grant = self.owners[usize::from(ask.share)].grant_tokens(
                        now,
                        TimePoint::from_micros(u64::MAX),
                        &ask,
                    );
                    let due_us = at_us + random_delay_us(&mut self.rng);
                    self.result.n_bytes += rmp_serde::to_vec(&grant).map_or(0, |it| it.len());
                    self.schedule(due_us, DriverEvent::TokensGranted(entry, grant));
                }
                return;
            }
            DriverEvent::TokensGranted(entry, grant) => {
                self.caches[entry].apply_grant(now, &grant, &mut out);
                entry
            }
            DriverEvent::Tick(entry) => {
                self.caches[entry].tick(now, &mut out);
                entry
            }
            DriverEvent::OwnerReplaced => {
                if 0 < self.case.owner_outage_us {
                    self.owners[0].release_share(&self.account, 0);
                    self.owners[0].acquire_share(now, &self.account, 0);
                }
                return;
            }
        };
        self.apply_effects(at_us, entry, out);
    }

    fn apply_effects(&mut self, at_us: u64, entry: usize, effects: Vec<QuotaEffect>) {
        for effect in effects {
            match effect {
                QuotaEffect::Admit { call } => self.record_admission(at_us, call),
                QuotaEffect::Refuse { .. } => self.result.n_refused += 1,
                QuotaEffect::SendRequest { request, .. } => {
                    self.result.n_token_requests += 1;
                    self.result.n_bytes += rmp_serde::to_vec(&request).map_or(0, |it| it.len());
                    let due_us = at_us + random_delay_us(&mut self.rng);
                    self.schedule(due_us, DriverEvent::TokensRequested(entry, request));
                }
            }
        }
        let Some(due) = self.caches[entry].next_due() else { return };
        let due_us = due.as_micros().max(at_us + 1);
        if due_us < self.scheduled_ticks_us[entry] || self.scheduled_ticks_us[entry] <= at_us {
            self.scheduled_ticks_us[entry] = due_us;
            self.schedule(due_us, DriverEvent::Tick(entry));
        }
    }

    fn record_admission(&mut self, at_us: u64, call: CallId) {
        self.result.admitted_us.push(at_us);
        self.result.waits_us.push(at_us - self.arrived_us[call.0 as usize]);
    }

    fn schedule(&mut self, at_us: u64, event: DriverEvent) {
        self.queue.push(Reverse((at_us, self.events.len())));
        self.events.push(Some(event));
    }
}

/// Returns a random one-way delay between two daemons, which share a failure domain with probability 1/3.
pub fn random_delay_us(rng: &mut StdRng) -> u64 {
    if rng.random_range(0..3) == 0 {
        rng.random_range(100..300)
    } else {
        rng.random_range(1_500..1_800)
    }
}
