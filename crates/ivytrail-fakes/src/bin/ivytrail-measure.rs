//! Runs the benches that need real daemons and prints one JSON object a line.

use std::{process::ExitCode, time::Duration};

use anyhow::Result;
use gumdrop::Options;
use ivytrail_fakes::measure::{self, BenchOptions, BenchResult};

#[derive(Debug, Options)]
struct MeasureOptions {
    #[options(help = "prints this help")]
    help: bool,
    #[options(no_short, meta = "N", help = "length of one run in seconds", default = "6")]
    seconds: u64,
    #[options(no_short, meta = "N", help = "seed of the load", default = "1")]
    seed: u64,
    #[options(no_short, meta = "NAME", help = "only this measure")]
    only: Option<String>,
    #[options(no_short, meta = "NAMES", help = "decisions to switch off, with commas between")]
    off: Option<String>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = MeasureOptions::parse_args_default_or_exit();
    match run(&options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("ivytrail-measure: {cause:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &MeasureOptions) -> Result<()> {
    let off = options.off.iter().flat_map(|it| it.split(',')).map(str::to_string).collect();
    let length = Duration::from_secs(options.seconds);
    let bench = BenchOptions { length, seed: options.seed, off };
    let wants = |name: &str| options.only.as_deref().is_none_or(|only| only == name);
    if wants("added_latency_us") {
        for n_connections in [1, 100, 1_000] {
            measure::measure_added_latency(n_connections).await?.iter().try_for_each(print)?;
        }
    }
    if wants("goodput_ratio") {
        for depth in [1, 3, 6] {
            for factor in [1.0, 2.0, 4.0, 10.0] {
                print(&measure::measure_goodput(depth, factor, &bench).await?)?;
            }
        }
    }
    if wants("critical_share") {
        print(&measure::measure_critical_share(&bench).await?)?;
    }
    if wants("recovery_ms") {
        print(&measure::measure_recovery(&bench).await?)?;
    }
    Ok(())
}

fn print(line: &BenchResult) -> Result<()> {
    println!("{}", serde_json::to_string(line)?);
    Ok(())
}
