//! Runs the soak of planned stops for a range of seeds; `scripts/stops` starts it.

use std::{process::ExitCode, time::Duration};

use gumdrop::Options;
use ivytrail_tests::stop_soak::{StopOptions, run_stop_soak};

/// Command-line options.
#[derive(Debug, Options)]
struct SoakOptions {
    /// Prints this help text.
    help: bool,
    #[options(no_short, help = "first seed", default = "1")]
    seed: u64,
    #[options(no_short, help = "number of consecutive seeds to run", default = "1")]
    seeds: u64,
    #[options(no_short, help = "time in which daemons are stopped, in seconds", default = "20")]
    seconds: u64,
    #[options(no_short, help = "number of instances", default = "4")]
    instances: usize,
}

#[tokio::main]
async fn main() -> anyhow::Result<ExitCode> {
    let options = SoakOptions::parse_args_default_or_exit();
    let mut n_failed = 0;
    for seed in options.seed..options.seed + options.seeds {
        let duration = Duration::from_secs(options.seconds);
        let n_instances = options.instances;
        let report = run_stop_soak(StopOptions { seed, duration, n_instances }).await?;
        println!(
            "seed {seed} stops {} calls {} late {} statuses {:?} violations {}",
            report.n_stops,
            report.n_calls,
            report.n_late,
            report.statuses,
            report.violations.len()
        );
        n_failed += usize::from(!report.violations.is_empty());
        report.violations.iter().for_each(|it| println!("{it}"));
    }
    println!("{}", serde_json::json!({"seeds": options.seeds, "failed": n_failed}));
    Ok(if n_failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
