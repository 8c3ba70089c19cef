//! The time that an idempotency key carries.

use uuid::Uuid;

/// Returns when the idempotency key was made, in milliseconds since the Unix epoch, if it is a version 7 UUID.
///
/// Other keys carry no time that could be relied upon.
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
