//! `ivytrail check`: validates files offline.

use std::path::Path;

use ivytrail::settings::file::DaemonSettings;
use serde_json::{Value, json};

use super::declarations::{read_declarations, read_file};
use crate::{
    options::PathOptions,
    report::{CommandReport, ToolError},
};

/// Fields that tell a daemon's settings file from a team's subtree, which has none of them.
const DAEMON_FIELDS: [&str; 4] = ["caller_address", "peer_address", "operator_address", "platform"];

/// Validates a daemon's settings file, a subtree or a directory of subtrees.
pub fn run(arguments: &PathOptions) -> Result<CommandReport, ToolError> {
    let path = &arguments.path;
    if !Path::new(path).is_dir() && is_daemon_file(&read_file(path)?) {
        return check_daemon_file(path);
    }
    let declarations = read_declarations(path)?;
    let teams = declarations.iter().map(|it| it.team.to_string()).collect::<Vec<_>>();
    let text = teams.iter().map(|team| format!("{team}: subtree is valid\n")).collect();
    Ok(CommandReport::view(text, &json!({ "kind": "subtrees", "teams": teams })))
}

fn is_daemon_file(text: &str) -> bool {
    let document = serde_json::from_str::<Value>(text).unwrap_or_default();
    DAEMON_FIELDS.iter().any(|name| document.get(name).is_some())
}

fn check_daemon_file(path: &str) -> Result<CommandReport, ToolError> {
    let settings = DaemonSettings::parse(&read_file(path)?)
        .map_err(|findings| ToolError::BadFile { path: path.to_string(), findings })?;
    let text = format!("{path}: settings of daemon \"{}\" are valid\n", settings.name);
    Ok(CommandReport::view(text, &json!({ "kind": "daemon", "name": settings.name })))
}
