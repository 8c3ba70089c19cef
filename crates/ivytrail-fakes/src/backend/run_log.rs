//! What a backend server ran, counted at the backend server itself.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// What a backend server did for the requests with one serial.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Wall clock of each run that took effect, in milliseconds since the Unix epoch.
    pub ran_at_ms: Vec<u64>,
    /// Requests that were begun, whether or not they took effect.
    pub started: u32,
    /// Slot time spent, in microseconds.
    pub slot_us: u64,
}

/// What a backend server did since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLog {
    /// Service of the backend server.
    pub service: String,
    /// Records by request serial.
    pub runs: BTreeMap<String, RunRecord>,
    /// Requests that carried a caller's credential.
    pub keys_seen: u64,
    /// Requests refused because too many were running.
    pub shed: u64,
    /// Requests whose connection closed before they were answered.
    pub cancelled: u64,
    /// Requests that ended without an effect because their deadline passed.
    pub expired: u64,
    /// Requests that ended without an effect because a nested call failed.
    pub nested_failures: u64,
    /// Greatest number of requests at once.
    pub peak_in_flight: u32,
}

impl RunLog {
    /// Returns the empty log of a backend server of `service`.
    pub fn new(service: &str) -> RunLog {
        RunLog { service: service.to_string(), ..RunLog::default() }
    }

    /// Records that a request was begun.
    pub fn record_start(&mut self, serial: &str) {
        self.record(serial).started += 1;
    }

    /// Records that a request took effect now.
    pub fn record_effect(&mut self, serial: &str) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // Milliseconds since 1970 fit into 64 bits for longer than this program lives.
        self.record(serial).ran_at_ms.push(now.as_millis() as u64);
    }

    /// Records that a request held a slot for `span`.
    pub fn record_slot(&mut self, serial: &str, span: Duration) {
        self.record(serial).slot_us += span.as_micros() as u64;
    }

    /// Returns how often the request with `serial` took effect.
    pub fn effects(&self, serial: &str) -> usize {
        self.runs.get(serial).map_or(0, |record| record.ran_at_ms.len())
    }

    /// Returns how many requests took effect, each run counted.
    pub fn total_effects(&self) -> usize {
        self.runs.values().map(|record| record.ran_at_ms.len()).sum()
    }

    fn record(&mut self, serial: &str) -> &mut RunRecord {
        self.runs.entry(serial.to_string()).or_default()
    }
}
