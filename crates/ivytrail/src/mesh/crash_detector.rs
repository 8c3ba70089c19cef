//! Detection of crashes of the local backend server, and of the requests that may have caused them.
//!
//! Two signs count as a crash: the server refuses a connection (of an attempt, or of the probe that follows a run without
//! a response), or a new run of the server announces itself although the former one had not said that it leaves. Each
//! crash counts once: further refused connections are ignored until the server is known to run again.

use std::{collections::VecDeque, time::Duration};

use crate::{id::ContentDigest, time::TimePoint};

/// Time before a response of the server up to which runs without a response are still attributed to a later crash;
/// connections that break together are noticed one after the other.
const RESPONSE_ORDER_MARGIN: Duration = Duration::from_millis(1_000);
/// Minimum interval between probes after runs that timed out. Those of an overloaded server are frequent.
const TIMEOUT_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of runs without a response that are kept.
const MAX_UNANSWERED_RUNS: usize = 512;

/// What the guard has observed since the local backend server was last known to run.
#[derive(Debug, Default)]
pub(super) struct CrashDetector {
    /// End time and fingerprint of runs without a complete response.
    unanswered_runs: VecDeque<(TimePoint, ContentDigest)>,
    last_response_at: TimePoint,
    /// Time at which the last crash was noticed, unless the server is known to have run since.
    crashed_at: Option<TimePoint>,
    is_probing: bool,
    probed_at: TimePoint,
    n_crashes: u64,
}

impl CrashDetector {
    /// Records a response of the server, which shows that it runs.
    pub(super) fn record_response(&mut self, now: TimePoint) {
        self.last_response_at = now;
        self.crashed_at = None;
    }

    /// Records that a run has ended, or was cancelled, without a complete response. Runs that had started before the last
    /// crash was noticed have been attributed to it.
    pub(super) fn record_unanswered(
        &mut self,
        now: TimePoint,
        started_at: TimePoint,
        fingerprint: ContentDigest,
    ) {
        if self.crashed_at.is_some_and(|at| started_at <= at) {
            return;
        }
        self.crashed_at = None;
        self.unanswered_runs.push_back((now, fingerprint));
        if MAX_UNANSWERED_RUNS < self.unanswered_runs.len() {
            self.unanswered_runs.pop_front();
        }
    }

    /// Returns whether a probe of the server must be sent after a run without a response. The probe is then in progress.
    pub(super) fn start_probe(&mut self, now: TimePoint, has_timed_out: bool) -> bool {
        let is_due = !has_timed_out || TIMEOUT_PROBE_INTERVAL <= now.since(self.probed_at);
        let is_needed = is_due && !self.is_probing && self.crashed_at.is_none();
        if is_needed {
            self.is_probing = true;
            self.probed_at = now;
        }
        is_needed
    }

    pub(super) fn end_probe(&mut self) {
        self.is_probing = false;
    }

    /// Records a crash and returns the fingerprints of the runs without a response that it may have interrupted, or `None`
    /// if the crash has been recorded before. Runs that are still in progress are not included.
    pub(super) fn record_crash(&mut self, now: TimePoint) -> Option<Vec<ContentDigest>> {
        if self.crashed_at.is_some() {
            return None;
        }
        self.crashed_at = Some(now);
        let last_response_at = self.last_response_at;
        let is_candidate =
            |ended_at: TimePoint| last_response_at.since(ended_at) < RESPONSE_ORDER_MARGIN;
        let runs = self.unanswered_runs.drain(..);
        Some(runs.filter(|(at, _)| is_candidate(*at)).map(|(_, it)| it).collect())
    }

    /// Records that a new run of the server has started.
    pub(super) fn record_restart(&mut self) {
        self.crashed_at = None;
        self.unanswered_runs.clear();
    }

    /// Counts a crash with requests in flight.
    pub(super) fn count_crash(&mut self) {
        self.n_crashes += 1;
    }

    /// Returns the number of crashes with requests in flight.
    pub(super) fn n_crashes(&self) -> u64 {
        self.n_crashes
    }
}
