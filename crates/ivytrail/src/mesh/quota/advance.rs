//! Tokens that an entry advances to an account while its quota owner does not respond.
//!
//! The entry's share of the rate is the same at each daemon, while an account's requests may all arrive at a few entries.
//! An entry whose share is used up goes on at the rate at which the owner has granted tokens to it lately. The owner has
//! granted no more than the account's rate to all entries together, so that neither do they. It lasts until the entry
//! turns to the next owner.

use std::time::Duration;

use super::QUOTA_RESPONSE_TIMEOUT;
use crate::{mesh::links::LONGEST_SILENCE, time::TimePoint};

/// Time without a response of the owner for which tokens are advanced. By then, the entry has turned to the next owner.
const MAX_ADVANCE_TIME: Duration = LONGEST_SILENCE.saturating_add(QUOTA_RESPONSE_TIMEOUT);

/// Time without a response of the owner after which no token is advanced, also if fewer were than allowed.
const ADVANCE_TTL: Duration = MAX_ADVANCE_TIME.saturating_mul(2);

/// Limit of the tokens that are advanced while an account's quota owner does not respond.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdvanceLimit {
    /// Tokens per second, in addition to the entry's share of the rate.
    per_s: f64,
    /// Time since which the owner has not responded.
    silent_since: TimePoint,
    n_advanced: u32,
}

impl AdvanceLimit {
    pub(super) fn new(silent_since: TimePoint, per_s: f64) -> AdvanceLimit {
        AdvanceLimit { per_s, silent_since, n_advanced: 0 }
    }

    /// Advances a token, if the limit allows it. Returns whether it does.
    pub(super) fn take(&mut self, now: TimePoint) -> bool {
        let silence = now.since(self.silent_since);
        let n_allowed = silence.min(MAX_ADVANCE_TIME).as_secs_f64() * self.per_s;
        let is_allowed = silence < ADVANCE_TTL && f64::from(self.n_advanced + 1) <= n_allowed;
        self.n_advanced += u32::from(is_allowed);
        is_allowed
    }
}
