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
struct LifeSign {
    /// Greatest epoch that the member has named.
    epoch: u64,
    /// When it was heard from.
    at: TimePoint,
}

/// All promises that this daemon has given, in any epoch.
#[derive(Debug, Default)]
pub(super) struct GrantBook {
    grants: BTreeMap<MemberId, VoterGrant>,
    signs: BTreeMap<MemberId, LifeSign>,
}

impl GrantBook {
    /// Records a message of `member`, which has installed `epoch`.
    pub(super) fn hear(&mut self, now: TimePoint, member: &MemberId, epoch: u64) {
        let sign = self.signs.entry(member.clone()).or_insert(LifeSign { epoch, at: now });
        sign.epoch = sign.epoch.max(epoch);
        sign.at = sign.at.max(now);
    }

    /// Returns when `member` was last heard from.
    pub(super) fn heard_at(&self, member: &MemberId) -> Option<TimePoint> {
        self.signs.get(member).map(|sign| sign.at)
    }

    /// Records a promise.
    pub(super) fn grant(&mut self, member: &MemberId, epoch: u64, until: TimePoint) {
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
                || self.signs.get(member).is_some_and(|sign| epoch <= sign.epoch)
                || has_ended(member)
        })
    }

    /// Forgets promises that have expired and signs of members that `is_needed` no longer names.
    pub(super) fn prune<F>(&mut self, now: TimePoint, is_needed: F)
    where
        F: Fn(&MemberId) -> bool,
    {
        self.grants.retain(|member, grant| now < grant.until || is_needed(member));
        self.signs.retain(|member, _| is_needed(member) || self.grants.contains_key(member));
    }
}
