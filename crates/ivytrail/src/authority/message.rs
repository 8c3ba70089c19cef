//! Messages by which daemons prove to each other how recent their settings are.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::settings::Revision;

/// A message between two daemons about evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AuthorityMessage {
    /// Asks a member of the control ring for its revision.
    Question {
        /// Number of the asker's round.
        serial: u64,
    },
    /// Answers [`AuthorityMessage::Question`].
    Attestation {
        /// Number of the asker's round.
        serial: u64,
        /// The ring's epoch at the sender.
        epoch: u64,
        /// The last epoch in which the sender proved that it holds all that was confirmed before.
        confirmed_epoch: Option<u64>,
        /// The revision in force at the sender.
        revision: Revision,
    },
    /// Asks any daemon for its evidence.
    EvidenceRequest {
        /// Number of the asker's request.
        serial: u64,
    },
    /// Answers [`AuthorityMessage::EvidenceRequest`].
    EvidenceReply {
        /// Number of the asker's request.
        serial: u64,
        /// The greatest revision in the sender's evidence.
        revision: Revision,
        /// Age of the evidence when this was sent.
        age: Duration,
    },
}
