//! What the end of a run says about the backend server and about the request.

use std::time::Duration;

use super::{MeshReducer, ReducerStep, event::RunEnd, frame::PeerFrame, guard::GuardAttempt};
use crate::{id::ContentDigest, quarantine::Suspicion};

/// Time for which a backend server that takes no connection gets no work.
const REFUSED_CONNECTION_PAUSE: Duration = Duration::from_millis(300);
/// Time before a refused connection in which broken runs count as the work of the same crash.
const CRASH_WINDOW: Duration = Duration::from_millis(1_000);
/// Most broken runs that are remembered for that.
const MAX_BROKEN: usize = 512;

impl MeshReducer {
    /// Draws conclusions about the backend server and the request from the end of a run.
    pub(super) fn note_evidence(
        &mut self,
        turn: &mut ReducerStep<'_>,
        ended: &GuardAttempt,
        end: &RunEnd,
    ) {
        let fingerprint = ended.request.fingerprint;
        match end {
            RunEnd::Answered { status, .. } => {
                if *status < 500 {
                    let started = ended.started_at.unwrap_or(ended.arrived_at);
                    let hold_s = turn.now.since(started).as_secs_f64();
                    let order = &ended.request;
                    let learner = &mut self.guard.learner;
                    learner.note_run(&order.route, &order.service, hold_s, &ended.calls);
                }
                self.quarantine.note_whole(&fingerprint);
                let clearances = self.quarantine.take_clearances();
                self.spread(turn, clearances);
            }
            RunEnd::Broken => {
                self.guard.broken.push_back((turn.now, fingerprint));
                if MAX_BROKEN < self.guard.broken.len() {
                    self.guard.broken.pop_front();
                }
            }
            RunEnd::NotSent => self.note_refused_connection(turn),
            RunEnd::Rejected { is_misdirected: true } => {
                turn.log(format!(
                    "event=server_replaced request={} service={}",
                    ended.request.request_id, ended.request.service
                ));
                self.guard.paused_until = turn.now.plus(REFUSED_CONNECTION_PAUSE);
                self.fit_limit(turn);
            }
            RunEnd::Rejected { .. } | RunEnd::TimedOut => {}
        }
    }

    /// Takes a refused connection as the end of the backend server, and what broke just before as its last requests.
    fn note_refused_connection(&mut self, turn: &mut ReducerStep<'_>) {
        let now = turn.now;
        if now < self.guard.paused_until {
            return;
        }
        self.guard.paused_until = now.plus(REFUSED_CONNECTION_PAUSE);
        let mut in_flight: Vec<ContentDigest> = self
            .guard
            .broken
            .drain(..)
            .filter(|(at, _)| now.since(*at) < CRASH_WINDOW)
            .map(|(_, fingerprint)| fingerprint)
            .collect();
        in_flight.extend(
            self.guard
                .attempts
                .values()
                .filter(|it| it.started_at.is_some())
                .map(|it| it.request.fingerprint),
        );
        turn.log(format!("event=server_unreachable in_flight={}", in_flight.len()));
        if !in_flight.is_empty() {
            let suspicions = self.quarantine.note_crash(now, &in_flight);
            self.spread(turn, suspicions);
        }
        self.fit_limit(turn);
    }

    fn spread(&mut self, turn: &mut ReducerStep<'_>, suspicions: Vec<Suspicion>) {
        for suspicion in suspicions {
            self.broadcast(turn, &PeerFrame::Suspicion(suspicion));
        }
    }
}
