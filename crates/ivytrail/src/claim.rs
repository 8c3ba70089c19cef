//! Claims: at most one run for each idempotency key.
//!
//! Three parts, all in memory:
//!
//! - [`ClaimTable`], at the guard that owns a key, decides whether a request may run. Resends get the stored answer.
//! - [`AttemptLedger`], at every guard, remembers the attempts that arrived, so that an entry which lost its
//!   connection can learn what became of one, and "not run" is said only after no copy of it can run any more.
//! - [`ClaimQuestion`], [`ClaimAnswer`] and [`ClaimHandover`], by which a new owner learns what an earlier one knows.
//!
//! Who owns a key is decided by [`crate::lease`]; `docs/design/0006-at-most-once.md` has the argument.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    id::{AttemptId, ContentDigest, MemberId},
    lease::PriorOwner,
};

mod doubt;
mod handover;
mod key;
mod ledger;
mod table;
#[cfg(test)]
mod tests;

pub use key::made_ms_of;
pub use ledger::{AttemptFate, AttemptLedger, AttemptOutcome, LedgerOptions};
pub use table::ClaimTable;

/// Times and sizes of a [`ClaimTable`].
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimOptions {
    /// Time for which a settled claim is remembered. Keys that carry their time are refused when they are older.
    pub retention: Duration,
    /// Time after a takeover for which a key that does not carry its time may be a resend of an earlier owner's.
    pub resend_horizon: Duration,
    /// Bound on the difference between any daemon's wall clock and true time.
    pub clock_skew: Duration,
    /// Time by which a caller's clock may be ahead: keys from further in the future are refused.
    pub key_lead: Duration,
    /// Greatest number of claims remembered.
    pub max_claims: usize,
    /// Size in bytes up to which an answer is stored.
    pub max_answer_bytes: usize,
    /// Sum in bytes of all stored answers.
    pub max_stored_bytes: usize,
}

impl Default for ClaimOptions {
    fn default() -> ClaimOptions {
        ClaimOptions {
            retention: Duration::from_secs(3_600),
            resend_horizon: Duration::from_secs(600),
            clock_skew: Duration::from_secs(1),
            key_lead: Duration::from_secs(5),
            max_claims: 500_000,
            max_answer_bytes: 64 * 1024,
            max_stored_bytes: 64 * 1024 * 1024,
        }
    }
}

/// A whole answer kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers of the answer.
    pub headers: Vec<(String, String)>,
    /// Body of the answer.
    pub body: Bytes,
}

impl StoredAnswer {
    /// Returns the size in bytes that counts against the bounds.
    pub fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }
}

/// A non-idempotent request that wants to run.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimOffer {
    /// Digest of account and idempotency key.
    pub claim: ContentDigest,
    /// Digest of route, account and body.
    pub fingerprint: ContentDigest,
    /// When the key was made, in milliseconds since the Unix epoch, where the key tells it; see [`made_ms_of`].
    pub made_ms: Option<u64>,
    /// The attempt that brought it.
    pub attempt: AttemptId,
    /// Who may have owned the key before, from [`crate::lease::LeaseRing::prior_owners`].
    pub priors: Vec<PriorOwner>,
}

/// What the owner does with a [`ClaimOffer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// It may run, after one more check of the lease at its start. [`ClaimTable::settle`] must follow.
    Run,
    /// The same request is running, or its fate is being asked; the attempt gets that one's end.
    Join,
    /// It ran before: here is its answer.
    Replay(StoredAnswer),
    /// It ran before, and the answer was too big or too long ago to be stored.
    AnswerGone,
    /// It may or may not have run before.
    InDoubt,
    /// The key belongs to another request. This request has not run and will not.
    KeyReused,
    /// The key is older than what the table remembers: it may or may not have run before.
    TooOld,
    /// The key's time lies in the future. It has not run.
    TooNew,
    /// An earlier owner knows: send it a [`ClaimQuestion`]; the attempt waits for [`ClaimTable::learn`].
    Ask(MemberId),
    /// The table is full. This attempt has not run.
    Full,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// It ran, and this is its whole answer.
    Answered(StoredAnswer),
    /// It ran, and its whole answer went to the caller without being kept.
    AnsweredUnkept,
    /// It is proved not to have run and never to run.
    NotRun,
    /// Nobody knows.
    InDoubt,
}

/// Asks an earlier owner what became of a key.
///
/// The receiver never runs the key afterwards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimQuestion {
    /// The key.
    pub claim: ContentDigest,
    /// Digest of the request that is offered.
    pub fingerprint: ContentDigest,
    /// When the key was made, where it tells.
    pub made_ms: Option<u64>,
}

/// Answers a [`ClaimQuestion`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// The key.
    pub claim: ContentDigest,
    /// What became of it.
    pub fate: ClaimFate,
}

/// What an earlier owner knows of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimFate {
    /// It has not run here and never will.
    NotRun,
    /// It is running here.
    Running,
    /// It ran with this answer.
    Done(HandedClaim),
    /// It may or may not have run.
    InDoubt,
}

/// A settled claim on its way to another owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedClaim {
    /// The key.
    pub claim: ContentDigest,
    /// Digest of the request that used it.
    pub fingerprint: ContentDigest,
    /// When the key was made, where it tells.
    pub made_ms: Option<u64>,
    /// Whether it ran; `false` when that is in doubt.
    pub ran: bool,
    /// Its answer, where it is stored.
    pub answer: Option<StoredAnswer>,
    /// Time since it was settled.
    pub age: Duration,
}

/// Hands claims over to their next owners.
///
/// All batches to one receiver together are everything that the sender knows of the keys which go to that receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHandover {
    /// Everyone who receives claims: the first of them in a key's rendezvous order is its next owner.
    pub heirs: Vec<MemberId>,
    /// The receiver of this batch.
    pub heir: MemberId,
    /// Position of this batch, from 0.
    pub batch: u32,
    /// Number of batches to this receiver.
    pub n_batches: u32,
    /// The claims.
    pub claims: Vec<HandedClaim>,
}
