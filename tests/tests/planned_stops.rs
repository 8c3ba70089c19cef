//! Process tests of planned stops: clients keep using open connections until the daemon's process is gone.

use std::{io, time::Duration};

use anyhow::Result;
use ivytrail_fakes::process::ChildSignal;
use ivytrail_tests::{
    mesh::MESH_LOCK,
    site::{
        API_KEY, SURVEY_TIMEOUT_MS, SiteOptions, TestSite,
        persistent_connection::{PersistentConnection, SimpleRequest, SimpleResponse},
    },
    stop_soak::{StopOptions, run_stop_soak},
};
use tokio::time::{Instant, sleep, sleep_until};

/// Services of the site; the daemon of instance 0 is stopped.
const SERVICES: [&str; 2] = ["tracker", "booking"];
const GRACE: Duration = Duration::from_secs(10);
/// Time that a long request takes, in milliseconds.
const LONG_WORK_MS: u64 = 5_000;
/// Times after SIGTERM at which long requests are sent, in milliseconds.
const LATE_MS: [u64; 2] = [4_700, 6_000];

async fn start_site() -> Result<TestSite> {
    let options = SiteOptions { shutdown_grace: GRACE, ..SiteOptions::new(&SERVICES) };
    TestSite::start_from(options).await
}

fn survey<'r>(path: &'r str, id: &'r str) -> SimpleRequest<'r> {
    SimpleRequest { path, id, key: None, deadline_ms: SURVEY_TIMEOUT_MS + 7_000, body_bytes: 0 }
}

/// Sends a long request without an API key at a time, on a connection that was open before, and returns its response.
async fn send_long(
    mut connection: PersistentConnection,
    at: Instant,
    id: String,
) -> (String, io::Result<SimpleResponse>) {
    sleep_until(at).await;
    let path = format!("/survey/{id}/{LONG_WORK_MS}");
    let response = match connection.write_head(&survey(&path, &id)).await {
        Ok(()) => connection.read_response().await,
        Err(cause) => Err(cause),
    };
    (id, response)
}

/// Sends requests with a key one after the other until `until`, so that the stopping daemon has clients. Each is answered.
async fn keep_busy(site: &TestSite, until: Instant) -> Result<()> {
    for n in 0.. {
        if until <= Instant::now() {
            break;
        }
        let id = format!("busy-{n}");
        let request = SimpleRequest {
            path: "/book/busy/1500",
            id: &id,
            key: Some(API_KEY),
            deadline_ms: 2_000,
            body_bytes: 0,
        };
        let mut connection = PersistentConnection::open(site.addresses[0].caller).await?;
        connection.write_head(&request).await?;
        assert_eq!(connection.read_response().await?.status, 200, "{id}");
    }
    Ok(())
}

/// Regression test: long requests without an API key were accepted late in the grace period and interrupted by the exit.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_no_late_request_without_a_key() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let site = start_site().await?;
    let mut connections = Vec::new();
    for late_ms in LATE_MS {
        let mut connection = PersistentConnection::open(site.addresses[0].caller).await?;
        let id = format!("first-{late_ms}");
        connection.write_head(&survey("/survey/first/1", &id)).await?;
        assert_eq!(connection.read_response().await?.status, 200);
        connections.push(connection);
    }

    let stopped_at = Instant::now();
    site.terminate(0)?;
    let sent = connections.into_iter().zip(LATE_MS).map(|(connection, late_ms)| {
        let at = stopped_at + Duration::from_millis(late_ms);
        send_long(connection, at, format!("late-{late_ms}"))
    });
    let busy_until = stopped_at + Duration::from_millis(LATE_MS[1] - 500);
    let (responses, busy) =
        tokio::join!(futures_util::future::join_all(sent), keep_busy(&site, busy_until));

    busy?;
    for (id, response) in responses {
        let n_runs = site.n_runs_of(&id);
        let status = response.as_ref().map(|it| it.status).ok();
        assert_eq!((status, n_runs), (Some(503), 0), "{id}: {response:?}\n{}", site.logs());
    }
    Ok(())
}

/// A daemon without open calls exits before the end of its grace period. It must not do so while it reads a request.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_for_a_request_that_is_still_being_sent() -> Result<()> {
    const BODY_BYTES: usize = 20_000;
    let _lock = MESH_LOCK.lock().await;
    let site = start_site().await?;
    let mut connection = PersistentConnection::open(site.addresses[0].caller).await?;
    let request = SimpleRequest {
        path: "/book/upload/5",
        id: "upload",
        key: Some(API_KEY),
        deadline_ms: 5_000,
        body_bytes: BODY_BYTES,
    };

    site.terminate(0)?;
    sleep(Duration::from_millis(1_500)).await;
    connection.write_head(&request).await?;
    connection.write_body(BODY_BYTES / 2).await?;
    sleep(Duration::from_millis(2_500)).await;
    connection.write_body(BODY_BYTES / 2).await?;
    let response = connection.read_response().await;

    assert_eq!(response.as_ref().map(|it| it.status).ok(), Some(200), "{response:?}");
    assert_eq!(site.n_runs_of("upload"), 1);
    Ok(())
}

/// A daemon accepts requests by the time of its exit. A shorter grace period that is set later must not bring the exit
/// forward.
#[tokio::test(flavor = "multi_thread")]
async fn a_changed_grace_period_does_not_affect_a_stop_in_progress() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let site = start_site().await?;
    let connection = PersistentConnection::open(site.addresses[0].caller).await?;

    let stopped_at = Instant::now();
    site.terminate(0)?;
    site.write_settings(0, Duration::from_secs(4))?;
    sleep(Duration::from_millis(100)).await;
    site.daemons[0].signal(ChildSignal::HangUp)?;
    let at = stopped_at + Duration::from_millis(1_000);
    let (_, response) = send_long(connection, at, "accepted".to_string()).await;

    let status = response.as_ref().map(|it| it.status).ok();
    assert_eq!(status, Some(200), "{response:?}\n{}", site.logs());
    Ok(())
}

/// Short seeded soak against requests that an exit interrupts; `scripts/stops` runs more and longer ones.
#[tokio::test(flavor = "multi_thread")]
async fn overlapping_stops_cut_off_no_request() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let duration = Duration::from_secs(15);

    let report = run_stop_soak(StopOptions { seed: 1, duration, n_instances: 4 }).await?;

    assert_eq!(report.violations, Vec::<String>::new());
    assert!(2 < report.n_stops && 10 < report.n_late, "{report:?}");
    Ok(())
}
