//! HTTP endpoints for the platform's readiness probe and for announcements of the local backend server.

use std::{convert::Infallible, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE, header::HeaderValue,
    server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use ivytrail::mesh::{MeshReducer, event::MeshEvent};
use ivytrail_platform::{
    announcement::{ServerAnnouncement, parse_announcement},
    headers::READY_PATH,
};
use tokio::net::TcpListener;

use super::{
    acceptor::accept_next,
    body_reader::read_request_body,
    driver::{MeshDriver, unix_millis},
};

/// Maximum size of the body of an announcement, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Handles a request by its path and body; returns status, content type and body of the response.
type RequestHandler = fn(&Rc<MeshDriver>, &str, &[u8]) -> (StatusCode, &'static str, Bytes);

/// Serves the platform's readiness probe at `address`.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn listen_health(driver: &Rc<MeshDriver>, address: SocketAddr) -> anyhow::Result<()> {
    listen(driver, address, handle_health).await
}

/// Serves the endpoint to which the local backend server sends its announcements.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn listen_announcements(
    driver: &Rc<MeshDriver>,
    address: SocketAddr,
) -> anyhow::Result<()> {
    listen(driver, address, handle_announcement).await
}

/// Serves HTTP at `address` and passes each request to `handler`.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn listen(
    driver: &Rc<MeshDriver>,
    address: SocketAddr,
    handler: RequestHandler,
) -> anyhow::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let driver = Rc::clone(driver);
    tokio::task::spawn_local(async move {
        loop {
            let (stream, _) = accept_next(|| listener.accept()).await;
            let driver = Rc::clone(&driver);
            tokio::task::spawn_local(async move {
                let service =
                    service_fn(|request| handle_request(Rc::clone(&driver), request, handler));
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

async fn handle_request(
    driver: Rc<MeshDriver>,
    request: Request<Incoming>,
    handler: RequestHandler,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = request.into_parts();
    let (status, content_type, body) = match read_request_body(body, MAX_BODY_BYTES).await {
        Ok(body) => handler(&driver, parts.uri.path(), &body),
        Err(_) => (StatusCode::BAD_REQUEST, "text/plain", Bytes::new()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    Ok(response)
}

fn handle_health(
    driver: &Rc<MeshDriver>,
    path: &str,
    _body: &[u8],
) -> (StatusCode, &'static str, Bytes) {
    let status = match (path, driver.inspect(MeshReducer::is_ready)) {
        (READY_PATH, true) => StatusCode::OK,
        (READY_PATH, false) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    (status, "text/plain", Bytes::new())
}

fn handle_announcement(
    driver: &Rc<MeshDriver>,
    path: &str,
    body: &[u8],
) -> (StatusCode, &'static str, Bytes) {
    let json = "application/json";
    match parse_announcement(path, body, unix_millis()) {
        Some(Ok(ServerAnnouncement::Heartbeat { advertisement, sequence })) => {
            driver.apply(MeshEvent::ServerAnnounced { advertisement, sequence });
            (StatusCode::OK, json, Bytes::from_static(b"{}"))
        }
        Some(Ok(ServerAnnouncement::Deregister { id })) => {
            driver.apply(MeshEvent::ServerLeaving { id: id.into() });
            (StatusCode::OK, json, Bytes::from_static(b"{}"))
        }
        Some(Err(cause)) => {
            log::warn!("event=announcement_unreadable path={path} cause={cause:?}");
            (StatusCode::BAD_REQUEST, "text/plain", Bytes::from(cause))
        }
        None => (StatusCode::NOT_FOUND, "text/plain", Bytes::new()),
    }
}
