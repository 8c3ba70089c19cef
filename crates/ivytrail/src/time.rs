//! Time types of the reducer.
//!
//! The reducer never reads a clock. Each event carries a [`TimePoint`] of the daemon's monotonic clock. Wall clock time
//! is passed separately as [`WallClock`] and is used only where instances must agree on a time.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A point on one daemon's monotonic clock, in microseconds since that clock's origin.
///
/// Points of different daemons are not comparable, so messages carry a [`Duration`] or an age instead.
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

    /// Returns the point `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> TimePoint {
        TimePoint(micros)
    }

    /// Returns the point `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> TimePoint {
        TimePoint(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns this point plus `span`, saturating at the greatest representable point.
    pub fn plus(self, span: Duration) -> TimePoint {
        TimePoint(self.0.saturating_add(saturating_micros(span)))
    }

    /// Returns this point minus `span`, saturating at the origin.
    pub fn minus(self, span: Duration) -> TimePoint {
        TimePoint(self.0.saturating_sub(saturating_micros(span)))
    }

    /// Returns the time elapsed from `earlier` to this point, or zero when `earlier` is later.
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

    /// Returns this reading plus `span`, saturating at the greatest representable reading.
    pub fn plus(self, span: Duration) -> WallClock {
        WallClock(self.0.saturating_add(u64::try_from(span.as_millis()).unwrap_or(u64::MAX)))
    }
}

fn saturating_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
