//! Prometheus metrics of the mesh daemon and the endpoint that serves them.

use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::atomic::AtomicU64, time::Duration};

use bytes::Bytes;
use hyper::StatusCode;
use ivytrail::mesh::{
    MeshReducer,
    event::{CallAnswer, RunEnd},
};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};
use tokio::time::Instant;

use super::{
    driver::{MeshDriver, boot_time},
    local_api,
};
use crate::metrics::AnswerLabels;

/// Duration of a reducer step from which it is logged. Nothing else is served during a step.
const SLOW_STEP: Duration = Duration::from_millis(50);

/// Labels of the counter of ended runs.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RunLabels {
    end: &'static str,
}

/// Metrics of what lessens the capacity of the fleet: warm-ups, evacuations and daemons of earlier builds.
#[derive(Debug)]
struct CapacityMetrics {
    server_cold: Gauge<f64, AtomicU64>,
    held_starts: Gauge,
    evacuated_domains: Gauge,
    older_builds: Gauge,
}

impl CapacityMetrics {
    fn new(registry: &mut Registry) -> CapacityMetrics {
        let server_cold = Gauge::<f64, AtomicU64>::default();
        registry.register_with_unit(
            "server_cold",
            "Time for which the backend server may remain cold",
            Unit::Seconds,
            server_cold.clone(),
        );
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        CapacityMetrics {
            server_cold,
            held_starts: gauge(
                "starts_held",
                "Attempts that had to wait for the warm-up of the backend server, since the start",
            ),
            evacuated_domains: gauge("evacuated_domains", "Evacuated failure domains"),
            older_builds: gauge(
                "older_builds",
                "Reachable daemons whose build speaks an earlier version of the protocol",
            ),
        }
    }

    fn update(&self, reducer: &MeshReducer) {
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.server_cold.set(reducer.server_cold_for().unwrap_or_default().as_secs_f64());
        self.held_starts.set(i64::try_from(reducer.n_held_starts()).unwrap_or(i64::MAX));
        self.evacuated_domains.set(count(reducer.evacuated_domains().count()));
        self.older_builds.set(count(reducer.n_older_builds()));
    }
}

/// Labels of the count of quota tokens.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TokenLabels {
    source: &'static str,
}

/// Labels of the count of calls that were denied a quota token.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct DenialLabels {
    decided_by: &'static str,
}

/// Metrics of the reducer's work: the time that it takes, and the quota tokens that it grants and denies.
#[derive(Debug)]
struct ReducerMetrics {
    longest_step: Gauge<f64, AtomicU64>,
    quota_tokens: Family<TokenLabels, Gauge>,
    quota_denials: Family<DenialLabels, Gauge>,
}

impl ReducerMetrics {
    fn new(registry: &mut Registry) -> ReducerMetrics {
        let longest_step = Gauge::<f64, AtomicU64>::default();
        registry.register_with_unit(
            "longest_step",
            "Longest time that the reducer took for one event, since the start",
            Unit::Seconds,
            longest_step.clone(),
        );
        let quota_tokens = Family::<TokenLabels, Gauge>::default();
        registry.register(
            "quota_tokens",
            "Quota tokens granted as an account's owner, or spent while the owner did not respond, since the start",
            quota_tokens.clone(),
        );
        let quota_denials = Family::<DenialLabels, Gauge>::default();
        registry.register(
            "quota_denials",
            "Calls that were denied a quota token, by what denied them, since the start",
            quota_denials.clone(),
        );
        ReducerMetrics { longest_step, quota_tokens, quota_denials }
    }

    fn record_step(&self, duration: Duration) {
        if self.longest_step.get() < duration.as_secs_f64() {
            self.longest_step.set(duration.as_secs_f64());
        }
    }

    fn update(&self, reducer: &MeshReducer) {
        for (source, n_tokens) in reducer.n_quota_tokens() {
            let gauge = self.quota_tokens.get_or_create(&TokenLabels { source });
            gauge.set(i64::try_from(n_tokens).unwrap_or(i64::MAX));
        }
        for (decided_by, n_calls) in reducer.n_quota_denials() {
            let gauge = self.quota_denials.get_or_create(&DenialLabels { decided_by });
            gauge.set(i64::try_from(n_calls).unwrap_or(i64::MAX));
        }
    }
}

/// Metric registry of the mesh daemon, with handles to its metrics.
#[derive(Debug)]
pub struct MeshMetrics {
    registry: Registry,
    answers: Family<AnswerLabels, Counter>,
    call_duration: Histogram,
    runs: Family<RunLabels, Counter>,
    callers_gone: Counter,
    running: Gauge,
    queued: Gauge,
    limit: Gauge,
    links: Gauge,
    settings_version: Gauge,
    suspects: Gauge,
    quarantined: Gauge,
    server_crashes: Gauge,
    capacity: CapacityMetrics,
    reducer: ReducerMetrics,
    settings_watch_age: Gauge<f64, AtomicU64>,
    /// Time of the last response to a request for the configuration.
    table_responded_at: Cell<Instant>,
}

impl MeshMetrics {
    /// Registers all metrics, with values of zero.
    pub fn new() -> MeshMetrics {
        let mut registry = Registry::with_prefix("ivytrail");
        let answers = Family::<AnswerLabels, Counter>::default();
        registry.register("calls", "Calls answered at this entry", answers.clone());
        // Buckets from 1 ms to about 16 s.
        let call_duration = Histogram::new(exponential_buckets(0.001, 2.0, 15));
        registry.register_with_unit(
            "call_duration",
            "Time from a whole request to its answer",
            Unit::Seconds,
            call_duration.clone(),
        );
        let runs = Family::<RunLabels, Counter>::default();
        registry.register("runs", "Runs ended at the own backend server", runs.clone());
        let callers_gone = Counter::default();
        registry.register("callers_gone", "Callers that left early", callers_gone.clone());
        let settings_watch_age = Gauge::<f64, AtomicU64>::default();
        registry.register_with_unit(
            "settings_watch_age",
            "Time since the table's last response about the configuration",
            Unit::Seconds,
            settings_watch_age.clone(),
        );
        let reducer = ReducerMetrics::new(&mut registry);
        let capacity = CapacityMetrics::new(&mut registry);
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        MeshMetrics {
            running: gauge("requests_in_flight", "Requests running at the backend server"),
            queued: gauge("requests_queued", "Requests waiting for a slot"),
            limit: gauge("concurrency_limit", "Requests that may run at once"),
            links: gauge("links_open", "Daemons that can be reached"),
            settings_version: gauge("settings_version", "Version of the settings in force"),
            suspects: gauge("crash_suspects", "Requests suspected of crashing backend servers"),
            quarantined: gauge("quarantined_requests", "Suspects that are refused"),
            server_crashes: gauge(
                "server_crashes",
                "Crashes of the local backend server with requests in flight",
            ),
            capacity,
            reducer,
            settings_watch_age,
            table_responded_at: Cell::new(Instant::now()),
            registry,
            answers,
            call_duration,
            runs,
            callers_gone,
        }
    }

    /// Counts an answered call and records its duration.
    pub fn record_answer(&self, answer: &CallAnswer, duration: Duration) {
        let labels = match answer {
            CallAnswer::Complete { status, .. } => {
                AnswerLabels { outcome: "ran".to_string(), reason: status.to_string() }
            }
            CallAnswer::Refused { outcome, reason, .. } => {
                AnswerLabels { outcome: outcome.to_string(), reason: reason.to_string() }
            }
        };
        self.answers.get_or_create(&labels).inc();
        self.call_duration.observe(duration.as_secs_f64());
    }

    /// Counts a caller that disconnected before the answer.
    pub fn record_caller_gone(&self) {
        self.callers_gone.inc();
    }

    /// Counts an ended run by how it ended.
    pub fn record_run(&self, end: &RunEnd) {
        self.runs.get_or_create(&RunLabels { end: end.name() }).inc();
    }

    /// Records the time that the reducer took for an event, and logs it if nothing else was served for long.
    pub fn record_step(&self, event: &str, duration: Duration) {
        self.reducer.record_step(duration);
        if SLOW_STEP <= duration {
            log::warn!("event=slow_step input={event} took_ms={}", duration.as_millis());
        }
    }

    /// Records a response of the platform's table to a request for the configuration.
    pub fn record_table_response(&self) {
        self.table_responded_at.set(Instant::now());
    }

    fn render(&self, driver: &MeshDriver) -> String {
        let (load, n_links, version) = driver.inspect(|it| {
            (it.load(), it.n_open_links(), it.settings().map_or(0, |it| it.version()))
        });
        self.running.set(i64::from(load.running));
        self.queued.set(i64::from(load.queued));
        self.limit.set(i64::from(load.limit));
        self.links.set(i64::try_from(n_links).unwrap_or(i64::MAX));
        self.settings_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        let (n_suspects, n_quarantined, n_crashes) = driver.inspect(|it| {
            let quarantine = it.quarantine();
            (quarantine.n_suspects(), quarantine.n_quarantined(boot_time()), it.n_server_crashes())
        });
        self.suspects.set(i64::try_from(n_suspects).unwrap_or(i64::MAX));
        self.quarantined.set(i64::try_from(n_quarantined).unwrap_or(i64::MAX));
        self.server_crashes.set(i64::try_from(n_crashes).unwrap_or(i64::MAX));
        driver.inspect(|it| self.capacity.update(it));
        driver.inspect(|it| self.reducer.update(it));
        self.settings_watch_age.set(self.table_responded_at.get().elapsed().as_secs_f64());
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Serves the metrics under `/metrics` at `address`.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn listen(driver: &Rc<MeshDriver>, address: SocketAddr) -> anyhow::Result<()> {
    local_api::listen(driver, address, async |driver, path, _body| match path {
        "/metrics" => {
            let text = driver.metrics.render(driver);
            (StatusCode::OK, "text/plain; version=0.0.4", Bytes::from(text))
        }
        _ => (StatusCode::NOT_FOUND, "text/plain", Bytes::new()),
    })
    .await
}
