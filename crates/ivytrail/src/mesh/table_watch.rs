//! Schedule of the requests that follow the operators' configuration in the platform's table.
//!
//! A request can be lost without any sign: the table stops responding while a long poll waits, or a connection goes
//! silent. [`WatchTiming`] bounds how long a daemon waits for each request, so that it follows the configuration again
//! within a given recovery time after the table responds again.

use std::{collections::BTreeSet, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::evacuation::EvacuationView;
use crate::id::DomainName;

/// Minimum mean interval between the requests of all daemons together. It bounds the load on the table: daemons of a
/// large fleet poll less often and get most changes from their peers.
const FLEET_REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum wait time of a long poll, and maximum time over which a fleet spreads its requests.
const MAX_POLL_WAIT: Duration = Duration::from_secs(20);
/// Fraction of the recovery time for which a long poll waits in a small fleet.
const POLL_WAIT_FRACTION: f64 = 1.0 / 2.0;
/// Fraction of the recovery time after which the response to a long poll is overdue, counted from the end of its wait.
const POLL_MARGIN_FRACTION: f64 = 1.0 / 6.0;
/// Fraction of the recovery time after which the response to a read is overdue.
const READ_TIMEOUT_FRACTION: f64 = 1.0 / 3.0;
/// Fraction of the recovery time before the first retry.
const MIN_BACKOFF_FRACTION: f64 = 1.0 / 30.0;
/// Fraction of the recovery time to which the delay between retries grows.
const MAX_BACKOFF_FRACTION: f64 = 1.0 / 6.0;

/// Serial number of the table's history. The table starts a new one when it comes back from an older copy; its versions
/// then go back, and versions of different histories are unrelated.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct HistoryId(pub u64);

/// Version of the table up to which its changes have been read. Cursors are ordered by history, then by version.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{history}:{version}")]
pub struct TableCursor {
    /// History to which the version belongs.
    pub history: HistoryId,
    /// Version after which to poll for changes.
    pub version: u64,
}

/// Timeouts and delays of requests to the table, derived from the time within which a daemon has to recover.
///
/// The longest time without a response, a long poll and the delay after it, is 0.7 of the recovery time. The rest is
/// left for the read that follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTiming {
    recovery: Duration,
}

impl WatchTiming {
    /// Creates the timing for daemons that follow the table again within `recovery` after it responds again.
    pub fn new(recovery: Duration) -> WatchTiming {
        WatchTiming { recovery }
    }

    /// Returns the wait time of a long poll in a fleet of `n_daemons`. `spread`, from 0 to 1, places it in the range
    /// over which the polls of a large fleet are spread.
    pub fn poll_wait(&self, n_daemons: usize, spread: f64) -> Duration {
        let min = self.recovery.mul_f64(POLL_WAIT_FRACTION).min(MAX_POLL_WAIT);
        let max = self.fleet_spread(n_daemons).max(min);
        min + (max - min).mul_f64(spread.clamp(0.0, 1.0))
    }

    /// Returns the time over which a fleet of `n_daemons` spreads requests that all of them send once.
    pub fn fleet_spread(&self, n_daemons: usize) -> Duration {
        let n_daemons = u32::try_from(n_daemons).unwrap_or(u32::MAX);
        FLEET_REQUEST_INTERVAL.saturating_mul(n_daemons).min(MAX_POLL_WAIT)
    }

    /// Returns the time after which the response to a long poll that waits for `wait` is overdue.
    pub fn poll_timeout(&self, wait: Duration) -> Duration {
        wait + self.recovery.mul_f64(POLL_MARGIN_FRACTION)
    }

    /// Returns the time after which the response to a read or a transaction is overdue.
    pub fn read_timeout(&self) -> Duration {
        self.recovery.mul_f64(READ_TIMEOUT_FRACTION)
    }

    /// Returns the longest delay before the retry of a request that has failed `n_failures` times in a row.
    pub fn backoff(&self, n_failures: u32) -> Duration {
        let min = self.recovery.mul_f64(MIN_BACKOFF_FRACTION);
        let factor = 1_u32.checked_shl(n_failures.saturating_sub(1)).unwrap_or(u32::MAX);
        min.saturating_mul(factor).min(self.recovery.mul_f64(MAX_BACKOFF_FRACTION))
    }
}

/// A request for the operators' configuration.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum WatchRequest {
    /// Reads the configuration.
    #[display("read")]
    Read,
    /// Waits for a change after the cursor.
    #[display("poll({after})")]
    Poll {
        /// Version up to which changes have been read.
        after: TableCursor,
    },
}

/// What a response to a [`WatchRequest`] says about the evacuated failure domains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationUpdate {
    /// All evacuated domains.
    Snapshot(BTreeSet<DomainName>),
    /// Domains whose evacuation has begun (`true`) or ended (`false`), in the order of the changes.
    Changes(Vec<(DomainName, bool)>),
}

/// Position of a daemon in the table's changes. After a failure, and when the table has started a new history, the daemon
/// reads the configuration instead of polling: a read is answered at once or is lost, and it needs no cursor.
#[derive(Debug, Default)]
pub struct TableWatch {
    cursor: Option<TableCursor>,
    /// Evacuated domains as of the cursor.
    evacuated: BTreeSet<DomainName>,
}

impl TableWatch {
    /// Returns the next request to send.
    pub fn next_request(&self) -> WatchRequest {
        self.cursor.map_or(WatchRequest::Read, |after| WatchRequest::Poll { after })
    }

    /// Records the cursor of a response to `request`. Returns whether the response to a poll shows that the table came
    /// back from an older copy: the poll's cursor then means nothing, and changes below it may have been missed.
    pub fn record_response(&mut self, request: WatchRequest, cursor: TableCursor) -> bool {
        let is_restored = match request {
            WatchRequest::Read => false,
            WatchRequest::Poll { after } => {
                after.history != cursor.history || cursor.version < after.version
            }
        };
        self.cursor = (!is_restored).then_some(cursor);
        is_restored
    }

    /// Applies what the response that was recorded last says about evacuations, and returns the resulting view, or `None`
    /// if that response showed that the table came back from an older copy.
    pub fn apply_evacuations(&mut self, update: EvacuationUpdate) -> Option<EvacuationView> {
        let as_of = self.cursor?;
        match update {
            EvacuationUpdate::Snapshot(domains) => self.evacuated = domains,
            EvacuationUpdate::Changes(changes) => {
                for (domain, is_evacuated) in changes {
                    match is_evacuated {
                        true => self.evacuated.insert(domain),
                        false => self.evacuated.remove(&domain),
                    };
                }
            }
        }
        Some(EvacuationView { as_of, domains: self.evacuated.clone() })
    }

    /// Records that the last request failed, or that the table no longer has the changes after the cursor.
    pub fn record_failure(&mut self) {
        self.cursor = None;
    }
}

#[cfg(test)]
mod tests;
