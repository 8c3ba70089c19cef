//! Fake of a platform backend server: sends heartbeats, checks the headers of its requests and counts runs.

mod nested_calls;

use std::{collections::HashMap, convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Result;
use ivytrail_fakes::server::LocalServer;
use parking_lot::Mutex;
use reqwest::Client;
use salvo::{
    FlowCtrl, async_trait,
    http::{HeaderValue, StatusCode},
    prelude::{Depot, Handler, Request, Response},
};
use serde_json::json;
use tokio::{
    runtime::Runtime,
    sync::mpsc,
    task::JoinHandle,
    time::{Instant, sleep},
};

pub use self::nested_calls::{BrokenCall, LONG_CALL_SEGMENT, NESTED_CALL_SEGMENT};

use super::SURVEY_TIMEOUT_MS;

/// Start of the first run of each server, in milliseconds since the Unix epoch; later runs start a millisecond later each.
pub const FIRST_START_MS: u64 = 1_000;
/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Path segment that makes the backend server send a response body without end.
pub const ENDLESS_SEGMENT: &str = "/endless/";
/// Path segment that makes the backend server send a response body without end, one byte at a time.
pub const DRIP_SEGMENT: &str = "/drip/";
/// Path segment of a request that crashes each backend server that runs it, at the end of its processing time.
pub const CRASH_SEGMENT: &str = "/crash/";
/// Time from a crash to the next start.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1_500);
/// Interval between attempts to start a backend server again after a crash.
const RESTART_INTERVAL: Duration = Duration::from_millis(20);
/// Size of one chunk of an endless body.
const ENDLESS_CHUNK: &[u8] = &[b'x'; 64 << 10];
/// One chunk of a body that is sent one byte at a time.
const DRIP_CHUNK: &[u8] = b"x";
/// Time for which a server that needs a warm-up is cold after it has started again.
pub const WARM_UP_TIME: Duration = Duration::from_millis(1_500);
/// Requests per second that a cold server tolerates.
pub const COLD_REQUESTS_PER_S: f64 = 10.0;
/// Number of requests that the operators allow to reach a cold server in any second: one and a half times what it
/// tolerates, and eight more.
pub const MAX_COLD_ARRIVALS: usize = 23;
/// Window in which requests to a cold server are counted.
pub const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Number of slots reported in heartbeats and response headers.
const REPORTED_SLOTS: u32 = 16;

#[derive(Debug, Default)]
struct BackendState {
    /// Number of runs by request id.
    runs: HashMap<String, usize>,
    /// Descriptions of requests with a missing, wrong or forbidden header.
    protocol_violations: Vec<String>,
    /// Times at which requests arrived, with their ids.
    arrivals: Vec<(Instant, String)>,
    is_draining: bool,
    /// Whether it sends no heartbeats.
    is_unannounced: bool,
    /// Requests per second that the server names as its limit in responses.
    request_limit: Option<f64>,
    /// Nested calls whose connections ended without a response.
    broken_calls: Vec<BrokenCall>,
    /// Time since which responses state that the server is leaving.
    leaving_since: Option<Instant>,
    /// Ranges of time in which the server named a limit.
    limit_periods: Vec<LimitPeriod>,
    /// Times at which the server crashed.
    crashes: Vec<Instant>,
    is_down: bool,
    /// Whether the server is cold after each further start.
    needs_warm_up: bool,
    cold_until: Option<Instant>,
    /// Times at which requests arrived that the server ran while it was cold.
    cold_arrivals: Vec<Instant>,
    /// Whether more requests than the operators allow crash the server while it is cold.
    crashes_when_cold: bool,
}

/// Range of time in which a server named a limit in its responses.
#[derive(Clone, Copy, Debug)]
pub struct LimitPeriod {
    /// Requests per second.
    pub per_s: f64,
    /// Time of the first response that could name it.
    pub from: Instant,
    /// Time from which on responses name another limit or none; `None` while it is named.
    pub until: Option<Instant>,
}

impl BackendState {
    /// Returns the identity of the server's current run.
    fn id(&self, idx: usize) -> String {
        match self.crashes.len() {
            0 => format!("server-{idx}"),
            n_crashes => format!("server-{idx}-{n_crashes}"),
        }
    }

    /// Makes the server cold if it needs a warm-up after a start.
    fn start_warm_up(&mut self) {
        self.cold_until = self.needs_warm_up.then(|| Instant::now() + WARM_UP_TIME);
    }

    fn cold_for(&self) -> Duration {
        let now = Instant::now();
        self.cold_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records a request that the server runs. Returns whether it crashes the server, which is cold.
    fn record_cold_arrival(&mut self) -> bool {
        if self.cold_for().is_zero() {
            return false;
        }
        let now = Instant::now();
        self.cold_arrivals.push(now);
        let recent = self.cold_arrivals.iter().rev().take_while(|at| now < **at + COLD_WINDOW);
        MAX_COLD_ARRIVALS < recent.count() && self.crashes_when_cold
    }

    /// Returns the headers with which the server reports its state in all responses.
    fn notice_headers(&self) -> Vec<(&'static str, String)> {
        let limit = self.request_limit.map(|it| ("server-limit", it.to_string()));
        let leaving = self.leaving_since.map(|_| ("server-leaving", "1".to_string()));
        limit.into_iter().chain(leaving).collect()
    }
}

/// The listener of a backend server, on a runtime of its own. Dropping it ends all of the server's tasks at once, as the
/// end of a process does.
#[derive(Debug)]
struct BackendProcess {
    runtime: Option<Runtime>,
    address: SocketAddr,
}

impl BackendProcess {
    async fn start(address: SocketAddr, handler: BackendHandler) -> Result<BackendProcess> {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let mut process = BackendProcess { runtime: None, address };
        let runtime = process.runtime.insert(runtime);
        let mut server = runtime.spawn(LocalServer::start(address, handler)).await??;
        process.address = server.address();
        // The server lives as long as the runtime.
        runtime.spawn(async move { server.join().await });
        Ok(process)
    }
}

impl Drop for BackendProcess {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A fake backend server that runs until it is dropped.
#[derive(Debug)]
pub struct SiteBackend {
    address: SocketAddr,
    state: Arc<Mutex<BackendState>>,
    crash_requests: mpsc::UnboundedSender<Instant>,
    heartbeats: JoinHandle<()>,
    supervisor: JoinHandle<()>,
}

impl SiteBackend {
    /// Starts a backend server that sends heartbeats to `local_address` and nested calls to `caller_address`.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP client can't be built or no port can be bound.
    pub async fn start(
        idx: usize,
        service: &str,
        local_address: SocketAddr,
        caller_address: Option<SocketAddr>,
    ) -> Result<SiteBackend> {
        let state = Arc::new(Mutex::new(BackendState::default()));
        let client = Client::builder().no_proxy().build()?;
        let (crashes, crash_receiver) = mpsc::unbounded_channel();
        let crash_requests = crashes.clone();
        let handler =
            BackendHandler { idx, state: Arc::clone(&state), caller_address, client, crashes };
        let free_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let process = BackendProcess::start(free_address, handler.clone()).await?;
        let address = process.address;
        let heartbeats =
            send_heartbeats(idx, service.to_string(), local_address, Arc::clone(&state));
        let supervisor = restart_after_crashes(process, handler, crash_receiver);
        Ok(SiteBackend {
            address,
            state,
            crash_requests,
            heartbeats: tokio::spawn(heartbeats),
            supervisor: tokio::spawn(supervisor),
        })
    }

    /// Returns the address on which it accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reports the draining phase in all further heartbeats.
    pub fn drain(&self) {
        self.state.lock().is_draining = true;
    }

    /// Sends no further heartbeats.
    pub fn stop_announcing(&self) {
        self.state.lock().is_unannounced = true;
    }

    /// Names a limit in all further responses, in requests per second, or none.
    pub fn set_request_limit(&self, request_limit: Option<f64>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        if let Some(period) = state.limit_periods.last_mut() {
            period.until.get_or_insert(now);
        }
        let period = request_limit.map(|per_s| LimitPeriod { per_s, from: now, until: None });
        state.limit_periods.extend(period);
        state.request_limit = request_limit;
    }

    /// Returns the ranges of time in which the server named a limit.
    pub fn limit_periods(&self) -> Vec<LimitPeriod> {
        self.state.lock().limit_periods.clone()
    }

    /// States in all further responses, and nowhere else, that the server is leaving.
    pub fn leave(&self) {
        self.state.lock().leaving_since.get_or_insert_with(Instant::now);
    }

    /// Returns the time since which the server states that it is leaving.
    pub fn leaving_since(&self) -> Option<Instant> {
        self.state.lock().leaving_since
    }

    /// Returns the times at which requests arrived, with their ids.
    pub fn arrivals(&self) -> Vec<(Instant, String)> {
        self.state.lock().arrivals.clone()
    }

    /// Returns the nested calls whose connections ended without a response.
    pub fn broken_calls(&self) -> Vec<BrokenCall> {
        self.state.lock().broken_calls.clone()
    }

    /// Returns the times at which a request crashed the server.
    pub fn crashes(&self) -> Vec<Instant> {
        self.state.lock().crashes.clone()
    }

    /// Makes the server cold after each further start.
    pub fn require_warm_up(&self) {
        self.state.lock().needs_warm_up = true;
    }

    /// Makes the server crash at more requests than the operators allow while it is cold.
    pub fn crash_when_cold(&self) {
        self.state.lock().crashes_when_cold = true;
    }

    /// Makes the server cold from now on.
    pub fn chill(&self) {
        self.state.lock().cold_until = Some(Instant::now() + WARM_UP_TIME);
    }

    /// Crashes the server, which starts again after a while.
    pub fn crash(&self) {
        // The receiver lives as long as the server.
        let _ = self.crash_requests.send(Instant::now());
    }

    /// Returns the times at which requests arrived that the server ran while it was cold.
    pub fn cold_arrivals(&self) -> Vec<Instant> {
        self.state.lock().cold_arrivals.clone()
    }

    /// Returns the number of runs of one request at this server.
    pub fn n_runs_of(&self, request_id: &str) -> usize {
        self.state.lock().runs.get(request_id).copied().unwrap_or(0)
    }

    /// Returns the number of runs of all requests so far.
    pub fn n_runs(&self) -> usize {
        self.state.lock().runs.values().sum()
    }

    /// Returns descriptions of all requests with a missing, wrong or forbidden header.
    pub fn protocol_violations(&self) -> Vec<String> {
        self.state.lock().protocol_violations.clone()
    }
}

impl Drop for SiteBackend {
    fn drop(&mut self) {
        self.heartbeats.abort();
        self.supervisor.abort();
    }
}

/// Ends the server's process at each crash, and starts it again at the same address.
async fn restart_after_crashes(
    process: BackendProcess,
    handler: BackendHandler,
    mut crashes: mpsc::UnboundedReceiver<Instant>,
) {
    let address = process.address;
    let mut process = Some(process);
    while let Some(at) = crashes.recv().await {
        {
            let mut state = handler.state.lock();
            state.crashes.push(at);
            state.is_down = true;
        }
        process.take();
        sleep(CRASH_DOWNTIME).await;
        // Reports of other requests that were in flight at the same crash.
        while crashes.try_recv().is_ok() {}
        while process.is_none() {
            // The first response may already be to a daemon's probe.
            handler.state.lock().start_warm_up();
            // The port is free again as soon as the former process has ended.
            process = BackendProcess::start(address, handler.clone()).await.ok();
            sleep(RESTART_INTERVAL).await;
        }
        handler.state.lock().is_down = false;
    }
}

async fn send_heartbeats(
    idx: usize,
    service: String,
    local_address: SocketAddr,
    state: Arc<Mutex<BackendState>>,
) {
    let client = Client::new();
    for sequence in 1_u64.. {
        let (id, phase, is_unheard, n_crashes, cold_for) = {
            let state = state.lock();
            let phase = if state.is_draining { "draining" } else { "ready" };
            let is_unheard = state.is_down || state.is_unannounced;
            (state.id(idx), phase, is_unheard, state.crashes.len(), state.cold_for())
        };
        let body = json!({
            "service": service, "address": "127.0.0.1:1", "zone": "kolkata", "version": "v1",
            "slots": REPORTED_SLOTS, "phase": phase, "warmup_left": cold_for.as_millis() as u64,
            "sequence": sequence, "born": FIRST_START_MS + n_crashes as u64,
        });
        let url = format!("http://{local_address}/Instances.Heartbeat/{id}");
        if !is_unheard {
            // A daemon that is down receives a later heartbeat.
            let _ = client.post(url).json(&body).send().await;
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Returns the processing time of a request: 700 ms for a path that ends in `/slow`, otherwise the number of
/// milliseconds that ends the path, or none.
fn processing_time(path: &str) -> Duration {
    match path.rsplit('/').next() {
        Some("slow") => Duration::from_millis(700),
        Some(last) => Duration::from_millis(last.parse().unwrap_or(0)),
        None => Duration::ZERO,
    }
}

#[derive(Clone)]
struct BackendHandler {
    idx: usize,
    state: Arc<Mutex<BackendState>>,
    caller_address: Option<SocketAddr>,
    client: Client,
    /// Receives the time at which a request crashes the server.
    crashes: mpsc::UnboundedSender<Instant>,
}

impl BackendHandler {
    /// Records the run of a request and checks its headers. Returns whether the request crashes the server, which is cold.
    fn record_run<H>(&self, path: &str, request_id: &str, header: H) -> bool
    where
        H: Fn(&str) -> String,
    {
        let may_take_long = path.starts_with("/survey/") || path.starts_with("/audit/");
        let is_public = path.starts_with("/ledger/") || may_take_long;
        let timeout_ms = if may_take_long { SURVEY_TIMEOUT_MS } else { 2_000 };
        let checks = [
            (header("x-ivytrail-credential").is_empty(), "the API key was forwarded"),
            (is_public || header("x-ivytrail-tenant") == "meteo", "the client account is missing"),
            (!header("x-ivytrail-caller-service").is_empty(), "the caller's service is missing"),
            (
                header("x-ivytrail-deadline-ms").parse::<u64>().is_ok_and(|it| it <= timeout_ms),
                "the deadline is missing or exceeds the route's timeout",
            ),
        ];
        let mut state = self.state.lock();
        *state.runs.entry(request_id.to_string()).or_default() += 1;
        for (_, problem) in checks.iter().filter(|(is_good, _)| !is_good) {
            state.protocol_violations.push(format!("{request_id}: {problem}"));
        }
        state.record_cold_arrival()
    }
}

#[async_trait]
impl Handler for BackendHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let path = req.uri().path().to_string();
        let header = |name: &str| {
            req.headers().get(name).and_then(|it| it.to_str().ok()).unwrap_or("").to_string()
        };
        let mut set_header = |name: &'static str, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                res.headers_mut().insert(name, value);
            }
        };
        let id = self.state.lock().id(self.idx);
        set_header("x-ivytrail-instance-id", &id);
        set_header("x-ivytrail-server-load", &format!("0,0,{REPORTED_SLOTS}"));
        for (name, value) in self.state.lock().notice_headers() {
            set_header(name, &value);
        }
        if path == "/healthz" {
            let cold_for = self.state.lock().cold_for();
            return set_header("x-ivytrail-warmup-ms", &cold_for.as_millis().to_string());
        }
        let request_id = header("x-ivytrail-request-id");
        set_header("x-ivytrail-request-id", &request_id);
        self.state.lock().arrivals.push((Instant::now(), request_id.clone()));
        if header("x-ivytrail-expected-instance") != id {
            res.status_code(StatusCode::MISDIRECTED_REQUEST);
            return;
        }
        set_header("x-ivytrail-response-signature", "signed");
        let is_crashing = self.record_run(&path, &request_id, header);
        if !is_crashing {
            sleep(processing_time(&path)).await;
        }
        if is_crashing || path.contains(CRASH_SEGMENT) {
            // The receiver lives as long as the backend server, which ends here.
            let _ = self.crashes.send(Instant::now());
            return std::future::pending().await;
        }
        let is_served = self.make_nested_call(&request_id, &path).await;
        if !is_served {
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
        if path.contains(ENDLESS_SEGMENT) {
            let chunks = futures_util::stream::repeat_with(|| Ok::<_, Infallible>(ENDLESS_CHUNK));
            return res.stream(chunks);
        }
        if path.contains(DRIP_SEGMENT) {
            let chunks = futures_util::stream::repeat_with(|| Ok::<_, Infallible>(DRIP_CHUNK));
            return res.stream(chunks);
        }
        res.body(format!("{path} {request_id} by {id}"));
    }
}

/// Returns the greatest number of `arrivals`, sorted by time, within any `window`.
pub fn max_in_window(arrivals: &[Instant], window: Duration) -> usize {
    let in_window_from = |(idx, from): (usize, &Instant)| {
        arrivals[idx..].iter().take_while(|it| **it < *from + window).count()
    };
    arrivals.iter().enumerate().map(in_window_from).max().unwrap_or(0)
}
