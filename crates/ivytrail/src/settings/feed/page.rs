//! Whole trees, page by page, between daemons.
//!
//! The sender's tree may change between two pages. The receiver therefore applies all changes after the first page's
//! revision on top; each replaces or removes one whole row, so that applying one that a page already shows does no harm.

use std::ops::Bound;

use super::message::{PageCursor, TreePage};
use crate::{
    id::MemberId,
    settings::{Revision, SettingsChange, SettingsTree},
};

/// Greatest number of keys in a page.
const KEYS_PER_PAGE: usize = 400;

/// Returns the page of `tree` at `cursor`: one subtree, which is bounded by the operators' interface, or some keys.
pub(super) fn page_at(tree: &SettingsTree, cursor: &PageCursor) -> TreePage {
    let mut page = TreePage {
        revision: tree.revision,
        cursor: cursor.clone(),
        teams: Vec::new(),
        keys: Vec::new(),
        next: None,
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

/// A tree that is being received page by page from one daemon.
#[derive(Clone, Debug)]
pub(super) struct TreeIntake {
    /// The sender.
    pub(super) from: MemberId,
    tree: SettingsTree,
    expected: Option<PageCursor>,
    /// The last page's revision: the tree is whole once all changes up to it are applied.
    target: Revision,
}

impl TreeIntake {
    /// Starts to receive a tree from `from`, whose first page has the revision `base`.
    pub(super) fn new(from: MemberId, base: Revision) -> TreeIntake {
        let tree = SettingsTree { revision: base, ..SettingsTree::default() };
        TreeIntake { from, tree, expected: Some(PageCursor::Start), target: base }
    }

    /// Takes the next page; any other page is left aside. Returns whether it was the next one.
    pub(super) fn take_page(&mut self, page: TreePage) -> bool {
        if self.expected.as_ref() != Some(&page.cursor) {
            return false;
        }
        self.tree.teams.extend(page.teams);
        self.tree.keys.extend(page.keys);
        self.target = self.target.max(page.revision);
        self.expected = page.next;
        true
    }

    /// Takes changes that follow the pages.
    pub(super) fn take_changes(&mut self, changes: &[SettingsChange]) {
        for change in changes {
            // Those that are older than the first page, or come after a gap, don't apply.
            let _ = self.tree.apply(change);
        }
    }

    /// Returns where the next page starts; `None` when all pages are here.
    pub(super) fn next_page(&self) -> Option<&PageCursor> {
        self.expected.as_ref()
    }

    /// Returns the revision up to which the tree is known.
    pub(super) fn revision(&self) -> Revision {
        self.tree.revision
    }

    /// Returns whether all pages and changes are here.
    pub(super) fn is_whole(&self) -> bool {
        self.expected.is_none() && self.target <= self.tree.revision
    }

    /// Returns the tree.
    pub(super) fn into_tree(self) -> SettingsTree {
        self.tree
    }
}
