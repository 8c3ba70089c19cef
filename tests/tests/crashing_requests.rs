//! Process tests of requests that crash backend servers: real daemons, fake table and backend servers, on loopback.

use std::time::Duration;

use anyhow::Result;
use ivytrail_tests::{
    mesh::MESH_LOCK,
    site::{
        TestSite,
        backend::{CRASH_SEGMENT, SiteBackend},
        load::{send_for, status_at},
    },
};
use tokio::time::{Instant, sleep};

/// Time after the third crash from which on a crashing request may reach backend servers only a few times.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Number of crashes before that.
const N_FREE_CRASHES: usize = 3;
/// Number of times that the request may reach backend servers later, in all.
const MAX_LATE_ARRIVALS: usize = 3;

/// Sends a request that crashes backend servers to all entries in turn, once per `interval` for `duration`. Returns the
/// number of its arrivals at backend servers that count after the third crash.
async fn n_late_arrivals(
    site: &TestSite,
    name: &str,
    interval: Duration,
    duration: Duration,
) -> usize {
    let path = format!("/track{CRASH_SEGMENT}{name}/20");
    let until = Instant::now() + duration;
    for n in 0.. {
        if until <= Instant::now() {
            break;
        }
        let id = format!("{name}-{n}");
        status_at(site, n % site.addresses.len(), &path, &id).await;
        sleep(interval).await;
    }
    let mut crashes: Vec<Instant> = site.backends.iter().flat_map(SiteBackend::crashes).collect();
    crashes.sort_unstable();
    let Some(third) = crashes.get(N_FREE_CRASHES - 1) else { return 0 };
    let arrivals = site.backends.iter().flat_map(SiteBackend::arrivals);
    let is_counted =
        |(at, id): &(Instant, String)| id.starts_with(name) && *third + STABILITY_WINDOW < *at;
    arrivals.filter(is_counted).count()
}

/// Guards against a quarantine that ends by itself while nothing bounds what follows: requests that crash each backend
/// server that runs them come again and again, beside other requests, and none is alone at a crash.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_crash_backend_servers_are_not_sent_to_them_again() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let site = TestSite::start_with(&["tracker"; 3], false).await?;
    let interval = Duration::from_millis(100);
    let duration = Duration::from_secs(22);

    let (first, second, third, statuses) = tokio::join!(
        n_late_arrivals(&site, "first", interval, duration),
        n_late_arrivals(&site, "second", interval, duration),
        n_late_arrivals(&site, "third", interval, duration),
        send_for(&site, "/track/20", duration),
    );

    let n_late = [first, second, third];
    let log = || site.daemon_log(0);
    assert!(n_late.iter().all(|it| *it <= MAX_LATE_ARRIVALS), "{n_late:?}, log:\n{}", log());
    assert!(0 < statuses[&200], "{statuses:?}");
    Ok(())
}

/// Guards against crashes that leave no evidence, because no other request meets the crashed server.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_backend_servers_is_noticed_without_other_requests() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let site = TestSite::start_with(&["tracker"; 3], false).await?;
    let interval = Duration::from_millis(1_600);

    let n_late = n_late_arrivals(&site, "culprit", interval, Duration::from_secs(16)).await;

    assert!(n_late <= MAX_LATE_ARRIVALS, "{n_late} late arrivals, log:\n{}", site.daemon_log(0));
    Ok(())
}

/// Guards against a restart of all daemons at once, after which none knows of the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_restart_of_all_daemons_releases_no_request_that_crashes_backend_servers() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let mut site = TestSite::start_with(&["tracker"; 3], false).await?;
    let n_before =
        n_arrivals(&site, "before", Duration::from_millis(100), Duration::from_secs(4)).await;
    sleep(Duration::from_secs(1)).await;

    for idx in 0..3 {
        site.daemons[idx].kill()?;
    }
    for idx in 0..3 {
        site.daemons[idx] = site.start_daemon(idx)?;
    }
    for idx in 0..3 {
        site.wait_until_serving(idx).await?;
    }
    let n_after =
        n_arrivals(&site, "after", Duration::from_millis(100), Duration::from_secs(4)).await;

    assert!(2 <= n_before, "{n_before} arrivals before the restart");
    assert_eq!(n_after, 0, "log:\n{}", site.daemon_log(0));
    Ok(())
}

/// Sends one request that crashes backend servers, with identifiers that begin with `name`, to all entries in turn for
/// `duration`. Returns the number of its arrivals at backend servers.
async fn n_arrivals(site: &TestSite, name: &str, interval: Duration, duration: Duration) -> usize {
    let path = format!("/track{CRASH_SEGMENT}same/20");
    let until = Instant::now() + duration;
    for n in 0.. {
        if until <= Instant::now() {
            break;
        }
        status_at(site, n % site.addresses.len(), &path, &format!("{name}-{n}")).await;
        sleep(interval).await;
    }
    let arrivals = site.backends.iter().flat_map(SiteBackend::arrivals);
    arrivals.filter(|(_, id)| id.starts_with(name)).count()
}
