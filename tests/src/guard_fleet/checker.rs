//! Checks of the invariants in true time, and counters of a simulation.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use ivytrail::{
    id::{AttemptId, ContentDigest, MemberId},
    time::TimePoint,
};

use super::{CounterMap, OWNERSHIP_CHECK_INTERVAL, guard::GuardNode, sample_keys};

/// Counters of a simulation.
#[derive(Clone, Debug, Default)]
pub struct GuardFleetReport {
    counts: CounterMap,
    unowned: BTreeMap<ContentDigest, u32>,
}

impl GuardFleetReport {
    /// Returns the value of a counter, or zero if nothing was counted.
    pub fn count(&self, name: &str) -> u64 {
        self.counts.get(name).copied().unwrap_or(0)
    }

    /// Returns the maximum, over the sampled keys, of a key's total time without an owner.
    pub fn max_unowned(&self) -> Duration {
        OWNERSHIP_CHECK_INTERVAL * self.unowned.values().copied().max().unwrap_or(0)
    }

    /// Returns all counters by name.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }
}

/// Records of all runs and reported outcomes, against which invariants are checked.
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

    /// Checks that no sampled key has two owners at `now`.
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

    /// Counts the sampled keys that have no owner at `now`.
    pub(super) fn count_unowned(&mut self, now: TimePoint, guards: &[GuardNode]) {
        for key in sample_keys() {
            let is_owned = guards.iter().any(|it| it.owns(now, &key));
            *self.unowned.entry(key).or_insert(0) += u32::from(!is_owned);
        }
    }

    /// Records the start of a run, and checks that it is the key's first and was not reported as not run.
    pub(super) fn record_run(
        &mut self,
        claim: ContentDigest,
        attempt: AttemptId,
        by: &MemberId,
    ) -> Result<(), String> {
        if self.not_run.contains(&attempt) {
            return Err(format!("{attempt} runs at {by} after it was reported not to have run"));
        }
        if let Some((before, at)) = self.runs.get(&claim) {
            return Err(format!("second run of {claim:?}: {before} at {at}, {attempt} at {by}"));
        }
        self.count("runs");
        self.ran.insert(attempt.clone());
        self.runs.insert(claim, (attempt, by.clone()));
        Ok(())
    }

    /// Checks that the key of a run that starts at `by` has no other owner that would not ask `by` about the claim.
    ///
    /// A run may start within its run window after an epoch has made another guard the owner. This is safe if the new
    /// owner asks the running prior owner, which knows the claim. It is unsafe if the new owner considers the prior
    /// owner fenced and doesn't ask it, or if the prior owner has not installed the epoch and would continue to start
    /// runs.
    pub(super) fn check_successor(
        &self,
        now: TimePoint,
        claim: &ContentDigest,
        by: &GuardNode,
        guards: &[GuardNode],
    ) -> Result<(), String> {
        let asks = |owner: &GuardNode| {
            owner.epoch() <= by.epoch() && owner.ring.fenced_at(by.member()).is_none()
        };
        let mut others = guards.iter().filter(|it| it.member() != by.member());
        match others.find(|it| it.owns(now, claim) && !asks(it)) {
            Some(owner) => {
                Err(format!("{} runs {claim:?}, which {} owns", by.member(), owner.member()))
            }
            None => Ok(()),
        }
    }

    /// Records that an attempt was reported as not run.
    pub(super) fn record_not_run(&mut self, attempt: &AttemptId) -> Result<(), String> {
        if self.ran.contains(attempt) {
            return Err(format!("{attempt} is reported not to have run, but it ran"));
        }
        self.not_run.insert(attempt.clone());
        Ok(())
    }
}
