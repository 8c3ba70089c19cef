//! Mesh of separate processes on loopback addresses: the fake platform, daemons and fake backend servers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use anyhow::{Context, Result};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::{
    backend::{RunLog, ServerControl},
    caller::{AttemptRequest, AttemptResult, CallKind, EffectCounts, send_attempt},
    mesh::{MeshPlan, ServicePlan},
    operator::OperatorCli,
    platform::PlatformFaults,
    process::{self, ChildProcess, RunDirectory},
};

/// Bearer token of the operator.
const OPERATOR_TOKEN: &str = "operator-token-of-the-stand-ins";

/// Shared secret that authenticates the daemons to each other.
const PEER_SECRET: &str = "peer-secret-of-the-stand-ins";

/// Timeout until the settings are accepted, and again until every daemon serves every route.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of addresses per node: four of its daemon and one of its backend server.
const ADDRESSES_PER_NODE: usize = 5;

/// Options of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Fields that are added to the settings file of every daemon. They override generated fields of the same name.
    pub daemon_settings: BTreeMap<String, Value>,
    /// Exponentially distributed share of each backend server's service time, from 0 to 1.
    pub jitter: f64,
    /// Warm-up time of a backend server after startup, during which it is slower.
    pub warmup_time: Duration,
}

impl Default for ClusterOptions {
    fn default() -> ClusterOptions {
        ClusterOptions {
            daemon_settings: BTreeMap::new(),
            jitter: 0.5,
            warmup_time: Duration::ZERO,
        }
    }
}

/// Backend server and the daemon that guards it.
#[derive(Debug)]
pub struct MeshNode {
    /// Name of the instance, which is the service name with a number, starting at 1.
    pub name: String,
    /// Service that the backend server runs.
    pub service: ServicePlan,
    /// Addresses of the daemon and the backend server.
    pub addresses: NodeAddresses,
    /// Daemon process, or `None` after it was killed.
    pub daemon: Option<ChildProcess>,
    /// Backend server process, or `None` after it was killed.
    pub backend: Option<ChildProcess>,
}

/// Listening addresses of a daemon and its backend server.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// Daemon address for callers.
    pub caller: SocketAddr,
    /// Daemon address for its local backend server.
    pub local: SocketAddr,
    /// Daemon address for other daemons.
    pub peer: SocketAddr,
    /// Daemon address for operators.
    pub operator: SocketAddr,
    /// Backend server address.
    pub backend: SocketAddr,
}

/// Running mesh, whose processes are killed on drop.
#[derive(Debug)]
pub struct MeshCluster {
    /// Plan from which the cluster was started.
    pub mesh: MeshPlan,
    /// Nodes, grouped by service in the order of the plan.
    pub nodes: Vec<MeshNode>,
    /// Key secrets by client account name.
    pub secrets: BTreeMap<String, String>,
    platform_address: SocketAddr,
    // Fields are dropped in order: the processes end before their log directory is removed.
    _platform: ChildProcess,
    options: ClusterOptions,
    dir: RunDirectory,
}

impl MeshCluster {
    /// Starts all processes, applies the settings of the mesh, issues a key to each client account and waits until
    /// every daemon serves every route.
    ///
    /// # Errors
    ///
    /// Returns an error if a program has not been built or can't be started, the settings are not accepted, or the
    /// mesh is not ready before the timeout.
    pub async fn start(mesh: MeshPlan, options: ClusterOptions) -> Result<MeshCluster> {
        let mut cluster = MeshCluster::start_processes(mesh, options)?;
        cluster.apply_settings().await?;
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    fn start_processes(mesh: MeshPlan, options: ClusterOptions) -> Result<MeshCluster> {
        let dir = RunDirectory::create("ivytrail")?;
        let n_nodes: usize = mesh.services.iter().map(|service| service.n_upstreams).sum();
        let addresses = process::free_addresses(1 + n_nodes * ADDRESSES_PER_NODE)?;
        let platform_address = addresses[0];
        let arguments = ["--address".to_string(), platform_address.to_string()];
        let program = process::program_path("fake-platform")?;
        let platform = ChildProcess::start("platform", &program, &arguments, dir.path())?;
        let mut cluster = MeshCluster {
            nodes: Vec::with_capacity(n_nodes),
            secrets: BTreeMap::new(),
            platform_address,
            _platform: platform,
            options,
            dir,
            mesh,
        };
        let mut address_chunks = addresses[1..].chunks_exact(ADDRESSES_PER_NODE);
        for service in cluster.mesh.services.clone() {
            for idx in 0..service.n_upstreams {
                let node_addresses =
                    address_chunks.next().context("fewer free addresses than nodes")?;
                cluster.add_node(&service, idx, node_addresses)?;
            }
        }
        Ok(cluster)
    }

    fn add_node(
        &mut self,
        service: &ServicePlan,
        idx: usize,
        node_addresses: &[SocketAddr],
    ) -> Result<()> {
        let node = MeshNode {
            name: format!("{}-{}", service.name, idx + 1),
            service: service.clone(),
            addresses: NodeAddresses {
                caller: node_addresses[0],
                local: node_addresses[1],
                peer: node_addresses[2],
                operator: node_addresses[3],
                backend: node_addresses[4],
            },
            daemon: None,
            backend: None,
        };
        let domain = self.mesh.domains[idx % self.mesh.domains.len()].clone();
        self.write_settings(&node, &domain)?;
        self.nodes.push(node);
        let node_idx = self.nodes.len() - 1;
        self.start_daemon(node_idx)?;
        self.start_backend(node_idx)
    }

    fn write_settings(&self, node: &MeshNode, domain: &str) -> Result<()> {
        let mut settings = json!({
            "name": node.name,
            "failure_domain": domain,
            "caller_address": node.addresses.caller,
            "local_address": node.addresses.local,
            "peer_address": node.addresses.peer,
            "operator_address": node.addresses.operator,
            "platform": format!("http://{}", self.platform_address),
            "peer_secret": PEER_SECRET,
            "operators": [OperatorCli::credential(OPERATOR_TOKEN)],
        });
        for (name, value) in &self.options.daemon_settings {
            settings[name] = value.clone();
        }
        std::fs::write(self.settings_path(node), serde_json::to_string_pretty(&settings)?)?;
        Ok(())
    }

    /// Starts the daemon of the node at `idx`, with the settings file written at the start of the cluster.
    ///
    /// # Errors
    ///
    /// Returns an error if the program has not been built or can't be started.
    ///
    /// # Panics
    ///
    /// Panics if `idx` is out of range.
    pub fn start_daemon(&mut self, idx: usize) -> Result<()> {
        let node = &self.nodes[idx];
        let settings = self.settings_path(node).to_string_lossy().into_owned();
        let arguments = ["--settings".to_string(), settings];
        let program = process::program_path("ivytraild")?;
        let name = format!("{}-daemon", node.name);
        let child = ChildProcess::start(&name, &program, &arguments, self.dir.path())?;
        self.nodes[idx].daemon = Some(child);
        Ok(())
    }

    /// Starts the backend server of the node at `idx`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program has not been built or can't be started.
    ///
    /// # Panics
    ///
    /// Panics if `idx` is out of range.
    pub fn start_backend(&mut self, idx: usize) -> Result<()> {
        let node = &self.nodes[idx];
        let mut arguments = vec![
            format!("--address={}", node.addresses.backend),
            format!("--daemon={}", node.addresses.local),
            format!("--service={}", node.service.name),
            format!("--slots={}", node.service.slots),
            format!("--service-time-ms={}", node.service.service_time_ms),
            format!("--jitter={}", self.options.jitter),
            format!("--cold-start-ms={}", self.options.warmup_time.as_millis()),
            format!("--effects-file={}", self.effects_path(node).display()),
        ];
        let nested_calls = &node.service.nested_calls;
        arguments.extend(
            nested_calls.iter().map(|call| format!("--calls={} {}", call.method, call.path)),
        );
        let program = process::program_path("fake-backend")?;
        let name = format!("{}-backend", node.name);
        let child = ChildProcess::start(&name, &program, &arguments, self.dir.path())?;
        self.nodes[idx].backend = Some(child);
        Ok(())
    }

    /// Kills the daemon of the node at `idx` and then its backend server, both with SIGKILL.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them can't be killed.
    ///
    /// # Panics
    ///
    /// Panics if `idx` is out of range.
    pub fn kill_node(&mut self, idx: usize) -> Result<()> {
        let node = &mut self.nodes[idx];
        for mut child in node.daemon.take().into_iter().chain(node.backend.take()) {
            child.kill()?;
        }
        Ok(())
    }

    /// Returns the index of the first node of `service`.
    pub fn node_of(&self, service: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.service.name == service)
    }

    /// Returns the caller addresses of all daemons that were not killed.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let running = self.nodes.iter().filter(|node| node.daemon.is_some());
        running.map(|node| node.addresses.caller).collect()
    }

    /// Returns a runner of the operator CLI that is connected to the first daemon that was not killed.
    ///
    /// # Errors
    ///
    /// Returns an error if the CLI has not been built or all daemons were killed.
    pub fn operator_cli(&self) -> Result<OperatorCli> {
        let node = self
            .nodes
            .iter()
            .find(|node| node.daemon.is_some())
            .context("all daemons were killed")?;
        OperatorCli::new(node.addresses.operator, OPERATOR_TOKEN)
    }

    /// Returns the directory with the settings, logs and effects files of the processes.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Replaces the injected faults of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached or rejects the request.
    pub async fn set_faults(&self, faults: &PlatformFaults) -> Result<()> {
        let url = format!("http://{}/faults", self.platform_address);
        reqwest::Client::new().post(url).json(faults).send().await?.error_for_status()?;
        Ok(())
    }

    /// Replaces the control settings of every running backend server of `service`.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them can't be reached or rejects the request.
    pub async fn set_control(&self, service: &str, control: &ServerControl) -> Result<()> {
        let client = reqwest::Client::new();
        for node in
            self.nodes.iter().filter(|node| node.service.name == service && node.backend.is_some())
        {
            let url = format!("http://{}/control", node.addresses.backend);
            client.post(url).json(control).send().await?.error_for_status()?;
        }
        Ok(())
    }

    /// Returns the effects of requests on all backend servers, including those that were killed.
    ///
    /// # Errors
    ///
    /// Returns an error if an effects file can't be read.
    pub fn effects(&self) -> Result<EffectCounts> {
        let mut effects = EffectCounts::default();
        for node in &self.nodes {
            effects.add_file(&node.service.name, &self.effects_path(node))?;
        }
        Ok(effects)
    }

    /// Returns the run logs of all backend servers that respond. Servers that don't are skipped.
    pub async fn run_logs(&self) -> Vec<RunLog> {
        let client = reqwest::Client::new();
        let mut logs = Vec::new();
        for node in self.nodes.iter().filter(|node| node.backend.is_some()) {
            let url = format!("http://{}/control/runs", node.addresses.backend);
            let response = client.get(url).timeout(Duration::from_secs(10)).send().await;
            let Ok(response) = response else { continue };
            logs.extend(response.json::<RunLog>().await.ok());
        }
        logs
    }

    async fn apply_settings(&mut self) -> Result<()> {
        let cli = self.operator_cli()?;
        let subtree = self.mesh.subtree();
        let deadline = Instant::now() + READY_TIMEOUT;
        // The first attempts fail while the daemon is still starting.
        while let Err(cause) = cli.apply(self.dir.path(), &self.mesh.team, &subtree) {
            anyhow::ensure!(Instant::now() < deadline, "settings were not accepted: {cause:#}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        for account in &self.mesh.accounts {
            let key = cli.issue_key(&initial_key_name(&account.name), &account.name)?;
            self.secrets.insert(account.name.clone(), key.secret);
        }
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let client = reqwest::Client::new();
        let deadline = Instant::now() + READY_TIMEOUT;
        for entry in self.entries() {
            for kind in &self.mesh.call_kinds() {
                while let Some(failure) = self.probe_route(&client, entry, kind).await {
                    anyhow::ensure!(
                        Instant::now() < deadline,
                        "daemon {entry} does not serve {}: {failure:?}",
                        kind.path
                    );
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        }
        Ok(())
    }

    /// Sends one request and returns its result, or `None` after a complete response.
    async fn probe_route(
        &self,
        client: &reqwest::Client,
        entry: SocketAddr,
        kind: &CallKind,
    ) -> Option<AttemptResult> {
        let key = (!kind.idempotent).then(|| uuid::Uuid::now_v7().to_string());
        let request = AttemptRequest {
            entry,
            method: &kind.method,
            path: &kind.path,
            serial: "probe",
            secret: self.secrets.values().next().map(String::as_str),
            idempotency_key: key.as_deref(),
            timeout: Duration::from_secs(2),
            headers: &[],
        };
        let result = send_attempt(client, &request).await;
        (result != AttemptResult::Complete).then_some(result)
    }

    fn settings_path(&self, node: &MeshNode) -> PathBuf {
        self.dir.path().join(format!("{}.json", node.name))
    }

    fn effects_path(&self, node: &MeshNode) -> PathBuf {
        self.dir.path().join(format!("{}.effects", node.name))
    }
}

/// Returns the name of the key that is issued to a client account when the cluster starts.
pub fn initial_key_name(account: &str) -> String {
    format!("{account}-1")
}
