//! HTTP client for requests to other daemons.

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

/// Timeout for opening a connection to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a request with control messages, or of a cancellation.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that a request with an attempt or an inquiry may take in addition to the caller's timeout.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(20);
/// Time after which an idle connection is closed. The destinations of control traffic keep changing, and each open
/// connection holds some tens of kilobytes at both ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of idle connections to each daemon.
const MAX_IDLE_CONNECTIONS_PER_PEER: usize = 64;

/// Error of a request to another daemon.
#[derive(Debug, Display)]
pub enum SendError {
    /// No connection could be opened, so nothing was sent.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The request may have arrived, but there is no valid response.
    #[display("lost: {_0}")]
    Lost(String),
}

/// Sends attempts, inquiries and control messages.
#[derive(Debug)]
pub struct PeerClient {
    local_member: MemberId,
    secret: String,
    pooled: Client,
    // Used for inquiries, which always open a new connection because a pooled one may be dead.
    unpooled: Client,
    metrics: Arc<DaemonMetrics>,
}

impl PeerClient {
    /// Creates a client that sends `secret` as its bearer token to other daemons.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be set up.
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

    /// Returns the member identifier of this daemon.
    pub fn local_member(&self) -> &MemberId {
        &self.local_member
    }

    /// Returns the metrics of this daemon.
    pub fn metrics(&self) -> &Arc<DaemonMetrics> {
        &self.metrics
    }

    /// Sends an attempt to a guard and returns its reply and the response body.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid reply; its variant states whether the attempt can have arrived.
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

    /// Queries the status of an attempt over a new connection and returns the guard's reply and the response body.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid reply.
    pub async fn send_inquiry(
        &self,
        address: &str,
        attempt: &AttemptId,
        timeout: Duration,
    ) -> Result<(AttemptReply, Bytes), SendError> {
        let frame = encode_frame(attempt, &[]);
        self.exchange(&self.unpooled, address, "inquiry", frame, timeout + TIMEOUT_MARGIN).await
    }

    /// Cancels an attempt at a guard. A failure is only logged: it costs the guard some wasted work and nothing else.
    pub async fn send_cancel(&self, address: &str, attempt: &AttemptId) {
        let frame = encode_frame(attempt, &[]);
        if let Err(cause) = self.post(&self.pooled, address, "cancel", frame, CONTROL_TIMEOUT).await
        {
            log::debug!("event=cancel_lost address={address} cause={:?}", cause.to_string());
        }
    }

    /// Sends control messages and returns the receiver's member identifier and its replies.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid response.
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
