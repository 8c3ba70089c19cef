//! Handling of messages from other members.

use rand::seq::IndexedRandom;

use super::{
    GossipBody, GossipMessage, MemberRecord, MemberRumor, MemberState, MemberView,
    list::GROUP_COUNT,
    record::{BUCKET_COUNT, bucket_of},
};
use crate::{
    id::{MemberId, ServiceName},
    time::TimePoint,
};

/// Number of buckets in one group.
const BUCKETS_PER_GROUP: usize = BUCKET_COUNT / GROUP_COUNT;

/// Maximum number of groups compared in one repair. A joining member differs in all of them; the byte budget limits
/// the records that follow.
const MAX_GROUPS_PER_REPAIR: usize = 8;

/// Maximum number of buckets of one group whose records are exchanged in one repair.
const MAX_BUCKETS_PER_REPAIR: usize = 8;

/// Size in bytes of a message with the bucket digests of one group.
const GROUP_DIGESTS_BYTES: usize = BUCKETS_PER_GROUP * 9;

impl MemberView {
    /// Handles a rumor and queues it for dissemination if it is new; returns whether it was.
    pub(super) fn handle_rumor(&mut self, now: TimePoint, rumor: MemberRumor) -> bool {
        let is_new = match &rumor {
            MemberRumor::Record(record) => self.apply_record(now, record),
            MemberRumor::Suspect { member, version } | MemberRumor::Dead { member, version }
                if member.instance == self.local_record.member.instance =>
            {
                self.refute_or_yield(now, member.incarnation, *version, true);
                false
            }
            MemberRumor::Suspect { member, version } => {
                self.handle_suspicion(now, member, *version)
            }
            MemberRumor::Dead { member, version } => self.handle_death(now, member, *version),
        };
        if is_new {
            self.rumors.push(rumor, self.options.rumor_sends);
        } else {
            self.rumors.record_known(&rumor);
        }
        is_new
    }

    fn handle_suspicion(&mut self, now: TimePoint, member: &MemberId, version: u64) -> bool {
        let is_current =
            self.get(member).is_some_and(|it| !it.state.is_inactive() && it.version <= version);
        is_current && self.detector.add_suspicion(now, member, version)
    }

    fn handle_death(&mut self, now: TimePoint, member: &MemberId, version: u64) -> bool {
        let known = self.get(member).filter(|it| !it.state.is_inactive() && it.version <= version);
        let Some(record) = known else { return false };
        let record = MemberRecord { state: MemberState::Dead, version, ..record.clone() };
        self.apply_record(now, &record)
    }

    pub(super) fn handle_body(
        &mut self,
        now: TimePoint,
        from: &MemberId,
        body: GossipBody,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        match body {
            GossipBody::Ping { sender, .. } | GossipBody::Lookup { sender, .. }
                if sender.member != *from => {}
            GossipBody::Ping { serial, sender, digest } => {
                self.apply_record(now, &sender);
                self.answer_ping(from, serial, out);
                self.start_repair(now, from, digest, out);
            }
            GossipBody::Ack { serial, target, digest } => {
                self.handle_ack(now, from, serial, &target, out);
                self.start_repair(now, from, digest, out);
            }
            GossipBody::PingFor { serial, target } => {
                if self.get(&target).is_some() && self.get(from).is_some() {
                    self.probe(now, &target, Some((from.clone(), serial)), out);
                }
            }
            GossipBody::Lookup { sender, service, offset } => {
                self.apply_record(now, &sender);
                self.answer_lookup(from, service, offset, out);
            }
            GossipBody::Found { service, records, next_offset } => {
                self.lookups.record_answer(&service, records.len(), next_offset);
                self.apply_records(now, &records);
            }
            GossipBody::Groups { digests } => self.answer_groups(from, &digests, out),
            GossipBody::Buckets { group, digests } => {
                self.answer_buckets(from, group, &digests, out);
            }
            GossipBody::Records { buckets, records, wants_answer } => {
                let answer = self.newer_records(&buckets, &records);
                self.apply_records(now, &records);
                if wants_answer {
                    self.send_records(from, buckets, answer, false, out);
                }
            }
            GossipBody::News => {}
        }
        self.members.record_contact(now, from);
        self.detector.close_local_probes(from);
    }

    fn apply_records(&mut self, now: TimePoint, records: &[MemberRecord]) {
        for record in records {
            self.apply_record(now, record);
        }
    }

    fn answer_ping(
        &mut self,
        from: &MemberId,
        serial: u64,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        if self.get(from).is_none() {
            return self.notify_older_incarnation(from, out);
        }
        let body = GossipBody::Ack {
            serial,
            target: self.local_record.member.clone(),
            digest: self.members.digest(),
        };
        let message = self.piggyback_rumors(from, body);
        out.push((from.clone(), message));
    }

    /// Informs an older incarnation, which resumed after a pause, that a newer one has started. The message is sent
    /// to the address in the newer record; it is lost unless the older incarnation has the same address.
    fn notify_older_incarnation(
        &mut self,
        from: &MemberId,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        let newer = self.members.by_instance(&from.instance).map(|it| it.record.clone());
        if let Some(record) = newer {
            let receiver = record.member.clone();
            let rumors = vec![MemberRumor::Record(record)];
            out.push((receiver, GossipMessage { body: GossipBody::News, rumors }));
        }
    }

    fn handle_ack(
        &mut self,
        now: TimePoint,
        from: &MemberId,
        serial: u64,
        target: &MemberId,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        self.members.record_contact(now, target);
        // An ack relayed by a helper carries this member's own serial; the target's direct ack may still arrive
        // later.
        if from != target {
            self.detector.close_local_probes(target);
            return;
        }
        let Some(probe) = self.detector.close_probe(serial, target) else { return };
        if let Some((origin, serial)) = probe.origin {
            let body =
                GossipBody::Ack { serial, target: target.clone(), digest: self.members.digest() };
            let message = GossipMessage { body, rumors: Vec::new() };
            out.push((origin, message));
        }
    }

    fn answer_lookup(
        &mut self,
        from: &MemberId,
        service: ServiceName,
        offset: u32,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        if self.get(from).is_none() {
            return;
        }
        let mut records = Vec::new();
        let mut bytes_left = self.options.max_message_bytes.min(self.budget.bytes_left());
        let mut next_offset = None;
        for record in self.members.running_of_service(&service, offset as usize) {
            let Some(left) = bytes_left.checked_sub(record.encoded_len()) else {
                next_offset = Some(offset + records.len() as u32);
                break;
            };
            bytes_left = left;
            records.push(record.clone());
        }
        self.budget.spend(records.iter().map(MemberRecord::encoded_len).sum());
        let body = GossipBody::Found { service, records, next_offset };
        out.push((from.clone(), GossipMessage { body, rumors: Vec::new() }));
    }

    /// Starts a repair with `from` if the lists differ and a repair is due.
    fn start_repair(
        &mut self,
        now: TimePoint,
        from: &MemberId,
        digest: u64,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        if digest == self.members.digest() || now < self.next_repair_at || self.get(from).is_none()
        {
            return;
        }
        self.next_repair_at = now.plus(self.options.repair_period);
        let body = GossipBody::Groups { digests: self.members.group_digests() };
        out.push((from.clone(), GossipMessage { body, rumors: Vec::new() }));
    }

    /// Replies with the bucket digests of groups that differ, randomly selected if there are too many.
    fn answer_groups(
        &mut self,
        from: &MemberId,
        digests: &[u64],
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        let local_digests = self.members.group_digests();
        if digests.len() != local_digests.len() || self.get(from).is_none() {
            return;
        }
        let differing: Vec<usize> =
            (0..local_digests.len()).filter(|it| local_digests[*it] != digests[*it]).collect();
        let n_groups = MAX_GROUPS_PER_REPAIR.min(self.budget.bytes_left() / GROUP_DIGESTS_BYTES);
        let groups: Vec<usize> = differing.sample(&mut self.rng, n_groups).copied().collect();
        for group in groups {
            self.budget.spend(GROUP_DIGESTS_BYTES);
            let digests = self.members.bucket_digests(group).to_vec();
            let body = GossipBody::Buckets { group: group as u16, digests };
            out.push((from.clone(), GossipMessage { body, rumors: Vec::new() }));
        }
    }

    /// Sends the local records of buckets that differ, and requests the records that are newer or missing here.
    fn answer_buckets(
        &mut self,
        from: &MemberId,
        group: u16,
        digests: &[u64],
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        let group = usize::from(group);
        let local_digests = self.members.bucket_digests(group);
        if digests.len() != local_digests.len() || self.get(from).is_none() {
            return;
        }
        let n_buckets = if local_digests.iter().all(|it| *it == 0) {
            BUCKETS_PER_GROUP
        } else {
            MAX_BUCKETS_PER_REPAIR
        };
        let differing = (0..local_digests.len()).filter(|it| local_digests[*it] != digests[*it]);
        let buckets: Vec<u16> =
            differing.take(n_buckets).map(|it| (group * BUCKETS_PER_GROUP + it) as u16).collect();
        let records = self.newer_records(&buckets, &[]);
        self.send_records(from, buckets, records, true, out);
    }

    /// Returns the local records of `buckets` that are missing from `remote` or newer than there.
    fn newer_records(&self, buckets: &[u16], remote: &[MemberRecord]) -> Vec<MemberRecord> {
        let local_records =
            buckets.iter().flat_map(|it| self.members.bucket_records(usize::from(*it)));
        let is_newer = |record: &MemberRecord| {
            let other = remote.iter().find(|it| it.member.instance == record.member.instance);
            other.is_none_or(|it| record.supersedes(it))
        };
        local_records.filter(|it| is_newer(it)).cloned().collect()
    }

    fn send_records(
        &mut self,
        to: &MemberId,
        buckets: Vec<u16>,
        mut records: Vec<MemberRecord>,
        wants_answer: bool,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        if self.get(to).is_none() || (records.is_empty() && !wants_answer) {
            return;
        }
        debug_assert!(
            records.iter().all(|it| buckets.contains(&(bucket_of(&it.member.instance) as u16)))
        );
        let mut bytes_left = self.options.max_message_bytes.min(self.budget.bytes_left());
        let mut n_sent = 0;
        for record in &records {
            let Some(left) = bytes_left.checked_sub(record.encoded_len()) else { break };
            bytes_left = left;
            n_sent += 1;
        }
        records.truncate(n_sent);
        self.budget.spend(records.iter().map(MemberRecord::encoded_len).sum());
        let body = GossipBody::Records { buckets, records, wants_answer };
        out.push((to.clone(), GossipMessage { body, rumors: Vec::new() }));
    }
}
