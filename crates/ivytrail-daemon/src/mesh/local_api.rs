//! HTTP endpoints for the platform's readiness probe and for announcements of the local backend server.

use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE, header::HeaderValue,
    server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use ivytrail::mesh::{MeshReducer, event::MeshEvent, frame::ServerPhase};
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

/// Maximum time for which the response to an announcement waits until the departure that it reports is stored. Backend
/// servers take a response as an acknowledgement for one second.
const MAX_DEPARTURE_WAIT: Duration = Duration::from_millis(700);

/// Status, content type and body of a response.
pub type LocalResponse = (StatusCode, &'static str, Bytes);

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

/// Serves HTTP at `address` and passes the path and the body of each request to `handler`.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn listen<H>(
    driver: &Rc<MeshDriver>,
    address: SocketAddr,
    handler: H,
) -> anyhow::Result<()>
where
    H: AsyncFn(&Rc<MeshDriver>, &str, &[u8]) -> LocalResponse + Copy + 'static,
{
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

async fn handle_request<H>(
    driver: Rc<MeshDriver>,
    request: Request<Incoming>,
    handler: H,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: AsyncFn(&Rc<MeshDriver>, &str, &[u8]) -> LocalResponse,
{
    let (parts, body) = request.into_parts();
    let (status, content_type, body) = match read_request_body(body, MAX_BODY_BYTES).await {
        Ok(body) => handler(&driver, parts.uri.path(), &body).await,
        Err(_) => (StatusCode::BAD_REQUEST, "text/plain", Bytes::new()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    Ok(response)
}

async fn handle_health(driver: &Rc<MeshDriver>, path: &str, _body: &[u8]) -> LocalResponse {
    let status = match (path, driver.inspect(MeshReducer::is_ready)) {
        (READY_PATH, true) => StatusCode::OK,
        (READY_PATH, false) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    (status, "text/plain", Bytes::new())
}

async fn handle_announcement(driver: &Rc<MeshDriver>, path: &str, body: &[u8]) -> LocalResponse {
    let json = "application/json";
    match parse_announcement(path, body, unix_millis()) {
        Some(Ok(ServerAnnouncement::Heartbeat { advertisement, sequence })) => {
            let is_leaving = advertisement.phase == ServerPhase::Draining;
            driver.apply(MeshEvent::ServerAnnounced { advertisement, sequence });
            if is_leaving {
                driver.wait_until_departures_saved(MAX_DEPARTURE_WAIT).await;
            }
            (StatusCode::OK, json, Bytes::from_static(b"{}"))
        }
        Some(Ok(ServerAnnouncement::Deregister { id, started_at_ms })) => {
            driver.apply(MeshEvent::ServerLeaving { id: id.into(), started_at_ms });
            driver.wait_until_departures_saved(MAX_DEPARTURE_WAIT).await;
            (StatusCode::OK, json, Bytes::from_static(b"{}"))
        }
        Some(Err(cause)) => {
            log::warn!("event=announcement_unreadable path={path} cause={cause:?}");
            (StatusCode::BAD_REQUEST, "text/plain", Bytes::from(cause))
        }
        None => (StatusCode::NOT_FOUND, "text/plain", Bytes::new()),
    }
}
