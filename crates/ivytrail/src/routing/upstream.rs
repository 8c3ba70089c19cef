//! What one daemon knows of one upstream.

use std::time::Duration;

use crate::{message::LoadReport, time::TimePoint};

use super::UpstreamInfo;

/// Time over which a server that has just joined is given its full share.
const WARM_UP: Duration = Duration::from_secs(5);
const MIN_WARMTH: f64 = 0.1;
/// A load report older than this says nothing.
const REPORT_LIFE: Duration = Duration::from_secs(1);
/// Limit assumed before the first report.
const ASSUMED_LIMIT: u32 = 16;
const MAX_FAILURES_IN_A_ROW: u32 = 5;
const FAILURE_GAIN: f64 = 0.05;
const MAX_FAILURE_RATE: f64 = 0.5;
const MIN_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Time without ejection after which the next one is short again.
const EJECTION_MEMORY: Duration = Duration::from_secs(60);

/// State of one upstream.
#[derive(Debug)]
pub(super) struct UpstreamState {
    pub(super) info: UpstreamInfo,
    warm_since: TimePoint,
    report: LoadReport,
    reported: Option<TimePoint>,
    /// Attempts sent since the last report.
    n_sent: u32,
    /// Attempts of this daemon without a reply yet.
    n_outstanding: u32,
    n_failures_in_a_row: u32,
    failure_rate: f64,
    n_ejections: u32,
    ejected_until: TimePoint,
}

impl UpstreamState {
    pub(super) fn new(now: TimePoint, info: UpstreamInfo) -> UpstreamState {
        UpstreamState {
            info,
            warm_since: now,
            report: LoadReport::default(),
            reported: None,
            n_sent: 0,
            n_outstanding: 0,
            n_failures_in_a_row: 0,
            failure_rate: 0.0,
            n_ejections: 0,
            ejected_until: TimePoint::ORIGIN,
        }
    }

    pub(super) fn record_sent(&mut self, _now: TimePoint) {
        self.n_sent += 1;
        self.n_outstanding += 1;
    }

    pub(super) fn record_reply(
        &mut self,
        now: TimePoint,
        load: LoadReport,
        _latency: Duration,
        ok: bool,
    ) {
        self.n_outstanding = self.n_outstanding.saturating_sub(1);
        self.report = load;
        self.reported = Some(now);
        self.n_sent = 0;
        self.record_result(ok);
    }

    pub(super) fn record_failure(&mut self, _now: TimePoint) {
        self.n_outstanding = self.n_outstanding.saturating_sub(1);
        self.record_result(false);
    }

    /// Returns the expected load after one more attempt, where 1 means that its limit is reached.
    pub(super) fn load(&self, now: TimePoint) -> f64 {
        let fresh = self.reported.is_some_and(|at| now.since(at) <= REPORT_LIFE);
        let limit = if self.report.limit == 0 { ASSUMED_LIMIT } else { self.report.limit };
        let known =
            if fresh { self.report.in_flight + self.report.queued + self.n_sent } else { 0 };
        f64::from(known.max(self.n_outstanding) + 1) / f64::from(limit)
    }

    /// Returns the share of its full load that the server is given, from just above 0 to 1.
    pub(super) fn warmth(&self, now: TimePoint) -> f64 {
        (now.since(self.warm_since).as_secs_f64() / WARM_UP.as_secs_f64()).clamp(MIN_WARMTH, 1.0)
    }

    pub(super) fn is_failing(&self, now: TimePoint) -> bool {
        let in_a_row = MAX_FAILURES_IN_A_ROW <= self.n_failures_in_a_row;
        !self.is_ejected(now) && (in_a_row || MAX_FAILURE_RATE < self.failure_rate)
    }

    pub(super) fn is_ejected(&self, now: TimePoint) -> bool {
        now < self.ejected_until
    }

    pub(super) fn ejected_until(&self) -> TimePoint {
        self.ejected_until
    }

    /// Ejects the server, longer each time. Afterwards it starts slowly.
    pub(super) fn eject(&mut self, now: TimePoint) {
        if EJECTION_MEMORY < now.since(self.ejected_until) {
            self.n_ejections = 0;
        }
        let span = MIN_EJECTION * 2_u32.pow(self.n_ejections.min(5));
        self.n_ejections += 1;
        self.ejected_until = now.plus(span.min(MAX_EJECTION));
        self.warm_since = self.ejected_until;
        self.n_failures_in_a_row = 0;
        self.failure_rate = 0.0;
    }

    fn record_result(&mut self, ok: bool) {
        self.n_failures_in_a_row = if ok { 0 } else { self.n_failures_in_a_row + 1 };
        let failure = if ok { 0.0 } else { 1.0 };
        self.failure_rate += FAILURE_GAIN * (failure - self.failure_rate);
    }
}
