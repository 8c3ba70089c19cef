//! Output and exit status of a command.

use std::process::ExitCode;

use ivytrail::{error::Findings, time::WallClock};
use serde::Serialize;
use serde_json::{Value, json};

/// Seconds in a day.
const DAY_S: u64 = 86_400;

/// Exit status of a command, in order of severity. Its number is the process's exit code.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExitStatus {
    /// The command succeeded.
    #[default]
    Done,
    /// The fleet refused the request.
    Refused,
    /// The arguments or a file are invalid.
    BadInput,
    /// No daemon or platform is reachable, or the outcome is unknown.
    Unreachable,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

/// Result of a command.
#[derive(Debug, Default)]
pub struct CommandReport {
    /// Human-readable output.
    pub text: String,
    /// Output for scripts.
    pub json: Value,
    /// Exit status of the process.
    pub status: ExitStatus,
}

impl CommandReport {
    /// Returns a successful report with the same text for both output formats.
    pub fn text(text: String) -> CommandReport {
        let json = json!({ "text": text });
        CommandReport { text, json, status: ExitStatus::Done }
    }

    /// Returns a successful report of `value`.
    pub fn view<T>(text: String, value: &T) -> CommandReport
    where
        T: Serialize,
    {
        let json = serde_json::to_value(value).unwrap_or_default();
        CommandReport { text, json, status: ExitStatus::Done }
    }

    /// Prints the report to standard output and returns the exit code.
    pub fn print(&self, json: bool) -> ExitCode {
        match json {
            true => println!("{}", self.json),
            false => print!("{}", self.text),
        }
        self.status.into()
    }
}

/// Failure of a command.
#[derive(Debug)]
pub enum ToolError {
    /// The fleet refused the request.
    Refused(String),
    /// The arguments or a file are invalid; nothing was sent.
    BadInput(String),
    /// A file has findings; nothing was sent.
    BadFile {
        /// Path of the file.
        path: String,
        /// Findings in the file.
        findings: Findings,
    },
    /// No daemon is available, or the outcome is unknown.
    Unreachable(String),
}

impl ToolError {
    /// Prints the error, as text to standard error or as JSON to standard output, and returns the exit code.
    pub fn print(&self, json: bool) -> ExitCode {
        let (message, status) = match self {
            ToolError::Refused(message) => (message.clone(), ExitStatus::Refused),
            ToolError::BadInput(message) => (message.clone(), ExitStatus::BadInput),
            ToolError::BadFile { path, findings } => {
                (format!("{path}:\n{findings}"), ExitStatus::BadInput)
            }
            ToolError::Unreachable(message) => (message.clone(), ExitStatus::Unreachable),
        };
        match (json, self) {
            (true, ToolError::BadFile { path, findings }) => {
                println!("{}", json!({ "error": "findings", "path": path, "findings": findings }));
            }
            (true, _) => println!("{}", json!({ "error": message })),
            (false, _) => eprintln!("ivytrail: {message}"),
        }
        status.into()
    }
}

/// Formats a wall clock time in UTC, e.g. `2026-03-01T12:00:05Z`.
pub fn utc_text(clock: WallClock) -> String {
    let seconds = clock.as_millis() / 1_000;
    let (year, month, day) = civil_date(seconds / DAY_S);
    let (hour, minute, second) = (seconds % DAY_S / 3_600, seconds % 3_600 / 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Returns the year, month and day that is `days` after 1970-01-01 in the Gregorian calendar.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let mut year = 1970;
    let mut days_left = days;
    while days_in_year(year) <= days_left {
        days_left -= days_in_year(year);
        year += 1;
    }
    let february = days_in_year(year) - 337;
    let months = [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let mut month = 0;
    while months[month] <= days_left {
        days_left -= months[month];
        month += 1;
    }
    (year, month as u64 + 1, days_left + 1)
}

fn days_in_year(year: u64) -> u64 {
    let is_century = year.is_multiple_of(100) && !year.is_multiple_of(400);
    let is_leap = year.is_multiple_of(4) && !is_century;
    if is_leap { 366 } else { 365 }
}
