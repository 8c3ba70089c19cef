//! Runs the fault soak for a range of seeds; `scripts/faults` starts it.

use std::{process::ExitCode, time::Duration};

use gumdrop::Options;
use ivytrail_tests::fault::run_fault_soak;

/// Command-line options.
#[derive(Debug, Options)]
struct FaultOptions {
    /// Prints this help text.
    help: bool,
    #[options(no_short, help = "first seed", default = "1")]
    seed: u64,
    #[options(no_short, help = "number of consecutive seeds to run", default = "1")]
    seeds: u64,
    #[options(no_short, help = "duration of fault injection per seed, in seconds", default = "15")]
    seconds: u64,
}

#[tokio::main]
async fn main() -> anyhow::Result<ExitCode> {
    let options = FaultOptions::parse_args_default_or_exit();
    let mut n_failed = 0;
    for seed in options.seed..options.seed + options.seeds {
        let report = run_fault_soak(seed, Duration::from_secs(options.seconds)).await?;
        println!(
            "seed {seed} calls {} statuses {:?} faults {} violations {}",
            report.n_calls,
            report.statuses,
            report.faults.values().sum::<usize>(),
            report.violations.len()
        );
        if !report.violations.is_empty() {
            n_failed += 1;
            println!("faults of seed {seed}: {:?}", report.faults);
            report.violations.iter().for_each(|it| println!("{it}"));
        }
    }
    println!("{}", serde_json::json!({"seeds": options.seeds, "failed": n_failed}));
    Ok(if n_failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
