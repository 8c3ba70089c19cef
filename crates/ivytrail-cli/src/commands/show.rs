//! `ivytrail show`: shows a team's subtree in force.

use ivytrail::settings::{
    edit::to_pretty_json,
    operator_api::{SubtreeView, TeamList},
};

use crate::{
    daemon_client::DaemonClient,
    options::ShowOptions,
    report::{CommandReport, ToolError},
};

/// Shows one team's subtree, or the names of all teams.
pub async fn run(
    client: &DaemonClient,
    arguments: &ShowOptions,
) -> Result<CommandReport, ToolError> {
    let Some(team) = &arguments.team else {
        let list = client.get::<TeamList>("/settings/teams").await?;
        let text = list.teams.iter().map(|team| format!("{team}\n")).collect();
        return Ok(CommandReport::view(text, &list));
    };
    let view = read_team(client, team).await?;
    match &view.subtree {
        Some(subtree) => Ok(CommandReport::view(to_pretty_json(subtree), &view)),
        None => Err(ToolError::Refused(format!(
            "team \"{team}\" has no subtree at revision {}; `ivytrail show` lists the teams",
            view.revision
        ))),
    }
}

/// Reads a team's subtree in force.
pub async fn read_team(client: &DaemonClient, team: &str) -> Result<SubtreeView, ToolError> {
    client.get::<SubtreeView>(&format!("/settings/teams/{team}")).await
}
