//! A whole mesh as plain processes on loopback: platform, daemons and backend servers.

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

/// Token of the operator.
const OPERATOR_TOKEN: &str = "operator-token-of-the-stand-ins";

/// Secret that the daemons share.
const PEER_SECRET: &str = "peer-secret-of-the-stand-ins";

/// Longest wait until every daemon serves every route.
const READY_LIMIT: Duration = Duration::from_secs(60);

/// Pause between two looks at something that is awaited.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of addresses of one node: four of its daemon and that of its backend server.
const ADDRESSES_PER_NODE: usize = 5;

/// How a cluster differs from the plain one.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Fields that are added to every daemon's settings.
    pub daemon_settings: BTreeMap<String, Value>,
    /// Varying share of the backend servers' service times.
    pub jitter: f64,
    /// Time for which a new backend server is slower.
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

/// One backend server with its daemon.
#[derive(Debug)]
pub struct MeshNode {
    /// Name of the instance.
    pub name: String,
    /// Service of its backend server.
    pub service: ServicePlan,
    /// Addresses of its daemon and its backend server.
    pub addresses: NodeAddresses,
    /// Its daemon, unless it was killed.
    pub daemon: Option<ChildProcess>,
    /// Its backend server, unless it was killed.
    pub backend: Option<ChildProcess>,
}

/// Addresses of a daemon and its backend server.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// The daemon's address for callers.
    pub caller: SocketAddr,
    /// The daemon's address for its own backend server.
    pub local: SocketAddr,
    /// The daemon's address for other daemons.
    pub peer: SocketAddr,
    /// The daemon's address for operators.
    pub operator: SocketAddr,
    /// The backend server's address.
    pub backend: SocketAddr,
}

/// A mesh that runs until it is dropped.
#[derive(Debug)]
pub struct MeshCluster {
    /// The mesh.
    pub mesh: MeshPlan,
    /// Its nodes.
    pub nodes: Vec<MeshNode>,
    /// Secrets of the client accounts' keys, by account.
    pub secrets: BTreeMap<String, String>,
    platform_address: SocketAddr,
    // Processes are dropped before the directory that holds their logs.
    _platform: ChildProcess,
    options: ClusterOptions,
    dir: RunDirectory,
}

impl MeshCluster {
    /// Starts every process, declares the mesh's settings, issues a key to each client account and waits until every
    /// daemon serves every route.
    ///
    /// # Errors
    ///
    /// Returns an error when a program is missing or ends, or when the mesh is not ready in time.
    pub async fn start(mesh: MeshPlan, options: ClusterOptions) -> Result<MeshCluster> {
        let mut cluster = MeshCluster::start_processes(mesh, options)?;
        cluster.declare().await?;
        cluster.wait_ready().await?;
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
        let mut chunks = addresses[1..].chunks_exact(ADDRESSES_PER_NODE);
        for service in cluster.mesh.services.clone() {
            for idx in 0..service.n_upstreams {
                let chunk = chunks.next().context("addresses are counted from the services")?;
                cluster.add_node(&service, idx, chunk)?;
            }
        }
        Ok(cluster)
    }

    fn add_node(&mut self, service: &ServicePlan, idx: usize, chunk: &[SocketAddr]) -> Result<()> {
        let node = MeshNode {
            name: format!("{}-{}", service.name, idx + 1),
            service: service.clone(),
            addresses: NodeAddresses {
                caller: chunk[0],
                local: chunk[1],
                peer: chunk[2],
                operator: chunk[3],
                backend: chunk[4],
            },
            daemon: None,
            backend: None,
        };
        let domain = self.mesh.domains[idx % self.mesh.domains.len()].clone();
        self.write_settings(&node, &domain)?;
        self.nodes.push(node);
        let last = self.nodes.len() - 1;
        self.start_daemon(last)?;
        self.start_backend(last)
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

    /// Starts the daemon of the node at `idx`.
    ///
    /// # Errors
    ///
    /// Returns an error when it can't be started.
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
    /// Returns an error when it can't be started.
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
        let calls = &node.service.nested_calls;
        arguments.extend(calls.iter().map(|it| format!("--calls={} {}", it.method, it.path)));
        let program = process::program_path("fake-backend")?;
        let name = format!("{}-backend", node.name);
        let child = ChildProcess::start(&name, &program, &arguments, self.dir.path())?;
        self.nodes[idx].backend = Some(child);
        Ok(())
    }

    /// Kills the daemon and the backend server of the node at `idx` at once.
    ///
    /// # Errors
    ///
    /// Returns an error when one of them can't be killed.
    pub fn kill_node(&mut self, idx: usize) -> Result<()> {
        let node = &mut self.nodes[idx];
        for mut child in node.daemon.take().into_iter().chain(node.backend.take()) {
            child.kill()?;
        }
        Ok(())
    }

    /// Returns the index of the first node whose backend server runs `service`.
    pub fn node_of(&self, service: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.service.name == service)
    }

    /// Returns the callers' addresses of all daemons that were not killed.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let alive = self.nodes.iter().filter(|node| node.daemon.is_some());
        alive.map(|node| node.addresses.caller).collect()
    }

    /// Returns the operators' tool, talking to the first daemon that was not killed.
    ///
    /// # Errors
    ///
    /// Returns an error when the tool has not been built or no daemon is left.
    pub fn operator_cli(&self) -> Result<OperatorCli> {
        let node =
            self.nodes.iter().find(|node| node.daemon.is_some()).context("no daemon is left")?;
        OperatorCli::new(node.addresses.operator, OPERATOR_TOKEN)
    }

    /// Returns the directory with the processes' logs.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Replaces the platform's faults.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform doesn't answer.
    pub async fn set_faults(&self, faults: &PlatformFaults) -> Result<()> {
        let url = format!("http://{}/faults", self.platform_address);
        reqwest::Client::new().post(url).json(faults).send().await?.error_for_status()?;
        Ok(())
    }

    /// Changes the behaviour of every backend server of `service`.
    ///
    /// # Errors
    ///
    /// Returns an error when one of them doesn't answer.
    pub async fn set_control(&self, service: &str, control: &ServerControl) -> Result<()> {
        let client = reqwest::Client::new();
        for node in
            self.nodes.iter().filter(|it| it.service.name == service && it.backend.is_some())
        {
            let url = format!("http://{}/control", node.addresses.backend);
            client.post(url).json(control).send().await?.error_for_status()?;
        }
        Ok(())
    }

    /// Returns what took effect at all backend servers, also at those that were killed.
    ///
    /// # Errors
    ///
    /// Returns an error when a file can't be read.
    pub fn effects(&self) -> Result<EffectCounts> {
        let mut effects = EffectCounts::default();
        for node in &self.nodes {
            effects.add_file(&node.service.name, &self.effects_path(node))?;
        }
        Ok(effects)
    }

    /// Returns the logs of all backend servers that answer.
    pub async fn run_logs(&self) -> Vec<RunLog> {
        let client = reqwest::Client::new();
        let mut logs = Vec::new();
        for node in self.nodes.iter().filter(|node| node.backend.is_some()) {
            let url = format!("http://{}/control/runs", node.addresses.backend);
            let answer = client.get(url).timeout(Duration::from_secs(10)).send().await;
            let Ok(answer) = answer else { continue };
            logs.extend(answer.json::<RunLog>().await.ok());
        }
        logs
    }

    async fn declare(&mut self) -> Result<()> {
        let tool = self.operator_cli()?;
        let subtree = self.mesh.subtree();
        let end = Instant::now() + READY_LIMIT;
        // The first tries meet a daemon that is still starting.
        while let Err(cause) = tool.apply(self.dir.path(), &self.mesh.team, &subtree) {
            anyhow::ensure!(Instant::now() < end, "settings are not accepted: {cause:#}");
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        for account in &self.mesh.accounts {
            let key = tool.issue_key(&initial_key_name(&account.name), &account.name)?;
            self.secrets.insert(account.name.clone(), key.secret);
        }
        Ok(())
    }

    async fn wait_ready(&self) -> Result<()> {
        let client = reqwest::Client::new();
        let end = Instant::now() + READY_LIMIT;
        for entry in self.entries() {
            for kind in &self.mesh.call_kinds() {
                while let Some(problem) = self.probe(&client, entry, kind).await {
                    anyhow::ensure!(
                        Instant::now() < end,
                        "{entry} does not serve {}: {problem:?}",
                        kind.path
                    );
                    tokio::time::sleep(LOOK_INTERVAL).await;
                }
            }
        }
        Ok(())
    }

    /// Sends one request and returns what it ended with, unless it was answered whole.
    async fn probe(
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
        let end = send_attempt(client, &request).await;
        (end != AttemptResult::Complete).then_some(end)
    }

    fn settings_path(&self, node: &MeshNode) -> PathBuf {
        self.dir.path().join(format!("{}.json", node.name))
    }

    fn effects_path(&self, node: &MeshNode) -> PathBuf {
        self.dir.path().join(format!("{}.effects", node.name))
    }
}

/// Returns the name of the key that a client account gets at the start.
pub fn initial_key_name(account: &str) -> String {
    format!("{account}-1")
}
