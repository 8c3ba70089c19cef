//! `ivytrail audit`: shows the audit trail.

use ivytrail::settings::{
    Revision, SettingsChange, TeamSubtree, TreeEdit, edit::diff_subtrees, operator_api::AuditPage,
    rows::subject_key,
};

use crate::{
    daemon_client::DaemonClient,
    options::AuditOptions,
    report::{CommandReport, ToolError, utc_text},
};

/// Shows all changes after a revision. Reads page by page up to the latest revision.
pub async fn run(
    client: &DaemonClient,
    arguments: &AuditOptions,
) -> Result<CommandReport, ToolError> {
    let mut changes: Vec<SettingsChange> = Vec::new();
    let mut after = Revision(arguments.after);
    loop {
        let page = client.get::<AuditPage>(&format!("/settings/audit?after={after}")).await?;
        let Some(last) = page.changes.last() else { break };
        after = last.revision;
        changes.extend(page.changes);
        if page.head <= after {
            break;
        }
    }
    let text = changes.iter().map(|change| change_text(change, arguments.diff)).collect();
    Ok(CommandReport::view(text, &changes))
}

fn change_text(change: &SettingsChange, with_diff: bool) -> String {
    let SettingsChange { revision, operator, change_id, .. } = change;
    let time = utc_text(change.accepted_at);
    let subject = subject_key(&change.edit);
    let action = match &change.edit {
        TreeEdit::ReplaceSubtree { .. } => "replaced",
        TreeEdit::IssueKey { .. } => "issued",
        TreeEdit::WithdrawKey { .. } => "withdrew",
    };
    let line = format!("{revision:>8} {time} {operator} {action} {subject} ({change_id})\n");
    match &change.edit {
        TreeEdit::ReplaceSubtree { subtree, .. } if with_diff => {
            let before = serde_json::from_value::<TeamSubtree>(change.before.clone());
            line + &diff_subtrees(&before.unwrap_or_default(), subtree)
        }
        _ => line,
    }
}
