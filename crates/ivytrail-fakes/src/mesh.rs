//! Meshes of services for the demo, the benches and the process tests.
//!
//! A mesh says which services there are, how they call each other, which routes and client accounts its team declares
//! and what load its callers offer.

mod capacity;
mod topologies;

use std::collections::BTreeMap;

use ivytrail::settings::{ClientAccount, PriorityClass, RoutePolicy, ServicePolicy, TeamSubtree};

pub use self::topologies::{chain, pair, stratolift, teigwerk};
use crate::{
    backend::NestedCall,
    caller::{AccountLoad, CallKind, RetryMode},
};

/// A mesh of services with its routes, client accounts and load.
#[derive(Clone, Debug)]
pub struct MeshPlan {
    /// Name of the team that owns the mesh's settings.
    pub team: String,
    /// Failure domains; the upstreams of a service are spread over them in turn.
    pub domains: Vec<String>,
    /// Services.
    pub services: Vec<ServicePlan>,
    /// Routes for callers and for nested calls.
    pub routes: Vec<RoutePlan>,
    /// Client accounts.
    pub accounts: Vec<AccountPlan>,
}

/// A service with its upstreams.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name.
    pub name: String,
    /// Number of backend servers.
    pub n_upstreams: usize,
    /// Slots of each backend server.
    pub slots: u32,
    /// Mean time of a request without its nested calls, in milliseconds.
    pub service_time_ms: u64,
    /// Nested calls of each request.
    pub nested_calls: Vec<NestedCall>,
}

/// A route, with the load that callers put on it.
#[derive(Clone, Debug)]
pub struct RoutePlan {
    /// Name.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Service that runs it.
    pub service: String,
    /// Priority under overload.
    pub priority: PriorityClass,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Time limit of a whole request, in milliseconds.
    pub deadline_ms: u64,
    /// Callers' requests per second at a factor of 1; 0 for a route that only nested calls take.
    pub offered_per_s: f64,
}

/// A client account, with its share of the callers' load.
#[derive(Clone, Debug)]
pub struct AccountPlan {
    /// Name.
    pub name: String,
    /// Share of the whole load.
    pub share: f64,
    /// Multiple of its load at a factor of 1 that its rate allows.
    pub rate_multiple: f64,
}

impl MeshPlan {
    /// Returns the requests per second of all callers at a factor of 1.
    pub fn offered_per_s(&self) -> f64 {
        self.routes.iter().map(|route| route.offered_per_s).sum()
    }

    /// Returns what the mesh's team declares.
    pub fn subtree(&self) -> TeamSubtree {
        TeamSubtree {
            accounts: self
                .accounts
                .iter()
                .map(|it| (it.name.as_str().into(), self.limits(it)))
                .collect(),
            routes: self.routes.iter().map(|it| (it.name.as_str().into(), it.policy())).collect(),
            services: self
                .services
                .iter()
                .map(|it| {
                    (
                        it.name.as_str().into(),
                        ServicePolicy { max_concurrency: None, max_queue_ms: 100 },
                    )
                })
                .collect(),
        }
    }

    /// Returns the kinds of requests that callers send.
    pub fn call_kinds(&self) -> Vec<CallKind> {
        self.routes
            .iter()
            .filter(|route| 0.0 < route.offered_per_s)
            .map(|it| self.kind(it))
            .collect()
    }

    /// Returns the load of each client account, with the secrets of their keys by account.
    pub fn account_loads(
        &self,
        secrets: &BTreeMap<String, String>,
        mode: RetryMode,
    ) -> Vec<AccountLoad> {
        self.accounts
            .iter()
            .map(|account| AccountLoad {
                name: account.name.clone(),
                secret: secrets.get(&account.name).cloned().unwrap_or_default(),
                offered_per_s: account.share * self.offered_per_s(),
                retry_mode: mode,
                max_retries: 3,
            })
            .collect()
    }

    /// Returns the requests per second that a client account may send.
    pub fn rate_per_s(&self, account: &AccountPlan) -> f64 {
        account.share * account.rate_multiple * self.offered_per_s()
    }

    /// Returns the service with `name`.
    pub fn service(&self, name: &str) -> Option<&ServicePlan> {
        self.services.iter().find(|service| service.name == name)
    }

    fn limits(&self, account: &AccountPlan) -> ClientAccount {
        let rate_per_s = self.rate_per_s(account);
        ClientAccount { rate_per_s, burst: rate_per_s.max(1.0), weight: None }
    }

    fn kind(&self, route: &RoutePlan) -> CallKind {
        CallKind {
            name: route.name.clone(),
            method: route.method.clone(),
            path: route.path.clone(),
            share: route.offered_per_s,
            idempotent: route.idempotent,
            critical: route.priority == PriorityClass::Critical,
            deadline_ms: route.deadline_ms,
            effects: self.chain_of(&route.service),
        }
    }

    /// Returns the services that a request to `service` reaches, in the order of the calls.
    fn chain_of(&self, service: &str) -> Vec<String> {
        let nested = self.service(service).map_or(&[][..], |it| &it.nested_calls);
        let mut chain = vec![service.to_string()];
        for call in nested {
            let target =
                self.routes.iter().find(|it| it.method == call.method && it.path == call.path);
            chain.extend(target.into_iter().flat_map(|it| self.chain_of(&it.service)));
        }
        chain
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
