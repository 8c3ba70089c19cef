//! Links to other daemons: their state, the detection of unresponsive peers, and the handling of received frames.

mod contact;
mod silence;

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;

pub(super) use self::silence::LONGEST_SILENCE;

use super::{
    MeshReducer, ReducerStep,
    demand_exchange::ExchangePeer,
    event::{MeshEffect, PeerAddress},
    frame::{PROTOCOL_VERSION, PeerAdvertisement, PeerFrame, UNVERSIONED_PROTOCOL},
    leaving_servers::DepartureSource,
    quota::quota_owner,
};
use crate::{
    id::{AccountName, DomainName, InstanceName, MemberId},
    time::TimePoint,
};

/// Time after the end of a silent link within which its attempts may be resumed on the next one; after that, the
/// idempotent ones count as lost.
const RESUME_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which links are checked for silent, disconnected and removable peers.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between advertisements when nothing has changed.
const MIN_ADVERTISEMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Advertisement interval per known peer, which bounds the number of advertisements in a large fleet.
const ADVERTISEMENT_INTERVAL_PER_PEER: Duration = Duration::from_millis(20);
/// Time to wait for the platform to deliver newer settings before they are requested from a peer that has them.
const SETTINGS_PLATFORM_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum time between two settings requests to the same peer.
const SETTINGS_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a link after which a peer is removed.
const PEER_REMOVAL_DELAY: Duration = Duration::from_secs(120);

/// How an outbound link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkEnd {
    /// The connection was closed or reset.
    Closed,
    /// The peer stopped responding; the peer may be running, and its connection alone may be dead.
    Silent,
}

/// State of the links to and from one peer.
#[derive(Debug)]
pub(super) struct PeerLink {
    address: PeerAddress,
    /// Failure domain of the peer, once it has sent an advertisement.
    domain: Option<DomainName>,
    /// Instance and incarnation of the peer, once it has sent an advertisement.
    pub(super) member: Option<MemberId>,
    /// Whether the outbound link is open.
    pub(super) is_open: bool,
    /// Time at which the outbound link broke or was first dialed.
    closed_at: TimePoint,
    /// Time until which the idempotent attempts of a silent link may be resumed, if any wait for that.
    resumable_until: Option<TimePoint>,
    /// Time of the last response on the outbound link.
    last_response_at: TimePoint,
    /// Time of the last frame from the peer on either link.
    heard_at: TimePoint,
    /// Time since which the peer has been out of contact, if it is.
    absent_since: Option<TimePoint>,
    pinged_at: Option<TimePoint>,
    /// Attempts that were cancelled while the link was closed or did not respond, to be cancelled on the next link.
    pending_cancels: Vec<u64>,
    /// Whether the peer has not responded to a ping in time, or another daemon has reported so.
    is_silent: bool,
    /// Whether a request other than an attempt has timed out.
    has_overdue_response: bool,
    /// Version of the protocol that the peer speaks.
    protocol_version: u32,
    settings_version: u64,
    settings_seen_at: TimePoint,
    settings_requested_at: Option<TimePoint>,
    /// Time at which the inbound link broke.
    pub(super) inbound_closed_at: Option<TimePoint>,
}

impl PeerLink {
    /// Records what the peer tells of itself, other than about its server.
    pub(super) fn apply_advertisement(
        &mut self,
        now: TimePoint,
        advertisement: &PeerAdvertisement,
    ) {
        let extension = advertisement.extension.as_ref();
        self.protocol_version = extension.map_or(UNVERSIONED_PROTOCOL, |it| it.protocol_version);
        self.domain = Some(advertisement.domain.clone());
        if self.settings_version < advertisement.settings_version {
            self.settings_version = advertisement.settings_version;
            self.settings_seen_at = now;
        }
    }
}

/// Links to all known peers.
#[derive(Debug, Default)]
pub(super) struct PeerLinks {
    links: HashMap<InstanceName, PeerLink>,
    checked_at: TimePoint,
    /// Time for which peers have been out of contact, summed over all peers; absences that last are not included.
    past_absence: Duration,
}

impl PeerLinks {
    /// Adds a peer and dials it, unless it is already known at this address.
    pub(super) fn add(&mut self, step: &mut ReducerStep<'_>, address: PeerAddress) {
        if self.links.get(&address.instance).is_some_and(|it| it.address == address) {
            return;
        }
        if self.links.contains_key(&address.instance) {
            step.out.push(MeshEffect::StopDialing { peer: address.instance.clone() });
        }
        step.log(format!("event=peer_added peer={} address={}", address.instance, address.address));
        step.out.push(MeshEffect::Dial(address.clone()));
        let link = PeerLink {
            domain: None,
            member: None,
            is_open: false,
            closed_at: step.now,
            resumable_until: None,
            last_response_at: step.now,
            heard_at: step.now,
            absent_since: Some(step.now),
            pinged_at: None,
            pending_cancels: Vec::new(),
            is_silent: false,
            has_overdue_response: false,
            protocol_version: 0,
            settings_version: 0,
            settings_seen_at: step.now,
            settings_requested_at: None,
            inbound_closed_at: None,
            address: address.clone(),
        };
        self.links.insert(address.instance, link);
    }

    pub(super) fn get(&self, peer: &InstanceName) -> Option<&PeerLink> {
        self.links.get(peer)
    }

    pub(super) fn get_mut(&mut self, peer: &InstanceName) -> Option<&mut PeerLink> {
        self.links.get_mut(peer)
    }

    /// Records the cancellation of an attempt at a peer, which a closed or silent link may not deliver.
    pub(super) fn record_cancel(&mut self, peer: &InstanceName, serial: u64) {
        let link = self.links.get_mut(peer);
        if let Some(link) = link.filter(|it| !it.is_open || it.pinged_at.is_some()) {
            link.pending_cancels.push(serial);
        }
    }

    /// Takes the attempts at a peer whose cancellation may not have been delivered.
    pub(super) fn take_pending_cancels(&mut self, peer: &InstanceName) -> Vec<u64> {
        self.links
            .get_mut(peer)
            .map(|it| std::mem::take(&mut it.pending_cancels))
            .unwrap_or_default()
    }

    /// Records that a request to a peer, other than an attempt, has timed out.
    pub(super) fn record_timeout(&mut self, peer: &InstanceName) {
        if let Some(link) = self.links.get_mut(peer) {
            link.has_overdue_response = true;
        }
    }

    fn overdue_peers(&self) -> impl Iterator<Item = InstanceName> {
        self.links
            .iter()
            .filter(|(_, link)| link.has_overdue_response)
            .map(|(name, _)| name.clone())
    }

    pub(super) fn open_peers(&self) -> impl Iterator<Item = &InstanceName> {
        self.links.iter().filter(|(_, link)| link.is_open).map(|(name, _)| name)
    }

    /// Returns the peers with an open outbound link, with their failure domains.
    pub(super) fn exchange_peers(&self) -> impl Iterator<Item = ExchangePeer> {
        self.links.iter().filter(|(_, link)| link.is_open).filter_map(|(name, link)| {
            Some(ExchangePeer { instance: name.clone(), domain: link.domain.clone()? })
        })
    }

    /// Returns the number of peers with an open outbound link whose build speaks an earlier protocol.
    pub(super) fn n_older_builds(&self) -> usize {
        let is_older = |it: &&PeerLink| it.is_open && it.protocol_version < PROTOCOL_VERSION;
        self.links.values().filter(is_older).count()
    }

    /// Returns whether a peer's build names the version of its protocol.
    pub(super) fn is_versioned(&self, peer: &InstanceName) -> bool {
        self.links.get(peer).is_some_and(|it| it.protocol_version != UNVERSIONED_PROTOCOL)
    }

    /// Returns all known peers.
    pub(super) fn peers(&self) -> impl Iterator<Item = &InstanceName> {
        self.links.keys()
    }

    /// Returns the account's quota owner among this daemon, `me`, and the reachable peers.
    pub(super) fn quota_owner<'l>(
        &'l self,
        account: &AccountName,
        me: &'l InstanceName,
    ) -> Option<&'l InstanceName> {
        quota_owner(account, self.open_peers().chain([me]))
    }

    pub(super) fn n_open(&self) -> usize {
        self.open_peers().count()
    }

    /// Returns the interval at which this daemon sends its state while nothing changes.
    pub(super) fn advertisement_interval(&self) -> Duration {
        MIN_ADVERTISEMENT_INTERVAL.max(ADVERTISEMENT_INTERVAL_PER_PEER * self.links.len() as u32)
    }
}

impl MeshReducer {
    pub(super) fn handle_outbound_open(
        &mut self,
        step: &mut ReducerStep<'_>,
        advertisement: &PeerAdvertisement,
    ) {
        let peer = &advertisement.member.instance;
        let Some(link) = self.links.get_mut(peer) else { return };
        let is_same_incarnation = link.member.as_ref() == Some(&advertisement.member);
        let is_new_incarnation = link.member.is_some() && !is_same_incarnation;
        link.member = Some(advertisement.member.clone());
        link.is_open = true;
        link.resumable_until = None;
        self.links.end_absence(step.now, peer);
        let Some(link) = self.links.get_mut(peer) else { return };
        let closed_for = step.now.since(link.closed_at);
        step.log(format!(
            "event=link_open peer={} closed_ms={} same_run={is_same_incarnation} protocol={}",
            advertisement.member,
            closed_for.as_millis(),
            advertisement.extension.as_ref().map_or(UNVERSIONED_PROTOCOL, |it| it.protocol_version),
        ));
        self.record_advertisement(step, advertisement);
        for frame in self.evidence_frames(step.now) {
            step.send(peer, frame, Bytes::new());
        }
        // Cancels first: the response that opens the link also clears them.
        self.repeat_cancels(step, peer);
        self.record_response(step.now, peer);
        self.release_foreign_buckets(step.now);
        self.picker.set_reachable(peer, true);
        if is_new_incarnation {
            self.handle_lost_attempts(step, peer);
        }
        match is_same_incarnation {
            true => self.report_spent_tokens(step, peer),
            false => self.cancel_spent_tokens(peer),
        }
        self.resume_attempts(step, &advertisement.member);
    }

    /// Handles the end of an outbound link. Attempts that aren't idempotent wait for the next link. The others count as
    /// lost, at once if the connection was closed and after [`RESUME_TIMEOUT`] if it was silent.
    pub(super) fn close_outbound_link(
        &mut self,
        step: &mut ReducerStep<'_>,
        peer: &InstanceName,
        end: LinkEnd,
    ) {
        if !self.links.get(peer).is_some_and(|it| it.is_open) {
            return;
        }
        let waiting_accounts = self.accounts_waiting_for(peer);
        let Some(link) = self.links.get_mut(peer) else { return };
        link.is_open = false;
        link.start_absence(match end {
            LinkEnd::Closed => step.now,
            LinkEnd::Silent => link.silent_since(),
        });
        link.closed_at = step.now;
        link.resumable_until = match end {
            LinkEnd::Closed => None,
            LinkEnd::Silent => Some(step.now.plus(RESUME_TIMEOUT)),
        };
        step.log(format!("event=link_closed peer={peer}"));
        self.picker.set_reachable(peer, false);
        self.demand_exchange.remove_peer(peer);
        self.replace_quota_owner(step, peer, waiting_accounts);
        if end == LinkEnd::Closed {
            self.handle_lost_idempotent_attempts(step, peer);
        }
    }

    pub(super) fn handle_inbound_open(
        &mut self,
        step: &mut ReducerStep<'_>,
        advertisement: &PeerAdvertisement,
    ) {
        let instance = advertisement.member.instance.clone();
        if instance == self.options.member.instance {
            return;
        }
        self.remove_replaced_peers(step, &advertisement.address, &instance);
        let address =
            PeerAddress { instance: instance.clone(), address: advertisement.address.clone() };
        self.links.add(step, address);
        self.links.record_redial(step.now, &instance);
        if let Some(link) = self.links.get_mut(&instance) {
            link.inbound_closed_at = None;
        }
        self.abandon_runs_of_earlier_incarnations(step, &advertisement.member);
        self.record_advertisement(step, advertisement);
        let costs = self.guard.cost_estimator.known_costs();
        if !costs.is_empty() {
            step.send_on_inbound(&instance, PeerFrame::Costs { costs }, Bytes::new());
        }
        for frame in self.evidence_frames(step.now) {
            step.send_on_inbound(&instance, frame, Bytes::new());
        }
        if !self.links.get(&instance).is_some_and(|it| it.is_open) {
            self.picker.set_reachable(&instance, false);
        }
    }

    /// Removes peers whose address now belongs to `instance`, since they no longer exist.
    fn remove_replaced_peers(
        &mut self,
        step: &mut ReducerStep<'_>,
        address: &str,
        instance: &InstanceName,
    ) {
        let others = self.links.links.values().map(|it| &it.address);
        let removed: Vec<PeerAddress> = others
            .filter(|it| it.address == address && it.instance != *instance)
            .cloned()
            .collect();
        for peer in removed {
            step.log(format!("event=peer_replaced peer={} by={instance}", peer.instance));
            self.close_outbound_link(step, &peer.instance, LinkEnd::Closed);
            self.handle_lost_attempts(step, &peer.instance);
            self.remove_peer(step, &peer.instance);
        }
    }

    fn remove_peer(&mut self, step: &mut ReducerStep<'_>, peer: &InstanceName) {
        self.links.end_absence(step.now, peer);
        self.links.links.remove(peer);
        self.cancel_spent_tokens(peer);
        self.picker.remove(peer);
        self.costs.record_report(peer, Vec::new());
        self.abandon_runs_of(step, |entry| entry.instance == *peer);
        step.out.push(MeshEffect::StopDialing { peer: peer.clone() });
    }

    pub(super) fn handle_inbound_close(&mut self, step: &mut ReducerStep<'_>, peer: &InstanceName) {
        if let Some(link) = self.links.get_mut(peer) {
            link.inbound_closed_at = Some(step.now);
        }
        self.links.record_inbound_close(step.now, peer);
    }

    pub(super) fn handle_frame(
        &mut self,
        step: &mut ReducerStep<'_>,
        from: &MemberId,
        frame: PeerFrame,
        body: Bytes,
    ) {
        let peer = &from.instance;
        self.links.record_frame(step.now, peer);
        // Other frames arrive on the inbound link and don't show that the outbound one works.
        if frame.is_response() {
            self.record_response(step.now, peer);
        }
        match frame {
            PeerFrame::Advertisement(advertisement) | PeerFrame::Hello { advertisement, .. } => {
                self.record_advertisement(step, &advertisement);
            }
            PeerFrame::Attempt(request) => self.handle_attempt(step, from, *request, body),
            PeerFrame::Cancel { serial } => self.cancel_attempt(step, from, serial),
            PeerFrame::Resume { serial } => self.handle_resume(step, from, serial),
            PeerFrame::Reply { serial, result, load } => {
                self.handle_reply(step, peer, serial, result, Some(load), body);
            }
            PeerFrame::Ping => step.send_on_inbound(peer, PeerFrame::Pong, Bytes::new()),
            PeerFrame::Pong => {}
            PeerFrame::QuotaRequest { account, wanted } => {
                if let Some(granted) = self.grant_quota(step.now, &account, wanted) {
                    let frame = PeerFrame::QuotaResponse { account, wanted, granted };
                    step.send_on_inbound(peer, frame, Bytes::new());
                }
            }
            PeerFrame::QuotaReturn { account, n_tokens } => {
                self.take_back_tokens(&account, n_tokens);
            }
            PeerFrame::QuotaSpent { account, n_tokens } => {
                self.settle_spent_tokens(step.now, &account, n_tokens);
            }
            PeerFrame::QuotaResponse { account, wanted, granted } => {
                self.handle_quota_response(step, peer, &account, wanted, granted);
            }
            PeerFrame::SettingsRequest => {
                if let Some(settings) = &self.settings {
                    self.send_departures(step, peer);
                    let frame = PeerFrame::Settings { version: settings.version() };
                    step.send_on_inbound(peer, frame, self.settings_document.clone());
                }
            }
            PeerFrame::Settings { version } => {
                step.log(format!("event=settings_from_peer peer={peer} version={version}"));
                step.out.push(MeshEffect::DecodeSettings { document: body });
            }
            PeerFrame::Demand { demand } => {
                self.demand_exchange.record_report(step.now, peer, demand);
            }
            PeerFrame::DomainDemands { sums } => self.demand_exchange.record_sums(step.now, sums),
            PeerFrame::Costs { costs } => self.costs.record_report(peer, costs),
            PeerFrame::ServerLeft { id, started_at_ms } => {
                let source = DepartureSource::Record;
                self.handle_server_shutdown(step, &id, Some(started_at_ms), source);
            }
            PeerFrame::ServerLimited { id, per_s } => self.handle_reported_limit(step, &id, per_s),
            PeerFrame::Silent { instance } => self.handle_silence_report(step, &instance),
            PeerFrame::Evidence(record) => self.merge_evidence(step, &record),
        }
    }

    pub(super) fn tick_links(&mut self, step: &mut ReducerStep<'_>) {
        if step.now.since(self.links.checked_at) < LINK_CHECK_INTERVAL {
            return;
        }
        self.links.checked_at = step.now;
        self.links.find_absent_peers(step.now);
        self.tick_quotas(step.now);
        self.close_silent_links(step);
        self.expire_suspended_attempts(step);
        self.abandon_runs_of_lost_entries(step);
        self.request_settings(step);
        self.remove_unreachable_peers(step);
    }

    /// Requests settings from a peer if the platform hasn't delivered them in time.
    fn request_settings(&mut self, step: &mut ReducerStep<'_>) {
        let current = self.settings.as_ref().map_or(0, |it| it.version());
        let timeout = if current == 0 { Duration::ZERO } else { SETTINGS_PLATFORM_TIMEOUT };
        let ahead = self.links.links.iter_mut().find(|(_, link)| {
            let was_requested_recently = link
                .settings_requested_at
                .is_some_and(|at| step.now.since(at) < SETTINGS_REQUEST_INTERVAL);
            link.is_open
                && current < link.settings_version
                && timeout <= step.now.since(link.settings_seen_at)
                && !was_requested_recently
        });
        if let Some((peer, link)) = ahead {
            link.settings_requested_at = Some(step.now);
            step.send(peer, PeerFrame::SettingsRequest, Bytes::new());
        }
    }

    /// Removes peers that have been disconnected for [`PEER_REMOVAL_DELAY`]. One of the remaining daemons removes their
    /// rows from the platform's table.
    fn remove_unreachable_peers(&mut self, step: &mut ReducerStep<'_>) {
        let is_removable =
            |link: &PeerLink| !link.is_open && PEER_REMOVAL_DELAY <= step.now.since(link.closed_at);
        let removed: Vec<PeerAddress> = self
            .links
            .links
            .values()
            .filter(|link| is_removable(link))
            .map(|it| it.address.clone())
            .collect();
        for address in removed {
            let me = &self.options.member.instance;
            let election_key = AccountName::from(address.instance.as_str());
            let is_responsible = self.links.quota_owner(&election_key, me) == Some(me);
            step.log(format!("event=peer_removed peer={}", address.instance));
            self.remove_peer(step, &address.instance);
            if is_responsible && 0 < self.links.n_open() {
                step.out.push(MeshEffect::RemovePeerRow(address));
            }
        }
    }
}
