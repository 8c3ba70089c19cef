//! Simulation of a fleet of settings feeds and authority watches with a platform, in virtual time.

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

/// Simulated time per step.
pub const STEP_MS: u64 = 10;
/// Number of members in the control ring.
pub const RING_SIZE: usize = 3;

/// Fault injected into the protocol, to verify that the test detects it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProtocolFault {
    None,
    /// A change is reported as confirmed as soon as it is stored in the table.
    ReportWhenStored,
    /// The age of evidence counts from the arrival of the response instead of the sending of the request.
    AgeFromArrival,
    /// A replaced member of the control ring still acts as if it held its lease.
    ReplacedMemberAttests,
}

enum Payload {
    Feed(FeedMessage),
    Authority(AuthorityMessage),
    /// Read request to the platform.
    Read {
        after: Revision,
        sent_at: TimePoint,
    },
    /// Response of the platform.
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
    /// Whether the node is cut off from the platform and all other nodes.
    pub is_isolated: bool,
    pub is_platform_unreachable: bool,
    /// Revisions stored by this node that are not confirmed yet.
    awaiting_confirmation: Vec<Revision>,
}

pub struct FleetSim {
    pub now_ms: u64,
    pub nodes: Vec<FleetNode>,
    /// For each node, all other nodes.
    peers: Vec<Vec<FeedPeer>>,
    /// Bytes of all evidence messages sent, encoded as MessagePack.
    pub evidence_bytes: u64,
    pub is_platform_down: bool,
    pub changes: Vec<SettingsChange>,
    /// Revisions reported as confirmed, with the time of the report.
    pub reported_ms: Vec<(Revision, u64)>,
    /// Pairs of nodes, by index, that can't exchange messages.
    pub severed_links: Vec<(usize, usize)>,
    ring: ControlRing,
    messages_in_transit: Vec<Envelope>,
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
        is_isolated: false,
        is_platform_unreachable: false,
        awaiting_confirmation: Vec::new(),
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
            severed_links: Vec::new(),
            ring: ControlRing { epoch: 1, members },
            messages_in_transit: Vec::new(),
            fault,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub fn now(&self) -> TimePoint {
        TimePoint::from_millis(self.now_ms)
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end_ms = self.now_ms + duration.as_millis() as u64;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Returns whether the node would serve a keyed route now.
    pub fn serves(&self, idx: usize) -> bool {
        let node = &self.nodes[idx];
        let is_paused = self.now_ms < node.paused_until_ms;
        !is_paused && node.watch.is_fresh(self.now(), node.feed.revision())
    }

    /// Stores an operator's change through a node. Does nothing while the node can't reach the platform.
    pub fn store_change(&mut self, idx: usize) {
        if self.is_platform_down || !self.can_store(idx) || self.nodes[idx].is_platform_unreachable
        {
            return;
        }
        let revision = self.changes.len() as u64 + 1;
        let edit = TreeEdit::WithdrawKey { name: format!("key-{revision}").as_str().into() };
        self.changes.push(change(revision, edit));
        let known = self.nodes[idx].feed.revision().0 as usize;
        let node = &mut self.nodes[idx];
        node.feed.on_changes(&self.changes[known..]);
        node.watch.await_confirmation(Revision(revision));
        node.awaiting_confirmation.push(Revision(revision));
        if self.fault == ProtocolFault::ReportWhenStored {
            self.reported_ms.push((Revision(revision), self.now_ms));
        }
    }

    /// Restarts a node without its state and with a new incarnation.
    pub fn restart(&mut self, idx: usize) {
        let incarnation = self.nodes[idx].peer.member.incarnation + 1;
        let is_isolated = self.nodes[idx].is_isolated;
        self.nodes[idx] = FleetNode { is_isolated, ..node(idx, incarnation) };
        self.peers = (0..self.nodes.len()).map(|idx| peers_of(&self.nodes, idx)).collect();
    }

    /// Replaces a ring member by another node. The replaced node is fenced from then on, if it is still running.
    pub fn replace_member(&mut self, slot: usize, idx: usize) {
        let successor = self.nodes[idx].peer.member.clone();
        if self.is_platform_down
            || self.ring.members.contains(&successor)
            || self.nodes[idx].is_fenced
        {
            return;
        }
        let replaced = std::mem::replace(&mut self.ring.members[slot], successor);
        self.ring.epoch += 1;
        for node in self.nodes.iter_mut().filter(|it| it.peer.member == replaced) {
            node.is_fenced = true;
        }
    }

    /// Returns an error if a serving node lacks a change that was reported longer ago than the reliance time.
    pub fn check(&self) -> Result<(), String> {
        let reliance_ms = AuthorityOptions::default().max_evidence_age.as_millis() as u64;
        for idx in (0..self.nodes.len()).filter(|idx| self.serves(*idx)) {
            let local_revision = self.nodes[idx].feed.revision();
            for (revision, at_ms) in &self.reported_ms {
                if local_revision < *revision && at_ms + reliance_ms + STEP_MS < self.now_ms {
                    let age_ms = self.now_ms - at_ms;
                    return Err(format!(
                        "node {idx} at {local_revision} still serves {age_ms} ms after {revision} was reported"
                    ));
                }
            }
        }
        Ok(())
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        for envelope in self.take_due_messages() {
            self.deliver(envelope);
        }
        for idx in 0..self.nodes.len() {
            if self.nodes[idx].paused_until_ms <= self.now_ms {
                self.tick_node(idx);
            }
        }
    }

    /// Removes and returns the messages that are due. Messages to a paused node wait, except reads of the platform.
    fn take_due_messages(&mut self) -> Vec<Envelope> {
        let now_ms = self.now_ms;
        let is_waiting = |it: &Envelope| {
            let receiver = self.nodes.iter().find(|node| node.peer.member == it.to);
            let is_paused = receiver.is_some_and(|node| now_ms < node.paused_until_ms);
            now_ms < it.due_ms || (is_paused && !matches!(it.payload, Payload::Read { .. }))
        };
        let (waiting, due) =
            std::mem::take(&mut self.messages_in_transit).into_iter().partition(is_waiting);
        self.messages_in_transit = waiting;
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
                self.apply_effects(idx, effects);
            }
            Payload::Authority(message) => {
                let reply = self
                    .with_context(idx, |watch, context| watch.on_message(context, &from, &message));
                if let Some(reply) = reply {
                    self.send(idx, from, Payload::Authority(reply));
                }
            }
            Payload::Rows { head, changes, ring, sent_at } => {
                let ages_from_arrival = self.fault == ProtocolFault::AgeFromArrival;
                let sent_at = if ages_from_arrival { self.now() } else { sent_at };
                let node = &mut self.nodes[idx];
                node.feed.on_changes(&changes);
                update_ring(&mut node.ring, &ring);
                node.watch.on_head(sent_at, head);
            }
            Payload::Read { .. } => {}
        }
    }

    fn answer_read(&mut self, to: MemberId, after: Revision, sent_at: TimePoint) {
        let is_unreachable =
            self.nodes.iter().any(|node| node.peer.member == to && node.is_platform_unreachable);
        if self.is_platform_down || is_unreachable {
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
        self.messages_in_transit.push(Envelope {
            due_ms: self.now_ms + delay_ms,
            from: to.clone(),
            to,
            payload,
        });
    }

    fn tick_node(&mut self, idx: usize) {
        let now = self.now();
        let local_member = self.nodes[idx].peer.member.clone();
        let is_member =
            self.nodes[idx].ring.as_ref().is_some_and(|it| it.members.contains(&local_member));
        let effects = self.nodes[idx].feed.tick(now, &self.peers[idx], is_member);
        self.apply_effects(idx, effects);
        for (to, message) in self.with_context(idx, AuthorityTracker::tick) {
            self.send(idx, to, Payload::Authority(message));
        }
        if self.rng.random_bool(0.02) {
            self.update_ring_from_peer(idx);
        }
        let node = &mut self.nodes[idx];
        for revision in std::mem::take(&mut node.awaiting_confirmation) {
            match node.watch.is_confirmed(revision) {
                true => self.reported_ms.push((revision, self.now_ms)),
                false => node.awaiting_confirmation.push(revision),
            }
        }
    }

    fn with_context<A, F>(&mut self, idx: usize, action: F) -> A
    where
        F: FnOnce(&mut AuthorityTracker, &AuthorityContext<'_>) -> A,
    {
        let now = self.now();
        let ignores_fencing = self.fault == ProtocolFault::ReplacedMemberAttests;
        let node = &mut self.nodes[idx];
        let context = AuthorityContext {
            now,
            revision: node.feed.revision(),
            peers: &self.peers[idx],
            ring: node.ring.as_ref(),
            holds_lease: !node.is_fenced || ignores_fencing,
        };
        action(&mut node.watch, &context)
    }

    fn apply_effects(&mut self, idx: usize, effects: Vec<FeedEffect>) {
        for effect in effects {
            match effect {
                FeedEffect::Send { to, message } => self.send(idx, to, Payload::Feed(message)),
                FeedEffect::ReadChanges { after } => self.send_read(idx, after),
                FeedEffect::ReadTree => self.send_read(idx, Revision(0)),
            }
        }
    }

    fn send_read(&mut self, idx: usize, after: Revision) {
        if self.nodes[idx].is_platform_unreachable || self.nodes[idx].is_isolated {
            return;
        }
        let local_member = self.nodes[idx].peer.member.clone();
        let payload = Payload::Read { after, sent_at: self.now() };
        let due_ms = self.now_ms + self.rng.random_range(1..20);
        self.messages_in_transit.push(Envelope {
            due_ms,
            from: local_member.clone(),
            to: local_member,
            payload,
        });
    }

    fn send(&mut self, idx: usize, to: MemberId, payload: Payload) {
        let receiver = self.nodes.iter().position(|node| node.peer.member == to);
        if !receiver.is_some_and(|receiver| self.is_connected(idx, receiver)) {
            return;
        }
        if let Payload::Authority(message) = &payload {
            self.evidence_bytes += rmp_serde::to_vec(message).map_or(0, |it| it.len() as u64);
        }
        let from = self.nodes[idx].peer.member.clone();
        let due_ms = self.now_ms + self.rng.random_range(1..60);
        self.messages_in_transit.push(Envelope { due_ms, from, to, payload });
    }

    fn update_ring_from_peer(&mut self, idx: usize) {
        let other = self.rng.random_range(0..self.nodes.len());
        if let Some(ring) = self.nodes[other].ring.clone().filter(|_| self.is_connected(idx, other))
        {
            update_ring(&mut self.nodes[idx].ring, &ring);
        }
    }

    fn is_connected(&self, first: usize, second: usize) -> bool {
        let is_severed =
            self.severed_links.iter().any(|it| *it == (first, second) || *it == (second, first));
        !is_severed && !self.nodes[first].is_isolated && !self.nodes[second].is_isolated
    }

    fn can_store(&self, idx: usize) -> bool {
        self.nodes[idx].paused_until_ms <= self.now_ms && !self.nodes[idx].is_isolated
    }
}

fn peers_of(nodes: &[FleetNode], idx: usize) -> Vec<FeedPeer> {
    let others = nodes.iter().enumerate().filter(|(other, _)| *other != idx);
    others.map(|(_, node)| node.peer.clone()).collect()
}

fn update_ring(known: &mut Option<ControlRing>, ring: &ControlRing) {
    if known.as_ref().is_none_or(|it| it.epoch < ring.epoch) {
        *known = Some(ring.clone());
    }
}

/// Returns the tree that results from applying all changes.
pub fn tree_of(changes: &[SettingsChange]) -> SettingsTree {
    let mut tree = SettingsTree::default();
    for change in changes {
        tree.apply(change).expect("changes have no gap");
    }
    tree
}
