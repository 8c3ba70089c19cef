//! The entry's gate: refuses root requests that would fail further down the chain.
//!
//! A root request keeps its level through the whole chain, and answers carry the smallest level cut of the guards they
//! passed. The gate compares the two before any slot is spent. Levels are fair between accounts: an account's requests
//! are spread over levels up to its own rate, so a cut at some level leaves each account the same rate.

use std::{collections::HashMap, time::Duration};

use crate::{
    id::{AccountName, RouteName},
    settings::PriorityClass,
    time::TimePoint,
};

const CLASS_SHIFT: u32 = 14;
const MAX_POSITION: u16 = (1 << CLASS_SHIFT) - 1;
/// Rates from 2^-6 to 2^22 requests per second are told apart.
const MIN_RATE_LOG2: f64 = -6.0;
const MAX_RATE_LOG2: f64 = 22.0;
const RATE_MEMORY: Duration = Duration::from_secs(1);
const MAX_ACCOUNTS: usize = 16_384;
const CUT_GAIN: f64 = 0.2;
/// A cut that was not confirmed for this long is forgotten.
const CUT_LIFE: Duration = Duration::from_millis(500);
/// One root request is let through above the cut when the cut was not confirmed for this long.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Which decisions an [`EntryGate`] takes. All are on by default; a measurement turns them off one by one.
#[derive(Clone, Copy, Debug)]
pub struct GateOptions {
    /// Refuses root requests above the level cut of their route.
    pub thresholds: bool,
    /// Gives an account that sends more the greater levels.
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
        let age = now.since(self.updated).as_secs_f64() / RATE_MEMORY.as_secs_f64();
        self.per_s *= (-age).exp();
        self.updated = now;
    }
}

#[derive(Debug)]
struct RouteCut {
    cut: f64,
    noted: TimePoint,
    /// Time of the last request that was let through above the cut.
    probed: TimePoint,
}

/// Admission of root requests at their entry, by the level cuts that answers carry.
#[derive(Debug, Default)]
pub struct EntryGate {
    options: GateOptions,
    rates: HashMap<(PriorityClass, Option<AccountName>), AccountRate>,
    cuts: HashMap<RouteName, RouteCut>,
    /// Time of the last event.
    now: TimePoint,
}

impl EntryGate {
    /// Returns a gate that knows no cut.
    pub fn new() -> EntryGate {
        EntryGate::default()
    }

    /// Returns a gate that takes only the decisions in `options`.
    pub fn with_options(options: GateOptions) -> EntryGate {
        EntryGate { options, ..EntryGate::default() }
    }

    /// Sets the weight of an account against others; 1 when it is not set.
    pub fn set_weight(&mut self, class: PriorityClass, account: &AccountName, weight: f64) {
        let weight = if weight.is_finite() { weight.clamp(0.001, 1_000.0) } else { 1.0 };
        self.rate_mut(class, Some(account)).weight = weight;
    }

    /// Returns the admission level of a new root request and counts it for its account.
    ///
    /// The class is in the high bits. Below is the request's position in the account's own rate, on a logarithmic scale:
    /// `random` picks one between zero and the rate over the weight.
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
        rate.per_s += 1.0 / RATE_MEMORY.as_secs_f64();
        let share = (f64::from(random) + 1.0) / 65_536.0;
        let position = (share * rate.per_s / rate.weight).log2();
        let scaled = (position - MIN_RATE_LOG2) / (MAX_RATE_LOG2 - MIN_RATE_LOG2);
        base | (scaled.clamp(0.0, 1.0) * f64::from(MAX_POSITION)) as u16
    }

    /// Decides whether a root request may enter.
    ///
    /// # Errors
    ///
    /// Returns the time after which it is worth trying again when the route's chain would refuse it.
    pub fn admit(
        &mut self,
        now: TimePoint,
        route: &RouteName,
        level: u16,
        random: u16,
    ) -> Result<(), Duration> {
        self.now = self.now.max(now);
        let Some(cut) = self.cuts.get_mut(route).filter(|_| self.options.thresholds) else {
            return Ok(());
        };
        if f64::from(level) <= cut.cut || CUT_LIFE <= now.since(cut.noted) {
            return Ok(());
        }
        if PROBE_INTERVAL <= now.since(cut.noted) && PROBE_INTERVAL <= now.since(cut.probed) {
            cut.probed = now;
            return Ok(());
        }
        // The further above the cut, the longer it takes until the level is admitted.
        let distance = (f64::from(level) - cut.cut) / f64::from(MAX_POSITION);
        let hint = MIN_RETRY_AFTER + Duration::from_millis(500).mul_f64(distance);
        let jitter = 0.75 + f64::from(random) / f64::from(u16::MAX);
        Err(hint.mul_f64(jitter).min(MAX_RETRY_AFTER))
    }

    /// Records the smallest level cut anywhere down the chain of a route, as an answer carried it.
    pub fn record_threshold(&mut self, now: TimePoint, route: &RouteName, cut: u16) {
        self.now = self.now.max(now);
        let cut = f64::from(cut);
        match self.cuts.get_mut(route) {
            Some(known) => {
                // Guards of one service differ: a single answer does not decide.
                known.cut += CUT_GAIN * (cut - known.cut);
                known.noted = now;
            }
            None if cut < f64::from(u16::MAX) => {
                self.cuts.insert(route.clone(), RouteCut { cut, noted: now, probed: now });
            }
            None => {}
        }
        if self.cuts.get(route).is_some_and(|known| f64::from(u16::MAX) - 1.0 < known.cut) {
            self.cuts.remove(route);
        }
    }

    fn rate_mut(
        &mut self,
        class: PriorityClass,
        account: Option<&AccountName>,
    ) -> &mut AccountRate {
        if MAX_ACCOUNTS <= self.rates.len() {
            let now = self.now;
            self.rates.retain(|_, rate| now.since(rate.updated) < RATE_MEMORY * 10);
        }
        let now = self.now;
        self.rates.entry((class, account.cloned())).or_insert(AccountRate {
            per_s: 0.0,
            weight: 1.0,
            updated: now,
        })
    }
}
