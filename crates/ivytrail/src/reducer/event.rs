//! Events: the only input of the reducer.

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

/// An event with the clock readings taken when the daemon observed it.
#[derive(Clone, Debug)]
pub struct TimedEvent {
    /// Reading of the daemon's monotonic clock.
    pub now: TimePoint,
    /// Reading of the daemon's wall clock.
    pub wall: WallClock,
    /// The event to apply.
    pub event: DaemonEvent,
}

/// An input to the reducer: a request, a message, a completed operation or a tick.
#[derive(Clone, Debug)]
pub enum DaemonEvent {
    /// A request arrived from a caller or from the local backend server.
    CallReceived(CallRequest),
    /// A guard replied to an attempt.
    AttemptAnswered {
        /// The reply of the guard.
        reply: AttemptReply,
        /// Response body from the backend server.
        body: Bytes,
    },
    /// An attempt failed without a reply.
    AttemptFailed {
        /// Serial number of the attempt.
        serial: u64,
        /// Cause of the failure.
        cause: AttemptFailure,
    },
    /// An inquiry about the status of an attempt failed without a reply.
    InquiryFailed {
        /// Serial number of the attempt.
        serial: u64,
    },
    /// The caller closed its connection before the call completed.
    CallerDisconnected {
        /// Identifier of the call.
        call: CallId,
    },
    /// An attempt arrived at this guard.
    AttemptReceived(Box<AttemptHeader>),
    /// An entry inquired about the status of an attempt; the reply is sent on the connection of the inquiry.
    InquiryReceived {
        /// Identifier of the attempt.
        attempt: AttemptId,
    },
    /// An entry cancelled an attempt.
    CancelReceived {
        /// Identifier of the attempt.
        attempt: AttemptId,
    },
    /// A run at the backend server ended.
    RunEnded {
        /// Identifier of the attempt that ran.
        attempt: AttemptId,
        /// Result of the run.
        end: RunEnd,
    },
    /// A probe of the backend server completed.
    BackendProbed {
        /// Whether the backend server accepted the connection.
        is_alive: bool,
    },
    /// The backend server announced its service, capacity and state.
    BackendAnnounced(BackendAnnouncement),
    /// Another daemon sent a control message.
    ControlReceived {
        /// Daemon that sent the message.
        from: MemberId,
        /// Content of the message.
        message: ControlMessage,
    },
    /// The platform's table provided information about a member or a ring.
    FleetUpdated(FleetUpdate),
    /// A control message could not be delivered.
    ControlSendFailed {
        /// The undelivered message.
        message: ControlMessage,
    },
    /// An operator stored settings changes through this daemon; they are listed in revision order.
    ChangesStored(Vec<SettingsChange>),
    /// The settings were read from the platform's table.
    SettingsRead {
        /// Time at which the read request was sent, on this daemon's monotonic clock.
        sent_at: TimePoint,
        /// Content returned by the table.
        reading: SettingsReading,
    },
    /// An operator ordered an instance to drain, that is, to accept no more work.
    DrainOrdered {
        /// Daemon of the instance to drain.
        member: MemberId,
    },
    /// An operator or the process shutdown requested that this daemon drain and leave the fleet.
    DrainRequested,
    /// The daemon is idle and about to exit: its claims must be transferred to their next owners.
    HandoverRequested,
    /// A periodic timer fired.
    Tick,
}

/// Result of reading the settings from the platform's table.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsReading {
    /// The head revision and the changes that follow the revision in force locally.
    Changes {
        /// Revision of the latest accepted change.
        head: Revision,
        /// Changes in revision order.
        changes: Vec<SettingsChange>,
    },
    /// A snapshot of the complete settings tree.
    Tree(Box<SettingsTree>),
}

/// A request as received by its entry daemon.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Identifier assigned by the I/O driver.
    pub call: CallId,
    /// Origin of the request.
    pub source: CallSource,
    /// HTTP request method.
    pub method: String,
    /// Path and query of the request URI.
    pub path: String,
    /// Headers, excluding credentials and hop-by-hop headers.
    pub headers: Vec<(String, String)>,
    /// Idempotency key, if the caller provided one.
    pub idempotency_key: Option<String>,
    /// Digest of the request body.
    pub body_digest: ContentDigest,
    /// Time limit requested by the caller, if any.
    pub time_limit: Option<Duration>,
}

/// Origin of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSource {
    /// An external caller, with the digest of the API key that it presented.
    Caller(Option<ContentDigest>),
    /// The local backend server, with the token of the running call.
    Nested(CallToken),
}

/// Cause of an attempt that ended without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The connection was lost, or the reply did not match this attempt.
    Lost,
}

/// Result of a run at the backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEnd {
    /// The backend server returned a complete response.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Response headers.
        headers: Vec<(String, String)>,
        /// Response body.
        body: Bytes,
    },
    /// The backend server refused the run before starting it.
    Shed {
        /// Delay before a retry, if the backend server suggested one.
        retry_after: Option<Duration>,
        /// Whether the backend server itself lacked capacity; otherwise one of its nested calls was refused.
        is_local: bool,
    },
    /// No connection to the backend server could be opened.
    NotSent,
    /// The connection was lost or the response was truncated.
    Broken,
    /// The response exceeded the size limit of this daemon.
    TooLarge,
    /// The run did not complete before its deadline.
    TimedOut,
}

/// Availability of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// Not yet ready to accept requests.
    Starting,
    /// Accepting requests.
    Serving,
    /// Completing running requests and accepting no new ones.
    Draining,
    /// No announcement was received within the timeout, or the backend server crashed.
    Silent,
}

/// Service, capacity and state announced by a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendAnnouncement {
    /// Service that the backend server provides.
    pub service: ServiceName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Current availability.
    pub state: BackendState,
}

/// Information about the fleet read from the platform's table.
#[derive(Clone, Debug)]
pub enum FleetUpdate {
    /// Membership record of a daemon.
    Member(MemberRecord),
    /// Definition of a lease ring.
    Ring(RingDefinition),
    /// The table has no row for the named ring.
    RingAbsent(RingName),
}
