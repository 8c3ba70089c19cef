//! Protocol of the platform's table service and object store, as the project uses it.
//!
//! Requests are JSON over HTTP. A transaction names the row versions it depends on; it is applied whole or not at all.
//! An answer can be lost after the transaction took effect: whoever needs to know reads afterwards.
//!
//! | request | body | answer |
//! |---|---|---|
//! | `POST /table/read` | [`TableRead`] | [`TableRows`] |
//! | `POST /table/transact` | [`TableTransaction`] | [`TransactionResult`] |
//! | `PUT /objects/{name}` | bytes | 204 |
//! | `GET /objects/{name}` | | bytes, or 404 |

use serde::{Deserialize, Serialize};

/// Reads single rows and ranges of rows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableRead {
    /// Keys to read.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Ranges to read.
    #[serde(default)]
    pub ranges: Vec<KeyRange>,
}

/// Rows with `from <= key < to`, at most `limit` of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key, inclusive.
    pub from: String,
    /// Last key, exclusive.
    pub to: String,
    /// Greatest number of rows in the answer.
    pub limit: usize,
}

impl KeyRange {
    /// Returns the range of all keys with `prefix`.
    pub fn with_prefix(prefix: &str, limit: usize) -> KeyRange {
        // Keys are ASCII, so `~` followed by nothing sorts after every key with the prefix.
        KeyRange { from: prefix.to_string(), to: format!("{prefix}~"), limit }
    }
}

/// A row. Versions of one key grow with each write and are never used again, also after a delete.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Version of the row; an absent row has version 0.
    pub version: u64,
    /// Value of the row.
    pub value: serde_json::Value,
}

/// Rows found, in key order; absent rows are left out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableRows {
    /// The rows.
    pub rows: Vec<TableRow>,
}

/// A transaction: all checks hold and all writes are applied, or nothing happens.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Versions that must still be current.
    pub checks: Vec<VersionCheck>,
    /// Rows to write; a `null` value deletes the row.
    pub writes: Vec<RowWrite>,
}

/// Requires a row to have a version; 0 requires that the row is absent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionCheck {
    /// Key of the row.
    pub key: String,
    /// Required version.
    pub version: u64,
}

/// Writes a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// New value; `null` deletes the row.
    pub value: serde_json::Value,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TransactionResult {
    /// All writes were applied.
    Applied,
    /// A check failed; nothing was written.
    Conflict {
        /// The first row whose version differs.
        key: String,
        /// Its current version.
        version: u64,
    },
}
