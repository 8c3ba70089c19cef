//! Points in time as the reducer sees them.
//!
//! The reducer never reads a clock. Each event carries a [`TimePoint`] of the daemon's monotonic clock; wall clock time
//! is carried separately as [`WallClock`] and is only used where instances have to agree on it.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A point on one daemon's monotonic clock, in microseconds since that clock's origin.
///
/// Two daemons' points are not comparable: what crosses the network is a [`Duration`] or an age.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0}us")]
pub struct TimePoint(u64);

impl TimePoint {
    /// The clock's origin.
    pub const ORIGIN: TimePoint = TimePoint(0);

    /// Returns the point that lies `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> TimePoint {
        TimePoint(micros)
    }

    /// Returns the point that lies `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> TimePoint {
        TimePoint(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns this point moved later by `span`, saturating at the clock's end.
    pub fn plus(self, span: Duration) -> TimePoint {
        TimePoint(self.0.saturating_add(micros_of(span)))
    }

    /// Returns this point moved earlier by `span`, saturating at the origin.
    pub fn minus(self, span: Duration) -> TimePoint {
        TimePoint(self.0.saturating_sub(micros_of(span)))
    }

    /// Returns the time from `earlier` to this point, or zero when `earlier` is later.
    pub fn since(self, earlier: TimePoint) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// A wall clock reading, in milliseconds since the Unix epoch.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0}ms")]
pub struct WallClock(u64);

impl WallClock {
    /// Returns the reading `millis` milliseconds after the Unix epoch.
    pub const fn from_millis(millis: u64) -> WallClock {
        WallClock(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns this reading moved later by `span`, saturating.
    pub fn plus(self, span: Duration) -> WallClock {
        WallClock(self.0.saturating_add(u64::try_from(span.as_millis()).unwrap_or(u64::MAX)))
    }
}

fn micros_of(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
