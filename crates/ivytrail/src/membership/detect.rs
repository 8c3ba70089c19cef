//! Periodic work of a member: probes, suspicions, service lookups and rumors.

use std::time::Duration;

use rand::seq::SliceRandom;

use super::{
    GossipBody, GossipMessage, MemberRumor, MemberView,
    probe::{OpenProbe, OpenSuspicion},
    record::{MemberRecord, MemberState},
};
use crate::{
    id::{DomainName, MemberId},
    time::TimePoint,
};

/// Time between two ticks from which a pause of this process is assumed, so that missing answers prove nothing.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// A network partition is assumed when more than one in this many members of a failure domain is suspected.
const MASS_SUSPICION_DIVISOR: usize = 3;

/// Maximum number of bytes of rumors piggybacked on a message with another purpose.
const MAX_PIGGYBACK_BYTES: usize = 400;

impl MemberView {
    /// Resets the failure detector after a pause of this process, which makes its evidence invalid.
    pub(super) fn detect_pause(&mut self, now: TimePoint) {
        let last = self.last_tick_at.replace(now);
        if last.is_some_and(|it| PAUSE_THRESHOLD <= now.since(it)) {
            self.detector.reset(now);
        }
    }

    pub(super) fn review_probes(
        &mut self,
        now: TimePoint,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        let review = self.detector.review(now, &self.options);
        for probe in review.to_probe_indirectly {
            self.send_indirect_probes(&probe, out);
        }
        for member in review.unanswered {
            let version =
                self.get(&member).filter(|it| !it.state.is_inactive()).map(|it| it.version);
            if let Some(version) = version {
                self.handle_rumor(now, MemberRumor::Suspect { member, version });
            }
        }
    }

    fn send_indirect_probes(
        &mut self,
        probe: &OpenProbe,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        let helpers = self.members.sample_running(
            &mut self.rng,
            self.options.indirect_probes + 1,
            &self.local_record.member,
        );
        let helpers = helpers.into_iter().filter(|it| *it != probe.target);
        for helper in helpers.take(self.options.indirect_probes) {
            let body = GossipBody::PingFor { serial: probe.serial, target: probe.target.clone() };
            out.push((helper, GossipMessage { body, rumors: Vec::new() }));
        }
    }

    /// Declares suspected members dead when their suspicion has timed out.
    pub(super) fn expire_suspicions(&mut self, now: TimePoint) {
        let partitioned_domains = self.partitioned_domains();
        let timeout_of = |suspicion: &OpenSuspicion| {
            let domain = self.get(&suspicion.member).map(|it| &it.domain);
            match domain {
                Some(domain) if partitioned_domains.contains(domain) => {
                    self.options.mass_suspicion_timeout
                }
                _ => self.options.suspicion_timeout,
            }
        };
        for suspicion in self.detector.expired_suspicions(now, timeout_of) {
            let OpenSuspicion { member, version, .. } = suspicion;
            self.detector.clear_suspicion(&member.instance);
            self.handle_rumor(now, MemberRumor::Dead { member, version });
        }
    }

    /// Returns the failure domains with so many suspected members that a network partition is likely.
    fn partitioned_domains(&self) -> Vec<DomainName> {
        const MIN_SUSPECTS: usize = 3;
        let suspects: Vec<&MemberRecord> =
            self.detector.suspicions().filter_map(|it| self.get(&it.member)).collect();
        if suspects.len() < MIN_SUSPECTS {
            return Vec::new();
        }
        let mut domains: Vec<_> = suspects.iter().map(|it| it.domain.clone()).collect();
        domains.sort();
        domains.dedup();
        domains.retain(|domain| {
            let n_suspects = suspects.iter().filter(|it| it.domain == *domain).count();
            let running =
                self.members.records().filter(|it| it.domain == *domain && !it.state.is_inactive());
            MIN_SUSPECTS <= n_suspects && running.count() < n_suspects * MASS_SUSPICION_DIVISOR
        });
        domains
    }

    /// Probes members that data traffic could not reach and, once per probe period, the next member of the round.
    pub(super) fn send_due_probes(
        &mut self,
        now: TimePoint,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        for member in std::mem::take(&mut self.unreachable) {
            self.probe(now, &member, None, out);
        }
        if now < self.next_probe_at {
            return;
        }
        self.next_probe_at = now.plus(self.options.probe_period);
        let Some(member) = self.next_probe_target(now) else { return };
        self.probe(now, &member, None, out);
    }

    /// Returns the next member to probe. Members with a contact within the probe period are skipped, but if this
    /// applies to all, one of them is probed nevertheless, because probes carry the list digests.
    fn next_probe_target(&mut self, now: TimePoint) -> Option<MemberId> {
        let mut fallback = None;
        for _ in 0..=self.members.n_running() {
            if self.probe_round.is_empty() {
                self.start_probe_round();
            }
            let name = self.probe_round.pop()?;
            let Some(entry) = self.members.by_instance(&name) else { continue };
            if entry.record.state.is_inactive() || entry.record.member == self.local_record.member {
                continue;
            }
            if self.options.probe_period <= now.since(entry.last_contact_at) {
                return Some(entry.record.member.clone());
            }
            fallback = Some(entry.record.member.clone());
        }
        fallback
    }

    fn start_probe_round(&mut self) {
        let running = (0..self.members.n_running()).filter_map(|it| self.members.running_at(it));
        self.probe_round = running.map(|it| it.member.instance.clone()).collect();
        self.probe_round.shuffle(&mut self.rng);
    }

    /// Sends a probe to `target`, on behalf of `origin` if given.
    pub(super) fn probe(
        &mut self,
        now: TimePoint,
        target: &MemberId,
        origin: Option<(MemberId, u64)>,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        if origin.is_none() && self.detector.has_open_probe(target) {
            return;
        }
        let serial = self.detector.open_probe(now, target.clone(), origin);
        let body = GossipBody::Ping {
            serial,
            sender: self.local_record.clone(),
            digest: self.members.digest(),
        };
        let message = self.piggyback_rumors(target, body);
        out.push((target.clone(), message));
    }

    /// Removes expired tombstones and probes one dead member: after a partition, each side has declared the other
    /// dead.
    pub(super) fn maintain_dead(
        &mut self,
        now: TimePoint,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        if now < self.next_revival_at {
            return;
        }
        self.next_revival_at = now.plus(self.options.revival_probe_period);
        self.members.remove_expired_tombstones(now, self.options.tombstone_ttl);
        let dead = self.members.sample_dead(&mut self.rng).map(|it| it.member.clone());
        if let Some(member) = dead {
            self.probe(now, &member, None, out);
        }
    }

    pub(super) fn send_lookups(
        &mut self,
        now: TimePoint,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        if self.members.n_running() < 2 {
            return;
        }
        while let Some((service, offset)) = self.lookups.take_due(now) {
            let sample = self.members.sample_running(&mut self.rng, 1, &self.local_record.member);
            let Some(receiver) = sample.into_iter().next() else { return };
            let body = GossipBody::Lookup { sender: self.local_record.clone(), service, offset };
            out.push((receiver, GossipMessage { body, rumors: Vec::new() }));
        }
    }

    /// Sends queued rumors to a few randomly selected members.
    pub(super) fn send_rumors(&mut self, out: &mut Vec<(MemberId, GossipMessage)>) {
        if self.rumors.is_empty() {
            return;
        }
        let receivers = self.members.sample_running(
            &mut self.rng,
            self.options.fanout,
            &self.local_record.member,
        );
        if receivers.is_empty() {
            return;
        }
        let max_bytes = self.budget.bytes_left() / receivers.len();
        let rumors =
            self.rumors.take(max_bytes.min(self.options.max_message_bytes), receivers.len() as u32);
        if rumors.is_empty() {
            return;
        }
        let len: usize = rumors.iter().map(MemberRumor::encoded_len).sum();
        self.budget.spend(len * receivers.len());
        for receiver in receivers {
            out.push((receiver, GossipMessage { body: GossipBody::News, rumors: rumors.clone() }));
        }
    }

    /// Returns a message to `receiver` with a few piggybacked rumors, first of all any that the receiver has to
    /// refute.
    pub(super) fn piggyback_rumors(
        &mut self,
        receiver: &MemberId,
        body: GossipBody,
    ) -> GossipMessage {
        let max_bytes = MAX_PIGGYBACK_BYTES.min(self.budget.bytes_left());
        let mut rumors = self.rumors.take(max_bytes, 1);
        let len: usize = rumors.iter().map(MemberRumor::encoded_len).sum();
        self.budget.spend(len);
        if let Some(rumor) = self.rumor_to_refute(receiver) {
            rumors.insert(0, rumor);
        }
        GossipMessage { body, rumors }
    }

    /// Returns the rumor that `member` has to refute if it is suspected or declared dead.
    fn rumor_to_refute(&self, member: &MemberId) -> Option<MemberRumor> {
        let record = self.get(member)?;
        let (member, version) = (member.clone(), record.version);
        match record.state {
            MemberState::Dead => Some(MemberRumor::Dead { member, version }),
            _ if self.is_suspect(&member) => Some(MemberRumor::Suspect { member, version }),
            _ => None,
        }
    }
}
