//! Fake of a platform backend server: sends heartbeats, checks the headers of its requests and counts runs.

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
use tokio::{task::JoinHandle, time::Instant};

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of a nested call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Path segment that makes the backend server send a nested call while it handles the request.
pub const NESTED_CALL_SEGMENT: &str = "/calls/";
/// Path segment that makes the backend server send a response body without end.
pub const ENDLESS_SEGMENT: &str = "/endless/";
/// Size of one chunk of an endless body.
const ENDLESS_CHUNK: &[u8] = &[b'x'; 64 << 10];
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
    /// Requests per second that the server names as its limit in responses.
    request_limit: Option<f64>,
    /// Time since which responses state that the server is leaving.
    leaving_since: Option<Instant>,
    /// Ranges of time in which the server named a limit.
    limit_periods: Vec<LimitPeriod>,
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
    /// Returns the headers with which the server reports its state in all responses.
    fn notice_headers(&self) -> Vec<(&'static str, String)> {
        let limit = self.request_limit.map(|it| ("server-limit", it.to_string()));
        let leaving = self.leaving_since.map(|_| ("server-leaving", "1".to_string()));
        limit.into_iter().chain(leaving).collect()
    }
}

/// A fake backend server that runs until it is dropped.
#[derive(Debug)]
pub struct SiteBackend {
    server: LocalServer,
    state: Arc<Mutex<BackendState>>,
    heartbeats: JoinHandle<()>,
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
        let id = format!("server-{idx}");
        let state = Arc::new(Mutex::new(BackendState::default()));
        let client = Client::builder().no_proxy().timeout(CALL_TIMEOUT).build()?;
        let handler =
            BackendHandler { id: id.clone(), state: Arc::clone(&state), caller_address, client };
        let server = LocalServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), handler).await?;
        let heartbeats =
            send_heartbeats(id, service.to_string(), local_address, Arc::clone(&state));
        Ok(SiteBackend { server, state, heartbeats: tokio::spawn(heartbeats) })
    }

    /// Returns the address on which it accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Reports the draining phase in all further heartbeats.
    pub fn drain(&self) {
        self.state.lock().is_draining = true;
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
    }
}

async fn send_heartbeats(
    id: String,
    service: String,
    local_address: SocketAddr,
    state: Arc<Mutex<BackendState>>,
) {
    let client = Client::new();
    for sequence in 1_u64.. {
        let phase = if state.lock().is_draining { "draining" } else { "ready" };
        let body = json!({
            "service": service, "address": "127.0.0.1:1", "zone": "kolkata", "version": "v1",
            "slots": REPORTED_SLOTS, "phase": phase, "warmup_left": 0, "sequence": sequence, "born": 1_000,
        });
        let url = format!("http://{local_address}/Instances.Heartbeat/{id}");
        // A daemon that is down receives a later heartbeat.
        let _ = client.post(url).json(&body).send().await;
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
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

struct BackendHandler {
    id: String,
    state: Arc<Mutex<BackendState>>,
    caller_address: Option<SocketAddr>,
    client: Client,
}

impl BackendHandler {
    /// Sends a nested call through the instance's daemon and returns whether its status was 200.
    async fn make_nested_call(&self, request_id: &str) -> bool {
        let Some(address) = self.caller_address else { return false };
        let request = self
            .client
            .get(format!("http://{address}/ledger/{request_id}/5"))
            .header("host", "site.example")
            .header("x-ivytrail-request-id", format!("{request_id}.0"))
            .header("x-ivytrail-deadline-ms", "1000");
        request.send().await.is_ok_and(|it| it.status() == 200)
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
        set_header("x-ivytrail-instance-id", &self.id);
        set_header("x-ivytrail-server-load", &format!("0,0,{REPORTED_SLOTS}"));
        for (name, value) in self.state.lock().notice_headers() {
            set_header(name, &value);
        }
        if path == "/healthz" {
            return;
        }
        let request_id = header("x-ivytrail-request-id");
        set_header("x-ivytrail-request-id", &request_id);
        self.state.lock().arrivals.push((Instant::now(), request_id.clone()));
        if header("x-ivytrail-expected-instance") != self.id {
            res.status_code(StatusCode::MISDIRECTED_REQUEST);
            return;
        }
        set_header("x-ivytrail-response-signature", "signed");
        let checks = [
            (header("x-ivytrail-credential").is_empty(), "the API key was forwarded"),
            (
                path.starts_with("/ledger/") || header("x-ivytrail-tenant") == "meteo",
                "the client account is missing",
            ),
            (!header("x-ivytrail-caller-service").is_empty(), "the caller's service is missing"),
            (
                header("x-ivytrail-deadline-ms").parse::<u64>().is_ok_and(|it| it <= 2_000),
                "the deadline is missing or exceeds the route's timeout",
            ),
        ];
        {
            let mut state = self.state.lock();
            *state.runs.entry(request_id.clone()).or_default() += 1;
            for (_, problem) in checks.iter().filter(|(is_good, _)| !is_good) {
                state.protocol_violations.push(format!("{request_id}: {problem}"));
            }
        }
        tokio::time::sleep(processing_time(&path)).await;
        let is_served =
            !path.contains(NESTED_CALL_SEGMENT) || self.make_nested_call(&request_id).await;
        if !is_served {
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
        if path.contains(ENDLESS_SEGMENT) {
            let chunks = futures_util::stream::repeat_with(|| Ok::<_, Infallible>(ENDLESS_CHUNK));
            return res.stream(chunks);
        }
        res.body(format!("{path} {request_id} by {}", self.id));
    }
}

/// Returns the greatest number of `arrivals`, sorted by time, within any `window`.
pub fn max_in_window(arrivals: &[Instant], window: Duration) -> usize {
    let in_window_from = |(idx, from): (usize, &Instant)| {
        arrivals[idx..].iter().take_while(|it| **it < *from + window).count()
    };
    arrivals.iter().enumerate().map(in_window_from).max().unwrap_or(0)
}
