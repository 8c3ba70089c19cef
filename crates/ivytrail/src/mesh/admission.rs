//! Which root requests an entry lets in when a service further down is short of slots.
//!
//! A root that is let in and fails at its last call has wasted every slot below it. So roots are decided before they
//! use anything: the entry knows what a root of each route costs at every service ([`super::cost`]), how many roots the
//! whole fleet is offered, and the slots of each service. Where the offered slot time exceeds the slots, each route
//! gets the share that fits: of one rank, more is let in of what costs less there, and of more urgent ranks several times
//! as much. Every daemon computes the same shares from the same figures.
//!
//! Measured pressure on the slots trims what the figures say, since they lag and servers differ.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{
    cost::{CostModel, ServiceDemand},
    queue::QueueRank,
};
use crate::{
    id::{ContentDigest, InstanceName, RouteName, ServiceName},
    time::TimePoint,
};

/// Part of a service's slots that admitted roots may take on average; the rest absorbs clumps.
const TARGET_USE: f64 = 0.95;
/// Factor between the slot time that requests of one rank may use and that of the next.
const RANK_FACTOR: f64 = 6.0;
/// How much less of a costly route is let in than of a cheap one of its rank: 0 gives both the same share, 1 the same
/// slot time, which serves most requests and starves the costly route.
const COST_EXPONENT: f64 = 0.7;
/// Priority from which on all requests are equally little urgent.
const LEAST_URGENT: u8 = 6;
/// Time over which offered requests are averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(800);
/// Pressure above which fewer roots are let in than the figures allow.
const HIGH_PRESSURE: f64 = 0.08;
/// Part by which the trim shrinks in each step at full pressure.
const TRIM_DOWN: f64 = 0.15;
/// Part by which the trim grows in each step of low pressure while the slots bind.
const TRIM_UP: f64 = 0.01;
/// Part of its distance from 1 that the trim loses in each step while the slots don't bind.
const TRIM_DECAY: f64 = 0.05;
/// Bounds of the trim.
const TRIM_BOUNDS: (f64, f64) = (0.7, 1.6);
/// Time for which a refused request is known when it comes back.
const COMEBACK_LIFE: Duration = Duration::from_secs(4);
/// Refused requests that are known at once.
const MAX_COMEBACKS: usize = 8_192;
/// Part of the told time after which a request counts as having waited as told.
const PATIENCE_SHARE: f64 = 0.8;
/// Steps of the search for the slot time that fits.
const SEARCH_STEPS: usize = 24;
/// Least share of its requests that a route keeps, so that none starves.
const MIN_SHARE: f64 = 0.02;

/// Requests of one route and rank that a daemon is offered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteDemand {
    /// The route.
    pub route: RouteName,
    /// Rank of the requests.
    pub rank: u8,
    /// Requests a second.
    pub per_s: f64,
}

/// What is known of a service's slots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceSlots {
    /// Slots of all backend servers that take work.
    pub slots: f64,
    /// Mean pressure on them, from 0 to 1.
    pub pressure: f64,
}

type DemandKey = (RouteName, QueueRank);

/// Decides on root requests at one entry.
#[derive(Debug, Default)]
pub struct AdmissionController {
    own: HashMap<DemandKey, OfferedRate>,
    others: HashMap<InstanceName, Vec<RouteDemand>>,
    trims: HashMap<ServiceName, f64>,
    shares: HashMap<DemandKey, f64>,
    credits: HashMap<DemandKey, f64>,
    /// What was offered of each service's slots at the last computation.
    use_of: Vec<ServiceUse>,
    comebacks: HashMap<ContentDigest, TimePoint>,
    comeback_order: VecDeque<(TimePoint, ContentDigest)>,
}

/// Slot time that is offered to a service, and what there is of it.
#[derive(Clone, Debug, Display)]
#[display("{service}:offered={offered:.0}/slots={slots:.0}/pressure={pressure:.2}/trim={trim:.2}")]
struct ServiceUse {
    service: ServiceName,
    offered: f64,
    slots: f64,
    pressure: f64,
    trim: f64,
}

/// Requests a second, averaged.
#[derive(Clone, Copy, Debug, Default)]
struct OfferedRate {
    per_s: f64,
    n_new: f64,
}

impl AdmissionController {
    /// Decides on a root request. Returns whether it is let in.
    ///
    /// A request that was refused and comes back when it was told to goes before new ones; one that comes back sooner
    /// counts as new.
    pub fn admit(
        &mut self,
        now: TimePoint,
        route: &RouteName,
        rank: QueueRank,
        fingerprint: &ContentDigest,
    ) -> bool {
        let key = (route.clone(), rank);
        self.own.entry(key.clone()).or_default().n_new += 1.0;
        let has_waited = self.comebacks.remove(fingerprint).is_some_and(|due| due <= now);
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

    /// Remembers a refused request that was told to come back after `wait`.
    pub fn record_refusal(&mut self, now: TimePoint, fingerprint: ContentDigest, wait: Duration) {
        self.comebacks.insert(fingerprint, now.plus(wait.mul_f64(PATIENCE_SHARE)));
        self.comeback_order.push_back((now.plus(COMEBACK_LIFE), fingerprint));
        while let Some((expiry, fingerprint)) = self.comeback_order.front().copied() {
            if now < expiry && self.comeback_order.len() <= MAX_COMEBACKS {
                return;
            }
            self.comeback_order.pop_front();
            self.comebacks.remove(&fingerprint);
        }
    }

    /// Takes what another daemon is offered.
    pub fn record_demand(&mut self, instance: &InstanceName, demand: Vec<RouteDemand>) {
        self.others.insert(instance.clone(), demand);
    }

    /// Forgets what a daemon was offered that can't be reached any more.
    pub fn remove_daemon(&mut self, instance: &InstanceName) {
        self.others.remove(instance);
    }

    /// Returns what this daemon is offered, for the others.
    pub fn local_demand(&self) -> Vec<RouteDemand> {
        self.own
            .iter()
            .filter(|(_, rate)| 0.0 < rate.per_s)
            .map(|((route, rank), rate)| RouteDemand {
                route: route.clone(),
                rank: rank.0,
                per_s: rate.per_s,
            })
            .collect()
    }

    /// Returns one line that says which requests are let in in part and why, or `None` when all are let in.
    pub fn summary(&self) -> Option<String> {
        if self.shares.is_empty() {
            return None;
        }
        let shares =
            self.shares.iter().map(|((route, rank), share)| format!("{route}/{rank}={share:.3}"));
        Some(format!(
            "shares={} use={}",
            shares.collect::<Vec<_>>().join(","),
            self.use_of.iter().map(ToString::to_string).collect::<Vec<_>>().join(","),
        ))
    }

    /// Returns the share of a route's requests that is let in.
    pub fn admitted_share(&self, route: &RouteName, rank: QueueRank) -> f64 {
        self.shares.get(&(route.clone(), rank)).copied().unwrap_or(1.0)
    }

    /// Computes the shares anew; `elapsed` has passed since the last time.
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
        self.use_of.clear();
        for service in &services {
            let slots = slots_of(service);
            let offered = offers.iter().map(|it| it.per_s * it.cost_s(service)).sum();
            let trim = self.trims.entry(service.clone()).or_insert(1.0);
            *trim = next_trim(*trim, offered, &slots);
            self.use_of.push(ServiceUse {
                service: service.clone(),
                offered,
                slots: slots.slots,
                pressure: slots.pressure,
                trim: *trim,
            });
            fit_shares(&offers, service, slots.slots * TARGET_USE * *trim, &mut shares);
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
        for rate in self.own.values_mut() {
            rate.per_s += gain * (rate.n_new / elapsed_s - rate.per_s);
            rate.n_new = 0.0;
        }
        self.own.retain(|_, rate| 1e-3 < rate.per_s);
    }

    /// Returns what the whole fleet is offered, with what each request costs.
    fn all_offers(&self, costs: &CostModel) -> Vec<RouteOffer> {
        let mut total: HashMap<DemandKey, f64> = HashMap::new();
        for (key, rate) in &self.own {
            *total.entry(key.clone()).or_default() += rate.per_s;
        }
        for demand in self.others.values().flatten() {
            let key = (demand.route.clone(), QueueRank(demand.rank));
            *total.entry(key).or_default() += demand.per_s;
        }
        let mut offers: Vec<RouteOffer> = total
            .into_iter()
            .map(|(key, per_s)| RouteOffer { demand: costs.demand_of(&key.0), per_s, key })
            .collect();
        offers.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        offers
    }
}

/// Returns the trim after one more step. It moves while the slots bind and forgets what it has learned otherwise.
fn next_trim(trim: f64, offered: f64, slots: &ServiceSlots) -> f64 {
    let is_bound = slots.slots * TARGET_USE * trim < offered;
    let next = match slots.pressure {
        pressure if HIGH_PRESSURE < pressure => trim * (1.0 - TRIM_DOWN * pressure),
        _ if is_bound => trim * (1.0 + TRIM_UP),
        _ => trim + (1.0 - trim) * TRIM_DECAY,
    };
    next.clamp(TRIM_BOUNDS.0, TRIM_BOUNDS.1)
}

/// What the fleet is offered of one route and rank.
#[derive(Debug)]
struct RouteOffer {
    key: DemandKey,
    per_s: f64,
    /// What one request takes at each service.
    demand: HashMap<ServiceName, ServiceDemand>,
}

impl RouteOffer {
    /// Returns the slot time of one request at a service, in seconds.
    fn cost_s(&self, service: &ServiceName) -> f64 {
        self.demand.get(service).map_or(0.0, |it| it.slot_time_s)
    }

    /// Returns the share that is let in of requests that cost `cost_s` where those that cost `allowance_s` just get in.
    fn share_at(&self, cost_s: f64, allowance_s: f64) -> f64 {
        let (_, rank) = &self.key;
        let steps = i32::from(LEAST_URGENT.saturating_sub(rank.priority()));
        ((allowance_s / cost_s).powf(COST_EXPONENT) * RANK_FACTOR.powi(steps)).min(1.0)
    }
}

/// Lowers the shares so that the slot time at `service` fits into `slots`.
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
    // The allowance lies between amounts at which nothing and everything is let in.
    let (mut low, mut high) = (-18.0_f64, 6.0_f64);
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
