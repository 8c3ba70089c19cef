//! What one request of a route costs at each service, its nested calls included.
//!
//! Each guard learns, for the routes that its backend server runs, how long a run holds a slot and how many calls of
//! which routes it makes. Daemons tell each other; with all reports a daemon follows the calls of a route down to its
//! leaves and adds up the slot time that one root request takes at every service.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::retry_budget::ServiceArrivals;
use crate::{
    id::{InstanceName, RouteName, ServiceName},
    time::TimePoint,
};

/// Weight of the newest run in what is learned of a route.
const RUN_GAIN: f64 = 0.03;
/// Deepest chain of calls that is followed.
const MAX_DEPTH: usize = 20;
/// Least number of calls for each run that is reported.
const MIN_RATIO: f64 = 0.01;
/// Time over which the runs a second are averaged.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Least runs a second that are reported of a known route.
const MIN_RUNS_PER_S: f64 = 1e-3;
/// Least time between two reports that their rates are computed for, in seconds.
const MIN_REPORT_SPAN_S: f64 = 1e-2;
/// Least time that a run counts as holding a slot, in seconds.
const MIN_HOLD_S: f64 = 1e-4;

/// What a guard has learned of one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteCost {
    /// The route.
    pub route: RouteName,
    /// Service that runs it.
    pub service: ServiceName,
    /// Time that a run holds a slot, in seconds.
    pub hold_s: f64,
    /// Calls that a run makes, by the route of the call.
    pub calls: Vec<(RouteName, f64)>,
    /// Recent runs a second; never zero, so that an idle route keeps its cost.
    pub runs_per_s: f64,
}

/// What a guard learns of the routes that its own backend server runs.
#[derive(Debug, Default)]
pub struct CostEstimator {
    costs: HashMap<RouteName, LearnedCost>,
    reported_at: TimePoint,
}

/// A route's cost with what its averages need.
#[derive(Debug)]
struct LearnedCost {
    cost: RouteCost,
    n_runs: u64,
    n_unreported: u64,
}

impl CostEstimator {
    /// Records a run that ended whole: how long it held a slot and the calls that it made.
    pub fn record_run(
        &mut self,
        route: &RouteName,
        service: &ServiceName,
        hold_s: f64,
        calls: &[(RouteName, u32)],
    ) {
        let first = || LearnedCost::new(route.clone(), service.clone(), hold_s);
        let learned = self.costs.entry(route.clone()).or_insert_with(first);
        if learned.cost.service != *service {
            *learned = first();
        }
        learned.record_run(hold_s, calls);
    }

    /// Returns what is known, for other daemons.
    pub fn report(&mut self, now: TimePoint) -> Vec<RouteCost> {
        let elapsed_s = now.since(self.reported_at).as_secs_f64().max(MIN_REPORT_SPAN_S);
        self.reported_at = now;
        self.costs.values_mut().map(|learned| learned.report(elapsed_s)).collect()
    }
}

impl LearnedCost {
    fn new(route: RouteName, service: ServiceName, hold_s: f64) -> LearnedCost {
        let cost =
            RouteCost { route, service, hold_s, calls: Vec::new(), runs_per_s: MIN_RUNS_PER_S };
        LearnedCost { cost, n_runs: 0, n_unreported: 0 }
    }

    fn record_run(&mut self, hold_s: f64, calls: &[(RouteName, u32)]) {
        let cost = &mut self.cost;
        self.n_runs += 1;
        self.n_unreported += 1;
        // The first runs are averaged, later ones fade in.
        let gain = (1.0 / self.n_runs as f64).max(RUN_GAIN);
        cost.hold_s += gain * (hold_s - cost.hold_s);
        for (callee, n_calls) in calls {
            if !cost.calls.iter().any(|(it, _)| it == callee) {
                // A call that the earlier runs did not make.
                let ratio = if self.n_runs == 1 { f64::from(*n_calls) } else { 0.0 };
                cost.calls.push((callee.clone(), ratio));
            }
        }
        for (callee, ratio) in &mut cost.calls {
            let n_calls = calls.iter().find(|(it, _)| it == callee).map_or(0, |(_, n)| *n);
            *ratio += gain * (f64::from(n_calls) - *ratio);
        }
    }

    fn report(&mut self, elapsed_s: f64) -> RouteCost {
        let gain = 1.0 - (-elapsed_s / RATE_WINDOW.as_secs_f64()).exp();
        let sample = std::mem::take(&mut self.n_unreported) as f64 / elapsed_s;
        let rate = self.cost.runs_per_s + gain * (sample - self.cost.runs_per_s);
        self.cost.runs_per_s = rate.max(MIN_RUNS_PER_S);
        let mut report = self.cost.clone();
        report.calls.retain(|(_, ratio)| MIN_RATIO <= *ratio);
        report
    }
}

/// What one request of a route takes at a service, its nested calls included.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// Requests that arrive there.
    pub n_arrivals: f64,
    /// Time that they hold slots, in seconds.
    pub slot_time_s: f64,
}

/// The reports of all daemons.
#[derive(Debug, Default)]
pub struct CostModel {
    reports: HashMap<RouteName, HashMap<InstanceName, RouteCost>>,
    /// Arrivals by route, as far as they were asked for since the last report.
    arrivals: HashMap<RouteName, ServiceArrivals>,
}

impl CostModel {
    /// Takes a daemon's report in place of its earlier one.
    pub fn record_report(&mut self, instance: &InstanceName, costs: Vec<RouteCost>) {
        for reports in self.reports.values_mut() {
            reports.remove(instance);
        }
        for cost in costs {
            let reports = self.reports.entry(cost.route.clone()).or_default();
            reports.insert(instance.clone(), cost);
        }
        self.reports.retain(|_, reports| !reports.is_empty());
        self.arrivals.clear();
    }

    /// Returns the requests that the calls of one request of `route` bring to services other than `own`.
    pub fn nested_arrivals(
        &mut self,
        route: &RouteName,
        own: &ServiceName,
    ) -> impl Iterator<Item = &(ServiceName, f64)> {
        if !self.arrivals.contains_key(route) {
            let demand = self.demand_of(route).into_iter();
            let arrivals = demand.map(|(service, it)| (service, it.n_arrivals)).collect();
            self.arrivals.insert(route.clone(), arrivals);
        }
        self.arrivals[route].iter().filter(move |(service, _)| service != own)
    }

    /// Returns what a request of `route` takes at each service.
    pub fn demand_of(&self, route: &RouteName) -> HashMap<ServiceName, ServiceDemand> {
        let mut total = HashMap::new();
        self.add_demand(route, 1.0, MAX_DEPTH, &mut total);
        total
    }

    fn add_demand(
        &self,
        route: &RouteName,
        n_requests: f64,
        depth: usize,
        total: &mut HashMap<ServiceName, ServiceDemand>,
    ) {
        let Some(reports) = self.reports.get(route).filter(|_| 0 < depth) else { return };
        let runs_per_s: f64 = reports.values().map(|it| it.runs_per_s).sum();
        let mut calls: HashMap<&RouteName, f64> = HashMap::new();
        let mut holds: HashMap<&ServiceName, HarmonicMean> = HashMap::new();
        for cost in reports.values() {
            let share = n_requests * cost.runs_per_s / runs_per_s;
            total.entry(cost.service.clone()).or_default().n_arrivals += share;
            holds.entry(&cost.service).or_default().add(cost.hold_s, share);
            for (callee, ratio) in &cost.calls {
                *calls.entry(callee).or_default() += share * ratio;
            }
        }
        for (service, mean) in holds {
            total.entry(service.clone()).or_default().slot_time_s += mean.slot_time_s();
        }
        for (callee, n_calls) in calls {
            self.add_demand(callee, n_calls, depth - 1, total);
        }
    }
}

/// Time for which a route holds a slot of a service whose servers differ in speed.
///
/// While a slow server ends one run, a fast one of as many slots ends several. The service as a whole ends as many runs
/// as if each took the harmonic mean of the servers' times, however the runs were spread so far.
#[derive(Debug, Default)]
struct HarmonicMean {
    n_servers: f64,
    runs_per_slot_s: f64,
    n_requests: f64,
}

impl HarmonicMean {
    fn add(&mut self, hold_s: f64, n_requests: f64) {
        self.n_servers += 1.0;
        self.runs_per_slot_s += 1.0 / hold_s.max(MIN_HOLD_S);
        self.n_requests += n_requests;
    }

    /// Returns the slot time that the requests take, in seconds.
    fn slot_time_s(&self) -> f64 {
        self.n_requests * self.n_servers / self.runs_per_slot_s.max(f64::MIN_POSITIVE)
    }
}

#[cfg(test)]
mod tests;
