//! Read-only requests of the operator API.

use ivytrail::settings::{
    operator_api::{AuditPage, KeyList, KeyView, SubtreeView, TeamList},
    rows::{CHANGES_PER_READ, changes_read, decode_changes, decode_head},
};
use salvo::{Request, http::StatusCode};

use super::{OperatorState, parameters::AuditParameters, reply::OperatorReply};

/// Returns whether the daemon can serve callers, with status 503 if it can't.
pub(super) fn show_readiness(state: &OperatorState) -> OperatorReply {
    let view = state.backend.readiness();
    let status = if view.ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    OperatorReply::json(status, &view)
}

/// Returns the names of all teams.
pub(super) fn list_teams(state: &OperatorState) -> OperatorReply {
    let settings = state.backend.settings();
    let tree = settings.tree();
    let list = TeamList { revision: tree.revision, teams: tree.teams.keys().cloned().collect() };
    OperatorReply::json(StatusCode::OK, &list)
}

/// Returns the subtree of one team.
pub(super) fn show_team(state: &OperatorState, req: &Request) -> OperatorReply {
    let team = req.param::<String>("team").unwrap_or_default().into();
    let settings = state.backend.settings();
    let tree = settings.tree();
    let subtree = tree.teams.get(&team).cloned();
    let view = SubtreeView { team, revision: tree.revision, subtree };
    OperatorReply::json(StatusCode::OK, &view)
}

/// Returns all valid keys, without their digests.
pub(super) fn list_keys(state: &OperatorState) -> OperatorReply {
    let settings = state.backend.settings();
    let tree = settings.tree();
    let views = tree.keys.iter().map(|(name, record)| KeyView {
        name: name.clone(),
        account: record.account.clone(),
        issued_at: record.issued_at,
    });
    let list = KeyList { revision: tree.revision, keys: views.collect() };
    OperatorReply::json(StatusCode::OK, &list)
}

/// Returns a page of the audit trail. It is read from the platform because the daemons don't keep it.
pub(super) async fn show_audit(state: &OperatorState, req: &Request) -> OperatorReply {
    let after = match AuditParameters::from_request(req) {
        Ok(parameters) => parameters.after,
        Err(findings) => {
            return OperatorReply::error(StatusCode::BAD_REQUEST, findings.to_string());
        }
    };
    let rows = match state.platform.read(&changes_read(after, CHANGES_PER_READ)).await {
        Ok(rows) => rows,
        Err(cause) => {
            return OperatorReply::error(StatusCode::SERVICE_UNAVAILABLE, cause.to_string());
        }
    };
    let page = decode_head(&rows)
        .and_then(|head| decode_changes(&rows).map(|changes| AuditPage { head, changes }));
    match page {
        Ok(page) => OperatorReply::json(StatusCode::OK, &page),
        Err(cause) => OperatorReply::error(StatusCode::BAD_GATEWAY, cause.to_string()),
    }
}
