//! Control: membership, the backend server's announcements, leaving.

use super::{
    BackendNotice, BackendState, ControlOutbox, DaemonEffect, DaemonIdentity, DaemonReducer,
    LearnedFact, Turn,
};
use crate::{
    id::{AccountName, CallId, ContentDigest, MemberId, ServiceName, rendezvous_weight},
    membership::{MemberRecord, MemberState, MemberView, MembershipOptions},
    message::ControlMessage,
    quota::QuotaVerdict,
    routing::UpstreamInfo,
    settings::index::SettingsInForce,
    time::TimePoint,
};

/// What this daemon shares with others, and the messages that wait to be sent.
#[derive(Debug)]
pub(super) struct ControlPlane {
    pub(super) view: MemberView,
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
        ControlPlane { view, outbox: ControlOutbox::new() }
    }

    pub(super) fn install_accounts(&mut self, _now: TimePoint, _settings: &SettingsInForce) {}

    pub(super) fn request_quota(
        &mut self,
        _now: TimePoint,
        _account: &AccountName,
        _call: CallId,
    ) -> QuotaVerdict {
        QuotaVerdict::Granted
    }

    pub(super) fn abandon_quota(&mut self, _call: CallId) {}

    pub(super) fn claim_owner(
        &self,
        service: &ServiceName,
        claim: &ContentDigest,
    ) -> Option<MemberId> {
        let serving = self.view.members().filter(|it| it.state == MemberState::Serving);
        let upstreams = serving.filter(|it| it.service.as_ref() == Some(service));
        let owner = upstreams.max_by_key(|it| rendezvous_weight(&it.member.instance, claim));
        owner.map(|it| it.member.clone())
    }

    pub(super) fn note_contact(&mut self, now: TimePoint, member: &MemberId) {
        self.view.note_contact(now, member);
    }

    pub(super) fn note_unreachable(&mut self, now: TimePoint, member: &MemberId) {
        self.view.note_unreachable(now, member);
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
        }
    }

    pub(super) fn learn(&mut self, turn: &mut Turn, fact: LearnedFact) {
        match fact {
            LearnedFact::Member(record) => self.control.view.learn(turn.now, &record),
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
        self.control.view.announce(turn.now, service, state, notice.slots);
        self.backend.notice = Some(notice);
        let mut verdicts = Vec::new();
        self.admission.set_slots(turn.now, slots, &mut verdicts);
        self.carry_out(turn, verdicts);
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
        let mut out = Vec::new();
        self.control.view.tick(turn.now, &mut out);
        self.queue_gossip(out);
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
            _ => self.picker.remove(&record.member),
        }
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
