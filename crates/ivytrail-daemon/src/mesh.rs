//! The daemon of a mesh: the shell that drives [`ivytrail::mesh::MeshReducer`].
//!
//! Everything runs on one thread: instances are small, and no lock or wake-up between threads is paid for. Requests of
//! clients, links to other daemons and runs at the own backend server are tasks; they hand events to the shell, which
//! applies them and carries the effects out.

mod ingress;
mod links;
mod local;
mod metrics;
mod run_pool;
mod shell;
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

use self::shell::MeshShell;

/// Time between two ticks of the reducer.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Least time that a leaving daemon still serves: the platform asks for readiness once a second and takes it out after
/// two misses.
const LEAVE_NOTICE: Duration = Duration::from_millis(2_300);
/// Time for which nothing may be under way before a leaving daemon exits.
const QUIET_BEFORE_EXIT: Duration = Duration::from_millis(150);
/// Time before the end of the grace at which a daemon whose clients stay takes nothing new and closes their
/// connections, so that what it has taken ends before it exits.
const CLOSING_TIME: Duration = Duration::from_millis(3_000);
/// Time before the end of the grace at which the daemon exits whatever is under way.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time for which written answers may still be on their way to clients.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Runs the daemon until a signal asks it to leave.
///
/// # Errors
///
/// Returns an error when the runtime can't be set up or an address can't be bound.
pub fn run(path: PathBuf, settings: MeshSettings) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let tasks = LocalSet::new();
    runtime.block_on(tasks.run_until(serve(path, settings)))
}

async fn serve(path: PathBuf, settings: MeshSettings) -> anyhow::Result<()> {
    let member = MemberId { instance: settings.name.clone(), incarnation: shell::wall_millis() };
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
    let shell = MeshShell::start(options, &settings)?;
    ingress::listen(&shell, settings.caller_address).await.context("caller_address")?;
    local::listen_health(&shell, settings.health_address).await.context("health_address")?;
    local::listen_server(&shell, settings.local_address).await.context("local_address")?;
    metrics::listen(&shell, settings.metrics_address).await.context("metrics_address")?;
    links::listen(&shell, settings.peer_address).await.context("peer_address")?;
    table_loop::spawn(&shell, &settings)?;
    tokio::task::spawn_local(run_pool::check_at_start(Rc::clone(&shell), settings.service.clone()));
    watch(&shell, path, settings).await
}

/// Ticks, and waits for signals and changes of the settings file.
async fn watch(shell: &Rc<MeshShell>, path: PathBuf, settings: MeshSettings) -> anyhow::Result<()> {
    let mut signals = SignalSet::new()?;
    let mut file = SettingsFile { path, text: String::new(), settings };
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut checked_at = Instant::now();
    let mut leave: Option<LeaveProgress> = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = signals.terminate.recv() => {
                leave.get_or_insert_with(LeaveProgress::start);
                log::info!("event=stop_requested signal=SIGTERM");
                shell.apply(MeshEvent::StopRequested);
            }
            _ = signals.interrupt.recv() => {
                leave.get_or_insert_with(LeaveProgress::start);
                shell.apply(MeshEvent::StopRequested);
            }
            _ = signals.hang_up.recv() => {
                log::info!("event=reload_requested signal=SIGHUP");
                file.check(true);
            }
        }
        shell.apply(MeshEvent::Tick);
        if SETTINGS_CHECK_INTERVAL <= checked_at.elapsed() {
            checked_at = Instant::now();
            file.check(false);
            shell.prune();
        }
        if let Some(progress) = &mut leave
            && progress.is_over(shell, file.settings.shutdown_grace)
        {
            tokio::time::sleep(FLUSH_TIME).await;
            log::info!("event=stop calls_open={}", shell.inspect(MeshReducer::n_calls));
            return Ok(());
        }
    }
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

/// How far a leaving daemon has got.
struct LeaveProgress {
    started: Instant,
    busy_at: Instant,
    /// Whether clients' connections have been told to close, and other daemons to send nothing more.
    is_closing: bool,
}

impl LeaveProgress {
    fn start() -> LeaveProgress {
        LeaveProgress { started: Instant::now(), busy_at: Instant::now(), is_closing: false }
    }

    /// Returns whether the daemon may exit. It first serves on, as entry until clients have gone elsewhere and as guard
    /// so that the slots beside it stay in use. Then it closes its connections as they become idle, takes nothing more
    /// from other daemons, and exits when nothing is under way.
    fn is_over(&mut self, shell: &Rc<MeshShell>, grace: Duration) -> bool {
        let is_idle = match self.is_closing {
            true => shell.inspect(MeshReducer::is_idle),
            false => shell.inspect(MeshReducer::is_entry_idle),
        };
        if !is_idle {
            self.busy_at = Instant::now();
        }
        let elapsed = self.started.elapsed();
        let is_quiet = QUIET_BEFORE_EXIT <= self.busy_at.elapsed();
        if !self.is_closing {
            let is_noticed = is_quiet && LEAVE_NOTICE <= elapsed;
            if is_noticed || grace.saturating_sub(CLOSING_TIME).max(LEAVE_NOTICE) <= elapsed {
                self.is_closing = true;
                self.busy_at = Instant::now();
                log::info!("event=closing_clients elapsed_ms={}", elapsed.as_millis());
                shell.apply(MeshEvent::GuardClosed);
                shell.close_clients();
            }
            return false;
        }
        is_quiet || grace.saturating_sub(EXIT_MARGIN) <= elapsed
    }
}

/// The settings file, which operators may replace while the daemon runs.
struct SettingsFile {
    path: PathBuf,
    /// The file as it was read last.
    text: String,
    settings: MeshSettings,
}

impl SettingsFile {
    /// Reads the file again. Addresses and names hold until the next start; a change is logged.
    fn check(&mut self, is_asked: bool) {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(cause) => {
                return log::warn!("event=settings_file_unreadable cause={:?}", cause.to_string());
            }
        };
        if text == self.text && !is_asked {
            return;
        }
        match MeshSettings::parse(&text) {
            Ok(settings) => {
                let is_changed = settings != self.settings;
                if is_changed || is_asked {
                    let grace = settings.shutdown_grace;
                    log::info!("event=reloaded changed={is_changed} grace_s={grace:?}");
                }
                self.settings = settings;
            }
            Err(findings) => {
                log::warn!("event=settings_file_rejected findings={:?}", findings.to_string());
            }
        }
        self.text = text;
    }
}
