//! Updates of the cost estimates, the crash quarantine and the server state after the end of a run.

use std::time::Duration;

use derive_more::Display;

use super::{
    MeshReducer, ReducerStep,
    event::{MeshEffect, RunEnd},
    frame::{PeerFrame, ServerPhase},
    guard::GuardAttempt,
    log_limit::LogPriority,
    warm_up::WarmUpObservation,
};
use crate::{quarantine::EvidenceRecord, time::TimePoint};

/// Time for which a backend server that accepts no connections gets no work.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_millis(300);

/// How a crash of the local backend server showed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub(super) enum CrashSign {
    /// It accepted no connection.
    Unreachable,
    /// Another run of the server took its place without notice.
    Replaced,
}

impl MeshReducer {
    /// Updates the state of the backend server and of the request from the end of a run.
    pub(super) fn record_run_outcome(
        &mut self,
        step: &mut ReducerStep<'_>,
        ended: &GuardAttempt,
        end: &RunEnd,
    ) {
        let fingerprint = ended.request.fingerprint;
        let was_trial = self.quarantine.release(&fingerprint);
        match end {
            RunEnd::Answered { status, .. } => {
                self.guard.crash_detector.record_response(step.now);
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
            RunEnd::Broken | RunEnd::TimedOut => {
                self.record_unanswered_run(step, ended, was_trial);
                let has_timed_out = *end == RunEnd::TimedOut;
                if self.guard.crash_detector.start_probe(step.now, has_timed_out) {
                    step.out.push(MeshEffect::ProbeServer);
                }
            }
            RunEnd::Unreachable => self.handle_unreachable_server(step),
            RunEnd::NotSent => self.pause_server(step),
            RunEnd::Rejected { is_misdirected: true } => {
                step.log(format!(
                    "event=server_replaced request={} service={}",
                    ended.request.request_id, ended.request.service
                ));
                self.record_server_crash(step, CrashSign::Replaced);
                self.observe_warm_up(step, WarmUpObservation::Unreachable);
                self.guard.paused_until = step.now.plus(UNREACHABLE_COOLDOWN);
                self.update_limit(step);
            }
            RunEnd::Rejected { .. } => {
                self.guard.crash_detector.record_response(step.now);
                self.guard.rejections.record(step.now, true);
            }
        }
    }

    /// Records that a run has ended, or was cancelled, without a complete response.
    pub(super) fn record_unanswered_run(
        &mut self,
        step: &mut ReducerStep<'_>,
        ended: &GuardAttempt,
        was_trial: bool,
    ) {
        let started_at = ended.started_at.unwrap_or(ended.arrived_at);
        let fingerprint = ended.request.fingerprint;
        self.guard.crash_detector.record_unanswered(step.now, started_at, fingerprint);
        if was_trial {
            let record = self.quarantine.record_failed_trial(step.now, fingerprint);
            self.log_evidence(step, &record);
            self.broadcast_evidence(step, vec![record]);
        }
    }

    /// Handles the result of a probe.
    pub(super) fn handle_server_probe(&mut self, step: &mut ReducerStep<'_>, is_reachable: bool) {
        self.guard.crash_detector.end_probe();
        if !is_reachable {
            self.handle_unreachable_server(step);
        }
    }

    fn handle_unreachable_server(&mut self, step: &mut ReducerStep<'_>) {
        self.record_server_crash(step, CrashSign::Unreachable);
        self.observe_warm_up(step, WarmUpObservation::Unreachable);
        self.pause_server(step);
    }

    /// Starts no more runs at the backend server for a while.
    fn pause_server(&mut self, step: &mut ReducerStep<'_>) {
        if self.guard.paused_until <= step.now {
            self.guard.paused_until = step.now.plus(UNREACHABLE_COOLDOWN);
            step.log("event=server_unreachable".to_string());
            self.update_limit(step);
        }
    }

    /// Records a crash of the backend server, unless it has been recorded before or the server was leaving. Runs without a
    /// response since it last responded and runs that are still in progress become suspects, unless the server was cold
    /// and had got more requests than it tolerates.
    pub(super) fn record_server_crash(&mut self, step: &mut ReducerStep<'_>, sign: CrashSign) {
        let is_expected = self.guard.server().is_none_or(|it| it.phase == ServerPhase::Draining);
        let interrupted = match is_expected {
            true => None,
            false => self.guard.crash_detector.record_crash(step.now),
        };
        let Some(mut in_flight) = interrupted else { return };
        let running = self.guard.attempts.values().filter(|it| it.started_at.is_some());
        in_flight.extend(running.map(|it| it.request.fingerprint));
        if in_flight.is_empty() {
            return;
        }
        self.guard.crash_detector.count_crash();
        let is_cold_overload = self.guard.warm_up.explains_crash(step.now);
        step.log(format!(
            "event=server_crashed sign={sign} in_flight={} cold_overload={is_cold_overload}",
            in_flight.len()
        ));
        if is_cold_overload {
            return;
        }
        let records = self.quarantine.record_crash(step.now, &in_flight);
        for record in &records {
            self.log_evidence(step, record);
        }
        self.broadcast_evidence(step, records);
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

    /// Returns frames with all evidence that a peer may have missed while it was not connected.
    pub(super) fn evidence_frames(&self, now: TimePoint) -> impl Iterator<Item = PeerFrame> {
        self.quarantine.known_evidence(now).into_iter().map(PeerFrame::Evidence)
    }

    fn broadcast_evidence(&mut self, step: &mut ReducerStep<'_>, records: Vec<EvidenceRecord>) {
        for record in records {
            self.broadcast(step, &PeerFrame::Evidence(record));
        }
    }
}
