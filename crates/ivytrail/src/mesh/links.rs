//! Links to other daemons: which are open, which went silent, and what travels on them besides attempts.

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;

use super::{
    MeshReducer, Turn,
    event::{MeshEffect, PeerAddress},
    frame::{PeerCard, PeerFrame, ServerPhase},
    leaving_servers::LeavingRun,
    quota::quota_owner,
};
use crate::{
    id::{AccountName, InstanceName, MemberId},
    time::TimePoint,
};

/// Silence after which a daemon that owes a reply is asked whether it still hears.
const SILENCE_BEFORE_PING: Duration = Duration::from_millis(150);
/// Silence after a ping that makes a daemon the last choice, here and where it is told of; a lost packet is sent again
/// within it on a short path.
const SILENCE_BEFORE_DOUBT: Duration = Duration::from_millis(150);
/// Silence after a ping that ends a link.
const SILENCE_AFTER_PING: Duration = Duration::from_millis(450);
/// Time between two looks for links that are silent or have been away for long.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Least time between two cards to the same daemon when nothing has changed.
const MIN_CARD_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the time between two such cards for each daemon, so that the cards of a large fleet stay few.
const CARD_INTERVAL_PER_PEER: Duration = Duration::from_millis(20);
/// Time for which the platform may still bring settings that a peer already has.
const SETTINGS_PATIENCE: Duration = Duration::from_millis(250);
/// Time between two questions for settings.
const SETTINGS_ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a link after which a daemon counts as gone.
const GONE_AFTER: Duration = Duration::from_secs(120);
/// Time without a link after which a daemon's part of quotas and budgets is no longer set aside.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

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
    heard_at: TimePoint,
    pinged_at: Option<TimePoint>,
    /// Whether the daemon has not answered a ping so far, or others say so.
    is_silent: bool,
    /// Whether a question other than an attempt has gone without an answer.
    owes_answer: bool,
    settings_version: u64,
    settings_seen_at: TimePoint,
    settings_asked_at: Option<TimePoint>,
    /// When the link that the other daemon dialed broke.
    pub(super) lost_at: Option<TimePoint>,
}

/// All other daemons.
#[derive(Debug, Default)]
pub(super) struct PeerLinks {
    links: HashMap<InstanceName, PeerLink>,
    checked_at: TimePoint,
}

impl PeerLinks {
    /// Adds a daemon and dials it, unless it is known at this address.
    pub(super) fn add(&mut self, turn: &mut Turn<'_>, address: PeerAddress) {
        if self.links.get(&address.instance).is_some_and(|it| it.address == address) {
            return;
        }
        if self.links.contains_key(&address.instance) {
            turn.out.push(MeshEffect::Undial { peer: address.instance.clone() });
        }
        turn.log(format!("event=peer_known peer={} address={}", address.instance, address.address));
        turn.out.push(MeshEffect::Dial(address.clone()));
        let link = PeerLink {
            member: None,
            is_open: false,
            closed_at: turn.now,
            heard_at: turn.now,
            pinged_at: None,
            is_silent: false,
            owes_answer: false,
            settings_version: 0,
            settings_seen_at: turn.now,
            settings_asked_at: None,
            lost_at: None,
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
    pub(super) fn note_unanswered(&mut self, peer: &InstanceName) {
        if let Some(link) = self.links.get_mut(peer) {
            link.owes_answer = true;
        }
    }

    fn owing_peers(&self) -> impl Iterator<Item = InstanceName> {
        self.links.iter().filter(|(_, link)| link.owes_answer).map(|(name, _)| name.clone())
    }

    pub(super) fn open_peers(&self) -> impl Iterator<Item = &InstanceName> {
        self.links.iter().filter(|(_, link)| link.is_open).map(|(name, _)| name)
    }

    /// Returns the account's home among this daemon, `me`, and those that it can reach.
    pub(super) fn home_of<'l>(
        &'l self,
        account: &AccountName,
        me: &'l InstanceName,
    ) -> Option<&'l InstanceName> {
        quota_owner(account, self.open_peers().chain([me]))
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
            .filter(|link| !link.is_open && now.since(link.closed_at) < FORGOTTEN_AFTER)
            .count();
        (1 + n_open + n_closed, n_closed)
    }

    pub(super) fn card_interval(&self) -> Duration {
        MIN_CARD_INTERVAL.max(CARD_INTERVAL_PER_PEER * self.links.len() as u32)
    }
}

impl MeshReducer {
    pub(super) fn open_link(&mut self, turn: &mut Turn<'_>, card: &PeerCard) {
        let peer = &card.member.instance;
        let Some(link) = self.links.get_mut(peer) else { return };
        let is_same = link.member.as_ref() == Some(&card.member);
        let is_other_run = link.member.is_some() && !is_same;
        link.member = Some(card.member.clone());
        link.is_open = true;
        let closed_for = turn.now.since(link.closed_at);
        turn.log(format!(
            "event=link_open peer={} closed_ms={} same_run={is_same}",
            card.member,
            closed_for.as_millis(),
        ));
        self.note_card(turn, card);
        self.note_answering(turn.now, peer);
        self.keep_homes();
        self.picker.set_reachable(peer, true);
        if is_other_run {
            self.lose_attempts(turn, peer);
        }
        self.resume_attempts(turn, &card.member);
    }

    pub(super) fn close_link(&mut self, turn: &mut Turn<'_>, peer: &InstanceName) {
        let Some(link) = self.links.get_mut(peer) else { return };
        if !link.is_open {
            return;
        }
        link.is_open = false;
        link.closed_at = turn.now;
        turn.log(format!("event=link_closed peer={peer}"));
        self.picker.set_reachable(peer, false);
        self.gate.remove_daemon(peer);
        self.suspend_attempts(turn, peer);
    }

    pub(super) fn accept_peer(&mut self, turn: &mut Turn<'_>, card: &PeerCard) {
        let instance = card.member.instance.clone();
        if instance == self.options.member.instance {
            return;
        }
        self.drop_others_at(turn, &card.address, &instance);
        let address = PeerAddress { instance: instance.clone(), address: card.address.clone() };
        self.links.add(turn, address);
        if let Some(link) = self.links.get_mut(&instance) {
            link.lost_at = None;
        }
        self.give_up_earlier_runs(turn, &card.member);
        self.note_card(turn, card);
        if !self.links.get(&instance).is_some_and(|it| it.is_open) {
            self.picker.set_reachable(&instance, false);
        }
    }

    /// Drops daemons whose address another one has now: they are gone.
    fn drop_others_at(&mut self, turn: &mut Turn<'_>, address: &str, instance: &InstanceName) {
        let others = self.links.links.values().map(|it| &it.address);
        let gone: Vec<PeerAddress> = others
            .filter(|it| it.address == address && it.instance != *instance)
            .cloned()
            .collect();
        for peer in gone {
            turn.log(format!("event=peer_replaced peer={} by={instance}", peer.instance));
            self.close_link(turn, &peer.instance);
            self.lose_attempts(turn, &peer.instance);
            self.drop_link(turn, &peer.instance);
        }
    }

    fn drop_link(&mut self, turn: &mut Turn<'_>, peer: &InstanceName) {
        self.links.links.remove(peer);
        self.picker.remove(peer);
        self.costs.record_report(peer, Vec::new());
        self.give_up_runs(turn, |entry| entry.instance == *peer);
        turn.out.push(MeshEffect::Undial { peer: peer.clone() });
    }

    pub(super) fn lose_peer(&mut self, turn: &mut Turn<'_>, peer: &InstanceName) {
        if let Some(link) = self.links.get_mut(peer) {
            link.lost_at = Some(turn.now);
        }
    }

    fn note_card(&mut self, turn: &mut Turn<'_>, card: &PeerCard) {
        match card.server.as_ref().and_then(|it| self.left.conflicting_leave(turn.now, it)) {
            Some(run) => self.correct_card(turn, card, run),
            None => self.picker.apply_advertisement(turn.now, card),
        }
        if let Some(server) = card.server.as_ref().filter(|it| it.phase == ServerPhase::Draining) {
            self.left.record(turn.now, &server.id, Some(server.born_ms));
        }
        let Some(link) = self.links.get_mut(&card.member.instance) else { return };
        if !link.is_open {
            self.picker.set_reachable(&card.member.instance, false);
        }
        if link.settings_version < card.settings_version {
            link.settings_version = card.settings_version;
            link.settings_seen_at = turn.now;
        }
    }

    /// Takes a card that calls a leaving server ready as that of a leaving server, and tells its sender.
    fn correct_card(&mut self, turn: &mut Turn<'_>, card: &PeerCard, run: LeavingRun) {
        let mut corrected = card.clone();
        let Some(server) = &mut corrected.server else { return };
        server.phase = ServerPhase::Draining;
        let peer = &card.member.instance;
        turn.log(format!("event=card_corrected peer={peer} server={} phase=Draining", server.id));
        if let LeavingRun::Started { born_ms } = run {
            let frame = PeerFrame::ServerLeft { id: server.id.clone(), born_ms };
            turn.send(peer, frame.clone(), Bytes::new());
            turn.send_back(peer, frame, Bytes::new());
        }
        self.picker.apply_advertisement(turn.now, &corrected);
    }

    pub(super) fn receive_frame(
        &mut self,
        turn: &mut Turn<'_>,
        from: &MemberId,
        frame: PeerFrame,
        body: Bytes,
    ) {
        let peer = &from.instance;
        // Other frames come on the link that the other daemon dialed, and say nothing about this daemon's own.
        if frame.is_answer() {
            self.note_answering(turn.now, peer);
        }
        match frame {
            PeerFrame::Card(card) | PeerFrame::Hello { card, .. } => self.note_card(turn, &card),
            PeerFrame::Attempt(order) => self.receive_attempt(turn, from, *order, body),
            PeerFrame::Cancel { serial } => self.cancel_attempt(turn, from, serial),
            PeerFrame::Resume { serial } => self.resume_run(turn, from, serial),
            PeerFrame::Reply { serial, result, load } => {
                self.receive_reply(turn, peer, serial, result, Some(load), body);
            }
            PeerFrame::Ping => turn.send_back(peer, PeerFrame::Pong, Bytes::new()),
            PeerFrame::Pong => {}
            PeerFrame::QuotaAsk { account, wanted } => {
                let granted = self.answer_quota(turn.now, &account, wanted);
                let frame = PeerFrame::QuotaAnswer { account, wanted, granted };
                turn.send_back(peer, frame, Bytes::new());
            }
            PeerFrame::QuotaAnswer { account, wanted, granted } => {
                self.receive_tokens(turn, &account, wanted, granted);
            }
            PeerFrame::SettingsAsk => {
                if let Some(settings) = &self.settings {
                    let frame = PeerFrame::Settings { version: settings.version() };
                    turn.send_back(peer, frame, self.document.clone());
                }
            }
            PeerFrame::Settings { version } => {
                turn.log(format!("event=settings_from_peer peer={peer} version={version}"));
                turn.out.push(MeshEffect::DecodeSettings { document: body });
            }
            PeerFrame::Demand { demand, costs } => {
                self.gate.record_demand(peer, demand);
                self.costs.record_report(peer, costs);
            }
            PeerFrame::ServerLeft { id, born_ms } => {
                self.handle_server_leave(turn, &id, Some(born_ms));
            }
            PeerFrame::Silent { instance } => self.hear_of_silence(turn, &instance),
            PeerFrame::Suspicion(suspicion) => self.quarantine.merge(turn.now, &suspicion),
        }
    }

    pub(super) fn tick_links(&mut self, turn: &mut Turn<'_>) {
        if turn.now.since(self.links.checked_at) < LINK_CHECK_INTERVAL {
            return;
        }
        self.links.checked_at = turn.now;
        self.end_silent_links(turn);
        self.give_up_lost_entries(turn);
        self.ask_for_settings(turn);
        self.forget_gone_peers(turn);
    }

    /// Records that a daemon answers on the link that this one dialed.
    fn note_answering(&mut self, now: TimePoint, peer: &InstanceName) {
        let Some(link) = self.links.get_mut(peer) else { return };
        link.heard_at = now;
        link.pinged_at = None;
        link.owes_answer = false;
        if std::mem::take(&mut link.is_silent) {
            self.picker.set_silent(peer, false);
        }
    }

    /// Takes it from another daemon that one has stopped answering: until it answers a ping, it is the last choice.
    fn hear_of_silence(&mut self, turn: &mut Turn<'_>, peer: &InstanceName) {
        let Some(link) = self.links.get_mut(peer).filter(|it| it.is_open && !it.is_silent) else {
            return;
        };
        if turn.now.since(link.heard_at) < SILENCE_BEFORE_PING {
            return;
        }
        link.is_silent = true;
        link.owes_answer = true;
        self.picker.set_silent(peer, true);
        if link.pinged_at.is_none() {
            link.pinged_at = Some(turn.now);
            turn.send(peer, PeerFrame::Ping, Bytes::new());
        }
    }

    /// Pings daemons that owe a reply and are silent, and ends the links of those that don't answer the ping.
    fn end_silent_links(&mut self, turn: &mut Turn<'_>) {
        let mut silent = self.entry.awaited_peers(turn.now, SILENCE_BEFORE_PING);
        silent.extend(self.links.owing_peers());
        for peer in silent {
            let Some(link) = self.links.links.get_mut(&peer).filter(|it| it.is_open) else {
                continue;
            };
            let silence = turn.now.since(link.heard_at);
            match link.pinged_at {
                None if SILENCE_BEFORE_PING <= silence => {
                    link.pinged_at = Some(turn.now);
                    turn.send(&peer, PeerFrame::Ping, Bytes::new());
                }
                Some(at) if !link.is_silent && SILENCE_BEFORE_DOUBT <= turn.now.since(at) => {
                    link.is_silent = true;
                    self.picker.set_silent(&peer, true);
                    turn.log(format!(
                        "event=peer_silent peer={peer} silence_ms={}",
                        silence.as_millis()
                    ));
                    self.broadcast(turn, &PeerFrame::Silent { instance: peer.clone() });
                }
                Some(at) if SILENCE_AFTER_PING <= turn.now.since(at) => {
                    turn.log(format!(
                        "event=link_silent peer={peer} silence_ms={}",
                        silence.as_millis()
                    ));
                    turn.out.push(MeshEffect::Redial { peer: peer.clone() });
                    self.close_link(turn, &peer);
                }
                _ => {}
            }
        }
    }

    /// Asks a peer for settings that the platform should have brought by now.
    fn ask_for_settings(&mut self, turn: &mut Turn<'_>) {
        let current = self.settings.as_ref().map_or(0, |it| it.version());
        let patience = if current == 0 { Duration::ZERO } else { SETTINGS_PATIENCE };
        let ahead = self.links.links.iter_mut().find(|(_, link)| {
            let is_recent =
                link.settings_asked_at.is_some_and(|at| turn.now.since(at) < SETTINGS_ASK_INTERVAL);
            link.is_open
                && current < link.settings_version
                && patience <= turn.now.since(link.settings_seen_at)
                && !is_recent
        });
        if let Some((peer, link)) = ahead {
            link.settings_asked_at = Some(turn.now);
            turn.send(peer, PeerFrame::SettingsAsk, Bytes::new());
        }
    }

    /// Stops dialing daemons that have been away for long. One of the others removes their rows from the table.
    fn forget_gone_peers(&mut self, turn: &mut Turn<'_>) {
        let is_gone =
            |link: &PeerLink| !link.is_open && GONE_AFTER <= turn.now.since(link.closed_at);
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
            let is_mine = self.links.home_of(&digest_key, me) == Some(me);
            turn.log(format!("event=peer_gone peer={}", address.instance));
            self.drop_link(turn, &address.instance);
            if is_mine && 0 < self.links.n_open() {
                turn.out.push(MeshEffect::ForgetPeer(address));
            }
        }
    }
}
