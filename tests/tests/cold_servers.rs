//! Process tests of backend servers that are cold: real daemons, fake table and backend servers, on loopback.

use std::time::Duration;

use anyhow::{Context, Result};
use ivytrail_tests::{
    mesh::MESH_LOCK,
    site::{
        SiteOptions, TestSite,
        backend::{COLD_WINDOW, MAX_COLD_ARRIVALS, SiteBackend, max_in_window},
        load::send_for,
    },
};
use tokio::time::sleep;

const SERVICES: [&str; 4] = ["tracker"; 4];
const DOMAINS: [&str; 4] = ["kolkata", "kolkata", "durgapur", "durgapur"];
/// Timeout of a health request.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause between two health requests.
const HEALTH_INTERVAL: Duration = Duration::from_millis(1);
/// Time for which clients send requests.
const LOAD_TIME: Duration = Duration::from_secs(7);

async fn start() -> Result<TestSite> {
    let options = SiteOptions::new(&SERVICES);
    let domains = DOMAINS.to_vec();
    let options = SiteOptions { domains, needs_warm_up: true, ..options };
    let site = TestSite::start_from(options).await?;
    site.backends.iter().for_each(SiteBackend::crash_when_cold);
    Ok(site)
}

/// Returns the greatest number of requests that a server ran in any second while it was cold.
fn max_cold_arrivals(site: &TestSite, server: usize) -> usize {
    max_in_window(&site.backends[server].cold_arrivals(), COLD_WINDOW)
}

fn n_crashes(site: &TestSite) -> usize {
    site.backends.iter().map(|it| it.crashes().len()).sum()
}

/// A daemon that starts beside a server at the moment of its return gets the server's first response. The fake must report
/// there that it is cold.
#[tokio::test(flavor = "multi_thread")]
async fn the_fake_server_is_cold_in_its_first_response_after_a_crash() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let site = start().await?;
    let url = format!("http://{}/healthz", site.backends[0].address());
    let client = reqwest::Client::builder().no_proxy().timeout(HEALTH_TIMEOUT).build()?;

    site.backends[0].crash();
    while client.get(&url).send().await.is_ok() {}
    let response = loop {
        match client.get(&url).send().await {
            Ok(response) => break response,
            Err(_) => sleep(HEALTH_INTERVAL).await,
        }
    };

    let cold_ms = response.headers().get("x-ivytrail-warmup-ms").map(|it| it.to_str());
    let cold_ms: f64 = cold_ms.context("the response has no warm-up time")??.parse()?;
    assert!(0.0 < cold_ms, "{cold_ms} ms");
    Ok(())
}

/// A server that has crashed comes back cold, while the load could crash it again and again.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_comes_back_cold_is_not_crashed_again() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let site = start().await?;

    let faults = async {
        sleep(Duration::from_secs(1)).await;
        site.backends[0].crash();
        site.backends[1].crash();
    };
    let (statuses, ()) = tokio::join!(send_for(&site, "/track/1/5", LOAD_TIME), faults);

    let log = || site.daemon_log(0);
    assert_eq!(n_crashes(&site), 2, "{statuses:?}, log:\n{}", log());
    for server in [0, 1] {
        let n_arrivals = max_cold_arrivals(&site, server);
        assert!((1..=MAX_COLD_ARRIVALS).contains(&n_arrivals), "{n_arrivals}, log:\n{}", log());
    }
    Ok(())
}

/// The servers become cold while nothing is sent to them. They say so in their announcements and health responses.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_became_cold_in_an_evacuation_are_not_crashed() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let site = start().await?;
    site.evacuate("kolkata");
    sleep(Duration::from_secs(2)).await;

    let faults = async {
        sleep(Duration::from_secs(1)).await;
        site.backends[0].chill();
        site.backends[1].chill();
        site.take_back("kolkata");
    };
    let (statuses, ()) = tokio::join!(send_for(&site, "/track/1/5", LOAD_TIME), faults);

    assert_eq!(n_crashes(&site), 0, "{statuses:?}, log:\n{}", site.daemon_log(0));
    assert!([0, 1].iter().all(|it| max_cold_arrivals(&site, *it) <= MAX_COLD_ARRIVALS));
    assert!(!site.backends[0].cold_arrivals().is_empty(), "the server is used while it is cold");
    Ok(())
}

/// The daemon beside a cold server is killed and started again in its warm-up.
#[tokio::test(flavor = "multi_thread")]
async fn a_cold_server_beside_a_restarted_daemon_is_not_crashed() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let mut site = start().await?;
    let mut daemons = std::mem::take(&mut site.daemons);
    site.backends[0].crash();
    // The server starts again after 1.5 s.
    sleep(Duration::from_millis(1_600)).await;

    let restarts = async {
        for _ in 0..3 {
            sleep(Duration::from_millis(400)).await;
            daemons[0].kill()?;
            daemons[0] = site.start_daemon(0)?;
        }
        anyhow::Ok(())
    };
    let load = send_for(&site, "/track/1/5", Duration::from_millis(1_600));
    let (statuses, restarted) = tokio::join!(load, restarts);
    restarted?;

    assert_eq!(n_crashes(&site), 1, "{statuses:?}, log:\n{}", site.daemon_log(0));
    assert!(max_cold_arrivals(&site, 0) <= MAX_COLD_ARRIVALS);
    Ok(())
}
