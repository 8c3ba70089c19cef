//! Runs and effects, counted at the backend server itself.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// Runs of the requests with one serial.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Wall-clock time of each applied effect, in milliseconds since the Unix epoch.
    pub ran_at_ms: Vec<u64>,
    /// Requests that started to run, with or without an effect.
    pub started: u32,
    /// Total time for which slots were held, in microseconds.
    pub slot_us: u64,
}

/// Counters of a backend server since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLog {
    /// Name of the service.
    pub service: String,
    /// Run records by request serial.
    pub runs: BTreeMap<String, RunRecord>,
    /// Requests that carried a caller's credential, which daemons must strip.
    pub keys_seen: u64,
    /// Requests shed because of too many requests in flight.
    pub shed: u64,
    /// Requests whose connection closed before the response.
    pub cancelled: u64,
    /// Requests that ended without an effect because their deadline had passed.
    pub expired: u64,
    /// Requests that ended without an effect because a nested call failed.
    pub nested_failures: u64,
    /// Maximum number of requests in flight.
    pub peak_in_flight: u32,
}

impl RunLog {
    /// Returns an empty log for a backend server of `service`.
    pub fn new(service: &str) -> RunLog {
        RunLog { service: service.to_string(), ..RunLog::default() }
    }

    /// Counts a started request.
    pub fn record_start(&mut self, serial: &str) {
        self.record(serial).started += 1;
    }

    /// Records an effect at the current time.
    pub fn record_effect(&mut self, serial: &str) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // Milliseconds since 1970 fit into 64 bits for millions of years.
        self.record(serial).ran_at_ms.push(now.as_millis() as u64);
    }

    /// Adds `duration` to the slot time of a request.
    pub fn record_slot(&mut self, serial: &str, duration: Duration) {
        self.record(serial).slot_us += duration.as_micros() as u64;
    }

    /// Returns the number of effects of the request with `serial`.
    pub fn effects(&self, serial: &str) -> usize {
        self.runs.get(serial).map_or(0, |record| record.ran_at_ms.len())
    }

    /// Returns the number of effects of all requests.
    pub fn total_effects(&self) -> usize {
        self.runs.values().map(|record| record.ran_at_ms.len()).sum()
    }

    fn record(&mut self, serial: &str) -> &mut RunRecord {
        self.runs.entry(serial.to_string()).or_default()
    }
}
