//! Settlement of the tokens that were spent while a quota owner was out of contact.
//!
//! An owner that has noticed that it was out of contact has not earned the other daemons' shares of the rate for that
//! time. An owner that has not noticed it has earned the whole rate. In both cases the entries report what they have
//! spent. What the owner has not earned covers it as far as it goes; the rest is taken from the bucket. The report and
//! what makes the owner notice may arrive in either order.

use std::time::Duration;

use crate::time::TimePoint;

/// Time after which tokens that were reserved no longer cover a report, and the other way round.
const SETTLEMENT_TIME: Duration = Duration::from_secs(2);

/// Tokens that an owner's bucket has not earned, and tokens that entries have reported, as far as neither has covered the
/// other yet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AbsenceSettlement {
    reserved: f64,
    uncovered: f64,
    updated_at: TimePoint,
}

impl AbsenceSettlement {
    /// Reserves the other daemons' shares of the rate. Returns the number of tokens that the bucket does not earn for it,
    /// without those that were taken from it already.
    pub(super) fn reserve(&mut self, now: TimePoint, n_tokens: f64) -> f64 {
        if n_tokens <= 0.0 {
            return n_tokens;
        }
        self.expire(now);
        let covered = n_tokens.min(self.uncovered);
        self.uncovered -= covered;
        self.reserved += n_tokens - covered;
        n_tokens - covered
    }

    /// Records tokens that an entry has spent. Returns the number of tokens that were not reserved, up to
    /// `max_uncovered`.
    pub(super) fn spend(&mut self, now: TimePoint, n_tokens: f64, max_uncovered: f64) -> f64 {
        self.expire(now);
        let covered = n_tokens.min(self.reserved);
        let uncovered = (n_tokens - covered).min(max_uncovered);
        self.reserved -= covered;
        self.uncovered += uncovered;
        uncovered
    }

    fn expire(&mut self, now: TimePoint) {
        if SETTLEMENT_TIME <= now.since(self.updated_at) {
            self.reserved = 0.0;
            self.uncovered = 0.0;
        }
        self.updated_at = now;
    }
}

#[cfg(test)]
mod tests;
