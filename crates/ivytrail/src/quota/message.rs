//! Messages between entries and quota owners, and the decisions of an entry.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{AccountName, CallId};

/// An entry's request for tokens from a share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Name of the client account.
    pub account: AccountName,
    /// Index of the share.
    pub share: u8,
    /// Serial number of the request at the entry; the grant repeats it.
    pub serial: u64,
    /// Tokens for waiting calls. The owner may also grant reservations that become usable later.
    pub waiting: u32,
    /// Tokens for calls that are almost certain to arrive soon.
    #[serde(rename = "ahead")]
    pub prefetch: u32,
    /// Tokens for calls that may arrive; granted only while the owner's bucket is nearly full.
    pub spare: u32,
}

/// An owner's response to a [`QuotaRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Name of the client account.
    pub account: AccountName,
    /// Index of the share.
    pub share: u8,
    /// Serial number of the request.
    pub serial: u64,
    /// Tokens that are usable immediately.
    pub ready: u32,
    /// Reserved tokens: the first is usable after `first_wait`, and each further one after another `spacing`.
    #[serde(rename = "later")]
    pub reserved: u32,
    /// Time from the grant until the first reserved token is usable.
    pub first_wait: Duration,
    /// Time between consecutive reserved tokens.
    pub spacing: Duration,
    /// TTL of a token, measured from the time at which the request was sent. For a reserved token, its waiting time is
    /// added.
    #[serde(rename = "hold")]
    pub token_ttl: Duration,
    /// Time after which the owner can reserve more tokens, if it granted fewer than requested for waiting calls.
    pub retry_after: Option<Duration>,
    /// Whether the sender owned the share; if not, the entry requests tokens from another share.
    pub is_owner: bool,
}

/// An entry's decision on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaVerdict {
    /// A token was spent on the call.
    Granted,
    /// The call waits for a token; a [`QuotaEffect::Admit`] or [`QuotaEffect::Refuse`] follows.
    Waiting,
    /// No token is available in time.
    Refused {
        /// Time after which a token may be available.
        retry_after: Duration,
    },
}

/// An action that a [`TokenCache`](super::TokenCache) requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaEffect {
    /// Admits a waiting call, on which a token was spent.
    Admit {
        /// Identifier of the call.
        call: CallId,
    },
    /// Refuses a waiting call.
    Refuse {
        /// Identifier of the call.
        call: CallId,
        /// Time after which a token may be available.
        retry_after: Duration,
    },
    /// Sends a token request to the owner of a share, see [`share_digest`](super::share_digest).
    SendRequest {
        /// Index of the share.
        share: u8,
        /// The token request.
        request: QuotaRequest,
    },
}
