//! Idempotency-key claims, which allow at most one run per key.
//!
//! All state is in memory:
//!
//! - [`ClaimTable`], at the guard that owns a key, decides whether a request may run. Resent requests receive the
//!   stored response.
//! - [`AttemptLedger`], at every guard, records the attempts that arrived. An entry that lost its connection can query
//!   the status of an attempt; "not run" is reported only once no copy of the attempt can run any more.
//! - [`ClaimQuestion`], [`ClaimAnswer`] and [`ClaimHandover`] transfer the state of claims from an earlier owner to the
//!   current one.
//!
//! [`crate::lease`] determines the owner of a key; `docs/design/0006-at-most-once.md` contains the correctness
//! argument.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    id::{AttemptId, ContentDigest, MemberId},
    lease::PriorOwner,
};

mod handover;
mod key;
mod ledger;
mod prior_run;
mod table;
#[cfg(test)]
mod tests;

pub use key::made_ms_of;
pub use ledger::{AttemptLedger, AttemptStatus, AttemptVerdict, LedgerOptions};
pub use table::ClaimTable;

/// Time and size limits of a [`ClaimTable`].
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimOptions {
    /// Retention of settled claims. Keys that contain their creation time are refused once they are older.
    pub retention: Duration,
    /// Time after an ownership change during which a key without a creation time may be a resend of a request that an
    /// earlier owner has run.
    pub resend_horizon: Duration,
    /// Maximum difference between a daemon's wall clock and true time.
    pub clock_skew: Duration,
    /// Maximum lead of a caller's clock. Keys created further in the future are refused.
    pub max_key_lead: Duration,
    /// Maximum number of claims in the table.
    pub max_claims: usize,
    /// Maximum size in bytes of a stored response; larger responses are not stored.
    pub max_response_bytes: usize,
    /// Maximum total size in bytes of all stored responses.
    pub max_stored_bytes: usize,
}

impl Default for ClaimOptions {
    fn default() -> ClaimOptions {
        ClaimOptions {
            retention: Duration::from_secs(3_600),
            resend_horizon: Duration::from_secs(600),
            clock_skew: Duration::from_secs(1),
            max_key_lead: Duration::from_secs(5),
            max_claims: 500_000,
            max_response_bytes: 64 * 1024,
            max_stored_bytes: 64 * 1024 * 1024,
        }
    }
}

/// A complete response that is stored for resent requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response headers as name and value.
    pub headers: Vec<(String, String)>,
    /// Response body.
    pub body: Bytes,
}

impl StoredResponse {
    /// Returns the size in bytes that counts toward the limits in [`ClaimOptions`].
    pub fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }
}

/// A non-idempotent request for which an attempt asks permission to run.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimOffer {
    /// Digest of account and idempotency key.
    pub claim: ContentDigest,
    /// Digest of route, account and body.
    pub fingerprint: ContentDigest,
    /// Creation time of the key in milliseconds since the Unix epoch, if the key contains it; see [`made_ms_of`].
    pub made_ms: Option<u64>,
    /// The attempt that carries the request.
    pub attempt: AttemptId,
    /// Members that may have owned the key earlier, from [`crate::lease::LeaseRing::prior_owners`].
    pub priors: Vec<PriorOwner>,
}

/// The owner's decision on a [`ClaimOffer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The request may run if the lease is still held when it starts. [`ClaimTable::settle`] must follow.
    Run,
    /// The same request is running, or an earlier owner is being asked about it; the attempt receives its result.
    Join,
    /// The request has run; this is its stored response.
    Replay(StoredResponse),
    /// The request has run, but its response was not stored or has been evicted.
    AnswerGone,
    /// The request may have run before.
    InDoubt,
    /// The key was used with a different request. This request has not run and will not run.
    KeyReused,
    /// The key is older than the table's retention; the request may have run before.
    TooOld,
    /// The key's creation time lies in the future. The request has not run.
    TooNew,
    /// An earlier owner may have run the request. It must be sent a [`ClaimQuestion`]; the attempt waits for
    /// [`ClaimTable::apply_answer`].
    Ask(MemberId),
    /// The table is full. This attempt has not run.
    Full,
}

/// The outcome of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The request ran; this is its complete response.
    Answered(StoredResponse),
    /// The request ran, and its complete response was forwarded to the caller without being stored.
    AnsweredNotStored,
    /// The request has provably not run and cannot run any more.
    NotRun,
    /// It is unknown whether the request ran.
    InDoubt,
}

/// Asks an earlier owner for the status of a key.
///
/// The receiver does not run a request with this key afterwards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimQuestion {
    /// Digest of account and idempotency key.
    pub claim: ContentDigest,
    /// Digest of the offered request.
    pub fingerprint: ContentDigest,
    /// Creation time of the key in milliseconds since the Unix epoch, if the key contains it.
    pub made_ms: Option<u64>,
}

/// Answers a [`ClaimQuestion`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// Digest of account and idempotency key.
    pub claim: ContentDigest,
    /// Status of the key at the earlier owner.
    #[serde(rename = "fate")]
    pub status: ClaimStatus,
}

/// Status of a key at an earlier owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimStatus {
    /// No request with the key has run at this owner, and none will.
    NotRun,
    /// A request with the key is running.
    Running,
    /// A request with the key has run.
    Done(TransferredClaim),
    /// A request with the key may have run.
    InDoubt,
}

/// A settled claim that is transferred to another owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferredClaim {
    /// Digest of account and idempotency key.
    pub claim: ContentDigest,
    /// Digest of the request that used it.
    pub fingerprint: ContentDigest,
    /// Creation time of the key in milliseconds since the Unix epoch, if the key contains it.
    pub made_ms: Option<u64>,
    /// Whether the request ran; `false` if this is in doubt.
    pub ran: bool,
    /// The response, if it is stored.
    #[serde(rename = "answer")]
    pub response: Option<StoredResponse>,
    /// Time since the claim was settled.
    pub age: Duration,
}

/// A batch of claims that a leaving owner sends to one of its successors.
///
/// All batches to a successor together contain everything that the sender knows about the keys of that successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHandover {
    /// All successors. The first of them in a key's rendezvous order becomes the owner of the key.
    #[serde(rename = "heirs")]
    pub successors: Vec<MemberId>,
    /// The receiver of this batch.
    #[serde(rename = "heir")]
    pub successor: MemberId,
    /// Zero-based index of this batch.
    pub batch: u32,
    /// Number of batches for this receiver.
    pub n_batches: u32,
    /// The claims in this batch.
    pub claims: Vec<TransferredClaim>,
}
