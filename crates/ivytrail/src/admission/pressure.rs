//! The admission level above which the guard refuses at present.

use std::time::Duration;

use crate::time::TimePoint;

const WINDOW: Duration = Duration::from_millis(100);

/// The level cut, recomputed for each window from what was offered, started and refused.
#[derive(Debug)]
pub(super) struct LevelCut {
    cut: u16,
    window_start: TimePoint,
    offered: Vec<u16>,
    n_started: usize,
    n_refused: usize,
}

impl Default for LevelCut {
    fn default() -> LevelCut {
        LevelCut {
            cut: u16::MAX,
            window_start: TimePoint::ORIGIN,
            offered: Vec::new(),
            n_started: 0,
            n_refused: 0,
        }
    }
}

impl LevelCut {
    pub(super) fn get(&self) -> u16 {
        self.cut
    }

    pub(super) fn note_offered(&mut self, level: u16) {
        self.offered.push(level);
    }

    pub(super) fn note_started(&mut self) {
        self.n_started += 1;
    }

    pub(super) fn note_refused(&mut self) {
        self.n_refused += 1;
    }

    /// Returns the end of the window while the cut refuses anything.
    pub(super) fn next_roll(&self) -> Option<TimePoint> {
        (self.cut < u16::MAX).then(|| self.window_start.plus(WINDOW))
    }

    /// Recomputes the cut when the window has ended.
    pub(super) fn roll(&mut self, now: TimePoint, idle: bool) {
        if now.since(self.window_start) < WINDOW {
            return;
        }
        if 0 < self.n_refused && 0 < self.n_started {
            self.offered.sort_unstable();
            let idx = (self.n_started + self.n_started / 16).min(self.offered.len() - 1);
            self.cut = self.offered[idx];
        } else if self.n_refused == 0 && idle {
            self.cut = self.cut.saturating_add((self.cut / 4).max(4_096));
        }
        self.offered.clear();
        self.n_started = 0;
        self.n_refused = 0;
        self.window_start = now;
    }
}
