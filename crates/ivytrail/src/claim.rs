//! Claims: at most one run for each idempotency key.

/// Temporary until the claims module arrives.
pub fn key_made_ms(_key: &str, _wall: crate::time::WallClock) -> Option<u64> {
    None
}
