//! Stand-in for a backend server: slots, service times, cold starts, drains, crashes and nested calls.
//!
//! A request works for half of its service time, makes its nested calls through its own daemon, works for a quarter,
//! takes effect, and works for another quarter before it answers. Effects are counted by request serial, so that the
//! truth about what ran comes from the backend server itself.
//!
//! | request | meaning |
//! |---|---|
//! | `POST /control` | replaces the [`ServerControl`] |
//! | `POST /control/drain` | starts draining |
//! | `GET /control/runs` | [`RunLog`] |
//! | `GET /load` | [`LoadReport`], late or wrong as the control says |
//! | anything else | runs a request |
//!
//! Request headers: `x-crash: 1` (or a service's name) ends the process while the request runs, `x-truncate: 1` cuts
//! the answer, `x-late-ms` delays the answer after the effect, `x-no-work: 1` takes no time.

mod announcer;
mod handler;
mod run_log;
mod work;

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

/// Time between two samples of the load that `GET /load` can report late.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Number of load samples kept: ten seconds.
const MAX_LOAD_SAMPLES: usize = 200;

/// A call that a backend server makes for each request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NestedCall {
    /// HTTP method.
    pub method: String,
    /// Path, by which the daemon finds the route.
    pub path: String,
}

impl FromStr for NestedCall {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<NestedCall> {
        let (method, path) = text
            .split_once(' ')
            .with_context(|| format!("nested call {text:?} is not of the form 'METHOD /path'"))?;
        Ok(NestedCall { method: method.to_string(), path: path.to_string() })
    }
}

/// What happens on a request that crashes the backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrashMode {
    /// Every connection is closed from then on; for stand-ins inside a test.
    #[default]
    CloseConnections,
    /// The process ends at once.
    ExitProcess,
}

/// How a backend server behaves from its start.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Address to listen on; port 0 takes a free port.
    pub address: SocketAddr,
    /// The daemon's local address, for announcements and nested calls.
    pub daemon: Option<SocketAddr>,
    /// Service that it runs.
    pub service: String,
    /// Requests that it runs at once without slowing down.
    pub slots: u32,
    /// Multiple of the slots beyond which it sheds.
    pub shed_multiple: f64,
    /// Mean time of a request without its nested calls.
    pub service_time: Duration,
    /// Share of the service time that varies (exponentially), from 0 to 1.
    pub jitter: f64,
    /// Time after the start in which it takes no requests.
    pub start_time: Duration,
    /// Time after that in which requests are slower, less and less so.
    pub cold_start: Duration,
    /// Nested calls of each request, one after the other.
    pub calls: Vec<NestedCall>,
    /// Payload of an answer, in bytes.
    pub answer_bytes: usize,
    /// What happens on a request that crashes it.
    pub crash_mode: CrashMode,
    /// File to which the serial of each request that takes effect is appended: it outlives a killed process.
    pub effects_file: Option<PathBuf>,
}

impl BackendSettings {
    /// Returns the settings of a quick, warm backend server of `service` on a free loopback port.
    pub fn new(service: &str) -> BackendSettings {
        BackendSettings {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            daemon: None,
            service: service.to_string(),
            slots: 16,
            shed_multiple: 2.0,
            service_time: Duration::from_millis(5),
            jitter: 0.0,
            start_time: Duration::ZERO,
            cold_start: Duration::ZERO,
            calls: Vec::new(),
            answer_bytes: 256,
            crash_mode: CrashMode::default(),
            effects_file: None,
        }
    }

    fn max_in_flight(&self) -> u32 {
        (f64::from(self.slots) * self.shed_multiple.max(1.0)).ceil() as u32
    }
}

/// Behaviour that can be changed at run time. Absent fields take their defaults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerControl {
    /// Factor by which work takes longer.
    pub slow: f64,
    /// Age of the load that `GET /load` reports, in milliseconds; at most ten seconds.
    pub load_lag_ms: u64,
    /// Factor on the load that `GET /load` reports; 0 claims an idle server.
    pub load_factor: f64,
}

impl Default for ServerControl {
    fn default() -> ServerControl {
        ServerControl { slow: 1.0, load_lag_ms: 0, load_factor: 1.0 }
    }
}

/// The load that a backend server reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running.
    pub in_flight: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// A backend server that runs until it is dropped.
#[derive(Debug)]
pub struct BackendFake {
    server: LocalServer,
    state: Arc<BackendState>,
    tasks: Vec<JoinHandle<()>>,
}

impl BackendFake {
    /// Starts a backend server and its announcements.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub async fn start(settings: BackendSettings) -> Result<BackendFake> {
        let (address, daemon) = (settings.address, settings.daemon);
        let state = Arc::new(BackendState::new(settings)?);
        let handler = handler::BackendHandler::new(Arc::clone(&state));
        let server = LocalServer::start(address, handler).await?;
        let mut tasks = vec![tokio::spawn(sample_load(Arc::clone(&state)))];
        if let Some(daemon) = daemon {
            let announcing = announcer::announce(Arc::clone(&state), daemon, server.address());
            tasks.push(tokio::spawn(announcing));
        }
        tasks.push(tokio::spawn(end_start(Arc::clone(&state))));
        Ok(BackendFake { server, state, tasks })
    }

    /// Returns the address at which it takes requests.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns what it ran so far.
    pub fn log(&self) -> RunLog {
        self.state.log.lock().clone()
    }

    /// Replaces the behaviour that can be changed at run time.
    pub fn set_control(&self, control: ServerControl) {
        *self.state.control.lock() = control;
    }

    /// Starts draining and announces it at once.
    pub fn drain(&self) {
        self.state.drain();
    }

    /// Waits until the listener ends, which it does only when it fails.
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
    changed: Notify,
    started_at: Instant,
    overshoot: Mutex<Duration>,
    client: reqwest::Client,
}

impl BackendState {
    fn new(settings: BackendSettings) -> Result<BackendState> {
        Ok(BackendState {
            log: Mutex::new(RunLog::new(&settings.service)),
            effects: Mutex::new(open_effects(&settings)?),
            settings,
            control: Mutex::default(),
            in_flight: AtomicU32::new(0),
            load_samples: Mutex::default(),
            is_draining: AtomicBool::new(false),
            is_crashed: AtomicBool::new(false),
            changed: Notify::new(),
            started_at: Instant::now(),
            overshoot: Mutex::default(),
            client: reqwest::Client::builder().build()?,
        })
    }

    /// Takes effect for the request with `serial`.
    fn take_effect(&self, serial: &str) {
        self.log.lock().record_effect(serial);
        let mut effects = self.effects.lock();
        let written = effects.as_mut().map(|file| file.write_all(format!("{serial}\n").as_bytes()));
        if let Some(Err(cause)) = written {
            ::log::error!("event=effect-not-written serial={serial} cause=\"{cause}\"");
        }
    }

    fn server_state(&self) -> ServerState {
        match self.is_draining.load(Ordering::Acquire) {
            true => ServerState::Draining,
            false if self.started_at.elapsed() < self.settings.start_time => ServerState::Starting,
            false => ServerState::Serving,
        }
    }

    fn drain(&self) {
        self.is_draining.store(true, Ordering::Release);
        self.changed.notify_waiters();
    }

    /// Returns the load as `GET /load` reports it.
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

fn open_effects(settings: &BackendSettings) -> Result<Option<File>> {
    let open = |path: &PathBuf| {
        let file = OpenOptions::new().create(true).append(true).open(path);
        file.with_context(|| format!("effects file {} can't be opened", path.display()))
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

/// Announces the end of the start as soon as it comes.
async fn end_start(state: Arc<BackendState>) {
    tokio::time::sleep_until(state.started_at + state.settings.start_time).await;
    state.changed.notify_waiters();
}
