//! What the own backend server says of itself.

use smol_str::SmolStr;

use super::{
    MeshReducer, ReducerStep,
    frame::{ServerAdvertisement, ServerPhase},
    left::LeftRun,
};
use crate::time::TimePoint;

impl MeshReducer {
    pub(super) fn hear_server(
        &mut self,
        turn: &mut ReducerStep<'_>,
        card: ServerAdvertisement,
        sequence: u64,
    ) {
        if let Some(current) = &self.guard.server {
            let is_same_run = current.id == card.id && current.started_at_ms == card.started_at_ms;
            let is_old = card.started_at_ms < current.started_at_ms
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
        match self.leaving_servers.contradicted(turn.now, &card) {
            // It may be a new run of the server: the next announcement decides.
            Some(LeftRun::Unknown) => {
                return self.ignore_announcement(turn, &card, sequence, "left");
            }
            Some(LeftRun::Started { .. }) => card.phase = ServerPhase::Draining,
            None => {}
        }
        if card.phase == ServerPhase::Draining {
            self.leaving_servers.note(turn.now, &card.id, Some(card.started_at_ms));
        }
        self.guard.sequence = sequence;
        let is_changed = self.guard.server.as_ref().is_none_or(|it| {
            it.id != card.id
                || it.started_at_ms != card.started_at_ms
                || it.phase != card.phase
                || it.slots != card.slots
                || it.service != card.service
        });
        if !is_changed {
            return;
        }
        turn.log(format!(
            "event=server_announced server={} service={} phase={:?} slots={} born_ms={} sequence={sequence}",
            card.id, card.service, card.phase, card.slots, card.started_at_ms,
        ));
        self.guard.server = Some(card);
        self.guard.paused_until = TimePoint::ORIGIN;
        self.fit_limit(turn);
        self.publish_advertisement(turn);
    }

    fn ignore_announcement(
        &self,
        turn: &mut ReducerStep<'_>,
        card: &ServerAdvertisement,
        sequence: u64,
        cause: &str,
    ) {
        turn.log(format!(
            "event=announcement_ignored cause={cause} server={} sequence={sequence} known_sequence={} born_ms={}",
            card.id, self.guard.sequence, card.started_at_ms,
        ));
    }

    /// Takes it that a run of the server leaves: the one that started at `born_ms`, or else the one that is known.
    pub(super) fn hear_server_leave(
        &mut self,
        turn: &mut ReducerStep<'_>,
        id: &SmolStr,
        born_ms: Option<u64>,
    ) {
        let known = self.guard.server.as_ref().filter(|it| it.id == *id);
        let born_ms = born_ms.or(known.map(|it| it.started_at_ms));
        self.leaving_servers.note(turn.now, id, born_ms);
        let is_of =
            |it: &&mut ServerAdvertisement| it.id == *id && Some(it.started_at_ms) <= born_ms;
        let Some(server) = self.guard.server.as_mut().filter(is_of) else { return };
        if server.phase == ServerPhase::Draining {
            return;
        }
        server.phase = ServerPhase::Draining;
        turn.log(format!("event=server_leaving server={id}"));
        self.fit_limit(turn);
        self.publish_advertisement(turn);
    }

    /// Sets the limit to what the backend server takes now; without slots, what waits is refused.
    pub(super) fn fit_limit(&mut self, turn: &mut ReducerStep<'_>) {
        let limit = self.guard.target_limit(turn.now);
        let mut verdicts = Vec::new();
        if limit == 0 {
            self.guard.queue.clear_waiting(&mut verdicts);
        }
        if limit != self.guard.queue.limit() {
            self.guard.queue.set_limit(turn.now, limit, &mut verdicts);
        }
        self.apply_verdicts(turn, verdicts);
    }
}
