//! HTTP client that runs requests at the local backend server.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use ivytrail::{
    id::CallToken,
    message::{AttemptHeader, is_hop_by_hop_header},
    reducer::RunEnd,
};
use parking_lot::RwLock;
use reqwest::{Client, Method, Response, StatusCode};

/// Request header with the token that authenticates nested calls.
pub const TOKEN_HEADER: &str = "ivytrail-token";
/// Request header with the time left until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "ivytrail-deadline-ms";
/// Request header with the identifier of the attempt, which the backend server echoes in its response.
pub const REQUEST_HEADER: &str = "ivytrail-request";
/// Response header with which a backend server reports that it refused a request before executing any of it.
pub const SHED_HEADER: &str = "ivytrail-shed";
/// Value of [`SHED_HEADER`] if the backend server itself refused the request; other values mean that a nested call was
/// refused.
const LOCAL_SHED: &str = "1";
/// Timeout for opening a connection to the backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of idle connections to the backend server.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// HTTP client of the local backend server.
#[derive(Debug)]
pub struct RunClient {
    client: Client,
    address: RwLock<Option<String>>,
    max_body_bytes: usize,
}

impl RunClient {
    /// Creates a client that accepts response bodies of up to `max_body_bytes`. It can't send requests until
    /// [`RunClient::set_address`] has been called.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be set up.
    pub fn new(max_body_bytes: usize) -> anyhow::Result<RunClient> {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .tcp_nodelay(true)
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .build()?;
        Ok(RunClient { client, address: RwLock::new(None), max_body_bytes })
    }

    /// Sets the address of the backend server, from its latest announcement.
    pub fn set_address(&self, address: &str) {
        let mut current = self.address.write();
        if current.as_deref() != Some(address) {
            *current = Some(address.to_string());
        }
    }

    /// Returns whether the backend server accepts a TCP connection before the connection timeout.
    pub async fn probe(&self) -> bool {
        let Some(address) = self.address.read().clone() else { return false };
        let connecting = tokio::net::TcpStream::connect(address);
        matches!(tokio::time::timeout(CONNECT_TIMEOUT, connecting).await, Ok(Ok(_)))
    }

    /// Sends a request to the backend server and returns the result of the run.
    pub async fn run(
        &self,
        header: &AttemptHeader,
        token: CallToken,
        time_left: Duration,
        body: Bytes,
    ) -> RunEnd {
        let Some(address) = self.address.read().clone() else { return RunEnd::NotSent };
        let Ok(method) = Method::from_bytes(header.method.as_bytes()) else {
            return RunEnd::NotSent;
        };
        let request_id = header.attempt.to_string();
        let mut request = self
            .client
            .request(method, format!("http://{address}{}", header.path))
            .timeout(time_left)
            .header(TOKEN_HEADER, format!("{:032x}", token.0))
            .header(DEADLINE_HEADER, time_left.as_millis().to_string())
            .header(REQUEST_HEADER, &request_id);
        for (name, value) in &header.headers {
            request = request.header(name, value);
        }
        match request.body(body).send().await {
            Ok(response) => read_response(response, &request_id, self.max_body_bytes).await,
            Err(cause) if cause.is_connect() => RunEnd::NotSent,
            Err(cause) if cause.is_timeout() => RunEnd::TimedOut,
            Err(_) => RunEnd::Broken,
        }
    }
}

async fn read_response(response: Response, request_id: &str, max_body_bytes: usize) -> RunEnd {
    let status = response.status();
    let headers = response.headers().clone();
    let header_text = |name: &str| headers.get(name).and_then(|it| it.to_str().ok());
    // An identifier of another request means that this is a late response to an earlier request on the connection.
    if header_text(REQUEST_HEADER).is_some_and(|it| it != request_id) {
        return RunEnd::Broken;
    }
    let shed = header_text(SHED_HEADER).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    if let Some(shed) = shed {
        let seconds = header_text("retry-after").and_then(|it| it.parse().ok());
        // A negative, infinite or overflowing delay can't be forwarded and is ignored.
        let retry_after = seconds.and_then(|it| Duration::try_from_secs_f64(it).ok());
        return RunEnd::Shed { retry_after, is_local: shed == LOCAL_SHED };
    }
    let forwarded = headers
        .iter()
        // Reserved headers are removed: the backend server must not set the daemon's own response headers.
        .filter(|(name, _)| {
            !is_hop_by_hop_header(name.as_str()) && !is_reserved_header(name.as_str())
        })
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_string())))
        .collect();
    match read_body(response, max_body_bytes).await {
        Ok(Some(body)) => RunEnd::Answered { status: status.as_u16(), headers: forwarded, body },
        Ok(None) => RunEnd::TooLarge,
        Err(cause) if cause.is_timeout() => RunEnd::TimedOut,
        Err(_) => RunEnd::Broken,
    }
}

/// Reads the complete body, or returns `None` if it is larger than `max_body_bytes`.
async fn read_body(
    mut response: Response,
    max_body_bytes: usize,
) -> Result<Option<Bytes>, reqwest::Error> {
    let Some(first) = response.chunk().await? else { return Ok(Some(Bytes::new())) };
    if first.len() <= max_body_bytes && response.content_length() == Some(first.len() as u64) {
        // Most bodies arrive in a single chunk, which is returned without copying.
        return Ok(response.chunk().await?.is_none().then_some(first));
    }
    let mut body = BytesMut::from(&first[..]);
    while let Some(chunk) = response.chunk().await? {
        if max_body_bytes < body.len() + chunk.len() {
            return Ok(None);
        }
        body.extend_from_slice(&chunk);
    }
    Ok((body.len() <= max_body_bytes).then(|| body.freeze()))
}

/// Returns whether a lower-case header name is reserved for the daemons.
pub fn is_reserved_header(name: &str) -> bool {
    name.starts_with("ivytrail-")
}
