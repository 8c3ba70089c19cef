//! A test site: real daemons (`ivytraild --mesh`) on loopback with fakes of the platform's table and of backend
//! servers that speak the platform's protocol.

pub mod backend;
pub mod load;
pub mod persistent_connection;
pub mod table;

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use anyhow::{Context, Result};
use ivytrail_fakes::process::{
    ChildProcess, ChildSignal, RunDirectory, free_addresses, program_path,
};
use reqwest::{Client, Response};
use tokio::time::{Instant, sleep};

use self::{
    backend::{COLD_REQUESTS_PER_S, FIRST_START_MS, SiteBackend, WARM_UP_TIME},
    table::SiteTable,
};
use crate::fault::proxy::FaultProxy;

/// API key of the only client account.
pub const API_KEY: &str = "meteo-key";
/// Timeout for a daemon to serve its first requests.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Second API key of the same client account.
pub const SECOND_API_KEY: &str = "radio-key";
/// Failure domain of all instances, unless a site names others.
const DOMAIN: &str = "kolkata";
/// Program of the production build, below cargo's target directory; see `scripts/production-build`.
const PRODUCTION_DAEMON: &str = "production/build/debug/ivytraild";
/// Environment variable with which the process tests run the production build: `production`.
const BUILD_VARIABLE: &str = "IVYTRAIL_TEST_BUILD";
/// Timeout of the routes `survey` and `audit`, whose requests may take long and need no API key, in milliseconds.
pub const SURVEY_TIMEOUT_MS: u64 = 8_000;
/// Service of each instance of the small site.
const SMALL_SITE_SERVICES: [&str; 3] = ["booking", "booking", "tracker"];
/// Services that the configuration declares.
const SERVICES: [&str; 2] = ["booking", "tracker"];

/// Build of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonBuild {
    /// This checkout's build.
    Current,
    /// The build in production.
    Production,
}

impl DaemonBuild {
    /// Returns the build that sites use unless they name one: this checkout's, or the one in the environment.
    pub fn from_environment() -> DaemonBuild {
        match std::env::var(BUILD_VARIABLE).as_deref() {
            Ok("production") => DaemonBuild::Production,
            _ => DaemonBuild::Current,
        }
    }

    fn program(self) -> Result<PathBuf> {
        match self {
            DaemonBuild::Current => program_path("ivytraild"),
            DaemonBuild::Production => {
                let current_exe = std::env::current_exe()?;
                let mut paths = current_exe.ancestors().map(|it| it.join(PRODUCTION_DAEMON));
                let path = paths.find(|it| it.is_file());
                path.context("the production build is missing; run scripts/production-build")
            }
        }
    }
}

/// What a test site consists of.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// Service of each instance.
    pub services: Vec<&'static str>,
    /// Failure domain of each instance.
    pub domains: Vec<&'static str>,
    /// Whether there are proxies between the programs.
    pub has_proxies: bool,
    /// Whether backend servers are cold after a crash.
    pub needs_warm_up: bool,
    /// Build of the daemons at the start.
    pub build: DaemonBuild,
    /// Shutdown grace period of the daemons.
    pub shutdown_grace: Duration,
}

impl SiteOptions {
    /// Returns the options of a site in one failure domain, without proxies and with servers that need no warm-up.
    pub fn new(services: &[&'static str]) -> SiteOptions {
        SiteOptions {
            services: services.to_vec(),
            domains: vec![DOMAIN; services.len()],
            has_proxies: false,
            needs_warm_up: false,
            build: DaemonBuild::from_environment(),
            shutdown_grace: Duration::from_secs(6),
        }
    }
}

/// Listening addresses of one instance's daemon.
#[derive(Clone, Copy, Debug)]
pub struct InstanceAddresses {
    /// Where clients send requests.
    pub caller: SocketAddr,
    /// Where the backend server sends heartbeats.
    pub local: SocketAddr,
    /// Where the readiness probe is served.
    pub health: SocketAddr,
    /// Where other daemons connect.
    pub peer: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
}

/// Fault-injecting proxies on the connections of one instance.
#[derive(Debug)]
pub struct InstanceProxies {
    /// Between other daemons and this instance's daemon.
    pub peer: FaultProxy,
    /// Between the daemon and its backend server.
    pub server: FaultProxy,
    /// Between the daemon and the table.
    pub table: FaultProxy,
}

impl InstanceProxies {
    async fn start(site: &TestSite, idx: usize) -> Result<InstanceProxies> {
        Ok(InstanceProxies {
            peer: FaultProxy::start(site.addresses[idx].peer).await?,
            server: FaultProxy::start(site.backends[idx].address()).await?,
            table: FaultProxy::start(site.table.address()).await?,
        })
    }
}

/// A running test site.
#[derive(Debug)]
pub struct TestSite {
    /// Fake of the platform's table.
    pub table: SiteTable,
    /// Fake backend servers, one per instance.
    pub backends: Vec<SiteBackend>,
    /// Daemon processes, one per instance.
    pub daemons: Vec<ChildProcess>,
    /// Daemon addresses, one set per instance.
    pub addresses: Vec<InstanceAddresses>,
    /// Proxies, one set per instance; empty when the site runs without them.
    pub proxies: Vec<InstanceProxies>,
    options: SiteOptions,
    client: Client,
    dir: RunDirectory,
}

impl TestSite {
    /// Starts a table, three backend servers and their daemons, and waits until every daemon serves requests.
    ///
    /// # Errors
    ///
    /// Returns an error when a program can't be started or does not serve in time.
    pub async fn start() -> Result<TestSite> {
        TestSite::start_with(&SMALL_SITE_SERVICES, false).await
    }

    /// Starts a site with one instance per item of `services`, optionally with proxies between its programs.
    ///
    /// # Errors
    ///
    /// Returns an error when a program can't be started or does not serve in time.
    pub async fn start_with(services: &[&'static str], has_proxies: bool) -> Result<TestSite> {
        TestSite::start_from(SiteOptions { has_proxies, ..SiteOptions::new(services) }).await
    }

    /// Starts a site.
    ///
    /// # Errors
    ///
    /// Returns an error when a program can't be started or does not serve in time.
    pub async fn start_from(options: SiteOptions) -> Result<TestSite> {
        let services = options.services.clone();
        let SiteOptions { has_proxies, needs_warm_up, build, .. } = options;
        let config = match needs_warm_up {
            true => with_warm_up(config_at_version(1)),
            false => config_at_version(1),
        };
        let table = SiteTable::start(config).await?;
        let dir = RunDirectory::create("ivytrail-site")?;
        let ports = free_addresses(services.len() * 5)?;
        let addresses: Vec<InstanceAddresses> = ports
            .chunks_exact(5)
            .map(|it| InstanceAddresses {
                caller: it[0],
                local: it[1],
                health: it[2],
                peer: it[3],
                metrics: it[4],
            })
            .collect();
        let client = Client::builder().no_proxy().timeout(Duration::from_secs(5)).build()?;
        let mut site = TestSite {
            table,
            backends: Vec::new(),
            daemons: Vec::new(),
            addresses,
            proxies: Vec::new(),
            options,
            client,
            dir,
        };
        for (idx, service) in services.iter().enumerate() {
            let local = site.addresses[idx].local;
            let caller = site.addresses[idx].caller;
            site.backends.push(SiteBackend::start(idx, service, local, Some(caller)).await?);
            if needs_warm_up {
                site.backends[idx].require_warm_up();
            }
            if has_proxies {
                site.proxies.push(InstanceProxies::start(&site, idx).await?);
            }
            let daemon = site.start_build(idx, build)?;
            site.daemons.push(daemon);
        }
        for idx in 0..services.len() {
            site.wait_until_serving(idx).await?;
        }
        Ok(site)
    }

    /// Starts the daemon of instance `idx`.
    ///
    /// # Errors
    ///
    /// Returns an error when its settings can't be written or the process can't be started.
    pub fn start_daemon(&self, idx: usize) -> Result<ChildProcess> {
        self.start_build(idx, self.options.build)
    }

    /// Starts the daemon of instance `idx` in one of its builds.
    ///
    /// # Errors
    ///
    /// Returns an error when the build is missing, its settings can't be written or the process can't be started.
    pub fn start_build(&self, idx: usize, build: DaemonBuild) -> Result<ChildProcess> {
        let path = self.write_settings(idx, self.options.shutdown_grace)?;
        let arguments = ["--mesh".to_string(), path.display().to_string()];
        ChildProcess::start(
            &format!("daemon-{idx}"),
            &build.program()?,
            &arguments,
            self.dir.path(),
        )
    }

    /// Writes the settings file of the daemon of instance `idx`, and returns its path.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be written.
    pub fn write_settings(&self, idx: usize, shutdown_grace: Duration) -> Result<PathBuf> {
        let addresses = &self.addresses[idx];
        let proxies = self.proxies.get(idx);
        let server_address = proxies.map_or(self.backends[idx].address(), |it| it.server.address());
        let table_address = proxies.map_or(self.table.address(), |it| it.table.address());
        let advertised_address = proxies.map_or(addresses.peer, |it| it.peer.address());
        let settings = serde_json::json!({
            "name": format!("instance-{idx}"),
            "failure_domain": self.options.domains[idx],
            "service": self.options.services[idx],
            "caller_address": addresses.caller,
            "local_address": addresses.local,
            "health_address": addresses.health,
            "peer_address": addresses.peer,
            "advertised_address": advertised_address,
            "metrics_address": addresses.metrics,
            "server_address": server_address,
            "table_address": table_address,
            "shutdown_grace_s": shutdown_grace.as_secs(),
            "repeats": {"ratio": 0.2, "window_s": 10, "slack": 48},
        });
        let path = self.dir.path().join(format!("instance-{idx}.json"));
        std::fs::write(&path, settings.to_string())?;
        Ok(path)
    }

    /// Waits until instance `idx` answers a request for each service of the site with status 200.
    ///
    /// # Errors
    ///
    /// Returns an error with the daemon's log when it does not serve within 20 s.
    pub async fn wait_until_serving(&self, idx: usize) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            let mut n_failed = 0;
            for (service, route) in SERVICES.into_iter().zip(["book", "track"]) {
                if !self.options.services.contains(&service) {
                    continue;
                }
                let path = format!("/{route}/warm-up");
                let response =
                    self.send(idx, &path, &format!("warm-{}", uuid::Uuid::now_v7())).await;
                n_failed += usize::from(!response.is_ok_and(|it| it.status() == 200));
            }
            if n_failed == 0 {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        anyhow::bail!("instance {idx} does not serve requests; log:\n{}", self.daemon_log(idx))
    }

    /// Sends a request to the daemon of instance `idx`.
    ///
    /// # Errors
    ///
    /// Returns an error when no response arrives.
    pub async fn send(&self, idx: usize, path: &str, request_id: &str) -> Result<Response> {
        let url = format!("http://{}{path}", self.addresses[idx].caller);
        let request = self
            .client
            .get(url)
            .header("host", "site.example")
            .header("x-ivytrail-request-id", request_id)
            .header("x-ivytrail-deadline-ms", "3000")
            .header("x-ivytrail-credential", API_KEY);
        request.send().await.context("the daemon sent no response")
    }

    /// Sends a heartbeat of a backend server to the daemon of instance `idx`, and returns the status of the response.
    ///
    /// # Errors
    ///
    /// Returns an error when no response arrives.
    pub async fn announce(&self, idx: usize, server_id: &str, body: String) -> Result<u16> {
        let url = format!("http://{}/Instances.Heartbeat/{server_id}", self.addresses[idx].local);
        let request = self.client.post(url).body(body);
        let response = request.send().await.context("the daemon sent no response")?;
        Ok(response.status().as_u16())
    }

    /// Deregisters the first run of a backend server at the daemon of instance `idx`, and returns the status of the response.
    ///
    /// # Errors
    ///
    /// Returns an error when no response arrives.
    pub async fn deregister(&self, idx: usize) -> Result<u16> {
        let local = self.addresses[idx].local;
        let url = format!("http://{local}/Instances.Deregister/server-{idx}");
        let body = serde_json::json!({"born": FIRST_START_MS});
        let request = self.client.post(url).json(&body);
        let response = request.send().await.context("the daemon sent no response")?;
        Ok(response.status().as_u16())
    }

    /// Returns whether the daemon of instance `idx` reports itself ready.
    pub async fn is_ready(&self, idx: usize) -> bool {
        let url = format!("http://{}/readyz", self.addresses[idx].health);
        self.client.get(url).send().await.is_ok_and(|it| it.status() == 200)
    }

    /// Returns the greatest resident memory of the daemon of instance `idx` so far, in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when the system does not report it.
    pub fn peak_memory(&self, idx: usize) -> Result<u64> {
        let path = format!("/proc/{}/status", self.daemons[idx].id());
        let status = std::fs::read_to_string(path)?;
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
        let kib = line.and_then(|it| it.trim().strip_suffix("kB")).context("no VmHWM")?;
        Ok(kib.trim().parse::<u64>()? << 10)
    }

    /// Returns the metrics page of the daemon of instance `idx`.
    ///
    /// # Errors
    ///
    /// Returns an error when no complete response arrives.
    pub async fn metrics(&self, idx: usize) -> Result<String> {
        let url = format!("http://{}/metrics", self.addresses[idx].metrics);
        Ok(self.client.get(url).send().await?.text().await?)
    }

    /// Sends SIGTERM to the daemon of instance `idx`, which then drains and exits.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal can't be sent.
    pub fn terminate(&self, idx: usize) -> Result<()> {
        self.daemons[idx].signal(ChildSignal::Terminate)
    }

    /// Returns the log of the daemon of instance `idx`, or an empty string when it can't be read.
    pub fn daemon_log(&self, idx: usize) -> String {
        let path = self.dir.path().join(format!("daemon-{idx}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns the logs of all daemons.
    pub fn logs(&self) -> String {
        let log = |idx| format!("daemon {idx}:\n{}", self.daemon_log(idx));
        (0..self.addresses.len()).map(log).collect()
    }

    /// Evacuates a failure domain.
    pub fn evacuate(&self, domain: &str) {
        self.table.put_row("op", &format!("evacuate/{domain}"), "{}");
    }

    /// Ends the evacuation of a failure domain.
    pub fn take_back(&self, domain: &str) {
        self.table.remove_row("op", &format!("evacuate/{domain}"));
    }

    /// Returns the number of requests that have reached the backend servers of a failure domain.
    pub fn n_arrivals_in(&self, domain: &str) -> usize {
        let backends = self.backends.iter().zip(&self.options.domains);
        backends.filter(|(_, it)| **it == domain).map(|(it, _)| it.arrivals().len()).sum()
    }

    /// Returns the number of runs of a request, summed over all backend servers.
    pub fn n_runs_of(&self, request_id: &str) -> usize {
        self.backends.iter().map(|it| it.n_runs_of(request_id)).sum()
    }
}

/// Adds the warm-up that the site's backend servers need to a platform configuration.
pub fn with_warm_up(mut config: serde_json::Value) -> serde_json::Value {
    for service in config["services"].as_array_mut().into_iter().flatten() {
        service["warmup"] = WARM_UP_TIME.as_secs_f64().into();
        service["warmup_per_s"] = COLD_REQUESTS_PER_S.into();
    }
    config
}

/// Returns a platform configuration. From version 2 on, [`API_KEY`] is withdrawn.
pub fn config_at_version(version: u64) -> serde_json::Value {
    config_with_keys(version, if version < 2 { &[API_KEY] } else { &["another"] })
}

/// Returns a platform configuration in which the only client account has these API keys.
pub fn config_with_keys(version: u64, keys: &[&str]) -> serde_json::Value {
    let route = |name: &str, kind: &str, service: &str| {
        serde_json::json!({
            "name": name, "host": "site.example", "prefix": format!("/{name}/"), "kind": kind,
            "timeout": 2_000, "target_latency": 1_000, "priority": 0, "service": service,
            "max_attempts": 2, "public": false,
        })
    };
    let mut ledger = route("ledger", "safe", "tracker");
    ledger["public"] = true.into();
    let mut survey = route("survey", "unsafe", "booking");
    survey["public"] = true.into();
    survey["timeout"] = SURVEY_TIMEOUT_MS.into();
    let mut audit = route("audit", "safe", "tracker");
    audit["public"] = true.into();
    audit["timeout"] = SURVEY_TIMEOUT_MS.into();
    serde_json::json!({
        "version": version,
        "routes": [route("book", "unsafe", "booking"), route("track", "safe", "tracker"), ledger, survey, audit],
        "services": SERVICES.map(|name| serde_json::json!({"name": name, "health_path": "/healthz"})),
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 1_048_576,
            "header_timeout": 3_000, "idle_timeout": 15_000,
        },
        "tenants": [{"name": "meteo", "api_keys": keys, "rate_per_s": 1_000, "burst": 1_000}],
    })
}
