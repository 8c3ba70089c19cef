//! What the own backend server says of itself.

use smol_str::SmolStr;

use super::{
    MeshReducer, Turn,
    frame::{ServerCard, ServerPhase},
    leaving_servers::LeavingRun,
};
use crate::time::TimePoint;

impl MeshReducer {
    pub(super) fn handle_server_announcement(
        &mut self,
        turn: &mut Turn<'_>,
        card: ServerCard,
        sequence: u64,
    ) {
        if let Some(current) = &self.guard.server {
            let is_same_run = current.id == card.id && current.born_ms == card.born_ms;
            let is_old = card.born_ms < current.born_ms
                || (is_same_run && (sequence <= self.guard.sequence));
            // A server that has said that it leaves does not come back in the same run.
            let is_back = is_same_run
                && current.phase == ServerPhase::Draining
                && card.phase == ServerPhase::Ready;
            if is_old || is_back {
                return self.ignore_announcement(turn, &card, sequence, "old");
            }
        }
        let mut card = card;
        match self.left.conflicting_leave(turn.now, &card) {
            // It may be a new run of the server: the next announcement decides.
            Some(LeavingRun::Unknown) => {
                return self.ignore_announcement(turn, &card, sequence, "left");
            }
            Some(LeavingRun::Started { .. }) => card.phase = ServerPhase::Draining,
            None => {}
        }
        if card.phase == ServerPhase::Draining {
            self.left.record(turn.now, &card.id, Some(card.born_ms));
        }
        self.guard.sequence = sequence;
        let is_changed = self.guard.server.as_ref().is_none_or(|it| {
            it.id != card.id
                || it.born_ms != card.born_ms
                || it.phase != card.phase
                || it.slots != card.slots
                || it.service != card.service
        });
        if !is_changed {
            return;
        }
        turn.log(format!(
            "event=server_announced server={} service={} phase={:?} slots={} born_ms={} sequence={sequence}",
            card.id, card.service, card.phase, card.slots, card.born_ms,
        ));
        self.guard.server = Some(card);
        self.guard.paused_until = TimePoint::ORIGIN;
        self.update_limit(turn);
        self.tell_peers(turn);
    }

    fn ignore_announcement(
        &self,
        turn: &mut Turn<'_>,
        card: &ServerCard,
        sequence: u64,
        cause: &str,
    ) {
        turn.log(format!(
            "event=announcement_ignored cause={cause} server={} sequence={sequence} known_sequence={} born_ms={}",
            card.id, self.guard.sequence, card.born_ms,
        ));
    }

    /// Takes it that a run of the server leaves: the one that started at `born_ms`, or else the one that is known.
    pub(super) fn handle_server_leave(
        &mut self,
        turn: &mut Turn<'_>,
        id: &SmolStr,
        born_ms: Option<u64>,
    ) {
        let known = self.guard.server.as_ref().filter(|it| it.id == *id);
        let born_ms = born_ms.or(known.map(|it| it.born_ms));
        self.left.record(turn.now, id, born_ms);
        let is_of = |it: &&mut ServerCard| it.id == *id && Some(it.born_ms) <= born_ms;
        let Some(server) = self.guard.server.as_mut().filter(is_of) else { return };
        if server.phase == ServerPhase::Draining {
            return;
        }
        server.phase = ServerPhase::Draining;
        turn.log(format!("event=server_leaving server={id}"));
        self.update_limit(turn);
        self.tell_peers(turn);
    }

    /// Sets the limit to what the backend server takes now; without slots, what waits is refused.
    pub(super) fn update_limit(&mut self, turn: &mut Turn<'_>) {
        let limit = self.guard.wanted_limit(turn.now);
        let mut verdicts = Vec::new();
        if limit == 0 {
            self.guard.queue.refuse_waiting(&mut verdicts);
        }
        if limit != self.guard.queue.limit() {
            self.guard.queue.set_limit(turn.now, limit, &mut verdicts);
        }
        self.carry_out(turn, verdicts);
    }
}
