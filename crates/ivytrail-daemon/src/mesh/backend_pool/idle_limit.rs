//! Maximum idle time of connections to the local backend server that may be reused.

use std::time::Duration;

/// Maximum idle time of a connection that is reused. A connection may go silent without being closed, and a request on it
/// gets no response; the shorter a connection has been idle, the less likely that is.
pub(super) const MAX_IDLE_TIME: Duration = Duration::from_secs(1);
/// Maximum idle time of a connection that is reused for a non-idempotent request. The server may be about to close a
/// connection that has been idle for longer, and a non-idempotent request lost with it can't be sent again.
pub(super) const NON_IDEMPOTENT_IDLE_LIMIT: Duration = Duration::from_millis(250);
/// New idle limit after a failure, as a fraction of the failed connection's idle time.
const IDLE_LIMIT_DECREASE: f64 = 0.8;
/// Growth factor of the idle limit per second.
const IDLE_LIMIT_GROWTH: f64 = 1.1;

/// Maximum idle time after which a connection may be reused.
///
/// A server may close idle connections sooner than it advertises. The limit is lowered when a request fails on a
/// reused connection, and grows again over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct IdleLimit(pub(super) Duration);

impl IdleLimit {
    /// Lowers the limit after a request failed on a connection that had been idle for `idle_for`.
    pub(super) fn record_failure(&mut self, idle_for: Duration) {
        self.0 = self.0.min(idle_for.mul_f64(IDLE_LIMIT_DECREASE)).max(NON_IDEMPOTENT_IDLE_LIMIT);
    }

    /// Raises the limit by one second's growth.
    pub(super) fn grow(&mut self) {
        self.0 = self.0.mul_f64(IDLE_LIMIT_GROWTH).min(MAX_IDLE_TIME);
    }

    pub(super) fn allows(self, idle_for: Duration, is_idempotent: bool) -> bool {
        idle_for < if is_idempotent { self.0 } else { NON_IDEMPOTENT_IDLE_LIMIT }
    }
}

impl Default for IdleLimit {
    fn default() -> IdleLimit {
        IdleLimit(MAX_IDLE_TIME)
    }
}
