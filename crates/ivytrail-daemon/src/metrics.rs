//! Prometheus metrics of the daemon.

use std::time::Duration;

use ivytrail::{message::LoadReport, reducer::CallAnswer};
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

/// Labels of the counter of answered calls.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct AnswerLabels {
    /// Whether the request has run.
    pub(crate) outcome: String,
    /// Reason of a refusal. For a complete response, the HTTP status in the mesh daemon and otherwise empty.
    pub(crate) reason: String,
}

/// Labels of the counter of control traffic.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct DirectionLabels {
    direction: &'static str,
}

/// Metric registry of the daemon, with handles to its metrics.
#[derive(Debug)]
pub struct DaemonMetrics {
    registry: Registry,
    answers: Family<AnswerLabels, Counter>,
    latency: Histogram,
    control_bytes: Family<DirectionLabels, Counter>,
    lost_attempts: Counter,
    in_flight: Gauge,
    limit: Gauge,
    queued: Gauge,
    level_threshold: Gauge,
    revision: Gauge,
    members: Gauge,
}

/// Values that are read from the reducer for each export of the metrics.
#[derive(Clone, Copy, Debug)]
pub struct GaugeReadings {
    /// The guard's load.
    pub load: LoadReport,
    /// Revision of the current settings.
    pub revision: u64,
    /// Number of known members.
    pub n_members: usize,
}

impl DaemonMetrics {
    /// Registers all metrics, with values of zero.
    pub fn new() -> DaemonMetrics {
        // Buckets from 100 us to about 50 s.
        let latency = Histogram::new(exponential_buckets(0.000_1, 2.0, 20));
        let mut metrics = DaemonMetrics {
            registry: Registry::with_prefix("ivytrail"),
            answers: Family::default(),
            latency,
            control_bytes: Family::default(),
            lost_attempts: Counter::default(),
            in_flight: Gauge::default(),
            limit: Gauge::default(),
            queued: Gauge::default(),
            level_threshold: Gauge::default(),
            revision: Gauge::default(),
            members: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("calls", "Calls answered at this entry", self.answers.clone());
        registry.register_with_unit(
            "call_duration",
            "Time from a call's arrival to its answer",
            Unit::Seconds,
            self.latency.clone(),
        );
        registry.register_with_unit(
            "control_traffic",
            "Bodies of control exchanges with other daemons",
            Unit::Bytes,
            self.control_bytes.clone(),
        );
        let lost = self.lost_attempts.clone();
        registry.register("attempts_lost", "Attempts that ended without an answer", lost);
        let gauges = [
            ("requests_in_flight", "Requests running at the backend server", &self.in_flight),
            ("concurrency_limit", "Requests that may run at once", &self.limit),
            ("requests_queued", "Requests waiting for a slot", &self.queued),
            (
                "level_cut",
                "Admission level above which requests are refused",
                &self.level_threshold,
            ),
            ("settings_revision", "Settings revision in force", &self.revision),
            ("members", "Daemons known", &self.members),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    /// Counts an answered call and records its latency.
    pub fn record_answer(&self, answer: &CallAnswer, latency: Duration) {
        let labels = match answer {
            CallAnswer::Complete { .. } => {
                AnswerLabels { outcome: "ran".to_string(), reason: String::new() }
            }
            CallAnswer::Refused { outcome, reason, .. } => {
                AnswerLabels { outcome: outcome.to_string(), reason: reason.to_string() }
            }
        };
        self.answers.get_or_create(&labels).inc();
        self.latency.observe(latency.as_secs_f64());
    }

    /// Adds the body sizes of a control request and its response, in bytes.
    pub fn record_control_traffic(&self, n_sent: usize, n_received: usize) {
        for (direction, n_bytes) in [("sent", n_sent), ("received", n_received)] {
            let counter = self.control_bytes.get_or_create(&DirectionLabels { direction });
            counter.inc_by(n_bytes as u64);
        }
    }

    /// Counts an attempt that ended without a response.
    pub fn record_lost_attempt(&self) {
        self.lost_attempts.inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self, readings: &GaugeReadings) -> String {
        self.in_flight.set(i64::from(readings.load.in_flight));
        self.limit.set(i64::from(readings.load.limit));
        self.queued.set(i64::from(readings.load.queued));
        self.level_threshold.set(i64::from(readings.load.level_threshold));
        self.revision.set(i64::try_from(readings.revision).unwrap_or(i64::MAX));
        self.members.set(i64::try_from(readings.n_members).unwrap_or(i64::MAX));
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
