//! Rate limit of the bytes that a member sends for rumors and repairs.

use crate::time::TimePoint;

/// Capacity of the bucket, in seconds at the configured rate.
const BURST_S: u32 = 8;

const MICROS_PER_S: u64 = 1_000_000;

/// Token bucket that counts bytes.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    bytes_per_s: u32,
    bytes_left: u64,
    refilled_at: TimePoint,
}

impl ByteBudget {
    pub(crate) fn new(bytes_per_s: u32) -> ByteBudget {
        let bytes_left = u64::from(bytes_per_s) * u64::from(BURST_S);
        ByteBudget { bytes_per_s, bytes_left, refilled_at: TimePoint::ORIGIN }
    }

    pub(crate) fn refill(&mut self, now: TimePoint) {
        let micros = now.as_micros().saturating_sub(self.refilled_at.as_micros());
        let refill_bytes = u64::from(self.bytes_per_s).saturating_mul(micros) / MICROS_PER_S;
        if 0 < refill_bytes {
            let max_bytes = u64::from(self.bytes_per_s) * u64::from(BURST_S);
            self.bytes_left = self.bytes_left.saturating_add(refill_bytes).min(max_bytes);
            self.refilled_at = now;
        }
    }

    pub(crate) fn bytes_left(&self) -> usize {
        usize::try_from(self.bytes_left).unwrap_or(usize::MAX)
    }

    pub(crate) fn spend(&mut self, bytes: usize) {
        self.bytes_left = self.bytes_left.saturating_sub(bytes as u64);
    }
}
