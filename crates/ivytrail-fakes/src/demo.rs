//! Demo of a mesh of separate processes under overload and recovery, with a killed node and a suspended daemon.

mod report;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use anyhow::{Context, Result};
use tokio::time::Instant;

pub use self::report::{AddedLatency, DemoReport};
use crate::{
    caller::{
        CallRecord, LatencyHistogram, LoadPhase, LoadPlan, LoadProgress, RetryMode,
        check_consistency, run_load,
    },
    cluster::{ClusterOptions, MeshCluster},
    latency_probe::{LatencyProbe, ProbePlan},
    mesh::MeshPlan,
    process::ChildSignal,
};

/// Load factor during the surge.
const SURGE_FACTOR: f64 = 4.0;

/// Load of the greedy client account, as a multiple of its rate limit.
const GREEDY_RATE_MULTIPLE: f64 = 8.0;

/// Requests per path, direct and via daemons, that measure the added latency before the load starts.
const N_PROBE_REQUESTS: usize = 400;

/// Phases of the demo, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DemoPhase {
    /// Every client account sends its usual load.
    Calm,
    /// One client account sends a multiple of its rate limit.
    Greedy,
    /// Every client account sends a multiple of its usual load and retries without delay.
    Surge,
    /// The load returns to its usual level.
    Recovery,
    /// A node is killed and another daemon suspended under the usual load.
    Faults,
}

impl DemoPhase {
    /// All phases in order, with their shares of the length of the demo.
    pub const ALL: [(DemoPhase, f64); 5] = [
        (DemoPhase::Calm, 0.15),
        (DemoPhase::Greedy, 0.15),
        (DemoPhase::Surge, 0.2),
        (DemoPhase::Recovery, 0.2),
        (DemoPhase::Faults, 0.3),
    ];

    /// Returns the start and end of the phase in a demo of `length`, relative to the start of the load.
    pub fn time_range(self, length: Duration) -> (Duration, Duration) {
        let mut begin = Duration::ZERO;
        for (phase, share) in DemoPhase::ALL {
            let end = begin + length.mul_f64(share);
            if phase == self {
                return (begin, end);
            }
            begin = end;
        }
        (begin, begin)
    }
}

/// Runs the demo on `mesh` with a load of about `length`, and prints progress to standard output.
///
/// # Errors
///
/// Returns an error if a process can't be started or signaled, the mesh is not ready before the timeout, or an effects
/// file can't be read.
pub async fn run_demo(mesh: MeshPlan, length: Duration, seed: u64) -> Result<DemoReport> {
    println!("starting {} services as processes on loopback", mesh.services.len());
    let started_at = Instant::now();
    let mut cluster = MeshCluster::start(mesh, ClusterOptions::default()).await?;
    println!(
        "{} daemons serve every route after {:.1?}",
        cluster.nodes.len(),
        started_at.elapsed()
    );
    let added_latency = measure_added_latency(&cluster).await?;
    let plan = Arc::new(load_plan(&cluster, length, seed));
    let progress = Arc::new(LoadProgress::default());
    let load_task = tokio::spawn(run_load(Arc::clone(&plan), Arc::clone(&progress)));
    let progress_task = tokio::spawn(print_progress(length, progress));
    let fault_result = inject_faults(&mut cluster, length).await;
    let records: Vec<CallRecord> = load_task.await??;
    progress_task.abort();
    fault_result?;
    let consistency = check_consistency(&plan, &records, &cluster.effects()?);
    Ok(DemoReport::new(&cluster.mesh, &plan, &records, &consistency, added_latency, length))
}

fn load_plan(cluster: &MeshCluster, length: Duration, seed: u64) -> LoadPlan {
    let greedy = &cluster.mesh.accounts[0];
    let phase = |(phase, share): &(DemoPhase, f64)| LoadPhase {
        name: format!("{phase:?}").to_lowercase(),
        length_ms: length.mul_f64(*share).as_millis() as u64,
        factor: if *phase == DemoPhase::Surge { SURGE_FACTOR } else { 1.0 },
        account_factors: match phase {
            DemoPhase::Greedy => {
                [(greedy.name.clone(), GREEDY_RATE_MULTIPLE * greedy.rate_multiple)].into()
            }
            _ => Default::default(),
        },
    };
    LoadPlan {
        seed,
        entries: cluster.entries(),
        accounts: cluster.mesh.account_loads(&cluster.secrets, RetryMode::Immediate),
        kinds: cluster.mesh.call_kinds(),
        phases: DemoPhase::ALL.iter().map(phase).collect(),
        n_pools: 8,
        grace_ms: 500,
    }
}

/// Kills a node at the start of the fault phase and suspends another node's daemon during its second third.
async fn inject_faults(cluster: &mut MeshCluster, length: Duration) -> Result<()> {
    let load_start = Instant::now();
    let (begin, end) = DemoPhase::Faults.time_range(length);
    let third = (end - begin) / 3;
    let killed_idx = cluster.nodes.len() / 2;
    let suspended_idx = 0;
    tokio::time::sleep_until(load_start + begin).await;
    println!("killing backend server and daemon of {}", cluster.nodes[killed_idx].name);
    cluster.kill_node(killed_idx)?;
    tokio::time::sleep_until(load_start + begin + third).await;
    println!("suspending the daemon of {}", cluster.nodes[suspended_idx].name);
    let daemon = cluster.nodes[suspended_idx]
        .daemon
        .as_ref()
        .context("the daemon to suspend is not running")?;
    daemon.signal(ChildSignal::Stop)?;
    tokio::time::sleep_until(load_start + begin + third * 2).await;
    println!("resuming the daemon of {}", cluster.nodes[suspended_idx].name);
    daemon.signal(ChildSignal::Continue)
}

async fn print_progress(length: Duration, progress: Arc<LoadProgress>) {
    let start = Instant::now();
    let mut ticks = tokio::time::interval(Duration::from_secs(1));
    let mut previous = [0; 4];
    loop {
        ticks.tick().await;
        let counters = [&progress.sent, &progress.complete, &progress.not_run, &progress.other];
        let current = counters.map(|counter| counter.load(Ordering::Relaxed));
        let current_phase = DemoPhase::ALL.iter().map(|(phase, _)| *phase).find(|phase| {
            let (begin, end) = phase.time_range(length);
            (begin..end).contains(&start.elapsed())
        });
        println!(
            "{:5.1?} {:9} sent {:5} complete {:5} not run {:5} other {:4}",
            start.elapsed(),
            current_phase.map_or("end".to_string(), |phase| format!("{phase:?}").to_lowercase()),
            current[0] - previous[0],
            current[1] - previous[1],
            current[2] - previous[2],
            current[3] - previous[3],
        );
        previous = current;
    }
}

/// Measures the latency that two daemons add to a request without service time.
async fn measure_added_latency(cluster: &MeshCluster) -> Result<AddedLatency> {
    let probe = LatencyProbe::for_first_read_route(cluster)
        .context("the mesh has no idempotent route without nested calls")?;
    let plan = ProbePlan { n_connections: 1, n_requests: N_PROBE_REQUESTS };
    let direct_latencies: LatencyHistogram = probe.measure_direct(plan).await?;
    let daemon_latencies: LatencyHistogram = probe.measure_via_daemons(plan).await?;
    Ok(AddedLatency {
        p50_us: daemon_latencies.quantile(0.5).saturating_sub(direct_latencies.quantile(0.5)),
        p99_us: daemon_latencies.quantile(0.99).saturating_sub(direct_latencies.quantile(0.99)),
    })
}
