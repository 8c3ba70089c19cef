//! Messages that distribute accepted changes between daemons.

use serde::{Deserialize, Serialize};

use crate::{
    id::{KeyName, TeamName},
    settings::{KeyRecord, Revision, SettingsChange, TeamSubtree},
};

/// Message between two daemons about the settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FeedMessage {
    /// Announces the sender's revision.
    RevisionNotice {
        /// Revision in force at the sender.
        revision: Revision,
        /// Identifier of the change that made it.
        change_id: String,
    },
    /// Requests the changes after a revision.
    DeltaRequest {
        /// Revision after which the sender needs changes.
        after: Revision,
        /// Identifier of the change that made it.
        change_id: String,
    },
    /// Answers [`FeedMessage::DeltaRequest`] with as many changes as fit.
    DeltaReply {
        /// Changes with consecutive revisions; empty when the receiver is up to date.
        changes: Vec<SettingsChange>,
        /// Revision in force at the sender.
        revision: Revision,
    },
    /// Requests a page of the whole tree.
    PageRequest {
        /// Start of the page.
        cursor: PageCursor,
    },
    /// A page of the whole tree. Answers [`FeedMessage::PageRequest`], and [`FeedMessage::DeltaRequest`] when the
    /// sender no longer has the changes in its log.
    SnapshotReply(TreePage),
}

/// Position in a tree that is read page by page: subtrees first, then keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PageCursor {
    /// Start of the tree.
    #[default]
    Start,
    /// After the subtree of a team.
    AfterTeam(TeamName),
    /// First key.
    Keys,
    /// After a key.
    AfterKey(KeyName),
}

/// A page of a settings tree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TreePage {
    /// Revision of the sender's tree when it sent the page.
    pub revision: Revision,
    /// Start of the page.
    pub cursor: PageCursor,
    /// Subtrees in the page, by team.
    pub teams: Vec<(TeamName, TeamSubtree)>,
    /// Keys in the page, by public identifier.
    pub keys: Vec<(KeyName, KeyRecord)>,
    /// Start of the next page; absent on the last page.
    pub next: Option<PageCursor>,
    /// Identifier of the change that made `revision`.
    pub change_id: String,
}
