//! What the operator address takes and answers, as JSON.
//!
//! | request | body | answer |
//! |---|---|---|
//! | `GET /health`, `GET /ready` | | [`ReadinessView`]; the only ones that need no token |
//! | `GET /metrics` | | text for Prometheus |
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
//! Edits take the query parameters `base` (revision that was read before), `change_id`, `resent` and `dry_run`. Errors
//! come as [`ErrorReply`].

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

/// Answer to an edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EditReply {
    /// How it ended.
    #[serde(flatten)]
    pub outcome: EditOutcome,
    /// Whether no daemon can still serve by the settings before it, beyond the few seconds that an attestation lasts. A
    /// change that is stored but not confirmed comes into force as soon as daemons hear of it.
    pub confirmed: bool,
}

/// A team's subtree in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubtreeView {
    /// The team.
    pub team: TeamName,
    /// Revision of the tree that was looked at: the base of an edit that follows.
    pub revision: Revision,
    /// The subtree; absent when the team has none.
    pub subtree: Option<TeamSubtree>,
}

/// All teams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamList {
    /// Revision of the tree that was looked at.
    pub revision: Revision,
    /// The teams in the order of their names.
    pub teams: Vec<TeamName>,
}

/// Request to issue a key. The secret stays with the operator: only its digest is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRequest {
    /// Public identifier of the new key.
    pub name: KeyName,
    /// Client account that the key speaks for.
    pub account: AccountName,
    /// SHA-256 of the secret as 64 hexadecimal digits.
    pub digest: String,
}

/// A key in force, without its digest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyView {
    /// Public identifier.
    pub name: KeyName,
    /// Client account that the key speaks for.
    pub account: AccountName,
    /// When it was issued.
    pub issued_at: WallClock,
}

/// All keys in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyList {
    /// Revision of the tree that was looked at.
    pub revision: Revision,
    /// The keys in the order of their names.
    pub keys: Vec<KeyView>,
}

/// A page of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditPage {
    /// Revision of the last accepted change; there are more pages until it is reached.
    pub head: Revision,
    /// The changes in the order of their revisions.
    pub changes: Vec<SettingsChange>,
}

/// Which revision is in force where.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettingsStatus {
    /// The daemon that answers.
    pub instance: InstanceName,
    /// Revision in force at it.
    pub revision: Revision,
    /// Whether it may rely on its keys: it knows that none was withdrawn a few seconds ago.
    pub fresh: bool,
    /// Other daemons as far as known.
    pub daemons: Vec<DaemonRevision>,
}

/// Revision in force at another daemon, as last heard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonRevision {
    /// The daemon's instance.
    pub instance: InstanceName,
    /// The revision; absent when not heard yet.
    pub revision: Option<Revision>,
    /// Time since it was heard, in milliseconds.
    pub age_ms: u64,
}

/// A backend server with its daemon, as the answering daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// Its instance.
    pub instance: InstanceName,
    /// Its service; absent while it has not announced one.
    pub service: Option<ServiceName>,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its state, e.g. `serving`, `draining`, `suspect`.
    pub state: String,
    /// Its last reported load; absent when none was heard.
    pub load: Option<LoadReport>,
}

/// All known backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamList {
    /// The backend servers in the order of their instances' names.
    pub upstreams: Vec<UpstreamView>,
}

/// Answer to a request to drain an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "drain")]
pub enum DrainReply {
    /// The daemon was told; its state tells when it is done.
    Requested,
    /// No such instance is known here.
    UnknownInstance,
}

/// Whether a daemon can serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadinessView {
    /// Whether it can.
    pub ready: bool,
    /// Why not; empty when it can.
    pub reason: String,
}

/// An error for the person who must act.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// What is wrong.
    pub error: String,
}
