//! Closed-loop probes: the same request straight to a backend server and through two daemons.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, Result};
use tokio::{task::JoinSet, time::Instant};

use crate::{
    caller::{AttemptRequest, AttemptResult, CallKind, LatencyHistogram, send_attempt},
    cluster::MeshCluster,
};

/// Requests that each connection sends before its latencies count.
const N_WARMUP_REQUESTS: usize = 10;

/// Longest wait for an answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// How a probe is sent.
#[derive(Clone, Copy, Debug)]
pub struct ProbePlan {
    /// Connections that each send one request after the other.
    pub n_connections: usize,
    /// Requests of all connections together.
    pub n_requests: usize,
}

/// A request with two ways to its backend server.
#[derive(Clone, Debug)]
pub struct LatencyProbe {
    kind: CallKind,
    secret: String,
    entry: SocketAddr,
    backend: SocketAddr,
}

impl LatencyProbe {
    /// Returns the first read route of the mesh that needs no nested call, by way of another node's daemon.
    pub fn for_first_read_route(cluster: &MeshCluster) -> Option<LatencyProbe> {
        let kinds = cluster.mesh.kinds();
        let kind = kinds.iter().find(|kind| kind.idempotent && kind.effects.len() == 1)?;
        let target = cluster.nodes.iter().find(|it| it.service.name == kind.effects[0])?;
        let other = cluster.nodes.iter().find(|it| it.service.name != kind.effects[0]);
        Some(LatencyProbe {
            kind: kind.clone(),
            secret: cluster.secrets.values().next()?.clone(),
            entry: other.unwrap_or(target).addresses.caller,
            backend: target.addresses.backend,
        })
    }

    /// Measures requests straight to the backend server.
    ///
    /// # Errors
    ///
    /// Returns an error when a request is not answered whole.
    pub async fn measure_direct(&self, plan: ProbePlan) -> Result<LatencyHistogram> {
        self.probe(plan, self.backend, None).await
    }

    /// Measures requests through a daemon that is not beside the backend server.
    ///
    /// # Errors
    ///
    /// Returns an error when a request is not answered whole.
    pub async fn measure_via_daemons(&self, plan: ProbePlan) -> Result<LatencyHistogram> {
        self.probe(plan, self.entry, Some(self.secret.clone())).await
    }

    async fn probe(
        &self,
        plan: ProbePlan,
        target: SocketAddr,
        secret: Option<String>,
    ) -> Result<LatencyHistogram> {
        let n_each = plan.n_requests.div_ceil(plan.n_connections.max(1));
        let mut tasks = JoinSet::new();
        for connection in 0..plan.n_connections {
            let probe = ConnectionProbe {
                kind: self.kind.clone(),
                target,
                secret: secret.clone(),
                client: reqwest::Client::builder().no_proxy().build()?,
                name: format!("probe-{connection}"),
            };
            tasks.spawn(async move { probe.run(n_each).await });
        }
        let mut histogram = LatencyHistogram::default();
        while let Some(latencies) = tasks.join_next().await {
            latencies??.into_iter().for_each(|latency| histogram.record(latency));
        }
        Ok(histogram)
    }
}

/// One connection's requests.
struct ConnectionProbe {
    kind: CallKind,
    target: SocketAddr,
    secret: Option<String>,
    client: reqwest::Client,
    name: String,
}

impl ConnectionProbe {
    async fn run(&self, n_requests: usize) -> Result<Vec<Duration>> {
        let mut latencies = Vec::with_capacity(n_requests);
        for idx in 0..N_WARMUP_REQUESTS + n_requests {
            let latency = self.send(&format!("{}-{idx}", self.name)).await?;
            latencies.extend((N_WARMUP_REQUESTS <= idx).then_some(latency));
        }
        Ok(latencies)
    }

    async fn send(&self, serial: &str) -> Result<Duration> {
        let request = AttemptRequest {
            entry: self.target,
            method: &self.kind.method,
            path: &self.kind.path,
            serial,
            secret: self.secret.as_deref(),
            idempotency_key: None,
            timeout: RESPONSE_TIMEOUT,
            headers: &[("x-no-work", "1")],
        };
        let begin = Instant::now();
        let end = send_attempt(&self.client, &request).await;
        let complete = (end == AttemptResult::Complete).then(|| begin.elapsed());
        complete.with_context(|| format!("a probe of {} ended with {end:?}", self.kind.path))
    }
}
