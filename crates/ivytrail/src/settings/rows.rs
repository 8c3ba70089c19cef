//! Keys and values of the rows in the platform's table that store the settings.
//!
//! | key | value |
//! |---|---|
//! | `head` | [`HeadRow`], the revision of the last accepted change |
//! | `change/<revision>` (20 digits) | [`SettingsChange`], both the entry of the audit trail and the delta |
//! | `team/<name>` | [`TeamSubtree`](super::TeamSubtree) |
//! | `key/<name>` | [`KeyRecord`](super::KeyRecord) |

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    error::Error,
    platform::{KeyRange, TableRead, TableRow, TableRows},
};

use super::tree::{Revision, SettingsChange, TreeEdit};

/// Key of the row with the revision of the last accepted change.
pub const HEAD_KEY: &str = "head";

/// Key prefix of the rows with accepted changes.
pub const CHANGE_PREFIX: &str = "change/";

/// Key prefix of the rows with the teams' subtrees.
pub const TEAM_PREFIX: &str = "team/";

/// Key prefix of the rows with the keys of client accounts.
pub const KEY_PREFIX: &str = "key/";

/// Maximum number of changes in one read.
pub const CHANGES_PER_READ: usize = 200;

/// Value of the head row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Revision of the last accepted change.
    pub revision: Revision,
}

/// Returns the key of the row with the change that made `revision`.
pub fn change_key(revision: Revision) -> String {
    format!("{CHANGE_PREFIX}{:020}", revision.0)
}

/// Returns the key of the row that `edit` writes or deletes, e.g. `team/launch-desk`.
pub fn subject_key(edit: &TreeEdit) -> String {
    match edit {
        TreeEdit::ReplaceSubtree { team, .. } => format!("{TEAM_PREFIX}{team}"),
        TreeEdit::IssueKey { name, .. } | TreeEdit::WithdrawKey { name } => {
            format!("{KEY_PREFIX}{name}")
        }
    }
}

/// Returns the read of the head row alone.
pub fn head_read() -> TableRead {
    TableRead { keys: vec![HEAD_KEY.to_string()], ranges: Vec::new() }
}

/// Returns the read of the head row and of at most `limit` changes after `revision`.
pub fn changes_read(revision: Revision, limit: usize) -> TableRead {
    let from = change_key(revision.next());
    let to = KeyRange::with_prefix(CHANGE_PREFIX, limit).to;
    TableRead { keys: vec![HEAD_KEY.to_string()], ranges: vec![KeyRange { from, to, limit }] }
}

/// Returns the read of the head row, of the change that made `revision` (the base) and of at most `limit` changes after it.
///
/// The identifier of the base shows whether the table still has the history from which the reader knows `revision`; after a
/// restore from an older copy, another change may have made the same revision.
pub fn changes_read_with_base(revision: Revision, limit: usize) -> TableRead {
    let mut read = changes_read(revision, limit);
    read.keys.push(change_key(revision));
    read
}

/// Returns the row with `key` in the answer to a read.
pub fn find_row<'r>(rows: &'r TableRows, key: &str) -> Option<&'r TableRow> {
    rows.rows.iter().find(|row| row.key == key)
}

/// Returns the version of the row with `key`, or 0 when it is absent.
pub fn row_version(rows: &TableRows, key: &str) -> u64 {
    find_row(rows, key).map_or(0, |row| row.version)
}

/// Returns the revision in the head row, or zero when no change was ever accepted.
///
/// # Errors
///
/// Returns an error when the row can't be decoded.
pub fn decode_head(rows: &TableRows) -> Result<Revision, Error> {
    let head = find_row(rows, HEAD_KEY).map(decode_row::<HeadRow>).transpose()?;
    Ok(head.unwrap_or_default().revision)
}

/// Returns the changes in the answer to a read, in the order of their revisions.
///
/// # Errors
///
/// Returns an error when a row can't be decoded.
pub fn decode_changes(rows: &TableRows) -> Result<Vec<SettingsChange>, Error> {
    let changes = rows.rows.iter().filter(|row| row.key.starts_with(CHANGE_PREFIX));
    changes.map(decode_row).collect()
}

/// Decodes the value of a row.
///
/// # Errors
///
/// Returns an error that names the row when its value is not of the expected type.
pub fn decode_row<T>(row: &TableRow) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    let value = T::deserialize(&row.value);
    value.map_err(|cause| Error::from(cause).context(format!("can't decode row {}", row.key)))
}
