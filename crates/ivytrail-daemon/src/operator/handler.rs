//! HTTP handler of the operator API.

use std::sync::Arc;

use ivytrail::settings::operator_api::{DrainReply, ReadinessView};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode};

use super::{OperatorState, credentials::authenticate, edits, reply::OperatorReply, views};

/// Action of a route of the operator API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OperatorAction {
    DrainInstance,
    IssueKey,
    ListKeys,
    ListTeams,
    ListUpstreams,
    RefuseUnknown,
    ReplaceTeam,
    ShowAudit,
    ShowHealth,
    ShowMetrics,
    ShowReadiness,
    ShowStatus,
    ShowTeam,
    WithdrawKey,
}

/// Handles the requests of one route.
#[derive(Clone, Debug)]
pub(super) struct OperatorHandler {
    state: Arc<OperatorState>,
    action: OperatorAction,
}

impl OperatorHandler {
    /// Creates a handler that performs `action`.
    pub(super) fn new(state: Arc<OperatorState>, action: OperatorAction) -> OperatorHandler {
        OperatorHandler { state, action }
    }

    async fn respond(&self, req: &mut Request) -> OperatorReply {
        let state = &*self.state;
        match (self.action, authenticate(req, &state.operators)) {
            (OperatorAction::ShowHealth, _) => {
                let view = ReadinessView { ready: true, reason: String::new() };
                OperatorReply::json(StatusCode::OK, &view)
            }
            (OperatorAction::ShowReadiness, _) => views::show_readiness(state),
            (_, None) => OperatorReply::error(
                StatusCode::UNAUTHORIZED,
                "missing or unknown bearer token; it must belong to an operator in this daemon's settings file",
            ),
            (action, Some(operator)) => perform(state, action, req, operator).await,
        }
    }
}

async fn perform(
    state: &OperatorState,
    action: OperatorAction,
    req: &mut Request,
    operator: &str,
) -> OperatorReply {
    match action {
        OperatorAction::DrainInstance => drain(state, req, operator),
        OperatorAction::IssueKey => edits::issue_key(state, req, operator).await,
        OperatorAction::ListKeys => views::list_keys(state),
        OperatorAction::ListTeams => views::list_teams(state),
        OperatorAction::ListUpstreams => {
            OperatorReply::json(StatusCode::OK, &state.backend.upstreams())
        }
        OperatorAction::ReplaceTeam => edits::replace_team(state, req, operator).await,
        OperatorAction::ShowAudit => views::show_audit(state, req).await,
        OperatorAction::ShowMetrics => OperatorReply::metrics(state.backend.render_metrics()),
        OperatorAction::ShowStatus => {
            OperatorReply::json(StatusCode::OK, &state.backend.settings_status())
        }
        OperatorAction::ShowTeam => views::show_team(state, req),
        OperatorAction::WithdrawKey => edits::withdraw_key(state, req, operator).await,
        OperatorAction::RefuseUnknown
        | OperatorAction::ShowHealth
        | OperatorAction::ShowReadiness => {
            OperatorReply::error(StatusCode::NOT_FOUND, "unknown path or method")
        }
    }
}

fn drain(state: &OperatorState, req: &Request, operator: &str) -> OperatorReply {
    let instance = req.param::<String>("instance").unwrap_or_default().into();
    let reply = state.backend.drain(&instance);
    log::info!("event=drain_requested operator={operator} instance={instance:?} reply={reply:?}");
    let status = match reply {
        DrainReply::Requested => StatusCode::OK,
        DrainReply::UnknownInstance => StatusCode::NOT_FOUND,
    };
    OperatorReply::json(status, &reply)
}

#[async_trait]
impl Handler for OperatorHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        self.respond(req).await.write(res);
        ctrl.skip_rest();
    }
}
