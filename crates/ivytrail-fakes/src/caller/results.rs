//! Evaluation of call records: consistency with the counted effects, and summary figures.

use std::{collections::HashMap, io::BufRead, path::Path, time::Duration};

use anyhow::{Context, Result};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::{CallRecord, CallResult, LoadPlan, recovery::is_in_time};
use crate::backend::RunLog;

/// Number of effects by service and request serial.
#[derive(Clone, Debug, Default)]
pub struct EffectCounts {
    counts: HashMap<String, HashMap<String, u32>>,
}

impl EffectCounts {
    /// Adds the effects in the log of a running backend server.
    pub fn add_log(&mut self, log: &RunLog) {
        for (serial, record) in &log.runs {
            self.add(&log.service, serial, record.ran_at_ms.len() as u32);
        }
    }

    /// Adds the effects that a backend server of `service` wrote to a file, which survives its process.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read.
    pub fn add_file(&mut self, service: &str, path: &Path) -> Result<()> {
        let file = std::fs::File::open(path)
            .with_context(|| format!("cannot open effects file {}", path.display()))?;
        for line in std::io::BufReader::new(file).lines() {
            self.add(service, line?.trim_end(), 1);
        }
        Ok(())
    }

    /// Returns the number of effects of the request with `serial` in `service`.
    pub fn count(&self, service: &str, serial: &str) -> u32 {
        self.counts.get(service).and_then(|by_serial| by_serial.get(serial)).copied().unwrap_or(0)
    }

    /// Returns the number of effects of all requests in `service`.
    pub fn total(&self, service: &str) -> u64 {
        self.counts.get(service).map_or(0, |it| it.values().map(|count| u64::from(*count)).sum())
    }

    fn add(&mut self, service: &str, serial: &str, count: u32) {
        let by_serial = self.counts.entry(service.to_string()).or_default();
        *by_serial.entry(serial.to_string()).or_default() += count;
    }
}

/// Numbers of requests whose reported result contradicts their effects, or that took effect too often.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConsistencyReport {
    /// Requests that are not idempotent and took effect more than once in a service.
    pub doubled: u64,
    /// Requests with a complete response that took no effect in the called service.
    pub lost: u64,
    /// Requests reported as not run that took effect in any service.
    pub misreported: u64,
    /// Requests that received another request's response.
    pub crossed: u64,
    /// Descriptions of the first inconsistencies, each with the request's serial and result.
    pub examples: Vec<String>,
}

impl ConsistencyReport {
    /// Maximum number of examples.
    const MAX_EXAMPLES: usize = 10;

    /// Returns whether there are no inconsistencies.
    pub fn is_clean(&self) -> bool {
        self.doubled + self.lost + self.misreported + self.crossed == 0
    }

    fn add(&mut self, record: &CallRecord, inconsistency: Inconsistency) {
        match inconsistency {
            Inconsistency::Doubled => self.doubled += 1,
            Inconsistency::Lost => self.lost += 1,
            Inconsistency::Misreported => self.misreported += 1,
            Inconsistency::Crossed => self.crossed += 1,
        }
        if self.examples.len() < Self::MAX_EXAMPLES {
            self.examples.push(format!("{inconsistency:?} {} {:?}", record.serial, record.result));
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Inconsistency {
    Doubled,
    Lost,
    Misreported,
    Crossed,
}

/// Checks each record against the effects that backend servers counted.
pub fn check_consistency(
    plan: &LoadPlan,
    records: &[CallRecord],
    effects: &EffectCounts,
) -> ConsistencyReport {
    let mut report = ConsistencyReport::default();
    for record in records {
        let kind = &plan.kinds[record.kind];
        let counts: Vec<u32> =
            kind.effects.iter().map(|service| effects.count(service, &record.serial)).collect();
        if !kind.idempotent && counts.iter().any(|count| 1 < *count) {
            report.add(record, Inconsistency::Doubled);
        }
        match &record.result {
            CallResult::Complete if counts.first().is_none_or(|count| *count == 0) => {
                report.add(record, Inconsistency::Lost);
            }
            CallResult::NotRun { .. } if counts.iter().any(|count| 0 < *count) => {
                report.add(record, Inconsistency::Misreported);
            }
            CallResult::Crossed => report.add(record, Inconsistency::Crossed),
            _ => {}
        }
    }
    report
}

/// Summary figures of a set of requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Number of requests.
    pub requests: u64,
    /// Requests with a complete response.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Requests with a complete response within the deadline.
    pub in_time: u64,
    /// Requests refused as not run.
    pub refused_not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests for which a backend server returned an error.
    pub failed: u64,
    /// Number of attempts of all requests.
    pub attempts: u64,
    /// Median latency of complete responses, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency of complete responses, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latency of complete responses, in microseconds.
    pub p999_us: u64,
    /// Number of requests by result and reason, for requests without a complete response.
    pub reasons: std::collections::BTreeMap<String, u64>,
}

impl LoadSummary {
    /// Returns the share of requests that completed within their deadlines.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }
}

/// Aggregates records into a summary.
pub fn summarize<'a, I>(plan: &LoadPlan, records: I) -> LoadSummary
where
    I: IntoIterator<Item = &'a CallRecord>,
{
    let mut summary = LoadSummary::default();
    let mut latencies = LatencyHistogram::default();
    for record in records {
        summary.requests += 1;
        summary.attempts += u64::from(record.attempts);
        summary.in_time += u64::from(is_in_time(plan, record));
        let reason = match &record.result {
            CallResult::Complete => {
                summary.complete += 1;
                latencies.record(record.latency);
                continue;
            }
            CallResult::NotRun { reason } => {
                summary.refused_not_run += 1;
                format!("not-run {reason}")
            }
            CallResult::Unknown { reason } => {
                summary.unknown += 1;
                format!("unknown {reason}")
            }
            CallResult::Failed { status } => {
                summary.failed += 1;
                format!("failed {status}")
            }
            CallResult::Crossed => "crossed".to_string(),
        };
        *summary.reasons.entry(reason).or_default() += 1;
    }
    summary.p50_us = latencies.quantile(0.5);
    summary.p99_us = latencies.quantile(0.99);
    summary.p999_us = latencies.quantile(0.999);
    summary
}

/// Histogram of latencies in microseconds, up to one minute, with three significant digits.
#[derive(Clone, Debug)]
pub struct LatencyHistogram(Option<Histogram<u64>>);

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        // The bounds are valid constants, so construction never fails.
        LatencyHistogram(Histogram::new_with_bounds(1, 60_000_000, 3).ok())
    }
}

impl LatencyHistogram {
    /// Records one latency.
    pub fn record(&mut self, latency: Duration) {
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(latency.as_micros() as u64);
        }
    }

    /// Returns the value at `quantile` in microseconds, or 0 if nothing was recorded.
    pub fn quantile(&self, quantile: f64) -> u64 {
        self.0.as_ref().map_or(0, |histogram| histogram.value_at_quantile(quantile))
    }
}
