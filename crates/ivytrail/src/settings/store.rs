//! Stores changes in the platform's table: one change is one transaction.
//!
//! [`EditSession`] is a state machine without I/O. Its driver sends what an [`EditStep`] asks for and reports the answer
//! or its absence. Three facts make the outcome certain:
//!
//! - the transaction checks the version of `head`, so that of all transactions that follow one revision at most one is
//!   applied, and a late copy of any other is refused by the table;
//! - each change carries its operator's change id, and a session first looks for that id among the changes after the
//!   operator's base revision, so that a change that took effect is found and never applied again;
//! - a session only gives up with [`EditOutcome::NotStored`] when no transaction with its change id is unanswered, be it
//!   its own or one of an earlier sending; otherwise the outcome is [`EditOutcome::Unknown`], and sending the same change
//!   id again, marked as resent, resolves it.
//!
//! Two sessions for one change id must not run at the same time: a daemon abandons a session before the operator's tool
//! stops to wait for it.

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

/// Reads and transactions without an answer, or conflicts, after which a session gives up.
const MAX_SETBACKS: u32 = 12;

const NO_ANSWER: &str = "the platform did not answer";

/// Revision in doubt before the head was read: an earlier sending may have followed any.
const ANY_REVISION: Revision = Revision(u64::MAX);

/// An edit as an operator asks for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeDraft {
    /// Chosen by the operator's tool, once for each intended change, and kept when it is sent again.
    pub change_id: String,
    /// Who asks.
    pub operator: String,
    /// When the daemon received it.
    pub accepted_at: WallClock,
    /// Revision at which the operator read what is to be replaced. It is kept when the draft is sent again.
    pub base: Revision,
    /// Whether an earlier sending with this change id got no answer, so that a copy of it may still take effect.
    #[serde(default)]
    pub resent: bool,
    /// The edit.
    pub edit: TreeEdit,
}

/// Whether a session stores the change or only shows what it would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditMode {
    /// Stores it.
    Commit,
    /// Checks it against the table and stores nothing.
    DryRun,
}

/// What the driver of a session has to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum EditStep {
    /// Send this read.
    Read(TableRead),
    /// Send this transaction.
    Transact(TableTransaction),
    /// Nothing: the session has ended.
    Done(EditOutcome),
}

/// How an edit ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum EditOutcome {
    /// The change is in the table.
    Stored {
        /// The revision that it made.
        revision: Revision,
    },
    /// What is asked for is in force already; nothing was stored.
    Unchanged {
        /// The revision that was compared.
        revision: Revision,
    },
    /// A dry run: the change passes all checks.
    WouldChange {
        /// The revision that it would follow.
        revision: Revision,
        /// What would change, as a unified diff or a sentence.
        diff: String,
    },
    /// The change breaks a check; nothing was stored.
    Refused {
        /// All findings.
        findings: Findings,
    },
    /// Another operator changed the same subtree or key after the base revision; nothing was stored.
    Overtaken {
        /// The changes that came first.
        changes: Vec<ChangeSummary>,
    },
    /// The platform could not be used; nothing was stored, and no late copy can take effect.
    NotStored {
        /// Why.
        reason: String,
    },
    /// No answer told whether the change took effect. Sending it again with the same change id and base resolves it.
    Unknown {
        /// The change id.
        change_id: String,
    },
}

impl EditOutcome {
    /// Returns the outcome's name, as it stands in answers and logs.
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

/// A change as it is shown to an operator who was overtaken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSummary {
    /// The revision that the change made.
    pub revision: Revision,
    /// Who made it.
    pub operator: String,
    /// When it was accepted.
    pub accepted_at: WallClock,
    /// What it changed, e.g. `team/launch-desk`.
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

/// One edit on its way into the table.
#[derive(Clone, Debug)]
pub struct EditSession {
    draft: ChangeDraft,
    mode: EditMode,
    tree: SettingsTree,
    /// Changes read so far: those after the base for the change id and the race, the newer ones for the tree.
    seen: Vec<SettingsChange>,
    /// All changes up to this revision have been looked at.
    searched: Revision,
    /// The revision that an unanswered transaction with this change id would make, while it still can.
    in_doubt: Option<Revision>,
    setbacks: u32,
}

impl EditSession {
    /// Starts an edit on top of `tree`, this daemon's copy, and returns the first step.
    pub fn start(
        draft: ChangeDraft,
        mode: EditMode,
        tree: SettingsTree,
    ) -> (EditSession, EditStep) {
        let searched = draft.base.min(tree.revision);
        let seen = Vec::new();
        let in_doubt = draft.resent.then_some(ANY_REVISION);
        let session = EditSession { draft, mode, tree, seen, searched, in_doubt, setbacks: 0 };
        let step = EditStep::Read(session.next_read());
        (session, step)
    }

    /// Takes the answer to a read.
    pub fn on_rows(&mut self, rows: &TableRows) -> EditStep {
        match self.advance(rows) {
            Ok(step) => step,
            Err(cause) => EditStep::Done(self.give_up(cause.to_string())),
        }
    }

    /// Takes the answer to a transaction.
    pub fn on_result(&mut self, result: &TransactionResult) -> EditStep {
        match result {
            TransactionResult::Applied => self.on_applied(),
            TransactionResult::Conflict { key, .. } => {
                self.set_back(format!("row {key} kept changing; try again"))
            }
        }
    }

    /// Takes note that the last read got no answer.
    pub fn on_read_lost(&mut self) -> EditStep {
        self.set_back(NO_ANSWER.to_string())
    }

    /// Takes note that the last transaction never left: the platform could not be connected to, or refused it unread.
    pub fn on_transaction_unsent(&mut self) -> EditStep {
        self.set_back(NO_ANSWER.to_string())
    }

    /// Takes note that the last transaction got no answer: it may have taken effect, or may still.
    pub fn on_transaction_lost(&mut self) -> EditStep {
        self.in_doubt = Some(self.tree.revision.next());
        self.set_back(NO_ANSWER.to_string())
    }

    /// Ends the session from outside, e.g. at the operator's timeout, and returns what is certain by then.
    ///
    /// A transaction that was sent and not answered has to be reported by [`EditSession::on_transaction_lost`] before.
    pub fn abandon(&self) -> EditOutcome {
        self.give_up(NO_ANSWER.to_string())
    }

    /// Returns the changes that the session learned of, its own included, in the order of their revisions.
    pub fn into_changes(self) -> Vec<SettingsChange> {
        self.seen
    }

    fn next_read(&self) -> TableRead {
        let mut read = changes_read(self.searched, CHANGES_PER_READ);
        read.keys.extend(self.checked_rows());
        read
    }

    /// Returns the keys of the rows whose versions the transaction checks besides the head's.
    fn checked_rows(&self) -> Vec<String> {
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
            let message = format!("the platform's head {head} is behind revision {known}");
            return Err(Error::new(message));
        }
        for change in decode_changes(rows)? {
            self.take_change(change)?;
        }
        if let Some(own) = self.seen.iter().find(|it| it.change_id == self.draft.change_id) {
            return Ok(EditStep::Done(self.outcome_of(own)));
        }
        if self.searched < head {
            return Ok(EditStep::Read(self.next_read()));
        }
        // A copy that followed a revision before the head can't take effect any more.
        let in_doubt = self.in_doubt.filter(|revision| head < *revision);
        self.in_doubt = in_doubt.map(|_| head.next());
        Ok(self.decide(rows))
    }

    /// Returns the outcome when `own`, a change with this draft's id, is in the table.
    fn outcome_of(&self, own: &SettingsChange) -> EditOutcome {
        let subject = subject_key(&self.draft.edit);
        if own.operator == self.draft.operator && subject_key(&own.edit) == subject {
            return EditOutcome::Stored { revision: own.revision };
        }
        let mut findings = Findings::default();
        let message = format!("id of another change, revision {}; allowed: a new id", own.revision);
        findings.push("$.change_id", message);
        EditOutcome::Refused { findings }
    }

    fn take_change(&mut self, change: SettingsChange) -> Result<(), Error> {
        if change.revision <= self.searched {
            return Ok(());
        }
        if change.revision != self.searched.next() {
            return Err(Error::new(format!("change {} is missing", self.searched.next())));
        }
        if self.tree.revision < change.revision {
            self.tree.apply(&change)?;
        }
        self.searched = change.revision;
        self.seen.push(change);
        Ok(())
    }

    /// Compares the edit with the tree at the head's revision.
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
        let later = self.seen.iter().filter(|it| self.draft.base < it.revision);
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
        let checked = self.checked_rows().into_iter().chain([HEAD_KEY.to_string()]);
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
        self.seen.push(change);
        EditStep::Done(EditOutcome::Stored { revision })
    }

    fn set_back(&mut self, reason: String) -> EditStep {
        self.setbacks += 1;
        if self.setbacks < MAX_SETBACKS {
            return EditStep::Read(self.next_read());
        }
        EditStep::Done(self.give_up(reason))
    }

    fn give_up(&self, reason: String) -> EditOutcome {
        match self.in_doubt {
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
    // Rows are plain structs with text keys, which JSON can always hold.
    serde_json::to_value(row).unwrap_or_default()
}
