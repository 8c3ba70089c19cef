//! What a daemon of a mesh counts, and the address on which it is served.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::StatusCode;
use ivytrail::mesh::event::{CallAnswer, RunEnd};
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

use super::{local, shell::MeshShell};
use crate::metrics::AnswerLabels;

/// Labels of an ended run.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RunLabels {
    end: &'static str,
}

/// Everything that the daemon counts.
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
}

impl MeshMetrics {
    /// Returns metrics that all stand at zero.
    pub fn new() -> MeshMetrics {
        let mut registry = Registry::with_prefix("ivytrail");
        let answers = Family::<AnswerLabels, Counter>::default();
        registry.register("calls", "Calls answered at this entry", answers.clone());
        // 1 ms to about 16 s.
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
            registry,
            answers,
            call_duration,
            runs,
            callers_gone,
        }
    }

    /// Counts an answered call.
    pub fn note_answer(&self, answer: &CallAnswer, took: Duration) {
        let labels = match answer {
            CallAnswer::Complete { status, .. } => {
                AnswerLabels { outcome: "ran".to_string(), reason: status.to_string() }
            }
            CallAnswer::Refused { outcome, reason, .. } => {
                AnswerLabels { outcome: outcome.to_string(), reason: reason.to_string() }
            }
        };
        self.answers.get_or_create(&labels).inc();
        self.call_duration.observe(took.as_secs_f64());
    }

    /// Counts a caller that left before its answer.
    pub fn note_caller_gone(&self) {
        self.callers_gone.inc();
    }

    /// Counts the end of a run.
    pub fn note_run(&self, end: &RunEnd) {
        self.runs.get_or_create(&RunLabels { end: end.name() }).inc();
    }

    fn text(&self, shell: &MeshShell) -> String {
        let (load, n_links, version) = shell.inspect(|it| {
            (it.load(), it.n_open_links(), it.settings().map_or(0, |it| it.version()))
        });
        self.running.set(i64::from(load.running));
        self.queued.set(i64::from(load.queued));
        self.limit.set(i64::from(load.limit));
        self.links.set(i64::try_from(n_links).unwrap_or(i64::MAX));
        self.settings_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Binds the address on which metrics are served.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub async fn listen(shell: &Rc<MeshShell>, address: SocketAddr) -> anyhow::Result<()> {
    local::listen(shell, address, |shell, path, _body| match path {
        "/metrics" => {
            let text = shell.metrics.text(shell);
            (StatusCode::OK, "text/plain; version=0.0.4", Bytes::from(text))
        }
        _ => (StatusCode::NOT_FOUND, "text/plain", Bytes::new()),
    })
    .await
}
