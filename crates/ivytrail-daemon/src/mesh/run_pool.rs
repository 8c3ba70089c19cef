//! Runs at the own backend server, over connections that are kept open.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::{CONNECTION, HeaderMap, HeaderName, HeaderValue},
};
use hyper_util::rt::TokioIo;
use ivytrail::{
    id::ServiceName,
    mesh::{
        event::{MeshEvent, RunEnd},
        frame::{AttemptRequest, HeaderList, ServerAdvertisement, ServerPhase},
    },
    message::is_connection_header,
};
use ivytrail_platform::headers::{
    ACCOUNT, CALLER_SERVICE, DEADLINE, EXPECTED_SERVER, NOT_EXECUTED, REQUEST_ID, SERVER_ID,
    SERVER_LOAD, SIGNATURE,
};
use smol_str::{SmolStr, ToSmolStr};
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::{Instant, timeout},
};

use super::shell::MeshShell;

/// Longest wait for a connection to the own backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an idle connection is kept when the server names none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(8);
/// Part of the server's own idle timeout for which a connection is used again.
const KEEP_ALIVE_SHARE: f64 = 0.8;
/// Longest idle time of a connection that carries a request that may run only once: the server may be about to close
/// it, and a request lost with it can't be sent again.
const FRESH_FOR: Duration = Duration::from_millis(250);
/// Part of the rest after which a connection broke that is still allowed.
const BROKEN_REST_SHARE: f64 = 0.8;
/// Factor by which the allowed rest grows in a second.
const REST_GROWTH: f64 = 1.1;
/// Time without an answer after which a reused connection may have gone silent, and those that rest with it.
const SILENT_AFTER: Duration = Duration::from_millis(500);
/// Time beyond a run's deadline for which the server's own answer is awaited.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Largest answer that is held, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Pause between two looks for the backend server after a start.
const CHECK_PAUSE: Duration = Duration::from_millis(300);
/// Looks for the backend server after a start; afterwards its announcements tell.
const MAX_CHECKS: usize = 3;
/// Longest wait for the answer to such a look.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Ends the task that drives a connection when the connection is dropped.
#[derive(Debug)]
struct ConnectionDriver(AbortHandle);

impl Drop for ConnectionDriver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to the own backend server.
#[derive(Debug)]
struct ServerConnection {
    sender: SendRequest<Full<Bytes>>,
    idle_since: Instant,
    keep_alive: Duration,
    /// Held for its effect when the connection is dropped.
    _driver: ConnectionDriver,
}

/// A request on a connection that had rested. When it ends without an answer after a while, also by being given up,
/// the connections that have rested for as long are no longer trusted.
struct ReusedSend<'p> {
    pool: &'p RunPool,
    sent_at: Instant,
    is_answered: bool,
}

impl<'p> ReusedSend<'p> {
    fn new(pool: &'p RunPool) -> ReusedSend<'p> {
        ReusedSend { pool, sent_at: Instant::now(), is_answered: false }
    }
}

impl Drop for ReusedSend<'_> {
    fn drop(&mut self) {
        if !self.is_answered && SILENT_AFTER <= self.sent_at.elapsed() {
            self.pool.drop_unproven(self.sent_at);
        }
    }
}

/// Longest time for which a connection may rest and be used again.
///
/// A server may forget connections sooner than it says. When a request breaks on one that had rested, less rest is
/// allowed; with time the limit grows again.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RestLimit(Duration);

impl RestLimit {
    fn note_broken(&mut self, rested_for: Duration) {
        self.0 = self.0.min(rested_for.mul_f64(BROKEN_REST_SHARE)).max(FRESH_FOR);
    }

    /// Takes it that another second has passed.
    fn grow(&mut self) {
        self.0 = self.0.mul_f64(REST_GROWTH).min(DEFAULT_KEEP_ALIVE);
    }

    fn allows(self, rested_for: Duration, is_idempotent: bool) -> bool {
        rested_for < if is_idempotent { self.0 } else { FRESH_FOR }
    }
}

impl Default for RestLimit {
    fn default() -> RestLimit {
        RestLimit(DEFAULT_KEEP_ALIVE)
    }
}

/// Connections to the own backend server that wait for a request.
#[derive(Debug)]
pub struct RunPool {
    address: SocketAddr,
    rest_limit: Cell<RestLimit>,
    idle: RefCell<VecDeque<ServerConnection>>,
}

impl RunPool {
    /// Returns a pool without connections.
    pub fn new(address: SocketAddr) -> RunPool {
        RunPool { address, rest_limit: Cell::default(), idle: RefCell::default() }
    }

    /// Drops connections that have been idle for long; called once a second.
    pub fn prune(&self) {
        let mut limit = self.rest_limit.get();
        limit.grow();
        self.rest_limit.set(limit);
        self.idle.borrow_mut().retain(|it| it.idle_since.elapsed() < it.keep_alive);
    }

    fn note_broken_rest(&self, rested_for: Duration) {
        let mut limit = self.rest_limit.get();
        limit.note_broken(rested_for);
        self.rest_limit.set(limit);
        log::info!("event=rest_limited rested_ms={} limit={:?}", rested_for.as_millis(), limit.0);
    }

    /// Drops the connections that have carried nothing since `at`.
    fn drop_unproven(&self, at: Instant) {
        let mut idle = self.idle.borrow_mut();
        let n_before = idle.len();
        idle.retain(|it| at < it.idle_since);
        let n_dropped = n_before - idle.len();
        if 0 < n_dropped {
            log::info!("event=server_connections_dropped count={n_dropped} cause=silent");
        }
    }

    /// Runs one request and returns how it ended. The request is given up when the returned future is dropped.
    pub async fn run(
        &self,
        order: &AttemptRequest,
        server_id: &str,
        body: Bytes,
        time_left: Duration,
    ) -> RunEnd {
        let Some(request) = request_of(order, server_id, body, time_left) else {
            return RunEnd::NotSent;
        };
        let longest = time_left + ANSWER_MARGIN;
        match timeout(longest, self.exchange(order, request)).await {
            Ok(end) => end,
            Err(_) => RunEnd::TimedOut,
        }
    }

    async fn exchange(&self, order: &AttemptRequest, request: Request<Full<Bytes>>) -> RunEnd {
        let mut request = request;
        loop {
            let (mut connection, is_reused) = match self.take_idle(order.is_idempotent) {
                Some(connection) => (connection, true),
                None => match self.connect().await {
                    Some(connection) => (connection, false),
                    None => return RunEnd::NotSent,
                },
            };
            let rested_for = connection.idle_since.elapsed();
            let mut sent = is_reused.then(|| ReusedSend::new(self));
            let answer = connection.sender.try_send_request(request).await;
            if let Some(sent) = &mut sent {
                sent.is_answered = answer.is_ok();
            }
            let mut failed = match answer {
                Ok(response) => return self.take_response(order, connection, response).await,
                Err(failed) => failed,
            };
            // The request comes back when none of it was written.
            match failed.take_message() {
                Some(unsent) if is_reused => request = unsent,
                Some(_) => return RunEnd::NotSent,
                None => {
                    if is_reused {
                        self.note_broken_rest(rested_for);
                    }
                    log::debug!(
                        "event=run_broken request={} reused={is_reused} cause={:?}",
                        order.request_id,
                        failed.error().to_string()
                    );
                    return RunEnd::Broken;
                }
            }
        }
    }

    fn take_idle(&self, is_idempotent: bool) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop_back() {
            let idle_for = connection.idle_since.elapsed();
            let is_usable = idle_for < connection.keep_alive && connection.sender.is_ready();
            if !is_usable {
                continue;
            }
            if !self.rest_limit.get().allows(idle_for, is_idempotent) {
                // Those below have been idle for longer.
                idle.push_back(connection);
                return None;
            }
            return Some(connection);
        }
        None
    }

    async fn connect(&self) -> Option<ServerConnection> {
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(cause)) => {
                log::debug!("event=server_connect_failed cause={:?}", cause.to_string());
                return None;
            }
            Err(_) => return None,
        };
        // Without the option requests are late, not wrong.
        let _ = stream.set_nodelay(true);
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let task = tokio::task::spawn_local(async move {
            if let Err(cause) = driver.await {
                log::debug!("event=server_connection_ended cause={:?}", cause.to_string());
            }
        });
        Some(ServerConnection {
            sender,
            idle_since: Instant::now(),
            keep_alive: DEFAULT_KEEP_ALIVE,
            _driver: ConnectionDriver(task.abort_handle()),
        })
    }

    async fn take_response(
        &self,
        order: &AttemptRequest,
        mut connection: ServerConnection,
        response: Response<Incoming>,
    ) -> RunEnd {
        let (parts, body) = response.into_parts();
        let echoed = parts.headers.get(REQUEST_ID).map(HeaderValue::as_bytes);
        let is_not_executed = parts.headers.contains_key(NOT_EXECUTED)
            || parts.status == StatusCode::MISDIRECTED_REQUEST;
        let is_own = match echoed {
            Some(id) => id == order.request_id.as_bytes(),
            None => is_not_executed,
        };
        if !is_own {
            log::info!(
                "event=foreign_answer request={} echoed={:?} status={}",
                order.request_id,
                echoed.map(String::from_utf8_lossy),
                parts.status
            );
            return RunEnd::Broken;
        }
        let body = match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(cause) => {
                log::info!(
                    "event=answer_cut request={} status={} cause={:?}",
                    order.request_id,
                    parts.status,
                    cause.to_string()
                );
                return RunEnd::Broken;
            }
        };
        let is_kept = parts.headers.get(CONNECTION).is_none_or(|it| it != "close");
        if is_kept {
            connection.keep_alive = keep_alive_of(&parts.headers);
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().push_back(connection);
        }
        if is_not_executed {
            let is_misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
            return RunEnd::Rejected { is_misdirected };
        }
        if parts.status.is_success() && !parts.headers.contains_key(SIGNATURE) {
            log::info!("event=unsigned_answer request={}", order.request_id);
            return RunEnd::Broken;
        }
        let headers = passed_headers(&parts.headers);
        RunEnd::Answered { status: parts.status.as_u16(), headers, body }
    }
}

fn request_of(
    order: &AttemptRequest,
    server_id: &str,
    body: Bytes,
    time_left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::from_bytes(order.method.as_bytes()).ok()?;
    *request.uri_mut() = order.target.parse().ok()?;
    let headers = request.headers_mut();
    for (name, value) in &order.headers {
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
    set(REQUEST_ID, &order.request_id)?;
    set(DEADLINE, &time_left.as_millis().to_smolstr())?;
    set(EXPECTED_SERVER, server_id)?;
    set(CALLER_SERVICE, order.caller_service.as_str())?;
    if let Some(account) = &order.account {
        set(ACCOUNT, account.as_str())?;
    }
    Some(request)
}

fn keep_alive_of(headers: &HeaderMap) -> Duration {
    headers
        .get("keep-alive")
        .and_then(|it| it.to_str().ok())
        .and_then(|it| it.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|it| it.parse().ok())
        .map_or(DEFAULT_KEEP_ALIVE, |seconds: u64| {
            Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_SHARE)
        })
}

fn passed_headers(headers: &HeaderMap) -> HeaderList {
    headers
        .iter()
        .filter(|(name, _)| !is_connection_header(name.as_str()))
        .filter_map(|(name, value)| {
            Some((SmolStr::from(name.as_str()), SmolStr::from(value.to_str().ok()?)))
        })
        .collect()
}

/// Looks for the backend server once the settings are known, so that a daemon that starts anew beside a running
/// backend server need not wait for its next announcement.
pub async fn check_at_start(shell: Rc<MeshShell>, service: ServiceName) {
    let mut n_checks = 0;
    while shell.inspect(|it| it.server().is_none()) && n_checks < MAX_CHECKS {
        let path = shell.inspect(|it| {
            it.settings().and_then(|it| it.service(&service)).map(|it| it.health_path.clone())
        });
        if let Some(path) = path {
            n_checks += 1;
            let found = timeout(CHECK_TIMEOUT, check(&shell.pool, &path, &service)).await;
            if let Ok(Some(card)) = found
                && shell.inspect(|it| it.server().is_none())
            {
                shell.apply(MeshEvent::ServerAnnounced { advertisement: card, sequence: 0 });
            }
        }
        tokio::time::sleep(CHECK_PAUSE).await;
    }
}

async fn check(pool: &RunPool, path: &str, service: &ServiceName) -> Option<ServerAdvertisement> {
    let mut connection = pool.connect().await?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().ok()?;
    let host = HeaderValue::from_str(&pool.address.to_string()).ok()?;
    request.headers_mut().insert("host", host);
    let response = connection.sender.send_request(request).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let id = response.headers().get(SERVER_ID)?.to_str().ok()?.to_smolstr();
    let load = response.headers().get(SERVER_LOAD)?.to_str().ok()?;
    let slots = load.split(',').nth(2)?.trim().parse().ok()?;
    Some(ServerAdvertisement {
        id,
        started_at_ms: 0,
        service: service.clone(),
        slots,
        phase: ServerPhase::Ready,
        warm_up: Duration::ZERO,
    })
}

#[cfg(test)]
mod tests;
