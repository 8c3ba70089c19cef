//! Cost of a request of each route at every service, including its nested calls.
//!
//! For the routes that its backend server runs, each guard measures how long a run holds a slot and how many calls of
//! each other route it makes. Daemons exchange these reports. From all reports, a daemon follows the calls of a route
//! down to the leaves of the call graph and sums up the slot time that one root request takes at every service.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

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

impl RouteCost {
    /// Returns whether all numbers are finite and none is negative.
    fn is_valid(&self) -> bool {
        let ratios = self.calls.iter().map(|(_, ratio)| *ratio);
        ratios.chain([self.hold_s, self.runs_per_s]).all(|it| it.is_finite() && 0.0 <= it)
    }
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

    /// Returns the mean time for which a run of `route` holds a slot of the local backend server, or `None` before the
    /// first run has completed.
    pub fn mean_hold_time(&self, route: &RouteName) -> Option<Duration> {
        let estimate = self.estimates.get(route)?;
        Duration::try_from_secs_f64(estimate.cost.hold_s).ok()
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

/// Cost of one request at each service that it reaches.
pub type ServiceDemands = HashMap<ServiceName, ServiceDemand>;

/// Costs of all routes, combined from the reports of all daemons.
///
/// The demand of a route is the cost of its own run plus the demand of the routes that it calls. It is computed for all
/// routes together, one level of calls at a time, so that the time it takes grows with the number of calls in the graph
/// and with its depth, and not with the number of paths through it. Reports only mark the demands as outdated:
/// [`CostModel::update_demands`] bounds how often they are computed, however many daemons report.
#[derive(Debug, Default)]
pub struct CostModel {
    reports: HashMap<RouteName, HashMap<InstanceName, RouteCost>>,
    /// Demand of one request of each route, as of the last update.
    demands: HashMap<RouteName, ServiceDemands>,
    is_outdated: bool,
}

impl CostModel {
    /// Replaces the report of a daemon. Costs that are no finite numbers, or are negative, are ignored.
    pub fn record_report(&mut self, instance: &InstanceName, costs: Vec<RouteCost>) {
        for reports in self.reports.values_mut() {
            reports.remove(instance);
        }
        for cost in costs.into_iter().filter(RouteCost::is_valid) {
            let reports = self.reports.entry(cost.route.clone()).or_default();
            reports.insert(instance.clone(), cost);
        }
        self.reports.retain(|_, reports| !reports.is_empty());
        self.is_outdated = true;
    }

    /// Computes the demands of all routes anew if reports have arrived since the last update.
    pub fn update_demands(&mut self) {
        if std::mem::take(&mut self.is_outdated) {
            self.demands = CallGraph::new(&self.reports).demands();
        }
    }

    /// Returns the number of arrivals that one request of `route` causes at each service other than `called_service`,
    /// which runs the request itself, as of the last update.
    pub fn nested_arrivals(
        &self,
        route: &RouteName,
        called_service: &ServiceName,
    ) -> impl Iterator<Item = (&ServiceName, f64)> {
        let demands = self.demands.get(route).into_iter().flatten();
        demands
            .filter(move |(service, _)| *service != called_service)
            .map(|(service, demand)| (service, demand.n_arrivals))
    }

    /// Returns the cost of one request of `route` at each service as of the last update, or `None` if no daemon has
    /// reported the route.
    pub fn demand_of(&self, route: &RouteName) -> Option<&ServiceDemands> {
        self.demands.get(route)
    }
}

/// Routes, their mean costs and the calls between them.
#[derive(Debug)]
struct CallGraph<'r> {
    services: Vec<&'r ServiceName>,
    routes: Vec<RouteNode<'r>>,
}

/// Mean cost of one request of a route, and the calls that it makes.
#[derive(Debug)]
struct RouteNode<'r> {
    name: &'r RouteName,
    /// Cost of the route's own run at each service of the graph.
    own: Vec<ServiceDemand>,
    /// Index of each called route, with the number of calls.
    calls: Vec<(usize, f64)>,
}

impl<'r> CallGraph<'r> {
    fn new(reports: &'r HashMap<RouteName, HashMap<InstanceName, RouteCost>>) -> CallGraph<'r> {
        let all_costs = reports.values().flat_map(HashMap::values);
        let mut services: Vec<&ServiceName> = all_costs.map(|it| &it.service).collect();
        services.sort_unstable();
        services.dedup();
        let indices: HashMap<&RouteName, usize> =
            reports.keys().enumerate().map(|(idx, name)| (name, idx)).collect();
        let routes = reports
            .iter()
            .map(|(name, reports)| RouteNode::new(name, reports, &indices, &services))
            .collect();
        CallGraph { services, routes }
    }

    /// Returns the demand of one request of each route, with calls up to [`MAX_DEPTH`] levels deep.
    fn demands(&self) -> HashMap<RouteName, ServiceDemands> {
        let mut demands =
            vec![vec![ServiceDemand::default(); self.services.len()]; self.routes.len()];
        for _ in 0..MAX_DEPTH {
            let deeper: Vec<_> = self.routes.iter().map(|it| it.demand(&demands)).collect();
            let is_complete = deeper == demands;
            demands = deeper;
            // Without a cycle of calls, nothing is added below the deepest level.
            if is_complete {
                break;
            }
        }
        let names = self.routes.iter().map(|it| it.name.clone());
        names.zip(demands.iter().map(|demands| self.by_service(demands))).collect()
    }

    /// Returns the demands of a route by the names of the services, without those that are zero.
    fn by_service(&self, demands: &[ServiceDemand]) -> ServiceDemands {
        let named = self.services.iter().zip(demands);
        named
            .filter(|(_, demand)| **demand != ServiceDemand::default())
            .map(|(service, demand)| ((*service).clone(), *demand))
            .collect()
    }
}

impl<'r> RouteNode<'r> {
    /// Averages the reports of one route. Calls of routes that no daemon has reported are left out.
    fn new(
        name: &'r RouteName,
        reports: &HashMap<InstanceName, RouteCost>,
        indices: &HashMap<&RouteName, usize>,
        services: &[&ServiceName],
    ) -> RouteNode<'r> {
        let runs_per_s: f64 = reports.values().map(|it| it.runs_per_s).sum();
        let mut own = vec![ServiceDemand::default(); services.len()];
        let mut calls: HashMap<usize, f64> = HashMap::new();
        let mut holds: HashMap<usize, HarmonicMean> = HashMap::new();
        for cost in reports.values() {
            let share = cost.runs_per_s / runs_per_s.max(f64::MIN_POSITIVE);
            if let Ok(service) = services.binary_search(&&cost.service) {
                own[service].n_arrivals += share;
                holds.entry(service).or_default().add(cost.hold_s, share);
            }
            for (callee, ratio) in &cost.calls {
                if let Some(callee) = indices.get(callee) {
                    *calls.entry(*callee).or_default() += share * ratio;
                }
            }
        }
        for (service, mean) in holds {
            own[service].slot_time_s += mean.slot_time_s();
        }
        RouteNode { name, own, calls: calls.into_iter().collect() }
    }

    /// Returns the cost of the route's own run and of its calls, given the demand of one request of each route.
    fn demand(&self, demands: &[Vec<ServiceDemand>]) -> Vec<ServiceDemand> {
        let mut total = self.own.clone();
        for (callee, n_calls) in &self.calls {
            for (sum, demand) in total.iter_mut().zip(&demands[*callee]) {
                sum.n_arrivals += n_calls * demand.n_arrivals;
                sum.slot_time_s += n_calls * demand.slot_time_s;
            }
        }
        total
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
