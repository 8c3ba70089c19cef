//! What a command prints, and its exit status.

use std::process::ExitCode;

use ivytrail::{error::Findings, time::WallClock};
use serde::Serialize;
use serde_json::{Value, json};

/// Seconds in a day.
const DAY_S: u64 = 86_400;

/// Exit status of a command, the worse the later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExitStatus {
    /// Done.
    #[default]
    Done,
    /// Refused.
    Refused,
    /// Bad input.
    BadInput,
    /// Not reachable, or the outcome is not known.
    Unreachable,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

/// What a command found out.
#[derive(Debug, Default)]
pub struct CommandReport {
    /// Text for a person.
    pub text: String,
    /// The same for a script.
    pub json: Value,
    /// Exit status.
    pub status: ExitStatus,
}

impl CommandReport {
    /// Returns a report that is only text.
    pub fn text(text: String) -> CommandReport {
        let json = json!({ "text": text });
        CommandReport { text, json, status: ExitStatus::Done }
    }

    /// Returns a report of something that was read.
    pub fn view<T>(text: String, value: &T) -> CommandReport
    where
        T: Serialize,
    {
        let json = serde_json::to_value(value).unwrap_or_default();
        CommandReport { text, json, status: ExitStatus::Done }
    }

    /// Prints the report and returns its exit status.
    pub fn print(&self, json: bool) -> ExitCode {
        match json {
            true => println!("{}", self.json),
            false => print!("{}", self.text),
        }
        self.status.into()
    }
}

/// Why a command could not be carried out.
#[derive(Debug)]
pub enum ToolError {
    /// The fleet refused it.
    Refused(String),
    /// The arguments or a file are wrong; nothing was sent.
    BadInput(String),
    /// A file has findings; nothing was sent.
    BadFile {
        /// Path of the file.
        path: String,
        /// What is wrong with it.
        findings: Findings,
    },
    /// No daemon answered, or the outcome is not known.
    Unreachable(String),
}

impl ToolError {
    /// Prints the error and returns its exit status.
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

/// Returns a wall clock reading as UTC, e.g. `2026-03-01T12:00:05Z`.
pub fn utc_text(clock: WallClock) -> String {
    let seconds = clock.as_millis() / 1_000;
    let (year, month, day) = civil_date(seconds / DAY_S);
    let (hour, minute, second) = (seconds % DAY_S / 3_600, seconds % 3_600 / 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Returns year, month and day of the day `days` after 1970-01-01 in the Gregorian calendar.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let mut year = 1970;
    let mut rest = days;
    while days_in_year(year) <= rest {
        rest -= days_in_year(year);
        year += 1;
    }
    let february = days_in_year(year) - 337;
    let months = [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let mut month = 0;
    while months[month] <= rest {
        rest -= months[month];
        month += 1;
    }
    (year, month as u64 + 1, rest + 1)
}

fn days_in_year(year: u64) -> u64 {
    let is_century = year.is_multiple_of(100) && !year.is_multiple_of(400);
    let is_leap = year.is_multiple_of(4) && !is_century;
    if is_leap { 366 } else { 365 }
}
