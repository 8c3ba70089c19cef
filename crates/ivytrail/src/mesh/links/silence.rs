//! Detection of links and daemons that have stopped responding.

use std::time::Duration;

use bytes::Bytes;

use super::LinkEnd;
use crate::{
    id::InstanceName,
    mesh::{MeshReducer, ReducerStep, event::MeshEffect, frame::PeerFrame},
    time::TimePoint,
};

/// Time without a response after which a peer with an outstanding request is pinged.
pub(super) const SILENCE_BEFORE_PING: Duration = Duration::from_millis(150);
/// Time without a response to a ping after which a peer counts as silent and is used only as a last resort, here and at
/// the daemons that are notified. On a short path, a lost packet is retransmitted within this time.
const SILENT_PEER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time without a response to a ping after which the link is closed and dialed again.
const PING_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a daemon may fail to respond before the first of its peers closes the link to it.
pub(in crate::mesh) const LONGEST_SILENCE: Duration =
    SILENCE_BEFORE_PING.saturating_add(PING_TIMEOUT);

impl MeshReducer {
    /// Records a response of a peer on the outbound link.
    pub(super) fn record_response(&mut self, now: TimePoint, peer: &InstanceName) {
        let Some(link) = self.links.get_mut(peer) else { return };
        link.last_response_at = now;
        link.pinged_at = None;
        link.pending_cancels.clear();
        link.has_overdue_response = false;
        if std::mem::take(&mut link.is_silent) {
            self.picker.set_silent(peer, false);
        }
    }

    /// Handles another daemon's report that a peer has stopped responding: the peer is used only as a last resort until
    /// it responds to a ping.
    pub(super) fn handle_silence_report(
        &mut self,
        step: &mut ReducerStep<'_>,
        peer: &InstanceName,
    ) {
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

    /// Pings peers that have overdue replies, marks those that don't respond as silent and finally closes their links.
    pub(super) fn close_silent_links(&mut self, step: &mut ReducerStep<'_>) {
        let mut overdue = self.entry.overdue_peers(step.now, SILENCE_BEFORE_PING);
        overdue.extend(self.links.overdue_peers());
        for peer in overdue {
            let Some(link) = self.links.links.get_mut(&peer).filter(|it| it.is_open) else {
                continue;
            };
            let silence = step.now.since(link.last_response_at);
            match link.pinged_at {
                None if SILENCE_BEFORE_PING <= silence => {
                    link.pinged_at = Some(step.now);
                    step.send(&peer, PeerFrame::Ping, Bytes::new());
                }
                Some(at) if !link.is_silent && SILENT_PEER_TIMEOUT <= step.now.since(at) => {
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
                    self.close_outbound_link(step, &peer, LinkEnd::Silent);
                }
                _ => {}
            }
        }
    }

    /// Treats the idempotent attempts on silent links that were not dialed again in time as lost.
    pub(super) fn expire_suspended_attempts(&mut self, step: &mut ReducerStep<'_>) {
        let links = self.links.links.iter_mut();
        let expired: Vec<InstanceName> = links
            .filter(|(_, link)| link.resumable_until.is_some_and(|until| until <= step.now))
            .map(|(peer, link)| {
                link.resumable_until = None;
                peer.clone()
            })
            .collect();
        for peer in expired {
            self.handle_lost_idempotent_attempts(step, &peer);
        }
    }
}
