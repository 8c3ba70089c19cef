//! Stand-in for callers: open-loop load with a seeded schedule, keys, resends, and a comparison of what callers were
//! told with what backend servers ran.

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

/// A kind of request and where its effects are counted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallKind {
    /// Name for reports.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Share of all requests, relative to the other kinds.
    pub share: f64,
    /// Whether running it twice does no harm. Requests that are not idempotent carry an idempotency key.
    pub idempotent: bool,
    /// Whether it is shed last.
    pub critical: bool,
    /// Time within which an answer counts, in milliseconds.
    pub deadline_ms: u64,
    /// Services in which it takes effect, that of the root request first.
    pub effects: Vec<String>,
}

/// How a caller behaves when a request is not answered whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryMode {
    /// It never resends.
    Never,
    /// It waits as `Retry-After` says before it resends.
    #[serde(rename = "polite")]
    HonorRetryAfter,
    /// It resends at once, at another entry.
    #[serde(rename = "hard")]
    Immediate,
}

/// A client account and the load that it offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountLoad {
    /// Name of the client account.
    pub name: String,
    /// Secret of its key.
    pub secret: String,
    /// Requests per second that it offers at a factor of 1.
    pub offered_per_s: f64,
    /// What it does when a request is not answered whole.
    pub mode: RetryMode,
    /// Most resends of one request.
    #[serde(rename = "max_resends")]
    pub max_retries: u32,
}

/// A stretch of time with one level of load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadPhase {
    /// Name for reports.
    pub name: String,
    /// Length in milliseconds.
    pub length_ms: u64,
    /// Factor on the load of each client account.
    pub factor: f64,
    /// Factors that replace it for single client accounts.
    #[serde(default)]
    pub account_factors: BTreeMap<String, f64>,
}

/// Everything that determines a run of load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadPlan {
    /// Seed of the schedule.
    pub seed: u64,
    /// Caller addresses of the daemons that are used as entries.
    pub entries: Vec<SocketAddr>,
    /// Client accounts.
    pub accounts: Vec<AccountLoad>,
    /// Kinds of requests.
    pub kinds: Vec<CallKind>,
    /// Phases, one after the other.
    pub phases: Vec<LoadPhase>,
    /// Number of connection pools. Each opens as many keep-alive connections as it needs.
    pub n_pools: usize,
    /// Time beyond a request's deadline after which the caller hangs up, in milliseconds.
    pub grace_ms: u64,
}

/// What became of a request, as its caller sees it.
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
    /// When it was due, since the start of the run.
    pub due_at: Duration,
    /// Time from the first sending to the end.
    pub latency: Duration,
    /// Times it was sent.
    pub attempts: u32,
    /// Its end.
    #[serde(rename = "end")]
    pub result: CallResult,
}

/// How a request ended, all its attempts taken together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallResult {
    /// A whole answer to this request.
    #[serde(rename = "whole")]
    Complete,
    /// A backend server answered with an error.
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// Each attempt was refused with the promise that it has not run.
    NotRun {
        /// Reason of the last refusal.
        reason: String,
    },
    /// At least one attempt may have run, and no attempt brought a whole answer.
    Unknown {
        /// Reason of the last attempt.
        reason: String,
    },
    /// A whole answer to another request.
    Crossed,
}

/// Progress of a run, readable while it goes on.
#[derive(Debug, Default)]
pub struct LoadProgress {
    /// Requests begun.
    pub sent: AtomicU64,
    /// Requests answered whole.
    pub complete: AtomicU64,
    /// Requests refused as not run.
    pub not_run: AtomicU64,
    /// Requests that ended in any other way.
    pub other: AtomicU64,
}

impl LoadProgress {
    fn record(&self, end: &CallResult) {
        let counter = match end {
            CallResult::Complete => &self.complete,
            CallResult::NotRun { .. } => &self.not_run,
            _ => &self.other,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Runs the plan's load and returns one record for each request, in the order of the schedule.
///
/// The load is open-loop: requests are sent when they are due, however slowly earlier ones are answered.
///
/// # Errors
///
/// Returns an error when the plan has no entry, or when no HTTP client can be made.
pub async fn run_load(plan: Arc<LoadPlan>, progress: Arc<LoadProgress>) -> Result<Vec<CallRecord>> {
    anyhow::ensure!(!plan.entries.is_empty(), "the plan names no entry");
    let calls = schedule_calls(&plan);
    let pools = make_pools(plan.n_pools.max(1))?;
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

fn make_pools(n_pools: usize) -> Result<Vec<reqwest::Client>> {
    let build = || reqwest::Client::builder().no_proxy().build();
    Ok((0..n_pools).map(|_| build()).collect::<reqwest::Result<_>>()?)
}

/// Sends one request until it ends.
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
        let begin = Instant::now();
        let (end, attempts) = self.resend_until_end(&call, key.as_deref(), begin).await;
        self.progress.record(&end);
        CallRecord {
            serial: call.serial,
            kind: call.kind,
            account: call.account,
            phase: call.phase,
            due_at: call.due_at,
            latency: begin.elapsed(),
            attempts,
            result: end,
        }
    }

    async fn resend_until_end(
        &self,
        call: &ScheduledCall,
        key: Option<&str>,
        begin: Instant,
    ) -> (CallResult, u32) {
        let account = &self.plan.accounts[call.account];
        let kind = &self.plan.kinds[call.kind];
        let patience = Duration::from_millis(kind.deadline_ms);
        let mut doubt = None;
        let mut attempts = 0;
        loop {
            let end = self.send_once(call, key, attempts).await;
            attempts += 1;
            let may_resend = attempts <= account.max_retries && account.mode != RetryMode::Never;
            let (told, retry_after) = match end {
                AttemptResult::Complete => return (CallResult::Complete, attempts),
                AttemptResult::Crossed => return (CallResult::Crossed, attempts),
                AttemptResult::Failed { status } => {
                    return (CallResult::Failed { status }, attempts);
                }
                AttemptResult::NotRun { reason, retry_after } => {
                    (CallResult::NotRun { reason }, retry_after)
                }
                AttemptResult::Unknown { reason } => {
                    let told = CallResult::Unknown { reason };
                    doubt = Some(told.clone());
                    (told, None)
                }
            };
            // A refusal speaks of its own attempt: it doesn't lift the doubt about an earlier one.
            let told = doubt.clone().unwrap_or(told);
            let wait = match account.mode {
                RetryMode::HonorRetryAfter => retry_after.unwrap_or(patience / 10),
                RetryMode::Never | RetryMode::Immediate => Duration::ZERO,
            };
            if !may_resend || patience <= begin.elapsed() + wait {
                return (told, attempts);
            }
            tokio::time::sleep(wait).await;
        }
    }

    async fn send_once(
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
