//! Log of the latest changes, from which daemons that are slightly behind are updated.

use std::collections::VecDeque;

use crate::settings::{Revision, SettingsChange};

/// Maximum number of changes kept.
const MAX_CHANGES: usize = 512;

/// Maximum total size of the encoded changes kept, in bytes.
const MAX_LOG_BYTES: usize = 1 << 20;

/// The latest changes with consecutive revisions, each with its encoded size in bytes.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeLog {
    /// Revision before the first change in the log, and the identifier of the change that made it.
    base: Option<(Revision, String)>,
    changes: VecDeque<(SettingsChange, usize)>,
    n_bytes: usize,
}

impl ChangeLog {
    /// Appends the change that follows the last one, and evicts the oldest changes beyond the limits.
    pub(super) fn push(&mut self, change: SettingsChange) {
        let size = rmp_serde::to_vec(&change).map_or(MAX_LOG_BYTES, |it| it.len());
        self.n_bytes += size;
        self.changes.push_back((change, size));
        while MAX_CHANGES < self.changes.len() || MAX_LOG_BYTES < self.n_bytes {
            let Some((evicted, size)) = self.changes.pop_front() else { break };
            self.n_bytes -= size;
            self.base = Some((evicted.revision, evicted.change_id));
        }
    }

    /// Removes all changes. The next one follows `revision`, which the change with the identifier `change_id` made.
    pub(super) fn restart_after(&mut self, revision: Revision, change_id: &str) {
        *self = ChangeLog { base: Some((revision, change_id.to_string())), ..ChangeLog::default() };
    }

    /// Returns the identifier of the change that made `revision`, if the log has it.
    pub(super) fn change_id(&self, revision: Revision) -> Option<&str> {
        let base = self.base.as_ref().filter(|(it, _)| *it == revision);
        let logged = || self.changes.iter().find(|(it, _)| it.revision == revision);
        base.map(|(_, change_id)| change_id.as_str())
            .or_else(|| logged().map(|(change, _)| change.change_id.as_str()))
    }

    /// Returns the changes after `revision`: the first one, and as many more as fit into `max_bytes`. Returns `None`
    /// when the first one is no longer in the log.
    pub(super) fn after(
        &self,
        revision: Revision,
        max_bytes: usize,
    ) -> Option<Vec<SettingsChange>> {
        let first = self.changes.front()?.0.revision;
        let skipped = revision.next().0.checked_sub(first.0)?;
        let mut n_bytes = 0;
        let mut changes = Vec::new();
        for (change, size) in self.changes.iter().skip(usize::try_from(skipped).ok()?) {
            n_bytes += size;
            if !changes.is_empty() && max_bytes < n_bytes {
                break;
            }
            changes.push(change.clone());
        }
        Some(changes)
    }
}
