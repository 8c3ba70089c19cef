//! Attempts that have ended at a guard, and what may still be said of them.
//!
//! An entry whose link broke asks on the next one what became of an attempt. Only of an attempt that never came may the
//! guard say that it has not run, and then the attempt must not run later. Replies are kept for a short time; of what was
//! forgotten, the greatest serial number of each entry remains. Attempts of an entry arrive in the order of their serial
//! numbers, so that one above that number was never seen, and one up to it may have run.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;

use super::frame::AttemptResult;
use crate::{
    id::{AttemptId, MemberId},
    time::TimePoint,
};

/// Time for which a reply is kept for an entry whose link broke before it could read it.
const REPLY_LIFE: Duration = Duration::from_millis(2_500);
/// Bytes of bodies that kept replies may hold.
const MAX_KEPT_BYTES: usize = 2 << 20;
/// Time for which an attempt that must never run is remembered.
const BURIAL_LIFE: Duration = Duration::from_secs(30);

/// What became of an attempt.
#[derive(Debug)]
pub(super) enum AttemptStatus<'e> {
    /// It never came.
    Unseen,
    /// It never came when it was asked for, and must not run if it comes now.
    Tombstone,
    /// It has ended with this reply.
    Replied { result: &'e AttemptResult, body: &'e Bytes },
    /// It may have run; its reply is gone.
    Forgotten,
}

#[derive(Debug)]
enum EndedAttempt {
    Replied { result: AttemptResult, body: Bytes },
    Tombstone,
}

/// The attempts that have ended at one guard.
#[derive(Debug, Default)]
pub(super) struct EndedAttempts {
    kept: HashMap<AttemptId, EndedAttempt>,
    expiries: VecDeque<(TimePoint, AttemptId)>,
    n_kept_bytes: usize,
    /// The greatest serial number that was forgotten, by entry.
    forgotten: HashMap<MemberId, u64>,
}

impl EndedAttempts {
    /// Returns what became of an attempt that neither waits nor runs.
    pub(super) fn status(&self, attempt: &AttemptId) -> AttemptStatus<'_> {
        let floor = self.forgotten.get(&attempt.entry);
        match self.kept.get(attempt) {
            Some(EndedAttempt::Replied { result, body }) => AttemptStatus::Replied { result, body },
            Some(EndedAttempt::Tombstone) => AttemptStatus::Tombstone,
            None if floor.is_some_and(|it| attempt.serial <= *it) => AttemptStatus::Forgotten,
            None => AttemptStatus::Unseen,
        }
    }

    /// Keeps a reply for an entry that may ask for it, unless the attempt is buried.
    pub(super) fn keep_reply(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        result: AttemptResult,
        body: Bytes,
    ) {
        if matches!(self.kept.get(&attempt), Some(EndedAttempt::Tombstone)) {
            return;
        }
        self.remove(&attempt);
        self.n_kept_bytes += body.len();
        self.expiries.push_back((now.plus(REPLY_LIFE), attempt.clone()));
        self.kept.insert(attempt, EndedAttempt::Replied { result, body });
    }

    /// Remembers that an attempt must never run.
    pub(super) fn add_tombstone(&mut self, now: TimePoint, attempt: AttemptId) {
        self.remove(&attempt);
        self.expiries.push_back((now.plus(BURIAL_LIFE), attempt.clone()));
        self.kept.insert(attempt, EndedAttempt::Tombstone);
    }

    /// Records that an attempt may have run and has no reply.
    pub(super) fn mark_forgotten(&mut self, attempt: &AttemptId) {
        let floor = self.forgotten.entry(attempt.entry.clone()).or_default();
        *floor = (*floor).max(attempt.serial);
    }

    /// Drops what is known of earlier runs of an entry; nobody asks for it any more.
    pub(super) fn remove_earlier_runs(&mut self, entry: &MemberId) {
        self.forgotten
            .retain(|it, _| it.instance != entry.instance || it.incarnation == entry.incarnation);
    }

    /// Forgets what has been kept for long enough, and the oldest replies when they hold too much.
    pub(super) fn expire(&mut self, now: TimePoint) {
        while let Some((expiry, _)) = self.expiries.front() {
            if now < *expiry && self.n_kept_bytes <= MAX_KEPT_BYTES {
                return;
            }
            let Some((expiry, attempt)) = self.expiries.pop_front() else { return };
            // Burials are short; only replies are dropped early.
            if now < expiry && matches!(self.kept.get(&attempt), Some(EndedAttempt::Tombstone)) {
                self.expiries.push_back((expiry, attempt));
                return;
            }
            if self.remove(&attempt) {
                self.mark_forgotten(&attempt);
            }
        }
    }

    fn remove(&mut self, attempt: &AttemptId) -> bool {
        let removed = self.kept.remove(attempt);
        if let Some(EndedAttempt::Replied { body, .. }) = &removed {
            self.n_kept_bytes -= body.len();
        }
        removed.is_some()
    }
}
