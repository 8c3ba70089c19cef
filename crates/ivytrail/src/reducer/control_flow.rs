//! Control plane: membership, announcements of the backend server, and leaving the fleet.

use std::time::Duration;

use super::{
    BackendAnnouncement, BackendState, ControlOutbox, DaemonEffect, DaemonIdentity, DaemonReducer,
    FleetUpdate, ReducerStep,
    quota_flow::ShareStatus,
    rings::{RingSet, control_ring_name},
};
use crate::{
    id::{ContentDigest, MemberId, ServiceName, rendezvous_weight},
    lease::{LeaseMessage, RingDefinition},
    membership::{MemberRecord, MemberState, MemberView, MembershipOptions},
    message::ControlMessage,
    quarantine::EvidenceRecord,
    quota::{QuotaOptions, QuotaOwner, QuotaRequest, TokenCache},
    routing::UpstreamInfo,
    time::TimePoint,
};

/// Interval between updates of membership, rings and settings. Calls and quotas are updated on every tick, but the cost
/// of these updates grows with the number of members, and none of their timers needs a finer resolution.
const CONTROL_INTERVAL: Duration = Duration::from_millis(100);

/// State that this daemon shares with other daemons, and the control messages to be sent.
#[derive(Debug)]
pub(super) struct ControlPlane {
    pub(super) view: MemberView,
    pub(super) rings: RingSet,
    pub(super) token_cache: TokenCache,
    pub(super) quota_owner: QuotaOwner,
    pub(super) share_status: ShareStatus,
    pub(super) share_review_due: bool,
    /// Next time at which membership, rings and settings are updated.
    next_tick_at: TimePoint,
    /// Token requests for shares without an available owner.
    pub(super) unrouted_requests: Vec<QuotaRequest>,
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
            token_cache: TokenCache::new(QuotaOptions::default(), seed),
            quota_owner: QuotaOwner::new(QuotaOptions::default()),
            share_status: ShareStatus::default(),
            share_review_due: true,
            next_tick_at: TimePoint::ORIGIN,
            unrouted_requests: Vec::new(),
            outbox: ControlOutbox::new(),
        }
    }

    /// Returns the guard that most probably owns a claim, excluding those in `tried`.
    ///
    /// A wrong choice is harmless: a guard that does not own the claim refuses the request, and the next one is tried.
    pub(super) fn probable_claim_owner(
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
    pub(super) fn handle_control(
        &mut self,
        step: &mut ReducerStep,
        from: &MemberId,
        message: ControlMessage,
    ) {
        match message {
            ControlMessage::Gossip(message) => {
                let mut out = Vec::new();
                self.control.view.receive(step.now, from, message, &mut out);
                self.queue_gossip(out);
            }
            ControlMessage::Lease(message) => {
                let mut out = Vec::new();
                self.control.rings.receive(step.now, from, message, &mut out);
                self.queue_leases(out);
            }
            ControlMessage::Feed(message) => self.handle_feed(step, from, message),
            ControlMessage::Authority(message) => self.handle_authority(step, from, &message),
            ControlMessage::Ring(definition) => self.install_ring(step, definition),
            ControlMessage::QuotaAsk(request) => self.handle_quota_request(step, from, &request),
            ControlMessage::QuotaGrant(grant) => self.handle_quota_grant(step, &grant),
            ControlMessage::ClaimQuestion(question) => {
                self.handle_claim_question(step, from, &question);
            }
            ControlMessage::ClaimAnswer(answer) => self.handle_claim_answer(step, from, answer),
            ControlMessage::ClaimHandover(handover) => {
                self.handle_claim_handover(step, from, handover);
            }
            ControlMessage::Drain => self.start_leaving(step),
            ControlMessage::Suspicion(record) => self.quarantine.merge(step.now, &record),
        }
    }

    /// Handles the delivery failure of a control message that expects a response.
    pub(super) fn handle_control_failure(
        &mut self,
        step: &mut ReducerStep,
        message: &ControlMessage,
    ) {
        match message {
            ControlMessage::QuotaAsk(request) => self.handle_quota_request_failure(step, request),
            ControlMessage::ClaimQuestion(question) => {
                self.abandon_claim_question(step, &question.claim);
            }
            _ => {}
        }
    }

    pub(super) fn apply_fleet_update(&mut self, step: &mut ReducerStep, update: FleetUpdate) {
        match update {
            FleetUpdate::Member(record) => self.control.view.import_record(step.now, &record),
            FleetUpdate::Ring(definition) => self.install_ring(step, definition),
            FleetUpdate::RingAbsent(name) => self.control.rings.record_absent(step.now, name),
        }
    }

    pub(super) fn handle_announcement(
        &mut self,
        step: &mut ReducerStep,
        announcement: BackendAnnouncement,
    ) {
        let is_changed = self.backend.announcement.as_ref() != Some(&announcement);
        self.backend.announced_at = step.now;
        if !is_changed {
            return;
        }
        step.log(format!(
            "event=backend_announced service={} state={:?} slots={}",
            announcement.service, announcement.state, announcement.slots
        ));
        let slots =
            if announcement.state == BackendState::Serving { announcement.slots } else { 0 };
        let state = match announcement.state {
            _ if self.is_leaving => MemberState::Draining,
            BackendState::Serving => MemberState::Serving,
            BackendState::Draining => MemberState::Draining,
            BackendState::Starting | BackendState::Silent => MemberState::Starting,
        };
        let service = Some(announcement.service.clone());
        self.control.rings.join_claim_ring(&announcement.service);
        self.control.view.announce(step.now, service, state, announcement.slots);
        self.backend.announcement = Some(announcement);
        let mut verdicts = Vec::new();
        self.admission.set_slots(step.now, slots, &mut verdicts);
        self.apply_verdicts(step, verdicts);
    }

    pub(super) fn send_drain(&mut self, step: &mut ReducerStep, member: MemberId) {
        step.log(format!("event=drain_ordered member={member}"));
        self.control.outbox.push_back((member, ControlMessage::Drain));
    }

    pub(super) fn start_leaving(&mut self, step: &mut ReducerStep) {
        if self.is_leaving {
            return;
        }
        self.is_leaving = true;
        step.log("event=leaving".to_string());
        let local_record = self.control.view.local_record().clone();
        self.control.view.announce(
            step.now,
            local_record.service,
            MemberState::Draining,
            local_record.slots,
        );
    }

    pub(super) fn tick_control(&mut self, step: &mut ReducerStep) {
        self.tick_quota(step);
        if step.now < self.control.next_tick_at {
            return;
        }
        self.control.next_tick_at = step.now.plus(CONTROL_INTERVAL);
        let mut out = Vec::new();
        self.control.view.tick(step.now, &mut out);
        self.queue_gossip(out);
        let mut out = Vec::new();
        self.control.rings.tick(step.now, &mut out);
        self.queue_leases(out);
        self.propose_ring_changes(step);
        self.tick_settings(step);
        for record in self.control.view.take_changes() {
            self.update_routing(step, record);
        }
    }

    /// Updates routing after a change of a membership record.
    fn update_routing(&mut self, step: &mut ReducerStep, record: MemberRecord) {
        step.log(format!(
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
                self.picker.upsert(step.now, info);
            }
            _ => {
                self.picker.remove(&record.member);
                self.peer_loads.remove(&record.member);
            }
        }
    }

    fn install_ring(&mut self, step: &mut ReducerStep, definition: RingDefinition) {
        let is_control = definition.name == control_ring_name();
        let before = self.control.rings.control().definition().map(|it| it.epoch);
        self.control.rings.install(step.now, definition);
        let after = self.control.rings.control().definition().map(|it| it.epoch);
        if is_control && before != after {
            self.gossip_ring();
        }
    }

    fn propose_ring_changes(&mut self, step: &mut ReducerStep) {
        let control = &mut self.control;
        let proposals = control.rings.propose_changes(step.now, &control.view, &mut self.rng);
        if self.is_leaving {
            return;
        }
        step.effects.extend(proposals.into_iter().map(DaemonEffect::ProposeRing));
        let must_restart = self.control.rings.is_expelled() || self.control.view.is_superseded();
        if must_restart && !self.is_restarting {
            self.is_restarting = true;
            step.log("event=fenced_by_others".to_string());
            step.effects.push(DaemonEffect::Restart);
        }
    }

    /// Sends evidence about requests that may crash backend servers to the other guards of the service.
    pub(super) fn broadcast_evidence(&mut self, records: &[EvidenceRecord]) {
        let Some(service) = self.backend.service() else { return };
        let local_member = &self.identity.member;
        let peers = self.picker.upstreams(service).filter(|it| it.member != *local_member);
        let peers: Vec<MemberId> = peers.map(|it| it.member.clone()).collect();
        for record in records {
            let message = ControlMessage::Suspicion(record.clone());
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

    /// Converts the queued control messages to effects; messages to this daemon itself are handled immediately.
    pub(super) fn flush_control(&mut self, step: &mut ReducerStep) {
        while let Some((to, message)) = self.control.outbox.pop_front() {
            if to == self.identity.member {
                self.handle_control(step, &to, message);
                continue;
            }
            if let Some(address) = self.control.address_of(&to) {
                step.effects.push(DaemonEffect::SendControl { to, address, message });
            }
        }
    }
}
