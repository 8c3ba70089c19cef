//! HTTP API for operators: settings, keys, audit trail, backend servers, health and metrics.
//!
//! [`ivytrail::settings::operator_api`] documents the paths, request bodies and responses. All requests except
//! `GET /health` and `GET /ready` must carry the bearer token of an operator.

mod credentials;
mod edits;
mod handler;
mod parameters;
mod reply;
mod views;

use std::{fmt, sync::Arc};

use ivytrail::{
    id::InstanceName,
    settings::{
        Revision, SettingsChange,
        file::OperatorCredential,
        index::SettingsInForce,
        operator_api::{DrainReply, ReadinessView, SettingsStatus, UpstreamList},
    },
    time::WallClock,
};
use salvo::Router;

use self::handler::{OperatorAction, OperatorHandler};
use crate::platform_client::PlatformClient;

/// Access of the operator API to its daemon.
///
/// No method blocks: operations that take time are only started, and their effect shows in the results of later calls.
pub trait OperatorBackend: fmt::Debug + Send + Sync + 'static {
    /// Returns the wall-clock time.
    fn now(&self) -> WallClock;

    /// Returns the current settings of this daemon.
    fn settings(&self) -> SettingsInForce;

    /// Applies accepted changes that were read from the platform, in order of revision. Some may already be
    /// applied.
    fn apply_changes(&self, changes: Vec<SettingsChange>);

    /// Returns whether a majority of the control ring's members has acknowledged `revision`.
    fn is_confirmed(&self, revision: Revision) -> bool;

    /// Returns the settings revisions of this daemon and of the other daemons.
    fn settings_status(&self) -> SettingsStatus;

    /// Returns the backend servers that this daemon knows, with their state and load.
    fn upstreams(&self) -> UpstreamList;

    /// Starts to drain the local instance, or requests it from the daemon of another instance.
    fn drain(&self, instance: &InstanceName) -> DrainReply;

    /// Returns the metrics in the Prometheus text format.
    fn render_metrics(&self) -> String;

    /// Returns whether this daemon can serve callers, and otherwise the reason.
    fn readiness(&self) -> ReadinessView;
}

/// State that all handlers of the operator API share.
#[derive(Debug)]
pub struct OperatorState {
    /// The daemon that the API belongs to.
    pub backend: Arc<dyn OperatorBackend>,
    /// Client of the platform, which stores the changes.
    pub platform: PlatformClient,
    /// Names and token digests of the operators.
    pub operators: Vec<OperatorCredential>,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
}

/// Returns the router of the operator API.
pub fn operator_router(state: OperatorState) -> Router {
    let state = Arc::new(state);
    let handler = |action| OperatorHandler::new(state.clone(), action);
    let teams = Router::with_path("teams").get(handler(OperatorAction::ListTeams)).push(
        Router::with_path("{team}")
            .get(handler(OperatorAction::ShowTeam))
            .put(handler(OperatorAction::ReplaceTeam)),
    );
    let keys = Router::with_path("keys")
        .get(handler(OperatorAction::ListKeys))
        .post(handler(OperatorAction::IssueKey))
        .push(Router::with_path("{key}").delete(handler(OperatorAction::WithdrawKey)));
    let audit = Router::with_path("audit").get(handler(OperatorAction::ShowAudit));
    let settings = Router::with_path("settings").get(handler(OperatorAction::ShowStatus));
    let upstreams = Router::with_path("upstreams")
        .get(handler(OperatorAction::ListUpstreams))
        .push(Router::with_path("{instance}/drain").post(handler(OperatorAction::DrainInstance)));
    Router::new()
        .push(Router::with_path("health").get(handler(OperatorAction::ShowHealth)))
        .push(Router::with_path("ready").get(handler(OperatorAction::ShowReadiness)))
        .push(Router::with_path("metrics").get(handler(OperatorAction::ShowMetrics)))
        .push(settings.push(teams).push(keys).push(audit))
        .push(upstreams)
        .push(Router::with_path("{**rest}").goal(handler(OperatorAction::RefuseUnknown)))
}
