//! What a daemon does: the reducer's only output.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use crate::{
    id::{AttemptId, CallId, CallToken, MemberId},
    lease::RingDefinition,
    message::{AttemptHeader, AttemptReply, CallOutcome, ControlMessage, RefusalReason},
    settings::Revision,
    time::TimePoint,
};

/// Something that the shell has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum DaemonEffect {
    /// Answers a caller.
    AnswerCall {
        /// The call.
        call: CallId,
        /// The answer.
        answer: CallAnswer,
    },
    /// Sends an attempt to a guard, with the call's body.
    SendAttempt {
        /// The call whose body goes along.
        call: CallId,
        /// The guard.
        to: MemberId,
        /// Address of the guard's peer interface.
        address: String,
        /// What the guard needs to know.
        header: Box<AttemptHeader>,
    },
    /// Asks a guard on a new connection what became of an attempt.
    SendInquiry {
        /// Address of the guard's peer interface.
        address: String,
        /// The attempt.
        attempt: AttemptId,
        /// How long to wait for the answer.
        timeout: Duration,
    },
    /// Tells a guard that an attempt is given up.
    SendCancel {
        /// Address of the guard's peer interface.
        address: String,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Starts a run at the backend server.
    StartRun {
        /// The attempt; its body is the one that came with it.
        attempt: AttemptId,
        /// What the backend server shall see.
        header: Arc<AttemptHeader>,
        /// Token for nested calls.
        token: CallToken,
        /// Latest time to start; a run that would start later, after a pause, must not start at all.
        start_by: TimePoint,
        /// Time limit of the run.
        time_left: Duration,
    },
    /// Finds out whether the backend server still takes connections.
    ProbeBackend,
    /// Ends a run at the backend server whose answer nobody wants.
    CancelRun {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Answers every connection that waits for an attempt.
    SendReply {
        /// The answer.
        reply: Box<AttemptReply>,
        /// Body of the backend server's answer.
        body: Bytes,
    },
    /// Sends a control message to another daemon.
    SendControl {
        /// The receiver.
        to: MemberId,
        /// Address of its peer interface.
        address: String,
        /// The message.
        message: ControlMessage,
    },
    /// Reads the settings' head and the changes after a revision from the platform's table.
    ReadChanges {
        /// The revision in force here.
        after: Revision,
    },
    /// Reads the whole settings tree from the platform's table.
    ReadTree,
    /// Writes a ring's next definition to the platform's table, if the epoch before it is current there.
    ProposeRing(RingDefinition),
    /// Ends this run of the daemon and starts the next one: the other members have fenced this incarnation.
    Restart,
    /// Writes one line to the log.
    LogLine(String),
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum CallAnswer {
    /// The backend server's whole answer.
    Complete {
        /// HTTP status.
        status: u16,
        /// Headers of the answer.
        headers: Vec<(String, String)>,
        /// Body of the answer.
        body: Bytes,
    },
    /// A refusal or failure.
    Refused {
        /// Whether it has run.
        outcome: CallOutcome,
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Option<Duration>,
    },
}
