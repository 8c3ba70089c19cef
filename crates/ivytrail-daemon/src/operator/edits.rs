//! Edits of the settings: reads the request, drives an [`EditSession`] against the platform, waits for confirmation.

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

/// Time after which an edit sends nothing more. The operators' tool waits longer, so that two sendings of one change
/// never run at the same time.
const EDIT_TIME_LIMIT: Duration = Duration::from_secs(8);

/// First pause after the platform gave no answer; each further pause is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause after the platform gave no answer.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Longest wait for the control ring to acknowledge a stored change.
const CONFIRM_TIME_LIMIT: Duration = Duration::from_secs(4);

/// Time between two looks at whether a change is confirmed.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(20);

/// Replaces a team's subtree.
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

/// Issues a key.
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
            return OperatorReply::error(StatusCode::BAD_REQUEST, format!("body: {cause}"));
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

/// Withdraws a key.
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
        OperatorReply::error(StatusCode::BAD_REQUEST, format!("body can't be read: {cause}"))
    })?;
    String::from_utf8(body.to_vec())
        .map_err(|_| OperatorReply::error(StatusCode::BAD_REQUEST, "body isn't UTF-8 text"))
}

async fn edit(
    state: &OperatorState,
    req: &Request,
    operator: &str,
    edit: TreeEdit,
) -> OperatorReply {
    let parameters = match EditParameters::of(req) {
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
    state.backend.learn(changes);
    let confirmed = wait_confirmed(state, &outcome).await;
    OperatorReply::edit(&EditReply { outcome, confirmed })
}

/// Drives an edit until it has ended or its time is over. Returns the outcome and the changes read on the way.
async fn run_edit(
    platform: &PlatformClient,
    draft: ChangeDraft,
    mode: EditMode,
    tree: SettingsTree,
) -> (EditOutcome, Vec<SettingsChange>) {
    let deadline = Instant::now() + EDIT_TIME_LIMIT;
    let (mut session, mut step) = EditSession::start(draft, mode, tree);
    let mut pause = FIRST_PAUSE;
    loop {
        if let EditStep::Done(outcome) = step {
            return (outcome, session.into_changes());
        }
        if deadline <= Instant::now() {
            return (session.abandon(), session.into_changes());
        }
        let is_answered;
        (step, is_answered) = take_step(platform, &mut session, step).await;
        if !is_answered {
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }
}

/// Sends what `step` asks for. Returns the next step and whether the platform answered.
async fn take_step(
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
            Err(PlatformError::NoAnswer(_)) => (session.on_transaction_lost(), false),
            Err(PlatformError::Unsent(_) | PlatformError::Refused { .. }) => {
                (session.on_transaction_unsent(), false)
            }
        },
        EditStep::Done(outcome) => (EditStep::Done(outcome), true),
    }
}

/// Waits until a change in force is confirmed by the control ring, or the time for it is over.
async fn wait_confirmed(state: &OperatorState, outcome: &EditOutcome) -> bool {
    let (EditOutcome::Stored { revision } | EditOutcome::Unchanged { revision }) = outcome else {
        return false;
    };
    let deadline = Instant::now() + CONFIRM_TIME_LIMIT;
    while !state.backend.is_confirmed(*revision) {
        if deadline <= Instant::now() {
            return false;
        }
        sleep(CONFIRM_INTERVAL).await;
    }
    true
}
