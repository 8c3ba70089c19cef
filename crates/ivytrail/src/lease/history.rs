//! History of replaced epochs and of the members that may have owned a key in them.

use std::{cmp::Reverse, time::Duration};

use super::RingDefinition;
use crate::{
    id::{ContentDigest, MemberId, rendezvous_weight},
    time::TimePoint,
};

/// Member that may have owned a key before the current owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PriorOwner {
    /// The member, or `None` if this daemon knows only that earlier owners existed.
    pub member: Option<MemberId>,
    /// Time by which the member had stopped owning the key, on this daemon's clock.
    pub owned_until: TimePoint,
    /// Whether the member is not fenced, so that it can still be queried for the status of the key.
    pub is_live: bool,
}

/// A replaced epoch.
#[derive(Debug)]
struct PastEpoch {
    definition: RingDefinition,
    /// Time at which this daemon first held its lease in a later epoch.
    replaced_at: Option<TimePoint>,
}

/// Epochs that this daemon has seen replaced.
#[derive(Debug, Default)]
pub(super) struct EpochHistory {
    past: Vec<PastEpoch>,
    /// End of the period before this daemon joined, whose owners are unknown; `None` for a member since the first
    /// epoch.
    unknown_until: Option<TimePoint>,
    /// End of the epochs that this daemon missed after it joined, in which any daemon may have owned its keys.
    missed_until: Option<TimePoint>,
}

impl EpochHistory {
    /// Appends a replaced epoch.
    pub(super) fn push(&mut self, definition: RingDefinition) {
        self.past.push(PastEpoch { definition, replaced_at: None });
    }

    /// Records that this daemon joined an existing ring whose previous definition is `before`.
    pub(super) fn record_join(&mut self, before: RingDefinition) {
        self.push(before);
        self.unknown_until = Some(TimePoint::from_micros(u64::MAX));
    }

    /// Records that this daemon missed epochs whose owners are unknown to it.
    pub(super) fn record_missed_epochs(&mut self) {
        self.missed_until = Some(TimePoint::from_micros(u64::MAX));
    }

    /// Records the first lease in the current epoch, after which no lease of an earlier epoch is valid.
    pub(super) fn close_epochs(&mut self, now: TimePoint) {
        for epoch in self.past.iter_mut().filter(|epoch| epoch.replaced_at.is_none()) {
            epoch.replaced_at = Some(now);
        }
        self.unknown_until = self.unknown_until.map(|until| until.min(now));
        self.missed_until = self.missed_until.map(|until| until.min(now));
    }

    /// Returns the members of all replaced epochs whose leases may still be valid.
    pub(super) fn unclosed_members(&self) -> impl Iterator<Item = &MemberId> {
        self.past
            .iter()
            .filter(|epoch| epoch.replaced_at.is_none())
            .flat_map(|epoch| epoch.definition.members.iter().map(|it| &it.member))
    }

    /// Removes epochs that were replaced longer than `span` ago.
    pub(super) fn prune(&mut self, now: TimePoint, span: Duration) {
        let is_recent = |at: TimePoint| now.since(at) <= span;
        self.past.retain(|epoch| epoch.replaced_at.is_none_or(is_recent));
        self.unknown_until = self.unknown_until.filter(|until| is_recent(*until));
        self.missed_until = self.missed_until.filter(|until| is_recent(*until));
    }

    /// Returns whether `member` belonged to any epoch in the history.
    pub(super) fn contains_member(&self, member: &MemberId) -> bool {
        self.past.iter().any(|epoch| epoch.definition.contains(member))
    }

    /// Appends to `priors` the members that may have owned the key before the current epoch, latest first.
    ///
    /// The search stops at an unfenced member, which answers for all owners before it. The requester is skipped: it
    /// knows its own runs, but does not answer for the owners before it.
    pub(super) fn append_prior_owners<F>(
        &self,
        digest: &ContentDigest,
        local_member: &MemberId,
        requester: Option<&MemberId>,
        fenced_at: F,
        priors: &mut Vec<PriorOwner>,
    ) where
        F: Fn(&MemberId) -> Option<TimePoint>,
    {
        let unknown = |owned_until| PriorOwner { member: None, owned_until, is_live: false };
        priors.extend(self.missed_until.map(unknown));
        for epoch in self.past.iter().rev() {
            let end = epoch.replaced_at.unwrap_or(TimePoint::from_micros(u64::MAX));
            for member in members_in_rendezvous_order(&epoch.definition, digest) {
                if member == local_member {
                    break;
                }
                if Some(member) == requester {
                    continue;
                }
                let fence = fenced_at(member);
                priors.push(PriorOwner {
                    member: Some(member.clone()),
                    owned_until: fence.unwrap_or(end),
                    is_live: fence.is_none(),
                });
                if fence.is_none() {
                    return;
                }
            }
        }
        priors.extend(self.unknown_until.map(unknown));
    }
}

/// Returns the members in rendezvous order, preferred owner first.
pub(super) fn members_in_rendezvous_order<'a>(
    definition: &'a RingDefinition,
    digest: &ContentDigest,
) -> Vec<&'a MemberId> {
    let mut members: Vec<&MemberId> = definition.members.iter().map(|it| &it.member).collect();
    members.sort_by_cached_key(|it| rendezvous_sort_key(it, digest));
    members
}

/// Returns the sort key of `member` in the rendezvous order for `digest`; the preferred owner has the smallest key.
pub(crate) fn rendezvous_sort_key<'a>(
    member: &'a MemberId,
    digest: &ContentDigest,
) -> (Reverse<u64>, &'a MemberId) {
    (Reverse(rendezvous_weight(&member.instance, digest)), member)
}
