//! The deterministic state machine of one daemon: it consumes events and returns effects as data.
//!
//! [`DaemonReducer::apply`] dispatches each event to the submodule that handles it. The submodules call the decision
//! modules (admission, retries, routing, quota, claims, membership, leases, quarantine), which own their state; the
//! reducer does not duplicate that state.
//!
//! # Example
//!
//! A daemon that has no settings yet refuses a request immediately, reports that it did not run and suggests when to
//! retry:
//!
//! ```
//! use std::time::Duration;
//!
//! use ivytrail::{
//!     id::{CallId, ContentDigest, MemberId},
//!     message::{CallOutcome, RefusalReason},
//!     reducer::{
//!         CallAnswer, CallRequest, CallSource, DaemonEffect, DaemonEvent, DaemonIdentity,
//!         DaemonReducer, TimedEvent,
//!     },
//!     time::{TimePoint, WallClock},
//! };
//!
//! let member = MemberId { instance: "booking-1".into(), incarnation: 1 };
//! let identity = DaemonIdentity::new(member, "kolkata", "127.0.0.1:7101");
//! let mut reducer = DaemonReducer::new(identity, [7; 32]);
//! let request = CallRequest {
//!     call: CallId(1),
//!     source: CallSource::Caller(None),
//!     method: "GET".to_string(),
//!     path: "/tracker/7".to_string(),
//!     headers: Vec::new(),
//!     idempotency_key: None,
//!     body_digest: ContentDigest::of_parts(&[]),
//!     time_limit: None,
//! };
//! let effects = reducer.apply(TimedEvent {
//!     now: TimePoint::from_millis(5),
//!     wall: WallClock::from_millis(1_700_000_000_000),
//!     event: DaemonEvent::CallReceived(request),
//! });
//! let answer = CallAnswer::Refused {
//!     outcome: CallOutcome::NotRun,
//!     reason: RefusalReason::StaleSettings,
//!     retry_after: Some(Duration::from_secs(1)),
//! };
//! assert_eq!(effects, [DaemonEffect::AnswerCall { call: CallId(1), answer }]);
//! ```

mod call_flow;
mod claim_flow;
mod control_flow;
mod effect;
mod entry;
mod event;
mod guard;
mod quota_flow;
mod rings;
mod run_flow;
mod settings_flow;
#[cfg(test)]
mod tests;

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use rand::{SeedableRng, rngs::StdRng};

use self::{
    control_flow::ControlPlane,
    entry::EntryCalls,
    guard::{GuardRuns, RecentReplies},
    settings_flow::SettingsSync,
};
pub use self::{
    effect::{CallAnswer, DaemonEffect},
    event::{
        AttemptFailure, BackendAnnouncement, BackendState, CallRequest, CallSource, DaemonEvent,
        FleetUpdate, RunEnd, SettingsReading, TimedEvent,
    },
};
use crate::{
    admission::{AdmissionOptions, AdmissionQueue, EntryGate, GateOptions},
    claim::{AttemptLedger, ClaimOptions, ClaimTable, LedgerOptions},
    id::{AccountName, ContentDigest, DomainName, MemberId, RingName, RouteName, ServiceName},
    lease::LeaseOptions,
    membership::MemberRecord,
    message::LoadReport,
    quarantine::CrashQuarantine,
    retry::RetryRatio,
    routing::{RoutingOptions, UpstreamPicker},
    settings::{decisions::DecisionSwitches, feed::FeedPeer, index::SettingsInForce},
    time::{TimePoint, WallClock},
};

/// Time without an announcement after which the backend server is considered silent.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Gap between two events that indicates that this process was suspended; tick events arrive every few milliseconds.
const SUSPENSION_GAP: Duration = Duration::from_secs(1);

/// Identity and network location of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonIdentity {
    /// Instance name and incarnation of this daemon process.
    pub member: MemberId,
    /// Failure domain in which the daemon runs.
    pub domain: DomainName,
    /// Address at which other daemons reach the peer interface.
    pub peer_address: String,
}

impl DaemonIdentity {
    /// Returns the identity of `member` in the failure domain `domain`.
    pub fn new(member: MemberId, domain: &str, peer_address: &str) -> DaemonIdentity {
        let peer_address = peer_address.to_string();
        DaemonIdentity { member, domain: domain.into(), peer_address }
    }
}

/// State machine that makes all decisions of one daemon.
#[derive(Debug)]
pub struct DaemonReducer {
    identity: DaemonIdentity,
    settings: SettingsInForce,
    switches: DecisionSwitches,
    settings_sync: SettingsSync,
    is_leaving: bool,
    is_restarting: bool,
    entry: EntryCalls,
    guard: GuardRuns,
    ledger: AttemptLedger,
    recent_replies: RecentReplies,
    claims: ClaimTable,
    /// Maximum delay between checking the lease for a claim and starting its run.
    run_window: Duration,
    admission: AdmissionQueue,
    gate: EntryGate,
    picker: UpstreamPicker,
    retry_ratios: HashMap<(RouteName, Option<AccountName>), RetryRatio>,
    /// Latest load reported by each remote guard.
    peer_loads: HashMap<MemberId, LoadReport>,
    quarantine: CrashQuarantine,
    backend: BackendStatus,
    control: ControlPlane,
    last_event_at: TimePoint,
    rng: StdRng,
}

/// Last known state of the backend server that this daemon fronts.
#[derive(Clone, Debug, Default)]
struct BackendStatus {
    announcement: Option<BackendAnnouncement>,
    announced_at: TimePoint,
    /// Fingerprints of the runs in progress when a connection broke, kept until a probe shows whether the backend
    /// server crashed.
    in_flight_at_failure: Option<Vec<ContentDigest>>,
}

impl BackendStatus {
    /// Returns the service announced by the backend server.
    fn service(&self) -> Option<&ServiceName> {
        self.announcement.as_ref().map(|it| &it.service)
    }
}

/// Clock readings and accumulated effects of one call to [`DaemonReducer::apply`].
struct ReducerStep {
    now: TimePoint,
    wall: WallClock,
    effects: Vec<DaemonEffect>,
}

impl ReducerStep {
    fn log(&mut self, line: String) {
        self.effects.push(DaemonEffect::LogLine(line));
    }
}

impl DaemonReducer {
    /// Returns the reducer of a newly started daemon, without settings or known members. `seed` drives every random
    /// choice and must be unpredictable, since call tokens are derived from it.
    pub fn new(identity: DaemonIdentity, seed: [u8; 32]) -> DaemonReducer {
        DaemonReducer::with_switches(identity, seed, DecisionSwitches::default())
    }

    /// Like [`DaemonReducer::new`], but with some decisions disabled for measurements.
    pub fn with_switches(
        identity: DaemonIdentity,
        seed: [u8; 32],
        switches: DecisionSwitches,
    ) -> DaemonReducer {
        let feed_peer =
            FeedPeer { member: identity.member.clone(), domain: identity.domain.clone() };
        let rng_seed = ContentDigest::of_parts(&[&seed]).prefix();
        let routing = RoutingOptions {
            load_aware: switches.load_routing,
            local_first: switches.load_routing,
            slow_start: switches.load_routing,
            ejection: switches.ejection,
            ..RoutingOptions::new(identity.domain.clone(), rng_seed)
        };
        let admission = AdmissionOptions {
            adaptive: switches.adaptive_limit,
            fair: switches.fairness,
            priority: switches.priority,
            consistent: switches.consistent_shedding,
            deadline_aware: switches.deadline_awareness,
            seed: rng_seed,
            ..AdmissionOptions::default()
        };
        DaemonReducer {
            settings: SettingsInForce::default(),
            switches,
            settings_sync: SettingsSync::new(&feed_peer, rng_seed),
            is_leaving: false,
            is_restarting: false,
            entry: EntryCalls::new(identity.member.clone()),
            guard: GuardRuns::new(seed),
            ledger: AttemptLedger::new(LedgerOptions::default()),
            recent_replies: RecentReplies::default(),
            claims: ClaimTable::new(ClaimOptions::default()),
            run_window: LeaseOptions::default().run_window(),
            admission: AdmissionQueue::new(admission),
            gate: EntryGate::with_options(GateOptions {
                thresholds: switches.entry_gate,
                fair: switches.fairness,
            }),
            picker: UpstreamPicker::new(routing),
            retry_ratios: HashMap::new(),
            peer_loads: HashMap::new(),
            quarantine: CrashQuarantine::new(identity.member.clone()),
            backend: BackendStatus::default(),
            control: ControlPlane::new(&identity, rng_seed),
            last_event_at: TimePoint::ORIGIN,
            rng: StdRng::seed_from_u64(rng_seed.rotate_left(17)),
            identity,
        }
    }

    /// Applies one event and returns the effects to execute.
    pub fn apply(&mut self, event: TimedEvent) -> Vec<DaemonEffect> {
        let mut step = ReducerStep { now: event.now, wall: event.wall, effects: Vec::new() };
        self.detect_suspension(&mut step);
        match event.event {
            DaemonEvent::CallReceived(request) => self.handle_call(&mut step, request),
            DaemonEvent::AttemptAnswered { reply, body } => {
                self.handle_reply(&mut step, &reply, body);
            }
            DaemonEvent::AttemptFailed { serial, cause } => {
                self.handle_attempt_failure(&mut step, serial, cause);
            }
            DaemonEvent::InquiryFailed { serial } => self.handle_inquiry_failure(&mut step, serial),
            DaemonEvent::CallerDisconnected { call } => self.abandon_call(&mut step, call),
            DaemonEvent::AttemptReceived(header) => self.handle_attempt(&mut step, header),
            DaemonEvent::InquiryReceived { attempt } => self.handle_inquiry(&mut step, &attempt),
            DaemonEvent::CancelReceived { attempt } => self.cancel_attempt(&mut step, &attempt),
            DaemonEvent::RunEnded { attempt, end } => self.handle_run_end(&mut step, &attempt, end),
            DaemonEvent::BackendProbed { is_alive } => self.handle_probe(&mut step, is_alive),
            DaemonEvent::BackendAnnounced(notice) => self.handle_announcement(&mut step, notice),
            DaemonEvent::ControlReceived { from, message } => {
                self.handle_control(&mut step, &from, message);
            }
            DaemonEvent::ControlSendFailed { message } => {
                self.handle_control_failure(&mut step, &message);
            }
            DaemonEvent::FleetUpdated(update) => self.apply_fleet_update(&mut step, update),
            DaemonEvent::ChangesStored(changes) => self.apply_stored_changes(&mut step, &changes),
            DaemonEvent::SettingsRead { sent_at, reading } => {
                self.apply_settings_reading(&mut step, sent_at, reading);
            }
            DaemonEvent::DrainOrdered { member } => self.send_drain(&mut step, member),
            DaemonEvent::DrainRequested => self.start_leaving(&mut step),
            DaemonEvent::HandoverRequested => self.hand_over(&mut step),
            DaemonEvent::Tick => self.tick(&mut step),
        }
        self.flush_control(&mut step);
        step.effects
    }

    /// Returns whether no calls or runs are in progress that a graceful shutdown would interrupt.
    pub fn is_idle(&self) -> bool {
        self.entry.is_empty() && self.guard.is_empty()
    }

    /// Returns the membership record of this daemon.
    pub fn local_record(&self) -> &MemberRecord {
        self.control.view.local_record()
    }

    /// Returns the records of all members known to this daemon.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.control.view.members()
    }

    /// Returns the names of the rings that this daemon follows.
    pub fn ring_names(&self) -> impl Iterator<Item = &RingName> {
        self.control.rings.names()
    }

    /// Returns the last known load of the guard `member`.
    pub fn member_load(&self, member: &MemberId) -> Option<LoadReport> {
        match *member == self.identity.member {
            true => Some(self.admission.load()),
            false => self.peer_loads.get(member).copied(),
        }
    }

    /// Returns whether this daemon knows no other daemon, or lacks the definition of a ring that it follows.
    pub fn needs_discovery(&self) -> bool {
        self.settings_sync.peers().is_empty() || self.control.rings.lacks_definition()
    }

    /// Returns the current load of the local guard.
    pub fn load(&self) -> LoadReport {
        self.admission.load()
    }

    /// Discards conclusions drawn from missing messages if this process itself was suspended.
    fn detect_suspension(&mut self, step: &mut ReducerStep) {
        let gap = step.now.since(self.last_event_at);
        let was_active = TimePoint::ORIGIN < self.last_event_at;
        self.last_event_at = step.now;
        if was_active && SUSPENSION_GAP < gap {
            step.log(format!("event=suspended gap_ms={}", gap.as_millis()));
            self.control.rings.resume(step.now);
            self.settings_sync.watch.resume();
        }
    }

    fn tick(&mut self, step: &mut ReducerStep) {
        self.tick_calls(step);
        self.tick_runs(step);
        self.tick_control(step);
    }
}

/// Control messages of the current step with their receivers, which may include this daemon itself.
type ControlOutbox = VecDeque<(MemberId, crate::message::ControlMessage)>;
