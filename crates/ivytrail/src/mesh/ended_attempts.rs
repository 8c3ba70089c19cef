//! Replies and tombstones of attempts that have ended at a guard.
//!
//! After a link has broken, an entry requests the status of its attempts on the next link. The guard may report that an
//! attempt has not run only if the attempt never arrived, and must then not run it if it arrives later: it keeps a
//! tombstone. Replies are kept for a short time. Once they are dropped, the guard keeps only the greatest dropped serial
//! number per entry. The attempts of an entry arrive in the order of their serial numbers, so an attempt above that
//! number has never arrived, and one up to it may have run.

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

/// Time for which a reply is kept for an entry whose link broke before it received the reply.
const REPLY_TTL: Duration = Duration::from_millis(2_500);
/// Maximum total size of the bodies of kept replies.
const MAX_KEPT_BYTES: usize = 2 << 20;
/// Time for which the tombstone of an attempt that must never run is kept.
const TOMBSTONE_TTL: Duration = Duration::from_secs(30);

/// Status of an attempt that neither waits nor runs.
#[derive(Debug)]
pub(super) enum AttemptStatus<'e> {
    /// The attempt has never arrived.
    Unseen,
    /// The attempt had not arrived when its status was requested, or was removed before it ran; it must not run if it
    /// arrives.
    Tombstone,
    /// The attempt has ended with this reply.
    Replied { result: &'e AttemptResult, body: &'e Bytes },
    /// The attempt may have run, and its reply is not available.
    Forgotten,
}

#[derive(Debug)]
enum EndedAttempt {
    Replied { result: AttemptResult, body: Bytes },
    Tombstone,
}

/// Ended attempts of one guard.
#[derive(Debug, Default)]
pub(super) struct EndedAttempts {
    kept: HashMap<AttemptId, EndedAttempt>,
    reply_expiries: VecDeque<(TimePoint, AttemptId)>,
    tombstone_expiries: VecDeque<(TimePoint, AttemptId)>,
    n_kept_bytes: usize,
    /// Greatest serial number of a forgotten attempt, by entry.
    forgotten: HashMap<MemberId, u64>,
}

impl EndedAttempts {
    /// Returns the status of an attempt that neither waits nor runs.
    pub(super) fn status(&self, attempt: &AttemptId) -> AttemptStatus<'_> {
        let last_forgotten = self.forgotten.get(&attempt.entry);
        match self.kept.get(attempt) {
            Some(EndedAttempt::Replied { result, body }) => AttemptStatus::Replied { result, body },
            Some(EndedAttempt::Tombstone) => AttemptStatus::Tombstone,
            None if last_forgotten.is_some_and(|it| attempt.serial <= *it) => {
                AttemptStatus::Forgotten
            }
            None => AttemptStatus::Unseen,
        }
    }

    /// Keeps a reply for an entry that may request it, unless the attempt has a tombstone.
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
        self.reply_expiries.push_back((now.plus(REPLY_TTL), attempt.clone()));
        self.kept.insert(attempt, EndedAttempt::Replied { result, body });
    }

    /// Adds a tombstone for an attempt that must never run.
    pub(super) fn add_tombstone(&mut self, now: TimePoint, attempt: AttemptId) {
        self.remove(&attempt);
        self.tombstone_expiries.push_back((now.plus(TOMBSTONE_TTL), attempt.clone()));
        self.kept.insert(attempt, EndedAttempt::Tombstone);
    }

    /// Records that an attempt may have run and has no reply.
    pub(super) fn mark_forgotten(&mut self, attempt: &AttemptId) {
        let last_forgotten = self.forgotten.entry(attempt.entry.clone()).or_default();
        *last_forgotten = (*last_forgotten).max(attempt.serial);
    }

    /// Removes the forgotten serial numbers of earlier incarnations of an entry, which no longer requests the status of
    /// their attempts.
    pub(super) fn remove_earlier_incarnations(&mut self, entry: &MemberId) {
        self.forgotten
            .retain(|it, _| it.instance != entry.instance || it.incarnation == entry.incarnation);
    }

    /// Removes expired replies and tombstones, and the oldest replies while the kept bodies exceed the size limit.
    pub(super) fn expire(&mut self, now: TimePoint) {
        while let Some((expiry, _)) = self.tombstone_expiries.front() {
            if now < *expiry {
                break;
            }
            let Some((_, attempt)) = self.tombstone_expiries.pop_front() else { break };
            if matches!(self.kept.get(&attempt), Some(EndedAttempt::Tombstone)) {
                self.forget(&attempt);
            }
        }
        while let Some((expiry, _)) = self.reply_expiries.front() {
            if now < *expiry && self.n_kept_bytes <= MAX_KEPT_BYTES {
                break;
            }
            let Some((_, attempt)) = self.reply_expiries.pop_front() else { break };
            // A tombstone that has replaced the reply stays.
            if matches!(self.kept.get(&attempt), Some(EndedAttempt::Replied { .. })) {
                self.forget(&attempt);
            }
        }
    }

    /// Removes an attempt, which counts as one that may have run from then on.
    fn forget(&mut self, attempt: &AttemptId) {
        self.remove(attempt);
        self.mark_forgotten(attempt);
    }

    fn remove(&mut self, attempt: &AttemptId) {
        if let Some(EndedAttempt::Replied { body, .. }) = self.kept.remove(attempt) {
            self.n_kept_bytes -= body.len();
        }
    }
}

#[cfg(test)]
mod tests;
