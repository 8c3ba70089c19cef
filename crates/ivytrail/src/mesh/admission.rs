//! Admission control at the entry for client requests, the roots of call chains, based on the slots of every service
//! that they call.
//!
//! A root request that is admitted and then fails at its last nested call has wasted the slot time of all earlier calls.
//! The entry therefore decides before a root request uses any slot, from three inputs: the cost of a request of each
//! route at every service ([`super::cost`]), the rate of root requests offered to the whole fleet, and the slots of each
//! service. Where the offered slot time exceeds the slots, each route is admitted in part. Within one rank a route that
//! costs less there gets a larger share, and a more urgent rank gets several times the share of the next one. All
//! daemons compute the same shares from the same inputs.
//!
//! The computed shares are corrected by the measured pressure on the slots, since reports lag and servers differ.
//!
//! Where servers reject requests although they have slots, a chain with many calls there has little chance to complete.
//! Its root requests are then refused as well, until the rejections end.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{
    cost::{CostModel, ServiceDemands},
    queue::{QueueRank, RootPriority},
};
use crate::{
    id::{ContentDigest, RouteName, ServiceName},
    time::TimePoint,
};

/// Share of a service's slots that admitted root requests may use on average; the rest absorbs bursts.
const TARGET_UTILISATION: f64 = 0.95;
/// Ratio between the shares of requests of one account priority and those of the next less urgent one.
const ACCOUNT_PRIORITY_FACTOR: f64 = 6.0;
/// Ratio between the shares of requests of one route priority and those of the next less urgent one, within the same
/// account priority. Two steps weigh as much as one step of the account's priority, which takes precedence.
const ROUTE_PRIORITY_FACTOR: f64 = 2.45;
/// Exponent by which the share of a route falls with its cost: 0 gives all routes of a rank the same share, 1 the same
/// slot time. The latter serves most requests but starves the costly routes.
const COST_EXPONENT: f64 = 0.7;
/// Time constant of the moving average of the offered rates.
const DEMAND_WINDOW: Duration = Duration::from_millis(800);
/// Pressure above which the correction shrinks.
const HIGH_PRESSURE: f64 = 0.08;
/// Fraction by which the correction shrinks in each step at full pressure.
const CORRECTION_DECREASE: f64 = 0.15;
/// Pressure below which slots certainly stay unused.
const LOW_PRESSURE: f64 = 0.02;
/// Fraction by which the correction grows in each step while demand exceeds the slots and the pressure isn't high.
const CORRECTION_INCREASE: f64 = 0.01;
/// The same fraction while slots stay unused.
const IDLE_CORRECTION_INCREASE: f64 = 0.025;
/// Fraction of its distance from 1 that the correction loses in each step while the slots suffice.
const CORRECTION_DECAY: f64 = 0.05;
/// Smallest and largest correction.
const CORRECTION_BOUNDS: (f64, f64) = (0.7, 1.6);
/// Time for which a refused request is tracked, so that its retry is recognised.
const REFUSAL_TTL: Duration = Duration::from_secs(4);
/// Maximum number of refused requests that are tracked at a time.
const MAX_REFUSALS: usize = 8_192;
/// Fraction of the announced delay after which a retry counts as on time.
const MIN_DELAY_SHARE: f64 = 0.8;
/// Iterations of the bisection for the cost allowance.
const SEARCH_STEPS: usize = 24;
/// Share of rejected requests that retries at other servers make up for.
const REPAIRED_REJECTIONS: f64 = 0.05;
/// Chance of completion below which only part of a route's requests are admitted.
const MIN_CHANCE: f64 = 0.25;
/// Fraction of the route's target latency after which a client should retry a request that was not admitted.
pub(super) const REFUSAL_RETRY_FRACTION: f64 = 0.25;
/// The same fraction for a request that was refused because servers would reject its calls.
const REJECTED_RETRY_FRACTION: f64 = 0.5;
/// Smallest share of its requests that a route keeps, so that no route starves.
const MIN_SHARE: f64 = 0.02;

/// Offered rate of root requests of one route and rank at one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteDemand {
    /// Route of the requests.
    pub route: RouteName,
    /// Rank of the requests.
    pub rank: u8,
    /// Requests per second.
    pub per_s: f64,
}

/// Capacity and pressure of a service, summed over its backend servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceSlots {
    /// Slots of all available backend servers.
    pub slots: f64,
    /// Mean pressure on the slots, from 0 to 1.
    pub pressure: f64,
    /// Share of requests that the better half of the servers reject unexecuted, from 0 to 1.
    pub rejected: f64,
}

type DemandKey = (RouteName, QueueRank);

/// Admits or refuses root requests at one entry.
#[derive(Debug, Default)]
pub struct AdmissionController {
    /// Demand at this daemon.
    local: HashMap<DemandKey, OfferedRate>,
    /// Demand at all other daemons.
    remote: Vec<RouteDemand>,
    /// Factor on each service's slots, adapted to the measured pressure.
    corrections: HashMap<ServiceName, f64>,
    /// Admitted shares that are below 1.
    shares: HashMap<DemandKey, f64>,
    /// Keys whose share is limited because servers would reject their calls.
    rejected_keys: HashSet<DemandKey>,
    /// Admission credit of each key in `shares`: a request earns its share, and an admission costs 1.
    credits: HashMap<DemandKey, f64>,
    /// Demand and capacity of each service at the last update, for the log.
    usage: Vec<ServiceUsage>,
    refusals: HashMap<ContentDigest, TrackedRefusal>,
    refusal_expiries: VecDeque<(TimePoint, ContentDigest)>,
}

/// A refused request that may be retried.
#[derive(Clone, Copy, Debug)]
struct TrackedRefusal {
    /// Earliest time at which a retry counts as on time.
    due: TimePoint,
    /// Time at which the refusal is no longer tracked.
    expiry: TimePoint,
}

/// Slot time offered to a service, and its capacity.
#[derive(Clone, Debug, Display)]
#[display(
    "{service}:offered={offered:.0}/slots={slots:.0}/pressure={pressure:.2}/trim={correction:.2}/rejected={rejected:.2}"
)]
struct ServiceUsage {
    service: ServiceName,
    offered: f64,
    slots: f64,
    pressure: f64,
    correction: f64,
    rejected: f64,
}

/// Moving average of a request rate.
#[derive(Clone, Copy, Debug, Default)]
struct OfferedRate {
    per_s: f64,
    /// Requests since the last update.
    n_new: f64,
}

impl AdmissionController {
    /// Returns whether a root request is admitted.
    ///
    /// A refused request that is retried after its announced delay takes precedence over new ones; an earlier retry
    /// counts as a new request.
    pub fn admit(
        &mut self,
        now: TimePoint,
        route: &RouteName,
        rank: QueueRank,
        fingerprint: &ContentDigest,
    ) -> bool {
        let key = (route.clone(), rank);
        self.local.entry(key.clone()).or_default().n_new += 1.0;
        let has_waited = self.refusals.remove(fingerprint).is_some_and(|it| it.due <= now);
        let share = self.shares.get(&key).copied().unwrap_or(1.0);
        if 1.0 <= share {
            return true;
        }
        let credit = self.credits.entry(key).or_default();
        *credit = (*credit + share).min(2.0);
        let needed = if has_waited { 0.0 } else { 1.0 };
        if *credit < needed {
            return false;
        }
        *credit -= 1.0;
        true
    }

    /// Records a refused request whose caller was asked to retry after `delay`.
    pub fn record_refusal(&mut self, now: TimePoint, fingerprint: ContentDigest, delay: Duration) {
        let (due, expiry) = (now.plus(delay.mul_f64(MIN_DELAY_SHARE)), now.plus(REFUSAL_TTL));
        self.refusals.insert(fingerprint, TrackedRefusal { due, expiry });
        self.refusal_expiries.push_back((expiry, fingerprint));
        while let Some((expiry, fingerprint)) = self.refusal_expiries.front().copied() {
            if now < expiry && self.refusal_expiries.len() <= MAX_REFUSALS {
                return;
            }
            self.refusal_expiries.pop_front();
            // A later refusal of the same request has an entry of its own.
            if self.refusals.get(&fingerprint).is_some_and(|it| it.expiry <= expiry) {
                self.refusals.remove(&fingerprint);
            }
        }
    }

    /// Replaces the demand at all other daemons. Routes and ranks may occur several times.
    pub fn set_remote_demand(&mut self, demand: Vec<RouteDemand>) {
        self.remote = demand;
    }

    /// Returns the demand at this daemon, to be reported to the others.
    pub fn local_demand(&self) -> Vec<RouteDemand> {
        self.local
            .iter()
            .filter(|(_, rate)| 0.0 < rate.per_s)
            .map(|((route, rank), rate)| RouteDemand {
                route: route.clone(),
                rank: rank.0,
                per_s: rate.per_s,
            })
            .collect()
    }

    /// Returns a line for the log with all shares below 1 and the usage of each service, or `None` when every request is
    /// admitted.
    pub fn summary(&self) -> Option<String> {
        if self.shares.is_empty() {
            return None;
        }
        let shares =
            self.shares.iter().map(|((route, rank), share)| format!("{route}/{rank}={share:.3}"));
        Some(format!(
            "shares={} use={}",
            shares.collect::<Vec<_>>().join(","),
            self.usage.iter().map(ToString::to_string).collect::<Vec<_>>().join(","),
        ))
    }

    /// Returns the share of a route's requests that is admitted, from 0 to 1.
    pub fn admitted_share(&self, route: &RouteName, rank: QueueRank) -> f64 {
        self.shares.get(&(route.clone(), rank)).copied().unwrap_or(1.0)
    }

    /// Returns the fraction of the target latency after which a refused request of a route should be retried. Free slots
    /// are found again within moments, while rejections by servers tend to last.
    pub fn retry_fraction(&self, route: &RouteName, rank: QueueRank) -> f64 {
        match self.rejected_keys.contains(&(route.clone(), rank)) {
            true => REJECTED_RETRY_FRACTION,
            false => REFUSAL_RETRY_FRACTION,
        }
    }

    /// Recomputes the shares; `elapsed` is the time since the last update.
    pub fn update<S>(&mut self, elapsed: Duration, costs: &CostModel, slots_of: S)
    where
        S: Fn(&ServiceName) -> ServiceSlots,
    {
        self.average_demand(elapsed);
        let offers = self.all_offers(costs);
        let mut services: Vec<ServiceName> =
            offers.iter().flat_map(|it| it.demand.keys().cloned()).collect();
        services.sort_unstable();
        services.dedup();
        let mut shares = vec![1.0; offers.len()];
        self.usage.clear();
        for service in &services {
            let slots = slots_of(service);
            let offered = offers.iter().map(|it| it.per_s * it.cost_s(service)).sum();
            let correction = self.corrections.entry(service.clone()).or_insert(1.0);
            *correction = next_correction(*correction, offered, &slots);
            self.usage.push(ServiceUsage {
                service: service.clone(),
                offered,
                slots: slots.slots,
                pressure: slots.pressure,
                correction: *correction,
                rejected: slots.rejected,
            });
            fit_shares(
                &offers,
                service,
                slots.slots * TARGET_UTILISATION * *correction,
                &mut shares,
            );
        }
        self.rejected_keys.clear();
        for (offer, share) in offers.iter().zip(&mut shares) {
            let chance = offer.chance(&self.usage);
            if chance / MIN_CHANCE < *share {
                *share = chance / MIN_CHANCE;
                self.rejected_keys.insert(offer.key.clone());
            }
        }
        self.shares = offers
            .into_iter()
            .zip(shares)
            .filter(|(_, share)| *share < 1.0)
            .map(|(offer, share)| (offer.key, share.max(MIN_SHARE)))
            .collect();
        let shares = &self.shares;
        self.credits.retain(|key, _| shares.contains_key(key));
    }

    fn average_demand(&mut self, elapsed: Duration) {
        let elapsed_s = elapsed.as_secs_f64().max(1e-3);
        let gain = 1.0 - (-elapsed_s / DEMAND_WINDOW.as_secs_f64()).exp();
        for rate in self.local.values_mut() {
            rate.per_s += gain * (rate.n_new / elapsed_s - rate.per_s);
            rate.n_new = 0.0;
        }
        self.local.retain(|_, rate| 1e-3 < rate.per_s);
    }

    /// Returns the demand of the whole fleet with the cost of each request, sorted by route and rank.
    fn all_offers(&self, costs: &CostModel) -> Vec<RouteOffer> {
        let mut total: HashMap<DemandKey, f64> = HashMap::new();
        for (key, rate) in &self.local {
            *total.entry(key.clone()).or_default() += rate.per_s;
        }
        for demand in &self.remote {
            let key = (demand.route.clone(), QueueRank(demand.rank));
            *total.entry(key).or_default() += demand.per_s;
        }
        let mut offers: Vec<RouteOffer> = total
            .into_iter()
            .map(|(key, per_s)| RouteOffer {
                demand: costs.demand_of(&key.0).cloned().unwrap_or_default(),
                per_s,
                key,
            })
            .collect();
        offers.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        offers
    }
}

/// Returns the correction after one more step. High pressure lowers it; at low pressure it grows while demand exceeds
/// the slots, and returns to 1 otherwise.
fn next_correction(correction: f64, offered: f64, slots: &ServiceSlots) -> f64 {
    let is_overloaded = slots.slots * TARGET_UTILISATION * correction < offered;
    let next = match slots.pressure {
        pressure if HIGH_PRESSURE < pressure => correction * (1.0 - CORRECTION_DECREASE * pressure),
        pressure if is_overloaded && pressure < LOW_PRESSURE => {
            correction * (1.0 + IDLE_CORRECTION_INCREASE)
        }
        _ if is_overloaded => correction * (1.0 + CORRECTION_INCREASE),
        _ => correction + (1.0 - correction) * CORRECTION_DECAY,
    };
    next.clamp(CORRECTION_BOUNDS.0, CORRECTION_BOUNDS.1)
}

/// Demand of the whole fleet for one route and rank.
#[derive(Debug)]
struct RouteOffer {
    key: DemandKey,
    per_s: f64,
    /// Cost of one request at each service.
    demand: ServiceDemands,
}

impl RouteOffer {
    /// Returns the slot time of one request at a service, in seconds.
    fn cost_s(&self, service: &ServiceName) -> f64 {
        self.demand.get(service).map_or(0.0, |it| it.slot_time_s)
    }

    /// Returns the chance that none of a request's calls, and not the request itself, is rejected by a server.
    fn chance(&self, usage: &[ServiceUsage]) -> f64 {
        let chances = usage.iter().map(|it| {
            let n_arrivals = self.demand.get(&it.service).map_or(0.0, |demand| demand.n_arrivals);
            (1.0 - (it.rejected - REPAIRED_REJECTIONS).max(0.0)).powf(n_arrivals)
        });
        chances.product()
    }

    /// Returns the admitted share of requests that cost `cost_s`, given that requests of the lowest priority are admitted
    /// in full up to a cost of `allowance_s`.
    fn share_at(&self, cost_s: f64, allowance_s: f64) -> f64 {
        let (_, rank) = &self.key;
        let priority = rank.priority();
        let steps_above = |priority: u8| i32::from(RootPriority::LOWEST - priority);
        let urgency = ACCOUNT_PRIORITY_FACTOR.powi(steps_above(priority.account()))
            * ROUTE_PRIORITY_FACTOR.powi(steps_above(priority.route()));
        ((allowance_s / cost_s).powf(COST_EXPONENT) * urgency).min(1.0)
    }
}

/// Lowers the shares until the admitted slot time at `service` fits into `slots`.
fn fit_shares(offers: &[RouteOffer], service: &ServiceName, slots: f64, shares: &mut [f64]) {
    let costs: Vec<f64> = offers.iter().map(|it| it.cost_s(service)).collect();
    let used_at = |allowance_s: f64| -> f64 {
        offers
            .iter()
            .zip(&costs)
            .zip(shares.iter())
            .filter(|((_, cost_s), _)| 0.0 < **cost_s)
            .map(|((offer, cost_s), share)| {
                offer.per_s * cost_s * share.min(offer.share_at(*cost_s, allowance_s))
            })
            .sum()
    };
    if used_at(f64::INFINITY) <= slots {
        return;
    }
    // Bisects the logarithm of the allowance between values that admit nothing and everything.
    let (mut low, mut high) = (-36.0_f64, 6.0_f64);
    for _ in 0..SEARCH_STEPS {
        let middle = (low + high) / 2.0;
        match used_at(middle.exp()) <= slots {
            true => low = middle,
            false => high = middle,
        }
    }
    for ((offer, cost_s), share) in offers.iter().zip(&costs).zip(shares.iter_mut()) {
        if 0.0 < *cost_s {
            *share = share.min(offer.share_at(*cost_s, low.exp()));
        }
    }
}

#[cfg(test)]
mod tests;
