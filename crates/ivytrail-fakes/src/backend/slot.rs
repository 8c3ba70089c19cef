//! Slots and service times of requests.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use rand::RngExt;
use tokio::time::Instant;

use super::BackendState;

/// Upper bound of the accumulated timer overshoot: several times the timer's granularity of 1 ms.
const MAX_TIMER_OVERSHOOT: Duration = Duration::from_millis(10);

/// Exponent of the slowdown when there are more requests than slots. Above 1, overload reduces the total throughput,
/// not only the speed of each request.
const OVERLOAD_EXPONENT: f64 = 1.5;

/// Slowdown of the first requests after a cold start.
const COLD_START_SLOWDOWN: f64 = 5.0;

/// Slot of a running request, released on drop.
#[derive(Debug)]
pub(super) struct SlotGuard {
    state: Arc<BackendState>,
    serial: String,
    acquired_at: Instant,
    is_completed: bool,
}

impl SlotGuard {
    /// Acquires a slot for the request with `serial`, or returns `None` if the shed limit is reached.
    pub(super) fn acquire(state: &Arc<BackendState>, serial: &str) -> Option<SlotGuard> {
        let in_flight = state.in_flight.fetch_add(1, Ordering::AcqRel) + 1;
        let mut log = state.log.lock();
        if state.settings.max_in_flight() < in_flight {
            state.in_flight.fetch_sub(1, Ordering::AcqRel);
            log.shed += 1;
            return None;
        }
        log.record_start(serial);
        log.peak_in_flight = log.peak_in_flight.max(in_flight);
        drop(log);
        let state = Arc::clone(state);
        Some(SlotGuard {
            state,
            serial: serial.to_string(),
            acquired_at: Instant::now(),
            is_completed: false,
        })
    }

    /// Sleeps for `share` of a sampled service time, scaled by the slowdown from overload, cold start and
    /// [`ServerControl`](super::ServerControl).
    pub(super) async fn work(&self, share: f64) {
        if share <= 0.0 {
            return;
        }
        let duration =
            self.state.settings.service_time.mul_f64(share * sample_service_factor(&self.state));
        self.state.sleep_compensated(duration.mul_f64(self.state.slowdown())).await;
    }

    /// Marks the request as completed, so that the drop isn't counted as a cancellation.
    pub(super) fn complete(mut self) {
        self.is_completed = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::AcqRel);
        let mut log = self.state.log.lock();
        log.record_slot(&self.serial, self.acquired_at.elapsed());
        log.cancelled += u64::from(!self.is_completed);
    }
}

/// Returns a random factor on the service time with mean 1: a constant part and an exponentially distributed part,
/// whose share is the jitter setting.
fn sample_service_factor(state: &BackendState) -> f64 {
    let jitter = state.settings.jitter.clamp(0.0, 1.0);
    let uniform: f64 = rand::rng().random_range(f64::EPSILON..1.0);
    (1.0 - jitter) + jitter * -uniform.ln()
}

impl BackendState {
    /// Returns the factor on the service time relative to an idle, warm server.
    fn slowdown(&self) -> f64 {
        let in_flight = f64::from(self.in_flight.load(Ordering::Acquire));
        let load_ratio = in_flight / f64::from(self.settings.slots.max(1));
        let overload = load_ratio.max(1.0).powf(OVERLOAD_EXPONENT);
        overload * self.cold_start_slowdown() * self.control.lock().slowdown
    }

    /// Sleeps for `duration` on average: timer overshoot is subtracted from later sleeps.
    async fn sleep_compensated(&self, duration: Duration) {
        let credit = {
            let mut timer_overshoot = self.timer_overshoot.lock();
            let credit = timer_overshoot.min(duration / 2);
            *timer_overshoot -= credit;
            credit
        };
        let started_at = Instant::now();
        tokio::time::sleep(duration - credit).await;
        let overslept = started_at.elapsed().saturating_sub(duration - credit);
        let mut timer_overshoot = self.timer_overshoot.lock();
        *timer_overshoot = (*timer_overshoot + overslept).min(MAX_TIMER_OVERSHOOT);
    }

    fn cold_start_slowdown(&self) -> f64 {
        let warmup_time = self.settings.warmup_time;
        let age = self.started_at.elapsed().saturating_sub(self.settings.startup_time);
        if warmup_time <= age || warmup_time == Duration::ZERO {
            return 1.0;
        }
        let progress = age.as_secs_f64() / warmup_time.as_secs_f64();
        1.0 + (COLD_START_SLOWDOWN - 1.0) * (1.0 - progress)
    }
}
