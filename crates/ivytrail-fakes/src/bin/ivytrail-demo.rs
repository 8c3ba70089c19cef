//! Runs the demo and prints its report as one JSON object on the last line of output.

use std::{process::ExitCode, time::Duration};

use anyhow::Result;
use gumdrop::Options;
use ivytrail_fakes::{
    demo::{DemoReport, run_demo},
    mesh,
};
use tokio::signal::unix::{SignalKind, signal};

#[derive(Debug, Options)]
struct DemoOptions {
    #[options(help = "prints this help")]
    help: bool,
    #[options(no_short, meta = "N", help = "length of the load in seconds", default = "40")]
    seconds: u64,
    #[options(
        no_short,
        meta = "NAME",
        help = "mesh: stratolift or teigwerk",
        default = "stratolift"
    )]
    mesh: String,
    #[options(no_short, meta = "N", help = "seed of the load", default = "1")]
    seed: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(code) => code,
        Err(cause) => {
            eprintln!("ivytrail-demo: {cause:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<ExitCode> {
    let options = DemoOptions::parse_args_default_or_exit();
    let mesh = match options.mesh.as_str() {
        "stratolift" => mesh::stratolift(),
        "teigwerk" => mesh::teigwerk(),
        other => anyhow::bail!("unknown mesh {other:?}: expected stratolift or teigwerk"),
    };
    let mut terminate = signal(SignalKind::terminate())?;
    let length = Duration::from_secs(options.seconds);
    // If a signal arrives first, dropping the future of the demo kills all processes that it started.
    let report: DemoReport = tokio::select! {
        report = run_demo(mesh, length, options.seed) => report?,
        _ = tokio::signal::ctrl_c() => anyhow::bail!("interrupted"),
        _ = terminate.recv() => anyhow::bail!("terminated"),
    };
    println!("{}", serde_json::to_string(&report)?);
    Ok(if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
