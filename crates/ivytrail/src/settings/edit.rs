//! Application of changes to the settings tree, and diffs between subtrees.

use similar::TextDiff;

use crate::{
    error::Error,
    id::{AccountName, TeamName},
};

use super::tree::{SettingsChange, SettingsTree, TeamSubtree, TreeEdit};

/// Number of unchanged lines shown around each difference.
const DIFF_CONTEXT_LINES: usize = 3;

impl SettingsTree {
    /// Applies the change that makes the next revision of this tree.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the tree unchanged, unless `change` makes exactly the next revision.
    ///
    /// # Panics
    ///
    /// Panics when the revision would not increase: accepted settings must never revert.
    pub fn apply(&mut self, change: &SettingsChange) -> Result<(), Error> {
        let before = self.revision;
        if change.revision != before.next() {
            let message = format!(
                "change of revision {} can't be applied to revision {before}",
                change.revision
            );
            return Err(Error::new(message));
        }
        self.apply_edit(&change.edit);
        self.revision = change.revision;
        self.change_id.clone_from(&change.change_id);
        assert!(before < self.revision, "revision did not increase: {before} to {}", self.revision);
        Ok(())
    }

    /// Returns the value that `edit` replaces or removes, for the audit trail, or `null` when it only adds one.
    pub fn previous_value(&self, edit: &TreeEdit) -> serde_json::Value {
        let before = match edit {
            TreeEdit::ReplaceSubtree { team, .. } => self.teams.get(team).map(serde_json::to_value),
            TreeEdit::IssueKey { .. } => None,
            TreeEdit::WithdrawKey { name } => self.keys.get(name).map(serde_json::to_value),
        };
        before.and_then(Result::ok).unwrap_or_default()
    }

    /// Returns the team that declares the client account.
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

/// Returns a unified diff between the JSON of two subtrees, which is empty when they are equal.
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

/// Returns a subtree as indented JSON with sorted names, the format kept in version control.
pub fn to_pretty_json(subtree: &TeamSubtree) -> String {
    let text = serde_json::to_string_pretty(subtree).unwrap_or_default();
    format!("{text}\n")
}
