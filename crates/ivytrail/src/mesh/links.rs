//! Links to other daemons: which are open, which went silent, and what travels on them besides attempts.

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;

use super::{
    MeshReducer, ReducerStep,
    event::{MeshEffect, PeerAddress},
    frame::{PeerAdvertisement, PeerFrame, ServerPhase},
    left::LeftRun,
    quota::home_of,
};
use crate::{
    id::{AccountName, InstanceName, MemberId},
    time::TimePoint,
};

/// Silence after which a daemon that owes a reply is asked whether it still hears.
const SILENCE_BEFORE_PING: Duration = Duration::from_millis(150);
/// Silence after a ping that makes a daemon the last choice, here and where it is told of; a lost packet is sent again
/// within it on a short path.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Silence after a ping that ends a link.
const PING_TIMEOUT: Duration = Duration::from_millis(450);
/// Time between two looks for links that are silent or have been away for long.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Least time between two cards to the same daemon when nothing has changed.
const MIN_ADVERTISEMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the time between two such cards for each daemon, so that the cards of a large fleet stay few.
const ADVERTISEMENT_INTERVAL_PER_PEER: Duration = Duration::from_millis(20);
/// Time for which the platform may still bring settings that a peer already has.
const SETTINGS_PLATFORM_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between two questions for settings.
const SETTINGS_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a link after which a daemon counts as gone.
const PEER_REMOVAL_DELAY: Duration = Duration::from_secs(120);
/// Time without a link after which a daemon's part of quotas and budgets is no longer set aside.
const QUOTA_RESERVATION_TTL: Duration = Duration::from_secs(20);

/// Another daemon.
#[derive(Debug)]
pub(super) struct PeerLink {
    address: PeerAddress,
    /// The other end, since the first time that it introduced itself.
    pub(super) member: Option<MemberId>,
    /// Whether the link that this daemon dialed is open.
    pub(super) is_open: bool,
    /// When the link broke, or was dialed for the first time.
    closed_at: TimePoint,
    /// When the last answer came on the link that this daemon dialed.
    last_response_at: TimePoint,
    pinged_at: Option<TimePoint>,
    /// Whether the daemon has not answered a ping so far, or others say so.
    is_silent: bool,
    /// Whether a question other than an attempt has gone without an answer.
    has_overdue_response: bool,
    settings_version: u64,
    settings_seen_at: TimePoint,
    settings_requested_at: Option<TimePoint>,
    /// When the link that the other daemon dialed broke.
    pub(super) inbound_closed_at: Option<TimePoint>,
}

/// All other daemons.
#[derive(Debug, Default)]
pub(super) struct PeerLinks {
    links: HashMap<InstanceName, PeerLink>,
    checked_at: TimePoint,
}

impl PeerLinks {
    /// Adds a daemon and dials it, unless it is known at this address.
    pub(super) fn add(&mut self, step: &mut ReducerStep<'_>, address: PeerAddress) {
        if self.links.get(&address.instance).is_some_and(|it| it.address == address) {
            return;
        }
        if self.links.contains_key(&address.instance) {
            step.out.push(MeshEffect::StopDialing { peer: address.instance.clone() });
        }
        step.log(format!("event=peer_known peer={} address={}", address.instance, address.address));
        step.out.push(MeshEffect::Dial(address.clone()));
        let link = PeerLink {
            member: None,
            is_open: false,
            closed_at: step.now,
            last_response_at: step.now,
            pinged_at: None,
            is_silent: false,
            has_overdue_response: false,
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

    /// Records that a daemon has not answered a question in time.
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

    /// Returns the account's home among this daemon, `me`, and those that it can reach.
    pub(super) fn quota_owner<'l>(
        &'l self,
        account: &AccountName,
        me: &'l InstanceName,
    ) -> Option<&'l InstanceName> {
        home_of(account, self.open_peers().chain([me]))
    }

    pub(super) fn n_open(&self) -> usize {
        self.open_peers().count()
    }

    /// Returns the number of daemons in the fleet, this one included, and how many of them can't be reached now.
    pub(super) fn n_daemons(&self, now: TimePoint) -> (usize, usize) {
        let n_open = self.n_open();
        let n_closed = self
            .links
            .values()
            .filter(|link| !link.is_open && now.since(link.closed_at) < QUOTA_RESERVATION_TTL)
            .count();
        (1 + n_open + n_closed, n_closed)
    }

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
        let is_same = link.member.as_ref() == Some(&advertisement.member);
        let is_other_run = link.member.is_some() && !is_same;
        link.member = Some(advertisement.member.clone());
        link.is_open = true;
        let closed_for = step.now.since(link.closed_at);
        step.log(format!(
            "event=link_open peer={} closed_ms={} same_run={is_same}",
            advertisement.member,
            closed_for.as_millis(),
        ));
        self.record_advertisement(step, advertisement);
        self.record_response(step.now, peer);
        self.drop_foreign_buckets();
        self.picker.set_reachable(peer, true);
        if is_other_run {
            self.handle_lost_attempts(step, peer);
        }
        self.resume_attempts(step, &advertisement.member);
    }

    pub(super) fn close_outbound_link(&mut self, step: &mut ReducerStep<'_>, peer: &InstanceName) {
        let Some(link) = self.links.get_mut(peer) else { return };
        if !link.is_open {
            return;
        }
        link.is_open = false;
        link.closed_at = step.now;
        step.log(format!("event=link_closed peer={peer}"));
        self.picker.set_reachable(peer, false);
        self.gate.forget(peer);
        self.suspend_attempts(step, peer);
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
        if let Some(link) = self.links.get_mut(&instance) {
            link.inbound_closed_at = None;
        }
        self.abandon_runs_of_earlier_incarnations(step, &advertisement.member);
        self.record_advertisement(step, advertisement);
        if !self.links.get(&instance).is_some_and(|it| it.is_open) {
            self.picker.set_reachable(&instance, false);
        }
    }

    /// Drops daemons whose address another one has now: they are gone.
    fn remove_replaced_peers(
        &mut self,
        step: &mut ReducerStep<'_>,
        address: &str,
        instance: &InstanceName,
    ) {
        let others = self.links.links.values().map(|it| &it.address);
        let gone: Vec<PeerAddress> = others
            .filter(|it| it.address == address && it.instance != *instance)
            .cloned()
            .collect();
        for peer in gone {
            step.log(format!("event=peer_replaced peer={} by={instance}", peer.instance));
            self.close_outbound_link(step, &peer.instance);
            self.handle_lost_attempts(step, &peer.instance);
            self.remove_peer(step, &peer.instance);
        }
    }

    fn remove_peer(&mut self, step: &mut ReducerStep<'_>, peer: &InstanceName) {
        self.links.links.remove(peer);
        self.picker.remove(peer);
        self.costs.note_report(peer, Vec::new());
        self.abandon_runs_of(step, |entry| entry.instance == *peer);
        step.out.push(MeshEffect::StopDialing { peer: peer.clone() });
    }

    pub(super) fn handle_inbound_close(&mut self, step: &mut ReducerStep<'_>, peer: &InstanceName) {
        if let Some(link) = self.links.get_mut(peer) {
            link.inbound_closed_at = Some(step.now);
        }
    }

    fn record_advertisement(
        &mut self,
        step: &mut ReducerStep<'_>,
        advertisement: &PeerAdvertisement,
    ) {
        match advertisement
            .server
            .as_ref()
            .and_then(|it| self.leaving_servers.contradicted(step.now, it))
        {
            Some(run) => self.correct_advertisement(step, advertisement, run),
            None => self.picker.note_card(step.now, advertisement),
        }
        if let Some(server) =
            advertisement.server.as_ref().filter(|it| it.phase == ServerPhase::Draining)
        {
            self.leaving_servers.note(step.now, &server.id, Some(server.started_at_ms));
        }
        let Some(link) = self.links.get_mut(&advertisement.member.instance) else { return };
        if !link.is_open {
            self.picker.set_reachable(&advertisement.member.instance, false);
        }
        if link.settings_version < advertisement.settings_version {
            link.settings_version = advertisement.settings_version;
            link.settings_seen_at = step.now;
        }
    }

    /// Takes a card that calls a leaving server ready as that of a leaving server, and tells its sender.
    fn correct_advertisement(
        &mut self,
        step: &mut ReducerStep<'_>,
        advertisement: &PeerAdvertisement,
        run: LeftRun,
    ) {
        let mut corrected = advertisement.clone();
        let Some(server) = &mut corrected.server else { return };
        server.phase = ServerPhase::Draining;
        let peer = &advertisement.member.instance;
        step.log(format!("event=card_corrected peer={peer} server={} phase=Draining", server.id));
        if let LeftRun::Started { born_ms } = run {
            let frame = PeerFrame::ServerLeft { id: server.id.clone(), started_at_ms: born_ms };
            step.send(peer, frame.clone(), Bytes::new());
            step.send_on_inbound(peer, frame, Bytes::new());
        }
        self.picker.note_card(step.now, &corrected);
    }

    pub(super) fn handle_frame(
        &mut self,
        step: &mut ReducerStep<'_>,
        from: &MemberId,
        frame: PeerFrame,
        body: Bytes,
    ) {
        let peer = &from.instance;
        // Other frames come on the link that the other daemon dialed, and say nothing about this daemon's own.
        if frame.is_response() {
            self.record_response(step.now, peer);
        }
        match frame {
            PeerFrame::Advertisement(advertisement) | PeerFrame::Hello { advertisement, .. } => {
                self.record_advertisement(step, &advertisement)
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
                let granted = self.grant_quota(step.now, &account, wanted);
                let frame = PeerFrame::QuotaResponse { account, wanted, granted };
                step.send_on_inbound(peer, frame, Bytes::new());
            }
            PeerFrame::QuotaResponse { account, wanted, granted } => {
                self.handle_quota_response(step, &account, wanted, granted);
            }
            PeerFrame::SettingsRequest => {
                if let Some(settings) = &self.settings {
                    let frame = PeerFrame::Settings { version: settings.version() };
                    step.send_on_inbound(peer, frame, self.settings_document.clone());
                }
            }
            PeerFrame::Settings { version } => {
                step.log(format!("event=settings_from_peer peer={peer} version={version}"));
                step.out.push(MeshEffect::DecodeSettings { document: body });
            }
            PeerFrame::Demand { demand, costs } => {
                self.gate.note_demand(peer, demand);
                self.costs.note_report(peer, costs);
            }
            PeerFrame::ServerLeft { id, started_at_ms } => {
                self.hear_server_leave(step, &id, Some(started_at_ms));
            }
            PeerFrame::Silent { instance } => self.handle_silence_report(step, &instance),
            PeerFrame::Suspicion(suspicion) => self.quarantine.absorb(step.now, &suspicion),
        }
    }

    pub(super) fn tick_links(&mut self, step: &mut ReducerStep<'_>) {
        if step.now.since(self.links.checked_at) < LINK_CHECK_INTERVAL {
            return;
        }
        self.links.checked_at = step.now;
        self.close_silent_links(step);
        self.abandon_runs_of_lost_entries(step);
        self.request_settings(step);
        self.remove_unreachable_peers(step);
    }

    /// Records that a daemon answers on the link that this one dialed.
    fn record_response(&mut self, now: TimePoint, peer: &InstanceName) {
        let Some(link) = self.links.get_mut(peer) else { return };
        link.last_response_at = now;
        link.pinged_at = None;
        link.has_overdue_response = false;
        if std::mem::take(&mut link.is_silent) {
            self.picker.set_silent(peer, false);
        }
    }

    /// Takes it from another daemon that one has stopped answering: until it answers a ping, it is the last choice.
    fn handle_silence_report(&mut self, step: &mut ReducerStep<'_>, peer: &InstanceName) {
        let Some(link) = self.links.get_mut(peer).filter(|it| it.is_open && !it.is_silent) else {
            return;
        };
        if step.now.since(link.last_response_at) < SILENCE_BEFORE_PING {
            return;
        }
        link.is_silent = true;
        link.has_overdue_response = true;
        self.picker.set_silent(peer, true);
        if link.pinged_at.is_none() {
            link.pinged_at = Some(step.now);
            step.send(peer, PeerFrame::Ping, Bytes::new());
        }
    }

    /// Pings daemons that owe a reply and are silent, and ends the links of those that don't answer the ping.
    fn close_silent_links(&mut self, step: &mut ReducerStep<'_>) {
        let mut silent = self.entry.overdue_peers(step.now, SILENCE_BEFORE_PING);
        silent.extend(self.links.overdue_peers());
        for peer in silent {
            let Some(link) = self.links.links.get_mut(&peer).filter(|it| it.is_open) else {
                continue;
            };
            let silence = step.now.since(link.last_response_at);
            match link.pinged_at {
                None if SILENCE_BEFORE_PING <= silence => {
                    link.pinged_at = Some(step.now);
                    step.send(&peer, PeerFrame::Ping, Bytes::new());
                }
                Some(at) if !link.is_silent && SUSPECT_TIMEOUT <= step.now.since(at) => {
                    link.is_silent = true;
                    self.picker.set_silent(&peer, true);
                    step.log(format!(
                        "event=peer_silent peer={peer} silence_ms={}",
                        silence.as_millis()
                    ));
                    self.broadcast(step, &PeerFrame::Silent { instance: peer.clone() });
                }
                Some(at) if PING_TIMEOUT <= step.now.since(at) => {
                    step.log(format!(
                        "event=link_silent peer={peer} silence_ms={}",
                        silence.as_millis()
                    ));
                    step.out.push(MeshEffect::Redial { peer: peer.clone() });
                    self.close_outbound_link(step, &peer);
                }
                _ => {}
            }
        }
    }

    /// Asks a peer for settings that the platform should have brought by now.
    fn request_settings(&mut self, step: &mut ReducerStep<'_>) {
        let current = self.settings.as_ref().map_or(0, |it| it.version());
        let patience = if current == 0 { Duration::ZERO } else { SETTINGS_PLATFORM_TIMEOUT };
        let ahead = self.links.links.iter_mut().find(|(_, link)| {
            let is_recent = link
                .settings_requested_at
                .is_some_and(|at| step.now.since(at) < SETTINGS_REQUEST_INTERVAL);
            link.is_open
                && current < link.settings_version
                && patience <= step.now.since(link.settings_seen_at)
                && !is_recent
        });
        if let Some((peer, link)) = ahead {
            link.settings_requested_at = Some(step.now);
            step.send(peer, PeerFrame::SettingsRequest, Bytes::new());
        }
    }

    /// Stops dialing daemons that have been away for long. One of the others removes their rows from the table.
    fn remove_unreachable_peers(&mut self, step: &mut ReducerStep<'_>) {
        let is_gone =
            |link: &PeerLink| !link.is_open && PEER_REMOVAL_DELAY <= step.now.since(link.closed_at);
        let gone: Vec<PeerAddress> = self
            .links
            .links
            .values()
            .filter(|link| is_gone(link))
            .map(|it| it.address.clone())
            .collect();
        for address in gone {
            let me = &self.options.member.instance;
            let digest_key = AccountName::from(address.instance.as_str());
            let is_mine = self.links.quota_owner(&digest_key, me) == Some(me);
            step.log(format!("event=peer_gone peer={}", address.instance));
            self.remove_peer(step, &address.instance);
            if is_mine && 0 < self.links.n_open() {
                step.out.push(MeshEffect::RemovePeerRow(address));
            }
        }
    }
}
