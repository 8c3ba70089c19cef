//! Suspicions, fence votes and fences.
//!
//! A member suspects another one after receiving no message from it for longer than its promise. Once the number of
//! suspecting members is sufficient to block the suspect's lease, they vote to fence it. A vote is valid for the
//! lifetime of the voter, which never grants that member a promise again in any epoch. The votes of a majority fence
//! the member.

use std::collections::{BTreeMap, BTreeSet};

use super::{FencingStatus, RingDefinition};
use crate::{id::MemberId, time::TimePoint};

/// Suspected members last reported by one member.
#[derive(Debug)]
struct SuspectReport {
    received_at: TimePoint,
    suspects: Vec<MemberId>,
}

/// Suspicions, votes and fences known to this daemon.
#[derive(Debug, Default)]
pub(super) struct FencingState {
    /// Members that this daemon has voted to fence; kept across epochs.
    local_votes: BTreeSet<MemberId>,
    /// Voters other than this daemon in this epoch, by the member that they voted to fence.
    remote_votes: BTreeMap<MemberId, BTreeSet<MemberId>>,
    /// Latest report of each other member in this epoch.
    reports: BTreeMap<MemberId, SuspectReport>,
    /// Members that this daemon suspects.
    local_suspects: BTreeSet<MemberId>,
    /// Members that cannot hold the lease again during this membership, and when this daemon learned it.
    fences: BTreeMap<MemberId, TimePoint>,
    /// Members that are proven to have ended permanently.
    ended: BTreeSet<MemberId>,
}

impl FencingState {
    /// Starts the epoch of `definition`; `past` is the definition installed before.
    ///
    /// Votes and reports of others are valid only in the epoch in which they were sent. A fence is valid for one
    /// membership: a member that may not have been in every epoch in between may have been removed and added again,
    /// in which case the others treat it as unfenced. This daemon keeps its own votes regardless, which is safe.
    pub(super) fn start_epoch(
        &mut self,
        past: Option<&RingDefinition>,
        definition: &RingDefinition,
    ) {
        self.remote_votes.clear();
        self.reports.clear();
        self.local_suspects.clear();
        self.local_votes.retain(|member| definition.contains(member));
        let past = past.filter(|past| past.epoch + 1 == definition.epoch);
        self.fences.retain(|member, _| {
            let stayed = past.is_some_and(|past| past.contains(member));
            stayed || !definition.contains(member) || self.ended.contains(member)
        });
    }

    /// Applies the fencing status that `from` has sent in this epoch.
    pub(super) fn apply_status(&mut self, now: TimePoint, from: &MemberId, status: &FencingStatus) {
        for target in &status.votes {
            self.remote_votes.entry(target.clone()).or_default().insert(from.clone());
        }
        for target in &status.fenced {
            self.record_fence(now, target);
        }
        let report = SuspectReport { received_at: now, suspects: status.suspects.clone() };
        self.reports.insert(from.clone(), report);
    }

    /// Replaces the members that this daemon suspects.
    pub(super) fn set_local_suspects(&mut self, suspects: BTreeSet<MemberId>) {
        self.local_suspects = suspects;
    }

    /// Returns the number of members that suspect `target`, counting only reports received at `since` or later.
    pub(super) fn n_suspecting(&self, target: &MemberId, since: TimePoint) -> usize {
        let others = self
            .reports
            .values()
            .filter(|report| since <= report.received_at && report.suspects.contains(target))
            .count();
        others + usize::from(self.local_suspects.contains(target))
    }

    /// Returns whether any vote to fence `target` is known.
    pub(super) fn has_votes_against(&self, target: &MemberId) -> bool {
        self.local_votes.contains(target) || self.remote_votes.contains_key(target)
    }

    /// Records this daemon's vote to fence `target`.
    pub(super) fn cast_vote(&mut self, target: &MemberId) {
        self.local_votes.insert(target.clone());
    }

    /// Returns the number of known votes to fence `target`, counting only voters that are members of `definition`.
    pub(super) fn n_votes(
        &self,
        target: &MemberId,
        definition: &RingDefinition,
        local_member: &MemberId,
    ) -> usize {
        let others = self
            .remote_votes
            .get(target)
            .map_or(0, |voters| voters.iter().filter(|it| definition.contains(it)).count());
        others + usize::from(self.local_votes.contains(target) && definition.contains(local_member))
    }

    /// Records that `target` has ended permanently.
    pub(super) fn record_end(&mut self, now: TimePoint, target: &MemberId) {
        self.ended.insert(target.clone());
        self.record_fence(now, target);
    }

    /// Records that `target` cannot hold the lease again during this membership.
    pub(super) fn record_fence(&mut self, now: TimePoint, target: &MemberId) {
        self.fences.entry(target.clone()).or_insert(now);
    }

    /// Returns when this daemon learned that `target` is fenced.
    pub(super) fn fenced_at(&self, target: &MemberId) -> Option<TimePoint> {
        self.fences.get(target).copied()
    }

    /// Removes the fences of members for which `is_needed` returns false.
    pub(super) fn prune<F>(&mut self, is_needed: F)
    where
        F: Fn(&MemberId) -> bool,
    {
        self.fences.retain(|member, _| is_needed(member));
        self.ended.retain(|member| is_needed(member));
    }

    /// Returns the status to send, with fences limited to the members of `definition`.
    pub(super) fn status(&self, definition: &RingDefinition) -> FencingStatus {
        FencingStatus {
            suspects: self.local_suspects.iter().cloned().collect(),
            votes: self.local_votes.iter().cloned().collect(),
            fenced: self.fences.keys().filter(|it| definition.contains(it)).cloned().collect(),
        }
    }
}
