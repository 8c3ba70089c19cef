//! Status of the attempts that arrived at a guard.

use std::{
    collections::{BTreeMap, VecDeque, btree_map::Entry},
    time::Duration,
};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    id::{AttemptId, MemberId},
    message::CallOutcome,
    time::TimePoint,
};

/// Limits of an [`AttemptLedger`].
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerOptions {
    /// Retention of ended attempts and tombstones.
    pub retention: Duration,
    /// Maximum number of attempts in the ledger; the oldest settled ones are evicted first.
    pub max_attempts: usize,
}

impl Default for LedgerOptions {
    fn default() -> LedgerOptions {
        LedgerOptions { retention: Duration::from_secs(600), max_attempts: 200_000 }
    }
}

/// Status of an attempt as reported by a guard.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptStatus {
    /// The attempt is queued or running at this guard.
    #[display("pending")]
    Pending,
    /// The attempt ended at this guard with this outcome.
    #[display("ended-{_0}")]
    Ended(CallOutcome),
    /// The attempt never arrived at this guard, and a delayed copy cannot run.
    #[display("not-run")]
    NotRun,
    /// The status may have been evicted.
    #[display("forgotten")]
    Forgotten,
}

/// A guard's decision on an arriving attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum AttemptVerdict {
    /// The attempt is new and may proceed.
    Fresh,
    /// A copy has already arrived; this copy must not run.
    Duplicate,
    /// The attempt was reported as not run, so it must not run.
    #[display("buried")]
    Tombstone,
    /// The attempt may be a copy of an evicted one, so it must not run.
    Stale,
    /// The ledger is full and cannot record the attempt, so it must not run.
    Full,
}

/// State of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    Pending,
    Ended(CallOutcome),
    Tombstone,
}

/// The attempts that arrived at a guard, and tombstones for those that must not run any more.
///
/// Evicted attempts are represented by one serial number per entry: an attempt with this serial number or a lower one
/// that is not in the ledger is neither run nor reported as not run.
#[derive(Debug)]
pub struct AttemptLedger {
    options: LedgerOptions,
    states: BTreeMap<AttemptId, AttemptState>,
    /// Ended attempts and tombstones, oldest first.
    settled: VecDeque<(TimePoint, AttemptId)>,
    /// Highest evicted serial number of each entry.
    evicted_up_to: BTreeMap<MemberId, u64>,
}

impl AttemptLedger {
    /// Returns an empty ledger.
    pub fn new(options: LedgerOptions) -> AttemptLedger {
        AttemptLedger {
            options,
            states: BTreeMap::new(),
            settled: VecDeque::new(),
            evicted_up_to: BTreeMap::new(),
        }
    }

    /// Records an arriving attempt. It may proceed only if the result is [`AttemptVerdict::Fresh`].
    pub fn begin(&mut self, now: TimePoint, attempt: &AttemptId) -> AttemptVerdict {
        self.sweep(now);
        match self.states.get(attempt) {
            Some(AttemptState::Tombstone) => return AttemptVerdict::Tombstone,
            Some(_) => return AttemptVerdict::Duplicate,
            None if self.may_be_evicted(attempt) => return AttemptVerdict::Stale,
            None => {}
        }
        if !self.make_room() {
            return AttemptVerdict::Full;
        }
        self.states.insert(attempt.clone(), AttemptState::Pending);
        AttemptVerdict::Fresh
    }

    /// Records the outcome of a pending attempt.
    ///
    /// # Panics
    ///
    /// Panics if the attempt has a tombstone and the outcome is not [`CallOutcome::NotRun`].
    pub fn end(&mut self, now: TimePoint, attempt: &AttemptId, outcome: CallOutcome) {
        let Some(state) = self.states.get_mut(attempt) else { return };
        assert!(
            *state != AttemptState::Tombstone || outcome == CallOutcome::NotRun,
            "attempt {attempt} ended as {outcome} after it was reported as not run"
        );
        if *state == AttemptState::Pending {
            *state = AttemptState::Ended(outcome);
            self.settled.push_back((now, attempt.clone()));
        }
    }

    /// Returns the status of an attempt. An attempt that never arrived gets a tombstone, so that a delayed copy cannot
    /// run.
    pub fn query(&mut self, now: TimePoint, attempt: &AttemptId) -> AttemptStatus {
        self.sweep(now);
        if self.may_be_evicted(attempt) && !self.states.contains_key(attempt) {
            return AttemptStatus::Forgotten;
        }
        if !self.states.contains_key(attempt) && !self.make_room() {
            return AttemptStatus::Forgotten;
        }
        match self.states.entry(attempt.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(AttemptState::Tombstone);
                self.settled.push_back((now, attempt.clone()));
                AttemptStatus::NotRun
            }
            Entry::Occupied(entry) => match entry.get() {
                AttemptState::Pending => AttemptStatus::Pending,
                AttemptState::Ended(outcome) => AttemptStatus::Ended(*outcome),
                AttemptState::Tombstone => AttemptStatus::NotRun,
            },
        }
    }

    /// Returns the number of recorded attempts and tombstones.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether the ledger is empty.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Evicts attempts and tombstones whose retention has elapsed.
    pub fn sweep(&mut self, now: TimePoint) {
        while let Some((at, _)) = self.settled.front() {
            if now.since(*at) < self.options.retention {
                return;
            }
            self.evict_oldest();
        }
    }

    fn may_be_evicted(&self, attempt: &AttemptId) -> bool {
        self.evicted_up_to.get(&attempt.entry).is_some_and(|evicted| attempt.serial <= *evicted)
    }

    /// Evicts the oldest settled attempt if the ledger is full. Returns whether one more attempt can be recorded.
    fn make_room(&mut self) -> bool {
        if self.states.len() < self.options.max_attempts {
            return true;
        }
        self.evict_oldest()
    }

    fn evict_oldest(&mut self) -> bool {
        let Some((_, attempt)) = self.settled.pop_front() else { return false };
        self.states.remove(&attempt);
        let evicted = self.evicted_up_to.entry(attempt.entry).or_insert(0);
        *evicted = (*evicted).max(attempt.serial);
        true
    }
}
