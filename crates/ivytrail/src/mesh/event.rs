//! Input and output of the mesh reducer: events, effects and their payloads.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use smol_str::SmolStr;

use crate::{
    id::{CallId, ContentDigest, InstanceName, MemberId, ServiceName},
    mesh::{
        evacuation::EvacuationView,
        frame::{
            AttemptRequest, HeaderList, PeerAdvertisement, PeerFrame, ServerAdvertisement,
            ServerNotice,
        },
        policy::FleetSettings,
    },
    message::{CallOutcome, RefusalReason},
    quarantine::{EvidenceRecord, SuspectChanges},
};

/// A request from a client or from the local backend server.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Identifier of the call.
    pub call: CallId,
    /// Identifier that the client gave the request.
    pub request_id: SmolStr,
    /// HTTP method.
    pub method: SmolStr,
    /// Value of the `Host` header.
    pub host: SmolStr,
    /// Path and query.
    pub target: SmolStr,
    /// Headers for the backend server, without credentials.
    pub headers: HeaderList,
    /// Digest of the API key, if the caller sent one.
    pub key: Option<ContentDigest>,
    /// Timeout that the caller requested, if any.
    pub time_limit: Option<Duration>,
    /// Request body.
    pub body: Bytes,
}

/// The response to a call; each call gets exactly one.
#[derive(Clone, Debug, PartialEq)]
pub enum CallAnswer {
    /// A complete response from a backend server.
    Complete {
        /// HTTP status code.
        status: u16,
        /// Response headers.
        headers: HeaderList,
        /// Response body.
        body: Bytes,
    },
    /// A refusal in place of a backend server's response.
    Refused {
        /// Whether the request has run.
        outcome: CallOutcome,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Delay after which the caller should retry, if known.
        retry_after: Option<Duration>,
    },
}

/// Result of a run at the local backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEnd {
    /// The backend server sent a complete response.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Response headers.
        headers: HeaderList,
        /// Response body.
        body: Bytes,
    },
    /// The backend server reported that it has not run the request.
    Rejected {
        /// Whether a different backend server responded at the address.
        is_misdirected: bool,
    },
    /// The request was not sent, because the backend server accepts no connections.
    Unreachable,
    /// The request was not sent for another reason, such as a connection that was closed first.
    NotSent,
    /// The connection broke, or the response was incomplete.
    Broken,
    /// No response arrived before the deadline.
    TimedOut,
}

impl RunEnd {
    /// Returns the result's name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            RunEnd::Answered { .. } => "answered",
            RunEnd::Rejected { is_misdirected: false } => "rejected",
            RunEnd::Rejected { is_misdirected: true } => "misdirected",
            RunEnd::Unreachable => "unreachable",
            RunEnd::NotSent => "not-sent",
            RunEnd::Broken => "broken",
            RunEnd::TimedOut => "timed-out",
        }
    }
}

/// Identifier of a run at the local backend server, unique within one daemon incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// What a backend server reports in its response to a health probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthReport {
    /// Identity of the server's current run.
    pub server_id: SmolStr,
    /// Time for which the server remains cold; zero if it is warm.
    pub cold_for: Duration,
}

/// A run of a backend server that is shutting down.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{server_id}@{started_at_ms}")]
pub struct ServerDeparture {
    /// Identity of the server.
    pub server_id: SmolStr,
    /// Start time of the run, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}

/// Address at which another daemon accepts links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Instance of the other daemon.
    pub instance: InstanceName,
    /// Host and port to dial.
    pub address: String,
}

/// An input of the reducer.
#[derive(Clone, Debug)]
pub enum MeshEvent {
    /// A complete request was received.
    CallReceived(Box<CallRequest>),
    /// The caller closed its connection before it got a response.
    CallerDisconnected {
        /// Identifier of the call.
        call: CallId,
    },
    /// A link that this daemon dialed is open, and the peer sent its advertisement.
    OutboundLinkOpened(Box<PeerAdvertisement>),
    /// A link that this daemon dialed broke or could not be established.
    OutboundLinkClosed {
        /// Instance of the peer.
        peer: InstanceName,
    },
    /// A peer dialed this daemon and sent its advertisement.
    InboundLinkOpened(Box<PeerAdvertisement>),
    /// A link that a peer dialed broke.
    InboundLinkClosed {
        /// Instance of the peer.
        peer: InstanceName,
    },
    /// A frame was received from a peer.
    FrameReceived {
        /// Instance and incarnation of the peer.
        peer: MemberId,
        /// Header of the frame.
        frame: PeerFrame,
        /// Body of the frame.
        body: Bytes,
    },
    /// A run at the local backend server ended.
    RunEnded {
        /// Identifier of the run.
        run: RunId,
        /// Result of the run.
        end: RunEnd,
    },
    /// The local backend server announced itself.
    ServerAnnounced {
        /// Identity, capacity and phase of the backend server.
        advertisement: ServerAdvertisement,
        /// Sequence number, increasing with each announcement within one run of the backend server.
        sequence: u64,
    },
    /// The local backend server reported that it is shutting down.
    ServerLeaving {
        /// Identity of the backend server.
        id: SmolStr,
        /// Start time of the run that shuts down, in milliseconds since the Unix epoch, if the server named it.
        started_at_ms: Option<u64>,
    },
    /// The departures of backend servers were read from the platform's table.
    DeparturesLoaded(Vec<ServerDeparture>),
    /// The local backend server reported its state in a response.
    ServerNoticed {
        /// Identity of the backend server.
        id: SmolStr,
        /// What it reported.
        notice: ServerNotice,
    },
    /// A probe of the local backend server has ended.
    ServerProbed {
        /// Whether the server accepted a connection.
        is_reachable: bool,
    },
    /// A health probe of the local backend server has ended; there is no report if the server sent no response.
    HealthProbed(Option<HealthReport>),
    /// The evacuated failure domains were read from the platform's table.
    EvacuationsRead(EvacuationView),
    /// Evidence against quarantined requests was read from the platform's table.
    SuspectsLoaded(Vec<EvidenceRecord>),
    /// Settings were decoded, either from the platform's table or from a peer.
    SettingsReceived {
        /// The decoded settings.
        settings: Arc<FleetSettings>,
        /// The document that they were decoded from.
        document: Bytes,
    },
    /// The settings file names another service as that of the local backend server.
    ServiceAssigned {
        /// The service.
        service: ServiceName,
    },
    /// The platform's table lists other daemons.
    PeersDiscovered(Vec<PeerAddress>),
    /// The process received a signal to shut down.
    StopRequested {
        /// Time after which the process exits even if requests are still open.
        exit_within: Duration,
    },
    /// The guard stops accepting attempts, because the daemon is about to exit.
    GuardClosed,
    /// Periodic timer.
    Tick,
}

impl MeshEvent {
    /// Returns the event's name in logs.
    pub fn name(&self) -> &'static str {
        match self {
            MeshEvent::CallReceived(_) => "call-received",
            MeshEvent::CallerDisconnected { .. } => "caller-disconnected",
            MeshEvent::OutboundLinkOpened(_) => "outbound-link-opened",
            MeshEvent::OutboundLinkClosed { .. } => "outbound-link-closed",
            MeshEvent::InboundLinkOpened(_) => "inbound-link-opened",
            MeshEvent::InboundLinkClosed { .. } => "inbound-link-closed",
            MeshEvent::FrameReceived { .. } => "frame-received",
            MeshEvent::RunEnded { .. } => "run-ended",
            MeshEvent::ServerAnnounced { .. } => "server-announced",
            MeshEvent::ServerLeaving { .. } => "server-stopping",
            MeshEvent::DeparturesLoaded(_) => "departures-loaded",
            MeshEvent::ServerNoticed { .. } => "server-noticed",
            MeshEvent::ServerProbed { .. } => "server-probed",
            MeshEvent::HealthProbed(_) => "health-probed",
            MeshEvent::EvacuationsRead(_) => "evacuations-read",
            MeshEvent::SuspectsLoaded(_) => "suspects-loaded",
            MeshEvent::SettingsReceived { .. } => "settings-received",
            MeshEvent::ServiceAssigned { .. } => "service-assigned",
            MeshEvent::PeersDiscovered(_) => "peers-discovered",
            MeshEvent::StopRequested { .. } => "stop-requested",
            MeshEvent::GuardClosed => "guard-closed",
            MeshEvent::Tick => "tick",
        }
    }
}

/// An output of the reducer, to be executed by the runtime.
#[derive(Clone, Debug, PartialEq)]
pub enum MeshEffect {
    /// Send the response to a call.
    Answer {
        /// Identifier of the call.
        call: CallId,
        /// The response.
        answer: CallAnswer,
    },
    /// Send a frame on the link that this daemon dialed.
    Send {
        /// Instance of the peer.
        peer: InstanceName,
        /// Header of the frame.
        frame: PeerFrame,
        /// Body of the frame.
        body: Bytes,
    },
    /// Send a frame on the link that the peer dialed.
    SendOnInbound {
        /// Instance of the peer.
        peer: InstanceName,
        /// Header of the frame.
        frame: PeerFrame,
        /// Body of the frame.
        body: Bytes,
    },
    /// Dial a peer, and redial it whenever the link breaks.
    Dial(PeerAddress),
    /// Close the outbound link to a peer and dial it again.
    Redial {
        /// Instance of the peer.
        peer: InstanceName,
    },
    /// Stop dialing a peer.
    StopDialing {
        /// Instance of the peer.
        peer: InstanceName,
    },
    /// Remove a peer's row from the platform's table.
    RemovePeerRow(PeerAddress),
    /// Store evidence against quarantined requests in the platform's table, and remove that against cleared ones.
    SaveSuspects(SuspectChanges),
    /// Store the departure of the local backend server in the platform's table.
    SaveDeparture(ServerDeparture),
    /// Run an attempt at the local backend server.
    StartRun {
        /// Identifier of the run.
        run: RunId,
        /// The attempt to run.
        request: Arc<AttemptRequest>,
        /// Identity that the backend server must have.
        server_id: SmolStr,
        /// Request body.
        body: Bytes,
        /// Time until the deadline of the attempt.
        time_left: Duration,
    },
    /// Check whether the local backend server accepts connections.
    ProbeServer,
    /// Request the health of the local backend server.
    ProbeHealth {
        /// Path of the request.
        path: String,
    },
    /// Cancel a run.
    CancelRun {
        /// Identifier of the run.
        run: RunId,
    },
    /// Decode settings received from a peer.
    DecodeSettings {
        /// The settings document.
        document: Bytes,
    },
    /// Write a line to the log.
    Log(String),
}
