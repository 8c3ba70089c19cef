//! `ivytrail apply`: brings declarations into force.

use ivytrail::settings::{
    Revision,
    operator_api::EditReply,
    store::{ChangeSummary, EditOutcome},
};
use reqwest::Method;
use serde_json::{Value, json};

use super::{show::read_team, source::TeamDeclaration};
use crate::{
    daemon_client::{DaemonClient, EditRequest, body_of},
    options::ApplyOptions,
    report::{CommandReport, ExitStatus, ToolError, utc_text},
};

/// Applies each declaration that differs from what is in force; one that is refused doesn't stop the others.
pub async fn run(
    client: &DaemonClient,
    arguments: &ApplyOptions,
    declarations: &[TeamDeclaration],
) -> Result<CommandReport, ToolError> {
    let mut report = CommandReport { json: Value::Array(Vec::new()), ..CommandReport::default() };
    for declaration in declarations {
        let reply = apply_one(client, arguments, declaration).await?;
        let team = declaration.team.as_str();
        let (line, status) = describe(team, &reply);
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
        body: body_of(&declaration.subtree),
        base: arguments.base.map_or(view.revision, Revision),
        dry_run: arguments.dry_run,
    };
    client.edit(&request).await
}

/// Returns what became of an edit of `subject`, as a line or more, and the exit status.
pub fn describe(subject: &str, reply: &EditReply) -> (String, ExitStatus) {
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
            (overtaken_text(subject, changes), ExitStatus::Refused)
        }
        EditOutcome::NotStored { reason } => {
            (format!("{subject}: nothing stored: {reason}\n"), ExitStatus::Unreachable)
        }
        EditOutcome::Unknown { change_id } => {
            let line =
                format!("{subject}: outcome not known; look for {change_id} in the audit trail\n");
            (line, ExitStatus::Unreachable)
        }
    }
}

fn overtaken_text(subject: &str, changes: &[ChangeSummary]) -> String {
    let mut text = format!("{subject}: another operator was first, nothing stored\n");
    for change in changes {
        let at = utc_text(change.accepted_at);
        let ChangeSummary { operator, subject, revision, .. } = change;
        text.push_str(&format!("  {operator} changed {subject} at revision {revision}, {at}\n"));
    }
    text.push_str(
        "  look at it with `ivytrail show` or `ivytrail audit --diff`, merge, then apply again\n",
    );
    text
}
