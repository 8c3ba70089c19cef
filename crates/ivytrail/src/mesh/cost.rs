//! What one request of a route costs at each service, its nested calls included.
//!
//! Each guard learns, for the routes that its backend server runs, how long a run holds a slot and how many calls of
//! which routes it makes. Daemons tell each other; with all reports a daemon follows the calls of a route down to its
//! leaves and adds up the slot time that one root request takes at every service.

use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::budget::ServiceArrivals;
use crate::id::{InstanceName, RouteName, ServiceName};

/// Weight of the newest run in what is learned of a route.
const RUN_GAIN: f64 = 0.03;
/// Deepest chain of calls that is followed.
const MAX_DEPTH: usize = 20;
/// Least number of calls for each run that is reported.
const MIN_RATIO: f64 = 0.01;

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
    /// Runs behind these figures, up to a bound; older ones count less.
    pub n_runs: f64,
}

/// Runs after which all that is known of a route counts as much as the sum of what came before.
const MAX_RUNS: f64 = 200.0;

/// What a guard learns of the routes that its own backend server runs.
#[derive(Debug, Default)]
pub struct CostLearner {
    costs: HashMap<RouteName, RouteCost>,
}

impl CostLearner {
    /// Records a run that ended whole: how long it held a slot and the calls that it made.
    pub fn note_run(
        &mut self,
        route: &RouteName,
        service: &ServiceName,
        hold_s: f64,
        calls: &[(RouteName, u32)],
    ) {
        let cost = self.costs.entry(route.clone()).or_insert_with(|| RouteCost {
            route: route.clone(),
            service: service.clone(),
            hold_s,
            calls: Vec::new(),
            n_runs: 0.0,
        });
        if cost.service != *service {
            *cost = RouteCost {
                service: service.clone(),
                calls: Vec::new(),
                n_runs: 0.0,
                ..cost.clone()
            };
        }
        cost.n_runs = (cost.n_runs + 1.0).min(MAX_RUNS);
        // The first runs are averaged, later ones fade in.
        let gain = (1.0 / cost.n_runs).max(RUN_GAIN);
        cost.hold_s += gain * (hold_s - cost.hold_s);
        for (callee, n_calls) in calls {
            if !cost.calls.iter().any(|(it, _)| it == callee) {
                // A call that the earlier runs did not make.
                cost.calls.push((
                    callee.clone(),
                    if cost.n_runs <= 1.0 { f64::from(*n_calls) } else { 0.0 },
                ));
            }
        }
        for (callee, ratio) in &mut cost.calls {
            let n_calls = calls.iter().find(|(it, _)| it == callee).map_or(0, |(_, n)| *n);
            *ratio += gain * (f64::from(n_calls) - *ratio);
        }
    }

    /// Returns what is known, for other daemons.
    pub fn report(&self) -> Vec<RouteCost> {
        let mut costs: Vec<RouteCost> = self.costs.values().cloned().collect();
        for cost in &mut costs {
            cost.calls.retain(|(_, ratio)| MIN_RATIO <= *ratio);
        }
        costs
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
pub struct CostBook {
    reports: HashMap<RouteName, HashMap<InstanceName, RouteCost>>,
    /// Arrivals by route, as far as they were asked for since the last report.
    arrivals: HashMap<RouteName, Arc<ServiceArrivals>>,
}

impl CostBook {
    /// Takes a daemon's report in place of its earlier one.
    pub fn note_report(&mut self, instance: &InstanceName, costs: Vec<RouteCost>) {
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

    /// Returns the requests that one request of `route` brings to each service.
    pub fn arrivals_of(&mut self, route: &RouteName) -> Arc<ServiceArrivals> {
        if let Some(arrivals) = self.arrivals.get(route) {
            return Arc::clone(arrivals);
        }
        let demand = self.demand_of(route).into_iter();
        let arrivals: Arc<ServiceArrivals> =
            Arc::new(demand.map(|(service, it)| (service, it.n_arrivals)).collect());
        self.arrivals.insert(route.clone(), Arc::clone(&arrivals));
        arrivals
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
        let Some(reports) = self.reports.get(route) else { return };
        let n_runs: f64 = reports.values().map(|it| it.n_runs).sum();
        if n_runs <= 0.0 || depth == 0 {
            return;
        }
        let mut calls: HashMap<&RouteName, f64> = HashMap::new();
        for cost in reports.values() {
            let share = n_requests * cost.n_runs / n_runs;
            let demand = total.entry(cost.service.clone()).or_default();
            demand.n_arrivals += share;
            demand.slot_time_s += share * cost.hold_s;
            for (callee, ratio) in &cost.calls {
                *calls.entry(callee).or_default() += share * ratio;
            }
        }
        for (callee, n_calls) in calls {
            self.add_demand(callee, n_calls, depth - 1, total);
        }
    }
}

#[cfg(test)]
mod tests;
