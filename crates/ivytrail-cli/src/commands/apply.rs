//! `ivytrail apply`: stores team declarations as settings.

use ivytrail::settings::{
    Revision,
    operator_api::EditReply,
    store::{ChangeSummary, EditOutcome},
};
use reqwest::Method;
use serde_json::{Value, json};

use super::{declarations::TeamDeclaration, show::read_team};
use crate::{
    daemon_client::{DaemonClient, EditRequest, json_body},
    options::ApplyOptions,
    report::{CommandReport, ExitStatus, ToolError, utc_text},
};

/// Applies each declaration that differs from the settings in force. A refused declaration doesn't stop the others.
pub async fn run(
    client: &DaemonClient,
    arguments: &ApplyOptions,
    declarations: &[TeamDeclaration],
) -> Result<CommandReport, ToolError> {
    let mut report = CommandReport { json: Value::Array(Vec::new()), ..CommandReport::default() };
    for declaration in declarations {
        let reply = apply_one(client, arguments, declaration).await?;
        let team = declaration.team.as_str();
        let (line, status) = outcome_text(team, &reply);
        report.text.push_str(&line);
        report.status = report.status.max(status);
        let entry = json!({ "team": team, "reply": reply });
        report.json.as_array_mut().into_iter().for_each(|list| list.push(entry.clone()));
    }
    Ok(report)
}

async fn apply_one(
    client: &DaemonClient,
    arguments: &ApplyOptions,
    declaration: &TeamDeclaration,
) -> Result<EditReply, ToolError> {
    let view = read_team(client, declaration.team.as_str()).await?;
    if view.subtree.as_ref() == Some(&declaration.subtree) {
        let outcome = EditOutcome::Unchanged { revision: view.revision };
        return Ok(EditReply { outcome, confirmed: true });
    }
    let request = EditRequest {
        method: Method::PUT,
        path: format!("/settings/teams/{}", declaration.team),
        body: json_body(&declaration.subtree),
        base: arguments.base.map_or(view.revision, Revision),
        dry_run: arguments.dry_run,
    };
    client.edit(&request).await
}

/// Returns the outcome of an edit of `subject` as text of one or more lines, and the exit status.
pub fn outcome_text(subject: &str, reply: &EditReply) -> (String, ExitStatus) {
    let in_force = if reply.confirmed { "confirmed" } else { "stored, not yet confirmed" };
    match &reply.outcome {
        EditOutcome::Stored { revision } => {
            (format!("{subject}: revision {revision}, {in_force}\n"), ExitStatus::Done)
        }
        EditOutcome::Unchanged { revision } => {
            (format!("{subject}: unchanged at revision {revision}\n"), ExitStatus::Done)
        }
        EditOutcome::WouldChange { revision, diff } => (
            format!("{subject}: would change after revision {revision}\n{diff}\n"),
            ExitStatus::Done,
        ),
        EditOutcome::Refused { findings } => {
            (format!("{subject}: refused, nothing stored\n{findings}\n"), ExitStatus::Refused)
        }
        EditOutcome::Overtaken { changes } => {
            (conflict_text(subject, changes), ExitStatus::Refused)
        }
        EditOutcome::NotStored { reason } => {
            (format!("{subject}: nothing stored: {reason}\n"), ExitStatus::Unreachable)
        }
        EditOutcome::Unknown { change_id } => {
            let line = format!(
                "{subject}: outcome unknown; search the audit trail for change {change_id}\n"
            );
            (line, ExitStatus::Unreachable)
        }
    }
}

fn conflict_text(subject: &str, changes: &[ChangeSummary]) -> String {
    let mut text =
        format!("{subject}: changed by another operator since the base revision, nothing stored\n");
    for change in changes {
        let time = utc_text(change.accepted_at);
        let ChangeSummary { operator, subject, revision, .. } = change;
        text.push_str(&format!("  {operator} changed {subject} at revision {revision}, {time}\n"));
    }
    text.push_str(
        "  review the changes with `ivytrail show` or `ivytrail audit --diff`, merge, then apply again\n",
    );
    text
}
