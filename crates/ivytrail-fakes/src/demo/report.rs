//! The demo's figures.

use std::time::Duration;

use serde::Serialize;

use super::{DemoPhase, SURGE_FACTOR};
use crate::{
    caller::{
        CallRecord, CallResult, ConsistencyReport, LoadPlan, LoadSummary, recovery_time, summarize,
    },
    mesh::MeshPlan,
};

/// What two hops add to a request that takes no time itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddedLatency {
    /// Median, in microseconds.
    pub added_p50_us: u64,
    /// 99th percentile, in microseconds.
    pub added_p99_us: u64,
}

/// The demo's last line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DemoReport {
    /// Requests of callers, resends not counted.
    pub requests: u64,
    /// Requests answered whole.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Requests refused as not run.
    pub refused_not_run: u64,
    /// Requests that may have run, those included that a backend server answered with an error.
    pub unknown: u64,
    /// Requests that are not idempotent and took effect more than once.
    pub doubled: u64,
    /// Requests answered whole that took no effect.
    pub lost: u64,
    /// Requests told not to have run that took effect.
    pub misreported: u64,
    /// Requests that got another request's answer.
    pub crossed: u64,
    /// Whole answers within their deadlines during the surge, over what all slots could do for the load within rates,
    /// the most urgent routes served first.
    pub goodput_ratio: f64,
    /// Time from the end of the surge until 95 % of the goodput before, in milliseconds; `null` when the next phase
    /// came first.
    pub recovery_ms: Option<u64>,
    /// Share of whole answers while another client account sends eight times its rate, over the share before, of the
    /// client account that is served worst.
    pub worst_account_ratio: f64,
    /// Requests refused on quota that came when their client account sent no more than its rate.
    pub refused_within_rate: u64,
    /// Median time that two hops add, in microseconds.
    pub added_p50_us: u64,
    /// 99th percentile of the time that two hops add, in microseconds.
    pub added_p99_us: u64,
}

impl DemoReport {
    pub(super) fn new(
        mesh: &MeshPlan,
        plan: &LoadPlan,
        records: &[CallRecord],
        verdict: &ConsistencyReport,
        probe: AddedLatency,
        length: Duration,
    ) -> DemoReport {
        let total = summarize(plan, records);
        for (reason, count) in &total.reasons {
            println!("{count:6} {reason}");
        }
        for example in &verdict.examples {
            println!("wrong: {example}");
        }
        let (_, surge_end) = DemoPhase::Surge.span(length);
        let (calm_end, _) = DemoPhase::Greedy.span(length);
        let recovery = recovery_time(plan, records, calm_end, surge_end);
        DemoReport {
            requests: total.requests,
            complete: total.complete,
            refused_not_run: total.refused_not_run,
            unknown: total.unknown + total.failed,
            doubled: verdict.doubled,
            lost: verdict.lost,
            misreported: verdict.misreported,
            crossed: verdict.crossed,
            goodput_ratio: rounded(goodput_ratio(mesh, plan, records, length)),
            recovery_ms: recovery.map(|it| it.as_millis() as u64),
            worst_account_ratio: rounded(worst_account_ratio(plan, records)),
            refused_within_rate: refused_within_rate(mesh, plan, records),
            added_p50_us: probe.added_p50_us,
            added_p99_us: probe.added_p99_us,
        }
    }

    /// Returns whether no request was doubled, lost, misreported or crossed.
    pub fn is_clean(&self) -> bool {
        self.doubled + self.lost + self.misreported + self.crossed == 0
    }
}

fn rounded(ratio: f64) -> f64 {
    (ratio * 1_000.0).round() / 1_000.0
}

fn in_phase(phase: DemoPhase) -> impl Fn(&&CallRecord) -> bool {
    let idx = DemoPhase::ALL.iter().position(|(it, _)| *it == phase);
    move |record| Some(record.phase) == idx
}

fn goodput_ratio(
    mesh: &MeshPlan,
    plan: &LoadPlan,
    records: &[CallRecord],
    length: Duration,
) -> f64 {
    let (begin, end) = DemoPhase::Surge.span(length);
    let summary = summarize(plan, records.iter().filter(in_phase(DemoPhase::Surge)));
    let per_s = summary.in_time as f64 / (end - begin).as_secs_f64();
    let within_rates =
        mesh.accounts.iter().map(|it| it.share * it.rate_multiple.min(SURGE_FACTOR)).sum();
    per_s / mesh.max_goodput_per_s(within_rates)
}

fn worst_account_ratio(plan: &LoadPlan, records: &[CallRecord]) -> f64 {
    let served = |phase: DemoPhase, account: usize| -> LoadSummary {
        let of_account = records.iter().filter(in_phase(phase)).filter(|it| it.account == account);
        summarize(plan, of_account)
    };
    let ratio = |account: usize| {
        let before = served(DemoPhase::Nominal, account).in_time_share();
        served(DemoPhase::Greedy, account).in_time_share() / before.max(f64::EPSILON)
    };
    // The first client account is the greedy one.
    (1..plan.accounts.len()).map(ratio).fold(f64::INFINITY, f64::min)
}

fn refused_within_rate(mesh: &MeshPlan, plan: &LoadPlan, records: &[CallRecord]) -> u64 {
    let is_within = |record: &CallRecord| {
        let account = &mesh.accounts[record.account];
        let phase = &plan.phases[record.phase];
        let factor = phase.account_factors.get(&account.name).copied().unwrap_or(phase.factor);
        factor <= account.rate_multiple
    };
    let is_refused = |record: &CallRecord| matches!(&record.result, CallResult::NotRun { reason } if reason == "over-quota");
    records.iter().filter(|it| is_refused(it) && is_within(it)).count() as u64
}
