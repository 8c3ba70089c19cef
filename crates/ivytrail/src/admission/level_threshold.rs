//! Admission level above which the guard currently refuses attempts.
//!
//! At the end of each window, the threshold is updated from the share of the offered attempts that were refused. If the
//! share is significant, the threshold is lowered so that it excludes about this share. If almost nothing was refused
//! and slots were idle, the threshold is raised by a share of the capacity that doubles with each such window, so that
//! it is removed within a second after the end of the overload.

use std::time::Duration;

use crate::time::TimePoint;

const WINDOW: Duration = Duration::from_millis(100);
/// Minimum number of refusals in a window for the threshold to be lowered.
const MIN_REFUSALS: u32 = 4;
/// Refused share of the offered attempts above which the threshold is lowered.
const DECREASE_REFUSED: f64 = 0.02;
/// Share of the offered attempts that a lowered threshold admits in excess of the capacity, so that no slot becomes
/// idle.
const RESIDUAL_REFUSED: f64 = 0.01;
/// Refused share of the offered attempts up to which the threshold may be raised.
const INCREASE_REFUSED: f64 = 0.005;
/// Minimum share of the finished runs after which no attempt was waiting, for the threshold to be raised.
const MIN_IDLE: f64 = 0.05;
/// Share of the capacity that the first of several consecutive increases admits additionally.
const FIRST_INCREASE: f64 = 0.02;
/// Share of the idle capacity that an increase admits additionally, whatever the number of increases before it.
const IDLE_INCREASE: f64 = 0.5;
/// Factor by which the capacity estimate decays in a window with fewer started attempts.
const CAPACITY_DECAY: f64 = 0.99;
/// First increase of the threshold in levels when the density above it is unknown; doubled by each further increase.
const UNKNOWN_DENSITY_INCREASE: u16 = 512;
const MAX_DOUBLINGS: u32 = 6;
/// Weight of the last window in the density of admitted levels.
const DENSITY_GAIN: f64 = 0.2;
/// Factor by which the density of refused levels decays in each window.
const DENSITY_DECAY: f64 = 0.98;
const N_BUCKETS: usize = 1_024;
const BUCKET_SHIFT: u32 = 6;

/// Level threshold of one guard.
#[derive(Debug)]
pub(super) struct LevelThreshold {
    threshold: u16,
    /// Number of consecutive windows in which the threshold was raised.
    n_increases: u32,
    /// Estimated attempts per window in each bucket of levels, retained for levels that are currently refused.
    density: Vec<f64>,
    /// Decaying maximum of the attempts started in a window.
    capacity: f64,
    window_start: TimePoint,
    offered_by_level: Vec<u32>,
    n_offered: u32,
    n_started: u32,
    n_refused: u32,
    n_finished: u32,
    n_left_idle: u32,
}

impl Default for LevelThreshold {
    fn default() -> LevelThreshold {
        LevelThreshold {
            threshold: u16::MAX,
            n_increases: 0,
            density: vec![0.0; N_BUCKETS],
            window_start: TimePoint::ORIGIN,
            offered_by_level: vec![0; N_BUCKETS],
            n_offered: 0,
            n_started: 0,
            n_refused: 0,
            capacity: 0.0,
            n_finished: 0,
            n_left_idle: 0,
        }
    }
}

impl LevelThreshold {
    /// Returns the greatest admitted level.
    pub(super) fn get(&self) -> u16 {
        self.threshold
    }

    /// Returns whether any level is refused.
    pub(super) fn is_active(&self) -> bool {
        self.threshold < u16::MAX
    }

    pub(super) fn record_offered(&mut self, level: u16) {
        self.offered_by_level[bucket_of(level)] += 1;
        self.n_offered += 1;
    }

    pub(super) fn record_started(&mut self) {
        self.n_started += 1;
    }

    pub(super) fn record_refused(&mut self) {
        self.n_refused += 1;
    }

    /// Records the end of a run. `left_idle` is `true` if no attempt was waiting for its slot.
    pub(super) fn record_finished(&mut self, left_idle: bool) {
        self.n_finished += 1;
        self.n_left_idle += u32::from(left_idle);
    }

    /// Returns the end of the current window if any level is refused.
    pub(super) fn next_update(&self) -> Option<TimePoint> {
        self.is_active().then(|| self.window_start.plus(WINDOW))
    }

    /// Updates the threshold if the window has ended. With `no_decrease`, the threshold is not lowered.
    pub(super) fn update(&mut self, now: TimePoint, no_decrease: bool) {
        let length = now.since(self.window_start);
        if length < WINDOW {
            return;
        }
        let n_windows = length.as_secs_f64() / WINDOW.as_secs_f64();
        let n_started = f64::from(self.n_started);
        self.capacity = (self.capacity * CAPACITY_DECAY).max(n_started / n_windows);
        let n_offered = f64::from(self.n_offered).max(1.0);
        let refused = f64::from(self.n_refused) / n_offered;
        let had_idle_slots = f64::from(self.n_finished) * MIN_IDLE <= f64::from(self.n_left_idle);
        self.update_density();
        if !no_decrease && DECREASE_REFUSED < refused && MIN_REFUSALS <= self.n_refused {
            // Refusals of attempts from earlier windows must not lower the threshold below the capacity of the slots.
            let admitted =
                (n_offered * (1.0 - refused)).max(n_started) + n_offered * RESIDUAL_REFUSED;
            self.threshold = self.threshold.min(self.level_at(admitted));
            self.n_increases = 0;
        } else if refused <= INCREASE_REFUSED && had_idle_slots {
            self.raise((self.capacity - n_started / n_windows).max(0.0));
        } else {
            self.n_increases = 0;
        }
        self.offered_by_level.fill(0);
        (self.n_offered, self.n_started, self.n_refused) = (0, 0, 0);
        (self.n_finished, self.n_left_idle) = (0, 0);
        self.window_start = now;
    }

    fn update_density(&mut self) {
        let threshold_bucket = bucket_of(self.threshold);
        for (bucket, density) in self.density.iter_mut().enumerate() {
            let n_offered = f64::from(self.offered_by_level[bucket]);
            *density = if bucket < threshold_bucket {
                *density + DENSITY_GAIN * (n_offered - *density)
            } else {
                (*density * DENSITY_DECAY).max(n_offered)
            };
        }
    }

    /// Raises the threshold to admit a share of the capacity that doubles with each consecutive increase, or a share of
    /// the `idle` capacity if that is more.
    fn raise(&mut self, idle: f64) {
        let factor = 2_u32.pow(self.n_increases.min(MAX_DOUBLINGS));
        self.n_increases += 1;
        let step = self.capacity * FIRST_INCREASE * f64::from(factor);
        let mut remaining = step.max(idle * IDLE_INCREASE).max(1.0);
        let threshold_bucket = bucket_of(self.threshold);
        let fallback =
            self.threshold.saturating_add(UNKNOWN_DENSITY_INCREASE.saturating_mul(factor as u16));
        for bucket in threshold_bucket..N_BUCKETS {
            let base = (bucket << BUCKET_SHIFT) as u16;
            let width = 1_u16 << BUCKET_SHIFT;
            let start = base.max(self.threshold);
            let fraction = f64::from(width - (start - base)) / f64::from(width);
            let n_attempts = self.density[bucket] * fraction;
            if remaining < n_attempts {
                self.threshold =
                    start + (f64::from(width) * fraction * remaining / n_attempts) as u16;
                return;
            }
            remaining -= n_attempts;
        }
        // The density of the levels above is unknown.
        self.threshold = fallback;
    }

    /// Returns the level up to which `n` attempts were offered in the current window.
    fn level_at(&self, n: f64) -> u16 {
        let mut n_below = 0.0;
        for (bucket, n_offered) in self.offered_by_level.iter().enumerate() {
            let n_in_bucket = f64::from(*n_offered);
            if n < n_below + n_in_bucket {
                let fraction = (n - n_below) / n_in_bucket;
                let level = (bucket as f64 + fraction) * f64::from(1 << BUCKET_SHIFT);
                return level as u16;
            }
            n_below += n_in_bucket;
        }
        u16::MAX
    }
}

fn bucket_of(level: u16) -> usize {
    usize::from(level >> BUCKET_SHIFT)
}
