//! `ivytrail upstreams`, `drain` and `status`: what runs where.

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

/// Time between two looks while waiting.
const WAIT_INTERVAL: Duration = Duration::from_millis(200);

/// Lists backend servers.
pub async fn list_upstreams(client: &DaemonClient) -> Result<CommandReport, ToolError> {
    let list = client.get::<UpstreamList>("/upstreams").await?;
    let text = list.upstreams.iter().map(upstream_line).collect();
    Ok(CommandReport::view(text, &list))
}

/// Drains an instance.
pub async fn drain(
    client: &DaemonClient,
    arguments: &DrainOptions,
) -> Result<CommandReport, ToolError> {
    let instance = &arguments.instance;
    let path = format!("/upstreams/{instance}/drain");
    let reply = client.ask::<DrainReply>(Method::POST, &path).await?;
    let text = format!("{instance}: drain requested; `ivytrail upstreams` shows its state\n");
    Ok(CommandReport::view(text, &reply))
}

/// Shows which revision is in force where, and waits for one if asked to.
pub async fn status(
    client: &DaemonClient,
    arguments: &StatusOptions,
) -> Result<CommandReport, ToolError> {
    let deadline = Instant::now() + Duration::from_secs(arguments.timeout);
    let mut status = client.get::<SettingsStatus>("/settings").await?;
    let target = arguments.revision.map_or_else(|| newest(&status), Revision);
    while arguments.wait && !is_everywhere(&status, target) && Instant::now() < deadline {
        sleep(WAIT_INTERVAL).await;
        status = client.get::<SettingsStatus>("/settings").await?;
    }
    let mut report = CommandReport::view(status_text(&status, target), &status);
    if arguments.wait && !is_everywhere(&status, target) {
        report.status = ExitStatus::Unreachable;
    }
    Ok(report)
}

fn newest(status: &SettingsStatus) -> Revision {
    let others = status.daemons.iter().filter_map(|it| it.revision);
    others.chain([status.revision]).max().unwrap_or_default()
}

fn is_everywhere(status: &SettingsStatus, target: Revision) -> bool {
    let has_it = |it: &DaemonRevision| it.revision.is_some_and(|revision| target <= revision);
    target <= status.revision && status.daemons.iter().all(has_it)
}

fn status_text(status: &SettingsStatus, target: Revision) -> String {
    let freshness = if status.fresh { "fresh" } else { "stale: keyed routes are refused" };
    let mark = |revision: Revision| if revision < target { " (behind)" } else { "" };
    let own = status.revision;
    let mut text = format!("{:<24} revision {own}{}, {freshness}\n", status.instance, mark(own));
    for daemon in &status.daemons {
        let line = match daemon.revision {
            Some(revision) => {
                format!("revision {revision}{}, heard {} ms ago", mark(revision), daemon.age_ms)
            }
            None => "not heard yet".to_string(),
        };
        text.push_str(&format!("{:<24} {line}\n", daemon.instance));
    }
    text
}

fn upstream_line(upstream: &UpstreamView) -> String {
    let service = upstream.service.as_ref().map_or("-", |it| it.as_str());
    let load = upstream.load.map_or_else(
        || "load not heard".to_string(),
        |it| format!("{}/{} running, {} queued", it.in_flight, it.limit, it.queued),
    );
    let UpstreamView { instance, domain, state, .. } = upstream;
    format!("{instance:<24} {service:<16} {domain:<16} {state:<10} {load}\n")
}
