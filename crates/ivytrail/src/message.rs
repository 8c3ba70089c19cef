//! Messages between daemons, and the call outcomes and refusal reasons that callers see.
//!
//! An attempt is one HTTP request between daemons. Its body is a length prefix, an [`AttemptHeader`] in MessagePack,
//! and the caller's request body unchanged. The response is a length prefix, an [`AttemptReply`] in MessagePack, and
//! the backend server's response body unchanged.

pub mod frame;

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    authority::AuthorityMessage,
    claim::{ClaimAnswer, ClaimHandover, ClaimQuestion},
    id::{AccountName, AttemptId, ContentDigest, RootId, RouteName, ServiceName},
    lease::{LeaseMessage, RingDefinition},
    membership::GossipMessage,
    quarantine::EvidenceRecord,
    quota::{QuotaGrant, QuotaRequest},
    settings::{PriorityClass, Revision, feed::FeedMessage},
};

/// Returns whether an HTTP status is that of a final response: interim responses (1xx) precede one, and statuses outside
/// 100 to 599 are invalid (RFC 9110, section 15).
pub fn is_final_status(status: u16) -> bool {
    (200..=599).contains(&status)
}

/// Returns whether the HTTP header `name`, in lower case, applies to a single connection and must not be forwarded.
///
/// These are the connection-specific headers of RFC 9110, section 7.6.1, and headers that each hop sets for itself,
/// such as the content length.
pub fn is_hop_by_hop_header(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "expect"
    )
}

/// Whether a request ran, as reported to its caller. `Ran` and `NotRun` are reported only when they are proved.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// A backend server ran the request, and the response is complete.
    Ran,
    /// The request has not run, and no copy of it can still run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Reason why a call has no response from a backend server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// No route matches the request.
    NoRoute,
    /// The API key is missing, unknown or revoked.
    BadKey,
    /// The nested call's token is unknown or has expired.
    BadToken,
    /// The client account has used up its rate and burst.
    OverQuota,
    /// The service has no capacity for this request now.
    Overloaded,
    /// The deadline has passed or cannot be met.
    DeadlineExceeded,
    /// No backend server of the service is known.
    NoUpstream,
    /// The request is quarantined because it crashed backend servers.
    Quarantined,
    /// The daemon cannot confirm that its settings are still current.
    StaleSettings,
    /// The daemon or its backend server is draining.
    Draining,
    /// The connection to the guard or to the backend server broke.
    ConnectionLost,
    /// The backend server's response was incomplete.
    BrokenAnswer,
    /// The guard does not own the request's idempotency key.
    NotOwner,
    /// The idempotency key was used before, and the outcome of that request is unknown.
    ClaimInDoubt,
    /// The request ran before, and its response is no longer stored.
    AnswerGone,
    /// The request ran, and its response exceeds the size that a daemon buffers.
    AnswerTooLarge,
    /// The idempotency key was used before with a different request.
    KeyReused,
    /// The caller disconnected.
    CallerGone,
    /// The request is malformed or too large.
    BadRequest,
}

/// Metadata of an attempt, sent from the entry to the guard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptHeader {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Root request of the call tree.
    pub root: RootId,
    /// Service that the attempt is addressed to.
    pub service: ServiceName,
    /// Route of the call.
    pub route: RouteName,
    /// Client account, or `None` on a public route.
    pub account: Option<AccountName>,
    /// Priority of the root request.
    pub priority: PriorityClass,
    /// Admission level of the root request; smaller levels are admitted first under overload. All calls of one root
    /// request share the level, so that either all of them are shed or none.
    pub level: u16,
    /// Time from the sending of the attempt to its deadline.
    pub time_left: Duration,
    /// Retries available to this call and its descendants.
    pub retry_tokens: u32,
    /// Number of calls between the root request and this call; the root call has depth 0.
    pub depth: u8,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Digest of the account and the idempotency key, if the caller sent a key.
    pub claim: Option<ContentDigest>,
    /// Creation time of the idempotency key in milliseconds since the Unix epoch, if the key contains it.
    pub claim_made_ms: Option<u64>,
    /// Reason for which the entry has already refused the request, if any. The claim's owner then only replays or joins
    /// an earlier run and otherwise confirms the refusal, which proves that the request has not run.
    #[serde(rename = "refuse_as")]
    pub entry_refusal: Option<RefusalReason>,
    /// Digest of route, account and body, used for quarantine and to detect reuse of an idempotency key.
    pub fingerprint: ContentDigest,
    /// Settings revision in force at the entry.
    pub revision: Revision,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers for the backend server, without credentials.
    pub headers: Vec<(String, String)>,
}

/// Reply of a guard to an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptReply {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Result of the attempt.
    pub result: AttemptResult,
    /// Unspent retry tokens that are returned to the sender.
    pub retry_tokens: u32,
    /// Current load of the guard.
    pub load: LoadReport,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptResult {
    /// The backend server sent a complete response; its body follows the reply.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Response headers.
        headers: Vec<(String, String)>,
    },
    /// The attempt was refused or failed.
    Refused {
        /// Whether the request has run.
        outcome: CallOutcome,
        /// Reason for the refusal or failure.
        reason: RefusalReason,
        /// Delay after which the caller may retry, if known.
        retry_after: Option<Duration>,
        /// Whether the failure occurred at the guard's local backend server, so that the sender may retry at another
        /// one. A refusal from further down the call chain is final.
        local: bool,
    },
}

/// Load of a guard, as reported to other daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of running requests.
    pub in_flight: u32,
    /// Maximum number of requests that run concurrently.
    pub limit: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Admission level above which requests are currently refused.
    #[serde(rename = "level_cut")]
    pub level_threshold: u16,
    /// Smallest level threshold in the replies to the nested calls of this attempt.
    #[serde(rename = "chain_cut")]
    pub chain_threshold: u16,
}

impl LoadReport {
    /// Level threshold at which no request is refused.
    pub const NO_THRESHOLD: u16 = u16::MAX;
}

/// A control message between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ControlMessage {
    /// Gossip about the membership.
    Gossip(GossipMessage),
    /// Message of a ring's lease protocol.
    Lease(LeaseMessage),
    /// Distributes settings.
    Feed(FeedMessage),
    /// Confirms that settings are current.
    Authority(AuthorityMessage),
    /// Announces a newer definition of the control ring.
    Ring(RingDefinition),
    /// Requests quota tokens.
    QuotaAsk(QuotaRequest),
    /// Grants quota tokens.
    QuotaGrant(QuotaGrant),
    /// Asks a previous owner for the state of a claim.
    ClaimQuestion(ClaimQuestion),
    /// Reply to a [`ClaimQuestion`].
    ClaimAnswer(ClaimAnswer),
    /// Transfers claims to their next owner.
    ClaimHandover(ClaimHandover),
    /// Instructs the receiver to accept no further work.
    Drain,
    /// Evidence about a request that may crash backend servers.
    Suspicion(EvidenceRecord),
}
