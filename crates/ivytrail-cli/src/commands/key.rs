//! `ivytrail key`: issues, lists and withdraws keys of client accounts.

use ivytrail::settings::{
    credential::{digest_to_hex, secret_digest},
    operator_api::{EditReply, KeyList, KeyRequest},
    store::EditOutcome,
};
use reqwest::Method;
use serde_json::json;
use uuid::Uuid;

use super::apply::outcome_text;
use crate::{
    daemon_client::{DaemonClient, EditRequest, json_body},
    options::{IssueOptions, KeyCommand, KeyOptions},
    report::{CommandReport, ToolError, utc_text},
};

/// Prefix of every secret, by which scanners can recognize leaked secrets.
const SECRET_PREFIX: &str = "ivk_";

/// Runs a subcommand of `key`.
pub async fn run(
    client: &DaemonClient,
    arguments: &KeyOptions,
) -> Result<CommandReport, ToolError> {
    match &arguments.command {
        Some(KeyCommand::Issue(arguments)) => issue(client, arguments).await,
        Some(KeyCommand::List(_)) => list(client).await,
        Some(KeyCommand::Withdraw(arguments)) => withdraw(client, &arguments.name).await,
        None => Err(ToolError::BadInput(
            "a subcommand is missing; use `key issue`, `key list` or `key withdraw`".into(),
        )),
    }
}

/// Issues a key. The secret is generated locally and only its digest is sent, so a lost response doesn't lose it.
async fn issue(
    client: &DaemonClient,
    arguments: &IssueOptions,
) -> Result<CommandReport, ToolError> {
    let IssueOptions { name, account, .. } = arguments;
    let secret = new_secret();
    let request = KeyRequest {
        name: name.as_str().into(),
        account: account.as_str().into(),
        digest: digest_to_hex(&secret_digest(&secret)),
    };
    let base = client.get::<KeyList>("/settings/keys").await?.revision;
    let request = EditRequest {
        method: Method::POST,
        path: "/settings/keys".to_string(),
        body: json_body(&request),
        base,
        dry_run: false,
    };
    let reply = client.edit(&request).await.map_err(|error| add_secret(error, &secret))?;
    let (mut text, status) = outcome_text(&format!("key {name} for account {account}"), &reply);
    if !matches!(reply.outcome, EditOutcome::Stored { .. }) {
        return Ok(CommandReport { text, json: json!({ "key": name, "reply": reply }), status });
    }
    text.push_str(&format!("secret (it can't be shown again): {secret}\n"));
    let json = json!({ "key": name, "account": account, "secret": secret, "reply": reply });
    Ok(CommandReport { text, json, status })
}

/// Adds the secret to the error of an edit whose outcome is unknown, since the key may be in force.
fn add_secret(error: ToolError, secret: &str) -> ToolError {
    match error {
        ToolError::Unreachable(message) => ToolError::Unreachable(format!(
            "{message}\nif the key was stored, its secret is {secret}"
        )),
        other => other,
    }
}

async fn list(client: &DaemonClient) -> Result<CommandReport, ToolError> {
    let list = client.get::<KeyList>("/settings/keys").await?;
    let lines = list.keys.iter().map(|key| {
        format!("{:<24} {:<24} issued {}\n", key.name, key.account, utc_text(key.issued_at))
    });
    Ok(CommandReport::view(lines.collect(), &list))
}

async fn withdraw(client: &DaemonClient, name: &str) -> Result<CommandReport, ToolError> {
    let base = client.get::<KeyList>("/settings/keys").await?.revision;
    let request = EditRequest {
        method: Method::DELETE,
        path: format!("/settings/keys/{name}"),
        body: String::new(),
        base,
        dry_run: false,
    };
    let reply: EditReply = client.edit(&request).await?;
    let (text, status) = outcome_text(&format!("withdrawal of key {name}"), &reply);
    Ok(CommandReport { text, json: json!({ "key": name, "reply": reply }), status })
}

/// Returns a new secret with 244 random bits.
fn new_secret() -> String {
    format!("{SECRET_PREFIX}{}{}", Uuid::new_v4().simple(), Uuid::new_v4().simple())
}
