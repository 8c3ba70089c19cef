//! `ivytraild`, the daemon that runs beside one backend server.

use std::{process::ExitCode, sync::Arc};

use ivytrail::settings::file::DaemonSettings;
use ivytrail_daemon::{
    log_setup, mesh,
    options::{DaemonOptions, StartMode},
    server::{self, RunOutcome},
};

/// Worker threads of the runtime. Instances are small, and the backend server needs their cores.
const WORKER_THREADS: usize = 2;

fn main() -> ExitCode {
    match DaemonOptions::from_arguments() {
        StartMode::Exit { code } => ExitCode::from(code),
        StartMode::Run(settings) => run_daemon(|| run_until_stopped(*settings)),
        StartMode::RunMesh { path, settings } => run_daemon(|| mesh::run(path, *settings)),
    }
}

/// Sets up logging and panic handling, runs the daemon and converts its result into an exit status.
fn run_daemon<R>(run: R) -> ExitCode
where
    R: FnOnce() -> anyhow::Result<()>,
{
    log_setup::start();
    abort_on_panic();
    let result = run();
    if let Err(cause) = &result {
        log::error!("event=daemon_failed cause={:?}", format!("{cause:#}"));
    }
    log_setup::flush();
    if result.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Aborts the process on a panic: after a violated invariant the daemon must not continue with only part of its tasks.
fn abort_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        log::error!("event=panic message={:?}", info.to_string());
        default_hook(info);
        std::process::abort();
    }));
}

fn run_until_stopped(settings: DaemonSettings) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(WORKER_THREADS)
        .build()?;
    runtime.block_on(restart_while_fenced(settings))
}

/// Runs the daemon, and restarts it with a new incarnation each time the other members have fenced it.
async fn restart_while_fenced(settings: DaemonSettings) -> anyhow::Result<()> {
    let settings = Arc::new(settings);
    while server::run(settings.clone()).await? == RunOutcome::Fenced {
        log::warn!("event=restarting");
    }
    Ok(())
}
