//! Messages between entries and homes, and what an entry decides.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{AccountName, CallId};

/// An entry's request for tokens of one share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The account.
    pub account: AccountName,
    /// Number of the share.
    pub share: u8,
    /// Number of the ask at the entry; the grant repeats it.
    pub serial: u64,
    /// Tokens for requests that wait. They may be granted for a moment a little later.
    pub waiting: u32,
    /// Tokens for requests that are expected soon and almost surely come.
    #[serde(rename = "ahead")]
    pub prefetch: u32,
    /// Tokens for requests that may come; they are granted while the home has plenty.
    pub spare: u32,
}

/// A home's answer to a [`QuotaRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The account.
    pub account: AccountName,
    /// Number of the share.
    pub share: u8,
    /// Number of the ask.
    pub serial: u64,
    /// Tokens that can be used at once.
    pub ready: u32,
    /// Tokens that can be used later: the first after `first_wait`, each further one after another `spacing`.
    pub later: u32,
    /// Time from the grant to the first later token.
    pub first_wait: Duration,
    /// Time between two later tokens.
    pub spacing: Duration,
    /// Time after which a token is void, counted from the sending of the ask, plus its wait for a later token.
    #[serde(rename = "hold")]
    pub token_ttl: Duration,
    /// Time after which the home can promise more, when it gave less than was asked for waiting requests.
    pub retry_after: Option<Duration>,
    /// Whether the home owned the share; if not, the entry asks elsewhere.
    pub is_owner: bool,
}

/// What an entry does about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaVerdict {
    /// A token was spent on it.
    Granted,
    /// It waits for a token; a [`QuotaEffect::Admit`] or [`QuotaEffect::Refuse`] follows.
    Waiting,
    /// No token can be had soon.
    Refused {
        /// Time after which a token may be had.
        retry_after: Duration,
    },
}

/// What an entry's quota calls for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaEffect {
    /// A token was spent on this waiting call.
    Admit {
        /// The call.
        call: CallId,
    },
    /// This waiting call gets no token.
    Refuse {
        /// The call.
        call: CallId,
        /// Time after which a token may be had.
        retry_after: Duration,
    },
    /// Sends an ask to the owner of a share, see [`share_digest`](super::share_digest).
    SendRequest {
        /// Number of the share.
        share: u8,
        /// The request.
        request: QuotaRequest,
    },
}
