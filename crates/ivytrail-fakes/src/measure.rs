//! Benches that need real daemons. Each runs the same load with a decision on and, for the baseline, off.

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

/// Every decision that keeps goodput up under overload, switched off together.
const OVERLOAD_DECISIONS: [&str; 7] = [
    "adaptive_limit",
    "priority",
    "consistent_shedding",
    "deadline_awareness",
    "entry_gate",
    "retry_bounds",
    "load_routing",
];

/// One figure: a measure in one case, with the baseline's figure from the same run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BenchResult {
    /// What was measured.
    pub measure: &'static str,
    /// In which case.
    pub case: String,
    /// The figure; `null` when the run ended before it was reached.
    pub value: Option<f64>,
    /// Its unit.
    pub unit: &'static str,
    /// The same with the decisions off, or the naive way.
    pub baseline: Option<f64>,
    /// Runs behind the figure.
    pub runs: u32,
}

/// How long and with which seed benches run.
#[derive(Clone, Debug)]
pub struct BenchOptions {
    /// Length of the load of one run.
    pub length: Duration,
    /// Seed of the load.
    pub seed: u64,
    /// Decisions that are switched off in what is measured; the baseline has all of them off.
    pub off: Vec<String>,
}

/// Measures whole answers within their deadlines over what the slots could do, for a chain of `depth` services under
/// `factor` times that load.
///
/// # Errors
///
/// Returns an error when the mesh can't be started.
pub async fn measure_goodput(
    depth: usize,
    factor: f64,
    bench: &BenchOptions,
) -> Result<BenchResult> {
    let ratio = async |options: ClusterOptions| {
        let cluster = MeshCluster::start(mesh::chain(depth), options).await?;
        let plan = plan(&cluster, vec![phase(bench.length, factor)], bench.seed);
        let records = run(&plan).await?;
        let summary = summarize(&plan, &records);
        anyhow::Ok(
            summary.in_time as f64 / bench.length.as_secs_f64() / cluster.mesh.mix_capacity_per_s(),
        )
    };
    Ok(BenchResult {
        measure: "goodput_ratio",
        case: format!("chain {depth}, load {factor}x"),
        value: Some(ratio(switched_off(&bench.off)).await?),
        unit: "ratio",
        baseline: Some(ratio(switched_off(&OVERLOAD_DECISIONS)).await?),
        runs: 1,
    })
}

/// Measures the share of critical requests that end whole in time under four times the Stratolift mesh's load.
///
/// # Errors
///
/// Returns an error when the mesh can't be started.
pub async fn measure_critical_share(bench: &BenchOptions) -> Result<BenchResult> {
    const FACTOR: f64 = 4.0;
    let share = async |options: ClusterOptions| {
        let cluster = MeshCluster::start(overloaded_reads(FACTOR), options).await?;
        let plan = plan(&cluster, vec![phase(bench.length, 1.0)], bench.seed);
        let records = run(&plan).await?;
        let is_critical = |record: &&CallRecord| plan.kinds[record.kind].critical;
        let summary: LoadSummary = summarize(&plan, records.iter().filter(is_critical));
        anyhow::Ok(summary.in_time_share())
    };
    Ok(BenchResult {
        measure: "critical_share",
        case: format!("stratolift, other kinds at {FACTOR}x, critical within rate"),
        value: Some(share(switched_off(&bench.off)).await?),
        unit: "ratio",
        baseline: Some(share(switched_off(&OVERLOAD_DECISIONS)).await?),
        runs: 1,
    })
}

/// Measures the time from the end of a tenfold slow-down of the deepest service to 95 % of the goodput before, while
/// clients resend hard.
///
/// # Errors
///
/// Returns an error when the mesh can't be started.
pub async fn measure_recovery(bench: &BenchOptions) -> Result<BenchResult> {
    const SLOW_FACTOR: f64 = 10.0;
    const LOAD: f64 = 0.7;
    let recover = async |options: ClusterOptions| {
        let cluster = MeshCluster::start(mesh::chain(3), options).await?;
        let third = bench.length / 3;
        let plan = plan(&cluster, vec![phase(bench.length, LOAD)], bench.seed);
        let load = tokio::spawn(run_load(Arc::clone(&plan), Arc::new(LoadProgress::default())));
        tokio::time::sleep(third).await;
        let slow = ServerControl { slowdown: SLOW_FACTOR, ..ServerControl::default() };
        cluster.set_control("step-2", &slow).await?;
        tokio::time::sleep(third).await;
        cluster.set_control("step-2", &ServerControl::default()).await?;
        let records = load.await??;
        let span = recovery_time(&plan, &records, third, third * 2);
        anyhow::Ok(span.map(|it| it.as_secs_f64() * 1_000.0))
    };
    Ok(BenchResult {
        measure: "recovery_ms",
        case: "chain 3, deepest service 10x slower, hard resends".to_string(),
        value: recover(switched_off(&bench.off)).await?,
        unit: "ms",
        baseline: recover(switched_off(&OVERLOAD_DECISIONS)).await?,
        runs: 1,
    })
}

/// Measures what two hops add to a request that takes no time itself, at `n_connections`; the baseline is the same
/// quantile of a direct call.
///
/// # Errors
///
/// Returns an error when the mesh can't be started or a probe is not answered whole.
pub async fn measure_added_latency(n_connections: usize) -> Result<Vec<BenchResult>> {
    let cluster = MeshCluster::start(generous_pair(), ClusterOptions::default()).await?;
    let path = LatencyProbe::for_first_read_route(&cluster).context("the mesh has a read route")?;
    let probe = ProbePlan { n_connections, n_requests: 2_000.max(n_connections * 5) };
    let direct = path.measure_direct(probe).await?;
    let through = path.measure_via_daemons(probe).await?;
    let line = |(name, quantile): (&str, f64)| {
        let (direct, through) = (direct.quantile(quantile), through.quantile(quantile));
        BenchResult {
            measure: "added_latency_us",
            case: format!("{name}, {n_connections} connections"),
            value: Some(through.saturating_sub(direct) as f64),
            unit: "us",
            baseline: Some(direct as f64),
            runs: 1,
        }
    };
    Ok([("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)].map(line).into())
}

fn phase(length: Duration, factor: f64) -> LoadPhase {
    LoadPhase {
        name: "load".to_string(),
        length_ms: length.as_millis() as u64,
        factor,
        account_factors: BTreeMap::new(),
    }
}

fn plan(cluster: &MeshCluster, phases: Vec<LoadPhase>, seed: u64) -> Arc<LoadPlan> {
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

async fn run(plan: &Arc<LoadPlan>) -> Result<Vec<CallRecord>> {
    run_load(Arc::clone(plan), Arc::new(LoadProgress::default())).await
}

/// Returns a cluster whose daemons don't take the decisions in `names`.
fn switched_off<N>(names: &[N]) -> ClusterOptions
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

/// Returns the Stratolift mesh with the load of all routes that are not critical multiplied by `factor`.
fn overloaded_reads(factor: f64) -> MeshPlan {
    let mut mesh = mesh::stratolift();
    for route in mesh.routes.iter_mut().filter(|route| !route.is_critical()) {
        route.offered_per_s *= factor;
    }
    mesh
}

/// Returns the smallest mesh with rates and slots that no probe reaches.
fn generous_pair() -> MeshPlan {
    const SLOTS: u32 = 2_000;
    const RATE_MULTIPLE: f64 = 10_000.0;
    let mut mesh = mesh::pair();
    mesh.services.iter_mut().for_each(|service| service.slots = SLOTS);
    mesh.accounts.iter_mut().for_each(|account| account.rate_multiple = RATE_MULTIPLE);
    mesh
}
