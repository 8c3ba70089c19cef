//! Health probes of the backend server: after a start of the daemon, and when the server may have become cold.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, header::HeaderValue};
use ivytrail::{
    id::ServiceName,
    mesh::{
        event::{HealthReport, MeshEvent},
        frame::{ServerAdvertisement, ServerNotice, ServerPhase},
    },
};
use ivytrail_platform::headers::{SERVER_ID, SERVER_LOAD, parse_slots};
use smol_str::{SmolStr, ToSmolStr};
use tokio::time::timeout;

use super::{BackendPool, notice_of};
use crate::mesh::driver::MeshDriver;

/// Interval between probes of the backend server after a start.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of probes of the backend server after a start. Later the daemon relies on the server's announcements.
const MAX_PROBES: usize = 3;
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Probes the backend server once the settings are known, so that a daemon that restarts beside a running backend
/// server need not wait for its next announcement.
pub async fn probe_at_start(driver: Rc<MeshDriver>) {
    let mut n_probes = 0;
    while driver.inspect(|it| it.server().is_none()) && n_probes < MAX_PROBES {
        let service = driver.inspect(|it| it.service().clone());
        let path = driver.inspect(|it| {
            it.settings().and_then(|it| it.service(&service)).map(|it| it.health_path.clone())
        });
        if let Some(path) = path {
            n_probes += 1;
            let found = find_server(&driver.pool, &path, &service).await;
            if let Some((advertisement, notice)) = found
                && driver.inspect(|it| it.server().is_none() && *it.service() == service)
            {
                let id = advertisement.id.clone();
                driver.apply(MeshEvent::ServerAnnounced { advertisement, sequence: 0 });
                driver.apply(MeshEvent::ServerNoticed { id, notice });
            }
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Returns what the backend server reports at its health path, or `None` if it sends no response in time that identifies it.
/// A server that reports itself unhealthy knows its state as well.
pub async fn health_report(pool: &BackendPool, path: &str) -> Option<HealthReport> {
    let response = timeout(PROBE_TIMEOUT, probe(pool, path)).await.ok()??;
    let server_id = server_id_of(&response)?;
    let cold_for = notice_of(response.headers()).cold_for.unwrap_or_default();
    Some(HealthReport { server_id, cold_for })
}

async fn find_server(
    pool: &BackendPool,
    path: &str,
    service: &ServiceName,
) -> Option<(ServerAdvertisement, ServerNotice)> {
    let response = timeout(PROBE_TIMEOUT, probe(pool, path)).await.ok()??;
    if response.status() != StatusCode::OK {
        return None;
    }
    let id = server_id_of(&response)?;
    let notice = notice_of(response.headers());
    let load = response.headers().get(SERVER_LOAD)?.to_str().ok()?;
    let slots = parse_slots(load)?;
    let advertisement = ServerAdvertisement {
        id,
        started_at_ms: 0,
        service: service.clone(),
        slots,
        phase: ServerPhase::Ready,
        warm_up: notice.cold_for.unwrap_or_default(),
    };
    Some((advertisement, notice))
}

async fn probe(pool: &BackendPool, path: &str) -> Option<Response<Incoming>> {
    let mut connection = pool.connect().await.ok()?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().ok()?;
    let host = HeaderValue::from_str(&pool.address.to_string()).ok()?;
    request.headers_mut().insert("host", host);
    connection.sender.send_request(request).await.ok()
}

fn server_id_of(response: &Response<Incoming>) -> Option<SmolStr> {
    Some(response.headers().get(SERVER_ID)?.to_str().ok()?.to_smolstr())
}
