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
    /// Returns the revision that follows this one.
    #[must_use]
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

/// Priority of a route's requests, the most urgent first.
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
    /// Bookings, launch releases, orders, dispatch releases: shed last.
    Critical,
    /// Work a person waits for.
    #[default]
    Normal,
    /// Work that can wait: tracking, quotes, catalogue and stock look-ups.
    Sheddable,
}

/// A client account (tenant) with its rate and burst, counted across the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests that may come at once.
    pub burst: f64,
    /// Share of capacity under overload, relative to other accounts; defaults to the rate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
}

/// A route: which requests it takes and how they are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePolicy {
    /// HTTP method in upper case.
    pub method: String,
    /// Path prefix, matched at segment boundaries; the longest match wins.
    pub path: String,
    /// Service whose backend servers run the request.
    pub service: ServiceName,
    /// Priority under overload.
    #[serde(default)]
    pub priority: PriorityClass,
    /// Whether running a request twice does no harm.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the route is open to callers without a key.
    #[serde(default)]
    pub open: bool,
    /// Time limit of a whole request, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Retries that one root request may spend across its whole call chain.
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
    /// Longest wait in a guard's queue, in milliseconds.
    #[serde(default = "default_queue_ms")]
    pub max_queue_ms: u64,
    // It comes last: MessagePack writes structs as arrays, in which only the last fields may be left out.
    /// Greatest number of requests that one backend server runs at once, whatever it announces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_concurrency: Option<u32>,
}

fn default_queue_ms() -> u64 {
    100
}

/// What one team declares.
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

/// A key as the system keeps it: never the secret itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRecord {
    /// Client account that the key speaks for.
    pub account: AccountName,
    /// SHA-256 of the secret.
    pub digest: ContentDigest,
    /// When it was issued.
    pub issued_at: WallClock,
}

/// An edit of the tree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TreeEdit {
    /// Replaces a team's subtree.
    ReplaceSubtree {
        /// The team.
        team: TeamName,
        /// Its new subtree.
        subtree: TeamSubtree,
    },
    /// Issues a key.
    IssueKey {
        /// Public identifier.
        name: KeyName,
        /// The record.
        record: KeyRecord,
    },
    /// Withdraws a key.
    WithdrawKey {
        /// Public identifier.
        name: KeyName,
    },
}

/// An accepted change: the audit trail's entry and the delta that daemons apply, in one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettingsChange {
    /// The revision that the change made.
    pub revision: Revision,
    /// Chosen by the operator's tool; tells after a lost answer whether the change took effect.
    pub change_id: String,
    /// Who made the change.
    pub operator: String,
    /// When it was accepted.
    pub accepted_at: WallClock,
    /// What it did.
    pub edit: TreeEdit,
    /// The replaced subtree or the withdrawn key, for the audit trail.
    pub before: serde_json::Value,
}

/// The whole tree at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SettingsTree {
    /// Revision of the last change applied.
    pub revision: Revision,
    /// Subtrees by team.
    pub teams: BTreeMap<TeamName, TeamSubtree>,
    /// Keys in force, by public identifier.
    pub keys: BTreeMap<KeyName, KeyRecord>,
}
