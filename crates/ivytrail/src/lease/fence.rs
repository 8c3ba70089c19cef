//! Suspicion, votes and fences.
//!
//! A member becomes a suspect of each member that has not heard from it for longer than its promise. When as many
//! members suspect it as would block its lease, they vote. A vote lasts for as long as the voter: it never promises to
//! that member again, in any epoch. A majority of votes is a fence.

use std::collections::{BTreeMap, BTreeSet};

use super::{FencingStatus, RingDefinition};
use crate::{id::MemberId, time::TimePoint};

/// The suspects that one member has reported.
#[derive(Debug)]
struct SuspectReport {
    at: TimePoint,
    suspects: Vec<MemberId>,
}

/// What this daemon knows of votes and fences.
#[derive(Debug, Default)]
pub(super) struct FencingState {
    /// Votes of this daemon; they survive changes of the epoch.
    local_votes: BTreeSet<MemberId>,
    /// Votes of others in this epoch, by the member that they are against.
    votes: BTreeMap<MemberId, BTreeSet<MemberId>>,
    /// Latest report of each other member in this epoch.
    reports: BTreeMap<MemberId, SuspectReport>,
    /// Members that this daemon suspects.
    suspects: BTreeSet<MemberId>,
    /// Members that can't hold the lease again during this membership, and when this daemon learned it.
    fences: BTreeMap<MemberId, TimePoint>,
    /// Members that are proved to have ended for good.
    ended: BTreeSet<MemberId>,
}

impl FencingState {
    /// Starts an epoch after `past`, the definition that was installed before.
    ///
    /// Votes and reports of others count only in the epoch in which they were sent. A fence lasts as long as the
    /// membership: where this daemon can't tell that a member was one throughout, it may have been dropped and added
    /// again, and others take it for unfenced. Votes of this daemon stay all the same, which is safe.
    pub(super) fn start_epoch(
        &mut self,
        past: Option<&RingDefinition>,
        definition: &RingDefinition,
    ) {
        self.votes.clear();
        self.reports.clear();
        self.suspects.clear();
        self.local_votes.retain(|member| definition.contains(member));
        let past = past.filter(|past| past.epoch + 1 == definition.epoch);
        self.fences.retain(|member, _| {
            let stayed = past.is_some_and(|past| past.contains(member));
            stayed || !definition.contains(member) || self.ended.contains(member)
        });
    }

    /// Takes in what `from` has said in this epoch.
    pub(super) fn apply_status(&mut self, now: TimePoint, from: &MemberId, status: &FencingStatus) {
        for target in &status.votes {
            self.votes.entry(target.clone()).or_default().insert(from.clone());
        }
        for target in &status.fenced {
            self.record_fence(now, target);
        }
        let report = SuspectReport { at: now, suspects: status.suspects.clone() };
        self.reports.insert(from.clone(), report);
    }

    /// Replaces this daemon's own suspects.
    pub(super) fn set_local_suspects(&mut self, suspects: BTreeSet<MemberId>) {
        self.suspects = suspects;
    }

    /// Returns how many members suspect `target`, counting reports since `oldest`.
    pub(super) fn n_suspecting(&self, target: &MemberId, since: TimePoint) -> usize {
        let others = self
            .reports
            .values()
            .filter(|report| since <= report.at && report.suspects.contains(target))
            .count();
        others + usize::from(self.suspects.contains(target))
    }

    /// Returns whether any vote against `target` is known.
    pub(super) fn has_votes_against(&self, target: &MemberId) -> bool {
        self.local_votes.contains(target) || self.votes.contains_key(target)
    }

    /// Votes to fence `target`.
    pub(super) fn cast_vote(&mut self, target: &MemberId) {
        self.local_votes.insert(target.clone());
    }

    /// Returns the number of known votes against `target` of members of `definition`; `me` is this daemon.
    pub(super) fn n_votes(
        &self,
        target: &MemberId,
        definition: &RingDefinition,
        local_member: &MemberId,
    ) -> usize {
        let others = self
            .votes
            .get(target)
            .map_or(0, |voters| voters.iter().filter(|it| definition.contains(it)).count());
        others + usize::from(self.local_votes.contains(target) && definition.contains(local_member))
    }

    /// Records that `target` has ended for good.
    pub(super) fn record_end(&mut self, now: TimePoint, target: &MemberId) {
        self.ended.insert(target.clone());
        self.record_fence(now, target);
    }

    /// Records that `target` can't hold the lease again during this membership.
    pub(super) fn record_fence(&mut self, now: TimePoint, target: &MemberId) {
        self.fences.entry(target.clone()).or_insert(now);
    }

    /// Returns when this daemon learned that `target` is fenced.
    pub(super) fn fenced_at(&self, target: &MemberId) -> Option<TimePoint> {
        self.fences.get(target).copied()
    }

    /// Forgets fences of members that `is_needed` no longer names.
    pub(super) fn prune<F>(&mut self, is_needed: F)
    where
        F: Fn(&MemberId) -> bool,
    {
        self.fences.retain(|member, _| is_needed(member));
        self.ended.retain(|member| is_needed(member));
    }

    /// Returns the view to send; `definition` limits it to current members.
    pub(super) fn status(&self, definition: &RingDefinition) -> FencingStatus {
        FencingStatus {
            suspects: self.suspects.iter().cloned().collect(),
            votes: self.local_votes.iter().cloned().collect(),
            fenced: self.fences.keys().filter(|it| definition.contains(it)).cloned().collect(),
        }
    }
}
