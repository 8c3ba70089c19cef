//! Effects: the only output of the reducer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use crate::{
    id::{AttemptId, CallId, CallToken, MemberId},
    lease::RingDefinition,
    message::{AttemptHeader, AttemptReply, CallOutcome, ControlMessage, RefusalReason},
    settings::Revision,
    time::TimePoint,
};

/// An action for the I/O driver to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum DaemonEffect {
    /// Sends the final answer to a caller.
    AnswerCall {
        /// Identifier of the call.
        call: CallId,
        /// Answer to send.
        answer: CallAnswer,
    },
    /// Sends an attempt with the request body to a guard.
    SendAttempt {
        /// Call whose request body is sent.
        call: CallId,
        /// Guard that receives the attempt.
        to: MemberId,
        /// Address of the guard's peer interface.
        address: String,
        /// Metadata of the attempt.
        header: Box<AttemptHeader>,
    },
    /// Inquires at a guard, on a new connection, about the status of an attempt.
    SendInquiry {
        /// Address of the guard's peer interface.
        address: String,
        /// Identifier of the attempt.
        attempt: AttemptId,
        /// Maximum time to wait for the reply.
        timeout: Duration,
    },
    /// Notifies a guard that an attempt is cancelled.
    SendCancel {
        /// Address of the guard's peer interface.
        address: String,
        /// Identifier of the attempt.
        attempt: AttemptId,
    },
    /// Starts a run at the backend server.
    StartRun {
        /// Attempt to run, with the request body received with it.
        attempt: AttemptId,
        /// Metadata from which the request to the backend server is built.
        header: Arc<AttemptHeader>,
        /// Token that authenticates nested calls.
        token: CallToken,
        /// Latest start time. If the process was suspended past it, the run must not start.
        start_by: TimePoint,
        /// Time remaining until the deadline of the run.
        time_left: Duration,
    },
    /// Checks whether the backend server still accepts connections.
    ProbeBackend,
    /// Cancels a run at the backend server whose response is no longer needed.
    CancelRun {
        /// Identifier of the attempt.
        attempt: AttemptId,
    },
    /// Sends a reply on every connection that waits for an attempt.
    SendReply {
        /// Reply to send.
        reply: Box<AttemptReply>,
        /// Response body from the backend server.
        body: Bytes,
    },
    /// Sends a control message to another daemon.
    SendControl {
        /// Daemon that receives the message.
        to: MemberId,
        /// Address of the receiver's peer interface.
        address: String,
        /// Message to send.
        message: ControlMessage,
    },
    /// Reads the head revision of the settings and the changes after a revision from the platform's table.
    ReadChanges {
        /// Revision in force locally.
        after: Revision,
    },
    /// Reads the complete settings tree from the platform's table.
    ReadTree,
    /// Writes the next definition of a ring to the platform's table, provided that the previous epoch is still current
    /// there.
    ProposeRing(RingDefinition),
    /// Restarts the daemon under a new incarnation, because other members have fenced or superseded this one.
    Restart,
    /// Writes a line to the log.
    LogLine(String),
}

/// Final answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallAnswer {
    /// The complete response of the backend server.
    Complete {
        /// HTTP status code.
        status: u16,
        /// Response headers.
        headers: Vec<(String, String)>,
        /// Response body.
        body: Bytes,
    },
    /// The call was refused or failed.
    Refused {
        /// Whether the request has run, as far as known.
        outcome: CallOutcome,
        /// Reason for the refusal or failure.
        reason: RefusalReason,
        /// Suggested delay before a retry.
        retry_after: Option<Duration>,
    },
}
