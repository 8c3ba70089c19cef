//! Settings of a mesh at one version: routes, services, client accounts and limits, indexed for lookup.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::id::{AccountName, ContentDigest, RouteName, ServiceName};

/// One target of a route, with its share of the route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// Service that runs the request.
    pub service: ServiceName,
    /// Share of the requests, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// What operators say of the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePolicy {
    /// Name of the route, unique in its version.
    pub name: RouteName,
    /// Value of the `Host` header.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub target_latency: Duration,
    /// Rank among all requests; 0 is served first.
    pub priority: u8,
    /// Services that run the requests, at least one.
    pub targets: Vec<RouteTarget>,
    /// Most backend servers that may begin to run one request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// What operators say of one client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountPolicy {
    /// Name of the account.
    pub name: AccountName,
    /// Digests of the account's keys.
    pub keys: Vec<ContentDigest>,
    /// Rank that goes before the route's, where the account has one.
    pub priority: Option<u8>,
    /// Requests per second over all daemons; zero means no limit.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// What operators say of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Name of the service.
    pub name: ServiceName,
    /// Path that answers 200 while a backend server is healthy.
    pub health_path: String,
}

/// Limits on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for the head of a request to arrive.
    pub header_timeout: Duration,
    /// Longest time for which an idle connection is kept open.
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

/// All settings of one version, as they are declared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetDeclaration {
    /// Version; it grows with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RoutePolicy>,
    /// All services.
    pub services: Vec<ServicePolicy>,
    /// All client accounts.
    pub accounts: Vec<AccountPolicy>,
    /// Limits on requests.
    pub limits: RequestLimits,
}

/// A [`FleetDeclaration`] with the indexes that a request is looked up in.
#[derive(Debug)]
pub struct FleetSettings {
    version: u64,
    /// Routes of each host, the longest prefix first.
    hosts: HashMap<String, Vec<Arc<RoutePolicy>>>,
    accounts: HashMap<AccountName, Arc<AccountPolicy>>,
    keys: HashMap<ContentDigest, Arc<AccountPolicy>>,
    services: HashMap<ServiceName, ServicePolicy>,
    limits: RequestLimits,
}

impl FleetSettings {
    /// Indexes a declaration.
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

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on requests.
    pub fn limits(&self) -> &RequestLimits {
        &self.limits
    }

    /// Returns the route of the longest prefix that begins `path` among the routes of `host`. A port in `host` is
    /// ignored.
    pub fn route_of(&self, host: &str, path: &str) -> Option<&Arc<RoutePolicy>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the account that holds the key with this digest.
    pub fn account_by_key(&self, key: &ContentDigest) -> Option<&Arc<AccountPolicy>> {
        self.keys.get(key)
    }

    /// Returns the account with this name.
    pub fn account(&self, name: &AccountName) -> Option<&Arc<AccountPolicy>> {
        self.accounts.get(name)
    }

    /// Returns what is declared of a service.
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
