//! A randomised soak of real daemons on loopback: faults are injected from outside, promises are checked from what
//! callers and backend servers see.

pub mod plan;
pub mod proxy;
mod supervisor;

use std::{collections::BTreeMap, time::Duration};

use anyhow::Result;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use reqwest::Client;
use tokio::time::{Instant, sleep, sleep_until};

use self::{
    plan::{FaultKind, FaultStep, PathKind},
    proxy::PathState,
    supervisor::{ProcessFault, Supervisor},
};
use crate::site::{
    KEY, SECOND_KEY, TestSite,
    backend::{CALLS_MARK, SiteBackend},
    config_with,
    table::TableMood,
};

/// Services of the instances.
const SERVICES: [&str; 6] = ["booking", "tracker", "booking", "tracker", "booking", "tracker"];
/// Clients at each instance; each sends one request after the other.
const CLIENTS_PER_INSTANCE: usize = 3;
/// Deadline of a request, as its client says it.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time after the deadline by which an answer is there, from the pages' rule on timeouts.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Time after the last fault in which all daemons serve again, and know the settings in force.
const RECOVERY: Duration = Duration::from_secs(5);
/// Time in which what still runs ends.
const SETTLING: Duration = Duration::from_secs(3);
/// Requests that are sent to each instance after the recovery.
const N_PROBES: usize = 20;
/// Time between two looks at the processes.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Version of the settings that withdraws the second key.
const LAST_VERSION: u64 = 1_000;

/// What a client saw of one request.
#[derive(Clone, Debug)]
struct SeenCall {
    id: String,
    path: String,
    entry: usize,
    /// Status, whether the answer is signed, and its body; `None` when the connection ended without an answer.
    answer: Option<(u16, bool, String)>,
    started: Instant,
    took: Duration,
}

/// What a run of the soak found.
#[derive(Debug, Default)]
pub struct FaultReport {
    /// Requests that clients sent.
    pub n_calls: usize,
    /// Answers by status; 0 stands for a connection that ended without one.
    pub statuses: BTreeMap<u16, usize>,
    /// Faults by kind.
    pub faults: BTreeMap<String, usize>,
    /// Broken promises.
    pub violations: Vec<String>,
}

/// Runs clients and the faults of `seed` for a while, heals everything and checks what was promised.
///
/// # Errors
///
/// Returns an error when the site can't be started or a program can't be controlled; its message holds no verdict.
pub async fn run_faults(seed: u64, span: Duration) -> Result<FaultReport> {
    let mut site = TestSite::start_with(&SERVICES, true).await?;
    site.table.put_config(&config_with(2, &[KEY, SECOND_KEY]));
    sleep(Duration::from_secs(1)).await;
    let steps = plan::steps_of(seed, span, SERVICES.len());
    let mut report = FaultReport::default();
    for step in &steps {
        *report.faults.entry(step.kind.to_string()).or_default() += 1;
    }
    let seen = Mutex::new(Vec::new());
    let entries: Vec<_> = site.addresses.iter().map(|it| it.caller).collect();
    let is_over = tokio::sync::watch::Sender::new(false);
    let clients = (0..SERVICES.len() * CLIENTS_PER_INSTANCE).map(|client| {
        let entry = client % SERVICES.len();
        let rng = SmallRng::seed_from_u64(seed ^ (client as u64) << 32);
        drive_client(client, entry, entries[entry], rng, &seen, is_over.subscribe())
    });
    let faults = async {
        let process_faults = inject(&mut site, &steps, &mut report.violations).await;
        is_over.send_replace(true);
        process_faults
    };
    let (process_faults, ..) = tokio::join!(faults, futures_util::future::join_all(clients));
    let process_faults = process_faults?;
    check_recovery(&site, &mut report.violations).await;
    sleep(SETTLING).await;
    let calls = seen.into_inner();
    check_calls(&site, &calls, &process_faults, &mut report.violations);
    for call in &calls {
        let status = call.answer.as_ref().map_or(0, |(status, ..)| *status);
        *report.statuses.entry(status).or_default() += 1;
    }
    report.n_calls = calls.len();
    if !report.violations.is_empty() {
        for idx in 0..SERVICES.len() {
            report.violations.push(format!("log of instance {idx}:\n{}", site.log_of(idx)));
        }
    }
    Ok(report)
}

/// Sends one request after the other over kept connections until told to stop.
async fn drive_client(
    client_id: usize,
    entry: usize,
    address: std::net::SocketAddr,
    mut rng: SmallRng,
    seen: &Mutex<Vec<SeenCall>>,
    is_over: tokio::sync::watch::Receiver<bool>,
) {
    let client = Client::builder()
        .no_proxy()
        .timeout(DEADLINE + ANSWER_SLACK * 4)
        .build()
        .expect("a plain client can be built");
    for n in 0_u64.. {
        if *is_over.borrow() {
            return;
        }
        let id = format!("c{client_id}-{n}");
        let work_ms = rng.random_range(0..60);
        let path = match rng.random_range(0..4) {
            0 => format!("/track/{id}/{work_ms}"),
            1 => format!("/book{CALLS_MARK}{id}/{work_ms}"),
            _ => format!("/book/{id}/{work_ms}"),
        };
        let started = Instant::now();
        let answer = send(&client, address, &path, &id, KEY).await;
        let took = started.elapsed();
        let is_cut = answer.is_none();
        seen.lock().push(SeenCall { id, path, entry, answer, started, took });
        let pause = if is_cut { 50 } else { rng.random_range(1..30) };
        sleep(Duration::from_millis(pause)).await;
    }
}

async fn send(
    client: &Client,
    address: std::net::SocketAddr,
    path: &str,
    id: &str,
    key: &str,
) -> Option<(u16, bool, String)> {
    let request = client
        .get(format!("http://{address}{path}"))
        .header("host", "site.example")
        .header("x-ivytrail-request-id", id)
        .header("x-ivytrail-deadline-ms", DEADLINE.as_millis().to_string())
        .header("x-ivytrail-credential", key);
    let response = request.send().await.ok()?;
    let status = response.status().as_u16();
    let is_signed = response.headers().contains_key("x-ivytrail-response-signature");
    Some((status, is_signed, response.text().await.ok()?))
}

/// Carries the steps out, then heals everything. Returns when processes could not serve.
async fn inject(
    site: &mut TestSite,
    steps: &[FaultStep],
    violations: &mut Vec<String>,
) -> Result<Vec<ProcessFault>> {
    let started = Instant::now();
    let mut supervisor = Supervisor::new(SERVICES.len());
    let mut version = 2;
    // Ends of faults stand among the steps, in order of time.
    for step in steps {
        while Instant::now() < started + step.at {
            supervisor.look(site, violations)?;
            sleep_until((started + step.at).min(Instant::now() + LOOK_INTERVAL)).await;
        }
        match step.kind {
            FaultKind::Path { instance, path, up, down, is_refusing } => {
                proxy_of(site, instance, path).set(up, down, is_refusing);
            }
            FaultKind::ResetOpen { instance, path } => proxy_of(site, instance, path).reset_open(),
            FaultKind::SilenceOpen { instance, path } => {
                proxy_of(site, instance, path).silence_open();
            }
            FaultKind::Pause { instance } => supervisor.pause(site, instance)?,
            FaultKind::Continue { instance, paused_for } => {
                supervisor.resume(site, instance, paused_for)?;
            }
            FaultKind::Kill { instance } => supervisor.kill(site, instance)?,
            FaultKind::Terminate { instance } => supervisor.terminate(site, instance)?,
            FaultKind::HangUp { instance } => supervisor.hang_up(site, instance)?,
            FaultKind::Table(mood) => site.table.set_mood(mood),
            FaultKind::ForgetHistory => site.table.forget_history(),
            FaultKind::NewSettings => {
                version += 1;
                site.table.put_config(&config_with(version, &[KEY, SECOND_KEY]));
            }
        }
    }
    site.table.set_mood(TableMood::Good);
    site.table.put_config(&config_with(LAST_VERSION, &[KEY]));
    for idx in 0..SERVICES.len() {
        supervisor.resume(site, idx, Duration::ZERO)?;
        for path in [PathKind::Peer, PathKind::Server, PathKind::Table] {
            proxy_of(site, idx, path).set(PathState::Open, PathState::Open, false);
        }
    }
    while supervisor.is_any_ending() {
        supervisor.look(site, violations)?;
        sleep(LOOK_INTERVAL).await;
    }
    Ok(supervisor.process_faults)
}

fn proxy_of(site: &TestSite, instance: usize, path: PathKind) -> &proxy::FaultProxy {
    let proxies = &site.proxies[instance];
    match path {
        PathKind::Peer => &proxies.peer,
        PathKind::Server => &proxies.server,
        PathKind::Table => &proxies.table,
    }
}

/// Checks that every instance serves again and has the last settings.
async fn check_recovery(site: &TestSite, violations: &mut Vec<String>) {
    sleep(RECOVERY).await;
    let client = Client::builder().no_proxy().build().expect("a plain client can be built");
    for (idx, addresses) in site.addresses.iter().enumerate() {
        let mut statuses = BTreeMap::<u16, usize>::new();
        for n in 0..N_PROBES {
            let id = format!("probe-{idx}-{n}");
            let route = if n % 2 == 0 { "book" } else { "track" };
            let path = format!("/{route}/{id}/0");
            let answer = send(&client, addresses.caller, &path, &id, KEY).await;
            *statuses.entry(answer.map_or(0, |it| it.0)).or_default() += 1;
        }
        if statuses.get(&200) != Some(&N_PROBES) {
            violations.push(format!("instance {idx} has not recovered: {statuses:?}"));
        }
        let id = format!("revoked-{idx}");
        let answer = send(&client, addresses.caller, "/track/x/0", &id, SECOND_KEY).await;
        let status = answer.map(|it| it.0);
        if status != Some(401) {
            violations.push(format!("instance {idx} answers {status:?} to a withdrawn key"));
        }
    }
}

/// Checks each request against its runs.
fn check_calls(
    site: &TestSite,
    calls: &[SeenCall],
    process_faults: &[ProcessFault],
    violations: &mut Vec<String>,
) {
    for call in calls {
        let n_runs = site.n_runs_of(&call.id);
        let mut fail = |what: &str| violations.push(format!("{what}: {call:?}, runs {n_runs}"));
        if call.path.starts_with("/book/") && 1 < n_runs {
            fail("it ran twice");
        }
        let is_excused = process_faults.iter().any(|it| {
            it.instance == call.entry
                && it.from <= call.started + call.took
                && call.started <= it.until
        });
        if DEADLINE + ANSWER_SLACK < call.took && !is_excused {
            fail("it was answered late");
        }
        match &call.answer {
            Some((408 | 421 | 429 | 503, ..)) if 0 < n_runs => fail("it has run and is denied"),
            Some((200, is_signed, body)) => {
                if !is_signed || !body.starts_with(&format!("{} {} by ", call.path, call.id)) {
                    fail("its answer is not the server's");
                }
                if n_runs == 0 {
                    fail("it was answered without a run");
                }
            }
            Some((400 | 401 | 403 | 404, ..)) => fail("it was denied though it is proper"),
            Some(_) => {}
            None if !is_excused => fail("its connection ended without an answer"),
            None => {}
        }
    }
    violations.extend(site.backends.iter().flat_map(SiteBackend::faults));
}
