//! `ivytrail`, the operators' tool.
//!
//! Exit status: 0 for success, 1 when refused, 2 for invalid input, 3 when unreachable or the outcome is unknown.

mod commands;
mod daemon_client;
mod options;
mod report;

use std::process::ExitCode;

use options::{ParsedArguments, ToolOptions};
use report::{CommandReport, ToolError};

fn main() -> ExitCode {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>();
    let json = arguments.iter().any(|it| it == "--json");
    let result = ToolOptions::parse(arguments).and_then(|parsed| match parsed {
        ParsedArguments::Help(text) => Ok(CommandReport::text(text)),
        ParsedArguments::Run(options) => run(&options),
    });
    match result {
        Ok(report) => report.print(json),
        Err(error) => error.print(json),
    }
}

fn run(options: &ToolOptions) -> Result<CommandReport, ToolError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|cause| ToolError::Unreachable(cause.to_string()))?;
    runtime.block_on(commands::run(options))
}
