//! Member list: the latest record of each instance, with digests for finding the differences between two lists.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{
    RngExt,
    rngs::StdRng,
    seq::{IndexedRandom, SliceRandom},
};

use super::record::{BUCKET_COUNT, MemberRecord, MemberState, bucket_of};
use crate::{
    id::{InstanceName, MemberId, ServiceName},
    time::TimePoint,
};

/// Number of groups into which the buckets are divided; a group has as many buckets.
pub(crate) const GROUP_COUNT: usize = 32;

/// Entry of one member in the list.
#[derive(Clone, Debug)]
pub(crate) struct ListEntry {
    pub(crate) record: MemberRecord,
    /// Time of the last sign that the member itself is alive.
    pub(crate) last_contact_at: TimePoint,
    /// Time at which the member was found to be inactive.
    inactive_since: TimePoint,
}

/// Result of merging a record into the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeResult {
    /// The record is now that of its instance.
    Applied,
    /// The list already contained the same record.
    Unchanged,
    /// The list contains a later record, or the record ends a member that was never known.
    Outdated,
}

/// Latest record of each instance.
#[derive(Debug)]
pub(crate) struct MemberList {
    entries: BTreeMap<InstanceName, ListEntry>,
    /// Instances of running members in no particular order, for random selection.
    running: Vec<InstanceName>,
    buckets: Vec<BTreeSet<InstanceName>>,
    digests: Vec<u64>,
    /// XOR of all bucket digests.
    digest: u64,
    changes: Vec<MemberRecord>,
}

impl MemberList {
    pub(crate) fn new() -> MemberList {
        MemberList {
            entries: BTreeMap::new(),
            running: Vec::new(),
            buckets: vec![BTreeSet::new(); BUCKET_COUNT],
            digests: vec![0; BUCKET_COUNT],
            digest: 0,
            changes: Vec::new(),
        }
    }

    /// Stores `record` if it is later than the record of its instance.
    pub(crate) fn merge(&mut self, now: TimePoint, record: &MemberRecord) -> MergeResult {
        let entry = self.entries.get(&record.member.instance);
        match entry.map(|it| it.record.clone()) {
            // The end of an unknown member changes nothing; storing it would keep tombstones in circulation forever.
            None if record.state.is_inactive() => MergeResult::Outdated,
            Some(known) if known == *record => MergeResult::Unchanged,
            Some(known) if !record.supersedes(&known) => MergeResult::Outdated,
            known => {
                self.replace(now, known.as_ref(), record);
                MergeResult::Applied
            }
        }
    }

    pub(crate) fn get(&self, member: &MemberId) -> Option<&ListEntry> {
        self.entries.get(&member.instance).filter(|it| it.record.member == *member)
    }

    pub(crate) fn by_instance(&self, instance: &InstanceName) -> Option<&ListEntry> {
        self.entries.get(instance)
    }

    pub(crate) fn record_contact(&mut self, now: TimePoint, member: &MemberId) {
        let entry = self.entries.get_mut(&member.instance);
        if let Some(entry) = entry.filter(|it| it.record.member == *member) {
            entry.last_contact_at = now;
        }
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|it| &it.record)
    }

    pub(crate) fn n_running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn running_at(&self, idx: usize) -> Option<&MemberRecord> {
        self.running.get(idx).and_then(|it| self.entries.get(it)).map(|it| &it.record)
    }

    /// Returns up to `n_wanted` distinct running members other than `except`, randomly selected.
    pub(crate) fn sample_running(
        &self,
        rng: &mut StdRng,
        n_wanted: usize,
        except: &MemberId,
    ) -> Vec<MemberId> {
        const DRAWS_PER_MEMBER: usize = 4;
        let n_running = self.running.len();
        let n_draws = n_wanted * DRAWS_PER_MEMBER;
        // Among few members, independent draws would often miss the remaining ones; a shuffle finds them all.
        let draws: Vec<usize> = if n_running <= n_draws {
            let mut all: Vec<usize> = (0..n_running).collect();
            all.shuffle(rng);
            all
        } else {
            (0..n_draws).map(|_| rng.random_range(0..n_running)).collect()
        };
        let mut sample: Vec<MemberId> = Vec::with_capacity(n_wanted);
        for member in draws.into_iter().filter_map(|it| self.running_at(it)).map(|it| &it.member) {
            if sample.len() == n_wanted {
                break;
            }
            if member != except && !sample.contains(member) {
                sample.push(member.clone());
            }
        }
        sample
    }

    /// Returns a randomly selected dead member, if any.
    pub(crate) fn sample_dead(&self, rng: &mut StdRng) -> Option<&MemberRecord> {
        let dead = self.records().filter(|it| it.state == MemberState::Dead);
        dead.collect::<Vec<_>>().choose(rng).copied()
    }

    /// Returns the running members of `service` ordered by instance name, skipping the first `offset`.
    pub(crate) fn running_of_service(
        &self,
        service: &ServiceName,
        offset: usize,
    ) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(move |it| !it.state.is_inactive() && it.service.as_ref() == Some(service))
            .skip(offset)
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn group_digests(&self) -> Vec<u64> {
        self.digests
            .chunks(BUCKET_COUNT / GROUP_COUNT)
            .map(|it| it.iter().fold(0, |acc, it| acc ^ it))
            .collect()
    }

    pub(crate) fn bucket_digests(&self, group: usize) -> &[u64] {
        self.digests.chunks(BUCKET_COUNT / GROUP_COUNT).nth(group).unwrap_or(&[])
    }

    pub(crate) fn bucket_records(&self, bucket: usize) -> impl Iterator<Item = &MemberRecord> {
        let names = self.buckets.get(bucket).into_iter().flatten();
        names.filter_map(|it| self.entries.get(it)).map(|it| &it.record)
    }

    /// Removes members that have been inactive for longer than `tombstone_ttl`.
    pub(crate) fn remove_expired_tombstones(&mut self, now: TimePoint, tombstone_ttl: Duration) {
        let expired: Vec<InstanceName> = self
            .entries
            .iter()
            .filter(|(_, it)| {
                it.record.state.is_inactive() && tombstone_ttl < now.since(it.inactive_since)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            self.entries.remove(name);
            self.buckets[bucket_of(name)].remove(name);
        }
    }

    pub(crate) fn take_changes(&mut self) -> Vec<MemberRecord> {
        std::mem::take(&mut self.changes)
    }

    fn replace(&mut self, now: TimePoint, known: Option<&MemberRecord>, record: &MemberRecord) {
        assert!(
            known.is_none_or(|it| record.supersedes(it)),
            "a record is only replaced by a later one"
        );
        let name = &record.member.instance;
        let bucket = bucket_of(name);
        let was_running = known.is_some_and(|it| !it.state.is_inactive());
        let is_running = !record.state.is_inactive();
        if let Some(old) = known.filter(|_| was_running) {
            self.digests[bucket] ^= old.digest();
            self.digest ^= old.digest();
        }
        if let Some(old) = known.filter(|it| it.member != record.member && was_running) {
            self.changes.push(MemberRecord { state: MemberState::Dead, ..old.clone() });
        }
        if is_running {
            self.digests[bucket] ^= record.digest();
            self.digest ^= record.digest();
        }
        match (was_running, is_running) {
            (false, true) => self.running.push(name.clone()),
            (true, false) => self.running.retain(|it| it != name),
            _ => {}
        }
        self.buckets[bucket].insert(name.clone());
        self.changes.push(record.clone());
        let entry = ListEntry { record: record.clone(), last_contact_at: now, inactive_since: now };
        self.entries.insert(name.clone(), entry);
    }
}
