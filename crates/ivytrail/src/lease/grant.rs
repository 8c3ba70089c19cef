//! Voter side of the lease protocol: promises granted, and the last contact with each member.

use std::collections::BTreeMap;

use crate::{id::MemberId, time::TimePoint};

/// Promise granted to one member.
#[derive(Clone, Copy, Debug)]
struct VoterGrant {
    /// Epoch of the latest promise.
    epoch: u64,
    /// Expiry of the latest promise on the voter's clock.
    until: TimePoint,
}

/// Last contact with one member.
#[derive(Clone, Copy, Debug)]
struct MemberContact {
    /// Greatest epoch that the member has reported.
    epoch: u64,
    /// Time at which the latest message was received.
    received_at: TimePoint,
}

/// Promises that this daemon has granted in any epoch, and its contacts with members.
#[derive(Debug, Default)]
pub(super) struct GrantTable {
    grants: BTreeMap<MemberId, VoterGrant>,
    contacts: BTreeMap<MemberId, MemberContact>,
}

impl GrantTable {
    /// Records a message from `member`, which has installed `epoch`.
    pub(super) fn record_contact(&mut self, now: TimePoint, member: &MemberId, epoch: u64) {
        let contact = self
            .contacts
            .entry(member.clone())
            .or_insert(MemberContact { epoch, received_at: now });
        contact.epoch = contact.epoch.max(epoch);
        contact.received_at = contact.received_at.max(now);
    }

    /// Returns when the latest message from `member` was received.
    pub(super) fn last_contact_at(&self, member: &MemberId) -> Option<TimePoint> {
        self.contacts.get(member).map(|contact| contact.received_at)
    }

    /// Records a promise to `member` that expires at `until`.
    pub(super) fn record_grant(&mut self, member: &MemberId, epoch: u64, until: TimePoint) {
        let grant = self.grants.entry(member.clone()).or_insert(VoterGrant { epoch, until });
        grant.epoch = grant.epoch.max(epoch);
        grant.until = grant.until.max(until);
    }

    /// Returns the members with a recorded promise, which may have expired.
    pub(super) fn holders(&self) -> impl Iterator<Item = &MemberId> {
        self.grants.keys()
    }

    /// Returns the expiry of the latest promise to `member`.
    pub(super) fn granted_until(&self, member: &MemberId) -> Option<TimePoint> {
        self.grants.get(member).map(|grant| grant.until)
    }

    /// Returns whether every promise granted in an epoch before `epoch` has lost its effect.
    ///
    /// A holder that has reported `epoch` or a later one no longer uses a lease of an earlier epoch.
    pub(super) fn are_earlier_grants_void<F>(
        &self,
        now: TimePoint,
        epoch: u64,
        has_ended: F,
    ) -> bool
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

    /// Removes expired promises and contacts of members for which `is_needed` returns false.
    pub(super) fn prune<F>(&mut self, now: TimePoint, is_needed: F)
    where
        F: Fn(&MemberId) -> bool,
    {
        self.grants.retain(|member, grant| now < grant.until || is_needed(member));
        self.contacts.retain(|member, _| is_needed(member) || self.grants.contains_key(member));
    }
}
