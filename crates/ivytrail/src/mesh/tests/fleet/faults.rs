//! What goes wrong between and at the daemons of the tests.

use super::{
    FrameInTransit, SERVICES, TestFleet, VERSION, name_of, reducer_of, server_advertisement,
};
use crate::{
    id::MemberId,
    mesh::event::{MeshEvent, PeerAddress},
};

impl TestFleet {
    /// Cuts the links between two daemons.
    pub(in super::super) fn cut_links(&mut self, a: usize, b: usize) {
        self.cuts.insert((a.min(b), a.max(b)));
        self.break_link(a, b);
    }

    /// Opens the links between two daemons again.
    pub(in super::super) fn restore_links(&mut self, a: usize, b: usize) {
        self.cuts.remove(&(a.min(b), a.max(b)));
        self.link(a, b);
        self.link(b, a);
    }

    /// Ends a daemon without notice; its links break and its runs go on unseen.
    pub(in super::super) fn crash(&mut self, daemon: usize) {
        self.dead.insert(daemon);
        self.runs.retain(|it| it.daemon != daemon);
        for other in (0..self.daemons.len()).filter(|it| *it != daemon) {
            self.break_link(daemon, other);
        }
    }

    /// Starts a daemon with empty hands.
    pub(in super::super) fn restart(&mut self, daemon: usize) {
        self.dead.remove(&daemon);
        self.incarnations[daemon] += 1;
        self.daemons[daemon] = reducer_of(daemon, self.incarnations[daemon]);
        let peers = (0..self.daemons.len())
            .map(|it| PeerAddress { instance: name_of(it), address: format!("10.0.0.{it}:7000") })
            .collect();
        self.apply(daemon, MeshEvent::PeersDiscovered(peers));
    }

    /// Loses all frames that a daemon sends from now on; its links stay open.
    pub(in super::super) fn mute(&mut self, daemon: usize) {
        self.muted.insert(daemon);
    }

    /// Teaches a daemon a row under a name that is gone, at the address that another daemon has now.
    pub(in super::super) fn add_outdated_row(
        &mut self,
        daemon: usize,
        name: &str,
        address_of: usize,
    ) {
        let address = self.daemons[address_of].advertisement().address;
        let peer = PeerAddress { instance: name.into(), address };
        self.apply(daemon, MeshEvent::PeersDiscovered(vec![peer]));
    }

    /// Makes the links silent that others have dialed to a daemon; those that it dialed itself work on.
    pub(in super::super) fn mute_inbound_replies(&mut self, daemon: usize) {
        self.inbound_muted.insert(daemon);
    }

    pub(in super::super) fn hold_frames(&mut self, is_holding: bool) {
        self.is_holding = is_holding;
    }

    /// Returns the frames that were held, in order.
    pub(in super::super) fn take_held_frames(&mut self) -> Vec<FrameInTransit> {
        std::mem::take(&mut self.held)
    }

    /// Loses the frames that were held and returns the daemon that the first was for.
    pub(in super::super) fn drop_held_frames(&mut self) -> usize {
        let held = self.take_held_frames();
        held.first().map(|(_, to, _)| *to).expect("a frame was held")
    }

    pub(in super::super) fn is_dead(&self, daemon: usize) -> bool {
        self.dead.contains(&daemon)
    }

    /// Starts a daemon with empty hands and lets it take up its place: server, settings, links that are not cut.
    pub(in super::super) fn rejoin(&mut self, daemon: usize) {
        self.restart(daemon);
        self.muted.remove(&daemon);
        let event = self.settings_event(VERSION);
        self.apply(daemon, event);
        let card = server_advertisement(daemon, SERVICES[daemon]);
        self.apply(daemon, MeshEvent::ServerAnnounced { advertisement: card, sequence: 1 });
        self.relink(daemon);
    }

    /// Ends the silence of a daemon: its links break and are dialed anew, where they are not cut.
    pub(in super::super) fn unmute(&mut self, daemon: usize) {
        if self.muted.remove(&daemon) {
            for other in (0..self.daemons.len()).filter(|it| *it != daemon) {
                self.break_link(daemon, other);
            }
            self.relink(daemon);
        }
    }

    fn relink(&mut self, daemon: usize) {
        for other in (0..self.daemons.len()).filter(|it| *it != daemon) {
            if !self.is_cut(daemon, other) {
                self.link(daemon, other);
                self.link(other, daemon);
            }
        }
    }

    /// Breaks the links between two daemons; frames on them are lost.
    fn break_link(&mut self, a: usize, b: usize) {
        self.held.retain(|(from, to, _)| (*from.min(to), *from.max(to)) != (a.min(b), a.max(b)));
        for (one, other) in [(a, b), (b, a)] {
            self.apply(one, MeshEvent::OutboundLinkClosed { peer: name_of(other) });
            self.apply(one, MeshEvent::InboundLinkClosed { peer: name_of(other) });
        }
    }

    /// Delivers the frames that were held, in order; those between daemons whose link is cut are lost.
    pub(in super::super) fn release_held_frames(&mut self) {
        self.is_holding = false;
        for frame in self.take_held_frames() {
            let is_lost = self.is_cut(frame.0, frame.1) || self.dead.contains(&frame.0);
            if !is_lost {
                self.deliver(frame);
            }
        }
    }

    /// Loses the frames that were held; the links that they were on break.
    pub(in super::super) fn drop_held_frames_and_reconnect(&mut self) {
        self.is_holding = false;
        let mut pairs: Vec<(usize, usize)> =
            self.take_held_frames().iter().map(|(a, b, _)| (*a.min(b), *a.max(b))).collect();
        pairs.sort_unstable();
        pairs.dedup();
        for (a, b) in pairs {
            if !self.is_cut(a, b) {
                self.cut_links(a, b);
                self.restore_links(a, b);
            }
        }
    }

    /// Lets another daemon introduce itself to `at` with the address of `gone`.
    pub(in super::super) fn replace_daemon(&mut self, gone: usize, at: usize) {
        let mut card = self.daemons[gone].advertisement();
        card.member = MemberId { instance: "i-9".into(), incarnation: 1 };
        card.server = None;
        self.apply(at, MeshEvent::InboundLinkOpened(Box::new(card)));
    }
}
