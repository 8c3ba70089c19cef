//! What the process tests share: the real programs on loopback, a caller, load beside a fault.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context, Result};
use ivytrail_fakes::{
    caller::{
        AttemptRequest, AttemptResult, CallKind, CallRecord, ConsistencyReport, LoadPhase,
        LoadPlan, LoadProgress, RetryMode, check_consistency, run_load, send_attempt,
    },
    cluster::{ClusterOptions, MeshCluster},
    mesh,
};
use tokio::{sync::Mutex, task::JoinHandle, time::Instant};

/// Generous end of a wait for a condition that comes within seconds.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Serialises the tests of one program, so that the meshes of several tests never run at once.
pub static MESH_TURN: Mutex<()> = Mutex::const_new(());

/// Starts the small mesh.
///
/// # Errors
///
/// Returns an error when the mesh is not ready in time.
pub async fn small_mesh() -> Result<MeshCluster> {
    MeshCluster::start(mesh::pair(), ClusterOptions::default()).await
}

/// A caller with one connection pool.
#[derive(Clone, Debug)]
pub struct TestCaller {
    client: reqwest::Client,
    secret: String,
}

impl TestCaller {
    /// Returns a caller that shows the key of the mesh's first client account.
    ///
    /// # Errors
    ///
    /// Returns an error when no HTTP client can be made or the mesh has no key.
    pub fn new(cluster: &MeshCluster) -> Result<TestCaller> {
        let secret = cluster.secrets.values().next().context("the mesh has keys")?;
        Ok(TestCaller {
            client: reqwest::Client::builder().no_proxy().build()?,
            secret: secret.clone(),
        })
    }

    /// Returns the same caller with another secret.
    #[must_use]
    pub fn with_secret(&self, secret: &str) -> TestCaller {
        TestCaller { client: self.client.clone(), secret: secret.to_string() }
    }

    /// Sends one request of `kind` to `entry`, with its serial as idempotency key where it is not idempotent.
    pub async fn send(
        &self,
        entry: SocketAddr,
        kind: &CallKind,
        serial: &str,
        headers: &[(&str, &str)],
    ) -> AttemptResult {
        let key = (!kind.idempotent).then(|| uuid::Uuid::now_v7().to_string());
        let request = AttemptRequest {
            entry,
            method: &kind.method,
            path: &kind.path,
            serial,
            secret: Some(&self.secret),
            idempotency_key: key.as_deref(),
            timeout: Duration::from_secs(10),
            headers,
        };
        send_attempt(&self.client, &request).await
    }

    /// Sends requests of `kind` to `entry` until one is answered whole.
    ///
    /// # Errors
    ///
    /// Returns an error when none is within [`PATIENCE`].
    pub async fn send_until_whole(&self, entry: SocketAddr, kind: &CallKind) -> Result<()> {
        let end = Instant::now() + PATIENCE;
        loop {
            let told = self.send(entry, kind, "until-whole", &[]).await;
            if told == AttemptResult::Complete {
                return Ok(());
            }
            anyhow::ensure!(Instant::now() < end, "{entry} does not answer whole: {told:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Load that runs beside a test's faults.
#[derive(Debug)]
pub struct BackgroundLoad {
    plan: Arc<LoadPlan>,
    task: JoinHandle<Result<Vec<CallRecord>>>,
}

impl BackgroundLoad {
    /// Starts the mesh's usual load with hard resends for `length`.
    pub fn start(cluster: &MeshCluster, length: Duration, seed: u64) -> BackgroundLoad {
        let phase = LoadPhase {
            name: "usual".to_string(),
            length_ms: length.as_millis() as u64,
            factor: 1.0,
            account_factors: BTreeMap::new(),
        };
        let plan = Arc::new(LoadPlan {
            seed,
            entries: cluster.entries(),
            accounts: cluster.mesh.account_loads(&cluster.secrets, RetryMode::Immediate),
            kinds: cluster.mesh.call_kinds(),
            phases: vec![phase],
            n_pools: 2,
            grace_ms: 1_000,
        });
        let task = tokio::spawn(run_load(Arc::clone(&plan), Arc::new(LoadProgress::default())));
        BackgroundLoad { plan, task }
    }

    /// Waits for the end of the load and compares what callers were told with what ran.
    ///
    /// # Errors
    ///
    /// Returns an error when the load failed or what ran can't be read.
    pub async fn judge(
        self,
        cluster: &MeshCluster,
    ) -> Result<(Vec<CallRecord>, ConsistencyReport)> {
        let records = self.task.await??;
        let verdict = check_consistency(&self.plan, &records, &cluster.effects()?);
        Ok((records, verdict))
    }
}

/// Returns the mesh's kind of request with `name`.
///
/// # Panics
///
/// Panics when there is none.
pub fn kind(cluster: &MeshCluster, name: &str) -> CallKind {
    let found = cluster.mesh.call_kinds().into_iter().find(|kind| kind.name == name);
    found.unwrap_or_else(|| panic!("the mesh has no kind {name}"))
}
