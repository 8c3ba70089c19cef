//! `ivytraild`, the daemon beside one backend server.

mod caller_desk;
mod control_loop;
mod executor;
mod local_desk;
mod log_setup;
mod options;
mod peer_client;
mod peer_desk;
mod run_client;
mod server;
mod shell;

use std::{process::ExitCode, sync::Arc};

use ivytrail::settings::file::DaemonSettings;

use crate::{
    options::{DaemonOptions, StartMode},
    server::RunOutcome,
};

fn main() -> ExitCode {
    match DaemonOptions::from_arguments() {
        StartMode::Exit { code } => ExitCode::from(code),
        StartMode::Run(settings) => {
            log_setup::start();
            let runtime =
                tokio::runtime::Builder::new_multi_thread().enable_all().worker_threads(2).build();
            let result =
                runtime.map_err(anyhow::Error::from).and_then(|it| it.block_on(run(*settings)));
            match result {
                Ok(()) => ExitCode::SUCCESS,
                Err(cause) => {
                    log::error!("event=daemon_failed cause={:?}", format!("{cause:#}"));
                    ExitCode::FAILURE
                }
            }
        }
    }
}

/// Runs the daemon, and runs it again with a new incarnation when the other members have fenced it.
async fn run(settings: DaemonSettings) -> anyhow::Result<()> {
    let settings = Arc::new(settings);
    while server::run(settings.clone()).await? == RunOutcome::Fenced {
        log::warn!("event=starting_anew");
    }
    Ok(())
}
