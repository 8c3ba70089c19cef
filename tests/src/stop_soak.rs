//! Seeded soak of planned stops: daemons are stopped in series that overlap, with repeated signals, while clients keep
//! sending on open connections until the processes are gone.

use std::{collections::BTreeMap, time::Duration};

use anyhow::Result;
use ivytrail_fakes::process::ChildSignal;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::{
    sync::watch,
    time::{Instant, sleep, sleep_until},
};

use crate::site::{
    API_KEY, SURVEY_TIMEOUT_MS, SiteOptions, TestSite,
    backend::{LONG_CALL_SEGMENT, NESTED_CALL_SEGMENT},
    persistent_connection::{PersistentConnection, SimpleRequest},
};

/// Services that the instances have in turn.
const SERVICES: [&str; 2] = ["booking", "tracker"];
/// Shutdown grace period of the daemons.
const GRACE: Duration = Duration::from_secs(10);
/// Time after the grace period for the exit of a process on a busy machine.
const EXIT_TOLERANCE: Duration = Duration::from_secs(1);
/// Time after SIGTERM up to which a request may be cut off whose server is still at work at the end of the grace period.
const EXCUSED_TIME: Duration = Duration::from_secs(3);
/// Clients of each instance.
const CLIENTS_PER_INSTANCE: usize = 6;
/// Share of the requests that last for seconds.
const SURVEY_SHARE: f64 = 0.15;
/// Range of the time that such a request takes, in milliseconds.
const SURVEY_WORK_MS: std::ops::Range<u64> = 300..6_000;
/// Share of the nested calls of audits that last for seconds. Most are short, so that the mean run time of their route is.
const LONG_CALL_SHARE: f64 = 0.06;
/// Range of the time that such a call takes, in milliseconds, and of the time that the others take.
const LONG_CALL_MS: std::ops::Range<u64> = 2_500..6_000;
const CALL_MS: std::ops::Range<u64> = 20..200;
/// Range of the time that other requests take, in milliseconds.
const WORK_MS: std::ops::Range<u64> = 0..60;
/// Range of the time between two stops, in milliseconds.
const STOP_INTERVAL_MS: std::ops::Range<u64> = 300..3_000;
/// Interval between two checks of the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for runs in progress to end before the checks.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Extent of a soak.
#[derive(Clone, Copy, Debug)]
pub struct StopOptions {
    /// Seed of the stops and of the requests.
    pub seed: u64,
    /// Time in which daemons are stopped.
    pub duration: Duration,
    /// Number of instances.
    pub n_instances: usize,
}

/// Result of one soak.
#[derive(Debug, Default)]
pub struct StopReport {
    /// Number of requests that clients sent.
    pub n_calls: usize,
    /// Number of requests that were sent to a stopping daemon more than 3 s after SIGTERM.
    pub n_late: usize,
    /// Number of stops.
    pub n_stops: usize,
    /// Number of responses by status; 0 stands for a connection that ended without a response.
    pub statuses: BTreeMap<u16, usize>,
    /// Descriptions of violated guarantees, followed by the daemons' logs when there are any.
    pub violations: Vec<String>,
}

/// A request as its client observed it.
#[derive(Clone, Debug)]
struct SentRequest {
    id: String,
    path: String,
    entry: usize,
    sent_at: Instant,
    /// Status, or `None` if the connection ended without a complete response.
    status: Option<u16>,
}

/// A stop of a daemon.
#[derive(Clone, Copy, Debug)]
struct StopRecord {
    instance: usize,
    requested_at: Instant,
    exited_at: Option<Instant>,
}

impl StopRecord {
    /// Returns whether a request that was sent to the daemon of instance `entry` at `sent_at` falls into the stop.
    fn covers(&self, entry: usize, sent_at: Instant) -> bool {
        self.instance == entry
            && self.requested_at <= sent_at
            && self.exited_at.is_none_or(|it| sent_at <= it)
    }
}

/// Runs one soak.
///
/// # Errors
///
/// Returns an error when the site can't be started or a process can't be controlled. Such an error says nothing about
/// the guarantees.
pub async fn run_stop_soak(options: StopOptions) -> Result<StopReport> {
    let services: Vec<&str> = SERVICES.into_iter().cycle().take(options.n_instances).collect();
    let site_options = SiteOptions { shutdown_grace: GRACE, ..SiteOptions::new(&services) };
    let mut site = TestSite::start_from(site_options).await?;
    let sent = Mutex::new(Vec::new());
    let is_stopped = watch::Sender::new(false);
    let entries: Vec<_> = site.addresses.iter().map(|it| it.caller).collect();
    let clients = (0..options.n_instances * CLIENTS_PER_INSTANCE).map(|client| {
        let entry = client % options.n_instances;
        let rng = SmallRng::seed_from_u64(options.seed ^ (client as u64 + 1) << 32);
        run_client(client, entry, entries[entry], rng, &sent, is_stopped.subscribe())
    });
    let mut report = StopReport::default();
    let stops = async {
        let stops = stop_daemons(&mut site, options, &mut report.violations).await;
        is_stopped.send_replace(true);
        stops
    };
    let (stops, ..) = tokio::join!(stops, futures_util::future::join_all(clients));
    let stops = stops?;
    sleep(SETTLE_TIME).await;
    let requests = sent.into_inner();
    report.n_stops = stops.len();
    check_requests(&site, &requests, &stops, &mut report);
    check_nested_calls(&site, &stops, &mut report);
    if !report.violations.is_empty() {
        report.violations.push(site.logs());
    }
    Ok(report)
}

/// Sends requests one after the other until `is_stopped` is set, on a connection that is opened again when it has ended.
async fn run_client(
    client: usize,
    entry: usize,
    address: std::net::SocketAddr,
    mut rng: SmallRng,
    sent: &Mutex<Vec<SentRequest>>,
    is_stopped: watch::Receiver<bool>,
) {
    let mut connection = None;
    for n in 0_u64.. {
        if *is_stopped.borrow() {
            return;
        }
        sleep(Duration::from_millis(rng.random_range(5..60))).await;
        let mut open = match connection.take() {
            Some(open) => open,
            None => match PersistentConnection::open(address).await {
                Ok(open) => open,
                Err(_) => continue,
            },
        };
        let id = format!("s{client}-{n}");
        let work_ms = rng.random_range(WORK_MS);
        let (path, key) = match rng.random_range(0.0..1.0) {
            share if share < SURVEY_SHARE => {
                (format!("/survey/{id}/{}", rng.random_range(SURVEY_WORK_MS)), None)
            }
            share if share < 0.3 => (format!("/ledger/{id}/{work_ms}"), None),
            share if share < 0.5 => {
                (format!("/book{NESTED_CALL_SEGMENT}{id}/{work_ms}"), Some(API_KEY))
            }
            share if share < 0.75 => (format!("/book/{id}/{work_ms}"), Some(API_KEY)),
            share if share < 0.95 => {
                let is_long = rng.random_bool(LONG_CALL_SHARE);
                let call_ms = rng.random_range(if is_long { LONG_CALL_MS } else { CALL_MS });
                (format!("/audit{LONG_CALL_SEGMENT}{call_ms}/{id}/{work_ms}"), None)
            }
            _ => (format!("/track/{id}/{work_ms}"), Some(API_KEY)),
        };
        let request = SimpleRequest {
            path: &path,
            id: &id,
            key,
            deadline_ms: SURVEY_TIMEOUT_MS + 1_000,
            body_bytes: 0,
        };
        let sent_at = Instant::now();
        let response = match open.write_head(&request).await {
            Ok(()) => open.read_response().await.ok(),
            Err(_) => None,
        };
        let status = response.as_ref().map(|it| it.status);
        if response.is_some_and(|it| !it.is_closing) {
            connection = Some(open);
        }
        sent.lock().push(SentRequest { id, path, entry, sent_at, status });
    }
}

/// Stops daemons and starts them again, and returns the stops. At most half of the daemons are stopping at a time.
async fn stop_daemons(
    site: &mut TestSite,
    options: StopOptions,
    violations: &mut Vec<String>,
) -> Result<Vec<StopRecord>> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let started_at = Instant::now();
    let mut stops: Vec<StopRecord> = Vec::new();
    let mut next_stop_at = started_at;
    loop {
        let now = Instant::now();
        let is_over = started_at + options.duration <= now;
        let n_stopping = stops.iter().filter(|it| it.exited_at.is_none()).count();
        if is_over && n_stopping == 0 {
            return Ok(stops);
        }
        let instance = rng.random_range(0..options.n_instances);
        if next_stop_at <= now && !is_over {
            next_stop_at = now + Duration::from_millis(rng.random_range(STOP_INTERVAL_MS));
            let is_stopping =
                stops.iter().any(|it| it.instance == instance && it.exited_at.is_none());
            match is_stopping {
                true => repeat_signal(site, instance, &mut rng)?,
                false if 2 * n_stopping < options.n_instances => {
                    let requested_at = Instant::now();
                    site.terminate(instance)?;
                    stops.push(StopRecord { instance, requested_at, exited_at: None });
                }
                false => {}
            }
        }
        restart_exited(site, &mut stops, violations)?;
        sleep_until(now + POLL_INTERVAL).await;
    }
}

/// Sends a further signal to a daemon that is stopping.
fn repeat_signal(site: &TestSite, instance: usize, rng: &mut SmallRng) -> Result<()> {
    let signals = [ChildSignal::Terminate, ChildSignal::HangUp];
    let signal = signals[rng.random_range(0..signals.len())];
    match site.daemons[instance].signal(signal) {
        // The process may have just exited.
        Err(_) => Ok(()),
        sent => sent,
    }
}

fn restart_exited(
    site: &mut TestSite,
    stops: &mut [StopRecord],
    violations: &mut Vec<String>,
) -> Result<()> {
    for stop in stops.iter_mut().filter(|it| it.exited_at.is_none()) {
        let instance = stop.instance;
        let elapsed = stop.requested_at.elapsed();
        match site.daemons[instance].exit_success() {
            Some(is_success) => {
                if !is_success {
                    violations.push(format!("instance {instance} failed at its exit"));
                }
                stop.exited_at = Some(Instant::now());
                site.daemons[instance] = site.start_daemon(instance)?;
            }
            None if GRACE + EXIT_TOLERANCE < elapsed => {
                violations.push(format!("instance {instance} still runs after its grace period"));
                site.daemons[instance].kill()?;
            }
            None => {}
        }
    }
    Ok(())
}

/// Checks the outcome of each request against its runs at backend servers.
fn check_requests(
    site: &TestSite,
    requests: &[SentRequest],
    stops: &[StopRecord],
    report: &mut StopReport,
) {
    for request in requests {
        let n_runs = site.n_runs_of(&request.id);
        let stop = stops.iter().find(|it| it.covers(request.entry, request.sent_at));
        let sent_after = stop.map(|it| request.sent_at - it.requested_at);
        let is_late = sent_after.is_some_and(|it| EXCUSED_TIME < it);
        let mut fail = |problem: &str| {
            let problem =
                format!("{problem}: {request:?}, runs {n_runs}, after SIGTERM {sent_after:?}");
            report.violations.push(problem);
        };
        match request.status {
            Some(408 | 421 | 429 | 503) if 0 < n_runs => fail("rejected after it ran"),
            Some(200) if n_runs == 0 => fail("succeeded without a run"),
            Some(400 | 401 | 403 | 404) => fail("a valid request was rejected"),
            None if 0 < n_runs && (stop.is_none() || is_late) => fail("cut off"),
            _ => {}
        }
        if !is_idempotent(&request.path) && 1 < n_runs {
            fail("a non-idempotent request ran more than once");
        }
        report.n_late += usize::from(is_late);
        *report.statuses.entry(request.status.unwrap_or(0)).or_default() += 1;
    }
    report.n_calls = requests.len();
}

/// Checks the nested calls whose connections ended without a response: only early ones may be interrupted by an exit.
fn check_nested_calls(site: &TestSite, stops: &[StopRecord], report: &mut StopReport) {
    for (entry, backend) in site.backends.iter().enumerate() {
        for call in backend.broken_calls() {
            let stop = stops.iter().find(|it| it.covers(entry, call.sent_at));
            let sent_after = stop.map(|it| call.sent_at - it.requested_at);
            let is_excused = sent_after.is_some_and(|it| it <= EXCUSED_TIME);
            let n_runs = site.n_runs_of(&call.id);
            if 0 < n_runs && !is_excused {
                report.violations.push(format!(
                    "nested call cut off at instance {entry}: {call:?}, runs {n_runs}, after SIGTERM {sent_after:?}"
                ));
            }
        }
    }
}

fn is_idempotent(path: &str) -> bool {
    ["/track/", "/ledger/", "/audit/"].iter().any(|it| path.starts_with(it))
}
