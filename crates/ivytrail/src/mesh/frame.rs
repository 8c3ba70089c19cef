//! Messages on the link between two daemons.
//!
//! A daemon dials each other daemon: attempts, cancellations and questions travel on the link that it dialed, and the
//! replies come back on the same link. A frame is a head in MessagePack followed by a body as it came; see
//! [`crate::message::frame`].

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    id::{AccountName, ContentDigest, DomainName, InstanceName, MemberId, RouteName, ServiceName},
    mesh::{cost::RouteCost, gate::RouteDemand},
    message::{CallOutcome, RefusalReason},
    quarantine::Suspicion,
};

/// Header names and values, in the order in which they came.
pub type HeaderList = Vec<(SmolStr, SmolStr)>;

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerPhase {
    /// It takes requests.
    Ready,
    /// It finishes what runs and takes nothing new.
    Draining,
}

/// The backend server beside a daemon, as it announced itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerAdvertisement {
    /// Identity of this run of the backend server.
    pub id: SmolStr,
    /// Wall clock of its start in milliseconds since the Unix epoch, or zero when unknown.
    pub started_at_ms: u64,
    /// Service that it runs.
    pub service: ServiceName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: ServerPhase,
    /// Time for which it is still slow after its start.
    pub warm_up: Duration,
}

/// What a daemon tells others about itself, at the start of a link and after each change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerAdvertisement {
    /// This run of the daemon.
    pub member: MemberId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Address on which it takes links.
    pub address: String,
    /// Its backend server, while one is known.
    pub server: Option<ServerAdvertisement>,
    /// Version of the settings in force, or zero.
    pub settings_version: u64,
    /// Whether the daemon is about to exit.
    pub is_leaving: bool,
    /// Load of its backend server.
    pub load: ServerLoad,
}

/// Load of a backend server, as its guard sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests that may run at once.
    pub limit: u32,
    /// Mean time that a request holds a slot, in microseconds.
    pub mean_run_us: u32,
    /// How hard new requests press on the slots, from 0 (none waits) to 1000 (all are refused).
    pub pressure: u16,
}

/// An attempt of a call, for a guard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// Serial number of the attempt at its entry daemon.
    pub serial: u64,
    /// Service that shall run it.
    pub service: ServiceName,
    /// Route of the call.
    pub route: RouteName,
    /// Identifier that the client gave the request.
    pub request_id: SmolStr,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub target: SmolStr,
    /// Headers for the backend server, without credentials.
    pub headers: HeaderList,
    /// Account of the caller's key, or `None` on a public route.
    pub account: Option<AccountName>,
    /// Service beside whose backend server the request began.
    pub caller_service: ServiceName,
    /// Whether running it twice does no harm.
    pub is_idempotent: bool,
    /// Place among other attempts; see [`super::queue::QueueRank`].
    pub rank: u8,
    /// Priority of the root request, also of its nested calls.
    pub priority: u8,
    /// Time since the root request came to the fleet, in microseconds.
    pub root_age_us: u64,
    /// Time left until the answer is of no use, in microseconds.
    pub time_left_us: u64,
    /// Longest wait for a slot, in microseconds.
    pub max_wait_us: u64,
    /// Digest of caller, path and body, by which a request is known that crashes backend servers.
    pub fingerprint: ContentDigest,
}

/// What became of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptResult {
    /// The backend server answered whole; the body follows the frame's head.
    Answered {
        /// HTTP status.
        status: u16,
        /// Headers of the answer.
        headers: HeaderList,
        /// Time that it held a slot, in microseconds.
        run_us: u64,
        /// Whether a call that this backend server made failed while the request ran.
        is_call_failed: bool,
    },
    /// It was refused or failed.
    Refused {
        /// Whether it has run.
        outcome: CallOutcome,
        /// Why.
        reason: RefusalReason,
        /// When to come back, where that is known.
        retry_after: Option<Duration>,
        /// Whether the request reached the backend server.
        is_sent: bool,
    },
}

/// A message between two daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// Opens a link.
    Hello {
        /// Whom the sender expects at the other end.
        to: InstanceName,
        /// The sender.
        advertisement: Box<PeerAdvertisement>,
    },
    /// Answers a hello, and tells of each later change.
    #[serde(rename = "Card")]
    Advertisement(Box<PeerAdvertisement>),
    /// Asks the guard to run an attempt; the request's body follows.
    Attempt(Box<AttemptRequest>),
    /// The entry has given the attempt up.
    Cancel {
        /// Serial number of the attempt.
        serial: u64,
    },
    /// Asks on a new link what became of an attempt. A guard that never had it refuses it for good.
    Resume {
        /// Serial number of the attempt.
        serial: u64,
    },
    /// Tells what became of an attempt; the answer's body follows.
    Reply {
        /// Serial number of the attempt.
        serial: u64,
        /// What became of it.
        result: AttemptResult,
        /// The guard's load.
        load: ServerLoad,
    },
    /// Asks whether the other end still hears.
    Ping,
    /// Answers a ping.
    Pong,
    /// Asks the account's home for tokens.
    #[serde(rename = "QuotaAsk")]
    QuotaRequest {
        /// The account.
        account: AccountName,
        /// Number of tokens.
        wanted: u32,
    },
    /// Answers a question for tokens.
    #[serde(rename = "QuotaAnswer")]
    QuotaResponse {
        /// The account.
        account: AccountName,
        /// Number of tokens that were asked for.
        wanted: u32,
        /// Number of tokens granted.
        granted: u32,
    },
    /// Asks for the settings in force at the other end.
    #[serde(rename = "SettingsAsk")]
    SettingsRequest,
    /// The settings document of `version` follows as it lies in the platform's table.
    Settings {
        /// Its version.
        version: u64,
    },
    /// Tells what the daemon is offered and what it has learned of costs.
    Demand {
        /// Requests that clients send to it.
        demand: Vec<RouteDemand>,
        /// Costs of the routes that its backend server runs.
        costs: Vec<RouteCost>,
    },
    /// Tells of a request that may crash backend servers.
    Suspicion(Suspicion),
    /// Tells a daemon that the server beside it has said that it leaves, to an earlier run of the daemon.
    ServerLeft {
        /// The server.
        id: SmolStr,
        /// Start of the run that leaves, in milliseconds since the Unix epoch.
        started_at_ms: u64,
    },
    /// Tells of a daemon that has stopped answering.
    Silent {
        /// Its instance.
        instance: InstanceName,
    },
}

impl PeerFrame {
    /// Returns whether the frame answers one of the receiver, and so came on the link that the receiver dialed.
    pub fn is_response(&self) -> bool {
        matches!(
            self,
            PeerFrame::Reply { .. }
                | PeerFrame::Pong
                | PeerFrame::QuotaResponse { .. }
                | PeerFrame::Settings { .. }
        )
    }
}
