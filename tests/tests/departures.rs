//! Process tests of backend servers that report their shutdown: real daemons, fake table and backend servers, on loopback.

use std::time::Duration;

use anyhow::Result;
use ivytrail_tests::{
    mesh::MESH_LOCK,
    site::{TestSite, backend::FIRST_START_MS, load::send_from, table::TableMode},
};
use serde_json::json;
use tokio::time::{Instant, sleep};

/// Instance whose backend server shuts down; it belongs to the service `booking`, like that of the next instance.
const LEAVING: usize = 0;
/// Time in which an acknowledgement counts.
const MAX_ACKNOWLEDGEMENT_TIME: Duration = Duration::from_secs(1);
/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_millis(1_500);
/// Number of clients at each instance.
const CLIENTS_PER_ENTRY: usize = 2;
/// Time in which a departure is stored once the table is back.
const MAX_STORE_TIME: Duration = Duration::from_secs(10);
/// Table with the backend servers that are shutting down.
const DEPARTURE_TABLE: &str = "ivytrail-departures";

fn late_heartbeat() -> String {
    let body = json!({
        "service": "booking", "address": "127.0.0.1:1", "zone": "z", "version": "v1",
        "slots": 16, "phase": "ready", "warmup_left": 0, "sequence": 100_000,
        "born": FIRST_START_MS,
    });
    body.to_string()
}

/// Deregisters the leaving server, and returns the status and the time of the response.
async fn deregister(site: &TestSite) -> Result<(u16, Duration)> {
    site.backends[LEAVING].stop_announcing();
    // A heartbeat may be on its way.
    sleep(Duration::from_millis(100)).await;
    let sent_at = Instant::now();
    let status = site.deregister(LEAVING).await?;
    Ok((status, sent_at.elapsed()))
}

/// Sends requests for the leaving server's service, and returns the number of those that reach it.
async fn n_late_arrivals(site: &TestSite) -> usize {
    let n_before = site.backends[LEAVING].arrivals().len();
    send_from(site, "/book/1/5", LOAD_TIME, CLIENTS_PER_ENTRY).await;
    site.backends[LEAVING].arrivals().len() - n_before
}

/// Regression test for review/13: the shutdown was known to the memory of the daemons alone.
#[tokio::test(flavor = "multi_thread")]
async fn an_acknowledged_shutdown_outlasts_all_daemons() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let mut site = TestSite::start().await?;

    let (status, _) = deregister(&site).await?;
    for daemon in &mut site.daemons {
        daemon.kill()?;
    }
    for idx in 0..site.daemons.len() {
        site.daemons[idx] = site.start_daemon(idx)?;
    }
    for idx in 0..site.daemons.len() {
        site.wait_until_serving(idx).await?;
    }
    site.announce(LEAVING, &format!("server-{LEAVING}"), late_heartbeat()).await?;
    let n_late = n_late_arrivals(&site).await;

    assert_eq!((status, n_late), (200, 0), "logs:\n{}", site.logs());
    assert_ne!(site.backends[1].n_runs(), 0);
    Ok(())
}

/// A table that doesn't respond delays the acknowledgement of a shutdown only so far that it still counts, and stores the
/// shutdown later.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_is_acknowledged_without_the_table_and_stored_later() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let site = TestSite::start().await?;

    site.table.set_mode(TableMode::Unresponsive);
    let (status, took) = deregister(&site).await?;
    let n_late = n_late_arrivals(&site).await;
    site.table.set_mode(TableMode::Normal);
    let key = format!("server-{LEAVING}@{FIRST_START_MS}");
    let deadline = Instant::now() + MAX_STORE_TIME;
    while Instant::now() < deadline && !site.table.has_row(DEPARTURE_TABLE, &key) {
        sleep(Duration::from_millis(50)).await;
    }

    assert_eq!((status, n_late), (200, 0), "logs:\n{}", site.logs());
    assert!(took < MAX_ACKNOWLEDGEMENT_TIME, "{took:?}");
    assert!(site.table.has_row(DEPARTURE_TABLE, &key), "logs:\n{}", site.logs());
    Ok(())
}
