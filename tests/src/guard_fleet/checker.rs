//! The invariants, judged with knowledge of true time, and the counts of a run.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use ivytrail::{
    id::{AttemptId, ContentDigest, MemberId},
    time::TimePoint,
};

use super::{CounterMap, OWNERSHIP_CHECK_INTERVAL, guard::GuardNode, sample_keys};

/// Counts of a run.
#[derive(Clone, Debug, Default)]
pub struct GuardFleetReport {
    counts: CounterMap,
    unowned: BTreeMap<ContentDigest, u32>,
}

impl GuardFleetReport {
    /// Returns one count, or zero.
    pub fn count(&self, name: &str) -> u64 {
        self.counts.get(name).copied().unwrap_or(0)
    }

    /// Returns the longest time that one of the probed keys had no owner, all its gaps together.
    pub fn max_unowned(&self) -> Duration {
        OWNERSHIP_CHECK_INTERVAL * self.unowned.values().copied().max().unwrap_or(0)
    }

    /// Returns all counts by name.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }
}

/// Everything that has happened in truth.
#[derive(Debug, Default)]
pub(super) struct InvariantChecker {
    runs: BTreeMap<ContentDigest, (AttemptId, MemberId)>,
    ran: BTreeSet<AttemptId>,
    not_run: BTreeSet<AttemptId>,
    counts: CounterMap,
    unowned: BTreeMap<ContentDigest, u32>,
}

impl InvariantChecker {
    pub(super) fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_insert(0) += 1;
    }

    pub(super) fn report(&self) -> GuardFleetReport {
        GuardFleetReport { counts: self.counts.clone(), unowned: self.unowned.clone() }
    }

    /// Checks that no probed key has two owners at this instant.
    pub(super) fn check_owners(&self, now: TimePoint, guards: &[GuardNode]) -> Result<(), String> {
        let holders: Vec<&GuardNode> = guards.iter().filter(|it| it.holds_lease(now)).collect();
        for key in sample_keys() {
            let mut owners =
                holders.iter().filter(|it| it.ring.owner_of(&key).as_ref() == Some(it.member()));
            if let (Some(first), Some(second)) = (owners.next(), owners.next()) {
                return Err(format!("two owners: {} and {}", first.member(), second.member()));
            }
        }
        Ok(())
    }

    /// Counts the probed keys that have no owner at this instant.
    pub(super) fn count_unowned(&mut self, now: TimePoint, guards: &[GuardNode]) {
        for key in sample_keys() {
            let is_owned = guards.iter().any(|it| it.owns(now, &key));
            *self.unowned.entry(key).or_insert(0) += u32::from(!is_owned);
        }
    }

    /// Records the start of a run.
    pub(super) fn record_run(
        &mut self,
        claim: ContentDigest,
        attempt: AttemptId,
        by: &MemberId,
    ) -> Result<(), String> {
        if self.not_run.contains(&attempt) {
            return Err(format!("{attempt} runs at {by} after it was said not to have run"));
        }
        if let Some((before, at)) = self.runs.get(&claim) {
            return Err(format!("second run of {claim:?}: {before} at {at}, {attempt} at {by}"));
        }
        self.count("runs");
        self.ran.insert(attempt.clone());
        self.runs.insert(claim, (attempt, by.clone()));
        Ok(())
    }

    /// Checks that no other guard that would not ask `by` owns the key of a run which starts at `by`.
    ///
    /// A run may start within its window after an epoch has made another guard the owner. That one asks a living
    /// earlier owner, which knows of the run; it would not ask one that it holds for fenced, and one that has not
    /// installed the epoch would go on to start runs.
    pub(super) fn check_successor(
        &self,
        now: TimePoint,
        claim: &ContentDigest,
        by: &GuardNode,
        guards: &[GuardNode],
    ) -> Result<(), String> {
        let asks = |owner: &GuardNode| {
            owner.epoch() <= by.epoch() && owner.ring.fence_of(by.member()).is_none()
        };
        let mut others = guards.iter().filter(|it| it.member() != by.member());
        match others.find(|it| it.owns(now, claim) && !asks(it)) {
            Some(owner) => {
                Err(format!("{} runs {claim:?}, which {} owns", by.member(), owner.member()))
            }
            None => Ok(()),
        }
    }

    /// Records that the caller was told that an attempt has not run.
    pub(super) fn record_not_run(&mut self, attempt: &AttemptId) -> Result<(), String> {
        if self.ran.contains(attempt) {
            return Err(format!("{attempt} is said not to have run, but it ran"));
        }
        self.not_run.insert(attempt.clone());
        Ok(())
    }
}
