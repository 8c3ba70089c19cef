//! Fake backend server with slots, service times, cold starts, drains, crashes and nested calls.
//!
//! A request spends half of its service time, makes its nested calls through the server's local daemon, spends a
//! quarter, applies its effect, and spends the last quarter before the response is sent. Effects are counted by
//! request serial at the backend server itself, as the reference for what callers and daemons report.
//!
//! | request | meaning |
//! |---|---|
//! | `POST /control` | replaces the [`ServerControl`] |
//! | `POST /control/drain` | starts draining |
//! | `GET /control/runs` | returns the [`RunLog`] |
//! | `GET /load` | returns the [`LoadReport`], stale or scaled as [`ServerControl`] sets it |
//! | anything else | runs a request |
//!
//! Request headers: `x-crash: 1` (or the name of the one service to crash) crashes the server while the request runs,
//! `x-truncate: 1` truncates the response, `x-late-ms` delays it after the effect, `x-no-work: 1` sets the service time
//! to zero.

mod announcer;
mod handler;
mod run_log;
mod slot;

use std::{
    collections::VecDeque,
    fs::{File, OpenOptions},
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    str::FromStr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use anyhow::{Context, Result};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, task::JoinHandle, time::Instant};

pub use self::{
    announcer::{ServerAnnouncement, ServerState},
    run_log::{RunLog, RunRecord},
};
use crate::server::LocalServer;

/// Sampling interval of the load history from which `GET /load` serves stale values.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Load samples retained: ten seconds at [`LOAD_SAMPLE_INTERVAL`].
const MAX_LOAD_SAMPLES: usize = 200;

/// Call that a backend server makes through its daemon while it runs a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NestedCall {
    /// HTTP method.
    pub method: String,
    /// Request path, which selects the route.
    pub path: String,
}

impl FromStr for NestedCall {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<NestedCall> {
        let (method, path) = text
            .split_once(' ')
            .with_context(|| format!("invalid nested call {text:?}: expected 'METHOD /path'"))?;
        Ok(NestedCall { method: method.to_string(), path: path.to_string() })
    }
}

/// Effect of a request that crashes the backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrashMode {
    /// Closes every connection from then on; for fakes that run inside a test process.
    #[default]
    CloseConnections,
    /// Exits the process immediately.
    ExitProcess,
}

/// Startup settings of a backend server.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Listen address; port 0 selects a free port.
    pub address: SocketAddr,
    /// Local address of the server's daemon, for announcements and nested calls.
    pub daemon: Option<SocketAddr>,
    /// Name of the service.
    pub service: String,
    /// Concurrent requests that run without slowing each other down.
    pub slots: u32,
    /// Multiple of the slots above which requests are shed.
    pub shed_multiple: f64,
    /// Mean duration of a request, excluding its nested calls.
    pub service_time: Duration,
    /// Exponentially distributed share of the service time, from 0 to 1.
    pub jitter: f64,
    /// Startup time, during which every request is shed.
    pub startup_time: Duration,
    /// Warm-up time after startup, during which the slowdown decreases linearly.
    pub warmup_time: Duration,
    /// Nested calls of each request, made sequentially.
    pub nested_calls: Vec<NestedCall>,
    /// Payload size of a response, in bytes.
    pub response_bytes: usize,
    /// Effect of a request that crashes the server.
    pub crash_mode: CrashMode,
    /// File to which the serial of each applied effect is appended, so that the count survives a killed process.
    pub effects_file: Option<PathBuf>,
}

impl BackendSettings {
    /// Returns settings for `service` on a free loopback port: 5 ms per request, no startup or warm-up time.
    pub fn new(service: &str) -> BackendSettings {
        BackendSettings {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            daemon: None,
            service: service.to_string(),
            slots: 16,
            shed_multiple: 2.0,
            service_time: Duration::from_millis(5),
            jitter: 0.0,
            startup_time: Duration::ZERO,
            warmup_time: Duration::ZERO,
            nested_calls: Vec::new(),
            response_bytes: 256,
            crash_mode: CrashMode::default(),
            effects_file: None,
        }
    }

    fn max_in_flight(&self) -> u32 {
        (f64::from(self.slots) * self.shed_multiple.max(1.0)).ceil() as u32
    }
}

/// Behavior that can be changed at run time. Absent fields take their defaults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerControl {
    /// Factor on the service time.
    #[serde(rename = "slow")]
    pub slowdown: f64,
    /// Age of the load that `GET /load` reports, in milliseconds, up to ten seconds.
    pub load_lag_ms: u64,
    /// Factor on the load that `GET /load` reports; 0 reports an idle server.
    pub load_factor: f64,
}

impl Default for ServerControl {
    fn default() -> ServerControl {
        ServerControl { slowdown: 1.0, load_lag_ms: 0, load_factor: 1.0 }
    }
}

/// Load of a backend server, as returned by `GET /load`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: u32,
    /// Concurrent requests that the server can run at full speed.
    pub slots: u32,
}

/// Fake backend server that runs until it is dropped.
#[derive(Debug)]
pub struct BackendFake {
    server: LocalServer,
    state: Arc<BackendState>,
    tasks: Vec<JoinHandle<()>>,
}

impl BackendFake {
    /// Starts a backend server and announces it to the daemon, if one is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound, the effects file can't be opened or the HTTP client can't be
    /// built.
    pub async fn start(settings: BackendSettings) -> Result<BackendFake> {
        let (address, daemon) = (settings.address, settings.daemon);
        let state = Arc::new(BackendState::new(settings)?);
        let handler = handler::BackendHandler::new(Arc::clone(&state));
        let server = LocalServer::start(address, handler).await?;
        let mut tasks = vec![tokio::spawn(sample_load(Arc::clone(&state)))];
        if let Some(daemon) = daemon {
            let announcer = announcer::announce(Arc::clone(&state), daemon, server.address());
            tasks.push(tokio::spawn(announcer));
        }
        tasks.push(tokio::spawn(notify_startup_end(Arc::clone(&state))));
        Ok(BackendFake { server, state, tasks })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns a copy of the run log.
    pub fn log(&self) -> RunLog {
        self.state.log.lock().clone()
    }

    /// Replaces the run-time behavior.
    pub fn set_control(&self, control: ServerControl) {
        *self.state.control.lock() = control;
    }

    /// Starts draining and announces the new state immediately.
    pub fn drain(&self) {
        self.state.drain();
    }

    /// Waits until the listener stops, which happens only on failure.
    pub async fn join(&mut self) {
        self.server.join().await;
    }
}

impl Drop for BackendFake {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

#[derive(Debug)]
struct BackendState {
    settings: BackendSettings,
    control: Mutex<ServerControl>,
    log: Mutex<RunLog>,
    effects: Mutex<Option<File>>,
    in_flight: AtomicU32,
    load_samples: Mutex<VecDeque<u32>>,
    is_draining: AtomicBool,
    is_crashed: AtomicBool,
    state_changed: Notify,
    started_at: Instant,
    timer_overshoot: Mutex<Duration>,
    client: reqwest::Client,
}

impl BackendState {
    fn new(settings: BackendSettings) -> Result<BackendState> {
        Ok(BackendState {
            log: Mutex::new(RunLog::new(&settings.service)),
            effects: Mutex::new(open_effects_file(&settings)?),
            settings,
            control: Mutex::default(),
            in_flight: AtomicU32::new(0),
            load_samples: Mutex::default(),
            is_draining: AtomicBool::new(false),
            is_crashed: AtomicBool::new(false),
            state_changed: Notify::new(),
            started_at: Instant::now(),
            timer_overshoot: Mutex::default(),
            client: reqwest::Client::builder().build()?,
        })
    }

    /// Applies the effect of the request with `serial`: counts it and appends it to the effects file.
    fn apply_effect(&self, serial: &str) {
        self.log.lock().record_effect(serial);
        let mut effects = self.effects.lock();
        let written = effects.as_mut().map(|file| file.write_all(format!("{serial}\n").as_bytes()));
        if let Some(Err(cause)) = written {
            ::log::error!("event=effect-not-written serial={serial} cause=\"{cause}\"");
        }
    }

    fn current_state(&self) -> ServerState {
        match self.is_draining.load(Ordering::Acquire) {
            true => ServerState::Draining,
            false if self.started_at.elapsed() < self.settings.startup_time => {
                ServerState::Starting
            }
            false => ServerState::Serving,
        }
    }

    fn drain(&self) {
        self.is_draining.store(true, Ordering::Release);
        self.state_changed.notify_waiters();
    }

    /// Returns the load to report, with the configured staleness and factor.
    fn load_report(&self) -> LoadReport {
        let control = self.control.lock().clone();
        let age = control.load_lag_ms / LOAD_SAMPLE_INTERVAL.as_millis() as u64;
        let current = self.in_flight.load(Ordering::Acquire);
        let samples = self.load_samples.lock();
        let reported = match age {
            0 => current,
            age => samples.iter().rev().nth(age as usize - 1).copied().unwrap_or(0),
        };
        let in_flight = (f64::from(reported) * control.load_factor) as u32;
        LoadReport { in_flight, slots: self.settings.slots }
    }
}

fn open_effects_file(settings: &BackendSettings) -> Result<Option<File>> {
    let open = |path: &PathBuf| {
        let file = OpenOptions::new().create(true).append(true).open(path);
        file.with_context(|| format!("cannot open effects file {}", path.display()))
    };
    settings.effects_file.as_ref().map(open).transpose()
}

async fn sample_load(state: Arc<BackendState>) {
    let mut ticks = tokio::time::interval(LOAD_SAMPLE_INTERVAL);
    loop {
        ticks.tick().await;
        let mut samples = state.load_samples.lock();
        samples.push_back(state.in_flight.load(Ordering::Acquire));
        if MAX_LOAD_SAMPLES < samples.len() {
            samples.pop_front();
        }
    }
}

/// Triggers an announcement as soon as the startup time has passed.
async fn notify_startup_end(state: Arc<BackendState>) {
    tokio::time::sleep_until(state.started_at + state.settings.startup_time).await;
    state.state_changed.notify_waiters();
}
