//! Deterministic simulation of a few daemon reducers that exchange messages through a fault-injecting event queue.
//!
//! Time is virtual and randomness is seeded, so a run is determined by its seed, calls and faults. The simulation
//! consists of one event queue and small fakes of backend servers, callers and the platform; it models no machines or
//! networks.

mod backend;
mod caller;
mod effects;
mod faults;
mod node;
mod platform;

use std::collections::BTreeMap;

use ivytrail::reducer::{DaemonEffect, DaemonEvent};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub use self::{
    backend::{BackendMode, FakeBackend, RunRecord},
    caller::{CallRecord, CallerRequest, KeyKind},
    faults::{FleetFault, KeyWithdrawal},
    node::{DaemonNode, NodeRun},
    platform::FakePlatform,
};
use crate::{firms::FirmConfig, session::SessionTrace};
use effects::PeerExchange;

/// Microseconds in a millisecond.
pub const MS: u64 = 1_000;
/// Interval between two ticks of a daemon, in microseconds.
const TICK_US: u64 = 10 * MS;
/// Interval between two backend announcements, and between two reads of the platform, in microseconds.
const POLL_US: u64 = 500 * MS;

/// Number of scheduled events above which a run is assumed not to terminate.
const MAX_SCHEDULED_EVENTS: u64 = 300_000;

/// Probability of each message fault, per mille of the messages between daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MessageFaultRates {
    /// The message is lost and the sender sees a connection error.
    pub lost_with_error: u32,
    /// The message is delivered, but the sender sees a connection error.
    pub delivered_with_error: u32,
    /// The message is delivered twice.
    pub duplicated: u32,
    /// The message is delayed by up to three seconds and can be overtaken by later messages.
    pub delayed: u32,
    /// The message is lost without a connection error.
    pub lost_silently: u32,
}

impl MessageFaultRates {
    fn cumulative_per_mille(self) -> [u32; 5] {
        let mut sum = 0;
        [
            self.lost_with_error,
            self.delivered_with_error,
            self.duplicated,
            self.delayed,
            self.lost_silently,
        ]
        .map(|it| {
            sum += it;
            sum
        })
    }
}

/// Outcome of sending one message.
enum DeliveryOutcome {
    /// A copy is delivered after each of these delays in microseconds.
    Delivered(Vec<u64>),
    /// The message is lost and the sender sees a connection error.
    LostWithError,
    /// The message is delivered after this delay in microseconds, but the sender sees a connection error.
    DeliveredWithError(u64),
    /// The message is lost without a connection error.
    LostSilently,
}

/// An entry of the simulation's event queue.
#[derive(Debug)]
enum ScheduledEvent {
    Event(NodeRun, DaemonEvent),
    Effect(NodeRun, DaemonEffect),
    Message(usize, PeerExchange),
    Tick(NodeRun),
    PlatformPoll(NodeRun),
    PlatformRead(NodeRun, u64),
    BackendAnnouncement(NodeRun),
    RunEnd(NodeRun, ivytrail::id::AttemptId, backend::RunEnding),
    BackendRecovery(usize, BackendMode),
    Call(Box<CallerRequest>),
    Leave(NodeRun, u8),
    Fault(FleetFault),
    NodeStart(usize),
}

/// Simulated daemons with their event queue and fakes.
#[derive(Debug)]
pub struct DaemonFleet {
    /// Simulated true time, in microseconds since the start.
    pub now: u64,
    /// The daemons, with their backend servers.
    pub nodes: Vec<DaemonNode>,
    /// The fake platform.
    pub platform: FakePlatform,
    /// The firm whose routes the fleet serves.
    pub firm: FirmConfig,
    /// All calls, including nested ones.
    pub calls: BTreeMap<ivytrail::id::CallId, CallRecord>,
    /// All runs at backend servers.
    pub runs: Vec<RunRecord>,
    /// Debug text of the header of each request that a backend server received.
    pub backend_requests: Vec<String>,
    /// Time at which each draining backend server began to drain, in microseconds, by index of its daemon.
    pub drain_starts: BTreeMap<usize, u64>,
    /// Key withdrawals that the platform has accepted, by account.
    pub withdrawals: BTreeMap<&'static str, KeyWithdrawal>,
    /// Number of injected faults by kind.
    pub n_faults: BTreeMap<&'static str, u64>,
    /// Number of events applied by reducers.
    pub n_events: u64,
    /// Violations of invariants detected during the run.
    pub violations: Vec<String>,
    /// Trace of the session, while one is recorded.
    pub trace: Option<SessionTrace>,
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    n_scheduled: u64,
    fault_rates: MessageFaultRates,
    fault_rates_until: u64,
    partitions: BTreeMap<(usize, usize), u64>,
    attempts: BTreeMap<ivytrail::id::AttemptId, ivytrail::id::CallId>,
    /// Starts and ends of injected faults, except for armed pauses, which `DaemonNode::pauses` records.
    injected_intervals: Vec<(u64, u64)>,
    rng: StdRng,
}

impl DaemonFleet {
    /// Returns a fleet with one daemon for each of `services`, all of which start immediately.
    pub fn new(firm: FirmConfig, services: &[&str], seed: u64) -> DaemonFleet {
        let mut fleet = DaemonFleet {
            now: 0,
            nodes: Vec::new(),
            platform: FakePlatform::new(&firm),
            calls: BTreeMap::new(),
            runs: Vec::new(),
            backend_requests: Vec::new(),
            drain_starts: BTreeMap::new(),
            withdrawals: BTreeMap::new(),
            injected_intervals: Vec::new(),
            n_faults: BTreeMap::new(),
            n_events: 0,
            violations: Vec::new(),
            trace: None,
            queue: BTreeMap::new(),
            n_scheduled: 0,
            fault_rates: MessageFaultRates::default(),
            fault_rates_until: 0,
            partitions: BTreeMap::new(),
            attempts: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            firm,
        };
        for (idx, service) in services.iter().enumerate() {
            let skew_ms = fleet.rng.random_range(0..1_000);
            let domain = fleet.firm.domains[idx % 3];
            fleet.nodes.push(DaemonNode::new(idx, service, domain, skew_ms));
            fleet.start_node(idx);
        }
        fleet
    }

    /// Runs the simulation until `until`, in microseconds of true time.
    pub fn run_until(&mut self, until: u64) {
        while let Some(entry) = self.queue.first_entry().filter(|it| it.key().0 <= until) {
            let ((at, _), scheduled) = entry.remove_entry();
            self.now = at;
            self.process(scheduled);
            self.record_confirmations();
            if MAX_SCHEDULED_EVENTS < self.n_scheduled {
                self.violations.push(format!("too many scheduled events at {at}"));
                break;
            }
        }
        self.now = until;
    }

    /// Schedules a caller's request at the time it contains.
    pub fn schedule_call(&mut self, caller_request: CallerRequest) {
        self.schedule_at(caller_request.at, ScheduledEvent::Call(Box::new(caller_request)));
    }

    /// Schedules a fault at a true time in microseconds.
    pub fn schedule_fault(&mut self, at: u64, fault: FleetFault) {
        self.schedule_at(at, ScheduledEvent::Fault(fault));
    }

    fn schedule_at(&mut self, at: u64, scheduled: ScheduledEvent) {
        self.n_scheduled += 1;
        self.queue.insert((at, self.n_scheduled), scheduled);
    }

    fn schedule_event(&mut self, delay: u64, node_run: NodeRun, event: DaemonEvent) {
        self.schedule_at(self.now + delay, ScheduledEvent::Event(node_run, event));
    }

    fn process(&mut self, scheduled: ScheduledEvent) {
        let Some(scheduled) = self.drop_or_defer(scheduled) else { return };
        match scheduled {
            ScheduledEvent::Event(node_run, event) => self.apply(node_run, event),
            ScheduledEvent::Effect(node_run, effect) => self.execute_effect(node_run, effect),
            ScheduledEvent::Message(to, exchange) => self.deliver_request(to, exchange),
            ScheduledEvent::Tick(node_run) => {
                self.schedule_at(self.now + TICK_US, ScheduledEvent::Tick(node_run));
                self.apply(node_run, DaemonEvent::Tick);
            }
            ScheduledEvent::PlatformPoll(node_run) => self.poll_platform(node_run),
            ScheduledEvent::PlatformRead(node_run, requested_at) => {
                self.read_platform(node_run, requested_at);
            }
            ScheduledEvent::BackendAnnouncement(node_run) => self.announce_backend(node_run),
            ScheduledEvent::RunEnd(node_run, attempt, ending) => {
                self.end_run(node_run, &attempt, ending);
            }
            ScheduledEvent::BackendRecovery(idx, mode) => self.recover_backend(idx, mode),
            ScheduledEvent::Call(caller_request) => self.start_call(*caller_request),
            ScheduledEvent::Leave(node_run, step) => self.advance_leave(node_run, step),
            ScheduledEvent::Fault(fault) => self.inject_fault(&fault),
            ScheduledEvent::NodeStart(idx) => self.start_node(idx),
        }
    }

    /// Drops an event for a daemon run that has ended, and defers one for a daemon that is paused.
    fn drop_or_defer(&mut self, scheduled: ScheduledEvent) -> Option<ScheduledEvent> {
        let idx = match &scheduled {
            ScheduledEvent::Event(node_run, _)
            | ScheduledEvent::Effect(node_run, _)
            | ScheduledEvent::Tick(node_run)
            | ScheduledEvent::PlatformPoll(node_run)
            | ScheduledEvent::PlatformRead(node_run, _)
            | ScheduledEvent::BackendAnnouncement(node_run)
            | ScheduledEvent::Leave(node_run, _) => {
                if !self.is_up(*node_run) {
                    return None;
                }
                node_run.idx
            }
            ScheduledEvent::Message(to, _) => *to,
            _ => return Some(scheduled),
        };
        self.start_armed_pause(idx, &scheduled);
        let resumes_at = self.nodes[idx].paused_until;
        if self.now < resumes_at {
            // A resumed process handles its pending events in no particular order.
            let jitter = self.rng.random_range(0..2 * MS);
            self.schedule_at(resumes_at + jitter, scheduled);
            return None;
        }
        Some(scheduled)
    }

    /// Starts an armed pause when the reducer's next decision to run, send or answer is about to be executed.
    fn start_armed_pause(&mut self, idx: usize, scheduled: &ScheduledEvent) {
        let is_critical = matches!(
            scheduled,
            ScheduledEvent::Effect(
                _,
                DaemonEffect::StartRun { .. }
                    | DaemonEffect::SendAttempt { .. }
                    | DaemonEffect::AnswerCall { .. }
            )
        );
        if let Some(length) = self.nodes[idx].armed_pause.take_if(|_| is_critical) {
            self.nodes[idx].pause(self.now, length);
        }
    }

    fn is_up(&self, node_run: NodeRun) -> bool {
        let node = &self.nodes[node_run.idx];
        node.is_up && node.run == node_run.run
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let pair = (from.min(to), from.max(to));
        self.partitions.get(&pair).is_some_and(|until| self.now < *until)
    }

    fn draw_delivery_outcome(&mut self) -> DeliveryOutcome {
        let delay = self.rng.random_range(MS..2 * MS);
        let fault_rates = if self.now < self.fault_rates_until {
            self.fault_rates
        } else {
            MessageFaultRates::default()
        };
        let draw = self.rng.random_range(0..1_000);
        match fault_rates.cumulative_per_mille().iter().position(|it| draw < *it) {
            Some(0) => DeliveryOutcome::LostWithError,
            Some(1) => DeliveryOutcome::DeliveredWithError(delay),
            Some(2) => {
                DeliveryOutcome::Delivered(vec![delay, delay + self.rng.random_range(0..50 * MS)])
            }
            Some(3) => DeliveryOutcome::Delivered(vec![self.rng.random_range(0..3_000 * MS)]),
            Some(4) => DeliveryOutcome::LostSilently,
            _ => DeliveryOutcome::Delivered(vec![delay]),
        }
    }
}
