//! A fleet of settings feeds and authority watches with a platform, in simulated time.

use std::time::Duration;

use ivytrail::{
    authority::{
        AuthorityContext, AuthorityMessage, AuthorityOptions, AuthorityTracker, ControlRing,
    },
    id::MemberId,
    settings::{
        Revision, SettingsChange, SettingsTree, TreeEdit,
        feed::{FeedEffect, FeedMessage, FeedOptions, FeedPeer, SettingsFeed},
    },
    time::TimePoint,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::change;

/// Time between two steps.
pub const STEP_MS: u64 = 10;
/// Members of the control ring.
pub const RING_SIZE: usize = 3;

/// A fault put into the protocol, to see that the test finds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProtocolFault {
    None,
    /// A change counts as confirmed as soon as it is in the table.
    ReportWhenStored,
    /// Evidence ages from the arrival of the answer.
    AgeFromArrival,
    /// A replaced member still speaks.
    ReplacedMemberSpeaks,
}

enum Payload {
    Feed(FeedMessage),
    Authority(AuthorityMessage),
    /// A read on its way to the platform.
    Read {
        after: Revision,
        sent_at: TimePoint,
    },
    /// The platform's answer.
    Rows {
        head: Revision,
        changes: Vec<SettingsChange>,
        ring: ControlRing,
        sent_at: TimePoint,
    },
}

struct Envelope {
    due_ms: u64,
    from: MemberId,
    to: MemberId,
    payload: Payload,
}

pub struct FleetNode {
    pub peer: FeedPeer,
    pub feed: SettingsFeed,
    pub watch: AuthorityTracker,
    ring: Option<ControlRing>,
    is_fenced: bool,
    pub paused_until_ms: u64,
    pub is_cut_off: bool,
    pub lacks_platform: bool,
    awaited: Vec<Revision>,
}

pub struct FleetSim {
    pub now_ms: u64,
    pub nodes: Vec<FleetNode>,
    /// All other daemons, for each one.
    peers: Vec<Vec<FeedPeer>>,
    /// Bytes of evidence messages sent, as encoded in MessagePack.
    pub evidence_bytes: u64,
    pub is_platform_down: bool,
    pub changes: Vec<SettingsChange>,
    /// When each confirmed revision was reported.
    pub reported_ms: Vec<(Revision, u64)>,
    /// Members that were cut from each other, by index.
    pub cuts: Vec<(usize, usize)>,
    ring: ControlRing,
    mail: Vec<Envelope>,
    fault: ProtocolFault,
    pub rng: StdRng,
}

fn member(idx: usize, incarnation: u64) -> MemberId {
    MemberId { instance: format!("node-{idx}").as_str().into(), incarnation }
}

fn node(idx: usize, incarnation: u64) -> FleetNode {
    let domain = ["kolkata", "durgapur", "siliguri"][idx % 3].into();
    let peer = FeedPeer { member: member(idx, incarnation), domain };
    FleetNode {
        feed: SettingsFeed::new(peer.clone(), FeedOptions::default(), idx as u64 + incarnation),
        watch: AuthorityTracker::new(peer.clone(), AuthorityOptions::default()),
        peer,
        ring: None,
        is_fenced: false,
        paused_until_ms: 0,
        is_cut_off: false,
        lacks_platform: false,
        awaited: Vec::new(),
    }
}

impl FleetSim {
    pub fn new(n_nodes: usize, seed: u64, fault: ProtocolFault) -> FleetSim {
        let members = (0..RING_SIZE).map(|idx| member(idx, 1)).collect();
        let nodes = (0..n_nodes).map(|idx| node(idx, 1)).collect::<Vec<_>>();
        FleetSim {
            now_ms: 0,
            peers: (0..n_nodes).map(|idx| peers_of(&nodes, idx)).collect(),
            nodes,
            evidence_bytes: 0,
            is_platform_down: false,
            changes: Vec::new(),
            reported_ms: Vec::new(),
            cuts: Vec::new(),
            ring: ControlRing { epoch: 1, members },
            mail: Vec::new(),
            fault,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub fn now(&self) -> TimePoint {
        TimePoint::from_millis(self.now_ms)
    }

    pub fn run_for(&mut self, span: Duration) {
        let end_ms = self.now_ms + span.as_millis() as u64;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Whether the node would serve a keyed route now.
    pub fn serves(&self, idx: usize) -> bool {
        let node = &self.nodes[idx];
        let is_paused = self.now_ms < node.paused_until_ms;
        !is_paused && node.watch.is_fresh(self.now(), node.feed.revision())
    }

    /// An operator's change at a node; nothing happens while it can't reach the platform.
    pub fn store_change(&mut self, idx: usize) {
        if self.is_platform_down || !self.can_act(idx) || self.nodes[idx].lacks_platform {
            return;
        }
        let revision = self.changes.len() as u64 + 1;
        let edit = TreeEdit::WithdrawKey { name: format!("key-{revision}").as_str().into() };
        self.changes.push(change(revision, edit));
        let known = self.nodes[idx].feed.revision().0 as usize;
        let node = &mut self.nodes[idx];
        node.feed.on_changes(&self.changes[known..]);
        node.watch.await_confirmation(Revision(revision));
        node.awaited.push(Revision(revision));
        if self.fault == ProtocolFault::ReportWhenStored {
            self.reported_ms.push((Revision(revision), self.now_ms));
        }
    }

    /// Ends a daemon; its successor knows nothing and has a new incarnation.
    pub fn restart(&mut self, idx: usize) {
        let incarnation = self.nodes[idx].peer.member.incarnation + 1;
        let is_cut_off = self.nodes[idx].is_cut_off;
        self.nodes[idx] = FleetNode { is_cut_off, ..node(idx, incarnation) };
        self.peers = (0..self.nodes.len()).map(|idx| peers_of(&self.nodes, idx)).collect();
    }

    /// Replaces a ring member by another daemon; the replaced one is fenced from then on, if it still runs.
    pub fn replace_member(&mut self, place: usize, idx: usize) {
        let successor = self.nodes[idx].peer.member.clone();
        if self.is_platform_down
            || self.ring.members.contains(&successor)
            || self.nodes[idx].is_fenced
        {
            return;
        }
        let replaced = std::mem::replace(&mut self.ring.members[place], successor);
        self.ring.epoch += 1;
        for node in self.nodes.iter_mut().filter(|it| it.peer.member == replaced) {
            node.is_fenced = true;
        }
    }

    /// Asserts that no serving daemon lacks a change that was reported longer ago than the reliance.
    pub fn check(&self) -> Result<(), String> {
        let reliance_ms = AuthorityOptions::default().max_evidence_age.as_millis() as u64;
        for idx in (0..self.nodes.len()).filter(|idx| self.serves(*idx)) {
            let own = self.nodes[idx].feed.revision();
            for (revision, at_ms) in &self.reported_ms {
                if own < *revision && at_ms + reliance_ms + STEP_MS < self.now_ms {
                    let late_ms = self.now_ms - at_ms;
                    return Err(format!(
                        "node {idx} at {own} serves {late_ms} ms after {revision}"
                    ));
                }
            }
        }
        Ok(())
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        for envelope in self.take_due_mail() {
            self.deliver(envelope);
        }
        for idx in 0..self.nodes.len() {
            if self.nodes[idx].paused_until_ms <= self.now_ms {
                self.tick_node(idx);
            }
        }
    }

    fn take_due_mail(&mut self) -> Vec<Envelope> {
        let now_ms = self.now_ms;
        let waits = |it: &Envelope| {
            let receiver = self.nodes.iter().find(|node| node.peer.member == it.to);
            let is_paused = receiver.is_some_and(|node| now_ms < node.paused_until_ms);
            now_ms < it.due_ms || (is_paused && !matches!(it.payload, Payload::Read { .. }))
        };
        let (waiting, due) = std::mem::take(&mut self.mail).into_iter().partition(waits);
        self.mail = waiting;
        due
    }

    fn deliver(&mut self, envelope: Envelope) {
        let Envelope { from, to, payload, .. } = envelope;
        if let Payload::Read { after, sent_at } = payload {
            self.answer_read(to, after, sent_at);
            return;
        }
        let Some(idx) = self.nodes.iter().position(|node| node.peer.member == to) else { return };
        match payload {
            Payload::Feed(message) => {
                let now = self.now();
                let effects = self.nodes[idx].feed.on_message(now, &from, message);
                self.carry_out(idx, effects);
            }
            Payload::Authority(message) => {
                let reply = self
                    .with_context(idx, |watch, context| watch.on_message(context, &from, &message));
                if let Some(reply) = reply {
                    self.post(idx, from, Payload::Authority(reply));
                }
            }
            Payload::Rows { head, changes, ring, sent_at } => {
                let is_late = self.fault == ProtocolFault::AgeFromArrival;
                let sent_at = if is_late { self.now() } else { sent_at };
                let node = &mut self.nodes[idx];
                node.feed.on_changes(&changes);
                learn_ring(&mut node.ring, &ring);
                node.watch.on_head(sent_at, head);
            }
            Payload::Read { .. } => {}
        }
    }

    fn answer_read(&mut self, to: MemberId, after: Revision, sent_at: TimePoint) {
        let lacks = self.nodes.iter().any(|node| node.peer.member == to && node.lacks_platform);
        if self.is_platform_down || lacks {
            return;
        }
        let delay_ms =
            self.rng.random_range(1..100) + if self.rng.random_bool(0.05) { 4_000 } else { 0 };
        let payload = Payload::Rows {
            head: Revision(self.changes.len() as u64),
            changes: self.changes[after.0 as usize..].to_vec(),
            ring: self.ring.clone(),
            sent_at,
        };
        self.mail.push(Envelope { due_ms: self.now_ms + delay_ms, from: to.clone(), to, payload });
    }

    fn tick_node(&mut self, idx: usize) {
        let now = self.now();
        let me = self.nodes[idx].peer.member.clone();
        let is_member = self.nodes[idx].ring.as_ref().is_some_and(|it| it.members.contains(&me));
        let effects = self.nodes[idx].feed.tick(now, &self.peers[idx], is_member);
        self.carry_out(idx, effects);
        for (to, message) in self.with_context(idx, AuthorityTracker::tick) {
            self.post(idx, to, Payload::Authority(message));
        }
        if self.rng.random_bool(0.02) {
            self.learn_ring_from_peer(idx);
        }
        let node = &mut self.nodes[idx];
        for revision in std::mem::take(&mut node.awaited) {
            match node.watch.is_confirmed(revision) {
                true => self.reported_ms.push((revision, self.now_ms)),
                false => node.awaited.push(revision),
            }
        }
    }

    fn with_context<A, F>(&mut self, idx: usize, action: F) -> A
    where
        F: FnOnce(&mut AuthorityTracker, &AuthorityContext<'_>) -> A,
    {
        let now = self.now();
        let speaks = self.fault == ProtocolFault::ReplacedMemberSpeaks;
        let node = &mut self.nodes[idx];
        let context = AuthorityContext {
            now,
            revision: node.feed.revision(),
            peers: &self.peers[idx],
            ring: node.ring.as_ref(),
            holds_lease: !node.is_fenced || speaks,
        };
        action(&mut node.watch, &context)
    }

    fn carry_out(&mut self, idx: usize, effects: Vec<FeedEffect>) {
        for effect in effects {
            match effect {
                FeedEffect::Send { to, message } => self.post(idx, to, Payload::Feed(message)),
                FeedEffect::ReadChanges { after } => self.send_read(idx, after),
                FeedEffect::ReadTree => self.send_read(idx, Revision(0)),
            }
        }
    }

    fn send_read(&mut self, idx: usize, after: Revision) {
        if self.nodes[idx].lacks_platform || self.nodes[idx].is_cut_off {
            return;
        }
        let me = self.nodes[idx].peer.member.clone();
        let payload = Payload::Read { after, sent_at: self.now() };
        let due_ms = self.now_ms + self.rng.random_range(1..20);
        self.mail.push(Envelope { due_ms, from: me.clone(), to: me, payload });
    }

    fn post(&mut self, idx: usize, to: MemberId, payload: Payload) {
        let receiver = self.nodes.iter().position(|node| node.peer.member == to);
        if !receiver.is_some_and(|receiver| self.is_connected(idx, receiver)) {
            return;
        }
        if let Payload::Authority(message) = &payload {
            self.evidence_bytes += rmp_serde::to_vec(message).map_or(0, |it| it.len() as u64);
        }
        let from = self.nodes[idx].peer.member.clone();
        let due_ms = self.now_ms + self.rng.random_range(1..60);
        self.mail.push(Envelope { due_ms, from, to, payload });
    }

    fn learn_ring_from_peer(&mut self, idx: usize) {
        let other = self.rng.random_range(0..self.nodes.len());
        if let Some(ring) = self.nodes[other].ring.clone().filter(|_| self.is_connected(idx, other))
        {
            learn_ring(&mut self.nodes[idx].ring, &ring);
        }
    }

    fn is_connected(&self, left: usize, right: usize) -> bool {
        let is_cut = self.cuts.iter().any(|it| *it == (left, right) || *it == (right, left));
        !is_cut && !self.nodes[left].is_cut_off && !self.nodes[right].is_cut_off
    }

    fn can_act(&self, idx: usize) -> bool {
        self.nodes[idx].paused_until_ms <= self.now_ms && !self.nodes[idx].is_cut_off
    }
}

fn peers_of(nodes: &[FleetNode], idx: usize) -> Vec<FeedPeer> {
    let others = nodes.iter().enumerate().filter(|(other, _)| *other != idx);
    others.map(|(_, node)| node.peer.clone()).collect()
}

fn learn_ring(known: &mut Option<ControlRing>, ring: &ControlRing) {
    if known.as_ref().is_none_or(|it| it.epoch < ring.epoch) {
        *known = Some(ring.clone());
    }
}

/// The tree that all changes together make.
pub fn tree_of(changes: &[SettingsChange]) -> SettingsTree {
    let mut tree = SettingsTree::default();
    for change in changes {
        tree.apply(change).expect("changes have no gap");
    }
    tree
}
