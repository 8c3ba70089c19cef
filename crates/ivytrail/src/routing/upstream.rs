//! State of one upstream as seen by one daemon.

use std::time::Duration;

use crate::{message::LoadReport, time::TimePoint};

use super::UpstreamInfo;

/// Time over which the share of a backend server that has just joined grows to its full share.
const RAMP_UP: Duration = Duration::from_secs(5);
const MIN_RAMP_UP_SHARE: f64 = 0.1;
/// Age above which a load report is ignored.
const REPORT_TTL: Duration = Duration::from_secs(1);
/// Concurrency limit assumed until a report states one.
const ASSUMED_LIMIT: u32 = 16;
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
const FAILURE_GAIN: f64 = 0.05;
const MAX_FAILURE_RATE: f64 = 0.5;
const MIN_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Time since the last ejection after which the next ejection has the minimum duration again.
const EJECTION_RESET: Duration = Duration::from_secs(60);

/// Load, failures and ejection state of one upstream.
#[derive(Debug)]
pub(super) struct UpstreamState {
    pub(super) info: UpstreamInfo,
    ramp_up_start: TimePoint,
    report: LoadReport,
    reported: Option<TimePoint>,
    /// Attempts sent since the last load report.
    n_sent: u32,
    /// Attempts of this daemon that have no reply yet.
    n_outstanding: u32,
    n_consecutive_failures: u32,
    failure_rate: f64,
    n_ejections: u32,
    ejected_until: TimePoint,
}

impl UpstreamState {
    pub(super) fn new(now: TimePoint, info: UpstreamInfo) -> UpstreamState {
        UpstreamState {
            info,
            ramp_up_start: now,
            report: LoadReport::default(),
            reported: None,
            n_sent: 0,
            n_outstanding: 0,
            n_consecutive_failures: 0,
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

    /// Returns the expected load after one more attempt, where 1 is the concurrency limit.
    pub(super) fn load(&self, now: TimePoint) -> f64 {
        let fresh = self.reported.is_some_and(|at| now.since(at) <= REPORT_TTL);
        let limit = if self.report.limit == 0 { ASSUMED_LIMIT } else { self.report.limit };
        let n_reported =
            if fresh { self.report.in_flight + self.report.queued + self.n_sent } else { 0 };
        f64::from(n_reported.max(self.n_outstanding) + 1) / f64::from(limit)
    }

    /// Returns the share of its full load that the backend server receives, from [`MIN_RAMP_UP_SHARE`] to 1.
    pub(super) fn ramp_up_share(&self, now: TimePoint) -> f64 {
        (now.since(self.ramp_up_start).as_secs_f64() / RAMP_UP.as_secs_f64())
            .clamp(MIN_RAMP_UP_SHARE, 1.0)
    }

    pub(super) fn is_failing(&self, now: TimePoint) -> bool {
        let too_many_consecutive = MAX_CONSECUTIVE_FAILURES <= self.n_consecutive_failures;
        !self.is_ejected(now) && (too_many_consecutive || MAX_FAILURE_RATE < self.failure_rate)
    }

    pub(super) fn is_ejected(&self, now: TimePoint) -> bool {
        now < self.ejected_until
    }

    pub(super) fn ejected_until(&self) -> TimePoint {
        self.ejected_until
    }

    /// Ejects the backend server for a time that doubles with each ejection. Its load is ramped up again afterwards.
    pub(super) fn eject(&mut self, now: TimePoint) {
        if EJECTION_RESET < now.since(self.ejected_until) {
            self.n_ejections = 0;
        }
        let span = MIN_EJECTION * 2_u32.pow(self.n_ejections.min(5));
        self.n_ejections += 1;
        self.ejected_until = now.plus(span.min(MAX_EJECTION));
        self.ramp_up_start = self.ejected_until;
        self.n_consecutive_failures = 0;
        self.failure_rate = 0.0;
    }

    fn record_result(&mut self, ok: bool) {
        self.n_consecutive_failures = if ok { 0 } else { self.n_consecutive_failures + 1 };
        let failure = if ok { 0.0 } else { 1.0 };
        self.failure_rate += FAILURE_GAIN * (failure - self.failure_rate);
    }
}
