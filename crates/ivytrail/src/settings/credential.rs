//! Digests of secrets: keys of client accounts and tokens of operators.
//!
//! Secrets are never stored, only their SHA-256 digests, written as 64 hexadecimal digits. Since secrets are long and
//! random, a slow password hash would add latency to every request without making them safer.

use serde_json::Value;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::id::ContentDigest;

/// Length of a hexadecimal digest, in characters.
const HEX_DIGEST_CHARS: usize = 64;

/// Description of valid digests for findings.
pub(crate) const DIGEST_ALLOWED: &str = "a SHA-256 digest as 64 hexadecimal digits";

/// Returns the SHA-256 digest of a secret. It equals the output of `sha256sum` for the secret without a newline.
pub fn secret_digest(secret: &str) -> ContentDigest {
    ContentDigest(Sha256::digest(secret.as_bytes()).into())
}

/// Returns whether two digests are equal, compared in constant time.
pub fn digests_match(left: &ContentDigest, right: &ContentDigest) -> bool {
    left.0.ct_eq(&right.0).into()
}

/// Returns a digest as 64 hexadecimal digits.
pub fn digest_to_hex(digest: &ContentDigest) -> String {
    digest.0.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses a digest from 64 hexadecimal digits.
pub fn digest_from_hex(text: &str) -> Option<ContentDigest> {
    let is_digest = text.len() == HEX_DIGEST_CHARS && text.bytes().all(|it| it.is_ascii_hexdigit());
    if !is_digest {
        return None;
    }
    let mut digest = [0; 32];
    for (idx, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * idx..2 * idx + 2], 16).ok()?;
    }
    Some(ContentDigest(digest))
}

/// Parses a digest from a JSON string.
pub(crate) fn parse_digest(value: &Value) -> Option<ContentDigest> {
    digest_from_hex(value.as_str()?)
}
