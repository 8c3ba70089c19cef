//! The mesh daemon: I/O around [`ivytrail::mesh::MeshReducer`].
//!
//! Everything runs on one thread: instances are small, and this avoids the cost of locks and of wake-ups between
//! threads. Client requests, links to other daemons and runs at the local backend server are tasks. They pass events
//! to the driver, which applies them to the reducer and executes the resulting effects.

mod acceptor;
mod backend_pool;
mod body_reader;
mod driver;
mod ingress;
mod links;
mod local_api;
mod metrics;
mod table_loop;

use std::{path::PathBuf, rc::Rc, time::Duration};

use anyhow::Context;
use ivytrail::{
    id::MemberId,
    mesh::{MeshOptions, MeshReducer, event::MeshEvent, settings_file::MeshSettings},
};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    task::LocalSet,
    time::{Instant, MissedTickBehavior},
};

use self::driver::MeshDriver;

/// Interval between reducer ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Polling interval for the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time for which a leaving daemon keeps serving. The platform probes readiness once per second and removes
/// the daemon after two failed probes.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2_300);
/// Time without open work after which a leaving daemon exits.
const IDLE_BEFORE_EXIT: Duration = Duration::from_millis(150);
/// Time before the end of the shutdown grace period at which a daemon that still has clients stops accepting work and
/// closes their connections, so that the requests it has accepted finish before it exits.
const CLOSE_MARGIN: Duration = Duration::from_millis(3_000);
/// Time before the end of the shutdown grace period at which the daemon exits even if work is still open.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Maximum number of calls without a response that are logged at the exit.
const MAX_LOGGED_CALLS: usize = 50;
/// Time allowed for written responses to reach the clients before the process exits.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Runs the daemon until SIGTERM or SIGINT asks it to shut down.
///
/// # Errors
///
/// Returns an error if the runtime can't be created or an address can't be bound.
pub fn run(path: PathBuf, settings: MeshSettings) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tasks = LocalSet::new();
    runtime.block_on(tasks.run_until(serve(path, settings)))
}

async fn serve(path: PathBuf, settings: MeshSettings) -> anyhow::Result<()> {
    let member = MemberId { instance: settings.name.clone(), incarnation: driver::unix_millis() };
    log::info!(
        "event=start version={} member={member} domain={} service={} pid={}",
        env!("CARGO_PKG_VERSION"),
        settings.failure_domain,
        settings.service,
        std::process::id()
    );
    let options = MeshOptions {
        member,
        domain: settings.failure_domain.clone(),
        address: settings.advertised_address.to_string(),
        service: settings.service.clone(),
        retry_policy: settings.retry_policy,
        seed: rand::random(),
    };
    let driver = MeshDriver::start(options, &settings)?;
    ingress::listen(&driver, settings.caller_address).await.context("caller_address")?;
    local_api::listen_health(&driver, settings.health_address).await.context("health_address")?;
    local_api::listen_announcements(&driver, settings.local_address)
        .await
        .context("local_address")?;
    metrics::listen(&driver, settings.metrics_address).await.context("metrics_address")?;
    links::listen(&driver, settings.peer_address).await.context("peer_address")?;
    table_loop::spawn(&driver, &settings)?;
    tokio::task::spawn_local(backend_pool::probe::probe_at_start(Rc::clone(&driver)));
    run_event_loop(&driver, path, settings).await
}

/// Ticks the reducer, handles signals and polls the settings file until the shutdown is complete.
async fn run_event_loop(
    driver: &Rc<MeshDriver>,
    path: PathBuf,
    settings: MeshSettings,
) -> anyhow::Result<()> {
    let mut signals = SignalSet::new()?;
    let mut file = SettingsFile { path, text: String::new(), settings };
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reloaded_at = Instant::now();
    let mut shutdown: Option<ShutdownProgress> = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = signals.terminate.recv() => {
                log::info!("event=stop_requested signal=SIGTERM");
                start_shutdown(driver, &mut shutdown, file.settings.shutdown_grace);
            }
            _ = signals.interrupt.recv() => {
                log::info!("event=stop_requested signal=SIGINT");
                start_shutdown(driver, &mut shutdown, file.settings.shutdown_grace);
            }
            _ = signals.hang_up.recv() => {
                log::info!("event=reload_requested signal=SIGHUP");
                file.reload(driver, true);
            }
        }
        driver.apply(MeshEvent::Tick);
        if SETTINGS_POLL_INTERVAL <= reloaded_at.elapsed() {
            reloaded_at = Instant::now();
            file.reload(driver, false);
            driver.prune();
        }
        if let Some(progress) = &mut shutdown
            && progress.advance(driver)
        {
            tokio::time::sleep(FLUSH_DELAY).await;
            // A request that was accepted meanwhile is finished before the exit.
            if !progress.advance(driver) {
                continue;
            }
            let open_calls = driver.inspect(MeshReducer::open_call_lines);
            open_calls.iter().take(MAX_LOGGED_CALLS).for_each(|it| log::warn!("{it}"));
            log::info!("event=stop calls_open={}", open_calls.len());
            return Ok(());
        }
    }
}

/// Starts a graceful shutdown, unless an earlier signal has started one.
fn start_shutdown(
    driver: &Rc<MeshDriver>,
    shutdown: &mut Option<ShutdownProgress>,
    grace: Duration,
) {
    let progress = shutdown.get_or_insert_with(|| ShutdownProgress::start(grace));
    driver.apply(MeshEvent::StopRequested { exit_within: progress.exit_within() });
}

struct SignalSet {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl SignalSet {
    fn new() -> anyhow::Result<SignalSet> {
        Ok(SignalSet {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}

/// Progress of a graceful shutdown.
struct ShutdownProgress {
    started_at: Instant,
    /// Grace period at the start. It bounds which requests are accepted, so that a later change has no effect.
    grace: Duration,
    last_busy_at: Instant,
    /// Whether client connections are being closed and other daemons have been notified to send no more work.
    is_closing: bool,
}

impl ShutdownProgress {
    fn start(grace: Duration) -> ShutdownProgress {
        ShutdownProgress {
            started_at: Instant::now(),
            grace,
            last_busy_at: Instant::now(),
            is_closing: false,
        }
    }

    /// Returns the time after the start at which the daemon exits even if requests are still open.
    fn exit_within(&self) -> Duration {
        self.grace.saturating_sub(EXIT_MARGIN)
    }

    /// Advances the shutdown and returns whether the daemon may exit.
    ///
    /// The daemon first continues to serve: as an entry until its clients have moved to other daemons, and as a guard
    /// so that the slots of its backend server stay in use. It then closes client connections as they become idle,
    /// accepts no more work from other daemons, and exits once no work is open and no request is being read.
    fn advance(&mut self, driver: &Rc<MeshDriver>) -> bool {
        let is_idle = match self.is_closing {
            true => !driver.is_reading_request() && driver.inspect(MeshReducer::is_idle),
            false => driver.inspect(MeshReducer::is_entry_idle),
        };
        if !is_idle {
            self.last_busy_at = Instant::now();
        }
        let elapsed = self.started_at.elapsed();
        let is_quiet = IDLE_BEFORE_EXIT <= self.last_busy_at.elapsed();
        if !self.is_closing {
            let is_drained = is_quiet && MIN_DRAIN_TIME <= elapsed;
            let close_after = self.grace.saturating_sub(CLOSE_MARGIN).max(MIN_DRAIN_TIME);
            if is_drained || close_after <= elapsed {
                self.is_closing = true;
                self.last_busy_at = Instant::now();
                log::info!("event=closing_clients elapsed_ms={}", elapsed.as_millis());
                driver.apply(MeshEvent::GuardClosed);
                driver.close_clients();
            }
            return false;
        }
        is_quiet || self.exit_within() <= elapsed
    }
}

/// The settings file, which operators may replace at run time.
struct SettingsFile {
    path: PathBuf,
    /// Content of the file at the last read.
    text: String,
    settings: MeshSettings,
}

impl SettingsFile {
    /// Reads the file again, logs any change and applies a change of the service. Changed addresses and names take effect at
    /// the next start only. With `is_forced`, unchanged content is parsed and logged as well.
    fn reload(&mut self, driver: &Rc<MeshDriver>, is_forced: bool) {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(cause) => {
                return log::warn!("event=settings_file_unreadable cause={:?}", cause.to_string());
            }
        };
        if text == self.text && !is_forced {
            return;
        }
        match MeshSettings::parse(&text) {
            Ok(settings) => {
                let is_changed = settings != self.settings;
                if is_changed || is_forced {
                    let grace = settings.shutdown_grace;
                    log::info!("event=reloaded changed={is_changed} grace_s={grace:?}");
                }
                self.settings = settings;
                let service = self.settings.service.clone();
                driver.apply(MeshEvent::ServiceAssigned { service });
            }
            Err(findings) => {
                log::warn!("event=settings_file_rejected findings={:?}", findings.to_string());
            }
        }
        self.text = text;
    }
}
