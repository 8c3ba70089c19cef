//! Control: membership, the backend server's announcements, leaving.

use std::time::Duration;

use super::{
    BackendNotice, BackendState, ControlOutbox, DaemonEffect, DaemonIdentity, DaemonReducer,
    LearnedFact, Turn,
    quota_flow::ShareStanding,
    rings::{RingSet, control_ring},
};
use crate::{
    id::{ContentDigest, MemberId, ServiceName, rendezvous_weight},
    lease::{LeaseMessage, RingDefinition},
    membership::{MemberRecord, MemberState, MemberView, MembershipOptions},
    message::ControlMessage,
    quarantine::EvidenceRecord,
    quota::{QuotaAsk, QuotaHome, QuotaOptions, QuotaStash},
    routing::UpstreamInfo,
    time::TimePoint,
};

/// Time between two looks at membership, rings and settings. Calls and quotas are looked after at each tick; these cost
/// more the more members there are, and nothing in them is due more often.
const CONTROL_INTERVAL: Duration = Duration::from_millis(100);

/// What this daemon shares with others, and the messages that wait to be sent.
#[derive(Debug)]
pub(super) struct ControlPlane {
    pub(super) view: MemberView,
    pub(super) rings: RingSet,
    pub(super) stash: QuotaStash,
    pub(super) home: QuotaHome,
    pub(super) standing: ShareStanding,
    pub(super) shares_due: bool,
    /// When membership, rings and settings are looked after next.
    next_tick_at: TimePoint,
    /// Asks for tokens that found no owner.
    pub(super) lost_asks: Vec<QuotaAsk>,
    pub(super) outbox: ControlOutbox,
}

impl ControlPlane {
    pub(super) fn new(identity: &DaemonIdentity, seed: u64) -> ControlPlane {
        let record = MemberRecord {
            member: identity.member.clone(),
            domain: identity.domain.clone(),
            peer_address: identity.peer_address.clone(),
            service: None,
            state: MemberState::Starting,
            version: 1,
            slots: 0,
        };
        let view = MemberView::new(record, MembershipOptions::default(), seed);
        ControlPlane {
            view,
            rings: RingSet::new(identity.member.clone()),
            stash: QuotaStash::new(QuotaOptions::default(), seed),
            home: QuotaHome::new(QuotaOptions::default()),
            standing: ShareStanding::default(),
            shares_due: true,
            next_tick_at: TimePoint::ORIGIN,
            lost_asks: Vec::new(),
            outbox: ControlOutbox::new(),
        }
    }

    /// Returns the guard that most probably owns a claim, leaving out those in `tried`.
    ///
    /// The choice need not be right: a guard that does not own the claim says so, and the next one is asked.
    pub(super) fn claim_owner(
        &self,
        service: &ServiceName,
        claim: &ContentDigest,
        tried: &[MemberId],
    ) -> Option<MemberId> {
        let upstreams = self.view.members().filter(|it| {
            it.service.as_ref() == Some(service)
                && matches!(it.state, MemberState::Serving | MemberState::Draining)
                && !tried.contains(&it.member)
        });
        let owner = upstreams.max_by_key(|it| rendezvous_weight(&it.member.instance, claim));
        owner.map(|it| it.member.clone())
    }

    pub(super) fn address_of(&self, member: &MemberId) -> Option<String> {
        self.view.get(member).map(|it| it.peer_address.clone())
    }
}

impl DaemonReducer {
    pub(super) fn receive_control(
        &mut self,
        turn: &mut Turn,
        from: &MemberId,
        message: ControlMessage,
    ) {
        match message {
            ControlMessage::Gossip(message) => {
                let mut out = Vec::new();
                self.control.view.receive(turn.now, from, message, &mut out);
                self.queue_gossip(out);
            }
            ControlMessage::Lease(message) => {
                let mut out = Vec::new();
                self.control.rings.receive(turn.now, from, message, &mut out);
                self.queue_leases(out);
            }
            ControlMessage::Feed(message) => self.receive_feed(turn, from, message),
            ControlMessage::Authority(message) => self.receive_authority(turn, from, &message),
            ControlMessage::Ring(definition) => self.install_ring(turn, definition),
            ControlMessage::QuotaAsk(ask) => self.receive_ask(turn, from, &ask),
            ControlMessage::QuotaGrant(grant) => self.receive_grant(turn, &grant),
            ControlMessage::ClaimQuestion(question) => self.receive_question(turn, from, &question),
            ControlMessage::ClaimAnswer(answer) => self.receive_claim_answer(turn, from, answer),
            ControlMessage::ClaimHandover(handover) => self.receive_handover(turn, from, handover),
            ControlMessage::Drain => self.start_leaving(turn),
            ControlMessage::Suspicion(suspicion) => self.quarantine.merge(turn.now, &suspicion),
        }
    }

    /// Takes note of a control message that could not be delivered, where somebody waits for its answer.
    pub(super) fn lose_control(&mut self, turn: &mut Turn, message: &ControlMessage) {
        match message {
            ControlMessage::QuotaAsk(ask) => self.fail_ask(turn, ask),
            ControlMessage::ClaimQuestion(question) => {
                self.give_up_question(turn, &question.claim);
            }
            _ => {}
        }
    }

    pub(super) fn learn(&mut self, turn: &mut Turn, fact: LearnedFact) {
        match fact {
            LearnedFact::Member(record) => self.control.view.learn(turn.now, &record),
            LearnedFact::Ring(definition) => self.install_ring(turn, definition),
            LearnedFact::RingAbsent(name) => self.control.rings.note_absent(turn.now, name),
        }
    }

    pub(super) fn hear_backend(&mut self, turn: &mut Turn, notice: BackendNotice) {
        let is_news = self.backend.notice.as_ref() != Some(&notice);
        self.backend.heard_at = turn.now;
        if !is_news {
            return;
        }
        turn.log(format!(
            "event=backend_announced service={} state={:?} slots={}",
            notice.service, notice.state, notice.slots
        ));
        let slots = if notice.state == BackendState::Serving { notice.slots } else { 0 };
        let state = match notice.state {
            _ if self.is_leaving => MemberState::Draining,
            BackendState::Serving => MemberState::Serving,
            BackendState::Draining => MemberState::Draining,
            BackendState::Starting | BackendState::Silent => MemberState::Starting,
        };
        let service = Some(notice.service.clone());
        self.control.rings.join_claims(&notice.service);
        self.control.view.announce(turn.now, service, state, notice.slots);
        self.backend.notice = Some(notice);
        let mut verdicts = Vec::new();
        self.admission.set_slots(turn.now, slots, &mut verdicts);
        self.carry_out(turn, verdicts);
    }

    pub(super) fn order_drain(&mut self, turn: &mut Turn, member: MemberId) {
        turn.log(format!("event=drain_ordered member={member}"));
        self.control.outbox.push_back((member, ControlMessage::Drain));
    }

    pub(super) fn start_leaving(&mut self, turn: &mut Turn) {
        if self.is_leaving {
            return;
        }
        self.is_leaving = true;
        turn.log("event=leaving".to_string());
        let own = self.control.view.own_record().clone();
        self.control.view.announce(turn.now, own.service, MemberState::Draining, own.slots);
    }

    pub(super) fn tick_control(&mut self, turn: &mut Turn) {
        self.tick_quota(turn);
        if turn.now < self.control.next_tick_at {
            return;
        }
        self.control.next_tick_at = turn.now.plus(CONTROL_INTERVAL);
        let mut out = Vec::new();
        self.control.view.tick(turn.now, &mut out);
        self.queue_gossip(out);
        let mut out = Vec::new();
        self.control.rings.tick(turn.now, &mut out);
        self.queue_leases(out);
        self.review_rings(turn);
        self.tick_settings(turn);
        for record in self.control.view.take_changes() {
            self.take_member(turn, record);
        }
    }

    /// Tells the routing of a changed member.
    fn take_member(&mut self, turn: &mut Turn, record: MemberRecord) {
        turn.log(format!(
            "event=member_changed member={} state={} service={}",
            record.member,
            record.state,
            record.service.as_ref().map_or("-", |it| it.as_str())
        ));
        match (record.state, record.service) {
            (MemberState::Serving | MemberState::Draining, Some(service)) => {
                let draining = record.state == MemberState::Draining;
                let info = UpstreamInfo {
                    member: record.member,
                    domain: record.domain,
                    service,
                    draining,
                };
                self.picker.upsert(turn.now, info);
            }
            _ => {
                self.picker.remove(&record.member);
                self.loads.remove(&record.member);
            }
        }
    }

    fn install_ring(&mut self, turn: &mut Turn, definition: RingDefinition) {
        let is_control = definition.name == control_ring();
        let before = self.control.rings.control().definition().map(|it| it.epoch);
        self.control.rings.install(turn.now, definition);
        let after = self.control.rings.control().definition().map(|it| it.epoch);
        if is_control && before != after {
            self.spread_ring();
        }
    }

    fn review_rings(&mut self, turn: &mut Turn) {
        let control = &mut self.control;
        let proposals = control.rings.review(turn.now, &control.view, &mut self.rng);
        if self.is_leaving {
            return;
        }
        turn.out.extend(proposals.into_iter().map(DaemonEffect::ProposeRing));
        let is_over = self.control.rings.is_expelled() || self.control.view.is_superseded();
        if is_over && !self.is_starting_anew {
            self.is_starting_anew = true;
            turn.log("event=fenced_by_others".to_string());
            turn.out.push(DaemonEffect::StartAnew);
        }
    }

    /// Tells the other guards of the service of requests that may crash backend servers.
    pub(super) fn spread_suspicions(&mut self, suspicions: &[EvidenceRecord]) {
        let Some(service) = self.backend.service() else { return };
        let me = &self.identity.member;
        let peers = self.picker.upstreams(service).filter(|it| it.member != *me);
        let peers: Vec<MemberId> = peers.map(|it| it.member.clone()).collect();
        for suspicion in suspicions {
            let message = ControlMessage::Suspicion(suspicion.clone());
            let messages = peers.iter().map(|to| (to.clone(), message.clone()));
            self.control.outbox.extend(messages);
        }
    }

    pub(super) fn queue_leases(&mut self, messages: Vec<(MemberId, LeaseMessage)>) {
        let messages = messages.into_iter().map(|(to, it)| (to, ControlMessage::Lease(it)));
        self.control.outbox.extend(messages);
    }

    fn queue_gossip(&mut self, messages: Vec<(MemberId, crate::membership::GossipMessage)>) {
        let messages = messages.into_iter().map(|(to, it)| (to, ControlMessage::Gossip(it)));
        self.control.outbox.extend(messages);
    }

    /// Turns the waiting control messages into effects; those to this daemon itself are taken at once.
    pub(super) fn settle_control(&mut self, turn: &mut Turn) {
        while let Some((to, message)) = self.control.outbox.pop_front() {
            if to == self.identity.member {
                self.receive_control(turn, &to, message);
                continue;
            }
            if let Some(address) = self.control.address_of(&to) {
                turn.out.push(DaemonEffect::SendControl { to, address, message });
            }
        }
    }
}
