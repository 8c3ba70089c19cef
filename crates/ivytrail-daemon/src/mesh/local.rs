//! Calls of the platform and of the own backend server: readiness and announcements.

use std::{convert::Infallible, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE, header::HeaderValue,
    server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use ivytrail::mesh::{MeshReducer, event::MeshEvent};
use ivytrail_platform::{
    announcement::{ServerCall, read_call},
    headers::READY_PATH,
};
use tokio::net::TcpListener;

use super::shell::MeshShell;

/// Largest body of a call, in bytes.
const MAX_CALL_BYTES: usize = 64 << 10;

/// Answers calls on one address.
type CallHandler = fn(&Rc<MeshShell>, &str, &[u8]) -> (StatusCode, &'static str, Bytes);

/// Binds the address on which the platform asks for readiness.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub async fn listen_health(shell: &Rc<MeshShell>, address: SocketAddr) -> anyhow::Result<()> {
    listen(shell, address, answer_health).await
}

/// Binds the address on which the own backend server announces itself.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub async fn listen_server(shell: &Rc<MeshShell>, address: SocketAddr) -> anyhow::Result<()> {
    listen(shell, address, answer_server).await
}

/// Binds an address and answers each call by `handler`.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub async fn listen(
    shell: &Rc<MeshShell>,
    address: SocketAddr,
    handler: CallHandler,
) -> anyhow::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let shell = Rc::clone(shell);
    tokio::task::spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::task::yield_now().await;
                continue;
            };
            let shell = Rc::clone(&shell);
            tokio::task::spawn_local(async move {
                let service = service_fn(|request| answer(Rc::clone(&shell), request, handler));
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .serve_connection(TokioIo::new(stream), service);
                if let Err(cause) = connection.await {
                    log::debug!("event=local_connection_ended cause={:?}", cause.to_string());
                }
            });
        }
    });
    Ok(())
}

async fn answer(
    shell: Rc<MeshShell>,
    request: Request<Incoming>,
    handler: CallHandler,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = request.into_parts();
    let (status, content_type, body) = match Limited::new(body, MAX_CALL_BYTES).collect().await {
        Ok(body) => handler(&shell, parts.uri.path(), &body.to_bytes()),
        Err(_) => (StatusCode::BAD_REQUEST, "text/plain", Bytes::new()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    Ok(response)
}

fn answer_health(
    shell: &Rc<MeshShell>,
    path: &str,
    _body: &[u8],
) -> (StatusCode, &'static str, Bytes) {
    let status = match (path, shell.inspect(MeshReducer::is_ready)) {
        (READY_PATH, true) => StatusCode::OK,
        (READY_PATH, false) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    (status, "text/plain", Bytes::new())
}

fn answer_server(
    shell: &Rc<MeshShell>,
    path: &str,
    body: &[u8],
) -> (StatusCode, &'static str, Bytes) {
    let json = "application/json";
    match read_call(path, body) {
        Some(Ok(ServerCall::Heartbeat { card, sequence })) => {
            shell.apply(MeshEvent::ServerAnnounced { advertisement: card, sequence });
            (StatusCode::OK, json, Bytes::from_static(b"{}"))
        }
        Some(Ok(ServerCall::Leave { id })) => {
            shell.apply(MeshEvent::ServerLeaving { id: id.into() });
            (StatusCode::OK, json, Bytes::from_static(b"{}"))
        }
        Some(Err(cause)) => {
            log::warn!("event=announcement_unreadable path={path} cause={cause:?}");
            (StatusCode::BAD_REQUEST, "text/plain", Bytes::from(cause))
        }
        None => (StatusCode::NOT_FOUND, "text/plain", Bytes::new()),
    }
}
