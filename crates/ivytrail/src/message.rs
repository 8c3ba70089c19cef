//! Messages between daemons, and what a caller is told.
//!
//! An attempt travels as one HTTP request between daemons: a length, an [`AttemptHeader`] in MessagePack, the body as
//! it came. Its answer is a length, an [`AttemptReply`] in MessagePack, the body as the backend server gave it.

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
    quarantine::Suspicion,
    quota::{QuotaGrant, QuotaRequest},
    settings::{PriorityClass, Revision, feed::FeedMessage},
};

/// Returns whether an HTTP header, in lower case, concerns one connection only and is not passed on (RFC 9110, section
/// 7.6.1, with the headers that carry a length or a host of their own on each hop).
pub fn is_connection_header(name: &str) -> bool {
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

/// What became of a request, as told to its caller. It is never more certain than the proof behind it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// A backend server ran it and the answer is whole.
    Ran,
    /// It has not run, and no copy of it can still run.
    NotRun,
    /// It may or may not have run.
    Unknown,
}

/// Why a call was not answered by a backend server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// No route takes the request.
    NoRoute,
    /// The key is absent, unknown or withdrawn.
    BadKey,
    /// The nested call's token is unknown or has expired.
    BadToken,
    /// The client account has spent its rate and burst.
    OverQuota,
    /// The service has no capacity for this request now.
    Overloaded,
    /// The deadline has passed or can't be met.
    DeadlineExceeded,
    /// No backend server of the service is known.
    NoUpstream,
    /// The request crashed backend servers before and is quarantined.
    Quarantined,
    /// The daemon can't know whether its settings are still in force.
    StaleSettings,
    /// The daemon or its backend server is leaving.
    Draining,
    /// The connection to the guard or to the backend server broke.
    ConnectionLost,
    /// The backend server's answer was not whole.
    BrokenAnswer,
    /// The guard does not own the request's idempotency key.
    NotOwner,
    /// The request's idempotency key was used before, and what became of that use is not known.
    ClaimInDoubt,
    /// The request ran before, and its answer is no longer stored.
    AnswerGone,
    /// The request ran, and its answer is larger than a daemon holds.
    AnswerTooLarge,
    /// The idempotency key was used with another request.
    KeyReused,
    /// The caller went away.
    CallerGone,
    /// The request can't be understood or is too large.
    BadRequest,
}

/// What a guard needs to know of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptHeader {
    /// The attempt.
    pub attempt: AttemptId,
    /// The root request from which it descends.
    pub root: RootId,
    /// Service that shall run it.
    pub service: ServiceName,
    /// Route of this call.
    pub route: RouteName,
    /// Client account, or `None` on a route open to all.
    pub account: Option<AccountName>,
    /// Priority of the root request.
    pub priority: PriorityClass,
    /// Admission level of the root: the smaller, the earlier it was admitted under pressure. It is the same for all
    /// calls of one root, so that a root is shed everywhere or nowhere.
    pub level: u16,
    /// Time left until the deadline when the attempt was sent.
    pub time_left: Duration,
    /// Retries that this call and its descendants may spend.
    pub retry_tokens: u32,
    /// Number of calls between the root request and this call; the root call has depth 0.
    pub depth: u8,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Digest of account and idempotency key, where the caller gave one.
    pub claim: Option<ContentDigest>,
    /// Time at which the idempotency key was made, in milliseconds since the Unix epoch, where the key tells it.
    pub claim_made_ms: Option<u64>,
    /// Set when the entry has refused the request already: the owner of the claim then only replays or joins an
    /// earlier run, and otherwise confirms the refusal, so that "not run" is proved.
    pub refuse_as: Option<RefusalReason>,
    /// Digest of route, account and body, for quarantine and for key reuse.
    pub fingerprint: ContentDigest,
    /// Settings revision in force at the entry.
    pub revision: Revision,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers for the backend server. Credentials are already removed.
    pub headers: Vec<(String, String)>,
}

/// A guard's answer to an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptReply {
    /// The attempt that this answers.
    pub attempt: AttemptId,
    /// What became of it.
    pub result: AttemptResult,
    /// Retries that were not spent and come back to the sender.
    pub retry_tokens: u32,
    /// The guard's load, piggybacked.
    pub load: LoadReport,
}

/// What became of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptResult {
    /// The backend server answered whole; the body follows the reply.
    Answered {
        /// HTTP status.
        status: u16,
        /// Headers of the answer.
        headers: Vec<(String, String)>,
    },
    /// It was refused or failed.
    Refused {
        /// Whether it has run.
        outcome: CallOutcome,
        /// Why.
        reason: RefusalReason,
        /// When to come back, where that is known.
        retry_after: Option<Duration>,
        /// Whether the failure lies at the guard's own backend server, so that the sender may retry at another. A
        /// refusal from further down the chain is final.
        local: bool,
    },
}

/// A guard's load, as others see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running.
    pub in_flight: u32,
    /// Requests that may run at once.
    pub limit: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Requests with an admission level above this are refused at present.
    pub level_cut: u16,
    /// The smallest level cut met lately by this guard's nested calls.
    pub chain_cut: u16,
}

impl LoadReport {
    /// A level cut that refuses nothing.
    pub const OPEN_CUT: u16 = u16::MAX;
}

/// A control message between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ControlMessage {
    /// Membership.
    Gossip(GossipMessage),
    /// Leases of a ring.
    Lease(LeaseMessage),
    /// Spreads settings.
    Feed(FeedMessage),
    /// Proves how recent settings are.
    Authority(AuthorityMessage),
    /// Tells of a newer definition of the control ring.
    Ring(RingDefinition),
    /// Asks for quota tokens.
    QuotaAsk(QuotaRequest),
    /// Hands over quota tokens.
    QuotaGrant(QuotaGrant),
    /// Asks an earlier owner about a claim.
    ClaimQuestion(ClaimQuestion),
    /// Answers a question about a claim.
    ClaimAnswer(ClaimAnswer),
    /// Hands claims over to their next owner.
    ClaimHandover(ClaimHandover),
    /// Orders the receiver to take no more work.
    Drain,
    /// Tells of a request that may crash backend servers.
    Suspicion(Suspicion),
}
