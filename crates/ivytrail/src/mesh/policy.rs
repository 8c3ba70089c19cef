//! One version of a mesh's settings: routes, services, client accounts and limits, indexed for lookup.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::id::{AccountName, ContentDigest, RouteName, ServiceName};

/// Target of a route, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// Service that runs the requests.
    pub service: ServiceName,
    /// Share of the requests, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// Policy for the requests with one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePolicy {
    /// Name of the route, unique within a settings version.
    pub name: RouteName,
    /// Value of the `Host` header.
    pub host: String,
    /// Prefix of the path; it starts and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once without further effect.
    pub is_idempotent: bool,
    /// Maximum time until a request gets a response.
    pub timeout: Duration,
    /// Target response time; a later response is worth less.
    pub target_latency: Duration,
    /// Priority among all requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that run the requests; at least one.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of backend servers that may start to run one request.
    pub max_attempts: u32,
    /// Whether requests are accepted without an account key.
    pub is_public: bool,
}

/// Policy for one client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountPolicy {
    /// Name of the account.
    pub name: AccountName,
    /// Digests of the account's keys.
    pub keys: Vec<ContentDigest>,
    /// Priority that overrides the route's, if any.
    pub priority: Option<u8>,
    /// Requests per second over all daemons; zero means no limit.
    pub rate_per_s: f64,
    /// Number of requests beyond the rate that are allowed at once.
    pub burst: f64,
}

/// Policy for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePolicy {
    /// Name of the service.
    pub name: ServiceName,
    /// Path that returns status 200 while a backend server is healthy.
    pub health_path: String,
    /// What a cold backend server tolerates, or `None` if its servers need no warm-up.
    pub warm_up: Option<WarmUpPolicy>,
}

/// What a backend server tolerates while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpPolicy {
    /// Time after its start for which a server is cold.
    pub duration: Duration,
    /// Requests per second that a cold server tolerates, from all instances together.
    pub requests_per_s: f64,
}

/// Limits on client requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request header section, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time until the header section of a request has arrived.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of all settings, as declared by the operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetDeclaration {
    /// Version number, which increases with each change.
    pub version: u64,
    /// Declared routes.
    pub routes: Vec<RoutePolicy>,
    /// Declared services.
    pub services: Vec<ServicePolicy>,
    /// Declared client accounts.
    pub accounts: Vec<AccountPolicy>,
    /// Limits on requests.
    pub limits: RequestLimits,
}

/// A [`FleetDeclaration`] indexed by host, account, key and service.
#[derive(Debug)]
pub struct FleetSettings {
    version: u64,
    /// Routes by host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<RoutePolicy>>>,
    accounts: HashMap<AccountName, Arc<AccountPolicy>>,
    keys: HashMap<ContentDigest, Arc<AccountPolicy>>,
    services: HashMap<ServiceName, ServicePolicy>,
    limits: RequestLimits,
}

impl FleetSettings {
    /// Builds the indexes of a declaration.
    pub fn new(declaration: FleetDeclaration) -> FleetSettings {
        let mut hosts: HashMap<String, Vec<Arc<RoutePolicy>>> = HashMap::new();
        for route in declaration.routes {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut accounts = HashMap::new();
        let mut keys = HashMap::new();
        for account in declaration.accounts.into_iter().map(Arc::new) {
            keys.extend(account.keys.iter().map(|key| (*key, Arc::clone(&account))));
            accounts.insert(account.name.clone(), account);
        }
        let services = declaration.services.into_iter().map(|it| (it.name.clone(), it)).collect();
        FleetSettings {
            version: declaration.version,
            hosts,
            accounts,
            keys,
            services,
            limits: declaration.limits,
        }
    }

    /// Returns the version of the settings.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on requests.
    pub fn limits(&self) -> &RequestLimits {
        &self.limits
    }

    /// Returns the route of `host` with the longest prefix of `path`. The host is matched without its port and regardless
    /// of case.
    pub fn route_of(&self, host: &str, path: &str) -> Option<&Arc<RoutePolicy>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the account that has a key with this digest.
    pub fn account_by_key(&self, key: &ContentDigest) -> Option<&Arc<AccountPolicy>> {
        self.keys.get(key)
    }

    /// Returns the account with this name.
    pub fn account(&self, name: &AccountName) -> Option<&Arc<AccountPolicy>> {
        self.accounts.get(name)
    }

    /// Returns the policy of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServicePolicy> {
        self.services.get(name)
    }

    /// Returns the number of routes.
    pub fn n_routes(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

#[cfg(test)]
mod tests;
