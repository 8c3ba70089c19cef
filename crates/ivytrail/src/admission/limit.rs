//! Adaptive limit on the number of concurrently running requests.
//!
//! Latency rises for two reasons that the samples alone do not distinguish: the backend server handles fewer concurrent
//! requests than it announced, or the work itself has become slower, for instance because of a slower service further
//! down the call chain. A lower limit helps only in the first case; in the second it leaves slots idle. The limit is
//! therefore halved for a trial of one window. The lower limit is kept only if the latency falls while the throughput
//! of complete responses does not, or if that throughput rises. The trial also updates the latency floor.

use std::time::Duration;

use crate::time::TimePoint;

use super::RunSample;

/// Ratio of the latency to its floor above which a lower limit is tried.
const MAX_LATENCY_RATIO: f64 = 2.0;
const TRIAL_FACTOR: f64 = 0.5;
/// Ratio to the previous latency below which the latency must fall for a trial to succeed.
const MAX_TRIAL_LATENCY_RATIO: f64 = 0.75;
/// Ratio to the previous throughput of complete responses below which a lower latency does not make a trial succeed.
const MIN_TRIAL_THROUGHPUT_RATIO: f64 = 0.85;
/// Ratio to the previous throughput of complete responses above which a trial succeeds regardless of the latency.
const TRIAL_SUCCESS_THROUGHPUT_RATIO: f64 = 1.2;
const GROWTH_FACTOR: f64 = 1.5;
const OVERLOAD_DECREASE_FACTOR: f64 = 0.9;
/// Minimum time from the first to the last sample of a window.
const MIN_WINDOW: Duration = Duration::from_millis(20);
const SAMPLES_PER_SLOT: f64 = 4.0;
const MIN_SAMPLES: f64 = 16.0;
/// Upper bound of the samples that a window requires. With many slots, this many are needed because the shortest runs
/// finish first.
const MAX_SAMPLES: f64 = 250.0;
/// Minimum share of the samples in a window that were taken while the limit was reached, for the limit to be adapted.
const MIN_SATURATION: f64 = 0.9;
/// Share of complete responses below which a lower limit is tried regardless of the latency, and after which a failed
/// trial resets the delay to [`MIN_TRIAL_BACKOFF`].
const MIN_COMPLETED: f64 = 0.5;
/// Delay after a failed trial, doubled by each further failure up to [`MAX_TRIAL_BACKOFF`].
const MIN_TRIAL_BACKOFF: Duration = Duration::from_secs(1);
const MAX_TRIAL_BACKOFF: Duration = Duration::from_secs(16);
/// Time after which a trial is made even if the latency has not risen, to update the latency floor.
const FLOOR_TTL: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, PartialEq)]
enum LimitPhase {
    Steady,
    /// The limit is lowered for one window, to compare it with the limit `before`.
    Trial {
        before: f64,
        latency_s: f64,
        completed_per_s: f64,
    },
}

/// Samples since the start of the window.
#[derive(Clone, Copy, Debug, Default)]
struct SampleWindow {
    start: TimePoint,
    first_sample: Option<TimePoint>,
    n_samples: f64,
    n_completed: f64,
    n_saturated: f64,
    latency_sum_s: f64,
}

/// Limit on concurrently running requests, between 1 and the number of slots of the backend server.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    adaptive: bool,
    slots: u32,
    limit: f64,
    phase: LimitPhase,
    window: SampleWindow,
    /// Smallest mean latency of a window, in seconds; infinite before the first window.
    latency_floor_s: f64,
    trial_backoff: Duration,
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
            latency_floor_s: f64::INFINITY,
            trial_backoff: MIN_TRIAL_BACKOFF,
            next_trial: TimePoint::ORIGIN,
            last_trial: TimePoint::ORIGIN,
            next_decrease: TimePoint::ORIGIN,
        }
    }

    /// Returns the limit: zero if there are no slots, otherwise between 1 and the number of slots.
    pub(super) fn get(&self) -> u32 {
        if self.slots == 0 {
            return 0;
        }
        (self.limit as u32).clamp(1, self.slots)
    }

    /// Returns whether the limit is lowered for a trial. Refusals during a trial do not indicate overload.
    pub(super) fn is_on_trial(&self) -> bool {
        self.phase != LimitPhase::Steady
    }

    /// Sets the upper bound. A limit that equals the previous bound is set to the new one.
    pub(super) fn set_slots(&mut self, slots: u32) {
        let was_full = self.get() == self.slots;
        self.slots = slots;
        self.limit = if was_full { f64::from(slots) } else { self.limit.min(f64::from(slots)) };
        self.phase = LimitPhase::Steady;
    }

    /// Records the end of a run that began at `started`. `n_running` counts the runs just before that end, including
    /// it.
    pub(super) fn record(
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
            // Runs from before the trial still exceed the lowered limit.
            return self.begin_window(now);
        }
        // Runs that began before the limit changed do not measure the new limit.
        if started < self.window.start || matches!(sample, RunSample::Failed { .. }) {
            return;
        }
        let latency = now.since(started).as_secs_f64();
        self.window.first_sample.get_or_insert(now);
        self.window.n_samples += 1.0;
        self.window.latency_sum_s += latency;
        self.window.n_completed +=
            if matches!(sample, RunSample::Completed { .. }) { 1.0 } else { 0.0 };
        self.window.n_saturated += if limit <= n_running { 1.0 } else { 0.0 };
        let required = (self.limit * SAMPLES_PER_SLOT).clamp(MIN_SAMPLES, MAX_SAMPLES);
        if required <= self.window.n_samples
            && MIN_WINDOW <= now.since(self.window.first_sample.unwrap_or(now))
        {
            self.end_window(now);
        }
    }

    fn decrease(&mut self, now: TimePoint, latency: Duration) {
        if now < self.next_decrease {
            return;
        }
        self.limit = (self.limit * OVERLOAD_DECREASE_FACTOR).max(1.0);
        self.next_decrease = now.plus(latency.max(MIN_WINDOW));
        self.phase = LimitPhase::Steady;
        self.begin_window(now);
    }

    fn end_window(&mut self, now: TimePoint) {
        let window = self.window;
        self.begin_window(now);
        let latency = window.latency_sum_s / window.n_samples;
        let sampled = now.since(window.first_sample.unwrap_or(window.start)).as_secs_f64();
        let completed_per_s = window.n_completed / sampled;
        if 0.0 < window.n_completed {
            self.latency_floor_s = self.latency_floor_s.min(latency);
        }
        if let LimitPhase::Trial { before, latency_s, completed_per_s: completed_before } =
            self.phase
        {
            self.phase = LimitPhase::Steady;
            let faster = latency < latency_s * MAX_TRIAL_LATENCY_RATIO
                && completed_before * MIN_TRIAL_THROUGHPUT_RATIO < completed_per_s;
            let better = faster
                || completed_before * TRIAL_SUCCESS_THROUGHPUT_RATIO < completed_per_s
                || completed_before == 0.0;
            if better {
                self.trial_backoff = MIN_TRIAL_BACKOFF;
            } else {
                let mostly_incomplete = window.n_completed < window.n_samples * MIN_COMPLETED;
                self.end_trial(now, before, latency_s, mostly_incomplete);
            }
            return;
        }
        if window.n_saturated < window.n_samples * MIN_SATURATION {
            return;
        }
        let mostly_incomplete = window.n_completed < window.n_samples * MIN_COMPLETED;
        let slowed = mostly_incomplete || self.latency_floor_s * MAX_LATENCY_RATIO < latency;
        let overdue = self.last_trial.plus(FLOOR_TTL) <= now;
        if self.next_trial <= now && (slowed || overdue) && 2.0 <= self.limit {
            self.phase =
                LimitPhase::Trial { before: self.limit, latency_s: latency, completed_per_s };
            self.limit = (self.limit * TRIAL_FACTOR).max(1.0);
            self.last_trial = now;
        } else if !slowed || self.next_trial <= now {
            self.limit = (self.limit * GROWTH_FACTOR).min(f64::from(self.slots));
        }
    }

    /// Restores the limit `before` and delays the next trial. Unless most runs were incomplete, the latency before the
    /// trial becomes the new floor.
    fn end_trial(&mut self, now: TimePoint, before: f64, latency_s: f64, mostly_incomplete: bool) {
        self.limit = before.min(f64::from(self.slots));
        self.next_trial = now.plus(self.trial_backoff);
        if mostly_incomplete {
            self.trial_backoff = MIN_TRIAL_BACKOFF;
        } else {
            self.latency_floor_s = latency_s;
            self.trial_backoff = (self.trial_backoff * 2).min(MAX_TRIAL_BACKOFF);
        }
    }

    fn begin_window(&mut self, now: TimePoint) {
        self.window = SampleWindow { start: now, ..SampleWindow::default() };
    }
}
