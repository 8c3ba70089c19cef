//! What became of attempts.

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

/// Sizes of an [`AttemptLedger`].
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerOptions {
    /// Time for which an ended attempt and a tombstone are remembered.
    pub retention: Duration,
    /// Greatest number of attempts remembered; the oldest ended ones make room.
    pub max_attempts: usize,
}

impl Default for LedgerOptions {
    fn default() -> LedgerOptions {
        LedgerOptions { retention: Duration::from_secs(600), max_attempts: 200_000 }
    }
}

/// What a guard says when it is asked for an attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptStatus {
    /// It is waiting or running here.
    #[display("pending")]
    Pending,
    /// It has ended here with this outcome.
    #[display("ended-{_0}")]
    Ended(CallOutcome),
    /// It never arrived, and no late copy can run here.
    #[display("not-run")]
    NotRun,
    /// It may have been forgotten.
    #[display("forgotten")]
    Forgotten,
}

/// What a guard does with an arriving attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum AttemptVerdict {
    /// It is new and may go on.
    Fresh,
    /// A copy of it is here already; this copy must not run.
    Duplicate,
    /// The entry was told that it has not run; it must not run.
    #[display("buried")]
    Tombstone,
    /// It may be a copy of a forgotten one; it must not run.
    Stale,
    /// There is no room to remember it; it must not run.
    Full,
}

/// State of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    Pending,
    Ended(CallOutcome),
    Tombstone,
}

/// The attempts that one guard has seen, and those it has promised never to run.
///
/// Serial numbers of forgotten attempts are covered by one number per entry: an attempt at or below it that is not
/// remembered is neither run nor said not to have run.
#[derive(Debug)]
pub struct AttemptLedger {
    options: LedgerOptions,
    states: BTreeMap<AttemptId, AttemptState>,
    /// Ended attempts and tombstones, the oldest first.
    settled: VecDeque<(TimePoint, AttemptId)>,
    /// Greatest forgotten serial number of each entry.
    max_forgotten: BTreeMap<MemberId, u64>,
}

impl AttemptLedger {
    /// Returns an empty ledger.
    pub fn new(options: LedgerOptions) -> AttemptLedger {
        AttemptLedger {
            options,
            states: BTreeMap::new(),
            settled: VecDeque::new(),
            max_forgotten: BTreeMap::new(),
        }
    }

    /// Takes in an arriving attempt. Only a fresh one may go on.
    pub fn begin(&mut self, now: TimePoint, attempt: &AttemptId) -> AttemptVerdict {
        self.sweep(now);
        match self.states.get(attempt) {
            Some(AttemptState::Tombstone) => return AttemptVerdict::Tombstone,
            Some(_) => return AttemptVerdict::Duplicate,
            None if self.is_forgotten(attempt) => return AttemptVerdict::Stale,
            None => {}
        }
        if !self.make_room() {
            return AttemptVerdict::Full;
        }
        self.states.insert(attempt.clone(), AttemptState::Pending);
        AttemptVerdict::Fresh
    }

    /// Records how a pending attempt ended.
    ///
    /// # Panics
    ///
    /// Panics when an attempt that was buried ended otherwise than as not run.
    pub fn end(&mut self, now: TimePoint, attempt: &AttemptId, outcome: CallOutcome) {
        let Some(state) = self.states.get_mut(attempt) else { return };
        assert!(
            *state != AttemptState::Tombstone || outcome == CallOutcome::NotRun,
            "attempt {attempt} ended as {outcome} after it was said not to have run"
        );
        if *state == AttemptState::Pending {
            *state = AttemptState::Ended(outcome);
            self.settled.push_back((now, attempt.clone()));
        }
    }

    /// Answers what became of an attempt. One that was never seen is buried, so that a late copy can't run.
    pub fn query(&mut self, now: TimePoint, attempt: &AttemptId) -> AttemptStatus {
        self.sweep(now);
        if self.is_forgotten(attempt) && !self.states.contains_key(attempt) {
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

    /// Returns the number of attempts remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Forgets what was settled longer ago than the retention.
    pub fn sweep(&mut self, now: TimePoint) {
        while let Some((at, _)) = self.settled.front() {
            if now.since(*at) < self.options.retention {
                return;
            }
            self.forget_oldest();
        }
    }

    fn is_forgotten(&self, attempt: &AttemptId) -> bool {
        self.max_forgotten.get(&attempt.entry).is_some_and(|floor| attempt.serial <= *floor)
    }

    /// Returns whether there is room for one more attempt, after forgetting the oldest settled one if need be.
    fn make_room(&mut self) -> bool {
        if self.states.len() < self.options.max_attempts {
            return true;
        }
        self.forget_oldest()
    }

    fn forget_oldest(&mut self) -> bool {
        let Some((_, attempt)) = self.settled.pop_front() else { return false };
        self.states.remove(&attempt);
        let floor = self.max_forgotten.entry(attempt.entry).or_insert(0);
        *floor = (*floor).max(attempt.serial);
        true
    }
}
