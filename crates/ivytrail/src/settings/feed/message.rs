//! Messages by which daemons pass accepted changes on to each other.

use serde::{Deserialize, Serialize};

use crate::{
    id::{KeyName, TeamName},
    settings::{KeyRecord, Revision, SettingsChange, TeamSubtree},
};

/// A message between two daemons about the settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FeedMessage {
    /// Tells the sender's revision.
    RevisionNotice {
        /// The revision in force at the sender.
        revision: Revision,
    },
    /// Asks for the changes after a revision.
    DeltaRequest {
        /// The revision in force at the sender.
        after: Revision,
    },
    /// Answers [`FeedMessage::DeltaRequest`] with as many changes as fit.
    DeltaReply {
        /// Changes without a gap; none when the receiver is up to date.
        changes: Vec<SettingsChange>,
        /// The revision in force at the sender.
        revision: Revision,
    },
    /// Asks for a page of the whole tree.
    PageRequest {
        /// Where the page starts.
        cursor: PageCursor,
    },
    /// A page of the whole tree: the answer to [`FeedMessage::PageRequest`], and to [`FeedMessage::DeltaRequest`] when
    /// the sender no longer remembers the changes.
    SnapshotReply(TreePage),
}

/// Position in a tree that is read page by page: subtrees first, then keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PageCursor {
    /// At the start.
    #[default]
    Start,
    /// After a team's subtree.
    AfterTeam(TeamName),
    /// At the first key.
    Keys,
    /// After a key.
    AfterKey(KeyName),
}

/// A page of a tree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TreePage {
    /// Revision of the sender's tree when it sent the page.
    pub revision: Revision,
    /// Where the page starts.
    pub cursor: PageCursor,
    /// Subtrees.
    pub teams: Vec<(TeamName, TeamSubtree)>,
    /// Keys.
    pub keys: Vec<(KeyName, KeyRecord)>,
    /// Where the next page starts; absent on the last page.
    pub next: Option<PageCursor>,
}
