//! Simulates entries and quota owners in true time, with a queue that delays, drops, duplicates and reorders messages.

use std::{cmp::Reverse, collections::BinaryHeap};

use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::super::*;
use crate::{id::CallId, time::TimePoint};

const LEASE_US: u64 = 1_000_000;
/// True time by which all pauses have ended, in microseconds.
const PAUSES_END_US: u64 = 12_000_000;
const RING_INTERVAL_US: u64 = 100_000;

/// A deliberate fault, which shows that the check can fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FleetFault {
    None,
    /// A share gets a second owner before the lease of the first one has ended.
    DoubleOwner,
    /// The TTL of tokens is much longer than the plan allows.
    LongTtl,
}

#[derive(Clone, Debug)]
pub struct FleetCase {
    pub rate: u32,
    pub burst: u32,
    pub n_entries: usize,
    pub n_owners: usize,
    pub max_delay_us: u64,
    pub drop_percent: u32,
    pub duplicate_percent: u32,
    /// Duration in microseconds, and calls per second at each entry.
    pub phases: Vec<(u64, u32)>,
    /// Node index, start and duration in microseconds; entries are numbered before owners.
    pub pauses: Vec<(usize, u64, u64)>,
    pub seed: u64,
    pub fault: FleetFault,
}

prop_compose! {
    pub fn cases()(
        rate in prop_oneof![1u32..20, 20u32..500, 500u32..3_000],
        burst in prop_oneof![1u32..6, 6u32..400],
        n_entries in 1usize..5,
        n_owners in 1usize..5,
        max_delay_us in prop_oneof![100u64..4_000, 4_000u64..150_000],
        drop_percent in 0u32..30,
        duplicate_percent in 0u32..30,
        phases in prop::collection::vec((50_000u64..1_500_000, 0u32..12), 1..6),
        pauses in prop::collection::vec((0usize..9, 0u64..5_000_000, 1_000u64..3_000_000), 0..5),
        seed in any::<u64>(),
    ) -> FleetCase {
        let load = |it: u32| it * (rate / n_entries as u32 + 1) / 2;
        let phases = phases.into_iter().map(|(span, it)| (span, load(it))).collect();
        FleetCase {
            rate, burst, n_entries, n_owners, max_delay_us, drop_percent, duplicate_percent, phases, pauses, seed,
            fault: FleetFault::None,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Arrival(usize),
    TokenRequest(usize, usize, Unordered<QuotaRequest>),
    Grant(usize, Unordered<QuotaGrant>),
    Tick(usize),
    Ring,
}

/// Makes messages compare as equal, because the queue orders events by time and number only.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Unordered<T>(T);

impl<T: Eq> PartialOrd for Unordered<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T: Eq> Ord for Unordered<T> {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

#[derive(Clone, Copy)]
struct ShareLease {
    owner: usize,
    end_us: u64,
}

pub struct QuotaFleet {
    case: FleetCase,
    account: AccountName,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(u64, u64, FleetEvent)>>,
    n_events: u64,
    entries: Vec<TokenCache>,
    owners: Vec<QuotaOwner>,
    /// Offset in microseconds and drift in parts per million of each node's clock.
    clocks: Vec<(u64, i64)>,
    leases: Vec<ShareLease>,
    /// True time of each entry's next tick, in microseconds.
    ticks: Vec<u64>,
    waiting: std::collections::BTreeSet<CallId>,
    n_calls: u64,
    pub n_refused: u64,
    /// True times of the admitted calls, in microseconds.
    pub uses: Vec<u64>,
}

impl QuotaFleet {
    pub fn new(case: FleetCase) -> QuotaFleet {
        let mut rng = StdRng::seed_from_u64(case.seed);
        let account = AccountName::from("meteo");
        let options = QuotaOptions::default();
        let n_nodes = case.n_entries + case.n_owners;
        let clocks = (0..n_nodes)
            .map(|_| (rng.random_range(0..u64::MAX >> 20), rng.random_range(-200..=200)))
            .collect();
        let entries =
            (0..case.n_entries).map(|_| TokenCache::new(options.clone(), rng.random())).collect();
        let owners = (0..case.n_owners).map(|_| QuotaOwner::new(options.clone())).collect();
        let leases = (0..MAX_SHARES)
            .map(|it| ShareLease { owner: usize::from(it) % case.n_owners, end_us: LEASE_US });
        let mut fleet = QuotaFleet {
            account,
            rng,
            queue: BinaryHeap::new(),
            n_events: 0,
            entries,
            owners,
            clocks,
            leases: leases.collect(),
            ticks: vec![0; case.n_entries],
            waiting: Default::default(),
            n_calls: 0,
            n_refused: 0,
            uses: Vec::new(),
            case,
        };
        fleet.start();
        fleet
    }

    fn start(&mut self) {
        let (rate, burst) = (f64::from(self.case.rate), f64::from(self.case.burst));
        for idx in 0..self.entries.len() {
            let now = self.clock(idx, 0);
            self.entries[idx].set_account(now, &self.account, rate, burst);
        }
        for idx in 0..self.owners.len() {
            let now = self.clock(self.case.n_entries + idx, 0);
            let lease_end = self.clock(self.case.n_entries + idx, LEASE_US);
            self.owners[idx].set_account(now, &self.account, rate, burst);
            self.owners[idx].renew(now, lease_end);
            for share in (0..MAX_SHARES).filter(|it| self.leases[usize::from(*it)].owner == idx) {
                self.owners[idx].acquire_share(now, &self.account, share);
            }
        }
        self.push(RING_INTERVAL_US, FleetEvent::Ring);
        let mut start_us = 0;
        for (span_us, load) in self.case.phases.clone() {
            for entry in 0..self.case.n_entries {
                for _ in 0..u64::from(load) * span_us / 1_000_000 {
                    let at_us = start_us + self.rng.random_range(0..span_us);
                    self.push(at_us, FleetEvent::Arrival(entry));
                }
            }
            start_us += span_us;
        }
    }

    /// Runs all phases, and afterwards until no call can be waiting any more.
    pub fn run(&mut self) {
        let phases_us: u64 = self.case.phases.iter().map(|it| it.0).sum();
        let end_us = phases_us.max(PAUSES_END_US) + 2_000_000;
        while let Some(Reverse((at_us, _, event))) = self.queue.pop() {
            if end_us < at_us {
                break;
            }
            match self.resume_time(&event, at_us) {
                Some(resume_us) => self.push(resume_us, event),
                None => self.handle(at_us, event),
            }
        }
        assert!(self.waiting.is_empty(), "calls without an outcome: {:?}", self.waiting);
    }

    fn handle(&mut self, at_us: u64, event: FleetEvent) {
        let mut out = Vec::new();
        match event {
            FleetEvent::Arrival(entry) => {
                let call = CallId(self.n_calls);
                self.n_calls += 1;
                let now = self.clock(entry, at_us);
                match self.entries[entry].acquire(now, &self.account, call, &mut out) {
                    QuotaVerdict::Granted => self.uses.push(at_us),
                    QuotaVerdict::Refused { .. } => self.n_refused += 1,
                    QuotaVerdict::Waiting => assert!(self.waiting.insert(call)),
                }
                self.apply_effects(at_us, entry, out);
            }
            FleetEvent::TokenRequest(entry, recipient, Unordered(request)) => {
                let node = self.case.n_entries + recipient;
                let lease = self.leases[usize::from(request.share)];
                let is_owner =
                    lease.owner == recipient || self.case.fault == FleetFault::DoubleOwner;
                // A former owner only knows the end of its last lease, which has passed.
                let end_us = if is_owner { lease.end_us } else { 0 };
                let (now, lease_end) = (self.clock(node, at_us), self.clock(node, end_us));
                let mut grant = self.owners[recipient].grant_tokens(now, lease_end, &request);
                if self.case.fault == FleetFault::LongTtl {
                    grant.token_ttl *= 50;
                }
                self.send(at_us, || FleetEvent::Grant(entry, Unordered(grant.clone())));
            }
            FleetEvent::Grant(entry, Unordered(grant)) => {
                let now = self.clock(entry, at_us);
                self.entries[entry].apply_grant(now, &grant, &mut out);
                self.apply_effects(at_us, entry, out);
            }
            FleetEvent::Tick(entry) => {
                let now = self.clock(entry, at_us);
                self.entries[entry].tick(now, &mut out);
                self.apply_effects(at_us, entry, out);
            }
            FleetEvent::Ring => self.update_ring(at_us),
        }
    }

    /// Renews the leases of running owners and moves lapsed leases to other owners.
    fn update_ring(&mut self, at_us: u64) {
        self.push(at_us + RING_INTERVAL_US, FleetEvent::Ring);
        for share in 0..MAX_SHARES {
            let lease = self.leases[usize::from(share)];
            let is_paused = self.pause_end(self.case.n_entries + lease.owner, at_us).is_some();
            let should_move = match self.case.fault {
                FleetFault::DoubleOwner => at_us.is_multiple_of(1_000_000),
                _ => lease.end_us <= at_us,
            };
            if should_move {
                let owner = (lease.owner + 1) % self.case.n_owners;
                let now = self.clock(self.case.n_entries + owner, at_us);
                let lease_end = self.clock(self.case.n_entries + owner, at_us + LEASE_US);
                self.owners[owner].renew(now, lease_end);
                self.owners[owner].acquire_share(now, &self.account, share);
                self.leases[usize::from(share)] = ShareLease { owner, end_us: at_us + LEASE_US };
            } else if !is_paused {
                let node = self.case.n_entries + lease.owner;
                let (now, lease_end) =
                    (self.clock(node, at_us), self.clock(node, at_us + LEASE_US));
                self.owners[lease.owner].renew(now, lease_end);
                self.leases[usize::from(share)].end_us = at_us + LEASE_US;
            }
        }
    }

    fn apply_effects(&mut self, at_us: u64, entry: usize, effects: Vec<QuotaEffect>) {
        for effect in effects {
            match effect {
                QuotaEffect::Admit { call } => {
                    assert!(self.waiting.remove(&call), "{call} is admitted, but is not waiting");
                    self.uses.push(at_us);
                }
                QuotaEffect::Refuse { call, .. } => {
                    assert!(self.waiting.remove(&call), "{call} is refused, but is not waiting");
                    self.n_refused += 1;
                }
                QuotaEffect::SendRequest { share, request } => {
                    let owner = self.leases[usize::from(share)].owner;
                    let second = (owner + self.case.n_owners - 1) % self.case.n_owners;
                    let is_double = self.case.fault == FleetFault::DoubleOwner && self.rng.random();
                    let recipient = if is_double { second } else { owner };
                    self.send(at_us, || {
                        FleetEvent::TokenRequest(entry, recipient, Unordered(request.clone()))
                    });
                }
            }
        }
        let Some(due) = self.entries[entry].next_due() else { return };
        let due_us = at_us + due.since(self.clock(entry, at_us)).as_micros() as u64 + 1;
        if due_us < self.ticks[entry] || self.ticks[entry] <= at_us {
            self.ticks[entry] = due_us;
            self.push(due_us, FleetEvent::Tick(entry));
        }
    }

    fn send<F>(&mut self, at_us: u64, event: F)
    where
        F: Fn() -> FleetEvent,
    {
        let is_duplicate = self.rng.random_range(0..100) < self.case.duplicate_percent;
        for _ in 0..=usize::from(is_duplicate) {
            if self.case.drop_percent <= self.rng.random_range(0..100) {
                let delay_us = self.rng.random_range(50..50 + self.case.max_delay_us);
                self.push(at_us + delay_us, event());
            }
        }
    }

    fn push(&mut self, at_us: u64, event: FleetEvent) {
        self.n_events += 1;
        self.queue.push(Reverse((at_us, self.n_events, event)));
    }

    fn resume_time(&self, event: &FleetEvent, at_us: u64) -> Option<u64> {
        match event {
            FleetEvent::Arrival(entry) | FleetEvent::Grant(entry, _) | FleetEvent::Tick(entry) => {
                self.pause_end(*entry, at_us)
            }
            FleetEvent::TokenRequest(_, recipient, _) => {
                self.pause_end(self.case.n_entries + recipient, at_us)
            }
            FleetEvent::Ring => None,
        }
    }

    fn pause_end(&self, node: usize, at_us: u64) -> Option<u64> {
        let n_nodes = self.case.n_entries + self.case.n_owners;
        let pauses = self.case.pauses.iter().filter(|it| it.0 % n_nodes == node);
        pauses.filter(|it| it.1 <= at_us && at_us < it.1 + it.2).map(|it| it.1 + it.2).max()
    }

    fn clock(&self, node: usize, at_us: u64) -> TimePoint {
        let (offset_us, drift_ppm) = self.clocks[node];
        let drift_us = i128::from(at_us) * i128::from(drift_ppm) / 1_000_000;
        TimePoint::from_micros((i128::from(offset_us) + i128::from(at_us) + drift_us) as u64)
    }
}

/// Returns by how much the busiest window exceeds the account's limit, in millionths of a request; the limit is met if
/// the result is not positive.
///
/// For calls `i <= j` at `t_i <= t_j`, the limit is `j - i + 1 <= rate * (t_j - t_i) + burst`. The integer arithmetic
/// makes the check exact.
pub fn overrun(uses: &[u64], rate: u32, burst: u32) -> i128 {
    const MILLION: i128 = 1_000_000;
    let mut lowest = i128::MAX;
    let mut worst = i128::MIN;
    for (idx, at_us) in (0i128..).zip(uses) {
        let height = idx * MILLION - i128::from(rate) * i128::from(*at_us);
        lowest = lowest.min(height);
        worst = worst.max(height - lowest + MILLION - i128::from(burst) * MILLION);
    }
    worst
}
