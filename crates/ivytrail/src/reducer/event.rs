//! What a daemon is told: the reducer's only input.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    id::{AttemptId, CallId, CallToken, ContentDigest, MemberId, RingName, ServiceName},
    lease::RingDefinition,
    membership::MemberRecord,
    message::{AttemptHeader, AttemptReply, ControlMessage},
    settings::{Revision, SettingsChange, SettingsTree},
    time::{TimePoint, WallClock},
};

/// An event with the clock readings at which the daemon saw it.
#[derive(Clone, Debug)]
pub struct TimedEvent {
    /// The daemon's monotonic clock.
    pub now: TimePoint,
    /// The daemon's wall clock.
    pub wall: WallClock,
    /// What happened.
    pub event: DaemonEvent,
}

/// What happened at a daemon.
#[derive(Clone, Debug)]
pub enum DaemonEvent {
    /// A request came, from a caller or from this daemon's own backend server.
    CallReceived(CallRequest),
    /// A guard answered an attempt.
    AttemptAnswered {
        /// The answer.
        reply: AttemptReply,
        /// Body of the backend server's answer.
        body: Bytes,
    },
    /// An attempt ended without an answer.
    AttemptFailed {
        /// Serial number of the attempt.
        serial: u64,
        /// How it ended.
        cause: AttemptFailure,
    },
    /// A question for an attempt's fate ended without an answer.
    InquiryFailed {
        /// Serial number of the attempt.
        serial: u64,
    },
    /// The caller closed its connection.
    CallerDisconnected {
        /// The call.
        call: CallId,
    },
    /// An attempt reached this guard.
    AttemptReceived(Box<AttemptHeader>),
    /// An entry asks what became of an attempt; the reply goes to the asking connection.
    InquiryReceived {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An entry gave an attempt up.
    CancelReceived {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A run at the backend server ended.
    RunEnded {
        /// The attempt that ran.
        attempt: AttemptId,
        /// How it ended.
        end: RunEnd,
    },
    /// A probe of the backend server ended.
    BackendProbed {
        /// Whether it took the connection.
        is_alive: bool,
    },
    /// The backend server announced itself.
    BackendAnnounced(BackendAnnouncement),
    /// Another daemon sent a control message.
    ControlReceived {
        /// The sender.
        from: MemberId,
        /// The message.
        message: ControlMessage,
    },
    /// The platform's table or a peer told of a member, or of a ring's definition.
    FleetUpdated(FleetUpdate),
    /// A control message could not be delivered.
    ControlSendFailed {
        /// The message.
        message: ControlMessage,
    },
    /// An operator stored changes through this daemon; they come in the order of their revisions.
    ChangesStored(Vec<SettingsChange>),
    /// The settings were read from the platform's table.
    SettingsRead {
        /// When the read was sent, on this daemon's clock.
        sent_at: TimePoint,
        /// What was read.
        reading: SettingsReading,
    },
    /// An operator orders an instance to take no more work.
    DrainOrdered {
        /// The instance's daemon.
        member: MemberId,
    },
    /// An operator or the end of the process asks this daemon to leave.
    DrainRequested,
    /// Nothing runs here any more and the daemon is about to end: claims go to their next owners.
    HandoverRequested,
    /// Time passed.
    Tick,
}

/// A reading of the settings.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsReading {
    /// The head, and the changes after the revision in force here.
    Changes {
        /// Revision of the last accepted change.
        head: Revision,
        /// The changes, in the order of their revisions.
        changes: Vec<SettingsChange>,
    },
    /// The whole tree.
    Tree(Box<SettingsTree>),
}

/// A request at its entry daemon.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Number that the shell gave it.
    pub call: CallId,
    /// Where it came from.
    pub source: CallSource,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers without credentials and without connection headers.
    pub headers: Vec<(String, String)>,
    /// The idempotency key, where the caller gave one.
    pub idempotency_key: Option<String>,
    /// Digest of the body.
    pub body_digest: ContentDigest,
    /// Time limit that the caller set, where it set one.
    pub time_limit: Option<Duration>,
}

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSource {
    /// A caller, with the digest of the key that it showed.
    Caller(Option<ContentDigest>),
    /// This daemon's own backend server, with the token of the running call.
    Nested(CallToken),
}

/// How an attempt ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The connection broke, or its answer was not one to this attempt.
    Lost,
}

/// How a run at the backend server ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEnd {
    /// The backend server gave a whole answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// Headers of the answer.
        headers: Vec<(String, String)>,
        /// Body of the answer.
        body: Bytes,
    },
    /// The backend server refused to start it.
    Shed {
        /// When to come back, where the backend server said so.
        retry_after: Option<Duration>,
        /// Whether the backend server itself had no room; otherwise a call further down was refused.
        is_local: bool,
    },
    /// No connection to the backend server could be opened.
    NotSent,
    /// The connection broke, or the answer was cut.
    Broken,
    /// The answer was larger than this daemon holds.
    TooLarge,
    /// The deadline passed.
    TimedOut,
}

/// State of a backend server as it announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It takes no requests yet.
    Starting,
    /// It takes requests.
    Serving,
    /// It finishes what runs and takes nothing new.
    Draining,
    /// It has not announced itself for a while.
    Silent,
}

/// An announcement of the backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendAnnouncement {
    /// Service that it runs.
    pub service: ServiceName,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Its state.
    pub state: BackendState,
}

/// A fact about the fleet, read from the platform's table.
#[derive(Clone, Debug)]
pub enum FleetUpdate {
    /// A daemon.
    Member(MemberRecord),
    /// A ring's definition.
    Ring(RingDefinition),
    /// The table has no row for a ring.
    RingAbsent(RingName),
}
