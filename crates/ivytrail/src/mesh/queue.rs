//! Queue in front of one backend server: which attempts run, wait or are refused.
//!
//! No more attempts run than the backend server has slots. Those that wait are ordered by rank, then by the start of
//! their root request, so that chains of calls end in the order in which they began and not all of them late. An
//! attempt whose expected wait is longer than it may wait is refused at once, and one that has waited for as long as it
//! may is refused then: short queues absorb clumps of arrivals, long ones would only add latency.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use derive_more::{Display, From};

use crate::time::TimePoint;

/// Shortest hint of when to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest hint of when to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Weight of the newest run in the mean of run times.
const RUN_TIME_GAIN: f64 = 0.02;
/// Mean time of a run before the first one has ended.
const FIRST_RUN_TIME: Duration = Duration::from_millis(100);
/// Time over which the pressure on the slots is averaged.
const PRESSURE_WINDOW: Duration = Duration::from_millis(500);
/// Time without an attempt of a kind from which on its pressure fades.
const PRESSURE_LULL: Duration = Duration::from_millis(100);

/// Least weight of one attempt in the pressure.
const MIN_PRESSURE_GAIN: f64 = 0.01;
/// Part of the clients' requests' pressure that counts beside that of nested calls.
const ROOT_PRESSURE_PART: f64 = 0.12;

/// Place of an attempt among others that wait for a slot; the lowest is served first.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueRank(pub u8);

impl QueueRank {
    /// Number of ranks for nested calls; those for clients' requests follow.
    const N_NESTED: u8 = 8;

    /// Returns the rank of a call that a running request makes, by the priority of its root. Refusing it wastes what
    /// the root has already used, so it goes before all clients' requests.
    pub fn of_nested(priority: u8) -> QueueRank {
        QueueRank(priority.min(QueueRank::N_NESTED - 1))
    }

    /// Returns the rank of a client's request of a priority.
    pub fn of_root(priority: u8) -> QueueRank {
        QueueRank(priority.saturating_add(QueueRank::N_NESTED))
    }

    /// Returns the priority behind the rank.
    pub fn priority(self) -> u8 {
        if self.is_nested() { self.0 } else { self.0 - QueueRank::N_NESTED }
    }

    /// Returns whether this is the rank of a nested call.
    pub fn is_nested(self) -> bool {
        self.0 < QueueRank::N_NESTED
    }
}

/// An attempt that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest<K> {
    /// The attempt.
    pub key: K,
    /// Its rank.
    pub rank: QueueRank,
    /// When its root request came to the fleet.
    pub root_start: TimePoint,
    /// Last time at which it is worth starting.
    pub start_by: TimePoint,
}

/// What shall be done with an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotDecision<K> {
    /// It has a slot until it is released.
    Start(K),
    /// It has not run and won't.
    Refuse {
        /// The attempt.
        key: K,
        /// Time after which a slot is likely to be free.
        retry_after: Duration,
    },
}

/// Rank, start of the root request, and a number that tells two such attempts apart.
type QueuePlace = (QueueRank, TimePoint, u64);

/// Attempts that run and wait at one backend server.
#[derive(Debug)]
pub struct SlotQueue<K> {
    limit: u32,
    running: HashMap<K, TimePoint>,
    waiting: BTreeMap<QueuePlace, SlotRequest<K>>,
    places: HashMap<K, QueuePlace>,
    next_serial: u64,
    mean_run: Duration,
    nested: WaitPressure,
    roots: WaitPressure,
}

impl<K> Default for SlotQueue<K> {
    fn default() -> SlotQueue<K> {
        SlotQueue {
            limit: 0,
            running: HashMap::new(),
            waiting: BTreeMap::new(),
            places: HashMap::new(),
            next_serial: 0,
            mean_run: FIRST_RUN_TIME,
            nested: WaitPressure::default(),
            roots: WaitPressure::default(),
        }
    }
}

impl<K> SlotQueue<K>
where
    K: Copy + Eq + std::hash::Hash,
{
    /// Sets the number of attempts that may run at once and starts those that now may.
    pub fn set_limit(&mut self, now: TimePoint, limit: u32, out: &mut Vec<SlotDecision<K>>) {
        self.limit = limit;
        self.start_waiting(now, out);
    }

    /// Returns the number of attempts that may run at once.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the number of attempts that run.
    pub fn n_running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of attempts that wait.
    pub fn n_waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the mean time that an attempt holds a slot.
    pub fn mean_run(&self) -> Duration {
        self.mean_run
    }

    /// Returns the recent share of attempts that found no free slot, weighted by how long they had to wait: 0 when
    /// none waits, 1 when all are refused. Clients' requests stand behind nested calls and wait also when the slots are
    /// just well used, so they count for part.
    pub fn pressure(&self) -> f64 {
        self.nested.share.max(self.roots.share * ROOT_PRESSURE_PART)
    }

    /// Takes an attempt: it starts, waits or is refused.
    ///
    /// # Panics
    ///
    /// Panics when the attempt already runs or waits.
    pub fn offer(
        &mut self,
        now: TimePoint,
        ticket: SlotRequest<K>,
        out: &mut Vec<SlotDecision<K>>,
    ) {
        assert!(!self.contains(&ticket.key), "an attempt was offered twice");
        let place = (ticket.rank, ticket.root_start, self.next_serial);
        let wait = self.expected_wait(place);
        let patience = ticket.start_by.since(now);
        if self.limit == 0 || ticket.start_by < now || (Duration::ZERO < wait && patience < wait) {
            self.note_pressure(now, ticket.rank, 1.0);
            let retry_after = self.retry_after();
            return out.push(SlotDecision::Refuse { key: ticket.key, retry_after });
        }
        let wait_share = wait.as_secs_f64() / patience.as_secs_f64().max(1e-6);
        self.note_pressure(now, ticket.rank, wait_share.min(1.0));
        self.next_serial += 1;
        self.places.insert(ticket.key, place);
        self.waiting.insert(place, ticket);
        self.start_waiting(now, out);
    }

    /// Ends the run of an attempt and starts the next. `is_whole` tells whether its time says how long runs take.
    pub fn release(
        &mut self,
        now: TimePoint,
        key: &K,
        is_whole: bool,
        out: &mut Vec<SlotDecision<K>>,
    ) {
        let Some(started) = self.running.remove(key) else { return };
        if is_whole {
            let mean = self.mean_run.as_secs_f64();
            let sample = now.since(started).as_secs_f64();
            self.mean_run = Duration::from_secs_f64(mean + RUN_TIME_GAIN * (sample - mean));
        }
        self.start_waiting(now, out);
    }

    /// Removes an attempt that waits. Returns whether it did: then it has not run and won't.
    pub fn remove_waiting(&mut self, key: &K) -> bool {
        let Some(place) = self.places.remove(key) else { return false };
        self.waiting.remove(&place).is_some()
    }

    /// Refuses the attempts that have waited for as long as they may, and lets the pressure fade where none came.
    pub fn expire(&mut self, now: TimePoint, out: &mut Vec<SlotDecision<K>>) {
        self.nested.fade(now);
        self.roots.fade(now);
        if self.waiting.is_empty() {
            return;
        }
        let retry_after = self.retry_after();
        let expired: Vec<(K, QueueRank)> = self
            .waiting
            .values()
            .filter(|it| it.start_by < now)
            .map(|it| (it.key, it.rank))
            .collect();
        for (key, rank) in expired {
            self.remove_waiting(&key);
            self.note_pressure(now, rank, 1.0);
            out.push(SlotDecision::Refuse { key, retry_after });
        }
    }

    /// Refuses all attempts that wait.
    pub fn refuse_waiting(&mut self, out: &mut Vec<SlotDecision<K>>) {
        let retry_after = MIN_RETRY_AFTER;
        self.places.clear();
        let waiting = std::mem::take(&mut self.waiting);
        out.extend(
            waiting.into_values().map(|it| SlotDecision::Refuse { key: it.key, retry_after }),
        );
    }

    /// Returns whether the attempt runs or waits.
    pub fn contains(&self, key: &K) -> bool {
        self.running.contains_key(key) || self.places.contains_key(key)
    }

    /// Returns the time after which an attempt at this place can expect a slot.
    fn expected_wait(&self, place: QueuePlace) -> Duration {
        let n_free = (self.limit as usize).saturating_sub(self.running.len());
        let n_ahead = self.waiting.range(..place).count();
        if n_ahead < n_free {
            return Duration::ZERO;
        }
        self.mean_run.mul_f64((n_ahead - n_free + 1) as f64 / f64::from(self.limit.max(1)))
    }

    fn retry_after(&self) -> Duration {
        let backlog = self.running.len() + self.waiting.len();
        let drain = self.mean_run.mul_f64(backlog as f64 / f64::from(self.limit.max(1)));
        drain.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn start_waiting(&mut self, now: TimePoint, out: &mut Vec<SlotDecision<K>>) {
        while self.running.len() < self.limit as usize {
            let Some((_, ticket)) = self.waiting.pop_first() else { return };
            self.places.remove(&ticket.key);
            self.running.insert(ticket.key, now);
            out.push(SlotDecision::Start(ticket.key));
        }
    }

    /// Takes one attempt's wait into the pressure of its kind.
    fn note_pressure(&mut self, now: TimePoint, rank: QueueRank, sample: f64) {
        let kind = if rank.is_nested() { &mut self.nested } else { &mut self.roots };
        kind.note(now, sample);
    }
}

/// Share of attempts that found no free slot, weighted by how long they had to wait.
#[derive(Clone, Copy, Debug, Default)]
struct WaitPressure {
    share: f64,
    noted_at: TimePoint,
}

impl WaitPressure {
    fn note(&mut self, now: TimePoint, sample: f64) {
        let elapsed = now.since(self.noted_at).as_secs_f64();
        self.noted_at = now;
        let gain = (1.0 - (-elapsed / PRESSURE_WINDOW.as_secs_f64()).exp()).max(MIN_PRESSURE_GAIN);
        self.share += gain * (sample - self.share);
    }

    fn fade(&mut self, now: TimePoint) {
        if PRESSURE_LULL <= now.since(self.noted_at) {
            self.note(now, 0.0);
        }
    }
}

#[cfg(test)]
mod tests;
