//! Report of a demo run.

use std::time::Duration;

use serde::Serialize;

use super::{DemoPhase, SURGE_FACTOR};
use crate::{
    caller::{
        CallRecord, CallResult, ConsistencyReport, LoadPlan, LoadSummary, recovery_time, summarize,
    },
    mesh::MeshPlan,
};

/// Latency that two daemons add to a request without service time, as a difference of quantiles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddedLatency {
    /// Median, in microseconds.
    pub p50_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
}

/// Figures of a demo run, printed as its last line of output.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DemoReport {
    /// Requests of callers, not counting retries.
    pub requests: u64,
    /// Requests with a complete response.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Requests refused as not run.
    pub refused_not_run: u64,
    /// Requests that may have run, including those for which a backend server returned an error.
    pub unknown: u64,
    /// Requests that are not idempotent and took effect more than once in a service.
    pub doubled: u64,
    /// Requests with a complete response that took no effect in the called service.
    pub lost: u64,
    /// Requests reported as not run that took effect.
    pub misreported: u64,
    /// Requests that received another request's response.
    pub crossed: u64,
    /// Goodput during the surge, as a ratio to the maximum goodput of all slots for the load within the rate limits,
    /// with slots allocated to routes in priority order. Goodput counts requests that complete within their deadlines.
    pub goodput_ratio: f64,
    /// Time from the end of the surge until goodput is back at 95 % of its nominal level, in milliseconds; `null` if
    /// the run ended first.
    pub recovery_ms: Option<u64>,
    /// Share of requests that complete within their deadlines while another client account sends eight times its rate
    /// limit, as a ratio to the share before, for the client account with the lowest ratio.
    pub worst_account_ratio: f64,
    /// Requests refused as over quota while their client account sent no more than its rate limit.
    pub refused_within_rate: u64,
    /// Median of the latency that two daemons add, in microseconds.
    pub added_p50_us: u64,
    /// 99th percentile of the latency that two daemons add, in microseconds.
    pub added_p99_us: u64,
}

impl DemoReport {
    pub(super) fn new(
        mesh: &MeshPlan,
        plan: &LoadPlan,
        records: &[CallRecord],
        consistency: &ConsistencyReport,
        added_latency: AddedLatency,
        length: Duration,
    ) -> DemoReport {
        let total = summarize(plan, records);
        for (reason, count) in &total.reasons {
            println!("{count:6} {reason}");
        }
        for example in &consistency.examples {
            println!("inconsistent: {example}");
        }
        let (_, surge_end) = DemoPhase::Surge.time_range(length);
        let (calm_end, _) = DemoPhase::Greedy.time_range(length);
        let recovery = recovery_time(plan, records, calm_end, surge_end);
        DemoReport {
            requests: total.requests,
            complete: total.complete,
            refused_not_run: total.refused_not_run,
            unknown: total.unknown + total.failed,
            doubled: consistency.doubled,
            lost: consistency.lost,
            misreported: consistency.misreported,
            crossed: consistency.crossed,
            goodput_ratio: round_to_thousandths(goodput_ratio(mesh, plan, records, length)),
            recovery_ms: recovery.map(|time| time.as_millis() as u64),
            worst_account_ratio: round_to_thousandths(worst_account_ratio(plan, records)),
            refused_within_rate: refused_within_rate(mesh, plan, records),
            added_p50_us: added_latency.p50_us,
            added_p99_us: added_latency.p99_us,
        }
    }

    /// Returns whether all results are consistent with the effects: no request was doubled, lost, misreported or crossed.
    pub fn is_clean(&self) -> bool {
        self.doubled + self.lost + self.misreported + self.crossed == 0
    }
}

fn round_to_thousandths(ratio: f64) -> f64 {
    (ratio * 1_000.0).round() / 1_000.0
}

fn in_phase(phase: DemoPhase) -> impl Fn(&&CallRecord) -> bool {
    let idx = DemoPhase::ALL.iter().position(|(candidate, _)| *candidate == phase);
    move |record| Some(record.phase) == idx
}

fn goodput_ratio(
    mesh: &MeshPlan,
    plan: &LoadPlan,
    records: &[CallRecord],
    length: Duration,
) -> f64 {
    let (begin, end) = DemoPhase::Surge.time_range(length);
    let summary = summarize(plan, records.iter().filter(in_phase(DemoPhase::Surge)));
    let goodput_per_s = summary.in_time as f64 / (end - begin).as_secs_f64();
    let limited_load_factor = mesh
        .accounts
        .iter()
        .map(|account| account.share * account.rate_multiple.min(SURGE_FACTOR))
        .sum();
    goodput_per_s / mesh.max_goodput_per_s(limited_load_factor)
}

fn worst_account_ratio(plan: &LoadPlan, records: &[CallRecord]) -> f64 {
    let summarize_account = |phase: DemoPhase, account: usize| -> LoadSummary {
        let account_records =
            records.iter().filter(in_phase(phase)).filter(|record| record.account == account);
        summarize(plan, account_records)
    };
    let ratio = |account: usize| {
        let before = summarize_account(DemoPhase::Calm, account).in_time_share();
        summarize_account(DemoPhase::Greedy, account).in_time_share() / before.max(f64::EPSILON)
    };
    // Index 0 is the greedy client account, which is left out.
    (1..plan.accounts.len()).map(ratio).fold(f64::INFINITY, f64::min)
}

fn refused_within_rate(mesh: &MeshPlan, plan: &LoadPlan, records: &[CallRecord]) -> u64 {
    let is_within_rate = |record: &CallRecord| {
        let account = &mesh.accounts[record.account];
        let phase = &plan.phases[record.phase];
        let factor = phase.account_factors.get(&account.name).copied().unwrap_or(phase.factor);
        factor <= account.rate_multiple
    };
    let is_over_quota = |record: &CallRecord| matches!(&record.result, CallResult::NotRun { reason } if reason == "over-quota");
    records.iter().filter(|record| is_over_quota(record) && is_within_rate(record)).count() as u64
}
