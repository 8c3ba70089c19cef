//! Reads the whole settings tree from the platform's table, page by page.
//!
//! Changes may be accepted between two pages. The head's revision is therefore read with the first page, and all changes
//! after it are applied on top of the pages. Each change replaces or removes one whole row, so that applying one that a
//! page already shows does no harm, and the result is exactly the tree at the last revision read.

use crate::{
    error::Error,
    platform::{KeyRange, TableRead, TableRow, TableRows},
};

use super::{
    rows::{
        CHANGES_PER_READ, HEAD_KEY, KEY_PREFIX, TEAM_PREFIX, changes_read, decode_changes,
        decode_head, decode_row,
    },
    tree::SettingsTree,
};

/// Rows read in one page.
const ROWS_PER_PAGE: usize = 500;

/// What to do next to read the tree.
#[derive(Clone, Debug, PartialEq)]
pub enum SnapshotStep {
    /// Send this read, and hand over its answer.
    Read(TableRead),
    /// The tree is complete.
    Done(Box<SettingsTree>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SnapshotPhase {
    Teams,
    Keys,
    Changes,
}

/// A reading of the whole tree in progress.
#[derive(Clone, Debug)]
pub struct SnapshotReader {
    tree: SettingsTree,
    phase: SnapshotPhase,
    has_base: bool,
}

impl SnapshotReader {
    /// Starts a reading, and returns its first read.
    pub fn start() -> (SnapshotReader, TableRead) {
        let tree = SettingsTree::default();
        let reading = SnapshotReader { tree, phase: SnapshotPhase::Teams, has_base: false };
        (reading, page_read(TEAM_PREFIX, TEAM_PREFIX.to_string()))
    }

    /// Takes the answer to the last read.
    ///
    /// # Errors
    ///
    /// Returns an error when a row can't be read or the changes have a gap.
    pub fn on_rows(&mut self, rows: &TableRows) -> Result<SnapshotStep, Error> {
        if !self.has_base {
            self.tree.revision = decode_head(rows)?;
            self.has_base = true;
        }
        match self.phase {
            SnapshotPhase::Teams => self.take_teams(rows),
            SnapshotPhase::Keys => self.take_keys(rows),
            SnapshotPhase::Changes => self.take_changes(rows),
        }
    }

    fn take_teams(&mut self, rows: &TableRows) -> Result<SnapshotStep, Error> {
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

    fn take_keys(&mut self, rows: &TableRows) -> Result<SnapshotStep, Error> {
        let page = page_rows(rows, KEY_PREFIX);
        for row in &page {
            let name = row.key[KEY_PREFIX.len()..].into();
            self.tree.keys.insert(name, decode_row(row)?);
        }
        Ok(SnapshotStep::Read(next_page(&page, KEY_PREFIX).unwrap_or_else(|| {
            self.phase = SnapshotPhase::Changes;
            changes_read(self.tree.revision, CHANGES_PER_READ)
        })))
    }

    fn take_changes(&mut self, rows: &TableRows) -> Result<SnapshotStep, Error> {
        for change in decode_changes(rows)? {
            self.tree.apply(&change)?;
        }
        if self.tree.revision < decode_head(rows)? {
            return Ok(SnapshotStep::Read(changes_read(self.tree.revision, CHANGES_PER_READ)));
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

/// Returns the read of the page after `page`, or `None` when it was the last.
fn next_page(page: &[&TableRow], prefix: &str) -> Option<TableRead> {
    let last = page.last().filter(|_| ROWS_PER_PAGE <= page.len())?;
    // `!` sorts before every character of a name, so this is the least key after the last one.
    Some(page_read(prefix, format!("{}!", last.key)))
}
