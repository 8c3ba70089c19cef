//! Fair queue of the waiting attempts of one priority class.
//!
//! Implements start-time fair queueing. Each client account has a queue with a virtual time, which advances by the
//! service time of its attempts divided by its weight. The account queue with the smallest virtual time is served next.
//! Eviction takes the attempt with the greatest admission level from the account queue that would finish last.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    id::{AccountName, AttemptId},
    time::TimePoint,
};

const MIN_WEIGHT: f64 = 0.001;
const MAX_WEIGHT: f64 = 1_000.0;
const MAX_IDLE_QUEUES: usize = 1_024;

/// Position of an attempt in its account queue: the admission level, which determines eviction, and the serial number,
/// which determines service. Service ignores the level, since a waiting attempt may hold slots further up the call
/// chain.
pub(super) type QueuePosition = (u16, u64);

/// Attempt that waits for a slot.
#[derive(Clone, Debug)]
pub(super) struct QueuedAttempt {
    pub(super) attempt: AttemptId,
    pub(super) account: Option<AccountName>,
    pub(super) weight: f64,
    pub(super) deadline: TimePoint,
    pub(super) expiry: TimePoint,
    pub(super) position: QueuePosition,
}

/// Waiting attempts of one account.
#[derive(Debug, Default)]
struct AccountQueue {
    /// Service time received so far divided by the weight, in microseconds.
    virtual_time: f64,
    weight: f64,
    attempts: BTreeMap<u64, QueuedAttempt>,
    positions: BTreeSet<QueuePosition>,
}

impl AccountQueue {
    /// Returns the virtual time at which the last attempt in the queue would be served.
    fn finish_tag(&self, cost: f64) -> f64 {
        self.virtual_time + cost * self.attempts.len() as f64 / self.weight
    }
}

/// Account queues of one priority class.
#[derive(Debug, Default)]
pub(super) struct ClassQueue {
    queues: BTreeMap<Option<AccountName>, AccountQueue>,
    /// Virtual time of the last started attempt.
    virtual_time: f64,
    n_waiting: usize,
}

impl ClassQueue {
    pub(super) fn len(&self) -> usize {
        self.n_waiting
    }

    pub(super) fn push(&mut self, queued: QueuedAttempt) {
        let floor = self.virtual_time;
        let queue = self.queues.entry(queued.account.clone()).or_default();
        if queue.attempts.is_empty() {
            queue.virtual_time = queue.virtual_time.max(floor);
        }
        queue.weight = clamp_weight(queued.weight);
        queue.positions.insert(queued.position);
        let replaced = queue.attempts.insert(queued.position.1, queued);
        assert!(replaced.is_none(), "duplicate serial number of a waiting attempt");
        self.n_waiting += 1;
    }

    /// Removes the next attempt of the account queue with the smallest virtual time and charges that queue with `cost`.
    pub(super) fn pop(&mut self, cost: Duration) -> Option<QueuedAttempt> {
        let name = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.attempts.is_empty())
            .min_by(|(_, a), (_, b)| a.virtual_time.total_cmp(&b.virtual_time))
            .map(|(name, _)| name.clone())?;
        let queue = self.queues.get_mut(&name)?;
        let (_, queued) = queue.attempts.pop_first()?;
        queue.positions.remove(&queued.position);
        self.virtual_time = self.virtual_time.max(queue.virtual_time);
        queue.virtual_time += virtual_cost(cost, queue.weight);
        self.n_waiting -= 1;
        self.remove_idle_queues();
        Some(queued)
    }

    /// Removes the attempt with the greatest level from the account queue that would finish last.
    pub(super) fn evict(&mut self, cost: Duration) -> Option<QueuedAttempt> {
        let cost = virtual_cost(cost, 1.0).max(1.0);
        let queue = self
            .queues
            .values_mut()
            .filter(|queue| !queue.attempts.is_empty())
            .max_by(|a, b| a.finish_tag(cost).total_cmp(&b.finish_tag(cost)))?;
        let position = queue.positions.pop_last()?;
        let queued = queue.attempts.remove(&position.1)?;
        self.n_waiting -= 1;
        Some(queued)
    }

    /// Removes the attempt at `position` in the queue of `account`.
    pub(super) fn remove(
        &mut self,
        account: &Option<AccountName>,
        position: QueuePosition,
    ) -> Option<QueuedAttempt> {
        let queue = self.queues.get_mut(account)?;
        let queued = queue.attempts.remove(&position.1)?;
        queue.positions.remove(&position);
        self.n_waiting -= 1;
        Some(queued)
    }

    /// Replaces the estimated charge of an account queue by the actual service time of an attempt.
    pub(super) fn correct_charge(
        &mut self,
        account: &Option<AccountName>,
        charged: Duration,
        actual: Duration,
    ) {
        if let Some(queue) = self.queues.get_mut(account) {
            let correction =
                virtual_cost(actual, queue.weight) - virtual_cost(charged, queue.weight);
            queue.virtual_time += correction;
        }
    }

    fn remove_idle_queues(&mut self) {
        let floor = self.virtual_time;
        let over_limit = MAX_IDLE_QUEUES < self.queues.len();
        if self.n_waiting == 0 || over_limit {
            self.queues.retain(|_, queue| {
                !queue.attempts.is_empty() || (floor < queue.virtual_time && !over_limit)
            });
        }
    }
}

fn clamp_weight(weight: f64) -> f64 {
    if weight.is_finite() { weight.clamp(MIN_WEIGHT, MAX_WEIGHT) } else { 1.0 }
}

fn virtual_cost(cost: Duration, weight: f64) -> f64 {
    cost.as_secs_f64() * 1e6 / weight
}
