//! Closed-loop latency probes of one request, sent directly to a backend server and through two daemons.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, Result};
use tokio::{task::JoinSet, time::Instant};

use crate::{
    caller::{AttemptRequest, AttemptResult, CallKind, LatencyHistogram, send_attempt},
    cluster::MeshCluster,
};

/// Warm-up requests per connection, whose latencies are discarded.
const N_WARMUP_REQUESTS: usize = 10;

/// Timeout of one request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Concurrency and size of a probe.
#[derive(Clone, Copy, Debug)]
pub struct ProbePlan {
    /// Concurrent connections, each with one request at a time.
    pub n_connections: usize,
    /// Measured requests over all connections, rounded up to a multiple of `n_connections`.
    pub n_requests: usize,
}

/// Measures the latency of one route with and without daemons in between.
#[derive(Clone, Debug)]
pub struct LatencyProbe {
    kind: CallKind,
    secret: String,
    entry: SocketAddr,
    backend: SocketAddr,
}

impl LatencyProbe {
    /// Returns a probe for the first idempotent route of the mesh without nested calls. Its entry is another node's
    /// daemon, if there is one.
    pub fn for_first_read_route(cluster: &MeshCluster) -> Option<LatencyProbe> {
        let kinds = cluster.mesh.call_kinds();
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

    /// Measures requests sent directly to the backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if a request does not complete.
    pub async fn measure_direct(&self, plan: ProbePlan) -> Result<LatencyHistogram> {
        self.probe(plan, self.backend, None).await
    }

    /// Measures requests sent to the entry daemon, which forwards them to the backend server's daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if a request does not complete.
    pub async fn measure_via_daemons(&self, plan: ProbePlan) -> Result<LatencyHistogram> {
        self.probe(plan, self.entry, Some(self.secret.clone())).await
    }

    async fn probe(
        &self,
        plan: ProbePlan,
        target: SocketAddr,
        secret: Option<String>,
    ) -> Result<LatencyHistogram> {
        let requests_per_connection = plan.n_requests.div_ceil(plan.n_connections.max(1));
        let mut tasks = JoinSet::new();
        for connection in 0..plan.n_connections {
            let probe = ConnectionProbe {
                kind: self.kind.clone(),
                target,
                secret: secret.clone(),
                client: reqwest::Client::builder().no_proxy().build()?,
                name: format!("probe-{connection}"),
            };
            tasks.spawn(async move { probe.run(requests_per_connection).await });
        }
        let mut histogram = LatencyHistogram::default();
        while let Some(latencies) = tasks.join_next().await {
            latencies??.into_iter().for_each(|latency| histogram.record(latency));
        }
        Ok(histogram)
    }
}

/// Sends the requests of one connection.
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
        let started_at = Instant::now();
        let result = send_attempt(&self.client, &request).await;
        let latency = (result == AttemptResult::Complete).then(|| started_at.elapsed());
        latency.with_context(|| format!("probe request to {} failed: {result:?}", self.kind.path))
    }
}
