//! Cost of a request of each route at every service, including its nested calls.
//!
//! For the routes that its backend server runs, each guard measures how long a run holds a slot and how many calls of
//! each other route it makes. Daemons exchange these reports. From all reports, a daemon follows the calls of a route
//! down to the leaves of the call graph and sums up the slot time that one root request takes at every service.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::retry_budget::ServiceArrivals;
use crate::{
    id::{InstanceName, RouteName, ServiceName},
    time::TimePoint,
};

/// Weight of the newest run in the averages of a route.
const RUN_GAIN: f64 = 0.03;
/// Maximum depth to which nested calls are followed.
const MAX_DEPTH: usize = 20;
/// Smallest number of calls per run that is reported.
const MIN_CALLS_PER_RUN: f64 = 0.01;
/// Time constant of the moving average of the runs per second.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Smallest number of runs per second reported for a known route.
const MIN_RUNS_PER_S: f64 = 1e-3;
/// Lower bound on the time between two reports in the computation of rates, in seconds.
const MIN_REPORT_INTERVAL_S: f64 = 1e-2;
/// Number of runs after which the first cost of a route is reported without waiting for the next regular report.
const FIRST_REPORT_RUNS: u64 = 3;
/// Lower bound on the time for which a run holds a slot, in seconds.
const MIN_HOLD_S: f64 = 1e-4;

/// Average cost of one route at one backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteCost {
    /// Route of the runs.
    pub route: RouteName,
    /// Service that runs the route.
    pub service: ServiceName,
    /// Time for which a run holds a slot, in seconds.
    pub hold_s: f64,
    /// Number of calls that a run makes, by the route of the call.
    pub calls: Vec<(RouteName, f64)>,
    /// Recent runs per second; never zero, so that an idle route keeps its cost.
    pub runs_per_s: f64,
}

/// Measures the cost of the routes that the local backend server runs.
#[derive(Debug, Default)]
pub struct CostEstimator {
    estimates: HashMap<RouteName, RouteEstimate>,
    reported_at: TimePoint,
}

/// Average cost of a route, with the counters behind the averages.
#[derive(Debug)]
struct RouteEstimate {
    cost: RouteCost,
    n_runs: u64,
    n_unreported: u64,
    /// Whether a cost based on [`FIRST_REPORT_RUNS`] runs was reported.
    is_reported: bool,
}

impl CostEstimator {
    /// Records a completed run: the time for which it held a slot, in seconds, and the number of calls by route.
    pub fn record_run(
        &mut self,
        route: &RouteName,
        service: &ServiceName,
        hold_s: f64,
        calls: &[(RouteName, u32)],
    ) {
        let first = || RouteEstimate::new(route.clone(), service.clone(), hold_s);
        let estimate = self.estimates.entry(route.clone()).or_insert_with(first);
        if estimate.cost.service != *service {
            *estimate = first();
        }
        estimate.record_run(hold_s, calls);
    }

    /// Returns whether a route has a first cost that should be reported now. After a start of the whole fleet, no daemon
    /// can refuse what it can't serve before it knows the costs.
    pub fn has_first_cost(&self) -> bool {
        self.estimates.values().any(RouteEstimate::is_first_due)
    }

    /// Returns the costs of all known routes as last reported, for a daemon that has just connected.
    pub fn known_costs(&self) -> Vec<RouteCost> {
        let reported = self.estimates.values().filter(|it| it.is_reported);
        reported.map(|it| it.cost.clone()).collect()
    }

    /// Returns the costs of all known routes, to be reported to other daemons.
    pub fn report(&mut self, now: TimePoint) -> Vec<RouteCost> {
        let elapsed_s = now.since(self.reported_at).as_secs_f64().max(MIN_REPORT_INTERVAL_S);
        self.reported_at = now;
        self.estimates.values_mut().map(|estimate| estimate.report(elapsed_s)).collect()
    }
}

impl RouteEstimate {
    fn new(route: RouteName, service: ServiceName, hold_s: f64) -> RouteEstimate {
        let cost =
            RouteCost { route, service, hold_s, calls: Vec::new(), runs_per_s: MIN_RUNS_PER_S };
        RouteEstimate { cost, n_runs: 0, n_unreported: 0, is_reported: false }
    }

    fn is_first_due(&self) -> bool {
        !self.is_reported && FIRST_REPORT_RUNS <= self.n_runs
    }

    fn record_run(&mut self, hold_s: f64, calls: &[(RouteName, u32)]) {
        let cost = &mut self.cost;
        self.n_runs += 1;
        self.n_unreported += 1;
        // A plain mean over the first runs, an exponential moving average after that.
        let gain = (1.0 / self.n_runs as f64).max(RUN_GAIN);
        cost.hold_s += gain * (hold_s - cost.hold_s);
        for (callee, n_calls) in calls {
            if !cost.calls.iter().any(|(it, _)| it == callee) {
                // Earlier runs, if any, did not make this call.
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
        self.is_reported |= FIRST_REPORT_RUNS <= self.n_runs;
        let gain = 1.0 - (-elapsed_s / RATE_WINDOW.as_secs_f64()).exp();
        let sample = std::mem::take(&mut self.n_unreported) as f64 / elapsed_s;
        let rate = self.cost.runs_per_s + gain * (sample - self.cost.runs_per_s);
        self.cost.runs_per_s = rate.max(MIN_RUNS_PER_S);
        let mut report = self.cost.clone();
        report.calls.retain(|(_, ratio)| MIN_CALLS_PER_RUN <= *ratio);
        report
    }
}

/// Cost of one request of a route at one service, including nested calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// Requests that arrive at the service.
    pub n_arrivals: f64,
    /// Time for which they hold slots, in seconds.
    pub slot_time_s: f64,
}

/// Costs of all routes, combined from the reports of all daemons.
#[derive(Debug, Default)]
pub struct CostModel {
    reports: HashMap<RouteName, HashMap<InstanceName, RouteCost>>,
    /// Cached arrivals by route; each report clears them.
    arrivals: HashMap<RouteName, ServiceArrivals>,
}

impl CostModel {
    /// Replaces the report of a daemon.
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

    /// Returns the number of arrivals that one request of `route` causes at each service other than `called_service`,
    /// which runs the request itself.
    pub fn nested_arrivals(
        &mut self,
        route: &RouteName,
        called_service: &ServiceName,
    ) -> impl Iterator<Item = &(ServiceName, f64)> {
        if !self.arrivals.contains_key(route) {
            let demand = self.demand_of(route).into_iter();
            let arrivals = demand.map(|(service, it)| (service, it.n_arrivals)).collect();
            self.arrivals.insert(route.clone(), arrivals);
        }
        self.arrivals[route].iter().filter(move |(service, _)| service != called_service)
    }

    /// Returns the cost of one request of `route` at each service.
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

/// Harmonic mean of the times for which runs of a route hold a slot, over servers of different speed.
///
/// While a slow server completes one run, a fast server with the same number of slots completes several. The throughput
/// of the service is the same as if each run took the harmonic mean of the servers' times, however the runs have been
/// distributed so far.
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
