//! Messages on the links between daemons.
//!
//! Each daemon dials every other one. It sends attempts, cancellations and requests on the link that it dialed, and gets
//! the replies on the same link. A frame is a header in MessagePack followed by an opaque body; see
//! [`crate::message::frame`].
//!
//! Daemons of different builds run in one fleet while instances are replaced. The header is encoded by position, and
//! builds that are in service can't read one with another field or another variant, so the fields below and the existing
//! variants never change. What is added goes into [`AdvertisementExtension`], whose readers ignore fields that they don't
//! know and use defaults for those that are missing. A new variant is sent only to peers whose
//! [`AdvertisementExtension::protocol_version`] includes it; [`super::frame_codec`] reports unknown variants instead of
//! failing.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    id::{AccountName, ContentDigest, DomainName, InstanceName, MemberId, RouteName, ServiceName},
    mesh::{
        admission::RouteDemand, cost::RouteCost, demand_exchange::DomainDemand,
        evacuation::EvacuationView, queue::RootPriority,
    },
    message::{CallOutcome, RefusalReason, is_final_status},
    quarantine::EvidenceRecord,
};

/// Version of the protocol on the links that this build speaks.
pub const PROTOCOL_VERSION: u32 = 2;
/// Version of the protocol of builds whose advertisements have no extension.
pub const UNVERSIONED_PROTOCOL: u32 = 1;

/// Header names and values, in the order received.
pub type HeaderList = Vec<(SmolStr, SmolStr)>;

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerPhase {
    /// It accepts requests.
    Ready,
    /// It completes the requests that it runs and accepts no new ones.
    Draining,
}

/// A daemon's local backend server, as it announced itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerAdvertisement {
    /// Identity of this run of the backend server.
    pub id: SmolStr,
    /// Start time in milliseconds since the Unix epoch, or zero if unknown.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
    /// Service that the backend server provides.
    pub service: ServiceName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the backend server accepts new requests.
    pub phase: ServerPhase,
    /// Time for which the backend server remains cold.
    pub warm_up: Duration,
}

/// Identity and state of a daemon, sent when a link opens and after each change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerAdvertisement {
    /// Instance and incarnation of the daemon.
    pub member: MemberId,
    /// Failure domain of the daemon's instance.
    pub domain: DomainName,
    /// Address at which the daemon accepts links.
    pub address: String,
    /// The daemon's local backend server, if one is known.
    pub server: Option<ServerAdvertisement>,
    /// Version of the daemon's active settings, or zero if it has none.
    pub settings_version: u64,
    /// Whether the daemon's guard accepts no attempts, because the daemon is about to exit or its failure domain is
    /// evacuated.
    pub is_leaving: bool,
    /// Load of the daemon's local backend server.
    pub load: ServerLoad,
    /// What the frame's body adds, or `None` if the daemon's build has no extension.
    #[serde(skip)]
    pub extension: Option<AdvertisementExtension>,
}

/// Fields of an advertisement that are not part of its header, encoded as a map.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct AdvertisementExtension {
    /// Version of the protocol that the daemon speaks.
    #[serde(rename = "protocol")]
    pub protocol_version: u32,
    /// Evacuated failure domains as far as the daemon knows, if it tells them.
    #[serde(rename = "evacuations", skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<EvacuationView>,
    /// Time for which the daemon's backend server remains cold, or `None` if it is warm. Meanwhile, the load's request
    /// limit is what the server tolerates while it is cold, and not a limit that the server has named.
    #[serde(rename = "cold_for", skip_serializing_if = "Option::is_none")]
    pub cold_for: Option<Duration>,
}

/// Load of a backend server as measured by its guard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Limit on concurrent requests.
    pub limit: u32,
    /// Mean time that a request holds a slot, in microseconds.
    pub mean_run_us: u32,
    /// Demand for slots, from 0 (no request waits) to 1000 (all requests are refused).
    pub pressure: u16,
    /// Rate of requests that the backend server accepts; `limit` takes it into account.
    pub request_limit: RequestLimit,
    /// Recent share of requests that the backend server rejected unexecuted, from 0 to 1000.
    pub rejected: u16,
}

/// Rate of requests that a backend server accepts from all instances together.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Serialize, Deserialize)]
pub enum RequestLimit {
    /// The server has not reported yet whether it has a limit.
    #[default]
    #[display("unknown")]
    Unknown,
    /// The server has no limit.
    #[display("none")]
    Unlimited,
    /// The server accepts this number of requests per second.
    #[display("{_0}/s")]
    PerSecond(f64),
}

/// What a backend server reports about itself in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerNotice {
    /// Rate of requests that it accepts until a later response says otherwise.
    pub request_limit: RequestLimit,
    /// Whether it is about to exit and accepts no new requests.
    pub is_leaving: bool,
    /// Time for which it remains cold, if it reports that.
    pub cold_for: Option<Duration>,
}

/// A request to a guard to run one attempt of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// Serial number that the entry daemon assigned to the attempt.
    pub serial: u64,
    /// Service that is to run the request.
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
    /// Service of the entry daemon's local backend server.
    pub caller_service: ServiceName,
    /// Whether the request may safely run more than once.
    pub is_idempotent: bool,
    /// Rank in the guard's queue; see [`super::queue::QueueRank`].
    pub rank: u8,
    /// Priority of the root request, which its nested calls inherit.
    pub priority: RootPriority,
    /// Time since the fleet received the root request, in microseconds.
    pub root_age_us: u64,
    /// Time left until the attempt's deadline, in microseconds.
    pub time_left_us: u64,
    /// Maximum wait for a slot, in microseconds.
    pub max_wait_us: u64,
    /// Digest of account, host, path and body, used to recognise requests that crash backend servers.
    pub fingerprint: ContentDigest,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptResult {
    /// The backend server sent a complete response; its body is the frame's body.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Response headers.
        headers: HeaderList,
        /// Time for which the attempt held a slot, in microseconds.
        run_us: u64,
        /// Whether a call made by this backend server failed while the attempt ran.
        is_call_failed: bool,
    },
    /// The attempt was refused or failed.
    Refused {
        /// Whether the attempt has run.
        outcome: CallOutcome,
        /// Reason for the refusal or failure.
        reason: RefusalReason,
        /// Delay after which a retry makes sense, if known.
        retry_after: Option<Duration>,
        /// Whether the request was sent to the backend server.
        is_sent: bool,
    },
}

impl AttemptResult {
    /// Returns the result for an attempt that has not run and will not run.
    pub fn not_run(reason: RefusalReason, retry_after: Option<Duration>) -> AttemptResult {
        let outcome = CallOutcome::NotRun;
        AttemptResult::Refused { outcome, reason, retry_after, is_sent: false }
    }

    /// Returns the result, or that of a broken response if its status is not that of a final response. Guards of earlier
    /// builds report any status.
    pub fn with_final_status(self) -> AttemptResult {
        match self {
            AttemptResult::Answered { status, .. } if !is_final_status(status) => {
                AttemptResult::Refused {
                    outcome: CallOutcome::Unknown,
                    reason: RefusalReason::BrokenAnswer,
                    retry_after: None,
                    is_sent: true,
                }
            }
            result => result,
        }
    }

    /// Returns the result for an attempt that may have run and whose reply is no longer stored.
    pub fn expired() -> AttemptResult {
        AttemptResult::Refused {
            outcome: CallOutcome::Unknown,
            reason: RefusalReason::ConnectionLost,
            retry_after: None,
            is_sent: true,
        }
    }
}

/// A message between two daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// First frame on a link, sent by the daemon that dialed.
    Hello {
        /// Instance that the sender expects to have reached.
        to: InstanceName,
        /// Advertisement of the sender.
        #[serde(rename = "card")]
        advertisement: Box<PeerAdvertisement>,
    },
    /// Response to a hello, and notification of each later change.
    #[serde(rename = "Card")]
    Advertisement(Box<PeerAdvertisement>),
    /// Requests the guard to run an attempt; the request body is the frame's body.
    Attempt(Box<AttemptRequest>),
    /// Cancels an attempt that the entry no longer waits for.
    Cancel {
        /// Serial number of the attempt.
        serial: u64,
    },
    /// Requests the result of an attempt on a new link. A guard that has not received the attempt must refuse it if it
    /// arrives later.
    Resume {
        /// Serial number of the attempt.
        serial: u64,
    },
    /// Result of an attempt; the response body is the frame's body.
    Reply {
        /// Serial number of the attempt.
        serial: u64,
        /// Result of the attempt.
        result: AttemptResult,
        /// Load of the guard's backend server.
        load: ServerLoad,
    },
    /// Liveness probe.
    Ping,
    /// Response to a ping.
    Pong,
    /// Requests tokens from the account's quota owner.
    #[serde(rename = "QuotaAsk")]
    QuotaRequest {
        /// Account that the tokens are for.
        account: AccountName,
        /// Number of tokens requested.
        wanted: u32,
    },
    /// Response to a quota request.
    #[serde(rename = "QuotaAnswer")]
    QuotaResponse {
        /// Account that the tokens are for.
        account: AccountName,
        /// Number of tokens requested.
        wanted: u32,
        /// Number of tokens granted.
        granted: u32,
    },
    /// Returns tokens of requests that have not run to the account's quota owner.
    QuotaReturn {
        /// Account that the tokens are for.
        account: AccountName,
        /// Number of tokens returned.
        n_tokens: u32,
    },
    /// Reports tokens that the sender spent without a grant of the receiver, the account's quota owner, while it did not
    /// respond.
    QuotaSpent {
        /// Account that the tokens were for.
        account: AccountName,
        /// Number of tokens spent.
        n_tokens: u32,
    },
    /// Requests the receiver's active settings.
    #[serde(rename = "SettingsAsk")]
    SettingsRequest,
    /// Response to a settings request; the frame's body is the document as stored in the platform's table.
    Settings {
        /// Version of the settings.
        version: u64,
    },
    /// Reports the demand that the sender receives to the collector of its failure domain.
    Demand {
        /// Client requests that the sender receives.
        demand: Vec<RouteDemand>,
    },
    /// Reports the demand on failure domains.
    DomainDemands {
        /// Demand on each domain; that on the receiver's domain leaves out the receiver.
        sums: Vec<DomainDemand>,
    },
    /// Reports the route costs that the sender has measured.
    Costs {
        /// Costs of the routes that the sender's backend server runs.
        costs: Vec<RouteCost>,
    },
    /// Reports a request that may crash backend servers.
    #[serde(rename = "Suspicion")]
    Evidence(EvidenceRecord),
    /// Informs a restarted daemon that its local backend server has reported its shutdown to an earlier incarnation.
    ServerLeft {
        /// Identity of the backend server.
        id: SmolStr,
        /// Start time of the run that shuts down, in milliseconds since the Unix epoch.
        #[serde(rename = "born_ms")]
        started_at_ms: u64,
    },
    /// Informs a restarted daemon of the limit that its local backend server has named to an earlier incarnation.
    ServerLimited {
        /// Identity of the backend server.
        id: SmolStr,
        /// Requests per second that it accepts.
        per_s: f64,
    },
    /// Reports a daemon that has stopped responding.
    Silent {
        /// Instance of that daemon.
        instance: InstanceName,
    },
}

impl PeerFrame {
    /// Returns whether the frame responds to a request of the receiver, and so arrives on the link that the receiver
    /// dialed.
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
