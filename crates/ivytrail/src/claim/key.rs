//! Creation times of idempotency keys.

use uuid::Uuid;

/// Returns the creation time of an idempotency key in milliseconds since the Unix epoch if the key is a version 7 UUID.
///
/// Other keys do not contain a reliable creation time.
pub fn made_ms_of(key: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(key.trim()).ok()?;
    match uuid.get_version_num() {
        7 => {
            let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
            Some(seconds * 1_000 + u64::from(nanos / 1_000_000))
        }
        _ => None,
    }
}
