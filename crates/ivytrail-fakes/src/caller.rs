//! Fake callers: an open-loop load generator with a seeded schedule, idempotency keys and retries, and a check of the
//! reported results against the effects that backend servers counted.

mod attempt;
mod recovery;
mod results;
mod schedule;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::Result;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{task::JoinSet, time::Instant};
use uuid::Uuid;

pub use self::{
    attempt::{AttemptRequest, AttemptResult, send_attempt},
    recovery::recovery_time,
    results::{
        ConsistencyReport, EffectCounts, LatencyHistogram, LoadSummary, check_consistency,
        summarize,
    },
    schedule::{ScheduledCall, schedule_calls},
};

/// Kind of request and the services in which its effects are counted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallKind {
    /// Name for reports.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Request path, which selects the route.
    pub path: String,
    /// Relative weight among all kinds.
    pub share: f64,
    /// Whether the request is idempotent. Requests that are not carry an idempotency key.
    pub idempotent: bool,
    /// Whether the request has critical priority, which is shed last.
    pub critical: bool,
    /// Deadline of the response, in milliseconds from the first attempt.
    pub deadline_ms: u64,
    /// Services in which the request takes effect, starting with the called one.
    pub effects: Vec<String>,
}

/// Retry behavior of a caller after a request that did not complete. Each retry goes to the next entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryMode {
    /// Never retries.
    Never,
    /// Retries after the delay in `Retry-After`, or after a tenth of the deadline without one.
    #[serde(rename = "polite")]
    HonorRetryAfter,
    /// Retries without delay.
    #[serde(rename = "hard")]
    Immediate,
}

/// Client account and its offered load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountLoad {
    /// Name of the client account.
    pub name: String,
    /// Secret of the account's key.
    pub secret: String,
    /// Offered load in requests per second at a load factor of 1.
    pub offered_per_s: f64,
    /// Retry behavior.
    #[serde(rename = "mode")]
    pub retry_mode: RetryMode,
    /// Maximum number of retries of a request.
    #[serde(rename = "max_resends")]
    pub max_retries: u32,
}

/// Phase of a run with a constant load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadPhase {
    /// Name for reports.
    pub name: String,
    /// Length in milliseconds.
    pub length_ms: u64,
    /// Factor on the load of each client account.
    pub factor: f64,
    /// Factors by client account name, which override `factor`.
    #[serde(default)]
    pub account_factors: BTreeMap<String, f64>,
}

/// Definition of a load run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadPlan {
    /// Seed of the schedule.
    pub seed: u64,
    /// Caller addresses of the daemons that serve as entries.
    pub entries: Vec<SocketAddr>,
    /// Client accounts, each with its own arrival process.
    pub accounts: Vec<AccountLoad>,
    /// Kinds of requests, drawn by their share.
    pub kinds: Vec<CallKind>,
    /// Consecutive phases.
    pub phases: Vec<LoadPhase>,
    /// Number of connection pools. Each opens as many keep-alive connections as needed.
    pub n_pools: usize,
    /// Time after a request's deadline until the caller closes the connection, in milliseconds.
    pub grace_ms: u64,
}

/// Result of a request as observed by its caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Serial of the request, unique in the run.
    pub serial: String,
    /// Index of its kind in the plan.
    pub kind: usize,
    /// Index of its client account in the plan.
    pub account: usize,
    /// Index of its phase in the plan.
    pub phase: usize,
    /// Scheduled time, since the start of the run.
    pub due_at: Duration,
    /// Time from the first attempt to the result.
    pub latency: Duration,
    /// Number of attempts.
    pub attempts: u32,
    /// Combined result of all attempts.
    #[serde(rename = "end")]
    pub result: CallResult,
}

/// Result of a request, combined over all of its attempts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallResult {
    /// A complete response to this request.
    #[serde(rename = "whole")]
    Complete,
    /// A backend server returned an error.
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// Every attempt was refused with the guarantee that it did not run.
    NotRun {
        /// Reason of the last refusal.
        reason: String,
    },
    /// At least one attempt may have run, and none returned a complete response.
    Unknown {
        /// Reason of the last attempt that may have run.
        reason: String,
    },
    /// A complete response to another request.
    Crossed,
}

/// Counters of a running load, updated as requests start and end.
#[derive(Debug, Default)]
pub struct LoadProgress {
    /// Requests started.
    pub sent: AtomicU64,
    /// Requests with a complete response.
    pub complete: AtomicU64,
    /// Requests refused as not run.
    pub not_run: AtomicU64,
    /// Requests with any other result.
    pub other: AtomicU64,
}

impl LoadProgress {
    fn record(&self, result: &CallResult) {
        let counter = match result {
            CallResult::Complete => &self.complete,
            CallResult::NotRun { .. } => &self.not_run,
            _ => &self.other,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Runs the load and returns one record per request, in scheduled order.
///
/// The load is open-loop: requests are sent at their scheduled times, regardless of the latency of earlier ones.
///
/// # Errors
///
/// Returns an error if the plan has no entry or an HTTP client can't be built.
pub async fn run_load(plan: Arc<LoadPlan>, progress: Arc<LoadProgress>) -> Result<Vec<CallRecord>> {
    anyhow::ensure!(!plan.entries.is_empty(), "the load plan has no entries");
    let calls = schedule_calls(&plan);
    let pools = build_pools(plan.n_pools.max(1))?;
    let records = Arc::new(Mutex::new(Vec::with_capacity(calls.len())));
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for (idx, call) in calls.into_iter().enumerate() {
        tokio::time::sleep_until(start + call.due_at).await;
        let sender = CallSender {
            plan: Arc::clone(&plan),
            client: pools[idx % pools.len()].clone(),
            progress: Arc::clone(&progress),
        };
        let records = Arc::clone(&records);
        tasks.spawn(async move {
            let record = sender.send(call).await;
            records.lock().push(record);
        });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    let mut records = std::mem::take(&mut *records.lock());
    records.sort_by_key(|record| record.due_at);
    Ok(records)
}

fn build_pools(n_pools: usize) -> Result<Vec<reqwest::Client>> {
    let build = || reqwest::Client::builder().no_proxy().build();
    Ok((0..n_pools).map(|_| build()).collect::<reqwest::Result<_>>()?)
}

/// Sends one request, including its retries.
struct CallSender {
    plan: Arc<LoadPlan>,
    client: reqwest::Client,
    progress: Arc<LoadProgress>,
}

impl CallSender {
    async fn send(&self, call: ScheduledCall) -> CallRecord {
        self.progress.sent.fetch_add(1, Ordering::Relaxed);
        let kind = &self.plan.kinds[call.kind];
        let key = (!kind.idempotent).then(|| Uuid::now_v7().to_string());
        let started_at = Instant::now();
        let (result, attempts) = self.send_with_retries(&call, key.as_deref(), started_at).await;
        self.progress.record(&result);
        CallRecord {
            serial: call.serial,
            kind: call.kind,
            account: call.account,
            phase: call.phase,
            due_at: call.due_at,
            latency: started_at.elapsed(),
            attempts,
            result,
        }
    }

    async fn send_with_retries(
        &self,
        call: &ScheduledCall,
        key: Option<&str>,
        started_at: Instant,
    ) -> (CallResult, u32) {
        let account = &self.plan.accounts[call.account];
        let kind = &self.plan.kinds[call.kind];
        let deadline = Duration::from_millis(kind.deadline_ms);
        let mut unknown_result = None;
        let mut attempts = 0;
        loop {
            let attempt_result = self.run_attempt(call, key, attempts).await;
            attempts += 1;
            let may_retry =
                attempts <= account.max_retries && account.retry_mode != RetryMode::Never;
            let (result, retry_after) = match attempt_result {
                AttemptResult::Complete => return (CallResult::Complete, attempts),
                AttemptResult::Crossed => return (CallResult::Crossed, attempts),
                AttemptResult::Failed { status } => {
                    return (CallResult::Failed { status }, attempts);
                }
                AttemptResult::NotRun { reason, retry_after } => {
                    (CallResult::NotRun { reason }, retry_after)
                }
                AttemptResult::Unknown { reason } => {
                    let result = CallResult::Unknown { reason };
                    unknown_result = Some(result.clone());
                    (result, None)
                }
            };
            // A refusal covers only its own attempt: an earlier attempt may still have run.
            let result = unknown_result.clone().unwrap_or(result);
            let retry_delay = match account.retry_mode {
                RetryMode::HonorRetryAfter => retry_after.unwrap_or(deadline / 10),
                RetryMode::Never | RetryMode::Immediate => Duration::ZERO,
            };
            if !may_retry || deadline <= started_at.elapsed() + retry_delay {
                return (result, attempts);
            }
            tokio::time::sleep(retry_delay).await;
        }
    }

    async fn run_attempt(
        &self,
        call: &ScheduledCall,
        key: Option<&str>,
        attempt: u32,
    ) -> AttemptResult {
        let kind = &self.plan.kinds[call.kind];
        let entries = &self.plan.entries;
        let request = AttemptRequest {
            entry: entries[(call.entry + attempt as usize) % entries.len()],
            method: &kind.method,
            path: &kind.path,
            serial: &call.serial,
            secret: Some(&self.plan.accounts[call.account].secret),
            idempotency_key: key,
            timeout: Duration::from_millis(kind.deadline_ms + self.plan.grace_ms),
            headers: &[],
        };
        send_attempt(&self.client, &request).await
    }
}
