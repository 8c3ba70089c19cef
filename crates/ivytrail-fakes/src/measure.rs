//! Benches with real daemons. The load benches run the same load twice: with the daemons' control decisions on, except
//! those disabled by an option, and, as the baseline, with the overload decisions off.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use anyhow::{Context, Result};
use serde::Serialize;
use serde_json::{Value, json};

use crate::{
    backend::ServerControl,
    caller::{
        CallRecord, LoadPhase, LoadPlan, LoadProgress, LoadSummary, RetryMode, recovery_time,
        run_load, summarize,
    },
    cluster::{ClusterOptions, MeshCluster},
    latency_probe::{LatencyProbe, ProbePlan},
    mesh::{self, MeshPlan},
};

/// Control decisions that sustain goodput under overload, which the baseline runs without.
const OVERLOAD_DECISIONS: [&str; 7] = [
    "adaptive_limit",
    "priority",
    "consistent_shedding",
    "deadline_awareness",
    "entry_gate",
    "retry_bounds",
    "load_routing",
];

/// Value of one measure in one case, with its baseline.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BenchResult {
    /// Name of the measure.
    pub measure: &'static str,
    /// Case in which it was measured.
    pub case: String,
    /// Measured value; `null` if the run ended before it could be determined.
    pub value: Option<f64>,
    /// Unit of the value and the baseline.
    pub unit: &'static str,
    /// Value of the measure with the overload decisions off, or for added latency the direct latency.
    pub baseline: Option<f64>,
    /// Number of runs behind the value.
    pub runs: u32,
}

/// Options of the load benches.
#[derive(Clone, Debug)]
pub struct BenchOptions {
    /// Length of the load in each run.
    pub length: Duration,
    /// Seed of the load.
    pub seed: u64,
    /// Control decisions that are off in the measured run. The baseline always has the overload decisions off.
    pub disabled_decisions: Vec<String>,
}

/// Measures goodput, in requests completed within their deadlines, as a ratio to the capacity of a chain of `depth`
/// services. The offered load is `load_factor` times the capacity.
///
/// # Errors
///
/// Returns an error if the mesh can't be started or the load can't run.
pub async fn measure_goodput(
    depth: usize,
    load_factor: f64,
    bench: &BenchOptions,
) -> Result<BenchResult> {
    let goodput_ratio = async |options: ClusterOptions| {
        let cluster = MeshCluster::start(mesh::chain(depth), options).await?;
        let plan = load_plan(&cluster, vec![load_phase(bench.length, load_factor)], bench.seed);
        let records = run_plan(&plan).await?;
        let summary = summarize(&plan, &records);
        anyhow::Ok(
            summary.in_time as f64 / bench.length.as_secs_f64() / cluster.mesh.mix_capacity_per_s(),
        )
    };
    Ok(BenchResult {
        measure: "goodput_ratio",
        case: format!("chain {depth}, load {load_factor}x"),
        value: Some(goodput_ratio(without_decisions(&bench.disabled_decisions)).await?),
        unit: "ratio",
        baseline: Some(goodput_ratio(without_decisions(&OVERLOAD_DECISIONS)).await?),
        runs: 1,
    })
}

/// Measures the share of critical requests that complete within their deadlines, on the Stratolift mesh with four times
/// the offered load on all other routes.
///
/// # Errors
///
/// Returns an error if the mesh can't be started or the load can't run.
pub async fn measure_critical_share(bench: &BenchOptions) -> Result<BenchResult> {
    const LOAD_FACTOR: f64 = 4.0;
    let critical_share = async |options: ClusterOptions| {
        let cluster = MeshCluster::start(overloaded_stratolift(LOAD_FACTOR), options).await?;
        let plan = load_plan(&cluster, vec![load_phase(bench.length, 1.0)], bench.seed);
        let records = run_plan(&plan).await?;
        let is_critical = |record: &&CallRecord| plan.kinds[record.kind].critical;
        let summary: LoadSummary = summarize(&plan, records.iter().filter(is_critical));
        anyhow::Ok(summary.in_time_share())
    };
    Ok(BenchResult {
        measure: "critical_share",
        case: format!("stratolift, other kinds at {LOAD_FACTOR}x, critical within rate"),
        value: Some(critical_share(without_decisions(&bench.disabled_decisions)).await?),
        unit: "ratio",
        baseline: Some(critical_share(without_decisions(&OVERLOAD_DECISIONS)).await?),
        runs: 1,
    })
}

/// Measures the time from the end of a tenfold slowdown of the deepest service until goodput is back at 95 % of its
/// previous level, with clients that retry without delay.
///
/// # Errors
///
/// Returns an error if the mesh can't be started or the load can't run.
pub async fn measure_recovery(bench: &BenchOptions) -> Result<BenchResult> {
    const SLOWDOWN: f64 = 10.0;
    const LOAD_FACTOR: f64 = 0.7;
    let recovery_ms = async |options: ClusterOptions| {
        let cluster = MeshCluster::start(mesh::chain(3), options).await?;
        let third = bench.length / 3;
        let plan = load_plan(&cluster, vec![load_phase(bench.length, LOAD_FACTOR)], bench.seed);
        let load_task =
            tokio::spawn(run_load(Arc::clone(&plan), Arc::new(LoadProgress::default())));
        tokio::time::sleep(third).await;
        let slowed_down = ServerControl { slowdown: SLOWDOWN, ..ServerControl::default() };
        cluster.set_control("step-2", &slowed_down).await?;
        tokio::time::sleep(third).await;
        cluster.set_control("step-2", &ServerControl::default()).await?;
        let records = load_task.await??;
        let recovery = recovery_time(&plan, &records, third, third * 2);
        anyhow::Ok(recovery.map(|time| time.as_secs_f64() * 1_000.0))
    };
    Ok(BenchResult {
        measure: "recovery_ms",
        case: "chain 3, deepest service 10x slower, hard resends".to_string(),
        value: recovery_ms(without_decisions(&bench.disabled_decisions)).await?,
        unit: "ms",
        baseline: recovery_ms(without_decisions(&OVERLOAD_DECISIONS)).await?,
        runs: 1,
    })
}

/// Measures the latency that two daemons add to a request without service time, on `n_connections` concurrent
/// connections. Each value is a difference of quantiles; the baseline is the quantile of direct requests.
///
/// # Errors
///
/// Returns an error if the mesh can't be started or a probe request does not complete.
pub async fn measure_added_latency(n_connections: usize) -> Result<Vec<BenchResult>> {
    let cluster = MeshCluster::start(unlimited_pair(), ClusterOptions::default()).await?;
    let probe = LatencyProbe::for_first_read_route(&cluster)
        .context("the mesh has no idempotent route without nested calls")?;
    let probe_plan = ProbePlan { n_connections, n_requests: 2_000.max(n_connections * 5) };
    let direct_latencies = probe.measure_direct(probe_plan).await?;
    let daemon_latencies = probe.measure_via_daemons(probe_plan).await?;
    let result = |(name, quantile): (&str, f64)| {
        let (direct_us, daemon_us) =
            (direct_latencies.quantile(quantile), daemon_latencies.quantile(quantile));
        BenchResult {
            measure: "added_latency_us",
            case: format!("{name}, {n_connections} connections"),
            value: Some(daemon_us.saturating_sub(direct_us) as f64),
            unit: "us",
            baseline: Some(direct_us as f64),
            runs: 1,
        }
    };
    Ok([("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)].map(result).into())
}

fn load_phase(length: Duration, factor: f64) -> LoadPhase {
    LoadPhase {
        name: "load".to_string(),
        length_ms: length.as_millis() as u64,
        factor,
        account_factors: BTreeMap::new(),
    }
}

fn load_plan(cluster: &MeshCluster, phases: Vec<LoadPhase>, seed: u64) -> Arc<LoadPlan> {
    Arc::new(LoadPlan {
        seed,
        entries: cluster.entries(),
        accounts: cluster.mesh.account_loads(&cluster.secrets, RetryMode::Immediate),
        kinds: cluster.mesh.call_kinds(),
        phases,
        n_pools: 4,
        grace_ms: 500,
    })
}

async fn run_plan(plan: &Arc<LoadPlan>) -> Result<Vec<CallRecord>> {
    run_load(Arc::clone(plan), Arc::new(LoadProgress::default())).await
}

/// Returns the options of a cluster whose daemons have the named control decisions off.
fn without_decisions<N>(names: &[N]) -> ClusterOptions
where
    N: AsRef<str>,
{
    let switches: BTreeMap<&str, Value> =
        names.iter().map(|name| (name.as_ref(), json!("off"))).collect();
    ClusterOptions {
        daemon_settings: [("decisions".to_string(), json!(switches))].into(),
        ..ClusterOptions::default()
    }
}

/// Returns the Stratolift mesh with the offered load of all routes without critical priority multiplied by
/// `load_factor`.
fn overloaded_stratolift(load_factor: f64) -> MeshPlan {
    let mut mesh = mesh::stratolift();
    for route in mesh.routes.iter_mut().filter(|route| !route.is_critical()) {
        route.offered_per_s *= load_factor;
    }
    mesh
}

/// Returns the pair mesh with more slots and higher rate limits than any probe uses.
fn unlimited_pair() -> MeshPlan {
    const SLOTS: u32 = 2_000;
    const RATE_MULTIPLE: f64 = 10_000.0;
    let mut mesh = mesh::pair();
    mesh.services.iter_mut().for_each(|service| service.slots = SLOTS);
    mesh.accounts.iter_mut().for_each(|account| account.rate_multiple = RATE_MULTIPLE);
    mesh
}
