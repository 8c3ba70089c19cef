//! The demo: a firm's mesh as plain processes, taken over capacity and back, with a killed node and a frozen daemon.

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

/// Factor on the load when it goes over capacity.
const SURGE_FACTOR: f64 = 4.0;

/// Multiple of its rate that one client account sends for a while.
const GREEDY_MULTIPLE: f64 = 8.0;

/// Requests of each kind by which the added latency is measured before the load starts.
const N_PROBES: usize = 400;

/// Phases of the demo, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DemoPhase {
    /// Usual load.
    Nominal,
    /// One client account sends several times its rate.
    Greedy,
    /// All client accounts send several times their usual load and resend hard.
    Surge,
    /// Usual load again.
    Recovery,
    /// A node is killed and a daemon frozen under usual load.
    Faults,
}

impl DemoPhase {
    /// All phases with their shares of the demo's length.
    pub const ALL: [(DemoPhase, f64); 5] = [
        (DemoPhase::Nominal, 0.15),
        (DemoPhase::Greedy, 0.15),
        (DemoPhase::Surge, 0.2),
        (DemoPhase::Recovery, 0.2),
        (DemoPhase::Faults, 0.3),
    ];

    /// Returns when the phase begins and ends in a demo of `length`.
    pub fn span(self, length: Duration) -> (Duration, Duration) {
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

/// Runs the demo on `mesh` for about `length` of load, with progress on standard output.
///
/// # Errors
///
/// Returns an error when a process can't be started, the mesh is not ready in time, or what ran can't be read.
pub async fn run_demo(mesh: MeshPlan, length: Duration, seed: u64) -> Result<DemoReport> {
    println!("starting {} services as processes on loopback", mesh.services.len());
    let begin = Instant::now();
    let mut cluster = MeshCluster::start(mesh, ClusterOptions::default()).await?;
    println!("{} daemons serve every route after {:.1?}", cluster.nodes.len(), begin.elapsed());
    let probe = measure_added_latency(&cluster).await?;
    let plan = Arc::new(load_plan(&cluster, length, seed));
    let progress = Arc::new(LoadProgress::default());
    let load = tokio::spawn(run_load(Arc::clone(&plan), Arc::clone(&progress)));
    let printer = tokio::spawn(print_progress(length, progress));
    let faults = inject_faults(&mut cluster, length).await;
    let records: Vec<CallRecord> = load.await??;
    printer.abort();
    faults?;
    let verdict = check_consistency(&plan, &records, &cluster.effects()?);
    Ok(DemoReport::new(&cluster.mesh, &plan, &records, &verdict, probe, length))
}

fn load_plan(cluster: &MeshCluster, length: Duration, seed: u64) -> LoadPlan {
    let greedy = &cluster.mesh.accounts[0];
    let phase = |(phase, share): &(DemoPhase, f64)| LoadPhase {
        name: format!("{phase:?}").to_lowercase(),
        length_ms: length.mul_f64(*share).as_millis() as u64,
        factor: if *phase == DemoPhase::Surge { SURGE_FACTOR } else { 1.0 },
        account_factors: match phase {
            DemoPhase::Greedy => {
                [(greedy.name.clone(), GREEDY_MULTIPLE * greedy.rate_multiple)].into()
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

/// Kills a node at the beginning of the last phase and freezes another daemon in its middle.
async fn inject_faults(cluster: &mut MeshCluster, length: Duration) -> Result<()> {
    let start = Instant::now();
    let (begin, end) = DemoPhase::Faults.span(length);
    let third = (end - begin) / 3;
    let victim = cluster.nodes.len() / 2;
    let frozen = 0;
    tokio::time::sleep_until(start + begin).await;
    println!("killing {} with its daemon", cluster.nodes[victim].name);
    cluster.kill_node(victim)?;
    tokio::time::sleep_until(start + begin + third).await;
    println!("freezing the daemon of {}", cluster.nodes[frozen].name);
    let daemon = cluster.nodes[frozen].daemon.as_ref().context("the daemon runs")?;
    daemon.signal(ChildSignal::Stop)?;
    tokio::time::sleep_until(start + begin + third * 2).await;
    println!("thawing the daemon of {}", cluster.nodes[frozen].name);
    daemon.signal(ChildSignal::Continue)
}

async fn print_progress(length: Duration, progress: Arc<LoadProgress>) {
    let start = Instant::now();
    let mut ticks = tokio::time::interval(Duration::from_secs(1));
    let mut last = [0; 4];
    loop {
        ticks.tick().await;
        let counters = [&progress.sent, &progress.complete, &progress.not_run, &progress.other];
        let now = counters.map(|counter| counter.load(Ordering::Relaxed));
        let name = DemoPhase::ALL.iter().map(|(phase, _)| *phase).find(|phase| {
            let (begin, end) = phase.span(length);
            (begin..end).contains(&start.elapsed())
        });
        println!(
            "{:5.1?} {:9} sent {:5} whole {:5} not run {:5} other {:4}",
            start.elapsed(),
            name.map_or("end".to_string(), |it| format!("{it:?}").to_lowercase()),
            now[0] - last[0],
            now[1] - last[1],
            now[2] - last[2],
            now[3] - last[3],
        );
        last = now;
    }
}

/// Measures what two hops add to a request that takes no time itself.
async fn measure_added_latency(cluster: &MeshCluster) -> Result<AddedLatency> {
    let path = LatencyProbe::for_first_read_route(cluster).context("the mesh has a read route")?;
    let plan = ProbePlan { n_connections: 1, n_requests: N_PROBES };
    let direct: LatencyHistogram = path.measure_direct(plan).await?;
    let through: LatencyHistogram = path.measure_via_daemons(plan).await?;
    Ok(AddedLatency {
        added_p50_us: through.quantile(0.5).saturating_sub(direct.quantile(0.5)),
        added_p99_us: through.quantile(0.99).saturating_sub(direct.quantile(0.99)),
    })
}
