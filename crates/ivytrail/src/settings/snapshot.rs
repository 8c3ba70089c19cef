//! Reads the whole settings tree from the platform's table, page by page.
//!
//! Changes may be accepted between two pages. The head revision is therefore read with the first page, and all changes
//! after it are applied on top of the pages. Each change replaces or removes one whole row, so a change that a page
//! already includes can be applied again without effect. The result is exactly the tree at the last revision read.

use crate::{
    error::Error,
    platform::{KeyRange, TableRead, TableRow, TableRows},
};

use super::{
    rows::{
        CHANGES_PER_READ, HEAD_KEY, KEY_PREFIX, TEAM_PREFIX, changes_read_with_base,
        decode_changes, decode_head, decode_row,
    },
    tree::SettingsTree,
};

/// Maximum number of rows in one page.
const ROWS_PER_PAGE: usize = 500;

/// Next action for the driver of a [`SnapshotReader`].
#[derive(Clone, Debug, PartialEq)]
pub enum SnapshotStep {
    /// Send this read, and pass its answer to [`SnapshotReader::on_rows`].
    Read(TableRead),
    /// Stop: the tree is complete.
    Done(Box<SettingsTree>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SnapshotPhase {
    Teams,
    Keys,
    Changes,
}

/// State machine that reads the whole tree.
#[derive(Clone, Debug)]
pub struct SnapshotReader {
    tree: SettingsTree,
    phase: SnapshotPhase,
    has_base_revision: bool,
}

impl SnapshotReader {
    /// Starts to read the tree, and returns the first read.
    pub fn start() -> (SnapshotReader, TableRead) {
        let tree = SettingsTree::default();
        let reader = SnapshotReader { tree, phase: SnapshotPhase::Teams, has_base_revision: false };
        (reader, page_read(TEAM_PREFIX, TEAM_PREFIX.to_string()))
    }

    /// Handles the answer to the last read.
    ///
    /// # Errors
    ///
    /// Returns an error when a row can't be decoded or a change is missing.
    pub fn on_rows(&mut self, rows: &TableRows) -> Result<SnapshotStep, Error> {
        if !self.has_base_revision {
            self.tree.revision = decode_head(rows)?;
            self.has_base_revision = true;
        }
        match self.phase {
            SnapshotPhase::Teams => self.add_teams(rows),
            SnapshotPhase::Keys => self.add_keys(rows),
            SnapshotPhase::Changes => self.apply_changes(rows),
        }
    }

    fn add_teams(&mut self, rows: &TableRows) -> Result<SnapshotStep, Error> {
        let page = page_rows(rows, TEAM_PREFIX);
        for row in &page {
            let team = row.key[TEAM_PREFIX.len()..].into();
            self.tree.teams.insert(team, decode_row(row)?);
        }
        Ok(SnapshotStep::Read(next_page(&page, TEAM_PREFIX).unwrap_or_else(|| {
            self.phase = SnapshotPhase::Keys;
            page_read(KEY_PREFIX, KEY_PREFIX.to_string())
        })))
    }

    fn add_keys(&mut self, rows: &TableRows) -> Result<SnapshotStep, Error> {
        let page = page_rows(rows, KEY_PREFIX);
        for row in &page {
            let name = row.key[KEY_PREFIX.len()..].into();
            self.tree.keys.insert(name, decode_row(row)?);
        }
        Ok(SnapshotStep::Read(next_page(&page, KEY_PREFIX).unwrap_or_else(|| {
            self.phase = SnapshotPhase::Changes;
            changes_read_with_base(self.tree.revision, CHANGES_PER_READ)
        })))
    }

    fn apply_changes(&mut self, rows: &TableRows) -> Result<SnapshotStep, Error> {
        for change in decode_changes(rows)? {
            match change.revision == self.tree.revision {
                true => self.tree.change_id = change.change_id,
                false => self.tree.apply(&change)?,
            }
        }
        if self.tree.revision < decode_head(rows)? {
            return Ok(SnapshotStep::Read(changes_read_with_base(
                self.tree.revision,
                CHANGES_PER_READ,
            )));
        }
        Ok(SnapshotStep::Done(Box::new(std::mem::take(&mut self.tree))))
    }
}

fn page_read(prefix: &str, from: String) -> TableRead {
    let range = KeyRange { from, ..KeyRange::with_prefix(prefix, ROWS_PER_PAGE) };
    TableRead { keys: vec![HEAD_KEY.to_string()], ranges: vec![range] }
}

fn page_rows<'r>(rows: &'r TableRows, prefix: &str) -> Vec<&'r TableRow> {
    rows.rows.iter().filter(|row| row.key.starts_with(prefix)).collect()
}

/// Returns the read of the page after `page`, or `None` when that was the last one.
fn next_page(page: &[&TableRow], prefix: &str) -> Option<TableRead> {
    let last = page.last().filter(|_| ROWS_PER_PAGE <= page.len())?;
    // `!` sorts before every character of a name, so this is the smallest possible key after the last one.
    Some(page_read(prefix, format!("{}!", last.key)))
}
