//! Attempts of an entry when the link to their guard breaks and comes back.

use bytes::Bytes;

use super::{MeshReducer, Turn, entry::CallStage, frame::PeerFrame};
use crate::{
    id::{CallId, InstanceName, MemberId},
    message::RefusalReason,
};

impl MeshReducer {
    /// Takes the end of a link: what may be sent again is, the rest waits for the link to come back.
    pub(super) fn suspend_attempts(&mut self, turn: &mut Turn<'_>, peer: &InstanceName) {
        for (id, serial) in self.entry.sent_to(peer) {
            let is_idempotent =
                self.entry.calls.get(&id).is_some_and(|call| call.order.is_idempotent);
            if is_idempotent {
                self.lose_attempt(turn, id, serial, peer);
            }
        }
    }

    /// Asks on a new link what became of the attempts that were sent on the old one.
    pub(super) fn resume_attempts(&mut self, turn: &mut Turn<'_>, member: &MemberId) {
        let peer = &member.instance;
        for (id, serial) in self.entry.sent_to(peer) {
            let Some(call) = self.entry.calls.get_mut(&id) else { continue };
            if let CallStage::Sent { sent_at, .. } = &mut call.stage {
                *sent_at = turn.now;
            }
            turn.send(peer, PeerFrame::Resume { serial }, Bytes::new());
        }
    }

    /// Takes an attempt as lost: nobody can tell any more whether it ran.
    fn lose_attempt(&mut self, turn: &mut Turn<'_>, id: CallId, serial: u64, peer: &InstanceName) {
        self.entry.attempts.remove(&serial);
        let Some(call) = self.entry.calls.get_mut(&id) else { return };
        call.stage = CallStage::Deciding;
        call.n_runs += 1;
        call.may_have_run = true;
        call.tried.push(peer.clone());
        if call.order.is_idempotent && self.may_repeat(turn, id) {
            return self.dispatch(turn, id);
        }
        self.give_up(turn, id, RefusalReason::ConnectionLost, None);
    }

    /// Takes it that a daemon has started anew: what its earlier run had is lost.
    pub(super) fn lose_attempts(&mut self, turn: &mut Turn<'_>, peer: &InstanceName) {
        for (id, serial) in self.entry.sent_to(peer) {
            self.lose_attempt(turn, id, serial, peer);
        }
    }
}
