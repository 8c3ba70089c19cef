//! Runs randomised scenarios for a limited time and prints totals; started by `scripts/soak`.

use std::process::ExitCode;

use gumdrop::Options;
use ivytrail_tests::soak::{SoakPlan, run_soak};

/// Command-line options.
#[derive(Debug, Options)]
struct SoakOptions {
    /// Prints the usage.
    help: bool,
    #[options(no_short, help = "time limit in seconds", default = "60")]
    seconds: u64,
    #[options(no_short, help = "seed of all scenarios", default = "1")]
    seed: u64,
    #[options(no_short, help = "maximum number of runs within the time limit")]
    runs: Option<u64>,
}

fn main() -> ExitCode {
    let options = SoakOptions::parse_args_default_or_exit();
    let plan =
        SoakPlan { seed: options.seed, n_runs: options.runs, seconds: Some(options.seconds) };
    // The report contains the message of a failed assertion; the default hook's output would hide the session.
    std::panic::set_hook(Box::new(|_| {}));
    let report = run_soak(&plan);
    println!("runs {}", report.runs);
    println!("events {}", report.events);
    println!("runs at backend servers {}", report.backend_runs);
    println!("complete responses {}", report.complete_responses);
    for (kind, n) in &report.faults {
        println!("fault {kind} {n}");
    }
    println!("violations {}", report.violations);
    if let Some(failure) = &report.failure {
        println!("{failure}");
    }
    let summary = serde_json::json!({
        "runs": report.runs,
        "events": report.events,
        "faults": report.faults,
        "violations": report.violations,
    });
    println!("{summary}");
    if report.violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
