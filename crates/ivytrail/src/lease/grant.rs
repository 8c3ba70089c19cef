//! The voter's side: promises given, and who was heard from when.

use std::collections::BTreeMap;

use crate::{id::MemberId, time::TimePoint};

/// A promise given to one member.
#[derive(Clone, Copy, Debug)]
struct VoterGrant {
    /// Epoch of the latest promise.
    epoch: u64,
    /// End of the latest promise on the voter's clock.
    until: TimePoint,
}

/// The latest sign of life of one member.
#[derive(Clone, Copy, Debug)]
struct MemberContact {
    /// Greatest epoch that the member has named.
    epoch: u64,
    /// When it was heard from.
    at: TimePoint,
}

/// All promises that this daemon has given, in any epoch.
#[derive(Debug, Default)]
pub(super) struct GrantTable {
    grants: BTreeMap<MemberId, VoterGrant>,
    contacts: BTreeMap<MemberId, MemberContact>,
}

impl GrantTable {
    /// Records a message of `member`, which has installed `epoch`.
    pub(super) fn record_contact(&mut self, now: TimePoint, member: &MemberId, epoch: u64) {
        let contact =
            self.contacts.entry(member.clone()).or_insert(MemberContact { epoch, at: now });
        contact.epoch = contact.epoch.max(epoch);
        contact.at = contact.at.max(now);
    }

    /// Returns when `member` was last heard from.
    pub(super) fn last_contact_at(&self, member: &MemberId) -> Option<TimePoint> {
        self.contacts.get(member).map(|contact| contact.at)
    }

    /// Records a promise.
    pub(super) fn record_grant(&mut self, member: &MemberId, epoch: u64, until: TimePoint) {
        let grant = self.grants.entry(member.clone()).or_insert(VoterGrant { epoch, until });
        grant.epoch = grant.epoch.max(epoch);
        grant.until = grant.until.max(until);
    }

    /// Returns the members that hold or held a promise.
    pub(super) fn holders(&self) -> impl Iterator<Item = &MemberId> {
        self.grants.keys()
    }

    /// Returns the end of the latest promise to `member`.
    pub(super) fn granted_until(&self, member: &MemberId) -> Option<TimePoint> {
        self.grants.get(member).map(|grant| grant.until)
    }

    /// Returns whether no promise of an epoch before `epoch` can still be relied upon.
    ///
    /// A holder that has named `epoch` or a later one has given up its lease under the earlier ones.
    pub(super) fn is_clear<F>(&self, now: TimePoint, epoch: u64, has_ended: F) -> bool
    where
        F: Fn(&MemberId) -> bool,
    {
        self.grants.iter().all(|(member, grant)| {
            epoch <= grant.epoch
                || grant.until <= now
                || self.contacts.get(member).is_some_and(|contact| epoch <= contact.epoch)
                || has_ended(member)
        })
    }

    /// Forgets promises that have expired and signs of members that `is_needed` no longer names.
    pub(super) fn prune<F>(&mut self, now: TimePoint, is_needed: F)
    where
        F: Fn(&MemberId) -> bool,
    {
        self.grants.retain(|member, grant| now < grant.until || is_needed(member));
        self.contacts.retain(|member, _| is_needed(member) || self.grants.contains_key(member));
    }
}
