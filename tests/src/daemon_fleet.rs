//! A few reducers whose messages pass through a queue that misbehaves on demand.
//!
//! Time is virtual and randomness is seeded, so a run is a function of its seed and script. There is no model of
//! machines, networks or services beyond one queue of deliveries and the small fakes beside it.

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
    caller::{CallRecord, CallerScript, KeyKind},
    faults::{FleetFault, KeyWithdrawal},
    node::{DaemonNode, NodeRun},
    platform::FakePlatform,
};
use crate::{firms::FirmConfig, session::SessionTrace};
use effects::PeerExchange;

/// Microseconds in a millisecond.
pub const MS: u64 = 1_000;
/// Time between two ticks of a daemon, in microseconds.
const TICK_US: u64 = 10 * MS;
/// Time between two announcements or readings of the platform, in microseconds.
const POLL_US: u64 = 500 * MS;

/// Deliveries after which a run counts as one that never ends.
const MAX_SCHEDULED_EVENTS: u64 = 300_000;

/// Odds, in permille of all messages between daemons, of each misbehaviour.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MessageFaultRates {
    /// The message is lost and its sender learns of a broken connection.
    pub lost_with_error: u32,
    /// The message arrives, and its sender learns of a broken connection.
    pub delivered_with_error: u32,
    /// The message arrives twice.
    pub duplicated: u32,
    /// The message arrives up to three seconds late, after younger ones.
    pub delayed: u32,
    /// The message is lost and nobody learns of it.
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

/// What one message meets.
enum DeliveryOutcome {
    /// It arrives after each of these delays.
    Delivered(Vec<u64>),
    /// It is lost; the sender learns of it.
    LostWithError,
    /// It arrives, and the sender believes that it is lost.
    DeliveredWithError(u64),
    /// It is lost without a sign.
    LostSilently,
}

/// Something that happens at a time.
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
    Call(Box<CallerScript>),
    Leave(NodeRun, u8),
    Fault(FleetFault),
    NodeStart(usize),
}

/// The daemons, the queue and the fakes.
#[derive(Debug)]
pub struct DaemonFleet {
    /// True time, in microseconds.
    pub now: u64,
    /// The daemons.
    pub nodes: Vec<DaemonNode>,
    /// The platform.
    pub platform: FakePlatform,
    /// The firm whose routes are served.
    pub firm: FirmConfig,
    /// Every call that was made.
    pub calls: BTreeMap<ivytrail::id::CallId, CallRecord>,
    /// Every run at a backend server.
    pub runs: Vec<RunRecord>,
    /// All that backend servers were sent, as text.
    pub backend_requests: Vec<String>,
    /// Times at which backend servers began to leave.
    pub drain_starts: BTreeMap<usize, u64>,
    /// Withdrawals of keys that the platform has accepted, by account.
    pub withdrawals: BTreeMap<&'static str, KeyWithdrawal>,
    /// Faults injected, by kind.
    pub n_faults: BTreeMap<&'static str, u64>,
    /// Events applied.
    pub n_events: u64,
    /// Promises found broken while running.
    pub violations: Vec<String>,
    /// Lines of the session, while one is recorded.
    pub trace: Option<SessionTrace>,
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    n_scheduled: u64,
    fault_rates: MessageFaultRates,
    fault_rates_until: u64,
    partitions: BTreeMap<(usize, usize), u64>,
    attempts: BTreeMap<ivytrail::id::AttemptId, ivytrail::id::CallId>,
    /// Starts and ends of the injected faults; those of armed pauses stand at their daemons.
    injected_intervals: Vec<(u64, u64)>,
    rng: StdRng,
}

impl DaemonFleet {
    /// Returns a fleet with one daemon for each of `services`, which starts now.
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

    /// Runs until `until`, in microseconds of true time.
    pub fn run_until(&mut self, until: u64) {
        while let Some(entry) = self.queue.first_entry().filter(|it| it.key().0 <= until) {
            let ((at, _), scheduled) = entry.remove_entry();
            self.now = at;
            self.process(scheduled);
            self.record_confirmations();
            if MAX_SCHEDULED_EVENTS < self.n_scheduled {
                self.violations.push(format!("messages without end at {at}"));
                break;
            }
        }
        self.now = until;
    }

    /// Schedules a call of a caller.
    pub fn schedule_call(&mut self, script: CallerScript) {
        self.schedule_at(script.at, ScheduledEvent::Call(Box::new(script)));
    }

    /// Schedules a fault at a time in microseconds.
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
            ScheduledEvent::PlatformRead(node_run, asked_at) => {
                self.read_platform(node_run, asked_at);
            }
            ScheduledEvent::BackendAnnouncement(node_run) => self.announce_backend(node_run),
            ScheduledEvent::RunEnd(node_run, attempt, ending) => {
                self.end_run(node_run, &attempt, ending);
            }
            ScheduledEvent::BackendRecovery(idx, mode) => self.recover_backend(idx, mode),
            ScheduledEvent::Call(script) => self.start_call(*script),
            ScheduledEvent::Leave(node_run, step) => self.advance_leave(node_run, step),
            ScheduledEvent::Fault(fault) => self.inject_fault(&fault),
            ScheduledEvent::NodeStart(idx) => self.start_node(idx),
        }
    }

    /// Drops what is for an ended run of a daemon; holds back what is for a paused one.
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
        self.arm_pause(idx, &scheduled);
        let resumes_at = self.nodes[idx].paused_until;
        if self.now < resumes_at {
            // A process that goes on takes up what waited in no certain order.
            let jitter = self.rng.random_range(0..2 * MS);
            self.schedule_at(resumes_at + jitter, scheduled);
            return None;
        }
        Some(scheduled)
    }

    /// Starts a pause that was to begin between a decision and its execution.
    fn arm_pause(&mut self, idx: usize, scheduled: &ScheduledEvent) {
        let is_critical = matches!(
            scheduled,
            ScheduledEvent::Effect(
                _,
                DaemonEffect::StartRun { .. }
                    | DaemonEffect::SendAttempt { .. }
                    | DaemonEffect::AnswerCall { .. }
            )
        );
        if let Some(length) = self.nodes[idx].pause_armed.take_if(|_| is_critical) {
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
