//! The handler of the operators' interface.

use std::sync::Arc;

use ivytrail::settings::operator_api::{DrainReply, ReadinessView};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode};

use super::{OperatorState, credentials::operator_of, edits, reply::OperatorReply, views};

/// What a route of the operators' interface does.
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

/// Handles one route.
#[derive(Clone, Debug)]
pub(super) struct OperatorDesk {
    state: Arc<OperatorState>,
    action: OperatorAction,
}

impl OperatorDesk {
    /// Returns a handler for `action`.
    pub(super) fn new(state: Arc<OperatorState>, action: OperatorAction) -> OperatorDesk {
        OperatorDesk { state, action }
    }

    async fn answer(&self, req: &mut Request) -> OperatorReply {
        let state = &*self.state;
        match (self.action, operator_of(req, &state.operators)) {
            (OperatorAction::ShowHealth, _) => {
                let view = ReadinessView { ready: true, reason: String::new() };
                OperatorReply::json(StatusCode::OK, &view)
            }
            (OperatorAction::ShowReadiness, _) => views::show_readiness(state),
            (_, None) => OperatorReply::error(
                StatusCode::UNAUTHORIZED,
                "needs the bearer token of an operator in this daemon's settings file",
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
        OperatorAction::ShowMetrics => OperatorReply::metrics(state.backend.metrics()),
        OperatorAction::ShowStatus => OperatorReply::json(StatusCode::OK, &state.backend.status()),
        OperatorAction::ShowTeam => views::show_team(state, req),
        OperatorAction::WithdrawKey => edits::withdraw_key(state, req, operator).await,
        OperatorAction::RefuseUnknown
        | OperatorAction::ShowHealth
        | OperatorAction::ShowReadiness => {
            OperatorReply::error(StatusCode::NOT_FOUND, "no such path or method")
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
impl Handler for OperatorDesk {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        self.answer(req).await.write(res);
        ctrl.skip_rest();
    }
}
