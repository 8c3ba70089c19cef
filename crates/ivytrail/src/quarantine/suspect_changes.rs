//! Changes of what is kept outside the daemons about quarantined requests, for the time after all of them have restarted.

use std::collections::{BTreeMap, BTreeSet};

use super::EvidenceRecord;
use crate::id::ContentDigest;

/// Maximum number of suspects in one set of changes.
pub const MAX_CHANGES: usize = 100;

/// Evidence against a request that has been quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSuspect {
    /// The latest records of crashes.
    pub records: Vec<EvidenceRecord>,
}

/// Suspects to store and to remove.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectChanges {
    /// Suspects whose evidence has changed.
    pub stored: BTreeMap<ContentDigest, StoredSuspect>,
    /// Former suspects that have been cleared.
    pub removed: BTreeSet<ContentDigest>,
}

impl SuspectChanges {
    /// Returns whether there is nothing to store or to remove.
    pub fn is_empty(&self) -> bool {
        self.stored.is_empty() && self.removed.is_empty()
    }

    /// Returns whether there is room for a change of `fingerprint`.
    fn has_room(&self, fingerprint: &ContentDigest) -> bool {
        self.stored.len() + self.removed.len() < MAX_CHANGES
            || self.stored.contains_key(fingerprint)
            || self.removed.contains(fingerprint)
    }

    /// Adds a suspect to store. Beyond [`MAX_CHANGES`] it is left out: the daemons still know it.
    pub(super) fn store(&mut self, fingerprint: ContentDigest, suspect: StoredSuspect) {
        if self.has_room(&fingerprint) {
            self.removed.remove(&fingerprint);
            self.stored.insert(fingerprint, suspect);
        }
    }

    /// Adds a former suspect to remove. Beyond [`MAX_CHANGES`] it is left out: it is cleared again by its next trial.
    pub(super) fn remove(&mut self, fingerprint: ContentDigest) {
        if self.has_room(&fingerprint) {
            self.stored.remove(&fingerprint);
            self.removed.insert(fingerprint);
        }
    }
}
