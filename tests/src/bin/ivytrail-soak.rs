//! Runs randomised sessions for a while and reports what was run; `scripts/soak` starts it.

use std::process::ExitCode;

use gumdrop::Options;
use ivytrail_tests::soak::{SoakPlan, run_soak};

/// Command line of the program.
#[derive(Debug, Options)]
struct SoakOptions {
    /// Prints the options.
    help: bool,
    #[options(no_short, help = "time limit in seconds", default = "60")]
    seconds: u64,
    #[options(no_short, help = "seed of all scripts", default = "1")]
    seed: u64,
    #[options(no_short, help = "number of runs, where fewer than the time allows")]
    runs: Option<u64>,
}

fn main() -> ExitCode {
    let options = SoakOptions::parse_args_default_or_exit();
    let plan =
        SoakPlan { seed: options.seed, n_runs: options.runs, seconds: Some(options.seconds) };
    // The report tells of a broken assertion; its backtrace would hide the session.
    std::panic::set_hook(Box::new(|_| {}));
    let report = run_soak(&plan);
    println!("runs {}", report.runs);
    println!("events {}", report.events);
    println!("runs at backend servers {}", report.backend_runs);
    println!("whole answers {}", report.complete_responses);
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
