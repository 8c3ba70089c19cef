//! Recovery of an entry's attempts after the link to their guard breaks.

use bytes::Bytes;

use super::{MeshReducer, ReducerStep, entry::CallStage, frame::PeerFrame};
use crate::{
    id::{CallId, InstanceName, MemberId},
    message::RefusalReason,
};

impl MeshReducer {
    /// Treats the idempotent attempts at a peer as lost, so that they may be retried elsewhere. The others wait until the
    /// link is open again.
    pub(super) fn handle_lost_idempotent_attempts(
        &mut self,
        step: &mut ReducerStep<'_>,
        peer: &InstanceName,
    ) {
        for (id, serial) in self.entry.attempts_at(peer) {
            let is_idempotent =
                self.entry.calls.get(&id).is_some_and(|call| call.request.is_idempotent);
            if is_idempotent {
                self.handle_lost_attempt(step, id, serial, peer);
            }
        }
    }

    /// Repeats on a new link the cancellations that the previous link may not have delivered. A peer that has restarted
    /// since ignores them, because it doesn't know the serial numbers.
    pub(super) fn repeat_cancels(&mut self, step: &mut ReducerStep<'_>, peer: &InstanceName) {
        for serial in self.links.take_pending_cancels(peer) {
            step.send(peer, PeerFrame::Cancel { serial }, Bytes::new());
        }
    }

    /// Requests over a new link the status of the attempts sent on the previous one.
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

    /// Handles an attempt whose status can no longer be determined: retries the call if it is idempotent, or else fails
    /// it.
    fn handle_lost_attempt(
        &mut self,
        step: &mut ReducerStep<'_>,
        id: CallId,
        serial: u64,
        peer: &InstanceName,
    ) {
        self.entry.attempts.remove(&serial);
        // The attempt may still run at the peer.
        self.links.record_cancel(peer, serial);
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

    /// Treats all attempts at a peer as lost, because the daemon incarnation that had them no longer exists.
    pub(super) fn handle_lost_attempts(&mut self, step: &mut ReducerStep<'_>, peer: &InstanceName) {
        for (id, serial) in self.entry.attempts_at(peer) {
            self.handle_lost_attempt(step, id, serial, peer);
        }
    }
}
