//! JSON API of the operator address.
//!
//! | request | body | response |
//! |---|---|---|
//! | `GET /health`, `GET /ready` | | [`ReadinessView`]; these two require no token |
//! | `GET /metrics` | | Prometheus text format |
//! | `GET /settings` | | [`SettingsStatus`] |
//! | `GET /settings/teams` | | [`TeamList`] |
//! | `GET /settings/teams/{team}` | | [`SubtreeView`] |
//! | `PUT /settings/teams/{team}` | a subtree | [`EditReply`] |
//! | `GET /settings/keys` | | [`KeyList`] |
//! | `POST /settings/keys` | [`KeyRequest`] | [`EditReply`] |
//! | `DELETE /settings/keys/{name}` | | [`EditReply`] |
//! | `GET /settings/audit?after=N` | | [`AuditPage`] |
//! | `GET /upstreams` | | [`UpstreamList`] |
//! | `POST /upstreams/{instance}/drain` | | [`DrainReply`] |
//!
//! Edits accept the query parameters `base` (the revision that the operator read), `change_id`, `resent` and `dry_run`.
//! Errors are returned as [`ErrorReply`].

use serde::{Deserialize, Serialize};

use crate::{
    id::{AccountName, DomainName, InstanceName, KeyName, ServiceName, TeamName},
    message::LoadReport,
    time::WallClock,
};

use super::{
    store::EditOutcome,
    tree::{Revision, SettingsChange, TeamSubtree},
};

/// Response to an edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EditReply {
    /// Outcome of the edit.
    #[serde(flatten)]
    pub outcome: EditOutcome,
    /// Whether all daemons that still serve callers will use the new settings once the current attestations expire,
    /// which takes a few seconds. A change that is stored but not confirmed comes into force at each daemon that
    /// receives it.
    pub confirmed: bool,
}

/// A team's subtree in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubtreeView {
    /// Name of the team.
    pub team: TeamName,
    /// Revision of the tree that was read, to be used as the base of a subsequent edit.
    pub revision: Revision,
    /// Subtree of the team; absent when it has none.
    pub subtree: Option<TeamSubtree>,
}

/// List of all teams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamList {
    /// Revision of the tree that was read.
    pub revision: Revision,
    /// Names of the teams, sorted.
    pub teams: Vec<TeamName>,
}

/// Request to issue a key. Only the digest of the secret is sent; the secret remains with the operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRequest {
    /// Public identifier of the new key.
    pub name: KeyName,
    /// Client account that the key authenticates.
    pub account: AccountName,
    /// SHA-256 digest of the secret, as 64 hexadecimal digits.
    pub digest: String,
}

/// A key in force, without its digest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyView {
    /// Public identifier of the key.
    pub name: KeyName,
    /// Client account that the key authenticates.
    pub account: AccountName,
    /// Time at which the key was issued.
    pub issued_at: WallClock,
}

/// List of all keys in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyList {
    /// Revision of the tree that was read.
    pub revision: Revision,
    /// Keys, ordered by name.
    pub keys: Vec<KeyView>,
}

/// A page of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditPage {
    /// Revision of the last accepted change. More pages follow until it is reached.
    pub head: Revision,
    /// Changes, ordered by revision.
    pub changes: Vec<SettingsChange>,
}

/// Revisions in force at the daemons of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettingsStatus {
    /// Instance of the daemon that responds.
    pub instance: InstanceName,
    /// Revision in force at that daemon.
    pub revision: Revision,
    /// Whether that daemon may rely on its keys, because it has evidence from the last seconds that they are current.
    pub fresh: bool,
    /// Known revisions of the other daemons.
    pub daemons: Vec<DaemonRevision>,
}

/// Last reported revision of another daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonRevision {
    /// Instance of the daemon.
    pub instance: InstanceName,
    /// Last reported revision; absent before the first report.
    pub revision: Option<Revision>,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// State of a backend server and its daemon, as known to the daemon that responds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// Instance of the backend server.
    pub instance: InstanceName,
    /// Service of the backend server; absent until it announces one.
    pub service: Option<ServiceName>,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// State of the instance, e.g. `serving`, `draining`, `suspect`.
    pub state: String,
    /// Last reported load; absent before the first report.
    pub load: Option<LoadReport>,
}

/// List of all known backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamList {
    /// Backend servers, ordered by instance name.
    pub upstreams: Vec<UpstreamView>,
}

/// Response to a request to drain an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "drain")]
pub enum DrainReply {
    /// The request was sent to the daemon of the instance. The instance's state shows when draining is complete.
    Requested,
    /// The responding daemon knows no such instance.
    UnknownInstance,
}

/// Whether a daemon can serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadinessView {
    /// Whether the daemon can serve.
    pub ready: bool,
    /// Reason why it can't; empty when it can.
    pub reason: String,
}

/// Error response with a message for the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// Description of the error.
    pub error: String,
}
