//! Transfer of a whole tree between daemons, page by page.
//!
//! The sender's tree may change between two pages. The receiver therefore applies all changes after the revision of the
//! first page on top. Each change replaces or removes one whole row, so a change that a page already includes can be
//! applied again without effect.

use std::ops::Bound;

use super::message::{PageCursor, TreePage};
use crate::{
    id::MemberId,
    settings::{Revision, SettingsChange, SettingsTree},
};

/// Maximum number of keys in a page.
const KEYS_PER_PAGE: usize = 400;

/// Returns the page of `tree` at `cursor`, which has either one subtree or up to [`KEYS_PER_PAGE`] keys. The size of a
/// subtree is limited by the operator API.
pub(super) fn page_at(tree: &SettingsTree, cursor: &PageCursor) -> TreePage {
    let mut page = TreePage {
        revision: tree.revision,
        cursor: cursor.clone(),
        teams: Vec::new(),
        keys: Vec::new(),
        next: None,
        change_id: tree.change_id.clone(),
    };
    let team_bound = match cursor {
        PageCursor::Start => Some(Bound::Unbounded),
        PageCursor::AfterTeam(team) => Some(Bound::Excluded(team)),
        PageCursor::Keys | PageCursor::AfterKey(_) => None,
    };
    if let Some(bound) = team_bound {
        let team = tree.teams.range((bound, Bound::Unbounded)).next();
        page.teams.extend(team.map(|(name, subtree)| (name.clone(), subtree.clone())));
        let next = page.teams.last().map(|(name, _)| PageCursor::AfterTeam(name.clone()));
        page.next = Some(next.unwrap_or(PageCursor::Keys));
        return page;
    }
    let key_bound = match cursor {
        PageCursor::AfterKey(name) => Bound::Excluded(name),
        _ => Bound::Unbounded,
    };
    let keys = tree.keys.range((key_bound, Bound::Unbounded)).take(KEYS_PER_PAGE);
    page.keys.extend(keys.map(|(name, record)| (name.clone(), record.clone())));
    let is_full = KEYS_PER_PAGE == page.keys.len();
    page.next = page.keys.last().filter(|_| is_full).map(|it| PageCursor::AfterKey(it.0.clone()));
    page
}

/// A tree that is being downloaded page by page from one daemon.
#[derive(Clone, Debug)]
pub(super) struct TreeDownload {
    /// Daemon that sends the pages.
    pub(super) from: MemberId,
    tree: SettingsTree,
    next_cursor: Option<PageCursor>,
    /// Revision of the last page. The tree is complete once all changes up to it are applied.
    target_revision: Revision,
}

impl TreeDownload {
    /// Starts a download from `from` at the revision of its first page. The page itself has to be passed to
    /// [`TreeDownload::add_page`].
    pub(super) fn new(from: MemberId, first: &TreePage) -> TreeDownload {
        let (revision, change_id) = (first.revision, first.change_id.clone());
        let tree = SettingsTree { revision, change_id, ..SettingsTree::default() };
        let next_cursor = Some(PageCursor::Start);
        TreeDownload { from, tree, next_cursor, target_revision: revision }
    }

    /// Adds `page` if it is the next one, and returns whether it was. Any other page is ignored.
    pub(super) fn add_page(&mut self, page: TreePage) -> bool {
        if self.next_cursor.as_ref() != Some(&page.cursor) {
            return false;
        }
        self.tree.teams.extend(page.teams);
        self.tree.keys.extend(page.keys);
        self.target_revision = self.target_revision.max(page.revision);
        self.next_cursor = page.next;
        true
    }

    /// Applies changes on top of the pages.
    pub(super) fn apply_changes(&mut self, changes: &[SettingsChange]) {
        for change in changes {
            // Changes that are older than the first page or follow a gap are rejected and ignored.
            let _ = self.tree.apply(change);
        }
    }

    /// Returns the start of the next page, or `None` when all pages have arrived.
    pub(super) fn next_page(&self) -> Option<&PageCursor> {
        self.next_cursor.as_ref()
    }

    /// Returns the revision of the tree as downloaded so far.
    pub(super) fn revision(&self) -> Revision {
        self.tree.revision
    }

    /// Returns the identifier of the change that made the revision of the tree as downloaded so far.
    pub(super) fn change_id(&self) -> &str {
        &self.tree.change_id
    }

    /// Returns whether all pages have arrived and all changes up to the last page's revision are applied.
    pub(super) fn is_complete(&self) -> bool {
        self.next_cursor.is_none() && self.target_revision <= self.tree.revision
    }

    /// Returns the downloaded tree.
    pub(super) fn into_tree(self) -> SettingsTree {
        self.tree
    }
}
