//! Stores changes in the platform's table, one transaction for each change.
//!
//! [`EditSession`] is a state machine without I/O. Its driver executes each [`EditStep`] and reports the answer or its
//! absence. The reported outcome is always true, for three reasons:
//!
//! - The transaction checks the version of `head`. Of all transactions that follow the same revision at most one is
//!   therefore applied, and the table rejects delayed copies of the others.
//! - Each change carries a change id chosen by the operator's tool. A session first looks for this id among the changes
//!   after the operator's base revision, so a change that already took effect is found and not applied again.
//! - A session ends with [`EditOutcome::NotStored`] only when no transaction with its change id is unanswered, neither
//!   its own nor one from an earlier request. Otherwise the outcome is [`EditOutcome::Unknown`], which is resolved by
//!   sending the change again with the same change id, marked as resent.
//!
//! Two sessions for one change id must not run concurrently: a daemon abandons a session before the operator's tool
//! stops waiting for it.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    error::{Error, Findings},
    platform::{RowWrite, TableRead, TableRows, TableTransaction, TransactionResult, VersionCheck},
    time::WallClock,
};

use super::{
    check::{check_key, check_subtree},
    edit::diff_subtrees,
    rows::{
        CHANGES_PER_READ, HEAD_KEY, HeadRow, TEAM_PREFIX, change_key, changes_read, decode_changes,
        decode_head, row_version, subject_key,
    },
    tree::{Revision, SettingsChange, SettingsTree, TreeEdit},
};

/// Number of unanswered requests and conflicts after which a session ends.
const MAX_FAILED_ATTEMPTS: u32 = 12;

const NO_ANSWER: &str = "the platform did not answer";

/// Revision in doubt until the head is read: a transaction of an earlier request may follow any revision.
const ANY_REVISION: Revision = Revision(u64::MAX);

/// An edit requested by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeDraft {
    /// Identifier chosen by the operator's tool for each intended change. It is the same when the draft is sent again.
    pub change_id: String,
    /// Name of the operator.
    pub operator: String,
    /// Time at which the daemon received the draft.
    pub accepted_at: WallClock,
    /// Revision at which the operator read the subtree or keys to change. It is the same when the draft is sent again.
    pub base: Revision,
    /// Whether an earlier request with this change id got no answer, so that its transaction may still take effect.
    #[serde(default)]
    pub resent: bool,
    /// Requested edit.
    pub edit: TreeEdit,
}

/// Whether a session stores the change or only shows its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditMode {
    /// Stores the change.
    Commit,
    /// Checks the change against the table and stores nothing.
    DryRun,
}

/// Next action for the driver of a session.
#[derive(Clone, Debug, PartialEq)]
pub enum EditStep {
    /// Send this read, and report its answer.
    Read(TableRead),
    /// Send this transaction, and report its result.
    Transact(TableTransaction),
    /// Stop: the session has ended with this outcome.
    Done(EditOutcome),
}

/// Outcome of an edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum EditOutcome {
    /// The change is stored in the table.
    Stored {
        /// Revision made by the change.
        revision: Revision,
    },
    /// The requested subtree is already in force; nothing was stored.
    Unchanged {
        /// Revision of the tree that the edit was compared with.
        revision: Revision,
    },
    /// Result of a dry run: the change passes all checks.
    WouldChange {
        /// Revision that the change would follow.
        revision: Revision,
        /// Effect of the change, as a unified diff or a sentence.
        diff: String,
    },
    /// The change fails a check; nothing was stored.
    Refused {
        /// Findings of all failed checks.
        findings: Findings,
    },
    /// Another operator changed the same subtree or key after the base revision; nothing was stored.
    Overtaken {
        /// Changes to the same subtree or key after the base revision.
        changes: Vec<ChangeSummary>,
    },
    /// The platform was unavailable or its data is inconsistent; nothing was stored, and no delayed transaction can
    /// still take effect.
    NotStored {
        /// Reason for the operator.
        reason: String,
    },
    /// It is unknown whether the change took effect. Sending it again with the same change id and base resolves this.
    Unknown {
        /// Change id to send again.
        change_id: String,
    },
}

impl EditOutcome {
    /// Returns the name of the outcome in responses and logs.
    pub fn name(&self) -> &'static str {
        match self {
            EditOutcome::Stored { .. } => "stored",
            EditOutcome::Unchanged { .. } => "unchanged",
            EditOutcome::WouldChange { .. } => "would-change",
            EditOutcome::Refused { .. } => "refused",
            EditOutcome::Overtaken { .. } => "overtaken",
            EditOutcome::NotStored { .. } => "not-stored",
            EditOutcome::Unknown { .. } => "unknown",
        }
    }
}

/// Summary of a change, for an operator whose edit was overtaken by it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSummary {
    /// Revision made by the change.
    pub revision: Revision,
    /// Operator who made the change.
    pub operator: String,
    /// Time at which the change was accepted.
    pub accepted_at: WallClock,
    /// Key of the changed row, e.g. `team/launch-desk`.
    pub subject: String,
}

impl ChangeSummary {
    /// Returns the summary of `change`.
    pub fn of(change: &SettingsChange) -> ChangeSummary {
        ChangeSummary {
            revision: change.revision,
            operator: change.operator.clone(),
            accepted_at: change.accepted_at,
            subject: subject_key(&change.edit),
        }
    }
}

/// State machine that stores one edit.
#[derive(Clone, Debug)]
pub struct EditSession {
    draft: ChangeDraft,
    mode: EditMode,
    tree: SettingsTree,
    /// Changes read so far. Those after the base revision are searched for the change id and for edits of the same row;
    /// those after the revision of `tree` are applied to it.
    changes: Vec<SettingsChange>,
    /// Revision up to which all changes have been searched.
    searched_to: Revision,
    /// Revision that an unanswered transaction with this change id would make; `None` once it can't take effect.
    revision_in_doubt: Option<Revision>,
    failed_attempts: u32,
}

impl EditSession {
    /// Starts a session on top of `tree`, the local copy, and returns its first step.
    pub fn start(
        draft: ChangeDraft,
        mode: EditMode,
        tree: SettingsTree,
    ) -> (EditSession, EditStep) {
        let searched_to = draft.base.min(tree.revision);
        let changes = Vec::new();
        let revision_in_doubt = draft.resent.then_some(ANY_REVISION);
        let session = EditSession {
            draft,
            mode,
            tree,
            changes,
            searched_to,
            revision_in_doubt,
            failed_attempts: 0,
        };
        let step = EditStep::Read(session.next_read());
        (session, step)
    }

    /// Handles the answer to the last read.
    pub fn on_rows(&mut self, rows: &TableRows) -> EditStep {
        match self.advance(rows) {
            Ok(step) => step,
            Err(cause) => EditStep::Done(self.unstored_outcome(cause.to_string())),
        }
    }

    /// Handles the result of the last transaction.
    pub fn on_result(&mut self, result: &TransactionResult) -> EditStep {
        match result {
            TransactionResult::Applied => self.on_applied(),
            TransactionResult::Conflict { key, .. } => {
                self.retry_or_end(format!("repeated conflicts on row {key}; try again"))
            }
        }
    }

    /// Handles a read without an answer.
    pub fn on_read_lost(&mut self) -> EditStep {
        self.retry_or_end(NO_ANSWER.to_string())
    }

    /// Handles a transaction that was not sent because the connection failed, or that the platform rejected unread.
    pub fn on_transaction_unsent(&mut self) -> EditStep {
        self.retry_or_end(NO_ANSWER.to_string())
    }

    /// Handles a transaction without an answer: it may have taken effect or may do so later.
    pub fn on_transaction_lost(&mut self) -> EditStep {
        self.revision_in_doubt = Some(self.tree.revision.next());
        self.retry_or_end(NO_ANSWER.to_string())
    }

    /// Returns the outcome of a session that its driver stops early, e.g. at the operator's timeout.
    ///
    /// A transaction that was sent and not answered has to be reported with [`EditSession::on_transaction_lost`] first.
    pub fn abandon(&self) -> EditOutcome {
        self.unstored_outcome(NO_ANSWER.to_string())
    }

    /// Returns the changes that the session read or stored, in the order of their revisions.
    pub fn into_changes(self) -> Vec<SettingsChange> {
        self.changes
    }

    fn next_read(&self) -> TableRead {
        let mut read = changes_read(self.searched_to, CHANGES_PER_READ);
        // Shows whether the table still has the history of the local tree.
        read.keys.push(change_key(self.tree.revision));
        read.keys.extend(self.checked_keys());
        read
    }

    /// Returns the keys of the rows whose versions the transaction checks in addition to the head row.
    fn checked_keys(&self) -> Vec<String> {
        let subject = subject_key(&self.draft.edit);
        let owner = match &self.draft.edit {
            TreeEdit::IssueKey { record, .. } => self.tree.owning_team(&record.account),
            TreeEdit::ReplaceSubtree { .. } | TreeEdit::WithdrawKey { .. } => None,
        };
        [subject].into_iter().chain(owner.map(|team| format!("{TEAM_PREFIX}{team}"))).collect()
    }

    fn advance(&mut self, rows: &TableRows) -> Result<EditStep, Error> {
        let head = decode_head(rows)?;
        if head < self.tree.revision || head < self.draft.base {
            let known = self.tree.revision.max(self.draft.base);
            let message = format!(
                "head revision {head} in the platform's table is lower than the known revision {known}"
            );
            return Err(Error::new(message));
        }
        for change in decode_changes(rows)? {
            self.add_change(change)?;
        }
        if let Some(found) = self.changes.iter().find(|it| it.change_id == self.draft.change_id) {
            return Ok(EditStep::Done(self.outcome_of(found)));
        }
        if self.searched_to < head {
            return Ok(EditStep::Read(self.next_read()));
        }
        // An unanswered transaction that follows a revision before the head can no longer take effect.
        let still_in_doubt = self.revision_in_doubt.filter(|revision| head < *revision);
        self.revision_in_doubt = still_in_doubt.map(|_| head.next());
        Ok(self.decide(rows))
    }

    /// Returns the outcome when the table holds `found`, a change with the id of this draft.
    fn outcome_of(&self, found: &SettingsChange) -> EditOutcome {
        let subject = subject_key(&self.draft.edit);
        if found.operator == self.draft.operator && subject_key(&found.edit) == subject {
            return EditOutcome::Stored { revision: found.revision };
        }
        let mut findings = Findings::default();
        let message =
            format!("used by another change, revision {}; allowed: a new id", found.revision);
        findings.push("$.change_id", message);
        EditOutcome::Refused { findings }
    }

    fn add_change(&mut self, change: SettingsChange) -> Result<(), Error> {
        if self.tree.conflicts_with(&change) {
            return Err(Error::new(format!(
                "revision {} was made by change {} in the platform's table and by change {} locally",
                change.revision, change.change_id, self.tree.change_id
            )));
        }
        if change.revision <= self.searched_to {
            return Ok(());
        }
        if change.revision != self.searched_to.next() {
            return Err(Error::new(format!(
                "the change of revision {} is missing",
                self.searched_to.next()
            )));
        }
        if self.tree.revision < change.revision {
            self.tree.apply(&change)?;
        }
        self.searched_to = change.revision;
        self.changes.push(change);
        Ok(())
    }

    /// Decides the next step from the tree at the head revision.
    fn decide(&self, rows: &TableRows) -> EditStep {
        let revision = self.tree.revision;
        if self.is_in_force() {
            return EditStep::Done(EditOutcome::Unchanged { revision });
        }
        let overtaking = self.overtaking_changes();
        if !overtaking.is_empty() {
            return EditStep::Done(EditOutcome::Overtaken { changes: overtaking });
        }
        match (self.check(), self.mode) {
            (Err(findings), _) => EditStep::Done(EditOutcome::Refused { findings }),
            (Ok(()), EditMode::DryRun) => {
                EditStep::Done(EditOutcome::WouldChange { revision, diff: self.describe() })
            }
            (Ok(()), EditMode::Commit) => EditStep::Transact(self.transaction(rows)),
        }
    }

    fn is_in_force(&self) -> bool {
        match &self.draft.edit {
            TreeEdit::ReplaceSubtree { team, subtree } => {
                self.tree.teams.get(team) == Some(subtree)
            }
            TreeEdit::IssueKey { .. } | TreeEdit::WithdrawKey { .. } => false,
        }
    }

    fn overtaking_changes(&self) -> Vec<ChangeSummary> {
        let subject = subject_key(&self.draft.edit);
        let later = self.changes.iter().filter(|it| self.draft.base < it.revision);
        later.map(ChangeSummary::of).filter(|it| it.subject == subject).collect()
    }

    fn check(&self) -> Result<(), Findings> {
        match &self.draft.edit {
            TreeEdit::ReplaceSubtree { team, subtree } => check_subtree(&self.tree, team, subtree),
            TreeEdit::IssueKey { name, record } => check_key(&self.tree, name, record),
            TreeEdit::WithdrawKey { name } if self.tree.keys.contains_key(name) => Ok(()),
            TreeEdit::WithdrawKey { name } => {
                let mut findings = Findings::default();
                findings.push("$.name", format!("no key \"{name}\" is in force"));
                Err(findings)
            }
        }
    }

    fn describe(&self) -> String {
        match &self.draft.edit {
            TreeEdit::ReplaceSubtree { team, subtree } => {
                diff_subtrees(self.tree.teams.get(team).unwrap_or(&Default::default()), subtree)
            }
            TreeEdit::IssueKey { name, record } => {
                format!("issues key \"{name}\" for account \"{}\"", record.account)
            }
            TreeEdit::WithdrawKey { name } => format!("withdraws key \"{name}\""),
        }
    }

    fn transaction(&self, rows: &TableRows) -> TableTransaction {
        let change = self.change();
        let change_row = change_key(change.revision);
        let checked = self.checked_keys().into_iter().chain([HEAD_KEY.to_string()]);
        let mut checks = checked
            .map(|key| VersionCheck { version: row_version(rows, &key), key })
            .collect::<Vec<_>>();
        checks.push(VersionCheck { key: change_row.clone(), version: 0 });
        let writes = vec![
            RowWrite {
                key: HEAD_KEY.to_string(),
                value: to_value(&HeadRow { revision: change.revision }),
            },
            RowWrite { key: change_row, value: to_value(&change) },
            RowWrite { key: subject_key(&change.edit), value: subject_value(&change.edit) },
        ];
        TableTransaction { checks, writes }
    }

    fn change(&self) -> SettingsChange {
        SettingsChange {
            revision: self.tree.revision.next(),
            change_id: self.draft.change_id.clone(),
            operator: self.draft.operator.clone(),
            accepted_at: self.draft.accepted_at,
            edit: self.draft.edit.clone(),
            before: self.tree.previous_value(&self.draft.edit),
        }
    }

    fn on_applied(&mut self) -> EditStep {
        let change = self.change();
        let revision = change.revision;
        self.changes.push(change);
        EditStep::Done(EditOutcome::Stored { revision })
    }

    fn retry_or_end(&mut self, reason: String) -> EditStep {
        self.failed_attempts += 1;
        if self.failed_attempts < MAX_FAILED_ATTEMPTS {
            return EditStep::Read(self.next_read());
        }
        EditStep::Done(self.unstored_outcome(reason))
    }

    fn unstored_outcome(&self, reason: String) -> EditOutcome {
        match self.revision_in_doubt {
            Some(_) => EditOutcome::Unknown { change_id: self.draft.change_id.clone() },
            None => EditOutcome::NotStored { reason },
        }
    }
}

fn subject_value(edit: &TreeEdit) -> Value {
    match edit {
        TreeEdit::ReplaceSubtree { subtree, .. } => to_value(subtree),
        TreeEdit::IssueKey { record, .. } => to_value(record),
        TreeEdit::WithdrawKey { .. } => Value::Null,
    }
}

fn to_value<T>(row: &T) -> Value
where
    T: Serialize,
{
    // Serialization can't fail, since rows are plain structs with string keys.
    serde_json::to_value(row).unwrap_or_default()
}
