//! HTTP server for requests of clients and of the local backend server.

use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{Full, LengthLimitError};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_TYPE, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use ivytrail::{
    id::CallId,
    mesh::{
        MeshReducer,
        event::{CallAnswer, CallRequest, MeshEvent},
        frame::HeaderList,
        policy::RequestLimits,
    },
    message::{CallOutcome, RefusalReason, is_hop_by_hop_header},
};
use ivytrail_platform::{
    document::key_digest,
    headers::{CREDENTIAL, DEADLINE, REQUEST_ID, is_reserved},
};
use smol_str::SmolStr;
use tokio::{net::TcpListener, time::Instant};

use super::{acceptor::accept_next, body_reader::read_request_body, driver::MeshDriver};

/// Minimum buffer size for a request's header that hyper accepts, in bytes.
const MIN_HEADER_BUFFER_BYTES: usize = 8 * 1024;
/// Maximum buffer size for a request's header, in bytes. Larger headers don't fit into a frame to another daemon.
const MAX_HEADER_BUFFER_BYTES: usize = 1 << 20;
/// Time for which an idle client connection stays open beyond the idle timeout that is published to clients.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Fraction of the descriptor limit in use from which refused requests close their connection. Clients retry on a new
/// one.
const CLOSE_REFUSED_FRACTION: f64 = 0.1;
/// Fraction of the descriptor limit in use from which every response closes its connection.
const CLOSE_ALL_FRACTION: f64 = 0.4;
/// Fraction of the descriptor limit in use from which new connections are closed before a request is read. The
/// remaining descriptors are reserved for links and runs.
const REJECT_NEW_FRACTION: f64 = 0.75;

/// Number of open client connections, compared with the descriptor limit of the process.
#[derive(Debug)]
pub struct ConnectionCount {
    n_open: Cell<usize>,
    max_descriptors: usize,
}

impl ConnectionCount {
    /// Creates a count of zero for a process with a limit of `max_descriptors` descriptors.
    pub fn new(max_descriptors: usize) -> ConnectionCount {
        ConnectionCount { n_open: Cell::new(0), max_descriptors }
    }

    /// Returns whether the open connections use at least `fraction` of the descriptors.
    fn reaches(&self, fraction: f64) -> bool {
        self.max_descriptors as f64 * fraction <= self.n_open.get() as f64
    }

    /// Returns whether the connection must be closed after `answer`.
    fn should_close_after(&self, answer: &CallAnswer) -> bool {
        let is_refused = matches!(answer, CallAnswer::Refused { .. });
        self.reaches(CLOSE_ALL_FRACTION) || (is_refused && self.reaches(CLOSE_REFUSED_FRACTION))
    }
}

/// Includes a client connection in the count until dropped.
struct CountedConnection<'c>(&'c ConnectionCount);

impl<'c> CountedConnection<'c> {
    fn new(count: &'c ConnectionCount) -> CountedConnection<'c> {
        count.n_open.set(count.n_open.get() + 1);
        CountedConnection(count)
    }
}

impl Drop for CountedConnection<'_> {
    fn drop(&mut self) {
        self.0.n_open.set(self.0.n_open.get() - 1);
    }
}

type ClientResponse = Response<Full<Bytes>>;

/// Serves client requests at `address`.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn listen(driver: &Rc<MeshDriver>, address: SocketAddr) -> anyhow::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let driver = Rc::clone(driver);
    let mut closing = driver.subscribe_closing();
    tokio::task::spawn_local(async move {
        loop {
            let (stream, _) = tokio::select! {
                accepted = accept_next(|| listener.accept()) => accepted,
                // Returning closes the listener: new connections are refused, so that their clients retry.
                _ = closing.wait_for(|is_closing| *is_closing) => return,
            };
            if driver.clients.reaches(REJECT_NEW_FRACTION) {
                log::debug!("event=client_closed_unread");
                continue;
            }
            // A failure is ignored: without TCP_NODELAY responses are only delayed.
            let _ = stream.set_nodelay(true);
            tokio::task::spawn_local(serve_client(Rc::clone(&driver), stream));
        }
    });
    Ok(())
}

async fn serve_client(driver: Rc<MeshDriver>, stream: tokio::net::TcpStream) {
    let _count = CountedConnection::new(&driver.clients);
    let limits = driver.inspect(current_limits);
    let mut closing = driver.subscribe_closing();
    let service = service_fn(|request| {
        let driver = Rc::clone(&driver);
        async move { Ok::<_, Infallible>(handle_request(&driver, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout) + IDLE_TIMEOUT_MARGIN)
        .max_buf_size(
            limits.max_header_bytes.clamp(MIN_HEADER_BUFFER_BYTES, MAX_HEADER_BUFFER_BYTES),
        )
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // Connection errors are caused by the client: it disconnected early or sent an invalid request.
    tokio::select! {
        ended = connection.as_mut() => {
            if let Err(cause) = ended {
                log::debug!("event=client_connection_ended cause={:?}", cause.to_string());
            }
            return;
        }
        _ = closing.wait_for(|is_closing| *is_closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    if let Err(cause) = connection.await {
        log::debug!("event=client_connection_ended cause={:?}", cause.to_string());
    }
}

/// Returns the request limits of the current settings, or the defaults before any settings are known.
fn current_limits(reducer: &MeshReducer) -> RequestLimits {
    reducer.settings().map_or_else(RequestLimits::default, |it| *it.limits())
}

/// Notifies the reducer if dropped before the call is answered, i.e. when the client disconnects early.
struct DisconnectNotifier<'s> {
    driver: &'s Rc<MeshDriver>,
    call: CallId,
    is_answered: bool,
}

impl Drop for DisconnectNotifier<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.driver.remove_call(self.call);
            self.driver.metrics.record_caller_gone();
            self.driver.apply(MeshEvent::CallerDisconnected { call: self.call });
        }
    }
}

async fn handle_request(driver: &Rc<MeshDriver>, request: Request<Incoming>) -> ClientResponse {
    let started = Instant::now();
    let max_body = driver.inspect(current_limits).max_body_bytes;
    let (parts, body) = request.into_parts();
    let body = match driver.read_request(read_request_body(body, max_body)).await {
        Ok(body) => body,
        Err(cause) if cause.is::<LengthLimitError>() => {
            log::info!("event=call_refused reason=body-too-large limit={max_body}");
            return empty_response(StatusCode::PAYLOAD_TOO_LARGE);
        }
        Err(cause) => {
            log::debug!("event=body_incomplete cause={:?}", cause.to_string());
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let request_id = parts.headers.get(REQUEST_ID).cloned();
    let (call, receiver) = driver.add_call();
    let mut notifier = DisconnectNotifier { driver, call, is_answered: false };
    let target = parts.uri.path_and_query().map_or("/", |it| it.as_str());
    let host = header_text(&parts.headers, HOST.as_str())
        .or_else(|| parts.uri.authority().map(|it| SmolStr::from(it.as_str())));
    let request = CallRequest {
        call,
        request_id: header_text(&parts.headers, REQUEST_ID).unwrap_or_default(),
        method: SmolStr::from(parts.method.as_str()),
        host: host.unwrap_or_default(),
        target: SmolStr::from(target),
        key: parts.headers.get(CREDENTIAL).map(|it| key_digest(it.as_bytes())),
        time_limit: header_text(&parts.headers, DEADLINE)
            .and_then(|it| it.parse().ok())
            .map(Duration::from_millis),
        headers: forwarded_headers(&parts.headers),
        body,
    };
    driver.apply(MeshEvent::CallReceived(Box::new(request)));
    let answer = receiver.await.unwrap_or(CallAnswer::Refused {
        outcome: CallOutcome::Unknown,
        reason: RefusalReason::Draining,
        retry_after: None,
    });
    notifier.is_answered = true;
    driver.metrics.record_answer(&answer, started.elapsed());
    let is_closing =
        driver.clients.should_close_after(&answer) || driver.inspect(MeshReducer::is_leaving);
    let mut response = build_response(answer, request_id);
    if is_closing {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<SmolStr> {
    headers.get(name).and_then(|it| it.to_str().ok()).map(SmolStr::from)
}

/// Returns the headers to forward to the backend server, without hop-by-hop headers and without credentials and other
/// headers that only the system may set.
fn forwarded_headers(headers: &HeaderMap) -> HeaderList {
    let options = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            !is_hop_by_hop_header(name)
                && !is_reserved(name)
                && !options.iter().any(|it| it.eq_ignore_ascii_case(name))
        })
        .filter_map(|(name, value)| {
            Some((SmolStr::from(name.as_str()), SmolStr::from(value.to_str().ok()?)))
        })
        .collect()
}

/// Returns the header names that the client lists in its `Connection` headers as specific to the connection.
fn connection_options(headers: &HeaderMap) -> Vec<SmolStr> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .map(|it| SmolStr::from(it.trim()))
        .collect()
}

fn build_response(answer: CallAnswer, request_id: Option<HeaderValue>) -> ClientResponse {
    match answer {
        CallAnswer::Complete { status, headers, body } => {
            let mut response = Response::new(Full::new(body));
            *response.status_mut() =
                StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            for (name, value) in headers {
                let name = HeaderName::from_bytes(name.as_bytes());
                if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
                    response.headers_mut().append(name, value);
                }
            }
            response
        }
        CallAnswer::Refused { outcome, reason, retry_after } => {
            let mut response = empty_response(refusal_status(outcome, reason));
            let headers = response.headers_mut();
            if let Some(wait) = retry_after.filter(|_| outcome == CallOutcome::NotRun) {
                let seconds = format!("{:.3}", wait.as_secs_f64());
                if let Ok(value) = HeaderValue::from_str(&seconds) {
                    headers.insert(RETRY_AFTER, value);
                }
            }
            if let Some(id) = request_id {
                headers.insert(HeaderName::from_static(REQUEST_ID), id);
            }
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            *response.body_mut() = Full::new(Bytes::from(format!(
                "{{\"outcome\":\"{outcome}\",\"reason\":\"{reason}\"}}"
            )));
            response
        }
    }
}

fn empty_response(status: StatusCode) -> ClientResponse {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns the HTTP status of a refusal. 429 and 503 guarantee that the request has not run and never will.
fn refusal_status(outcome: CallOutcome, reason: RefusalReason) -> StatusCode {
    match (outcome, reason) {
        (_, RefusalReason::NoRoute) => StatusCode::NOT_FOUND,
        (_, RefusalReason::BadKey | RefusalReason::BadToken) => StatusCode::UNAUTHORIZED,
        (_, RefusalReason::BadRequest) => StatusCode::BAD_REQUEST,
        (CallOutcome::NotRun, RefusalReason::OverQuota) => StatusCode::TOO_MANY_REQUESTS,
        (CallOutcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, RefusalReason::DeadlineExceeded) => StatusCode::GATEWAY_TIMEOUT,
        (CallOutcome::Ran | CallOutcome::Unknown, _) => StatusCode::BAD_GATEWAY,
    }
}
