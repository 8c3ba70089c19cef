//! Admission of root requests at the entry: refuses requests that would be refused further down the call chain.
//!
//! All calls of a root request share its admission level, and replies carry the smallest level threshold of the guards
//! in the chain. The gate compares level and threshold before the request occupies a slot. Levels are fair between
//! accounts: the levels of an account's requests are distributed up to the account's rate, so a given threshold admits
//! the same rate for every account.

use std::{collections::HashMap, time::Duration};

use crate::{
    id::{AccountName, RouteName},
    settings::PriorityClass,
    time::TimePoint,
};

const CLASS_SHIFT: u32 = 14;
const MAX_POSITION: u16 = (1 << CLASS_SHIFT) - 1;
/// Levels distinguish rates from 2^-6 to 2^22 requests per second.
const MIN_RATE_LOG2: f64 = -6.0;
const MAX_RATE_LOG2: f64 = 22.0;
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);
const MAX_ACCOUNTS: usize = 16_384;
const THRESHOLD_GAIN: f64 = 0.2;
/// Time after which a threshold that no reply has updated no longer applies.
const THRESHOLD_TTL: Duration = Duration::from_millis(500);
/// Interval at which one root request above the threshold is admitted as a probe while no reply updates the threshold.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Options of an [`EntryGate`]. All mechanisms are enabled by default; benchmarks disable them one at a time.
#[derive(Clone, Copy, Debug)]
pub struct GateOptions {
    /// Refuses root requests above the level threshold of their route.
    pub thresholds: bool,
    /// Assigns greater levels to accounts with a higher request rate.
    pub fair: bool,
}

impl Default for GateOptions {
    fn default() -> GateOptions {
        GateOptions { thresholds: true, fair: true }
    }
}

#[derive(Debug)]
struct AccountRate {
    per_s: f64,
    weight: f64,
    updated: TimePoint,
}

impl AccountRate {
    fn decay(&mut self, now: TimePoint) {
        let age = now.since(self.updated).as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64();
        self.per_s *= (-age).exp();
        self.updated = now;
    }
}

#[derive(Debug)]
struct RouteThreshold {
    level: f64,
    updated: TimePoint,
    /// Time of the last request that was admitted above the threshold.
    last_probe: TimePoint,
}

/// Admits root requests at the entry by the level thresholds that replies carry.
#[derive(Debug, Default)]
pub struct EntryGate {
    options: GateOptions,
    rates: HashMap<(PriorityClass, Option<AccountName>), AccountRate>,
    thresholds: HashMap<RouteName, RouteThreshold>,
    /// Latest time passed to the gate.
    now: TimePoint,
}

impl EntryGate {
    /// Returns a gate with default options and no thresholds, which admits every request.
    pub fn new() -> EntryGate {
        EntryGate::default()
    }

    /// Returns a gate with `options` and no thresholds.
    pub fn with_options(options: GateOptions) -> EntryGate {
        EntryGate { options, ..EntryGate::default() }
    }

    /// Sets the weight of an account relative to other accounts. The default is 1.
    pub fn set_weight(&mut self, class: PriorityClass, account: &AccountName, weight: f64) {
        let weight = if weight.is_finite() { weight.clamp(0.001, 1_000.0) } else { 1.0 };
        self.rate_mut(class, Some(account)).weight = weight;
    }

    /// Returns the admission level of a new root request and counts the request towards the account's rate.
    ///
    /// The high bits hold the class. The low bits hold, on a logarithmic scale, a position that `random` selects
    /// between zero and the account's rate divided by its weight.
    pub fn assign_level(
        &mut self,
        class: PriorityClass,
        account: Option<&AccountName>,
        random: u16,
    ) -> u16 {
        let base = (class as u16) << CLASS_SHIFT;
        if !self.options.fair {
            return base | (random >> (16 - CLASS_SHIFT));
        }
        let now = self.now;
        let rate = self.rate_mut(class, account);
        rate.decay(now);
        rate.per_s += 1.0 / RATE_TIME_CONSTANT.as_secs_f64();
        let share = (f64::from(random) + 1.0) / 65_536.0;
        let position = (share * rate.per_s / rate.weight).log2();
        let scaled = (position - MIN_RATE_LOG2) / (MAX_RATE_LOG2 - MIN_RATE_LOG2);
        base | (scaled.clamp(0.0, 1.0) * f64::from(MAX_POSITION)) as u16
    }

    /// Admits or refuses a root request.
    ///
    /// # Errors
    ///
    /// Returns the delay before a retry if the level is above the threshold of the route's call chain.
    pub fn admit(
        &mut self,
        now: TimePoint,
        route: &RouteName,
        level: u16,
        random: u16,
    ) -> Result<(), Duration> {
        self.now = self.now.max(now);
        let Some(threshold) = self.thresholds.get_mut(route).filter(|_| self.options.thresholds)
        else {
            return Ok(());
        };
        if f64::from(level) <= threshold.level || THRESHOLD_TTL <= now.since(threshold.updated) {
            return Ok(());
        }
        if PROBE_INTERVAL <= now.since(threshold.updated)
            && PROBE_INTERVAL <= now.since(threshold.last_probe)
        {
            threshold.last_probe = now;
            return Ok(());
        }
        // The farther the level is above the threshold, the longer it takes until the level is admitted.
        let distance = (f64::from(level) - threshold.level) / f64::from(MAX_POSITION);
        let hint = MIN_RETRY_AFTER + Duration::from_millis(500).mul_f64(distance);
        let jitter = 0.75 + f64::from(random) / f64::from(u16::MAX);
        Err(hint.mul_f64(jitter).min(MAX_RETRY_AFTER))
    }

    /// Records the smallest level threshold in the call chain of a route, as reported by a reply.
    pub fn record_threshold(&mut self, now: TimePoint, route: &RouteName, threshold: u16) {
        self.now = self.now.max(now);
        let threshold = f64::from(threshold);
        match self.thresholds.get_mut(route) {
            Some(stored) => {
                // Guards of one service have different thresholds, so a single reply only moves the average.
                stored.level += THRESHOLD_GAIN * (threshold - stored.level);
                stored.updated = now;
            }
            None if threshold < f64::from(u16::MAX) => {
                self.thresholds.insert(
                    route.clone(),
                    RouteThreshold { level: threshold, updated: now, last_probe: now },
                );
            }
            None => {}
        }
        if self.thresholds.get(route).is_some_and(|stored| f64::from(u16::MAX) - 1.0 < stored.level)
        {
            self.thresholds.remove(route);
        }
    }

    fn rate_mut(
        &mut self,
        class: PriorityClass,
        account: Option<&AccountName>,
    ) -> &mut AccountRate {
        if MAX_ACCOUNTS <= self.rates.len() {
            let now = self.now;
            self.rates.retain(|_, rate| now.since(rate.updated) < RATE_TIME_CONSTANT * 10);
        }
        let now = self.now;
        self.rates.entry((class, account.cloned())).or_insert(AccountRate {
            per_s: 0.0,
            weight: 1.0,
            updated: now,
        })
    }
}
