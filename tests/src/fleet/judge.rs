//! The invariants, judged with knowledge of true time, and the counts of a run.

use std::collections::{BTreeMap, BTreeSet};

use ivytrail::{
    id::{AttemptId, ContentDigest, MemberId},
    time::TimePoint,
};

use super::{CountTable, guard::GuardNode, probe_keys};

/// Counts of a run.
#[derive(Clone, Debug, Default)]
pub struct FleetReport {
    counts: CountTable,
}

impl FleetReport {
    /// Returns one count, or zero.
    pub fn count(&self, name: &str) -> u64 {
        self.counts.get(name).copied().unwrap_or(0)
    }

    /// Returns all counts by name.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }
}

/// Everything that has happened in truth.
#[derive(Debug, Default)]
pub(super) struct FleetJudge {
    runs: BTreeMap<ContentDigest, (AttemptId, MemberId)>,
    ran: BTreeSet<AttemptId>,
    not_run: BTreeSet<AttemptId>,
    counts: CountTable,
}

impl FleetJudge {
    pub(super) fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_insert(0) += 1;
    }

    pub(super) fn report(&self) -> FleetReport {
        FleetReport { counts: self.counts.clone() }
    }

    /// Checks that no probed key has two owners at this instant.
    pub(super) fn check_owners(
        &mut self,
        now: TimePoint,
        guards: &[GuardNode],
    ) -> Result<(), String> {
        let holders: Vec<&GuardNode> = guards.iter().filter(|it| it.holds_lease(now)).collect();
        for key in probe_keys() {
            let mut owners = holders.iter().filter(|it| it.owns(now, &key));
            if let (Some(first), Some(second)) = (owners.next(), owners.next()) {
                return Err(format!("two owners: {} and {}", first.me(), second.me()));
            }
        }
        Ok(())
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

    /// Checks that no other guard owns the key of a run that starts at `by`.
    pub(super) fn check_successor(
        &self,
        now: TimePoint,
        claim: &ContentDigest,
        by: &MemberId,
        guards: &[GuardNode],
    ) -> Result<(), String> {
        match guards.iter().find(|it| it.me() != by && it.owns(now, claim)) {
            Some(owner) => Err(format!("{by} runs {claim:?}, which {} owns", owner.me())),
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
