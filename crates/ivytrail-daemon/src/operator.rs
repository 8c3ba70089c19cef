//! The operators' interface: settings, keys, audit trail, backend servers, health and metrics.
//!
//! Requests, answers and paths are listed in [`ivytrail::settings::operator_api`]. Every request but `GET /health` and
//! `GET /ready` needs an operator's bearer token.

mod credentials;
mod desk;
mod edits;
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

use self::desk::{OperatorAction, OperatorDesk};
use crate::platform_client::PlatformClient;

/// What the operators' interface asks of the daemon it belongs to.
///
/// All functions return at once: what takes time is started, and seen in a later answer.
pub trait OperatorBackend: fmt::Debug + Send + Sync + 'static {
    /// Returns the wall clock.
    fn now(&self) -> WallClock;

    /// Returns the settings in force at this daemon.
    fn settings(&self) -> SettingsInForce;

    /// Takes accepted changes that were read from the platform, in the order of their revisions. Some may be known.
    fn learn(&self, changes: Vec<SettingsChange>);

    /// Returns whether a majority of the control ring's members acknowledged `revision`.
    fn is_confirmed(&self, revision: Revision) -> bool;

    /// Returns which revision is in force where.
    fn status(&self) -> SettingsStatus;

    /// Returns the backend servers as this daemon sees them.
    fn upstreams(&self) -> UpstreamList;

    /// Starts to drain an instance: this daemon's own, or another one, whose daemon is told.
    fn drain(&self, instance: &InstanceName) -> DrainReply;

    /// Returns the metrics as text for Prometheus.
    fn metrics(&self) -> String;

    /// Returns whether this daemon can serve.
    fn readiness(&self) -> ReadinessView;
}

/// What the handlers share.
#[derive(Debug)]
pub struct OperatorState {
    /// The daemon.
    pub backend: Arc<dyn OperatorBackend>,
    /// The platform, in which changes are stored.
    pub platform: PlatformClient,
    /// Who may use the interface.
    pub operators: Vec<OperatorCredential>,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
}

/// Returns the routes of the operator address.
pub fn operator_router(state: OperatorState) -> Router {
    let state = Arc::new(state);
    let desk = |action| OperatorDesk::new(state.clone(), action);
    let teams = Router::with_path("teams").get(desk(OperatorAction::ListTeams)).push(
        Router::with_path("{team}")
            .get(desk(OperatorAction::ShowTeam))
            .put(desk(OperatorAction::ReplaceTeam)),
    );
    let keys = Router::with_path("keys")
        .get(desk(OperatorAction::ListKeys))
        .post(desk(OperatorAction::IssueKey))
        .push(Router::with_path("{key}").delete(desk(OperatorAction::WithdrawKey)));
    let audit = Router::with_path("audit").get(desk(OperatorAction::ShowAudit));
    let settings = Router::with_path("settings").get(desk(OperatorAction::ShowStatus));
    let upstreams = Router::with_path("upstreams")
        .get(desk(OperatorAction::ListUpstreams))
        .push(Router::with_path("{instance}/drain").post(desk(OperatorAction::DrainInstance)));
    Router::new()
        .push(Router::with_path("health").get(desk(OperatorAction::ShowHealth)))
        .push(Router::with_path("ready").get(desk(OperatorAction::ShowReadiness)))
        .push(Router::with_path("metrics").get(desk(OperatorAction::ShowMetrics)))
        .push(settings.push(teams).push(keys).push(audit))
        .push(upstreams)
        .push(Router::with_path("{**rest}").goal(desk(OperatorAction::RefuseUnknown)))
}
