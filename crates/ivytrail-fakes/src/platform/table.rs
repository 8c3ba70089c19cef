//! In-memory table of the fake platform.

use std::collections::BTreeMap;

use ivytrail::platform::{TableRead, TableRow, TableRows, TableTransaction, TransactionResult};
use serde_json::Value;

#[derive(Clone, Debug)]
struct StoredRow {
    version: u64,
    value: Value,
}

/// In-memory table with compare-and-set transactions.
///
/// Versions are taken from a single counter, so that a row which is deleted and written again never reuses a version.
#[derive(Clone, Debug, Default)]
pub struct MemoryTable {
    rows: BTreeMap<String, StoredRow>,
    last_version: u64,
}

impl MemoryTable {
    /// Returns the existing rows selected by `read`, without duplicates, in key order.
    pub fn read(&self, read: &TableRead) -> TableRows {
        let mut selected = BTreeMap::new();
        for key in &read.keys {
            if let Some(row) = self.rows.get(key) {
                selected.insert(key, row);
            }
        }
        for range in read.ranges.iter().filter(|it| it.from < it.to) {
            selected
                .extend(self.rows.range(range.from.clone()..range.to.clone()).take(range.limit));
        }
        let rows = selected
            .into_iter()
            .map(|(key, row)| TableRow {
                key: key.clone(),
                version: row.version,
                value: row.value.clone(),
            })
            .collect();
        TableRows { rows }
    }

    /// Applies all writes of `transaction` if all of its version checks hold, otherwise none.
    pub fn transact(&mut self, transaction: TableTransaction) -> TransactionResult {
        for check in &transaction.checks {
            let version = self.version(&check.key);
            if version != check.version {
                return TransactionResult::Conflict { key: check.key.clone(), version };
            }
        }
        self.last_version += 1;
        for write in transaction.writes {
            match write.value {
                Value::Null => {
                    self.rows.remove(&write.key);
                }
                value => {
                    let row = StoredRow { version: self.last_version, value };
                    self.rows.insert(write.key, row);
                }
            }
        }
        TransactionResult::Applied
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.version)
    }
}
