//! The admission level above which the guard refuses at present.
//!
//! Each window compares what was refused with what was offered. When a notable share was refused, the cut is lowered so
//! far that about this share is gone. When nothing was refused and slots ran dry, the cut rises by a share of the
//! capacity that doubles each time, so that it is gone within a second of the pressure.

use std::time::Duration;

use crate::time::TimePoint;

const WINDOW: Duration = Duration::from_millis(100);
/// Refusals in one window from which it lowers the cut.
const MIN_REFUSALS: u32 = 4;
/// Share of the offered attempts whose refusal lowers the cut.
const MAX_REFUSED: f64 = 0.04;
/// Share of the offered attempts that a lowered cut still leaves to be refused, so that no slot runs dry.
const TARGET_REFUSED: f64 = 0.02;
/// Share of the offered attempts up to which a window counts as calm.
const CALM_REFUSED: f64 = 0.005;
/// Share of the finished runs after which no attempt waited, from which the cut rises.
const MIN_DRY: f64 = 0.05;
/// Share of the capacity that the first step of a rise adds.
const FIRST_RISE: f64 = 0.02;
/// Share of the idle capacity that a rise adds at once.
const IDLE_RISE: f64 = 0.5;
/// Share of the known capacity that remains after each window with less.
const CAPACITY_DECAY: f64 = 0.99;
/// Step of a rise into levels of which nothing is known, doubled by each further step.
const BLIND_RISE: u16 = 512;
const MAX_DOUBLINGS: u32 = 6;
/// Weight of the last window in the known density of a level that was admitted.
const DENSITY_GAIN: f64 = 0.2;
/// Share of the known density that remains after each window in which the level was refused.
const DENSITY_DECAY: f64 = 0.98;
const N_BUCKETS: usize = 1_024;
const BUCKET_SHIFT: u32 = 6;

/// The level cut of one guard.
#[derive(Debug)]
pub(super) struct LevelCut {
    cut: u16,
    /// Calm windows in a row.
    n_calm: u32,
    /// Attempts per window and bucket of levels, remembered for levels that are refused at present.
    density: Vec<f64>,
    /// Most attempts that were started in a window lately.
    capacity: f64,
    window_start: TimePoint,
    offered_by_level: Vec<u32>,
    n_offered: u32,
    n_started: u32,
    n_refused: u32,
    n_finished: u32,
    n_dry: u32,
}

impl Default for LevelCut {
    fn default() -> LevelCut {
        LevelCut {
            cut: u16::MAX,
            n_calm: 0,
            density: vec![0.0; N_BUCKETS],
            window_start: TimePoint::ORIGIN,
            offered_by_level: vec![0; N_BUCKETS],
            n_offered: 0,
            n_started: 0,
            n_refused: 0,
            capacity: 0.0,
            n_finished: 0,
            n_dry: 0,
        }
    }
}

impl LevelCut {
    /// Returns the greatest level that is admitted.
    pub(super) fn get(&self) -> u16 {
        self.cut
    }

    /// Returns whether any level is refused.
    pub(super) fn is_engaged(&self) -> bool {
        self.cut < u16::MAX
    }

    pub(super) fn note_offered(&mut self, level: u16) {
        self.offered_by_level[bucket_of(level)] += 1;
        self.n_offered += 1;
    }

    pub(super) fn note_started(&mut self) {
        self.n_started += 1;
    }

    pub(super) fn note_refused(&mut self) {
        self.n_refused += 1;
    }

    /// Records that a run ended. `dry` tells whether no attempt waited for its slot.
    pub(super) fn note_finished(&mut self, dry: bool) {
        self.n_finished += 1;
        self.n_dry += u32::from(dry);
    }

    /// Returns the end of the window while the cut is engaged.
    pub(super) fn next_roll(&self) -> Option<TimePoint> {
        self.is_engaged().then(|| self.window_start.plus(WINDOW))
    }

    /// Recomputes the cut when the window has ended.
    pub(super) fn roll(&mut self, now: TimePoint) {
        let length = now.since(self.window_start);
        if length < WINDOW {
            return;
        }
        let n_windows = length.as_secs_f64() / WINDOW.as_secs_f64();
        let n_started = f64::from(self.n_started);
        self.capacity = (self.capacity * CAPACITY_DECAY).max(n_started / n_windows);
        let n_offered = f64::from(self.n_offered).max(1.0);
        let refused = f64::from(self.n_refused) / n_offered;
        let dry = f64::from(self.n_finished) * MIN_DRY <= f64::from(self.n_dry);
        self.learn_density();
        if MAX_REFUSED < refused && MIN_REFUSALS <= self.n_refused {
            // Refusals of attempts that were offered earlier must not push the cut below what the slots can take.
            let kept = (n_offered * (1.0 - refused)).max(n_started) + n_offered * TARGET_REFUSED;
            self.cut = self.cut.min(self.level_at(kept));
            self.n_calm = 0;
        } else if refused <= CALM_REFUSED && dry {
            self.rise((self.capacity - n_started / n_windows).max(0.0));
        } else {
            self.n_calm = 0;
        }
        self.offered_by_level.fill(0);
        (self.n_offered, self.n_started, self.n_refused) = (0, 0, 0);
        (self.n_finished, self.n_dry) = (0, 0);
        self.window_start = now;
    }

    fn learn_density(&mut self) {
        let cut_bucket = bucket_of(self.cut);
        for (bucket, density) in self.density.iter_mut().enumerate() {
            let n_offered = f64::from(self.offered_by_level[bucket]);
            *density = if bucket < cut_bucket {
                *density + DENSITY_GAIN * (n_offered - *density)
            } else {
                (*density * DENSITY_DECAY).max(n_offered)
            };
        }
    }

    /// Raises the cut by a share of the capacity that doubles with each calm window, or by half of what is idle.
    fn rise(&mut self, idle: f64) {
        let factor = 2_u32.pow(self.n_calm.min(MAX_DOUBLINGS));
        self.n_calm += 1;
        let step = self.capacity * FIRST_RISE * f64::from(factor);
        let mut wanted = step.max(idle * IDLE_RISE).max(1.0);
        let cut_bucket = bucket_of(self.cut);
        let blind = self.cut.saturating_add(BLIND_RISE.saturating_mul(factor as u16));
        for bucket in cut_bucket..N_BUCKETS {
            let base = (bucket << BUCKET_SHIFT) as u16;
            let width = 1_u16 << BUCKET_SHIFT;
            let start = base.max(self.cut);
            let part = f64::from(width - (start - base)) / f64::from(width);
            let here = self.density[bucket] * part;
            if wanted < here {
                self.cut = start + (f64::from(width) * part * wanted / here) as u16;
                return;
            }
            wanted -= here;
        }
        // Nothing is known of what lies above.
        self.cut = blind;
    }

    /// Returns the level up to which `n` attempts of the window were offered.
    fn level_at(&self, n: f64) -> u16 {
        let mut n_below = 0.0;
        for (bucket, n_offered) in self.offered_by_level.iter().enumerate() {
            let n_here = f64::from(*n_offered);
            if n < n_below + n_here {
                let part = (n - n_below) / n_here;
                let level = (bucket as f64 + part) * f64::from(1 << BUCKET_SHIFT);
                return level as u16;
            }
            n_below += n_here;
        }
        u16::MAX
    }
}

fn bucket_of(level: u16) -> usize {
    usize::from(level >> BUCKET_SHIFT)
}
