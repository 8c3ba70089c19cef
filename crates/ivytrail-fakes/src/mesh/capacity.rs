//! What the slots of a mesh could do for an offered load.

use std::collections::BTreeMap;

use ivytrail::settings::PriorityClass;

use super::{MeshPlan, RoutePlan, ServicePlan};

impl MeshPlan {
    /// Returns the requests per second that all slots together could answer whole when callers offer `factor` times
    /// the mesh's load, the most urgent routes served first.
    ///
    /// A request holds a slot for its own service time and for that of its nested calls. Nothing is taken off for
    /// queues, hops or chance, so that the figure is an upper bound.
    pub fn max_goodput_per_s(&self, factor: f64) -> f64 {
        let mut free_slots: BTreeMap<&str, f64> =
            self.services.iter().map(|it| (it.name.as_str(), it.total_slots())).collect();
        let mut routes: Vec<&RoutePlan> = self.routes.iter().collect();
        routes.sort_by_key(|route| route.priority);
        routes.iter().map(|route| self.serve(route, factor, &mut free_slots)).sum()
    }

    /// Returns the requests per second of the callers' mix that fit into the slots, with no route preferred.
    pub fn mix_capacity_per_s(&self) -> f64 {
        let used = self.routes.iter().fold(BTreeMap::new(), |mut used, route| {
            for (service, hold_s) in self.holds(&route.service) {
                *used.entry(service).or_insert(0.0) += hold_s * route.offered_per_s;
            }
            used
        });
        let fits = |service: &ServicePlan| match used.get(&service.name) {
            Some(busy) if 0.0 < *busy => service.total_slots() / busy,
            _ => f64::INFINITY,
        };
        self.services.iter().map(fits).fold(f64::INFINITY, f64::min) * self.offered_per_s()
    }

    fn serve(&self, route: &RoutePlan, factor: f64, free: &mut BTreeMap<&str, f64>) -> f64 {
        let holds = self.holds(&route.service);
        let fits = |(service, hold_s): (&String, &f64)| {
            free.get(service.as_str()).map_or(0.0, |slots| slots / hold_s)
        };
        let most = holds.iter().map(fits).fold(f64::INFINITY, f64::min);
        let served = most.min(route.offered_per_s * factor);
        for (service, hold_s) in &holds {
            if let Some(slots) = free.get_mut(service.as_str()) {
                *slots -= served * hold_s;
            }
        }
        served
    }

    /// Returns the seconds for which a request to `service` holds slots, by service.
    fn holds(&self, service: &str) -> BTreeMap<String, f64> {
        let Some(plan) = self.service(service) else { return BTreeMap::new() };
        let mut holds = BTreeMap::new();
        let mut own_s = plan.service_time_ms as f64 / 1_000.0;
        for call in &plan.nested_calls {
            let target =
                self.routes.iter().find(|it| it.method == call.method && it.path == call.path);
            let Some(target) = target else { continue };
            let nested = self.holds(&target.service);
            own_s += nested.get(&target.service).copied().unwrap_or(0.0);
            for (name, hold_s) in nested {
                *holds.entry(name).or_insert(0.0) += hold_s;
            }
        }
        *holds.entry(service.to_string()).or_insert(0.0) += own_s;
        holds
    }
}

impl ServicePlan {
    fn total_slots(&self) -> f64 {
        f64::from(self.slots) * self.n_upstreams as f64
    }
}

impl RoutePlan {
    /// Returns whether the route is shed last.
    pub fn is_critical(&self) -> bool {
        self.priority == PriorityClass::Critical
    }
}
