//! The reducer: every event of one daemon goes in, every effect comes out as data.
//!
//! [`DaemonReducer::apply`] reads as a table of contents: it hands each event to the flow that owns it. The flows ask
//! the decision modules (admission, retries, routing, quota, claims, membership, leases, quarantine), which own their
//! state; the reducer keeps none of its own beside theirs.
//!
//! # Example
//!
//! A daemon that has no settings yet refuses a request at once, and says that it has not run and when to come back:
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
    settings_flow::SettingsDesk,
};
pub use self::{
    effect::{CallAnswer, DaemonEffect},
    event::{
        BackendNotice, BackendState, BreakCause, CallRequest, CallSource, DaemonEvent, LearnedFact,
        RunEnd, SettingsReading, TimedEvent,
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

/// Time without an announcement after which the backend server counts as silent.
const ANNOUNCEMENT_PATIENCE: Duration = Duration::from_secs(2);

/// Time without any event after which this process counts as suspended; ticks come every few milliseconds.
const SUSPENSION_GAP: Duration = Duration::from_secs(1);

/// Who a daemon is.
#[derive(Clone, Debug)]
pub struct DaemonIdentity {
    /// This run of the daemon.
    pub member: MemberId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Address of its peer interface, as other daemons reach it.
    pub peer_address: String,
}

impl DaemonIdentity {
    /// Returns the identity of `member` in the failure domain `domain`.
    pub fn new(member: MemberId, domain: &str, peer_address: &str) -> DaemonIdentity {
        let peer_address = peer_address.to_string();
        DaemonIdentity { member, domain: domain.into(), peer_address }
    }
}

/// All decisions of one daemon.
#[derive(Debug)]
pub struct DaemonReducer {
    identity: DaemonIdentity,
    settings: SettingsInForce,
    switches: DecisionSwitches,
    desk: SettingsDesk,
    is_leaving: bool,
    is_starting_anew: bool,
    entry: EntryCalls,
    guard: GuardRuns,
    ledger: AttemptLedger,
    recent: RecentReplies,
    claims: ClaimTable,
    /// Longest time between the check of a claim's lease and the start of its run.
    run_window: Duration,
    admission: AdmissionQueue,
    gate: EntryGate,
    picker: UpstreamPicker,
    ratios: HashMap<(RouteName, Option<AccountName>), RetryRatio>,
    /// Last load that each other guard reported.
    loads: HashMap<MemberId, LoadReport>,
    quarantine: CrashQuarantine,
    backend: BackendWatch,
    control: ControlPlane,
    /// Time of the last event.
    active_at: TimePoint,
    rng: StdRng,
}

/// What is known of the backend server beside this daemon.
#[derive(Clone, Debug, Default)]
struct BackendWatch {
    notice: Option<BackendNotice>,
    heard_at: TimePoint,
    /// What ran when a run broke, until a probe has told whether the backend server crashed.
    in_flight_at_break: Option<Vec<ContentDigest>>,
}

impl BackendWatch {
    /// Returns the service that the backend server has announced.
    fn service(&self) -> Option<&ServiceName> {
        self.notice.as_ref().map(|it| &it.service)
    }
}

/// One step of the reducer: the clocks, and the effects so far.
struct Turn {
    now: TimePoint,
    wall: WallClock,
    out: Vec<DaemonEffect>,
}

impl Turn {
    fn log(&mut self, line: String) {
        self.out.push(DaemonEffect::LogLine(line));
    }
}

impl DaemonReducer {
    /// Returns the reducer of a daemon that has just started, with empty hands. `seed` feeds every random choice and
    /// must not be guessable, since call tokens are drawn from it.
    pub fn new(identity: DaemonIdentity, seed: [u8; 32]) -> DaemonReducer {
        DaemonReducer::with_switches(identity, seed, DecisionSwitches::default())
    }

    /// Returns the same with some decisions switched off, for measurements.
    pub fn with_switches(
        identity: DaemonIdentity,
        seed: [u8; 32],
        switches: DecisionSwitches,
    ) -> DaemonReducer {
        let feed_peer =
            FeedPeer { member: identity.member.clone(), domain: identity.domain.clone() };
        let number = ContentDigest::of_parts(&[&seed]).prefix();
        let routing = RoutingOptions {
            load_aware: switches.load_routing,
            local_first: switches.load_routing,
            slow_start: switches.load_routing,
            ejection: switches.ejection,
            ..RoutingOptions::new(identity.domain.clone(), number)
        };
        let admission = AdmissionOptions {
            adaptive: switches.adaptive_limit,
            fair: switches.fairness,
            priority: switches.priority,
            consistent: switches.consistent_shedding,
            deadline_aware: switches.deadline_awareness,
            seed: number,
            ..AdmissionOptions::default()
        };
        DaemonReducer {
            settings: SettingsInForce::default(),
            switches,
            desk: SettingsDesk::new(&feed_peer, number),
            is_leaving: false,
            is_starting_anew: false,
            entry: EntryCalls::new(identity.member.clone()),
            guard: GuardRuns::new(seed),
            ledger: AttemptLedger::new(LedgerOptions::default()),
            recent: RecentReplies::default(),
            claims: ClaimTable::new(ClaimOptions::default()),
            run_window: LeaseOptions::default().run_window(),
            admission: AdmissionQueue::new(admission),
            gate: EntryGate::with_options(GateOptions {
                thresholds: switches.entry_gate,
                fair: switches.fairness,
            }),
            picker: UpstreamPicker::new(routing),
            ratios: HashMap::new(),
            loads: HashMap::new(),
            quarantine: CrashQuarantine::new(identity.member.clone()),
            backend: BackendWatch::default(),
            control: ControlPlane::new(&identity, number),
            active_at: TimePoint::ORIGIN,
            rng: StdRng::seed_from_u64(number.rotate_left(17)),
            identity,
        }
    }

    /// Applies one event and returns what has to be done for it.
    pub fn apply(&mut self, event: TimedEvent) -> Vec<DaemonEffect> {
        let mut turn = Turn { now: event.now, wall: event.wall, out: Vec::new() };
        self.notice_suspension(&mut turn);
        match event.event {
            DaemonEvent::CallReceived(request) => self.receive_call(&mut turn, request),
            DaemonEvent::AttemptAnswered { reply, body } => {
                self.receive_answer(&mut turn, &reply, body);
            }
            DaemonEvent::AttemptBroken { serial, cause } => {
                self.receive_break(&mut turn, serial, cause);
            }
            DaemonEvent::InquiryBroken { serial } => self.receive_no_fate(&mut turn, serial),
            DaemonEvent::CallerGone { call } => self.drop_call(&mut turn, call),
            DaemonEvent::AttemptReceived(header) => self.receive_attempt(&mut turn, header),
            DaemonEvent::InquiryReceived { attempt } => self.receive_inquiry(&mut turn, &attempt),
            DaemonEvent::CancelReceived { attempt } => self.cancel_attempt(&mut turn, &attempt),
            DaemonEvent::RunEnded { attempt, end } => self.end_run(&mut turn, &attempt, end),
            DaemonEvent::BackendProbed { is_alive } => self.take_probe(&mut turn, is_alive),
            DaemonEvent::BackendAnnounced(notice) => self.hear_backend(&mut turn, notice),
            DaemonEvent::ControlReceived { from, message } => {
                self.receive_control(&mut turn, &from, message);
            }
            DaemonEvent::ControlLost { message } => self.lose_control(&mut turn, &message),
            DaemonEvent::ControlLearned(fact) => self.learn(&mut turn, fact),
            DaemonEvent::ChangesLearned(changes) => self.learn_changes(&mut turn, &changes),
            DaemonEvent::SettingsRead { sent_at, reading } => {
                self.take_reading(&mut turn, sent_at, reading);
            }
            DaemonEvent::DrainOrdered { member } => self.order_drain(&mut turn, member),
            DaemonEvent::DrainRequested => self.start_leaving(&mut turn),
            DaemonEvent::HandOverRequested => self.hand_over(&mut turn),
            DaemonEvent::Tick => self.tick(&mut turn),
        }
        self.settle_control(&mut turn);
        turn.out
    }

    /// Returns whether nothing is left that a graceful shutdown would cut.
    pub fn is_idle(&self) -> bool {
        self.entry.is_empty() && self.guard.is_empty()
    }

    /// Returns this daemon's own membership record.
    pub fn own_record(&self) -> &MemberRecord {
        self.control.view.own_record()
    }

    /// Returns all members that this daemon knows.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.control.view.members()
    }

    /// Returns the names of the rings whose definitions this daemon needs.
    pub fn ring_names(&self) -> impl Iterator<Item = &RingName> {
        self.control.rings.names()
    }

    /// Returns the last known load of a guard.
    pub fn load_of(&self, member: &MemberId) -> Option<LoadReport> {
        match *member == self.identity.member {
            true => Some(self.admission.load()),
            false => self.loads.get(member).copied(),
        }
    }

    /// Returns whether this daemon knows no other one, or lacks the definition of a ring that it needs.
    pub fn lacks_fleet(&self) -> bool {
        self.desk.peers().is_empty() || self.control.rings.lacks_definition()
    }

    /// Returns this guard's load.
    pub fn load(&self) -> LoadReport {
        self.admission.load()
    }

    /// Drops beliefs that rest on the silence of others when this process itself was silent.
    fn notice_suspension(&mut self, turn: &mut Turn) {
        let gap = turn.now.since(self.active_at);
        let was_active = TimePoint::ORIGIN < self.active_at;
        self.active_at = turn.now;
        if was_active && SUSPENSION_GAP < gap {
            turn.log(format!("event=suspended gap_ms={}", gap.as_millis()));
            self.control.rings.resume(turn.now);
            self.desk.watch.resume();
        }
    }

    fn tick(&mut self, turn: &mut Turn) {
        self.tick_calls(turn);
        self.tick_runs(turn);
        self.tick_control(turn);
    }
}

/// Control messages of one turn that wait for their address, with those to this daemon itself.
type ControlOutbox = VecDeque<(MemberId, crate::message::ControlMessage)>;
