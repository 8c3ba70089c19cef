//! What a member does of its own accord at each tick: probing, suspecting, spreading.

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

/// Time without a tick after which this member takes itself, not the others, for the one that was silent.
const PAUSE_TIME: Duration = Duration::from_secs(1);

/// A cut is assumed when more than one in this many members of a domain is suspected.
const MASS_SUSPICION_PART: usize = 3;

/// Bytes of rumors that ride on a message with another purpose.
const PIGGYBACK_BYTES: usize = 400;

impl MemberView {
    /// Drops the evidence that a pause of this member has made worthless.
    pub(super) fn notice_pause(&mut self, now: TimePoint) {
        let last = self.last_tick_at.replace(now);
        if last.is_some_and(|it| PAUSE_TIME <= now.since(it)) {
            self.probes.restart(now);
        }
    }

    pub(super) fn review_probes(
        &mut self,
        now: TimePoint,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        let findings = self.probes.review(now, &self.options);
        for probe in findings.to_repeat {
            self.repeat_probe(&probe, out);
        }
        for member in findings.silent {
            let version = self.get(&member).filter(|it| !it.state.is_over()).map(|it| it.version);
            if let Some(version) = version {
                self.hear_rumor(now, MemberRumor::Suspect { member, version });
            }
        }
    }

    fn repeat_probe(&mut self, probe: &OpenProbe, out: &mut Vec<(MemberId, GossipMessage)>) {
        let helpers =
            self.book.sample(&mut self.rng, self.options.indirect_probes + 1, &self.me.member);
        let helpers = helpers.into_iter().filter(|it| *it != probe.target);
        for helper in helpers.take(self.options.indirect_probes) {
            let body = GossipBody::PingFor { serial: probe.serial, target: probe.target.clone() };
            out.push((helper, GossipMessage { body, rumors: Vec::new() }));
        }
    }

    /// Holds suspected members dead when their time is over.
    pub(super) fn bury_suspects(&mut self, now: TimePoint) {
        let cut_domains = self.cut_domains();
        let time_for = |suspicion: &OpenSuspicion| {
            let domain = self.get(&suspicion.member).map(|it| &it.domain);
            match domain {
                Some(domain) if cut_domains.contains(domain) => self.options.mass_suspicion_time,
                _ => self.options.suspicion_time,
            }
        };
        for suspicion in self.probes.ripe(now, time_for) {
            let OpenSuspicion { member, version, .. } = suspicion;
            self.probes.clear_suspicion(&member.instance);
            self.hear_rumor(now, MemberRumor::Dead { member, version });
        }
    }

    /// Returns the failure domains of which so many members are suspected that a cut is likely.
    fn cut_domains(&self) -> Vec<DomainName> {
        const FEWEST_SUSPECTS: usize = 3;
        let suspects: Vec<&MemberRecord> =
            self.probes.suspicions().filter_map(|it| self.get(&it.member)).collect();
        if suspects.len() < FEWEST_SUSPECTS {
            return Vec::new();
        }
        let mut domains: Vec<_> = suspects.iter().map(|it| it.domain.clone()).collect();
        domains.sort();
        domains.dedup();
        domains.retain(|domain| {
            let n_suspects = suspects.iter().filter(|it| it.domain == *domain).count();
            let running =
                self.book.records().filter(|it| it.domain == *domain && !it.state.is_over());
            FEWEST_SUSPECTS <= n_suspects && running.count() < n_suspects * MASS_SUSPICION_PART
        });
        domains
    }

    /// Probes the next member of the round, and those that data traffic did not reach.
    pub(super) fn probe_next(&mut self, now: TimePoint, out: &mut Vec<(MemberId, GossipMessage)>) {
        for member in std::mem::take(&mut self.unreachable) {
            self.probe(now, &member, None, out);
        }
        if now < self.next_probe_at {
            return;
        }
        self.next_probe_at = now.plus(self.options.probe_period);
        let Some(member) = self.next_of_round(now) else { return };
        self.probe(now, &member, None, out);
    }

    /// Returns the next member to probe. Members heard of within a probe period need no probe, but when all have been
    /// heard of, one is probed all the same: probes carry the digests.
    fn next_of_round(&mut self, now: TimePoint) -> Option<MemberId> {
        let mut fallback = None;
        for _ in 0..=self.book.n_running() {
            if self.probe_round.is_empty() {
                self.start_round();
            }
            let name = self.probe_round.pop()?;
            let Some(entry) = self.book.of_instance(&name) else { continue };
            if entry.record.state.is_over() || entry.record.member == self.me.member {
                continue;
            }
            if self.options.probe_period <= now.since(entry.heard_at) {
                return Some(entry.record.member.clone());
            }
            fallback = Some(entry.record.member.clone());
        }
        fallback
    }

    fn start_round(&mut self) {
        let running = (0..self.book.n_running()).filter_map(|it| self.book.running_at(it));
        self.probe_round = running.map(|it| it.member.instance.clone()).collect();
        self.probe_round.shuffle(&mut self.rng);
    }

    /// Sends a probe to `target`, on behalf of `origin` where that is given.
    pub(super) fn probe(
        &mut self,
        now: TimePoint,
        target: &MemberId,
        origin: Option<(MemberId, u64)>,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        if origin.is_none() && self.probes.is_open(target) {
            return;
        }
        let serial = self.probes.open(now, target.clone(), origin);
        let body = GossipBody::Ping { serial, sender: self.me.clone(), digest: self.book.digest() };
        let message = self.with_rumors(target, body);
        out.push((target.clone(), message));
    }

    /// Forgets old tombstones and probes a member that is held dead: after a cut, each side holds the other dead.
    pub(super) fn review_dead(&mut self, now: TimePoint, out: &mut Vec<(MemberId, GossipMessage)>) {
        if now < self.next_revival_at {
            return;
        }
        self.next_revival_at = now.plus(self.options.revival_period);
        self.book.forget_tombstones(now, self.options.tombstone_time);
        let dead = self.book.sample_dead(&mut self.rng).map(|it| it.member.clone());
        if let Some(member) = dead {
            self.probe(now, &member, None, out);
        }
    }

    pub(super) fn send_lookups(
        &mut self,
        now: TimePoint,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        if self.book.n_running() < 2 {
            return;
        }
        while let Some((service, offset)) = self.lookups.take_due(now) {
            let sample = self.book.sample(&mut self.rng, 1, &self.me.member);
            let Some(receiver) = sample.into_iter().next() else { return };
            let body = GossipBody::Lookup { sender: self.me.clone(), service, offset };
            out.push((receiver, GossipMessage { body, rumors: Vec::new() }));
        }
    }

    /// Passes rumors on to a few members drawn at random.
    pub(super) fn spread_rumors(&mut self, out: &mut Vec<(MemberId, GossipMessage)>) {
        if self.rumors.is_empty() {
            return;
        }
        let receivers = self.book.sample(&mut self.rng, self.options.fanout, &self.me.member);
        if receivers.is_empty() {
            return;
        }
        let most = self.budget.bytes_left() / receivers.len();
        let rumors = self.rumors.take(most.min(self.options.message_bytes), receivers.len() as u32);
        if rumors.is_empty() {
            return;
        }
        let len: usize = rumors.iter().map(MemberRumor::encoded_len).sum();
        self.budget.spend(len * receivers.len());
        for receiver in receivers {
            out.push((receiver, GossipMessage { body: GossipBody::News, rumors: rumors.clone() }));
        }
    }

    /// Returns a message to `receiver` with a few rumors on its back, first of all a verdict on the receiver itself.
    pub(super) fn with_rumors(&mut self, receiver: &MemberId, body: GossipBody) -> GossipMessage {
        let most = PIGGYBACK_BYTES.min(self.budget.bytes_left());
        let mut rumors = self.rumors.take(most, 1);
        let len: usize = rumors.iter().map(MemberRumor::encoded_len).sum();
        self.budget.spend(len);
        if let Some(verdict) = self.verdict_on(receiver) {
            rumors.insert(0, verdict);
        }
        GossipMessage { body, rumors }
    }

    /// Returns what `member` has to refute, if it is suspected or held dead.
    fn verdict_on(&self, member: &MemberId) -> Option<MemberRumor> {
        let record = self.get(member)?;
        let (member, version) = (member.clone(), record.version);
        match record.state {
            MemberState::Dead => Some(MemberRumor::Dead { member, version }),
            _ if self.is_suspect(&member) => Some(MemberRumor::Suspect { member, version }),
            _ => None,
        }
    }
}
