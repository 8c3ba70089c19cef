//! `ivytraild`, the daemon beside one backend server.

use std::{process::ExitCode, sync::Arc};

use ivytrail::settings::file::DaemonSettings;
use ivytrail_daemon::{
    log_setup, mesh,
    options::{DaemonOptions, StartMode},
    server::{self, RunOutcome},
};

/// Threads that carry requests. Instances are small, and the backend server needs their cores.
const WORKER_THREADS: usize = 2;

fn main() -> ExitCode {
    match DaemonOptions::from_arguments() {
        StartMode::Exit { code } => ExitCode::from(code),
        StartMode::Run(settings) => run_to_end(|| start(*settings)),
        StartMode::RunMesh { path, settings } => run_to_end(|| mesh::run(path, *settings)),
    }
}

fn run_to_end<R>(run: R) -> ExitCode
where
    R: FnOnce() -> anyhow::Result<()>,
{
    log_setup::start();
    abort_on_panic();
    let ended = run();
    if let Err(cause) = &ended {
        log::error!("event=daemon_failed cause={:?}", format!("{cause:#}"));
    }
    log_setup::flush();
    if ended.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Ends the process on a panic: a daemon whose invariant broke must not go on with half of its tasks.
fn abort_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        log::error!("event=panic message={:?}", info.to_string());
        report(info);
        std::process::abort();
    }));
}

fn start(settings: DaemonSettings) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(WORKER_THREADS)
        .build()?;
    runtime.block_on(run(settings))
}

/// Runs the daemon, and runs it again with a new incarnation when the other members have fenced it.
async fn run(settings: DaemonSettings) -> anyhow::Result<()> {
    let settings = Arc::new(settings);
    while server::run(settings.clone()).await? == RunOutcome::Fenced {
        log::warn!("event=starting_anew");
    }
    Ok(())
}
