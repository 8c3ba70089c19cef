//! Executes requests at the local backend server over persistent connections.

mod idle_limit;
pub mod probe;
mod read_allowance;
mod response_budget;

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    io,
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::{CONNECTION, HeaderMap, HeaderName, HeaderValue},
    http::response::Parts,
};
use hyper_util::rt::TokioIo;
use ivytrail::{
    mesh::{
        event::RunEnd,
        frame::{AttemptRequest, HeaderList, ServerNotice},
    },
    message::{is_final_status, is_hop_by_hop_header},
};
use ivytrail_platform::headers::{
    ACCOUNT, CALLER_SERVICE, DEADLINE, EXPECTED_SERVER, NOT_EXECUTED, REQUEST_ID, SIGNATURE,
    parse_notice,
};
use smol_str::{SmolStr, ToSmolStr};
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::{Instant, timeout},
};

use self::{
    idle_limit::{IdleLimit, MAX_IDLE_TIME},
    read_allowance::{MeteredStream, ReadAllowance},
    response_budget::ResponseBudget,
};

/// Timeout for connecting to the local backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Keep-alive time of an idle connection if the server advertises no timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(8);
/// Fraction of the server's advertised idle timeout during which a connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.8;
/// `TCP_USER_TIMEOUT`: time for which sent data may remain unacknowledged before the connection is closed. The server is
/// on the same instance, so that only a dead connection leaves data unacknowledged for long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a response after which a reused connection may be dead, and with it the connections that have been
/// idle for as long.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a run's deadline during which a response of the server is still accepted.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);
/// Maximum size of a response's head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// How a run ended, and what the backend server reported about itself in its response.
#[derive(Debug)]
pub struct RunReport {
    /// How the run ended.
    pub end: RunEnd,
    /// What the server reported, or `None` if no response of the server arrived.
    pub notice: Option<ServerNotice>,
}

impl From<RunEnd> for RunReport {
    fn from(end: RunEnd) -> RunReport {
        RunReport { end, notice: None }
    }
}

/// The task that performs a connection's I/O. Dropping it aborts the task.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to the local backend server.
#[derive(Debug)]
struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    /// Identity of the server to which requests were sent on the connection, if any were.
    server_id: Option<SmolStr>,
    read_allowance: ReadAllowance,
    idle_since: Instant,
    keep_alive: Duration,
    /// Aborts the connection's task on drop.
    _task: ConnectionTask,
}

/// Reason why no connection to the local backend server was established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectError {
    /// The server refused the connection or did not respond.
    Unreachable,
    /// The failure says nothing about the server, such as a lack of descriptors.
    Other,
}

impl From<&io::Error> for ConnectError {
    fn from(error: &io::Error) -> ConnectError {
        match error.kind() {
            io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::TimedOut => ConnectError::Unreachable,
            _ => ConnectError::Other,
        }
    }
}

/// Monitors a request on a reused connection.
///
/// If the request is still without a response after [`SILENCE_TIMEOUT`] when it fails or is canceled, all connections
/// that have been idle since before the request are dropped, because they may be dead as well.
struct ReuseMonitor<'p> {
    pool: &'p BackendPool,
    sent_at: Instant,
    is_answered: bool,
}

impl<'p> ReuseMonitor<'p> {
    fn new(pool: &'p BackendPool) -> ReuseMonitor<'p> {
        ReuseMonitor { pool, sent_at: Instant::now(), is_answered: false }
    }
}

impl Drop for ReuseMonitor<'_> {
    fn drop(&mut self) {
        if !self.is_answered && SILENCE_TIMEOUT <= self.sent_at.elapsed() {
            self.pool.drop_idle_since(self.sent_at);
        }
    }
}

/// Pool of idle connections to the local backend server.
#[derive(Debug)]
pub struct BackendPool {
    address: SocketAddr,
    idle_limit: Cell<IdleLimit>,
    idle: RefCell<VecDeque<BackendConnection>>,
    response_budget: ResponseBudget,
}

impl BackendPool {
    /// Creates an empty pool for the backend server at `address`.
    pub fn new(address: SocketAddr) -> BackendPool {
        BackendPool {
            address,
            idle_limit: Cell::default(),
            idle: RefCell::default(),
            response_budget: ResponseBudget::default(),
        }
    }

    /// Drops connections whose keep-alive time has expired and raises the idle limit. Must be called once per second.
    pub fn prune(&self) {
        let mut limit = self.idle_limit.get();
        limit.grow();
        self.idle_limit.set(limit);
        self.idle
            .borrow_mut()
            .retain(|it| it.idle_since.elapsed() < it.keep_alive.min(MAX_IDLE_TIME));
    }

    fn lower_idle_limit(&self, idle_for: Duration) {
        let mut limit = self.idle_limit.get();
        limit.record_failure(idle_for);
        self.idle_limit.set(limit);
        log::info!("event=rest_limited rested_ms={} limit={:?}", idle_for.as_millis(), limit.0);
    }

    /// Drops the connections that have been idle since `at` or longer.
    fn drop_idle_since(&self, at: Instant) {
        let mut idle = self.idle.borrow_mut();
        let n_before = idle.len();
        idle.retain(|it| at < it.idle_since);
        let n_dropped = n_before - idle.len();
        if 0 < n_dropped {
            log::info!("event=server_connections_dropped count={n_dropped} cause=silent");
        }
    }

    /// Executes a request at the backend server and returns how it ended. Dropping the returned future cancels the
    /// request.
    pub async fn run(
        &self,
        attempt: &AttemptRequest,
        server_id: &str,
        body: Bytes,
        time_left: Duration,
    ) -> RunReport {
        let Some(request) = build_request(attempt, server_id, body, time_left) else {
            return RunEnd::NotSent.into();
        };
        let time_limit = time_left + RESPONSE_MARGIN;
        match timeout(time_limit, self.exchange(attempt, server_id, request)).await {
            Ok(report) => report,
            Err(_) => RunEnd::TimedOut.into(),
        }
    }

    async fn exchange(
        &self,
        attempt: &AttemptRequest,
        server_id: &str,
        request: Request<Full<Bytes>>,
    ) -> RunReport {
        let mut request = request;
        loop {
            let idle = self.take_idle(server_id, attempt.is_idempotent);
            let (mut connection, is_reused) = match idle {
                Some(connection) => (connection, true),
                None => match self.connect().await {
                    Ok(connection) => (connection, false),
                    Err(ConnectError::Unreachable) => return RunEnd::Unreachable.into(),
                    Err(ConnectError::Other) => return RunEnd::NotSent.into(),
                },
            };
            connection.server_id = Some(SmolStr::from(server_id));
            let idle_for = connection.idle_since.elapsed();
            let mut monitor = is_reused.then(|| ReuseMonitor::new(self));
            connection.read_allowance.start_response();
            let answer = connection.sender.try_send_request(request).await;
            if let Some(monitor) = &mut monitor {
                monitor.is_answered = answer.is_ok();
            }
            let mut failed = match answer {
                Ok(response) => return self.read_response(attempt, connection, response).await,
                Err(failed) => failed,
            };
            // hyper returns the request if no part of it was written.
            match failed.take_message() {
                Some(unsent) if is_reused => request = unsent,
                Some(_) => return RunEnd::NotSent.into(),
                None => {
                    if is_reused {
                        self.lower_idle_limit(idle_for);
                    }
                    log::debug!(
                        "event=run_broken request={} reused={is_reused} cause={:?}",
                        attempt.request_id,
                        failed.error().to_string()
                    );
                    return RunEnd::Broken.into();
                }
            }
        }
    }

    /// Takes an idle connection for a request to the server `server_id`. Connections to an earlier server at the address are
    /// dropped: they may stay open without a response.
    fn take_idle(&self, server_id: &str, is_idempotent: bool) -> Option<BackendConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop_back() {
            let idle_for = connection.idle_since.elapsed();
            let is_same_server = connection.server_id.as_ref().is_none_or(|it| it == server_id);
            let is_usable =
                is_same_server && idle_for < connection.keep_alive && connection.sender.is_ready();
            if !is_usable {
                continue;
            }
            if !self.idle_limit.get().allows(idle_for, is_idempotent) {
                // The remaining connections have been idle for longer.
                idle.push_back(connection);
                return None;
            }
            return Some(connection);
        }
        None
    }

    /// Returns whether the backend server accepts connections. The connection is kept for the next run.
    pub async fn is_reachable(&self) -> bool {
        match self.connect().await {
            Ok(connection) => {
                self.idle.borrow_mut().push_back(connection);
                true
            }
            // A failure at this end says nothing about the server.
            Err(error) => error != ConnectError::Unreachable,
        }
    }

    async fn connect(&self) -> Result<BackendConnection, ConnectError> {
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(cause)) => {
                log::debug!("event=server_connect_failed cause={:?}", cause.to_string());
                return Err(ConnectError::from(&cause));
            }
            Err(_) => return Err(ConnectError::Unreachable),
        };
        if let Err(cause) = configure_socket(&stream) {
            // The connection works without the options: requests are delayed, and silence is noticed late.
            log::debug!("event=server_connection_not_prepared cause={:?}", cause.to_string());
        }
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let read_allowance = ReadAllowance::default();
        let stream = MeteredStream::new(stream, read_allowance.clone());
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|cause| {
            log::debug!("event=server_handshake_failed cause={:?}", cause.to_string());
            ConnectError::Other
        })?;
        let task = tokio::task::spawn_local(async move {
            if let Err(cause) = connection.await {
                log::debug!("event=server_connection_ended cause={:?}", cause.to_string());
            }
        });
        Ok(BackendConnection {
            sender,
            server_id: None,
            read_allowance,
            idle_since: Instant::now(),
            keep_alive: DEFAULT_KEEP_ALIVE,
            _task: ConnectionTask(task.abort_handle()),
        })
    }

    async fn read_response(
        &self,
        attempt: &AttemptRequest,
        connection: BackendConnection,
        response: Response<Incoming>,
    ) -> RunReport {
        let (parts, body) = response.into_parts();
        let echoed = parts.headers.get(REQUEST_ID).map(HeaderValue::as_bytes);
        let is_matching = match echoed {
            Some(id) => id == attempt.request_id.as_bytes(),
            None => is_not_executed(&parts),
        };
        if !is_matching {
            log::info!(
                "event=answer_id_mismatch request={} echoed={:?} status={}",
                attempt.request_id,
                echoed.map(String::from_utf8_lossy),
                parts.status
            );
            return RunEnd::Broken.into();
        }
        if !is_final_status(parts.status.as_u16()) {
            let (id, status) = (&attempt.request_id, parts.status.as_u16());
            log::info!("event=answer_status_invalid request={id} status={status}");
            return RunEnd::Broken.into();
        }
        let is_misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
        let notice = (!is_misdirected).then(|| notice_of(&parts.headers));
        let end = self.read_end(attempt, connection, &parts, body).await;
        RunReport { end, notice }
    }

    /// Reads the body of a response whose head belongs to the request, and keeps the connection if it can be used again.
    async fn read_end(
        &self,
        attempt: &AttemptRequest,
        mut connection: BackendConnection,
        parts: &Parts,
        body: Incoming,
    ) -> RunEnd {
        let allowance = &connection.read_allowance;
        let body = match self.response_budget.read_body(body, allowance).await {
            Ok(body) => body,
            Err(cause) => {
                log::info!(
                    "event=answer_incomplete request={} status={} cause={:?}",
                    attempt.request_id,
                    parts.status,
                    cause.to_string()
                );
                return RunEnd::Broken;
            }
        };
        let is_kept_alive = parts.headers.get(CONNECTION).is_none_or(|it| it != "close");
        // A rejection may lack the id. A late second copy of it would then look like the rejection of the next request on
        // the connection, so there is none.
        let names_request = parts.headers.contains_key(REQUEST_ID);
        if is_kept_alive && names_request {
            connection.keep_alive = keep_alive_timeout(&parts.headers);
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().push_back(connection);
        }
        if is_not_executed(parts) {
            let is_misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
            return RunEnd::Rejected { is_misdirected };
        }
        if parts.status.is_success() && !parts.headers.contains_key(SIGNATURE) {
            log::info!("event=unsigned_answer request={}", attempt.request_id);
            return RunEnd::Broken;
        }
        let headers = forwarded_headers(&parts.headers);
        RunEnd::Answered { status: parts.status.as_u16(), headers, body }
    }
}

fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

fn build_request(
    attempt: &AttemptRequest,
    server_id: &str,
    body: Bytes,
    time_left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::from_bytes(attempt.method.as_bytes()).ok()?;
    *request.uri_mut() = attempt.target.parse().ok()?;
    let headers = request.headers_mut();
    for (name, value) in &attempt.headers {
        headers.append(
            HeaderName::from_bytes(name.as_bytes()).ok()?,
            HeaderValue::from_str(value).ok()?,
        );
    }
    let mut set = |name: &'static str, value: &str| {
        let value = HeaderValue::from_str(value).ok()?;
        headers.insert(HeaderName::from_static(name), value);
        Some(())
    };
    set(REQUEST_ID, &attempt.request_id)?;
    set(DEADLINE, &time_left.as_millis().to_smolstr())?;
    set(EXPECTED_SERVER, server_id)?;
    set(CALLER_SERVICE, attempt.caller_service.as_str())?;
    if let Some(account) = &attempt.account {
        set(ACCOUNT, account.as_str())?;
    }
    Some(request)
}

/// Returns whether a response states that the server has not run the request.
fn is_not_executed(parts: &Parts) -> bool {
    parts.headers.contains_key(NOT_EXECUTED) || parts.status == StatusCode::MISDIRECTED_REQUEST
}

fn notice_of(headers: &HeaderMap) -> ServerNotice {
    parse_notice(|name| headers.get(name).and_then(|it| it.to_str().ok()))
}

fn keep_alive_timeout(headers: &HeaderMap) -> Duration {
    headers
        .get("keep-alive")
        .and_then(|it| it.to_str().ok())
        .and_then(|it| it.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|it| it.parse().ok())
        .map_or(DEFAULT_KEEP_ALIVE, |seconds: u64| {
            Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_FRACTION)
        })
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderList {
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop_header(name.as_str()))
        .filter_map(|(name, value)| {
            Some((SmolStr::from(name.as_str()), SmolStr::from(value.to_str().ok()?)))
        })
        .collect()
}

#[cfg(test)]
mod tests;
