//! The body of a backend server's answer, from which a caller tells a whole answer from a cut or crossed one.

use ivytrail::id::ContentDigest;
use serde::{Deserialize, Serialize};

/// Header by which a caller names its request. Backend servers pass it on to nested calls.
pub const SERIAL_HEADER: &str = "x-request-serial";

/// An answer that proves to which request it belongs and that it is whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseBody {
    /// Serial of the request that it answers.
    pub serial: String,
    /// Service that answered.
    pub service: String,
    /// Filler up to the wanted size.
    pub payload: String,
    /// Length of the payload in bytes.
    pub length: usize,
    /// Checksum over all other fields.
    pub checksum: u64,
}

/// What a caller finds when it looks at an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyCheck {
    /// Whole, and for this request.
    Complete,
    /// Whole, but for another request.
    Crossed,
    /// Cut or garbled.
    Corrupt,
}

impl ResponseBody {
    /// Returns the answer to the request with `serial`, with `n_bytes` bytes of payload.
    pub fn new(serial: &str, service: &str, n_bytes: usize) -> ResponseBody {
        let payload = "x".repeat(n_bytes);
        let checksum = checksum(serial, service, &payload);
        ResponseBody {
            serial: serial.to_string(),
            service: service.to_string(),
            length: payload.len(),
            payload,
            checksum,
        }
    }

    /// Judges `body` as the answer to the request with `serial`.
    pub fn check(body: &[u8], serial: &str) -> BodyCheck {
        let Ok(answer) = serde_json::from_slice::<ResponseBody>(body) else {
            return BodyCheck::Corrupt;
        };
        let expected = checksum(&answer.serial, &answer.service, &answer.payload);
        match answer.checksum == expected && answer.length == answer.payload.len() {
            true if answer.serial == serial => BodyCheck::Complete,
            true => BodyCheck::Crossed,
            false => BodyCheck::Corrupt,
        }
    }
}

fn checksum(serial: &str, service: &str, payload: &str) -> u64 {
    ContentDigest::of_parts(&[serial.as_bytes(), service.as_bytes(), payload.as_bytes()]).prefix()
}
