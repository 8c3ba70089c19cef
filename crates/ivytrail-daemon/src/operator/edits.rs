//! Requests that edit the settings. Each one runs an [`EditSession`] against the platform and waits until the stored
//! change is confirmed.

use std::time::Duration;

use ivytrail::{
    error::Findings,
    id::KeyName,
    settings::{
        KeyRecord, SettingsChange, SettingsTree, TreeEdit,
        check::parse_subtree,
        credential::digest_from_hex,
        operator_api::{EditReply, KeyRequest},
        store::{ChangeDraft, EditMode, EditOutcome, EditSession, EditStep},
    },
};
use salvo::{Request, http::StatusCode};
use tokio::time::{Instant, sleep};

use super::{OperatorState, parameters::EditParameters, reply::OperatorReply};
use crate::platform_client::{PlatformClient, PlatformError};

/// Time after which an edit sends no more requests to the platform. The operators' tool has a longer timeout, so that
/// two attempts to store the same change never run at the same time.
const EDIT_TIMEOUT: Duration = Duration::from_secs(8);

/// First delay after a request without a response from the platform; each further delay is twice as long.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum delay after a request without a response from the platform.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Time limit for the confirmation of a stored change by the control ring.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval between checks whether a change is confirmed.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Handles a request to replace a team's subtree.
pub(super) async fn replace_team(
    state: &OperatorState,
    req: &mut Request,
    operator: &str,
) -> OperatorReply {
    let team = req.param::<String>("team").unwrap_or_default().into();
    let text = match read_text(state, req).await {
        Ok(text) => text,
        Err(reply) => return reply,
    };
    match parse_subtree(&text) {
        Ok(subtree) => edit(state, req, operator, TreeEdit::ReplaceSubtree { team, subtree }).await,
        Err(findings) => OperatorReply::refused(findings),
    }
}

/// Handles a request to issue a key.
pub(super) async fn issue_key(
    state: &OperatorState,
    req: &mut Request,
    operator: &str,
) -> OperatorReply {
    let text = match read_text(state, req).await {
        Ok(text) => text,
        Err(reply) => return reply,
    };
    let request = match serde_json::from_str::<KeyRequest>(&text) {
        Ok(request) => request,
        Err(cause) => {
            return OperatorReply::error(StatusCode::BAD_REQUEST, format!("invalid body: {cause}"));
        }
    };
    let Some(digest) = digest_from_hex(&request.digest) else {
        let mut findings = Findings::default();
        findings.push("$.digest", "allowed: a SHA-256 digest as 64 hexadecimal digits");
        return OperatorReply::refused(findings);
    };
    let issued_at = state.backend.now();
    let record = KeyRecord { account: request.account, digest, issued_at };
    edit(state, req, operator, TreeEdit::IssueKey { name: request.name, record }).await
}

/// Handles a request to withdraw a key.
pub(super) async fn withdraw_key(
    state: &OperatorState,
    req: &mut Request,
    operator: &str,
) -> OperatorReply {
    let name: KeyName = req.param::<String>("key").unwrap_or_default().into();
    edit(state, req, operator, TreeEdit::WithdrawKey { name }).await
}

async fn read_text(state: &OperatorState, req: &mut Request) -> Result<String, OperatorReply> {
    let body = req.payload_with_max_size(state.max_body_bytes).await.map_err(|cause| {
        OperatorReply::error(StatusCode::BAD_REQUEST, format!("failed to read the body: {cause}"))
    })?;
    String::from_utf8(body.to_vec())
        .map_err(|_| OperatorReply::error(StatusCode::BAD_REQUEST, "the body is not valid UTF-8"))
}

async fn edit(
    state: &OperatorState,
    req: &Request,
    operator: &str,
    edit: TreeEdit,
) -> OperatorReply {
    let parameters = match EditParameters::from_request(req) {
        Ok(parameters) => parameters,
        Err(findings) => {
            return OperatorReply::error(StatusCode::BAD_REQUEST, findings.to_string());
        }
    };
    let draft = ChangeDraft {
        change_id: parameters.change_id,
        operator: operator.to_string(),
        accepted_at: state.backend.now(),
        base: parameters.base,
        resent: parameters.resent,
        edit,
    };
    let tree = state.backend.settings().tree().clone();
    let (outcome, changes) = run_edit(&state.platform, draft, parameters.mode, tree).await;
    log::info!("event=settings_edit operator={operator} outcome={}", outcome.name());
    state.backend.apply_changes(changes);
    let confirmed = wait_for_confirmation(state, &outcome).await;
    OperatorReply::edit(&EditReply { outcome, confirmed })
}

/// Runs an edit until it ends or [`EDIT_TIMEOUT`] has passed. Returns its outcome and the changes read in the process.
async fn run_edit(
    platform: &PlatformClient,
    draft: ChangeDraft,
    mode: EditMode,
    tree: SettingsTree,
) -> (EditOutcome, Vec<SettingsChange>) {
    let deadline = Instant::now() + EDIT_TIMEOUT;
    let (mut session, mut step) = EditSession::start(draft, mode, tree);
    let mut backoff = INITIAL_BACKOFF;
    loop {
        if let EditStep::Done(outcome) = step {
            return (outcome, session.into_changes());
        }
        if deadline <= Instant::now() {
            return (session.abandon(), session.into_changes());
        }
        let is_answered;
        (step, is_answered) = execute_step(platform, &mut session, step).await;
        if !is_answered {
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Sends the request of `step` to the platform. Returns the next step and whether the platform gave a usable response.
async fn execute_step(
    platform: &PlatformClient,
    session: &mut EditSession,
    step: EditStep,
) -> (EditStep, bool) {
    match step {
        EditStep::Read(read) => match platform.read(&read).await {
            Ok(rows) => (session.on_rows(&rows), true),
            Err(_) => (session.on_read_lost(), false),
        },
        EditStep::Transact(transaction) => match platform.transact(&transaction).await {
            Ok(result) => (session.on_result(&result), true),
            Err(PlatformError::NoResponse(_)) => (session.on_transaction_lost(), false),
            Err(PlatformError::NotSent(_) | PlatformError::Rejected { .. }) => {
                (session.on_transaction_unsent(), false)
            }
        },
        EditStep::Done(outcome) => (EditStep::Done(outcome), true),
    }
}

/// Waits until the control ring confirms a stored change or [`CONFIRMATION_TIMEOUT`] has passed. Returns whether it is
/// confirmed.
async fn wait_for_confirmation(state: &OperatorState, outcome: &EditOutcome) -> bool {
    let (EditOutcome::Stored { revision } | EditOutcome::Unchanged { revision }) = outcome else {
        return false;
    };
    let deadline = Instant::now() + CONFIRMATION_TIMEOUT;
    while !state.backend.is_confirmed(*revision) {
        if deadline <= Instant::now() {
            return false;
        }
        sleep(CONFIRMATION_POLL_INTERVAL).await;
    }
    true
}
