//! Fixtures shared by several tests.
#![allow(dead_code, reason = "each test uses some of the fixtures")]

use std::collections::BTreeMap;

use ivytrail::{
    platform::{TableRead, TableRow, TableRows, TableTransaction, TransactionResult},
    settings::{
        Revision, SettingsChange, TeamSubtree, TreeEdit, check::parse_subtree, rows,
        store::ChangeDraft,
    },
    time::WallClock,
};
use serde_json::{Value, json};

/// In-memory table with the semantics of the platform's table.
#[derive(Clone, Default)]
pub struct MemoryTable {
    rows: BTreeMap<String, (u64, Value)>,
    last_version: u64,
}

impl MemoryTable {
    pub fn read(&self, read: &TableRead) -> TableRows {
        let ranged = read.ranges.iter().flat_map(|range| {
            self.rows.range(range.from.clone()..range.to.clone()).take(range.limit)
        });
        let keyed = read.keys.iter().filter_map(|key| self.rows.get_key_value(key));
        let mut found = keyed.chain(ranged).map(row_of).collect::<Vec<_>>();
        found.sort_by(|left, right| left.key.cmp(&right.key));
        found.dedup();
        TableRows { rows: found }
    }

    pub fn transact(&mut self, transaction: &TableTransaction) -> TransactionResult {
        for check in &transaction.checks {
            let version = self.rows.get(&check.key).map_or(0, |(version, _)| *version);
            if version != check.version {
                return TransactionResult::Conflict { key: check.key.clone(), version };
            }
        }
        for write in &transaction.writes {
            self.last_version += 1;
            match &write.value {
                Value::Null => self.rows.remove(&write.key),
                value => self.rows.insert(write.key.clone(), (self.last_version, value.clone())),
            };
        }
        TransactionResult::Applied
    }

    pub fn changes(&self) -> Vec<SettingsChange> {
        let rows = self.read(&rows::changes_read(Revision(0), usize::MAX));
        rows::decode_changes(&rows).expect("change rows are well formed")
    }
}

fn row_of((key, (version, value)): (&String, &(u64, Value))) -> TableRow {
    TableRow { key: key.clone(), version: *version, value: value.clone() }
}

/// Returns a subtree with one account, whose burst distinguishes versions.
pub fn subtree(account: &str, burst: u32) -> TeamSubtree {
    let text = json!({"accounts": {account: {"rate_per_s": 1, "burst": burst}}}).to_string();
    parse_subtree(&text).expect("fixture is valid")
}

pub fn replacement(team: &str, account: &str, burst: u32) -> TreeEdit {
    TreeEdit::ReplaceSubtree { team: team.into(), subtree: subtree(account, burst) }
}

pub fn draft(change_id: &str, base: u64, edit: TreeEdit) -> ChangeDraft {
    ChangeDraft {
        change_id: change_id.to_string(),
        operator: format!("operator-of-{change_id}"),
        accepted_at: WallClock::from_millis(1),
        base: Revision(base),
        resent: false,
        edit,
    }
}

pub fn change(revision: u64, edit: TreeEdit) -> SettingsChange {
    SettingsChange {
        revision: Revision(revision),
        change_id: format!("change-{revision}"),
        operator: "asha".to_string(),
        accepted_at: WallClock::from_millis(revision),
        edit,
        before: Value::Null,
    }
}
