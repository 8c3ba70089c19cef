//! What a daemon of a mesh is told, and what it has to do: the reducer's input and output.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use smol_str::SmolStr;

use crate::{
    id::{CallId, ContentDigest, InstanceName, MemberId},
    mesh::{
        frame::{AttemptRequest, HeaderList, PeerAdvertisement, PeerFrame, ServerAdvertisement},
        policy::FleetSettings,
    },
    message::{CallOutcome, RefusalReason},
};

/// A request that a client or the own backend server sent.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// The call.
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
    /// Digest of the key, where the caller showed one.
    pub key: Option<ContentDigest>,
    /// Time for which the client waits, where it says so.
    pub time_limit: Option<Duration>,
    /// Body.
    pub body: Bytes,
}

/// The one answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallAnswer {
    /// A backend server's whole answer.
    Complete {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: HeaderList,
        /// Body.
        body: Bytes,
    },
    /// No backend server answered.
    Refused {
        /// Whether the request has run.
        outcome: CallOutcome,
        /// Why.
        reason: RefusalReason,
        /// When to come back, where that is known.
        retry_after: Option<Duration>,
    },
}

/// How a run at the own backend server ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEnd {
    /// It answered whole.
    Answered {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: HeaderList,
        /// Body.
        body: Bytes,
    },
    /// It says that it has not run the request.
    Rejected {
        /// Whether another backend server has taken the address.
        is_misdirected: bool,
    },
    /// The request never left: no connection could be made.
    NotSent,
    /// The connection broke, or the answer was not whole.
    Broken,
    /// No answer came in time.
    TimedOut,
}

impl RunEnd {
    /// Returns a name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            RunEnd::Answered { .. } => "answered",
            RunEnd::Rejected { is_misdirected: false } => "rejected",
            RunEnd::Rejected { is_misdirected: true } => "misdirected",
            RunEnd::NotSent => "not-sent",
            RunEnd::Broken => "broken",
            RunEnd::TimedOut => "timed-out",
        }
    }
}

/// A run at the own backend server; unique within one run of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// Where another daemon takes links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// The other daemon's instance.
    pub instance: InstanceName,
    /// Its address.
    pub address: String,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum MeshEvent {
    /// A request came whole.
    CallReceived(Box<CallRequest>),
    /// The client closed its connection before the answer.
    CallerDisconnected {
        /// The call.
        call: CallId,
    },
    /// A link that this daemon dialed is open; the other end introduced itself.
    OutboundLinkOpened(Box<PeerAdvertisement>),
    /// A link that this daemon dialed broke or could not be made.
    OutboundLinkClosed {
        /// The other end.
        peer: InstanceName,
    },
    /// A daemon that dialed this one introduced itself.
    InboundLinkOpened(Box<PeerAdvertisement>),
    /// The link of a daemon that dialed this one broke.
    InboundLinkClosed {
        /// The other end.
        peer: InstanceName,
    },
    /// A frame came.
    FrameReceived {
        /// The other end.
        peer: MemberId,
        /// Its head.
        frame: PeerFrame,
        /// Its body.
        body: Bytes,
    },
    /// A run ended.
    RunEnded {
        /// The run.
        run: RunId,
        /// How.
        end: RunEnd,
    },
    /// The own backend server announced itself.
    ServerAnnounced {
        /// What it said.
        advertisement: ServerAdvertisement,
        /// Number that grows with each announcement of one run of the backend server.
        sequence: u64,
    },
    /// The own backend server said that it ends.
    ServerLeaving {
        /// Its identity.
        id: SmolStr,
    },
    /// Settings came from the platform.
    SettingsReceived {
        /// The settings.
        settings: Arc<FleetSettings>,
        /// The document that they were read from.
        document: Bytes,
    },
    /// The platform's table names other daemons.
    PeersDiscovered(Vec<PeerAddress>),
    /// A signal asks the daemon to leave.
    StopRequested,
    /// The guard takes nothing more, since the daemon is about to exit.
    GuardClosed,
    /// Time has passed.
    Tick,
}

/// What has to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum MeshEffect {
    /// Answer a call.
    Answer {
        /// The call.
        call: CallId,
        /// Its answer.
        answer: CallAnswer,
    },
    /// Send a frame on the link that this daemon dialed.
    Send {
        /// The other end.
        peer: InstanceName,
        /// The frame's head.
        frame: PeerFrame,
        /// The frame's body.
        body: Bytes,
    },
    /// Send a frame on the link that the other daemon dialed.
    SendOnInbound {
        /// The other end.
        peer: InstanceName,
        /// The frame's head.
        frame: PeerFrame,
        /// The frame's body.
        body: Bytes,
    },
    /// Dial another daemon, and again whenever the link breaks.
    Dial(PeerAddress),
    /// Close the link to another daemon; it is dialed anew.
    Redial {
        /// The other end.
        peer: InstanceName,
    },
    /// Stop dialing another daemon.
    StopDialing {
        /// The other end.
        peer: InstanceName,
    },
    /// Remove the row of another daemon from the platform's table.
    RemovePeerRow(PeerAddress),
    /// Run an attempt at the own backend server.
    StartRun {
        /// The run.
        run: RunId,
        /// What to run.
        request: Arc<AttemptRequest>,
        /// Identity of the backend server that shall run it.
        server_id: SmolStr,
        /// The request's body.
        body: Bytes,
        /// Time after which the answer is of no use.
        time_left: Duration,
    },
    /// Give a run up.
    CancelRun {
        /// The run.
        run: RunId,
    },
    /// Read settings that a peer handed over.
    DecodeSettings {
        /// The document.
        document: Bytes,
    },
    /// Write a line to the log.
    Log(String),
}
