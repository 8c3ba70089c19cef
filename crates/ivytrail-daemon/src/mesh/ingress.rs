//! Requests of clients and of the own backend server.

use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
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
    message::{CallOutcome, RefusalReason, is_connection_header},
};
use ivytrail_platform::{
    document::key_digest,
    headers::{CREDENTIAL, DEADLINE, REQUEST_ID, is_set_by_system},
};
use smol_str::SmolStr;
use tokio::{net::TcpListener, time::Instant};

use super::shell::MeshShell;

/// Least buffer for a request's head that the HTTP library allows, in bytes.
const MIN_HEAD_BUFFER: usize = 8 * 1024;
/// Time by which an idle connection outlives the limit that clients are told.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Time after a failed accept, e.g. for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Part of the descriptors from which on refused clients lose their connection: they come back on another one.
const CLOSE_REFUSED_PART: f64 = 0.1;
/// Part of the descriptors from which on every answer ends its connection.
const CLOSE_ALL_PART: f64 = 0.4;
/// Part of the descriptors from which on new connections are closed unread; the rest is for links and runs.
const CLOSE_NEW_PART: f64 = 0.75;

/// Open connections of clients, against the descriptors of the process.
#[derive(Debug)]
pub struct ClientCount {
    n_open: Cell<usize>,
    max_descriptors: usize,
}

impl ClientCount {
    /// Returns a count of zero.
    pub fn new(max_descriptors: usize) -> ClientCount {
        ClientCount { n_open: Cell::new(0), max_descriptors }
    }

    fn uses(&self, part: f64) -> bool {
        self.max_descriptors as f64 * part <= self.n_open.get() as f64
    }

    /// Returns whether an answer shall end its connection.
    fn closes_after(&self, answer: &CallAnswer) -> bool {
        let is_refused = matches!(answer, CallAnswer::Refused { .. });
        self.uses(CLOSE_ALL_PART) || (is_refused && self.uses(CLOSE_REFUSED_PART))
    }
}

/// Counts a connection for as long as it lives.
struct CountedClient<'c>(&'c ClientCount);

impl<'c> CountedClient<'c> {
    fn new(count: &'c ClientCount) -> CountedClient<'c> {
        count.n_open.set(count.n_open.get() + 1);
        CountedClient(count)
    }
}

impl Drop for CountedClient<'_> {
    fn drop(&mut self) {
        self.0.n_open.set(self.0.n_open.get() - 1);
    }
}

type ClientResponse = Response<Full<Bytes>>;

/// Binds the address for clients and serves it.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub async fn listen(shell: &Rc<MeshShell>, address: SocketAddr) -> anyhow::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let shell = Rc::clone(shell);
    let mut closing = shell.closing();
    tokio::task::spawn_local(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // Connections that are not accepted any more are refused, so that their clients try again.
                _ = closing.wait_for(|is_closing| *is_closing) => return,
            };
            match accepted {
                Ok(_) if shell.clients.uses(CLOSE_NEW_PART) => {
                    log::debug!("event=client_closed_unread");
                }
                Ok((stream, _)) => {
                    // Without the option answers are late, not wrong.
                    let _ = stream.set_nodelay(true);
                    tokio::task::spawn_local(serve_client(Rc::clone(&shell), stream));
                }
                Err(cause) => {
                    log::warn!("event=accept_failed cause={:?}", cause.to_string());
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve_client(shell: Rc<MeshShell>, stream: tokio::net::TcpStream) {
    let _counted = CountedClient::new(&shell.clients);
    let limits = shell.inspect(limits_in_force);
    let mut closing = shell.closing();
    let service = service_fn(|request| {
        let shell = Rc::clone(&shell);
        async move { Ok::<_, Infallible>(answer(&shell, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout) + IDLE_MARGIN)
        .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // Errors of a connection are the client's: it closed early or sent what is no request.
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

/// Returns the limits in force.
fn limits_in_force(reducer: &MeshReducer) -> RequestLimits {
    reducer.settings().map_or_else(RequestLimits::default, |it| *it.limits())
}

/// Tells the reducer when a client closes its connection before the answer.
struct CallPresence<'s> {
    shell: &'s Rc<MeshShell>,
    call: CallId,
    is_answered: bool,
}

impl Drop for CallPresence<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.shell.remove_call(self.call);
            self.shell.metrics.note_caller_gone();
            self.shell.apply(MeshEvent::CallerDisconnected { call: self.call });
        }
    }
}

async fn answer(shell: &Rc<MeshShell>, request: Request<Incoming>) -> ClientResponse {
    let started = Instant::now();
    let max_body = shell.inspect(limits_in_force).max_body_bytes;
    let (parts, body) = request.into_parts();
    let body = match Limited::new(body, max_body).collect().await {
        Ok(body) => body.to_bytes(),
        Err(cause) if cause.is::<LengthLimitError>() => {
            log::info!("event=call_refused reason=body-too-large limit={max_body}");
            return bare_response(StatusCode::PAYLOAD_TOO_LARGE);
        }
        Err(cause) => {
            log::debug!("event=body_cut cause={:?}", cause.to_string());
            return bare_response(StatusCode::BAD_REQUEST);
        }
    };
    let request_id = parts.headers.get(REQUEST_ID).cloned();
    let (call, receiver) = shell.add_call();
    let mut presence = CallPresence { shell, call, is_answered: false };
    let target = parts.uri.path_and_query().map_or("/", |it| it.as_str());
    let host = text_of(&parts.headers, HOST.as_str())
        .or_else(|| parts.uri.authority().map(|it| SmolStr::from(it.as_str())));
    let request = CallRequest {
        call,
        request_id: text_of(&parts.headers, REQUEST_ID).unwrap_or_default(),
        method: SmolStr::from(parts.method.as_str()),
        host: host.unwrap_or_default(),
        target: SmolStr::from(target),
        key: parts.headers.get(CREDENTIAL).map(|it| key_digest(it.as_bytes())),
        time_limit: text_of(&parts.headers, DEADLINE)
            .and_then(|it| it.parse().ok())
            .map(Duration::from_millis),
        headers: passed_headers(&parts.headers),
        body,
    };
    shell.apply(MeshEvent::CallReceived(Box::new(request)));
    let answer = receiver.await.unwrap_or(CallAnswer::Refused {
        outcome: CallOutcome::Unknown,
        reason: RefusalReason::Draining,
        retry_after: None,
    });
    presence.is_answered = true;
    shell.metrics.note_answer(&answer, started.elapsed());
    let is_last = shell.clients.closes_after(&answer) || shell.inspect(MeshReducer::is_leaving);
    let mut response = response_of(answer, request_id);
    if is_last {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn text_of(headers: &HeaderMap, name: &str) -> Option<SmolStr> {
    headers.get(name).and_then(|it| it.to_str().ok()).map(SmolStr::from)
}

/// Returns the headers that go to the backend server: no credentials, nothing of one connection, nothing that only
/// the system itself may say.
fn passed_headers(headers: &HeaderMap) -> HeaderList {
    let named = connection_named(headers);
    headers
        .iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            !is_connection_header(name)
                && !is_set_by_system(name)
                && !named.iter().any(|it| it.eq_ignore_ascii_case(name))
        })
        .filter_map(|(name, value)| {
            Some((SmolStr::from(name.as_str()), SmolStr::from(value.to_str().ok()?)))
        })
        .collect()
}

/// Returns the headers that the client says concern only its connection.
fn connection_named(headers: &HeaderMap) -> Vec<SmolStr> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .map(|it| SmolStr::from(it.trim()))
        .collect()
}

fn response_of(answer: CallAnswer, request_id: Option<HeaderValue>) -> ClientResponse {
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
            let mut response = bare_response(status_of(outcome, reason));
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

fn bare_response(status: StatusCode) -> ClientResponse {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns the HTTP status of a refusal. 429 and 503 promise that the request has not run and never will.
fn status_of(outcome: CallOutcome, reason: RefusalReason) -> StatusCode {
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
