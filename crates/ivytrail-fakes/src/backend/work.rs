//! The time that requests take, and the slots that they hold.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use rand::RngExt;
use tokio::time::Instant;

use super::BackendState;

/// Most oversleeping that is remembered: several times the timer's granularity of a millisecond.
const MAX_OVERSHOOT: Duration = Duration::from_millis(10);

/// Exponent by which excess concurrency slows requests down: past its slots a server does less in all, not just less
/// for each.
const THRASH_EXPONENT: f64 = 1.5;

/// Factor by which the first requests after a cold start are slower.
const COLD_FACTOR: f64 = 5.0;

/// A request that occupies a slot until it is dropped.
#[derive(Debug)]
pub(super) struct SlotHold {
    state: Arc<BackendState>,
    serial: String,
    since: Instant,
    is_answered: bool,
}

impl SlotHold {
    /// Takes a slot for the request with `serial`, or returns `None` when far too many are taken.
    pub(super) fn take(state: &Arc<BackendState>, serial: &str) -> Option<SlotHold> {
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
        Some(SlotHold {
            state,
            serial: serial.to_string(),
            since: Instant::now(),
            is_answered: false,
        })
    }

    /// Works for `share` of a sampled service time, slower with excess concurrency, in a cold start and on demand.
    pub(super) async fn work(&self, share: f64) {
        if share <= 0.0 {
            return;
        }
        let span = self.state.settings.service_time.mul_f64(share * sample(&self.state));
        self.state.pause(span.mul_f64(self.state.slowness())).await;
    }

    /// Marks the request as answered, so that its end is no cancellation.
    pub(super) fn answer(mut self) {
        self.is_answered = true;
    }
}

impl Drop for SlotHold {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::AcqRel);
        let mut log = self.state.log.lock();
        log.record_slot(&self.serial, self.since.elapsed());
        log.cancelled += u64::from(!self.is_answered);
    }
}

/// Returns a factor with mean 1: a fixed part and an exponential part with the settings' share.
fn sample(state: &BackendState) -> f64 {
    let jitter = state.settings.jitter.clamp(0.0, 1.0);
    let uniform: f64 = rand::rng().random_range(f64::EPSILON..1.0);
    (1.0 - jitter) + jitter * -uniform.ln()
}

impl BackendState {
    /// Returns the factor by which work takes longer than in an idle, warm server.
    fn slowness(&self) -> f64 {
        let in_flight = f64::from(self.in_flight.load(Ordering::Acquire));
        let excess = in_flight / f64::from(self.settings.slots.max(1));
        let crowding = excess.max(1.0).powf(THRASH_EXPONENT);
        crowding * self.coldness() * self.control.lock().slow
    }

    /// Sleeps for `span` on average: what the timer oversleeps is taken off the sleeps that follow.
    async fn pause(&self, span: Duration) {
        let credit = {
            let mut overshoot = self.overshoot.lock();
            let credit = overshoot.min(span / 2);
            *overshoot -= credit;
            credit
        };
        let begin = Instant::now();
        tokio::time::sleep(span - credit).await;
        let excess = begin.elapsed().saturating_sub(span - credit);
        let mut overshoot = self.overshoot.lock();
        *overshoot = (*overshoot + excess).min(MAX_OVERSHOOT);
    }

    fn coldness(&self) -> f64 {
        let cold_start = self.settings.cold_start;
        let age = self.started_at.elapsed().saturating_sub(self.settings.start_time);
        if cold_start <= age || cold_start == Duration::ZERO {
            return 1.0;
        }
        let warmth = age.as_secs_f64() / cold_start.as_secs_f64();
        1.0 + (COLD_FACTOR - 1.0) * (1.0 - warmth)
    }
}
