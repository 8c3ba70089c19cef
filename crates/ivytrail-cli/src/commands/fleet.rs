//! `ivytrail upstreams`, `drain` and `status`: state of backend servers and daemons.

use std::time::Duration;

use ivytrail::settings::{
    Revision,
    operator_api::{DaemonRevision, DrainReply, SettingsStatus, UpstreamList, UpstreamView},
};
use reqwest::Method;
use tokio::time::{Instant, sleep};

use crate::{
    daemon_client::DaemonClient,
    options::{DrainOptions, StatusOptions},
    report::{CommandReport, ExitStatus, ToolError},
};

/// Delay between two reads while waiting for a revision.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Lists backend servers with their state and load.
pub async fn list_upstreams(client: &DaemonClient) -> Result<CommandReport, ToolError> {
    let list = client.get::<UpstreamList>("/upstreams").await?;
    let text = list.upstreams.iter().map(upstream_line).collect();
    Ok(CommandReport::view(text, &list))
}

/// Requests the drain of an instance, without waiting for its end.
pub async fn drain(
    client: &DaemonClient,
    arguments: &DrainOptions,
) -> Result<CommandReport, ToolError> {
    let instance = &arguments.instance;
    let path = format!("/upstreams/{instance}/drain");
    let reply = client.send::<DrainReply>(Method::POST, &path).await?;
    let text = format!("{instance}: drain requested; `ivytrail upstreams` shows its state\n");
    Ok(CommandReport::view(text, &reply))
}

/// Shows the revision in force on each known daemon, and optionally waits until a revision is in force on all of them.
pub async fn status(
    client: &DaemonClient,
    arguments: &StatusOptions,
) -> Result<CommandReport, ToolError> {
    let deadline = Instant::now() + Duration::from_secs(arguments.timeout);
    let mut status = client.get::<SettingsStatus>("/settings").await?;
    let target = arguments.revision.map_or_else(|| latest_revision(&status), Revision);
    while arguments.wait && !is_in_force_everywhere(&status, target) && Instant::now() < deadline {
        sleep(POLL_INTERVAL).await;
        status = client.get::<SettingsStatus>("/settings").await?;
    }
    let mut report = CommandReport::view(status_text(&status, target), &status);
    if arguments.wait && !is_in_force_everywhere(&status, target) {
        report.status = ExitStatus::Unreachable;
    }
    Ok(report)
}

fn latest_revision(status: &SettingsStatus) -> Revision {
    let others = status.daemons.iter().filter_map(|it| it.revision);
    others.chain([status.revision]).max().unwrap_or_default()
}

fn is_in_force_everywhere(status: &SettingsStatus, target: Revision) -> bool {
    let has_target = |it: &DaemonRevision| it.revision.is_some_and(|revision| target <= revision);
    target <= status.revision && status.daemons.iter().all(has_target)
}

fn status_text(status: &SettingsStatus, target: Revision) -> String {
    let freshness = if status.fresh { "fresh" } else { "stale: keyed routes are refused" };
    let lag_suffix = |revision: Revision| if revision < target { " (behind)" } else { "" };
    let local_revision = status.revision;
    let mut text = format!(
        "{:<24} revision {local_revision}{}, {freshness}\n",
        status.instance,
        lag_suffix(local_revision)
    );
    for daemon in &status.daemons {
        let line = match daemon.revision {
            Some(revision) => {
                format!(
                    "revision {revision}{}, reported {} ms ago",
                    lag_suffix(revision),
                    daemon.age_ms
                )
            }
            None => "no report yet".to_string(),
        };
        text.push_str(&format!("{:<24} {line}\n", daemon.instance));
    }
    text
}

fn upstream_line(upstream: &UpstreamView) -> String {
    let service = upstream.service.as_ref().map_or("-", |it| it.as_str());
    let load = upstream.load.map_or_else(
        || "load unknown".to_string(),
        |it| format!("{}/{} running, {} queued", it.in_flight, it.limit, it.queued),
    );
    let UpstreamView { instance, domain, state, .. } = upstream;
    format!("{instance:<24} {service:<16} {domain:<16} {state:<10} {load}\n")
}
