//! Proposals for the next epoch of a ring.

use super::{LeaseRing, RingDefinition, RingMember};
use crate::{
    id::{DomainName, MemberId},
    time::TimePoint,
};

impl LeaseRing {
    /// Returns the next definition to write by compare-and-set, or `None` if no change is required.
    ///
    /// `eligible` lists the daemons that may be members, according to the membership view. A change adds or removes
    /// one member. Only a member that has held its lease in the current epoch proposes it: no lease of an earlier
    /// epoch is then still valid, and the proposer knows every member that was fenced in one. The exception is a ring
    /// whose members have all ended: a newly started daemon proposes all of its new members at once.
    pub fn proposed_change(
        &self,
        now: TimePoint,
        eligible: &[RingMember],
    ) -> Option<RingDefinition> {
        let definition = self.definition.as_ref()?;
        if !self.is_member() {
            return self.replacement_definition(definition, eligible);
        }
        if !self.has_held_lease || self.active_definition().is_none() {
            return None;
        }
        let smaller = self
            .removable_members(definition, eligible)
            .map(|former| without_member(definition, former))
            .find(|next| self.preserves_fences(next));
        if smaller.is_some() || !self.holds_lease(now) {
            return smaller;
        }
        let added = self.member_to_add(definition, eligible)?;
        let mut members = definition.members.clone();
        members.push(added);
        Some(next_definition(definition, members)).filter(|next| self.preserves_fences(next))
    }

    /// Returns whether every member with a known fence vote against it remains without a lease in the epoch `next`.
    ///
    /// Votes are permanent, but the number of voters that blocks a lease changes with the members. A fenced member
    /// must never hold the lease again, so the known voters must be sufficient in the next epoch too.
    fn preserves_fences(&self, next: &RingDefinition) -> bool {
        next.members.iter().map(|it| &it.member).all(|member| {
            let is_safe =
                !self.fencing.has_votes_against(member) && self.fencing.fenced_at(member).is_none();
            is_safe
                || next.blocking_count() <= self.fencing.n_votes(member, next, &self.local_member)
        })
    }

    /// Returns the other members that can never hold the lease again, or that the known votes prevent from holding
    /// it.
    fn removable_members<'a>(
        &'a self,
        definition: &'a RingDefinition,
        eligible: &'a [RingMember],
    ) -> impl Iterator<Item = &'a MemberId> {
        let others =
            definition.members.iter().map(|it| &it.member).filter(|it| **it != self.local_member);
        others.filter(|it| {
            self.fencing.fenced_at(it).is_some()
                || definition.blocking_count()
                    <= self.fencing.n_votes(it, definition, &self.local_member)
                || eligible.iter().any(|other| is_newer_incarnation(&other.member, it))
        })
    }

    /// Returns a daemon to add, from the failure domain that has the fewest members.
    fn member_to_add(
        &self,
        definition: &RingDefinition,
        eligible: &[RingMember],
    ) -> Option<RingMember> {
        if self.options.max_members <= definition.members.len() {
            return None;
        }
        let in_domain = |domain: &DomainName| {
            definition.members.iter().filter(|it| it.domain == *domain).count()
        };
        let has_instance = |new: &MemberId| {
            definition.members.iter().any(|old| old.member.instance == new.instance)
        };
        eligible
            .iter()
            .filter(|it| !has_instance(&it.member))
            .filter(|it| self.fencing.fenced_at(&it.member).is_none())
            .filter(|it| {
                !eligible.iter().any(|other| is_newer_incarnation(&other.member, &it.member))
            })
            .min_by_key(|it| (in_domain(&it.domain), &it.member))
            .cloned()
    }

    /// Returns a definition with new members if newer incarnations prove that every current member has ended.
    fn replacement_definition(
        &self,
        definition: &RingDefinition,
        eligible: &[RingMember],
    ) -> Option<RingDefinition> {
        let has_ended = |old: &RingMember| {
            eligible.iter().any(|it| is_newer_incarnation(&it.member, &old.member))
        };
        if self.is_expelled || !definition.members.iter().all(has_ended) {
            return None;
        }
        let mut members = eligible.to_vec();
        members.retain(|it| {
            !eligible.iter().any(|other| is_newer_incarnation(&other.member, &it.member))
        });
        members.sort();
        members.truncate(self.options.max_members);
        let includes_local_member = members.iter().any(|it| it.member == self.local_member);
        includes_local_member.then(|| next_definition(definition, members))
    }
}

/// Returns whether `newer` is a later incarnation of the same instance as `older`.
pub(super) fn is_newer_incarnation(newer: &MemberId, older: &MemberId) -> bool {
    newer.instance == older.instance && older.incarnation < newer.incarnation
}

fn without_member(definition: &RingDefinition, former: &MemberId) -> RingDefinition {
    let members = definition.members.iter().filter(|it| it.member != *former);
    next_definition(definition, members.cloned().collect())
}

fn next_definition(definition: &RingDefinition, members: Vec<RingMember>) -> RingDefinition {
    RingDefinition { name: definition.name.clone(), epoch: definition.epoch + 1, members }
}
