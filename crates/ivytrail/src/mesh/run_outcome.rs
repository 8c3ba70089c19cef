//! Updates of the cost estimates, the crash quarantine and the server state after the end of a run.

use std::time::Duration;

use super::{
    MeshReducer, ReducerStep, event::RunEnd, frame::PeerFrame, guard::GuardAttempt,
    log_limit::LogPriority,
};
use crate::{id::ContentDigest, quarantine::EvidenceRecord};

/// Time for which a backend server that refuses connections gets no work.
const REFUSED_CONNECTION_COOLDOWN: Duration = Duration::from_millis(300);
/// Time before a refused connection within which broken runs are attributed to the same crash.
const CRASH_WINDOW: Duration = Duration::from_millis(1_000);
/// Maximum number of recent broken runs that are kept for that attribution.
const MAX_BROKEN_RUNS: usize = 512;

impl MeshReducer {
    /// Updates the state of the backend server and of the request from the end of a run.
    pub(super) fn record_run_outcome(
        &mut self,
        step: &mut ReducerStep<'_>,
        ended: &GuardAttempt,
        end: &RunEnd,
    ) {
        let fingerprint = ended.request.fingerprint;
        match end {
            RunEnd::Answered { status, .. } => {
                self.guard.rejections.record(step.now, false);
                if *status < 500 {
                    let started = ended.started_at.unwrap_or(ended.arrived_at);
                    let hold_s = step.now.since(started).as_secs_f64();
                    let request = &ended.request;
                    let estimator = &mut self.guard.cost_estimator;
                    estimator.record_run(&request.route, &request.service, hold_s, &ended.calls);
                    // An error response doesn't show that the server ran the request to its end.
                    self.quarantine.record_completion(&fingerprint);
                    let clearances = self.quarantine.take_clearances();
                    self.broadcast_evidence(step, clearances);
                }
            }
            RunEnd::Broken => {
                self.guard.broken_runs.push_back((step.now, fingerprint));
                if MAX_BROKEN_RUNS < self.guard.broken_runs.len() {
                    self.guard.broken_runs.pop_front();
                }
            }
            RunEnd::NotSent => self.handle_refused_connection(step),
            RunEnd::Rejected { is_misdirected: true } => {
                step.log(format!(
                    "event=server_replaced request={} service={}",
                    ended.request.request_id, ended.request.service
                ));
                self.guard.paused_until = step.now.plus(REFUSED_CONNECTION_COOLDOWN);
                self.update_limit(step);
            }
            RunEnd::Rejected { .. } => self.guard.rejections.record(step.now, true),
            RunEnd::TimedOut => {}
        }
    }

    /// Treats a refused connection as a crash of the backend server. Runs that broke shortly before and runs that are
    /// still in progress become suspects.
    fn handle_refused_connection(&mut self, step: &mut ReducerStep<'_>) {
        let now = step.now;
        if now < self.guard.paused_until {
            return;
        }
        self.guard.paused_until = now.plus(REFUSED_CONNECTION_COOLDOWN);
        let mut in_flight: Vec<ContentDigest> = self
            .guard
            .broken_runs
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
        step.log(format!("event=server_unreachable in_flight={}", in_flight.len()));
        if !in_flight.is_empty() {
            self.guard.n_crashes += 1;
            let records = self.quarantine.record_crash(now, &in_flight);
            for record in &records {
                self.log_evidence(step, record);
            }
            self.broadcast_evidence(step, records);
        }
        self.update_limit(step);
    }

    /// Applies evidence from another daemon.
    pub(super) fn merge_evidence(&mut self, step: &mut ReducerStep<'_>, record: &EvidenceRecord) {
        self.quarantine.merge(step.now, record);
        self.log_evidence(step, record);
    }

    /// Logs evidence that was applied, and what is known of its request since.
    fn log_evidence(&mut self, step: &mut ReducerStep<'_>, record: &EvidenceRecord) {
        if !self.log_limit.allows(step.now, LogPriority::Notable) {
            return;
        }
        let (n_crashes, quarantine_ms) = self
            .quarantine
            .status(step.now, &record.fingerprint)
            .map_or((0, 0), |it| (it.n_crashes, it.quarantine.as_millis()));
        step.log(format!(
            "event=crash_evidence fingerprint={:?} evidence={} origin={} serial={} crashes={n_crashes} quarantine_ms={quarantine_ms}",
            record.fingerprint, record.evidence, record.origin, record.serial,
        ));
    }

    fn broadcast_evidence(&mut self, step: &mut ReducerStep<'_>, records: Vec<EvidenceRecord>) {
        for record in records {
            self.broadcast(step, &PeerFrame::Evidence(record));
        }
    }
}
