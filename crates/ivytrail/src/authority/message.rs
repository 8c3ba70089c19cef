//! Messages that prove to other daemons how recent a daemon's settings are.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::settings::Revision;

/// Message between two daemons about evidence for the latest confirmed revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AuthorityMessage {
    /// Asks a member of the control ring for its revision.
    Question {
        /// Serial number of the round at the requester.
        serial: u64,
    },
    /// Answers [`AuthorityMessage::Question`].
    Attestation {
        /// Serial number of the round at the requester.
        serial: u64,
        /// Epoch of the control ring known to the sender.
        epoch: u64,
        /// Last epoch in which the sender proved that it holds all revisions confirmed before that epoch.
        confirmed_epoch: Option<u64>,
        /// Revision in force at the sender.
        revision: Revision,
    },
    /// Asks any daemon for its evidence.
    EvidenceRequest {
        /// Serial number of the request at the requester.
        serial: u64,
    },
    /// Answers [`AuthorityMessage::EvidenceRequest`].
    EvidenceReply {
        /// Serial number of the request at the requester.
        serial: u64,
        /// Greatest revision in the sender's evidence.
        revision: Revision,
        /// Age of the evidence when the reply was sent.
        age: Duration,
    },
}
