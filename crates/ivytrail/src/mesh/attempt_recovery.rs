//! Attempts of an entry when the link to their guard breaks and comes back.

use bytes::Bytes;

use super::{MeshReducer, ReducerStep, entry::CallStage, frame::PeerFrame};
use crate::{
    id::{CallId, InstanceName, MemberId},
    message::RefusalReason,
};

impl MeshReducer {
    /// Takes the end of a link: what may be sent again is, the rest waits for the link to come back.
    pub(super) fn suspend_attempts(&mut self, step: &mut ReducerStep<'_>, peer: &InstanceName) {
        for (id, serial) in self.entry.attempts_at(peer) {
            let is_idempotent =
                self.entry.calls.get(&id).is_some_and(|call| call.request.is_idempotent);
            if is_idempotent {
                self.handle_lost_attempt(step, id, serial, peer);
            }
        }
    }

    /// Asks on a new link what became of the attempts that were sent on the old one.
    pub(super) fn resume_attempts(&mut self, step: &mut ReducerStep<'_>, member: &MemberId) {
        let peer = &member.instance;
        for (id, serial) in self.entry.attempts_at(peer) {
            let Some(call) = self.entry.calls.get_mut(&id) else { continue };
            if let CallStage::Sent { sent_at, .. } = &mut call.stage {
                *sent_at = step.now;
            }
            step.send(peer, PeerFrame::Resume { serial }, Bytes::new());
        }
    }

    /// Takes an attempt as lost: nobody can tell any more whether it ran.
    fn handle_lost_attempt(
        &mut self,
        step: &mut ReducerStep<'_>,
        id: CallId,
        serial: u64,
        peer: &InstanceName,
    ) {
        self.entry.attempts.remove(&serial);
        let Some(call) = self.entry.calls.get_mut(&id) else { return };
        call.stage = CallStage::Deciding;
        call.n_runs += 1;
        call.may_have_run = true;
        call.tried.push(peer.clone());
        if call.request.is_idempotent && self.try_spend_retry(step, id) {
            return self.dispatch(step, id);
        }
        self.fail_call(step, id, RefusalReason::ConnectionLost, None);
    }

    /// Takes it that a daemon has started anew: what its earlier run had is lost.
    pub(super) fn handle_lost_attempts(&mut self, step: &mut ReducerStep<'_>, peer: &InstanceName) {
        for (id, serial) in self.entry.attempts_at(peer) {
            self.handle_lost_attempt(step, id, serial, peer);
        }
    }
}
