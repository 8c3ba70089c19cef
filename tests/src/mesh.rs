//! Helpers for process tests: a mesh of real programs on loopback, a test caller, and background load during faults.

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

/// Timeout of a wait for a condition that normally holds within seconds.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// Serialises the tests of one test binary, so that only one mesh runs at a time.
pub static MESH_LOCK: Mutex<()> = Mutex::const_new(());

/// Starts the smallest mesh with nested calls: two services with two backend servers each.
///
/// # Errors
///
/// Returns an error when a program can't be started or the mesh is not ready in time.
pub async fn start_small_mesh() -> Result<MeshCluster> {
    MeshCluster::start(mesh::pair(), ClusterOptions::default()).await
}

/// A test caller with one connection pool and one API key.
#[derive(Clone, Debug)]
pub struct TestCaller {
    client: reqwest::Client,
    secret: String,
}

impl TestCaller {
    /// Creates a caller that authenticates with the API key of the mesh's first client account.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP client can't be built or the mesh has no API keys.
    pub fn new(cluster: &MeshCluster) -> Result<TestCaller> {
        let secret = cluster.secrets.values().next().context("the mesh has no API keys")?;
        Ok(TestCaller {
            client: reqwest::Client::builder().no_proxy().build()?,
            secret: secret.clone(),
        })
    }

    /// Returns a caller that shares this connection pool but sends another API key.
    #[must_use]
    pub fn with_secret(&self, secret: &str) -> TestCaller {
        TestCaller { client: self.client.clone(), secret: secret.to_string() }
    }

    /// Sends one request of `kind` to `entry`, with a new idempotency key when the kind is not idempotent.
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

    /// Sends requests of `kind` to `entry` until one receives a complete response.
    ///
    /// # Errors
    ///
    /// Returns an error when no response is complete within [`CONDITION_TIMEOUT`].
    pub async fn send_until_complete(&self, entry: SocketAddr, kind: &CallKind) -> Result<()> {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        loop {
            let result = self.send(entry, kind, "until-complete", &[]).await;
            if result == AttemptResult::Complete {
                return Ok(());
            }
            anyhow::ensure!(
                Instant::now() < deadline,
                "{entry} sent no complete response: {result:?}"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Load that runs in the background while a test injects faults.
#[derive(Debug)]
pub struct BackgroundLoad {
    plan: Arc<LoadPlan>,
    task: JoinHandle<Result<Vec<CallRecord>>>,
}

impl BackgroundLoad {
    /// Starts the mesh's regular load for `duration`, with immediate retries.
    pub fn start(cluster: &MeshCluster, duration: Duration, seed: u64) -> BackgroundLoad {
        let phase = LoadPhase {
            name: "usual".to_string(),
            length_ms: duration.as_millis() as u64,
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

    /// Waits for the load to finish and checks the responses that callers received against the recorded effects.
    ///
    /// # Errors
    ///
    /// Returns an error when the load failed or the recorded effects can't be read.
    pub async fn finish_and_check(
        self,
        cluster: &MeshCluster,
    ) -> Result<(Vec<CallRecord>, ConsistencyReport)> {
        let records = self.task.await??;
        let report = check_consistency(&self.plan, &records, &cluster.effects()?);
        Ok((records, report))
    }
}

/// Returns the call kind `name` of the mesh.
///
/// # Panics
///
/// Panics when the mesh has no such kind.
pub fn call_kind(cluster: &MeshCluster, name: &str) -> CallKind {
    let found = cluster.mesh.call_kinds().into_iter().find(|kind| kind.name == name);
    found.unwrap_or_else(|| panic!("the mesh has no call kind {name}"))
}
