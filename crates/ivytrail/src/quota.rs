//! Rate and burst of client accounts, counted across the fleet.

/// Temporary verdict until the quota module arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaVerdict {
    /// Granted.
    Granted,
    /// Waiting.
    Waiting,
    /// Refused.
    Refused {
        /// When to come back.
        retry_after: std::time::Duration,
    },
}
