//! Applies changes to the settings tree, and shows what a change does.

use similar::TextDiff;

use crate::{
    error::Error,
    id::{AccountName, TeamName},
};

use super::tree::{SettingsChange, SettingsTree, TeamSubtree, TreeEdit};

/// Unchanged lines shown around each difference.
const DIFF_CONTEXT_LINES: usize = 3;

impl SettingsTree {
    /// Applies the change that follows this tree's revision.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the tree as it was, when the change doesn't make exactly the next revision.
    ///
    /// # Panics
    ///
    /// Panics when the revision would not grow: an accepted setting must never revert.
    pub fn apply(&mut self, change: &SettingsChange) -> Result<(), Error> {
        let before = self.revision;
        if change.revision != before.next() {
            let message = format!("change {} can't follow revision {before}", change.revision);
            return Err(Error::new(message));
        }
        self.apply_edit(&change.edit);
        self.revision = change.revision;
        assert!(before < self.revision, "revision fell from {before} to {}", self.revision);
        Ok(())
    }

    /// Returns what `edit` replaces or removes, for the audit trail; `null` when it only adds.
    pub fn previous_value(&self, edit: &TreeEdit) -> serde_json::Value {
        let before = match edit {
            TreeEdit::ReplaceSubtree { team, .. } => self.teams.get(team).map(serde_json::to_value),
            TreeEdit::IssueKey { .. } => None,
            TreeEdit::WithdrawKey { name } => self.keys.get(name).map(serde_json::to_value),
        };
        before.and_then(Result::ok).unwrap_or_default()
    }

    /// Returns the team that has the client account `account`.
    pub fn owning_team(&self, account: &AccountName) -> Option<&TeamName> {
        let owner = self.teams.iter().find(|(_, it)| it.accounts.contains_key(account));
        owner.map(|(team, _)| team)
    }

    fn apply_edit(&mut self, edit: &TreeEdit) {
        match edit {
            TreeEdit::ReplaceSubtree { team, subtree } => {
                self.teams.insert(team.clone(), subtree.clone());
            }
            TreeEdit::IssueKey { name, record } => {
                self.keys.insert(name.clone(), record.clone());
            }
            TreeEdit::WithdrawKey { name } => {
                self.keys.remove(name);
            }
        }
    }
}

/// Returns the differences of two subtrees as a unified diff of their JSON; empty when they are equal.
pub fn diff_subtrees(before: &TeamSubtree, after: &TeamSubtree) -> String {
    if before == after {
        return String::new();
    }
    let before = to_pretty_json(before);
    let after = to_pretty_json(after);
    let diff = TextDiff::from_lines(&before, &after);
    let mut unified = diff.unified_diff();
    unified.context_radius(DIFF_CONTEXT_LINES).header("in force", "proposed").to_string()
}

/// Returns a subtree as JSON text the way it is kept in version control: indented, with sorted names.
pub fn to_pretty_json(subtree: &TeamSubtree) -> String {
    let text = serde_json::to_string_pretty(subtree).unwrap_or_default();
    format!("{text}\n")
}
