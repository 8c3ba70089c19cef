//! Queue of one backend server: decides which attempts run, wait or are refused.
//!
//! At most as many attempts run as the backend server has slots, and no more start per second than it has named as its
//! limit. Waiting attempts are ordered by rank and then by the
//! start of their root request, so that call chains finish in the order in which they began instead of all finishing
//! late. An attempt is refused at once when its expected wait exceeds its maximum wait, and later when it has waited that
//! long: short queues absorb bursts, long ones would only add latency.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use super::rate_limiter::RateLimiter;
use crate::time::TimePoint;

/// Shortest retry delay that is suggested.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest retry delay that is suggested.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Weight of the newest run in the mean run time.
const RUN_TIME_GAIN: f64 = 0.02;
/// Mean run time that is assumed before the first run has ended.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(100);
/// Time constant of the moving average of the pressure.
const PRESSURE_WINDOW: Duration = Duration::from_millis(500);
/// Time without an attempt of a kind after which the pressure of that kind decays.
const PRESSURE_IDLE_TIME: Duration = Duration::from_millis(100);

/// Smallest weight of one attempt in the pressure.
const MIN_PRESSURE_GAIN: f64 = 0.01;
/// Weight of the pressure of client requests relative to that of nested calls.
const ROOT_PRESSURE_WEIGHT: f64 = 0.12;

/// Priority of a root request, which its nested calls inherit; the lowest is the most urgent.
///
/// An account's priority takes precedence over that of the route. Among requests of the same account priority, the
/// route's priority decides.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{account}.{route}")]
pub struct RootPriority {
    account: u8,
    route: u8,
}

impl RootPriority {
    /// Least urgent priority that is distinguished; those beyond it are treated like it.
    pub const LOWEST: u8 = 6;
    /// Number of priorities that are distinguished at an account, and at a route.
    const N_STEPS: u8 = RootPriority::LOWEST + 1;
    /// Number of root priorities.
    const N_LEVELS: u8 = RootPriority::N_STEPS * RootPriority::N_STEPS;

    /// Returns the priority of a request on a route with priority `route`, from an account with priority `account`.
    pub fn of_account(account: u8, route: u8) -> RootPriority {
        RootPriority {
            account: account.min(RootPriority::LOWEST),
            route: route.min(RootPriority::LOWEST),
        }
    }

    /// Returns the priority of a request on a route with priority `route` whose account has none of its own.
    pub fn of_route(route: u8) -> RootPriority {
        RootPriority::of_account(route, 0)
    }

    /// Returns the account's priority, or that of the route if the account has none.
    pub fn account(self) -> u8 {
        self.account
    }

    /// Returns the route's priority among requests of the same account priority.
    pub fn route(self) -> u8 {
        self.route
    }

    fn level(self) -> u8 {
        self.account * RootPriority::N_STEPS + self.route
    }

    fn from_level(level: u8) -> RootPriority {
        RootPriority::of_account(level / RootPriority::N_STEPS, level % RootPriority::N_STEPS)
    }
}

/// Rank of an attempt among those that wait for a slot; the lowest is served first.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueRank(pub u8);

impl QueueRank {
    /// Number of ranks for nested calls; the ranks for client requests follow.
    const N_NESTED: u8 = RootPriority::N_LEVELS;

    /// Returns the rank of a nested call, from the priority of its root request. Nested calls precede all client
    /// requests, since refusing one wastes the work that its root request has already used.
    pub fn of_nested(priority: RootPriority) -> QueueRank {
        QueueRank(priority.level())
    }

    /// Returns the rank of a client request with a priority.
    pub fn of_root(priority: RootPriority) -> QueueRank {
        QueueRank(QueueRank::N_NESTED + priority.level())
    }

    /// Returns the priority that the rank was made from.
    pub fn priority(self) -> RootPriority {
        RootPriority::from_level(if self.is_nested() {
            self.0
        } else {
            self.0 - QueueRank::N_NESTED
        })
    }

    /// Returns whether this is the rank of a nested call.
    pub fn is_nested(self) -> bool {
        self.0 < QueueRank::N_NESTED
    }
}

/// Request of an attempt for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest<K> {
    /// Key of the attempt.
    pub key: K,
    /// Rank of the attempt.
    pub rank: QueueRank,
    /// Time at which its root request reached the fleet.
    pub root_start: TimePoint,
    /// Latest time at which the attempt may start.
    pub start_by: TimePoint,
}

/// Decision on an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotDecision<K> {
    /// The attempt has a slot until [`SlotQueue::release`].
    Start(K),
    /// The attempt has not run and will not run.
    Refuse {
        /// Key of the attempt.
        key: K,
        /// Delay after which a slot is likely to be free.
        retry_after: Duration,
    },
}

/// Sort key of a waiting attempt: rank, start of the root request, and a serial number that breaks ties.
type QueuePosition = (QueueRank, TimePoint, u64);

/// Running and waiting attempts of one backend server.
#[derive(Debug)]
pub struct SlotQueue<K> {
    limit: u32,
    running: HashMap<K, TimePoint>,
    waiting: BTreeMap<QueuePosition, SlotRequest<K>>,
    positions: HashMap<K, QueuePosition>,
    next_serial: u64,
    mean_run_time: Duration,
    /// Spaces out the starts of attempts, if the backend server has named a limit.
    rate_limiter: Option<RateLimiter>,
    nested: WaitPressure,
    roots: WaitPressure,
}

impl<K> Default for SlotQueue<K> {
    fn default() -> SlotQueue<K> {
        SlotQueue {
            limit: 0,
            running: HashMap::new(),
            waiting: BTreeMap::new(),
            positions: HashMap::new(),
            next_serial: 0,
            mean_run_time: INITIAL_RUN_TIME,
            rate_limiter: None,
            nested: WaitPressure::default(),
            roots: WaitPressure::default(),
        }
    }
}

impl<K> SlotQueue<K>
where
    K: Copy + Eq + std::hash::Hash,
{
    /// Sets the maximum number of running attempts and starts waiting ones up to it.
    pub fn set_limit(&mut self, now: TimePoint, limit: u32, out: &mut Vec<SlotDecision<K>>) {
        self.limit = limit;
        self.start_waiting(now, out);
    }

    /// Sets the maximum number of attempts that start per second, or removes it.
    pub fn set_rate(&mut self, now: TimePoint, per_s: Option<f64>, out: &mut Vec<SlotDecision<K>>) {
        match (per_s, &mut self.rate_limiter) {
            (Some(per_s), Some(limiter)) => limiter.set_rate(now, per_s),
            (Some(per_s), None) => self.rate_limiter = Some(RateLimiter::new(now, per_s)),
            (None, _) => self.rate_limiter = None,
        }
        self.start_waiting(now, out);
    }

    /// Returns the maximum number of running attempts.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the number of running attempts.
    pub fn n_running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting attempts.
    pub fn n_waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the mean time for which an attempt holds a slot.
    pub fn mean_run_time(&self) -> Duration {
        self.mean_run_time
    }

    /// Returns the recent share of attempts that found no free slot, weighted by the wait that they expected: 0 when no
    /// attempt waits, 1 when all are refused. Client requests queue behind nested calls and wait even when the slots are
    /// merely well used, so they count with a lower weight.
    pub fn pressure(&self) -> f64 {
        self.nested.share.max(self.roots.share * ROOT_PRESSURE_WEIGHT)
    }

    /// Starts, enqueues or refuses an attempt.
    ///
    /// # Panics
    ///
    /// Panics when the attempt already runs or waits.
    pub fn offer(
        &mut self,
        now: TimePoint,
        request: SlotRequest<K>,
        out: &mut Vec<SlotDecision<K>>,
    ) {
        assert!(!self.contains(&request.key), "the attempt already runs or waits in this queue");
        let position = (request.rank, request.root_start, self.next_serial);
        let wait = self.expected_wait(now, position);
        let max_wait = request.start_by.since(now);
        if self.limit == 0 || request.start_by < now || (Duration::ZERO < wait && max_wait < wait) {
            self.record_pressure(now, request.rank, 1.0);
            let retry_after = self.retry_after(now);
            return out.push(SlotDecision::Refuse { key: request.key, retry_after });
        }
        let wait_share = wait.as_secs_f64() / max_wait.as_secs_f64().max(1e-6);
        self.record_pressure(now, request.rank, wait_share.min(1.0));
        self.next_serial += 1;
        self.positions.insert(request.key, position);
        self.waiting.insert(position, request);
        self.start_waiting(now, out);
    }

    /// Frees the slot of an attempt and starts the next one. The run counts towards the mean run time only when
    /// `is_complete`.
    pub fn release(
        &mut self,
        now: TimePoint,
        key: &K,
        is_complete: bool,
        out: &mut Vec<SlotDecision<K>>,
    ) {
        let Some(started) = self.running.remove(key) else { return };
        if is_complete {
            let mean = self.mean_run_time.as_secs_f64();
            let sample = now.since(started).as_secs_f64();
            self.mean_run_time = Duration::from_secs_f64(mean + RUN_TIME_GAIN * (sample - mean));
        }
        self.start_waiting(now, out);
    }

    /// Removes an attempt if it waits, and returns whether it did. A removed attempt has not run and will not run.
    pub fn remove_waiting(&mut self, key: &K) -> bool {
        let Some(position) = self.positions.remove(key) else { return false };
        self.waiting.remove(&position).is_some()
    }

    /// Refuses the attempts that have reached their maximum wait, starts those that a rate limit has held back, and decays
    /// the pressure of kinds without attempts.
    pub fn expire(&mut self, now: TimePoint, out: &mut Vec<SlotDecision<K>>) {
        self.nested.decay(now);
        self.roots.decay(now);
        if self.waiting.is_empty() {
            return;
        }
        let retry_after = self.retry_after(now);
        let expired: Vec<(K, QueueRank)> = self
            .waiting
            .values()
            .filter(|it| it.start_by < now)
            .map(|it| (it.key, it.rank))
            .collect();
        for (key, rank) in expired {
            self.remove_waiting(&key);
            self.record_pressure(now, rank, 1.0);
            out.push(SlotDecision::Refuse { key, retry_after });
        }
        self.start_waiting(now, out);
    }

    /// Refuses all waiting attempts.
    pub fn refuse_waiting(&mut self, out: &mut Vec<SlotDecision<K>>) {
        let retry_after = MIN_RETRY_AFTER;
        self.positions.clear();
        let waiting = std::mem::take(&mut self.waiting);
        out.extend(
            waiting.into_values().map(|it| SlotDecision::Refuse { key: it.key, retry_after }),
        );
    }

    /// Resets the mean run time and the pressure to their initial values.
    pub fn forget_history(&mut self) {
        self.mean_run_time = INITIAL_RUN_TIME;
        self.nested = WaitPressure::default();
        self.roots = WaitPressure::default();
    }

    /// Returns whether the attempt waits although a slot is free.
    pub fn is_held(&self, key: &K) -> bool {
        self.running.len() < self.limit as usize && self.positions.contains_key(key)
    }

    /// Returns whether the attempt runs or waits.
    pub fn contains(&self, key: &K) -> bool {
        self.running.contains_key(key) || self.positions.contains_key(key)
    }

    /// Returns the expected time until an attempt at this position starts.
    fn expected_wait(&self, now: TimePoint, position: QueuePosition) -> Duration {
        let n_free = (self.limit as usize).saturating_sub(self.running.len());
        let n_ahead = self.waiting.range(..position).count();
        let n_without_slot = (n_ahead + 1).saturating_sub(n_free);
        let limit = f64::from(self.limit.max(1));
        let slot_wait = self.mean_run_time.mul_f64(n_without_slot as f64 / limit);
        slot_wait.max(self.rate_wait(now, n_ahead + 1))
    }

    fn retry_after(&self, now: TimePoint) -> Duration {
        let backlog = self.running.len() + self.waiting.len();
        let drain = self.mean_run_time.mul_f64(backlog as f64 / f64::from(self.limit.max(1)));
        let rate_wait = self.rate_wait(now, self.waiting.len() + 1);
        drain.max(rate_wait).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the time until the rate limit allows `n_starts` more starts.
    fn rate_wait(&self, now: TimePoint, n_starts: usize) -> Duration {
        self.rate_limiter.map_or(Duration::ZERO, |it| it.wait_for(now, n_starts))
    }

    fn start_waiting(&mut self, now: TimePoint, out: &mut Vec<SlotDecision<K>>) {
        while self.running.len() < self.limit as usize && !self.waiting.is_empty() {
            if self.rate_limiter.as_mut().is_some_and(|it| !it.try_take(now)) {
                return;
            }
            let Some((_, request)) = self.waiting.pop_first() else { return };
            self.positions.remove(&request.key);
            self.running.insert(request.key, now);
            out.push(SlotDecision::Start(request.key));
        }
    }

    /// Adds the wait of one attempt to the pressure of its kind.
    fn record_pressure(&mut self, now: TimePoint, rank: QueueRank, sample: f64) {
        let kind = if rank.is_nested() { &mut self.nested } else { &mut self.roots };
        kind.record(now, sample);
    }
}

/// Moving average of the share of attempts that found no free slot, weighted by the wait that they expected.
#[derive(Clone, Copy, Debug, Default)]
struct WaitPressure {
    share: f64,
    updated_at: TimePoint,
}

impl WaitPressure {
    fn record(&mut self, now: TimePoint, sample: f64) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let gain = (1.0 - (-elapsed / PRESSURE_WINDOW.as_secs_f64()).exp()).max(MIN_PRESSURE_GAIN);
        self.share += gain * (sample - self.share);
    }

    fn decay(&mut self, now: TimePoint) {
        if PRESSURE_IDLE_TIME <= now.since(self.updated_at) {
            self.record(now, 0.0);
        }
    }
}

#[cfg(test)]
mod tests;
