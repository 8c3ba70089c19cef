//! Runs the benches with real daemons and prints each result as one JSON object per line.

use std::{process::ExitCode, time::Duration};

use anyhow::Result;
use gumdrop::Options;
use ivytrail_fakes::measure::{self, BenchOptions, BenchResult};

#[derive(Debug, Options)]
struct MeasureOptions {
    #[options(help = "prints this help")]
    help: bool,
    #[options(
        no_short,
        meta = "N",
        help = "length of the load in each run, in seconds",
        default = "6"
    )]
    seconds: u64,
    #[options(no_short, meta = "N", help = "seed of the load", default = "1")]
    seed: u64,
    #[options(no_short, meta = "NAME", help = "name of the only measure to run")]
    only: Option<String>,
    #[options(no_short, meta = "NAMES", help = "control decisions to disable, comma-separated")]
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
    let disabled_decisions =
        options.off.iter().flat_map(|names| names.split(',')).map(str::to_string).collect();
    let length = Duration::from_secs(options.seconds);
    let bench = BenchOptions { length, seed: options.seed, disabled_decisions };
    let is_selected = |name: &str| options.only.as_deref().is_none_or(|only| only == name);
    if is_selected("added_latency_us") {
        for n_connections in [1, 100, 1_000] {
            measure::measure_added_latency(n_connections).await?.iter().try_for_each(print)?;
        }
    }
    if is_selected("goodput_ratio") {
        for depth in [1, 3, 6] {
            for load_factor in [1.0, 2.0, 4.0, 10.0] {
                print(&measure::measure_goodput(depth, load_factor, &bench).await?)?;
            }
        }
    }
    if is_selected("critical_share") {
        print(&measure::measure_critical_share(&bench).await?)?;
    }
    if is_selected("recovery_ms") {
        print(&measure::measure_recovery(&bench).await?)?;
    }
    Ok(())
}

fn print(result: &BenchResult) -> Result<()> {
    println!("{}", serde_json::to_string(result)?);
    Ok(())
}
