//! Bench of the control plane: resource usage and traffic per daemon as the number of daemons grows, with real daemons
//! on loopback addresses.
//!
//! There are no backend servers. The bench announces one to each daemon, 20 per service, so membership, rings, quotas
//! and settings operate as in a mesh without calls.

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

/// Daemons per service, equal to the average at the target size of a mesh.
const DAEMONS_PER_SERVICE: usize = 20;
/// Failure domains, assigned to the daemons round-robin.
const DOMAINS: [&str; 3] = ["kolkata", "durgapur", "siliguri"];
/// Bearer token of the operator.
const OPERATOR_TOKEN: &str = "scale-operator";
/// Team whose settings subtree is changed.
const TEAM: &str = "scale";
/// Interval between two announcements of a backend server.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between two reads of a metric that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout until membership is complete on all daemons, and until a change is in force on all daemons.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
/// Unit of the CPU times in `/proc/<pid>/stat`, in ticks per second.
const TICKS_PER_S: f64 = 100.0;

/// Results for one number of daemons.
#[derive(Clone, Copy, Debug, Default)]
pub struct ScaleFigures {
    /// Time from the start until every daemon knew all others, in seconds.
    pub membership_convergence_s: f64,
    /// Control traffic sent per daemon, in bytes of message bodies per second, on average.
    pub control_bytes_per_s: f64,
    /// Control traffic sent by the daemon that sent most, in bytes of message bodies per second.
    pub max_control_bytes_per_s: f64,
    /// CPU usage per daemon as a share of one core, on average.
    pub core_share: f64,
    /// Highest resident set size of a daemon, in bytes.
    pub max_memory_bytes: u64,
    /// Table reads per second by all daemons.
    pub table_reads_per_s: f64,
    /// Table writes per second by all daemons.
    pub table_writes_per_s: f64,
    /// Maximum time from the acceptance of a change until it was in force on every daemon, in milliseconds.
    pub max_in_force_ms: f64,
}

/// Running daemons, which are killed on drop.
struct DaemonFleet {
    daemons: Vec<ChildProcess>,
    operator_addresses: Vec<SocketAddr>,
    platform: PlatformFake,
    client: Client,
    // Dropped after the daemons, which write their logs there.
    dir: tempdir::ScaleDir,
}

mod tempdir {
    use std::path::{Path, PathBuf};

    /// Directory of one run, removed on drop.
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
            // Files that can't be removed are left to the system's cleanup of temporary files.
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Starts `n_daemons` daemons, measures their steady state for `length`, then times `n_changes` settings changes.
///
/// # Errors
///
/// Returns an error if a program has not been built, a daemon exits, or a wait times out.
pub async fn measure_scale(
    n_daemons: usize,
    length: Duration,
    n_changes: usize,
) -> Result<ScaleFigures> {
    let started_at = Instant::now();
    let fleet = DaemonFleet::start(n_daemons).await?;
    fleet.wait_for_metric("members", |value| n_daemons as f64 <= value).await?;
    let membership_convergence_s = started_at.elapsed().as_secs_f64();
    let before = fleet.sample().await?;
    tokio::time::sleep(length).await;
    let after = fleet.sample().await?;
    let length_s = length.as_secs_f64();
    let bytes_per_s = before
        .control_bytes_sent
        .iter()
        .zip(&after.control_bytes_sent)
        .map(|(before, after)| (after - before) / length_s);
    let bytes_per_s: Vec<f64> = bytes_per_s.collect();
    let max_in_force_ms = fleet.measure_changes(n_changes).await?;
    Ok(ScaleFigures {
        membership_convergence_s,
        control_bytes_per_s: bytes_per_s.iter().sum::<f64>() / n_daemons as f64,
        max_control_bytes_per_s: bytes_per_s.iter().copied().fold(0.0, f64::max),
        core_share: (after.cpu_s - before.cpu_s) / length_s / n_daemons as f64,
        max_memory_bytes: after.max_memory_bytes,
        table_reads_per_s: (after.table_reads - before.table_reads) as f64 / length_s,
        table_writes_per_s: (after.table_writes - before.table_writes) as f64 / length_s,
        max_in_force_ms,
    })
}

/// Metrics of all daemons at one time.
struct FleetSample {
    control_bytes_sent: Vec<f64>,
    cpu_s: f64,
    max_memory_bytes: u64,
    table_reads: u64,
    table_writes: u64,
}

impl DaemonFleet {
    async fn start(n_daemons: usize) -> Result<DaemonFleet> {
        let dir = tempdir::ScaleDir::new()?;
        let program = process::program_path("ivytraild")?;
        let addresses = process::free_addresses(4 * n_daemons + 1)?;
        let platform = PlatformFake::start(addresses[0], PlatformRates::default()).await?;
        let client = Client::new();
        let mut daemons = Vec::new();
        let mut operator_addresses = Vec::new();
        for (idx, daemon_addresses) in addresses[1..].chunks(4).enumerate() {
            let settings = daemon_settings(idx, daemon_addresses, platform.address());
            let path = dir.path().join(format!("{idx}.json"));
            std::fs::write(&path, settings.to_string())?;
            let arguments = ["--settings".to_string(), path.to_string_lossy().into_owned()];
            daemons.push(ChildProcess::start(&idx.to_string(), &program, &arguments, dir.path())?);
            operator_addresses.push(daemon_addresses[3]);
            tokio::spawn(announce_server(
                client.clone(),
                daemon_addresses[1],
                idx / DAEMONS_PER_SERVICE,
            ));
        }
        Ok(DaemonFleet { daemons, operator_addresses, platform, client, dir })
    }

    /// Waits until the value of a metric satisfies `is_met` on every daemon.
    async fn wait_for_metric<F>(&self, name: &str, is_met: F) -> Result<()>
    where
        F: Fn(f64) -> bool,
    {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        for address in &self.operator_addresses {
            while !self.metric_value(address, name).await.is_ok_and(&is_met) {
                anyhow::ensure!(
                    Instant::now() < deadline,
                    "timeout waiting for metric {name} of {address}"
                );
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn metric_value(&self, address: &SocketAddr, name: &str) -> Result<f64> {
        let url = format!("http://{address}/metrics");
        let text = self.client.get(url).bearer_auth(OPERATOR_TOKEN).send().await?.text().await?;
        parse_metric(&text, &format!("ivytrail_{name} "))
            .with_context(|| format!("metric {name} not found"))
    }

    async fn sample(&self) -> Result<FleetSample> {
        let mut control_bytes_sent = Vec::new();
        for address in &self.operator_addresses {
            control_bytes_sent.push(
                self.metric_value(address, "control_traffic_bytes_total{direction=\"sent\"}")
                    .await?,
            );
        }
        let usages = self.daemons.iter().filter_map(|daemon| process_usage(daemon.id()));
        let usages: Vec<(f64, u64)> = usages.collect();
        anyhow::ensure!(usages.len() == self.daemons.len(), "a daemon has exited");
        let counts = self.platform.counts();
        Ok(FleetSample {
            control_bytes_sent,
            cpu_s: usages.iter().map(|(cpu_s, _)| cpu_s).sum(),
            max_memory_bytes: usages.iter().map(|(_, memory)| *memory).max().unwrap_or(0),
            table_reads: counts.reads,
            table_writes: counts.writes,
        })
    }

    /// Makes `n_changes` settings changes in sequence and returns the maximum time until one was in force on every
    /// daemon, in milliseconds.
    async fn measure_changes(&self, n_changes: usize) -> Result<f64> {
        let cli = OperatorCli::new(self.operator_addresses[0], OPERATOR_TOKEN)?;
        let mut max_ms: f64 = 0.0;
        for idx in 0..n_changes {
            let account =
                ClientAccount { rate_per_s: 10.0 + idx as f64, burst: 10.0, weight: None };
            let subtree =
                TeamSubtree { accounts: [("meteo".into(), account)].into(), ..Default::default() };
            let revision =
                self.metric_value(&self.operator_addresses[0], "settings_revision").await? + 1.0;
            cli.apply(self.dir.path(), TEAM, &subtree)?;
            let accepted_at = Instant::now();
            self.wait_for_metric("settings_revision", |value| revision <= value).await?;
            max_ms = max_ms.max(accepted_at.elapsed().as_secs_f64() * 1_000.0);
        }
        Ok(max_ms)
    }
}

fn daemon_settings(
    idx: usize,
    addresses: &[SocketAddr],
    platform: SocketAddr,
) -> serde_json::Value {
    json!({
        "name": format!("scale-{idx}"),
        "failure_domain": DOMAINS[idx % DOMAINS.len()],
        "caller_address": addresses[0],
        "local_address": addresses[1],
        "peer_address": addresses[2],
        "operator_address": addresses[3],
        "platform": format!("http://{platform}"),
        "peer_secret": "scale-bench-secret",
        "operators": [OperatorCli::credential(OPERATOR_TOKEN)],
    })
}

/// Announces a backend server to the daemon at `local` at every [`ANNOUNCE_INTERVAL`] and never returns.
async fn announce_server(client: Client, local: SocketAddr, service: usize) {
    let body = json!({
        "service": format!("service-{service}"),
        "address": "127.0.0.1:9",
        "slots": 10,
        "state": "serving",
    });
    loop {
        // Errors are ignored: the daemon may not be listening yet, and the next announcement follows.
        let _ = client.post(format!("http://{local}/announce")).json(&body).send().await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Returns the CPU time in seconds and the resident set size in bytes of a process, or `None` if it has exited.
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

/// Returns the value of the first line in `text` that starts with `prefix`: a metric name, labels if any, and a space.
fn parse_metric(text: &str, prefix: &str) -> Option<f64> {
    let prefix = prefix.replace("} ", "}");
    let line = text.lines().find_map(|it| it.strip_prefix(prefix.as_str()))?;
    line.trim().parse().ok()
}
