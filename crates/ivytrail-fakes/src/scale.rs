//! Measures what control costs a daemon as the number of daemons grows, with real daemons on loopback.
//!
//! The daemons guard no real backend server: the bench announces one for each, 20 to a service, so that membership,
//! rings, quotas and settings work as in a mesh that carries no calls.

use std::{net::SocketAddr, path::Path, time::Duration};

use anyhow::{Context, Result};
use ivytrail::settings::{ClientAccount, TeamSubtree};
use reqwest::Client;
use serde_json::json;
use tokio::time::Instant;

use crate::{
    operator::OperatorCli,
    platform::{PlatformFake, PlatformRates},
    process::{self, ChildProcess},
};

/// Daemons in one service, as many as at the target on average.
const DAEMONS_PER_SERVICE: usize = 20;
/// Failure domains.
const DOMAINS: [&str; 3] = ["kolkata", "durgapur", "siliguri"];
/// Token of the bench's operator.
const TOKEN: &str = "scale-operator";
/// Team whose subtree is changed.
const TEAM: &str = "scale";
/// Time between two announcements for one backend server.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(1_000);
/// Time between two looks at the daemons' revisions.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Longest wait for the daemons to know each other, and for a change to be in force.
const WAIT_LIMIT: Duration = Duration::from_secs(90);
/// Clock ticks of the kernel in a second, for processor times.
const TICKS_PER_S: f64 = 100.0;

/// Figures of one size.
#[derive(Clone, Copy, Debug, Default)]
pub struct ScaleFigures {
    /// Time until every daemon knew every other one, in seconds.
    pub membership_convergence_s: f64,
    /// Control bytes sent a second by one daemon, bodies only, on average.
    pub bytes_per_s: f64,
    /// The same of the daemon that sent most.
    pub max_bytes_per_s: f64,
    /// Share of a core that one daemon used, on average.
    pub core_share: f64,
    /// Greatest resident memory of a daemon, in bytes.
    pub max_memory: u64,
    /// Table reads a second by all daemons.
    pub reads_per_s: f64,
    /// Table writes a second by all daemons.
    pub writes_per_s: f64,
    /// Longest time from an accepted change until it was in force at every daemon, in milliseconds.
    pub in_force_ms: f64,
}

/// Daemons that run until they are dropped.
struct DaemonFleet {
    daemons: Vec<ChildProcess>,
    operators: Vec<SocketAddr>,
    platform: PlatformFake,
    client: Client,
    // The directory outlives the processes that log into it.
    dir: tempdir::ScaleDir,
}

mod tempdir {
    use std::path::{Path, PathBuf};

    /// A directory that is removed when this is dropped.
    pub(super) struct ScaleDir(PathBuf);

    impl ScaleDir {
        pub(super) fn new() -> std::io::Result<ScaleDir> {
            let path = std::env::temp_dir().join(format!("ivytrail-scale-{}", std::process::id()));
            std::fs::create_dir_all(&path)?;
            Ok(ScaleDir(path))
        }

        pub(super) fn path(&self) -> &Path {
            &self.0
        }
    }

    impl Drop for ScaleDir {
        fn drop(&mut self) {
            // What can't be removed is left to the system's own clean-up.
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Runs `n_daemons` daemons, measures for `length` in calm, then makes `n_changes` changes.
///
/// # Errors
///
/// Returns an error when a program is missing or ends, or when a wait takes too long.
pub async fn measure(n_daemons: usize, length: Duration, n_changes: usize) -> Result<ScaleFigures> {
    let started = Instant::now();
    let fleet = DaemonFleet::start(n_daemons).await?;
    fleet.wait_for("members", |value| n_daemons as f64 <= value).await?;
    let membership_convergence_s = started.elapsed().as_secs_f64();
    let before = fleet.readings().await?;
    tokio::time::sleep(length).await;
    let after = fleet.readings().await?;
    let span = length.as_secs_f64();
    let sent = before.sent.iter().zip(&after.sent).map(|(before, after)| (after - before) / span);
    let sent: Vec<f64> = sent.collect();
    let in_force_ms = fleet.time_changes(n_changes).await?;
    Ok(ScaleFigures {
        membership_convergence_s,
        bytes_per_s: sent.iter().sum::<f64>() / n_daemons as f64,
        max_bytes_per_s: sent.iter().copied().fold(0.0, f64::max),
        core_share: (after.cpu_s - before.cpu_s) / span / n_daemons as f64,
        max_memory: after.max_memory,
        reads_per_s: (after.reads - before.reads) as f64 / span,
        writes_per_s: (after.writes - before.writes) as f64 / span,
        in_force_ms,
    })
}

/// Counters at one moment.
struct FleetReadings {
    sent: Vec<f64>,
    cpu_s: f64,
    max_memory: u64,
    reads: u64,
    writes: u64,
}

impl DaemonFleet {
    async fn start(n_daemons: usize) -> Result<DaemonFleet> {
        let dir = tempdir::ScaleDir::new()?;
        let program = process::program_path("ivytraild")?;
        let addresses = process::free_addresses(4 * n_daemons + 1)?;
        let platform = PlatformFake::start(addresses[0], PlatformRates::default()).await?;
        let client = Client::new();
        let mut daemons = Vec::new();
        let mut operators = Vec::new();
        for (idx, own) in addresses[1..].chunks(4).enumerate() {
            let settings = daemon_settings(idx, own, platform.address());
            let path = dir.path().join(format!("{idx}.json"));
            std::fs::write(&path, settings.to_string())?;
            let arguments = ["--settings".to_string(), path.to_string_lossy().into_owned()];
            daemons.push(ChildProcess::start(&idx.to_string(), &program, &arguments, dir.path())?);
            operators.push(own[3]);
            tokio::spawn(announce(client.clone(), own[1], idx / DAEMONS_PER_SERVICE));
        }
        Ok(DaemonFleet { daemons, operators, platform, client, dir })
    }

    /// Waits until a gauge of every daemon satisfies `is_met`.
    async fn wait_for<F>(&self, gauge: &str, is_met: F) -> Result<()>
    where
        F: Fn(f64) -> bool,
    {
        let end = Instant::now() + WAIT_LIMIT;
        for address in &self.operators {
            while !self.gauge(address, gauge).await.is_ok_and(&is_met) {
                anyhow::ensure!(Instant::now() < end, "{address}: {gauge} is not as expected");
                tokio::time::sleep(LOOK_EVERY).await;
            }
        }
        Ok(())
    }

    async fn gauge(&self, address: &SocketAddr, name: &str) -> Result<f64> {
        let url = format!("http://{address}/metrics");
        let text = self.client.get(url).bearer_auth(TOKEN).send().await?.text().await?;
        metric(&text, &format!("ivytrail_{name} ")).with_context(|| format!("no metric {name}"))
    }

    async fn readings(&self) -> Result<FleetReadings> {
        let mut sent = Vec::new();
        for address in &self.operators {
            sent.push(
                self.gauge(address, "control_traffic_bytes_total{direction=\"sent\"}").await?,
            );
        }
        let usages = self.daemons.iter().filter_map(|it| process_usage(it.id()));
        let usages: Vec<(f64, u64)> = usages.collect();
        anyhow::ensure!(usages.len() == self.daemons.len(), "a daemon has ended");
        let counts = self.platform.counts();
        Ok(FleetReadings {
            sent,
            cpu_s: usages.iter().map(|(cpu_s, _)| cpu_s).sum(),
            max_memory: usages.iter().map(|(_, memory)| *memory).max().unwrap_or(0),
            reads: counts.reads,
            writes: counts.writes,
        })
    }

    /// Makes changes one after the other and returns the longest time until one was in force everywhere.
    async fn time_changes(&self, n_changes: usize) -> Result<f64> {
        let tool = OperatorCli::new(self.operators[0], TOKEN)?;
        let mut longest: f64 = 0.0;
        for idx in 0..n_changes {
            let account =
                ClientAccount { rate_per_s: 10.0 + idx as f64, burst: 10.0, weight: None };
            let subtree =
                TeamSubtree { accounts: [("meteo".into(), account)].into(), ..Default::default() };
            let revision = self.gauge(&self.operators[0], "settings_revision").await? + 1.0;
            tool.apply(self.dir.path(), TEAM, &subtree)?;
            let accepted = Instant::now();
            self.wait_for("settings_revision", |value| revision <= value).await?;
            longest = longest.max(accepted.elapsed().as_secs_f64() * 1_000.0);
        }
        Ok(longest)
    }
}

fn daemon_settings(idx: usize, own: &[SocketAddr], platform: SocketAddr) -> serde_json::Value {
    json!({
        "name": format!("scale-{idx}"),
        "failure_domain": DOMAINS[idx % DOMAINS.len()],
        "caller_address": own[0],
        "local_address": own[1],
        "peer_address": own[2],
        "operator_address": own[3],
        "platform": format!("http://{platform}"),
        "peer_secret": "scale-bench-secret",
        "operators": [OperatorCli::credential(TOKEN)],
    })
}

/// Announces a backend server to its daemon for as long as the bench runs.
async fn announce(client: Client, local: SocketAddr, service: usize) {
    let body = json!({
        "service": format!("service-{service}"),
        "address": "127.0.0.1:9",
        "slots": 10,
        "state": "serving",
    });
    loop {
        // The daemon may not listen yet.
        let _ = client.post(format!("http://{local}/announce")).json(&body).send().await;
        tokio::time::sleep(ANNOUNCE_EVERY).await;
    }
}

/// Returns the processor time in seconds and the resident memory in bytes of a process.
fn process_usage(id: u32) -> Option<(f64, u64)> {
    let dir = Path::new("/proc").join(id.to_string());
    let stat = std::fs::read_to_string(dir.join("stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(dir.join("status")).ok()?;
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
    Some((ticks / TICKS_PER_S, kib * 1_024))
}

fn metric(text: &str, start: &str) -> Option<f64> {
    let start = start.replace("} ", "}");
    let line = text.lines().find_map(|it| it.strip_prefix(start.as_str()))?;
    line.trim().parse().ok()
}
