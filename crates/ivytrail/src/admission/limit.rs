//! Adaptive limit on the number of requests that run at once.
//!
//! A rise of the latency has two causes that look alike: the server copes with fewer requests at once than it announced,
//! or the work itself has become slower, for instance because a service further down has. Only in the first case does
//! a lower limit help; in the second it would leave slots idle. The limit therefore tries: it halves itself for one
//! window and stays there only when the latency falls and the whole answers don't. The trial also renews the latency floor.

use std::time::Duration;

use crate::time::TimePoint;

use super::RunSample;

/// Latency over its floor from which a lower limit is tried.
const MAX_GRADIENT: f64 = 2.0;
const TRIAL_FACTOR: f64 = 0.5;
/// The latency has to fall below this share for a trial to count as a success.
const MAX_TRIAL_LATENCY: f64 = 0.75;
/// Share of the whole answers that a trial must not fall below, whatever the latency.
const MIN_TRIAL_YIELD: f64 = 0.85;
/// Whole answers have to grow by this factor for a trial to count as a success regardless of the latency.
const MIN_TRIAL_GAIN: f64 = 1.2;
const GROWTH_FACTOR: f64 = 1.5;
const SHED_FACTOR: f64 = 0.9;
/// Least time from the first to the last sample of a window.
const MIN_WINDOW: Duration = Duration::from_millis(20);
const SAMPLES_PER_SLOT: f64 = 4.0;
const MIN_SAMPLES: f64 = 16.0;
/// A window of many slots needs this many, since the first runs to end are the short ones.
const MAX_SAMPLES: f64 = 250.0;
/// Share of the samples in a window that must have been taken with all of the limit in use.
const MIN_SATURATION: f64 = 0.9;
/// Share of whole answers below which a lower limit is tried whatever the latency, and tried again soon.
const MIN_WHOLE: f64 = 0.5;
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
    first_sample: Option<TimePoint>,
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

    /// Returns whether the limit is lowered for a trial, so that refusals tell nothing about the pressure.
    pub(super) fn is_on_trial(&self) -> bool {
        self.phase != LimitPhase::Steady
    }

    /// Sets the upper bound. A limit that was at the old bound follows it.
    pub(super) fn set_slots(&mut self, slots: u32) {
        let was_full = self.get() == self.slots;
        self.slots = slots;
        self.limit = if was_full { f64::from(slots) } else { self.limit.min(f64::from(slots)) };
        self.phase = LimitPhase::Steady;
    }

    /// Records the end of a run that began at `started`, with `n_running` at that time, itself included.
    pub(super) fn note(
        &mut self,
        now: TimePoint,
        started: TimePoint,
        sample: RunSample,
        n_running: u32,
    ) {
        if !self.adaptive || self.slots == 0 {
            return;
        }
        if sample == RunSample::Overloaded {
            return self.decrease(now, now.since(started));
        }
        let limit = self.get();
        if self.is_on_trial() && limit < n_running {
            // Runs from before the trial still hold more than the limit.
            return self.begin_window(now);
        }
        // Runs that began before the limit was changed say nothing about the new one.
        if started < self.window.start || matches!(sample, RunSample::Failed { .. }) {
            return;
        }
        let latency = now.since(started).as_secs_f64();
        self.window.first_sample.get_or_insert(now);
        self.window.n_samples += 1.0;
        self.window.latency_sum_s += latency;
        self.window.n_whole +=
            if matches!(sample, RunSample::Completed { .. }) { 1.0 } else { 0.0 };
        self.window.n_saturated += if limit <= n_running { 1.0 } else { 0.0 };
        let wanted = (self.limit * SAMPLES_PER_SLOT).clamp(MIN_SAMPLES, MAX_SAMPLES);
        if wanted <= self.window.n_samples
            && MIN_WINDOW <= now.since(self.window.first_sample.unwrap_or(now))
        {
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
        let sampled = now.since(window.first_sample.unwrap_or(window.start)).as_secs_f64();
        let whole_per_s = window.n_whole / sampled;
        if 0.0 < window.n_whole {
            self.floor_s = self.floor_s.min(latency);
        }
        if let LimitPhase::Trial { before, latency_s, whole_per_s: whole_before } = self.phase {
            self.phase = LimitPhase::Steady;
            let quicker = latency < latency_s * MAX_TRIAL_LATENCY
                && whole_before * MIN_TRIAL_YIELD < whole_per_s;
            let better =
                quicker || whole_before * MIN_TRIAL_GAIN < whole_per_s || whole_before == 0.0;
            if better {
                self.pause = MIN_PAUSE;
            } else {
                let starving = window.n_whole < window.n_samples * MIN_WHOLE;
                self.end_trial(now, before, latency_s, starving);
            }
            return;
        }
        if window.n_saturated < window.n_samples * MIN_SATURATION {
            return;
        }
        let starving = window.n_whole < window.n_samples * MIN_WHOLE;
        let slowed = starving || self.floor_s * MAX_GRADIENT < latency;
        let overdue = self.last_trial.plus(FLOOR_LIFE) <= now;
        if self.next_trial <= now && (slowed || overdue) && 2.0 <= self.limit {
            self.phase = LimitPhase::Trial { before: self.limit, latency_s: latency, whole_per_s };
            self.limit = (self.limit * TRIAL_FACTOR).max(1.0);
            self.last_trial = now;
        } else if !slowed || self.next_trial <= now {
            self.limit = (self.limit * GROWTH_FACTOR).min(f64::from(self.slots));
        }
    }

    /// Goes back to the limit `before` and pauses. Takes the latency as the new floor unless most runs were cut off.
    fn end_trial(&mut self, now: TimePoint, before: f64, latency_s: f64, starving: bool) {
        self.limit = before.min(f64::from(self.slots));
        self.next_trial = now.plus(self.pause);
        if starving {
            self.pause = MIN_PAUSE;
        } else {
            self.floor_s = latency_s;
            self.pause = (self.pause * 2).min(MAX_PAUSE);
        }
    }

    fn begin_window(&mut self, now: TimePoint) {
        self.window = SampleWindow { start: now, ..SampleWindow::default() };
    }
}
