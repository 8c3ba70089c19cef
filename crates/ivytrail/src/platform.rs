//! The parts of the platform's table service and object store protocols that the project uses.
//!
//! Requests are JSON over HTTP. A transaction lists the row versions it depends on and is applied atomically. The
//! response can be lost after the transaction was applied, so a client that must know the outcome reads the rows again.
//!
//! | request | body | response |
//! |---|---|---|
//! | `POST /table/read` | [`TableRead`] | [`TableRows`] |
//! | `POST /table/transact` | [`TableTransaction`] | [`TransactionResult`] |
//! | `PUT /objects/{name}` | bytes | 204 |
//! | `GET /objects/{name}` | | bytes, or 404 |

use serde::{Deserialize, Serialize};

/// Request to read single rows and ranges of rows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableRead {
    /// Keys to read.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Ranges to read.
    #[serde(default)]
    pub ranges: Vec<KeyRange>,
}

/// Selects at most `limit` rows with `from <= key < to`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key, inclusive.
    pub from: String,
    /// Last key, exclusive.
    pub to: String,
    /// Maximum number of rows in the response.
    pub limit: usize,
}

impl KeyRange {
    /// Returns the range of all keys that start with `prefix`.
    pub fn with_prefix(prefix: &str, limit: usize) -> KeyRange {
        // Keys are ASCII. `~` is the greatest printable ASCII character, so `prefix~` sorts after the keys in the
        // range.
        KeyRange { from: prefix.to_string(), to: format!("{prefix}~"), limit }
    }
}

/// A row of the table. The version of a key increases with each write and is never reused, even after a delete.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Version of the row; an absent row has version 0.
    pub version: u64,
    /// Value of the row.
    pub value: serde_json::Value,
}

/// Response with the rows found, in key order; absent rows are omitted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableRows {
    /// The rows that exist.
    pub rows: Vec<TableRow>,
}

/// Atomic transaction: all writes are applied if all checks pass, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Row versions that must be current.
    pub checks: Vec<VersionCheck>,
    /// Rows to write; a `null` value deletes the row.
    pub writes: Vec<RowWrite>,
}

/// Precondition that a row has a given version; 0 requires that the row is absent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionCheck {
    /// Key of the row.
    pub key: String,
    /// Required version.
    pub version: u64,
}

/// Write of one row.
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
    /// A version check failed, so nothing was written.
    Conflict {
        /// Key of the first row whose version differs.
        key: String,
        /// Its current version.
        version: u64,
    },
}
