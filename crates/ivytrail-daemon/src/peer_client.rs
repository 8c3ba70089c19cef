//! Requests from this daemon to other daemons.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use ivytrail::{
    id::{AttemptId, MemberId},
    message::{
        AttemptHeader, AttemptReply, ControlMessage,
        frame::{decode_frame, encode_frame},
    },
};
use reqwest::Client;

use crate::metrics::DaemonMetrics;

/// Time limit for opening a connection to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit of a control exchange.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// What an attempt's request may take beyond the time that the call has left.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(20);
/// Time for which an idle connection is kept. Control traffic goes to ever other daemons, and each connection holds
/// some tens of kilobytes at both ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Idle connections kept to each daemon.
const MAX_IDLE_CONNECTIONS_PER_PEER: usize = 64;

/// Why a request to a guard brought no answer.
#[derive(Debug, Display)]
pub enum SendError {
    /// No connection could be opened, so nothing was sent.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// It may have arrived.
    #[display("lost: {_0}")]
    Lost(String),
}

/// Sends attempts, inquiries and control messages.
#[derive(Debug)]
pub struct PeerClient {
    local_member: MemberId,
    secret: String,
    pooled: Client,
    // An inquiry must not use a connection that may have gone silent, so it always opens a new one.
    unpooled: Client,
    metrics: Arc<DaemonMetrics>,
}

impl PeerClient {
    /// Returns a client that shows `secret` to other daemons.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP client can't be set up.
    pub fn new(local_member: MemberId, secret: String) -> anyhow::Result<PeerClient> {
        let pooled = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS_PER_PEER)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .tcp_nodelay(true)
            .no_proxy()
            .build()?;
        let unpooled = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(0)
            .tcp_nodelay(true)
            .no_proxy()
            .build()?;
        Ok(PeerClient {
            local_member,
            secret,
            pooled,
            unpooled,
            metrics: Arc::new(DaemonMetrics::new()),
        })
    }

    /// Returns the daemon that this client belongs to.
    pub fn local_member(&self) -> &MemberId {
        &self.local_member
    }

    /// Returns what this daemon counts.
    pub fn metrics(&self) -> &Arc<DaemonMetrics> {
        &self.metrics
    }

    /// Sends an attempt and returns the guard's answer with its body.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the attempt can have arrived.
    pub async fn send_attempt(
        &self,
        address: &str,
        header: &AttemptHeader,
        body: &Bytes,
        timeout: Duration,
    ) -> Result<(AttemptReply, Bytes), SendError> {
        let frame = encode_frame(header, body);
        self.exchange(&self.pooled, address, "attempt", frame, timeout + TIMEOUT_MARGIN).await
    }

    /// Asks on a new connection what became of an attempt.
    ///
    /// # Errors
    ///
    /// Returns an error when the guard gave no answer.
    pub async fn send_inquiry(
        &self,
        address: &str,
        attempt: &AttemptId,
        timeout: Duration,
    ) -> Result<(AttemptReply, Bytes), SendError> {
        let frame = encode_frame(attempt, &[]);
        self.exchange(&self.unpooled, address, "inquiry", frame, timeout + TIMEOUT_MARGIN).await
    }

    /// Tells a guard that an attempt is given up. A lost message costs the guard some wasted work, no more.
    pub async fn send_cancel(&self, address: &str, attempt: &AttemptId) {
        let frame = encode_frame(attempt, &[]);
        if let Err(cause) = self.post(&self.pooled, address, "cancel", frame, CONTROL_TIMEOUT).await
        {
            log::debug!("event=cancel_lost address={address} cause={:?}", cause.to_string());
        }
    }

    /// Sends control messages and returns the receiver with its replies.
    ///
    /// # Errors
    ///
    /// Returns an error when the receiver gave no answer.
    pub async fn send_control(
        &self,
        address: &str,
        messages: &[ControlMessage],
    ) -> Result<(MemberId, Vec<ControlMessage>), SendError> {
        let frame = encode_frame(&(&self.local_member, messages), &[]);
        let n_sent = frame.len();
        let bytes = self.post(&self.pooled, address, "control", frame, CONTROL_TIMEOUT).await?;
        self.metrics.record_control_traffic(n_sent, bytes.len());
        let (head, _) = decode_frame(bytes).map_err(|cause| SendError::Lost(cause.to_string()))?;
        Ok(head)
    }

    async fn exchange(
        &self,
        client: &Client,
        address: &str,
        path: &str,
        frame: Bytes,
        timeout: Duration,
    ) -> Result<(AttemptReply, Bytes), SendError> {
        let bytes = self.post(client, address, path, frame, timeout).await?;
        decode_frame(bytes).map_err(|cause| SendError::Lost(cause.to_string()))
    }

    async fn post(
        &self,
        client: &Client,
        address: &str,
        path: &str,
        frame: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, SendError> {
        let request = client
            .post(format!("http://{address}/{path}"))
            .bearer_auth(&self.secret)
            .timeout(timeout)
            .body(frame);
        let response = request.send().await.map_err(|cause| to_send_error(&cause))?;
        let response =
            response.error_for_status().map_err(|cause| SendError::Lost(cause.to_string()))?;
        response.bytes().await.map_err(|cause| SendError::Lost(cause.to_string()))
    }
}

fn to_send_error(cause: &reqwest::Error) -> SendError {
    if cause.is_connect() {
        SendError::NotSent(cause.to_string())
    } else {
        SendError::Lost(cause.to_string())
    }
}
