//! Adaptive limit on the number of requests that run at once.
//!
//! A rise of the latency has two causes that look alike: the server copes with fewer requests at once than it announced,
//! or the work itself has become slower, for instance because a service further down has. Only in the first case does
//! a lower limit help; in the second it would leave slots idle. The limit therefore tries: it halves itself for one
//! window and stays there only when the latency falls with it. The trial also renews the latency floor.

use std::time::Duration;

use crate::time::TimePoint;

use super::RunSample;

/// Latency over its floor from which a lower limit is tried.
const MAX_GRADIENT: f64 = 1.5;
const TRIAL_FACTOR: f64 = 0.5;
/// The latency has to fall below this share for a trial to count as a success.
const MAX_TRIAL_LATENCY: f64 = 0.75;
/// Whole answers have to grow by this factor for a trial to count as a success regardless of the latency.
const MIN_TRIAL_GAIN: f64 = 1.2;
const GROWTH_FACTOR: f64 = 1.5;
const SHED_FACTOR: f64 = 0.9;
const MIN_WINDOW: Duration = Duration::from_millis(20);
const SAMPLES_PER_SLOT: f64 = 4.0;
const MIN_SAMPLES: f64 = 16.0;
const MAX_SAMPLES: f64 = 100.0;
/// Share of the samples in a window that must have been taken with all of the limit in use.
const MIN_SATURATION: f64 = 0.9;
/// Pause after a failed trial; doubled by each further failure.
const MIN_PAUSE: Duration = Duration::from_secs(1);
const MAX_PAUSE: Duration = Duration::from_secs(16);
/// Time after which a trial is made even without a rise of the latency, to renew the floor.
const FLOOR_LIFE: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, PartialEq)]
enum LimitPhase {
    Steady,
    /// The limit was changed to try whether that is better than `before`.
    Trial {
        before: f64,
        latency_s: f64,
        whole_per_s: f64,
    },
}

/// What was sampled since the window began.
#[derive(Clone, Copy, Debug, Default)]
struct SampleWindow {
    start: TimePoint,
    n_samples: f64,
    n_whole: f64,
    n_saturated: f64,
    latency_sum_s: f64,
}

/// The number of requests that may run at once, between 1 and the slots of the backend server.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    adaptive: bool,
    slots: u32,
    limit: f64,
    phase: LimitPhase,
    window: SampleWindow,
    /// Least mean latency of a window, or infinite before the first.
    floor_s: f64,
    pause: Duration,
    next_trial: TimePoint,
    last_trial: TimePoint,
    next_decrease: TimePoint,
}

impl ConcurrencyLimit {
    pub(super) fn new(adaptive: bool) -> ConcurrencyLimit {
        ConcurrencyLimit {
            adaptive,
            slots: 0,
            limit: 0.0,
            phase: LimitPhase::Steady,
            window: SampleWindow::default(),
            floor_s: f64::INFINITY,
            pause: MIN_PAUSE,
            next_trial: TimePoint::ORIGIN,
            last_trial: TimePoint::ORIGIN,
            next_decrease: TimePoint::ORIGIN,
        }
    }

    /// Returns the limit: zero without slots, otherwise at least 1 and at most the slots.
    pub(super) fn get(&self) -> u32 {
        if self.slots == 0 {
            return 0;
        }
        (self.limit as u32).clamp(1, self.slots)
    }

    /// Sets the upper bound. A limit that was at the old bound follows it.
    pub(super) fn set_slots(&mut self, slots: u32) {
        let was_full = self.get() == self.slots;
        self.slots = slots;
        self.limit = if was_full { f64::from(slots) } else { self.limit.min(f64::from(slots)) };
        self.phase = LimitPhase::Steady;
    }

    /// Records the end of a run that began at `started`. `saturated` tells whether all of the limit was in use.
    pub(super) fn note(
        &mut self,
        now: TimePoint,
        started: TimePoint,
        sample: RunSample,
        saturated: bool,
    ) {
        if !self.adaptive || self.slots == 0 {
            return;
        }
        if sample == RunSample::Overloaded {
            return self.decrease(now, now.since(started));
        }
        // Runs that began before the limit was changed say nothing about the new one.
        if started < self.window.start || matches!(sample, RunSample::Failed { .. }) {
            return;
        }
        let latency = now.since(started).as_secs_f64();
        self.window.n_samples += 1.0;
        self.window.latency_sum_s += latency;
        self.window.n_whole += if matches!(sample, RunSample::Whole { .. }) { 1.0 } else { 0.0 };
        self.window.n_saturated += if saturated { 1.0 } else { 0.0 };
        let wanted = (self.limit * SAMPLES_PER_SLOT).clamp(MIN_SAMPLES, MAX_SAMPLES);
        if wanted <= self.window.n_samples && MIN_WINDOW <= now.since(self.window.start) {
            self.end_window(now);
        }
    }

    fn decrease(&mut self, now: TimePoint, latency: Duration) {
        if now < self.next_decrease {
            return;
        }
        self.limit = (self.limit * SHED_FACTOR).max(1.0);
        self.next_decrease = now.plus(latency.max(MIN_WINDOW));
        self.phase = LimitPhase::Steady;
        self.begin_window(now);
    }

    fn end_window(&mut self, now: TimePoint) {
        let window = self.window;
        self.begin_window(now);
        let latency = window.latency_sum_s / window.n_samples;
        let whole_per_s = window.n_whole / now.since(window.start).as_secs_f64();
        if 0.0 < window.n_whole {
            self.floor_s = self.floor_s.min(latency);
        }
        if let LimitPhase::Trial { before, latency_s, whole_per_s: whole_before } = self.phase {
            self.phase = LimitPhase::Steady;
            let better = latency < latency_s * MAX_TRIAL_LATENCY
                || whole_before * MIN_TRIAL_GAIN < whole_per_s
                || whole_before == 0.0;
            return self.judge_trial(now, before, latency_s, better);
        }
        if window.n_saturated < window.n_samples * MIN_SATURATION {
            return;
        }
        let slowed = self.floor_s * MAX_GRADIENT < latency || window.n_whole == 0.0;
        let overdue = self.last_trial.plus(FLOOR_LIFE) <= now;
        if self.next_trial <= now && (slowed || overdue) && 2.0 <= self.limit {
            self.phase = LimitPhase::Trial { before: self.limit, latency_s: latency, whole_per_s };
            self.limit = (self.limit * TRIAL_FACTOR).max(1.0);
            self.last_trial = now;
        } else if !slowed || self.next_trial <= now {
            self.limit = (self.limit * GROWTH_FACTOR).min(f64::from(self.slots));
        }
    }

    /// Keeps the lower limit when it was better. Otherwise goes back, takes the latency as the new floor, and pauses.
    fn judge_trial(&mut self, now: TimePoint, before: f64, latency_before_s: f64, better: bool) {
        if better {
            self.pause = MIN_PAUSE;
            return;
        }
        self.limit = before.min(f64::from(self.slots));
        self.floor_s = latency_before_s;
        self.next_trial = now.plus(self.pause);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }

    fn begin_window(&mut self, now: TimePoint) {
        self.window = SampleWindow { start: now, ..SampleWindow::default() };
    }
}
