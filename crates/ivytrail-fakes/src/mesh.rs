//! Plans of service meshes for the demo, the benches and the process tests.
//!
//! A plan defines the services and their nested calls, the routes and client accounts that the team declares, and the
//! load that callers offer.

mod capacity;
mod topologies;

use std::collections::BTreeMap;

use ivytrail::settings::{ClientAccount, PriorityClass, RoutePolicy, ServicePolicy, TeamSubtree};

pub use self::topologies::{chain, pair, stratolift, teigwerk};
use crate::{
    backend::NestedCall,
    caller::{AccountLoad, CallKind, RetryMode},
};

/// Definition of a mesh: services, routes, client accounts and offered load.
#[derive(Clone, Debug)]
pub struct MeshPlan {
    /// Team that owns the settings of the mesh.
    pub team: String,
    /// Failure domains, to which the upstreams of a service are assigned round-robin.
    pub domains: Vec<String>,
    /// Services, each with its upstreams.
    pub services: Vec<ServicePlan>,
    /// Routes of callers and of nested calls.
    pub routes: Vec<RoutePlan>,
    /// Client accounts, which share the offered load.
    pub accounts: Vec<AccountPlan>,
}

/// Service and its upstreams.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Service name.
    pub name: String,
    /// Number of upstreams, each with its own daemon.
    pub n_upstreams: usize,
    /// Concurrent requests that each upstream runs at full speed.
    pub slots: u32,
    /// Mean service time in milliseconds, without nested calls.
    pub service_time_ms: u64,
    /// Nested calls that each request makes, in order.
    pub nested_calls: Vec<NestedCall>,
}

/// Route and its offered load.
#[derive(Clone, Debug)]
pub struct RoutePlan {
    /// Route name.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Request path.
    pub path: String,
    /// Service that runs the requests.
    pub service: String,
    /// Priority class, which decides what is shed first under overload.
    pub priority: PriorityClass,
    /// Whether requests are idempotent.
    pub idempotent: bool,
    /// Deadline of a request including its nested calls, in milliseconds.
    pub deadline_ms: u64,
    /// Load that callers offer, in requests per second at a load factor of 1; 0 for a route used only by nested calls.
    pub offered_per_s: f64,
}

/// Client account and its share of the offered load.
#[derive(Clone, Debug)]
pub struct AccountPlan {
    /// Account name.
    pub name: String,
    /// Share of the total offered load, from 0 to 1.
    pub share: f64,
    /// Rate limit, as a multiple of the account's offered load at a load factor of 1.
    pub rate_multiple: f64,
}

impl MeshPlan {
    /// Returns the total offered load in requests per second, at a load factor of 1.
    pub fn offered_per_s(&self) -> f64 {
        self.routes.iter().map(|route| route.offered_per_s).sum()
    }

    /// Returns the settings subtree that the team declares.
    pub fn subtree(&self) -> TeamSubtree {
        TeamSubtree {
            accounts: self
                .accounts
                .iter()
                .map(|account| (account.name.as_str().into(), self.account_settings(account)))
                .collect(),
            routes: self
                .routes
                .iter()
                .map(|route| (route.name.as_str().into(), route.policy()))
                .collect(),
            services: self
                .services
                .iter()
                .map(|service| {
                    (
                        service.name.as_str().into(),
                        ServicePolicy { max_concurrency: None, max_queue_ms: 100 },
                    )
                })
                .collect(),
        }
    }

    /// Returns the kinds of requests that callers send, one per route with offered load.
    pub fn call_kinds(&self) -> Vec<CallKind> {
        self.routes
            .iter()
            .filter(|route| 0.0 < route.offered_per_s)
            .map(|route| self.call_kind(route))
            .collect()
    }

    /// Returns the load of each client account. `secrets` holds the key secrets by account name; an account without one
    /// gets an empty secret.
    pub fn account_loads(
        &self,
        secrets: &BTreeMap<String, String>,
        retry_mode: RetryMode,
    ) -> Vec<AccountLoad> {
        self.accounts
            .iter()
            .map(|account| AccountLoad {
                name: account.name.clone(),
                secret: secrets.get(&account.name).cloned().unwrap_or_default(),
                offered_per_s: account.share * self.offered_per_s(),
                retry_mode,
                max_retries: 3,
            })
            .collect()
    }

    /// Returns the rate limit of a client account in requests per second.
    pub fn rate_per_s(&self, account: &AccountPlan) -> f64 {
        account.share * account.rate_multiple * self.offered_per_s()
    }

    /// Returns the service with `name`.
    pub fn service(&self, name: &str) -> Option<&ServicePlan> {
        self.services.iter().find(|service| service.name == name)
    }

    fn account_settings(&self, account: &AccountPlan) -> ClientAccount {
        let rate_per_s = self.rate_per_s(account);
        ClientAccount { rate_per_s, burst: rate_per_s.max(1.0), weight: None }
    }

    fn call_kind(&self, route: &RoutePlan) -> CallKind {
        CallKind {
            name: route.name.clone(),
            method: route.method.clone(),
            path: route.path.clone(),
            share: route.offered_per_s,
            idempotent: route.idempotent,
            critical: route.priority == PriorityClass::Critical,
            deadline_ms: route.deadline_ms,
            effects: self.reached_services(&route.service),
        }
    }

    /// Returns the services that a request to `service` reaches, in depth-first order of the calls.
    fn reached_services(&self, service: &str) -> Vec<String> {
        let nested_calls = self.service(service).map_or(&[][..], |plan| &plan.nested_calls);
        let mut services = vec![service.to_string()];
        for call in nested_calls {
            let target = self
                .routes
                .iter()
                .find(|route| route.method == call.method && route.path == call.path);
            services
                .extend(target.into_iter().flat_map(|route| self.reached_services(&route.service)));
        }
        services
    }
}

impl RoutePlan {
    fn policy(&self) -> RoutePolicy {
        RoutePolicy {
            method: self.method.clone(),
            path: self.path.clone(),
            service: self.service.as_str().into(),
            priority: self.priority,
            idempotent: self.idempotent,
            open: false,
            deadline_ms: self.deadline_ms,
            retry_budget: 3,
        }
    }
}
