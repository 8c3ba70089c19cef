//! Response body of a backend server, by which a caller detects truncated, corrupt and misdirected responses.

use ivytrail::id::ContentDigest;
use serde::{Deserialize, Serialize};

/// Request header with the caller's request serial. Backend servers forward it to nested calls.
pub const SERIAL_HEADER: &str = "x-request-serial";

/// Response body with the serial of its request and a checksum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseBody {
    /// Serial of the request.
    pub serial: String,
    /// Service that produced the response.
    pub service: String,
    /// Padding of the configured size.
    pub payload: String,
    /// Length of the payload in bytes.
    pub length: usize,
    /// Checksum over serial, service and payload.
    pub checksum: u64,
}

/// Result of checking a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyCheck {
    /// Complete, and for this request.
    Complete,
    /// Complete, but for another request.
    Crossed,
    /// Truncated or corrupt.
    Corrupt,
}

impl ResponseBody {
    /// Returns the response body for the request with `serial`, with `payload_bytes` bytes of payload.
    pub fn new(serial: &str, service: &str, payload_bytes: usize) -> ResponseBody {
        let payload = "x".repeat(payload_bytes);
        let checksum = checksum(serial, service, &payload);
        ResponseBody {
            serial: serial.to_string(),
            service: service.to_string(),
            length: payload.len(),
            payload,
            checksum,
        }
    }

    /// Checks `body` as the response to the request with `serial`.
    pub fn check(body: &[u8], serial: &str) -> BodyCheck {
        let Ok(response) = serde_json::from_slice::<ResponseBody>(body) else {
            return BodyCheck::Corrupt;
        };
        let expected = checksum(&response.serial, &response.service, &response.payload);
        match response.checksum == expected && response.length == response.payload.len() {
            true if response.serial == serial => BodyCheck::Complete,
            true => BodyCheck::Crossed,
            false => BodyCheck::Corrupt,
        }
    }
}

fn checksum(serial: &str, service: &str, payload: &str) -> u64 {
    ContentDigest::of_parts(&[serial.as_bytes(), service.as_bytes(), payload.as_bytes()]).prefix()
}
