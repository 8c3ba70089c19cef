//! Capacity of a mesh, computed from its slots and service times.

use std::collections::BTreeMap;

use ivytrail::settings::PriorityClass;

use super::{MeshPlan, RoutePlan, ServicePlan};

impl MeshPlan {
    /// Returns the maximum goodput in requests per second at `load_factor` times the offered load, when slots are
    /// allocated to routes in priority order.
    ///
    /// A request occupies a slot for its own service time and that of its nested calls. Queueing, network hops and
    /// random variation are not subtracted, so the result is an upper bound.
    pub fn max_goodput_per_s(&self, load_factor: f64) -> f64 {
        let mut free_slots: BTreeMap<&str, f64> = self
            .services
            .iter()
            .map(|service| (service.name.as_str(), service.total_slots()))
            .collect();
        let mut routes: Vec<&RoutePlan> = self.routes.iter().collect();
        routes.sort_by_key(|route| route.priority);
        routes.iter().map(|route| self.allocate_slots(route, load_factor, &mut free_slots)).sum()
    }

    /// Returns the highest request rate, per second, at which the slots can serve all routes in the proportions of the
    /// offered load.
    pub fn mix_capacity_per_s(&self) -> f64 {
        let busy_slots = self.routes.iter().fold(BTreeMap::new(), |mut busy_slots, route| {
            for (service, slot_time_s) in self.slot_times(&route.service) {
                *busy_slots.entry(service).or_insert(0.0) += slot_time_s * route.offered_per_s;
            }
            busy_slots
        });
        let max_load_factor = |service: &ServicePlan| match busy_slots.get(&service.name) {
            Some(busy) if 0.0 < *busy => service.total_slots() / busy,
            _ => f64::INFINITY,
        };
        self.services.iter().map(max_load_factor).fold(f64::INFINITY, f64::min)
            * self.offered_per_s()
    }

    /// Removes the slots for the load of `route` from `free_slots` and returns the requests per second that fit.
    fn allocate_slots(
        &self,
        route: &RoutePlan,
        load_factor: f64,
        free_slots: &mut BTreeMap<&str, f64>,
    ) -> f64 {
        let slot_times = self.slot_times(&route.service);
        let service_limit = |(service, slot_time_s): (&String, &f64)| {
            free_slots.get(service.as_str()).map_or(0.0, |slots| slots / slot_time_s)
        };
        let max_per_s = slot_times.iter().map(service_limit).fold(f64::INFINITY, f64::min);
        let served_per_s = max_per_s.min(route.offered_per_s * load_factor);
        for (service, slot_time_s) in &slot_times {
            if let Some(slots) = free_slots.get_mut(service.as_str()) {
                *slots -= served_per_s * slot_time_s;
            }
        }
        served_per_s
    }

    /// Returns the time in seconds for which one request to `service` occupies slots, by service.
    fn slot_times(&self, service: &str) -> BTreeMap<String, f64> {
        let Some(plan) = self.service(service) else { return BTreeMap::new() };
        let mut slot_times = BTreeMap::new();
        let mut local_s = plan.service_time_ms as f64 / 1_000.0;
        for call in &plan.nested_calls {
            let target = self
                .routes
                .iter()
                .find(|route| route.method == call.method && route.path == call.path);
            let Some(target) = target else { continue };
            let nested = self.slot_times(&target.service);
            local_s += nested.get(&target.service).copied().unwrap_or(0.0);
            for (name, slot_time_s) in nested {
                *slot_times.entry(name).or_insert(0.0) += slot_time_s;
            }
        }
        *slot_times.entry(service.to_string()).or_insert(0.0) += local_s;
        slot_times
    }
}

impl ServicePlan {
    fn total_slots(&self) -> f64 {
        f64::from(self.slots) * self.n_upstreams as f64
    }
}

impl RoutePlan {
    /// Returns whether the route has critical priority, which is shed last.
    pub fn is_critical(&self) -> bool {
        self.priority == PriorityClass::Critical
    }
}
