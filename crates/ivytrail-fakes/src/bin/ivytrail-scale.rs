//! Measures the resource usage and traffic of the control plane at several numbers of daemons and prints each result as
//! one JSON object per line.

use std::{process::ExitCode, time::Duration};

use gumdrop::Options;
use ivytrail_fakes::scale::{ScaleFigures, measure_scale};
use serde_json::json;

#[derive(Debug, Options)]
struct ScaleOptions {
    #[options(help = "prints this help")]
    help: bool,
    #[options(
        no_short,
        meta = "N,N",
        help = "numbers of daemons, comma-separated",
        default = "20,60,180"
    )]
    daemons: String,
    #[options(
        no_short,
        meta = "N",
        help = "seconds of steady state to measure per size",
        default = "20"
    )]
    seconds: u64,
    #[options(no_short, meta = "N", help = "settings changes per size", default = "5")]
    changes: usize,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = ScaleOptions::parse_args_default_or_exit();
    for size in options.daemons.split(',') {
        let Ok(n_daemons) = size.trim().parse() else {
            eprintln!("ivytrail-scale: invalid number of daemons: {size:?}");
            return ExitCode::from(2);
        };
        match measure_scale(n_daemons, Duration::from_secs(options.seconds), options.changes).await
        {
            Ok(figures) => print_figures(n_daemons, &figures),
            Err(cause) => {
                eprintln!("ivytrail-scale: {n_daemons} daemons: {cause:#}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn print_figures(n_daemons: usize, figures: &ScaleFigures) {
    let rows = [
        ("whole_view", figures.membership_convergence_s, "s"),
        ("control_bytes", figures.control_bytes_per_s, "B/s per daemon"),
        ("control_bytes_max", figures.max_control_bytes_per_s, "B/s"),
        ("control_core", figures.core_share * 100.0, "% of a core"),
        ("memory_max", figures.max_memory_bytes as f64 / 1e6, "MB"),
        ("table_reads", figures.table_reads_per_s, "1/s in all"),
        ("table_writes", figures.table_writes_per_s, "1/s in all"),
        ("settings_in_force", figures.max_in_force_ms, "ms"),
    ];
    for (measure, value, unit) in rows {
        let case = format!("{n_daemons} daemons");
        let value = (value * 1_000.0).round() / 1_000.0;
        println!(
            "{}",
            json!({ "measure": measure, "case": case, "value": value, "unit": unit, "baseline": null, "runs": 1 })
        );
    }
}
