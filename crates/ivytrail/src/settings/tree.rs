//! The settings tree and its changes.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    id::{AccountName, ContentDigest, KeyName, RouteName, ServiceName, TeamName},
    time::WallClock,
};

/// Fleet-wide revision of the settings tree. Each accepted change increases it by one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the next revision.
    #[must_use]
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

/// Priority class of a route's requests, ordered from the most to the least important.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum PriorityClass {
    /// Bookings, launch releases, orders and dispatch releases, which are shed last.
    Critical,
    /// Requests on which a person waits.
    #[default]
    Normal,
    /// Requests that can be deferred: tracking, quotes, catalogue and stock look-ups.
    Sheddable,
}

/// A client account (tenant) with its fleet-wide rate limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Sustained rate, in requests per second.
    pub rate_per_s: f64,
    /// Maximum burst, in requests.
    pub burst: f64,
    /// Share of capacity under overload, relative to other accounts. Defaults to the rate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
}

/// A route: the requests that it matches and the policy for them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePolicy {
    /// HTTP method in upper case.
    pub method: String,
    /// Path prefix, matched at segment boundaries; the longest match wins.
    pub path: String,
    /// Service whose backend servers run the requests.
    pub service: ServiceName,
    /// Priority under overload.
    #[serde(default)]
    pub priority: PriorityClass,
    /// Whether a request may run twice without additional effect.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the route is open to callers without a key.
    #[serde(default)]
    pub open: bool,
    /// End-to-end time limit of a request, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Maximum number of retries for one root request across its whole call chain.
    #[serde(default = "default_retry_budget")]
    pub retry_budget: u32,
}

fn default_deadline_ms() -> u64 {
    2_000
}

fn default_retry_budget() -> u32 {
    3
}

/// Limits of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePolicy {
    /// Maximum wait in a guard's queue, in milliseconds.
    #[serde(default = "default_queue_ms")]
    pub max_queue_ms: u64,
    // This field must be last: MessagePack encodes structs as arrays, in which only trailing fields can be omitted.
    /// Maximum number of concurrent requests on one backend server, regardless of the slots that it announces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_concurrency: Option<u32>,
}

fn default_queue_ms() -> u64 {
    100
}

/// Declarations of one team.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSubtree {
    /// Client accounts by name. Names are unique across teams.
    #[serde(default)]
    pub accounts: BTreeMap<AccountName, ClientAccount>,
    /// Routes by name.
    #[serde(default)]
    pub routes: BTreeMap<RouteName, RoutePolicy>,
    /// Services by name. Names are unique across teams.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServicePolicy>,
}

/// The stored form of a key, which contains the digest of the secret but not the secret itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRecord {
    /// Client account that the key authenticates.
    pub account: AccountName,
    /// SHA-256 digest of the secret.
    pub digest: ContentDigest,
    /// Time at which the key was issued.
    pub issued_at: WallClock,
}

/// An edit of the settings tree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TreeEdit {
    /// Replaces a team's subtree.
    ReplaceSubtree {
        /// Team that owns the subtree.
        team: TeamName,
        /// New subtree.
        subtree: TeamSubtree,
    },
    /// Issues a key.
    IssueKey {
        /// Public identifier of the key.
        name: KeyName,
        /// Account and digest of the key.
        record: KeyRecord,
    },
    /// Withdraws a key.
    WithdrawKey {
        /// Public identifier of the key.
        name: KeyName,
    },
}

/// An accepted change, which is both an entry of the audit trail and the delta that daemons apply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettingsChange {
    /// Revision made by the change.
    pub revision: Revision,
    /// Identifier chosen by the operator's tool, by which it finds out after a lost answer whether the change took
    /// effect.
    pub change_id: String,
    /// Operator who made the change.
    pub operator: String,
    /// Time at which the change was accepted.
    pub accepted_at: WallClock,
    /// Edit made by the change.
    pub edit: TreeEdit,
    /// Replaced subtree or withdrawn key, for the audit trail; `null` when there is none.
    pub before: serde_json::Value,
}

/// The whole settings tree at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SettingsTree {
    /// Revision of the last applied change.
    pub revision: Revision,
    /// Subtrees by team.
    pub teams: BTreeMap<TeamName, TeamSubtree>,
    /// Keys in force, by public identifier.
    pub keys: BTreeMap<KeyName, KeyRecord>,
    /// Identifier of the change that made `revision`, or empty if unknown. It tells apart two histories that use the same
    /// revision, as after a restore of the platform's table from a copy.
    #[serde(default)]
    pub change_id: String,
}

impl SettingsTree {
    /// Returns whether `change` made the revision of this tree in another history.
    pub fn conflicts_with(&self, change: &SettingsChange) -> bool {
        self.is_other_history(change.revision, &change.change_id)
    }

    /// Returns whether a tree with this revision and change identifier has another history than this tree.
    pub(super) fn is_other_history(&self, revision: Revision, change_id: &str) -> bool {
        self.revision == revision
            && !change_id.is_empty()
            && !self.change_id.is_empty()
            && self.change_id != change_id
    }
}
