//! Quarantine of requests that crash backend servers.
//!
//! When a backend server crashes, the fingerprints of the calls in flight become suspects. At most one suspect runs on
//! a backend server at a time, so that a second crash identifies the request that caused it, which is then quarantined.
//! A suspect that completes is cleared. Daemons exchange their evidence as [`EvidenceRecord`]s.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    id::{ContentDigest, MemberId},
    time::TimePoint,
};

mod suspect_changes;
#[cfg(test)]
mod tests;

pub use self::suspect_changes::{MAX_CHANGES, StoredSuspect, SuspectChanges};

/// Number of crashes with the same fingerprint after which the fingerprint is quarantined.
pub const MAX_CRASHES: usize = 2;
/// Duration of the quarantine of a fingerprint that was the only suspect in flight at its last crash.
pub const PROVEN_QUARANTINE: Duration = Duration::from_secs(600);
/// Duration of the quarantine of a fingerprint that was in flight with other suspects at its last crash. Afterwards it
/// runs only while no other suspect does.
pub const UNPROVEN_QUARANTINE: Duration = Duration::from_secs(5);
/// Factor by which that duration grows with each crash beyond [`MAX_CRASHES`], up to [`PROVEN_QUARANTINE`].
const UNPROVEN_GROWTH: u32 = 4;
/// Time after which a suspect with fewer crashes than [`MAX_CRASHES`] is removed, counted from its last crash.
const SUSPECT_TTL: Duration = Duration::from_secs(120);
/// Time after which any other suspect is removed, counted from the end of its quarantine.
const RESTRICTED_TTL: Duration = Duration::from_secs(3_600);
const MAX_SUSPECTS: usize = 4_096;
const MAX_BROADCAST_RECORDS: usize = 512;
/// Maximum number of records that are kept for each suspect; the latest ones stay.
const MAX_RECORDS_PER_SUSPECT: usize = 4;
const MAX_SEEN_RECORDS: usize = 8_192;
/// Slots of the cache of completed fingerprints; a power of two.
const N_COMPLETED_SLOTS: usize = 4_096;

/// Evidence of one daemon about one fingerprint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CrashEvidence {
    /// The request was in flight when the backend server crashed.
    #[display("{}", if *proven { "crashed-alone" } else { "crashed" })]
    Crashed {
        /// Whether it was the only suspect in flight, so that the crash is attributed to it alone.
        #[serde(rename = "alone")]
        proven: bool,
    },
    /// The request was in flight when the backend server crashed, but had completed before. One such crash is excused
    /// across all daemons.
    #[display("excused")]
    Excused,
    /// The request completed after it had become a suspect.
    #[serde(rename = "whole")]
    #[display("completed")]
    Completed,
}

/// Evidence about a fingerprint, as exchanged between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRecord {
    /// Daemon that created the record.
    pub origin: MemberId,
    /// Serial number of the record at that daemon.
    pub serial: u64,
    /// Fingerprint of the request.
    pub fingerprint: ContentDigest,
    /// Evidence about the request.
    pub evidence: CrashEvidence,
}

/// Whether calls with a fingerprint may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPermission {
    /// They may run like all others.
    Unrestricted,
    /// They were quarantined. One of them may run at a time, alone among such calls, and decides whether they are cleared.
    TrialOnly,
    /// They are refused.
    Quarantined {
        /// Remaining time.
        remaining: Duration,
    },
}

/// What is known of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectStatus {
    /// Number of crashes that count against it.
    pub n_crashes: usize,
    /// Remaining time for which it is refused; zero if it may run.
    pub quarantine: Duration,
}

#[derive(Debug)]
struct SuspectRecord {
    n_crashes: usize,
    quarantined_until: TimePoint,
    expiry: TimePoint,
    /// The records of the crashes, for daemons that have not received them.
    records: VecDeque<EvidenceRecord>,
}

/// Fingerprints of requests that are suspected of crashing backend servers.
///
/// A fingerprint is quarantined after [`MAX_CRASHES`] crashes, or after one more if it had completed before its first
/// crash. The number of suspects is bounded; if the bound is reached, the suspect that expires first is removed.
///
/// # Example
///
/// ```
/// use ivytrail::{
///     id::{ContentDigest, MemberId},
///     quarantine::CrashQuarantine,
///     time::TimePoint,
/// };
///
/// let now = TimePoint::from_millis(1);
/// let fingerprint = ContentDigest::of_parts(&[b"book-launch", b"meteo", b"body"]);
/// let origin = MemberId { instance: "booking-1".into(), incarnation: 1 };
/// let mut quarantine = CrashQuarantine::new(origin);
/// quarantine.record_crash(now, &[fingerprint]);
/// assert!(quarantine.is_suspect(&fingerprint));
/// quarantine.record_crash(now, &[fingerprint]);
/// assert!(quarantine.remaining_quarantine(now, &fingerprint).is_some());
/// ```
#[derive(Debug)]
pub struct CrashQuarantine {
    origin: MemberId,
    /// Number of crashes from which on a suspect runs alone among suspects.
    isolation_threshold: usize,
    next_serial: u64,
    suspects: HashMap<ContentDigest, SuspectRecord>,
    /// Suspect that is running alone on the local backend server.
    isolated: Option<ContentDigest>,
    /// Completed fingerprints, in a direct-mapped cache that is indexed by the digest's prefix.
    completed: Vec<Option<ContentDigest>>,
    seen: HashSet<(MemberId, u64)>,
    seen_order: VecDeque<(MemberId, u64)>,
    clearances: Vec<EvidenceRecord>,
    changes: SuspectChanges,
}

impl CrashQuarantine {
    /// Returns a quarantine without suspects, whose caller isolates each suspect with
    /// [`CrashQuarantine::try_isolate`]. Its evidence records are attributed to the daemon `origin`.
    pub fn new(origin: MemberId) -> CrashQuarantine {
        CrashQuarantine::with_threshold(origin, 1)
    }

    /// Returns a quarantine without suspects, whose caller follows [`CrashQuarantine::permission`]: a suspect runs alone
    /// once it has been quarantined, and like other calls before.
    pub fn with_trials(origin: MemberId) -> CrashQuarantine {
        CrashQuarantine::with_threshold(origin, MAX_CRASHES)
    }

    fn with_threshold(origin: MemberId, isolation_threshold: usize) -> CrashQuarantine {
        CrashQuarantine {
            origin,
            isolation_threshold,
            next_serial: 0,
            suspects: HashMap::new(),
            isolated: None,
            completed: vec![None; N_COMPLETED_SLOTS],
            seen: HashSet::new(),
            seen_order: VecDeque::new(),
            clearances: Vec::new(),
            changes: SuspectChanges::default(),
        }
    }

    /// Records a crash of the local backend server with these fingerprints in flight. Returns the evidence to
    /// broadcast.
    ///
    /// The crash counts against all of them, up to a bound, since daemons learn of simultaneous crashes late. It is proven
    /// against the only one in flight, or the only one among those that run alone.
    pub fn record_crash(
        &mut self,
        now: TimePoint,
        in_flight: &[ContentDigest],
    ) -> Vec<EvidenceRecord> {
        self.isolated = None;
        self.remove_expired(now);
        let mut fingerprints: Vec<ContentDigest> = in_flight.to_vec();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints.sort_by_key(|it| Reverse(self.n_crashes(it)));
        let isolated: Vec<ContentDigest> =
            fingerprints.iter().copied().filter(|it| self.runs_alone(it)).collect();
        let is_only_one = fingerprints.len() == 1;
        fingerprints
            .into_iter()
            .take(MAX_BROADCAST_RECORDS)
            .map(|fingerprint| {
                let proven = is_only_one || isolated == [fingerprint];
                let evidence = if self.has_completed(&fingerprint) {
                    CrashEvidence::Excused
                } else {
                    CrashEvidence::Crashed { proven }
                };
                let record = self.new_record(fingerprint, evidence);
                self.apply(now, &record);
                record
            })
            .collect()
    }

    /// Applies an evidence record from another daemon. Duplicates of a record are ignored.
    pub fn merge(&mut self, now: TimePoint, record: &EvidenceRecord) {
        let key = (record.origin.clone(), record.serial);
        if record.origin == self.origin || !self.seen.insert(key.clone()) {
            return;
        }
        self.seen_order.push_back(key);
        if let Some(oldest) = self.seen_order.pop_front_if(|_| MAX_SEEN_RECORDS < self.seen.len()) {
            self.seen.remove(&oldest);
        }
        self.remove_expired(now);
        self.apply(now, record);
    }

    /// Records that a call with this fingerprint completed. It is no longer a suspect, and its next crash is excused.
    pub fn record_completion(&mut self, fingerprint: &ContentDigest) {
        self.release(fingerprint);
        if let Some(cleared) = self.suspects.remove(fingerprint) {
            if MAX_CRASHES <= cleared.n_crashes {
                self.changes.remove(*fingerprint);
            }
            if self.clearances.len() < MAX_BROADCAST_RECORDS {
                let clearance = self.new_record(*fingerprint, CrashEvidence::Completed);
                self.clearances.push(clearance);
            }
        }
        self.completed[completed_slot(fingerprint)] = Some(*fingerprint);
    }

    /// Returns the evidence against all suspects, those with the most crashes first, for a daemon that may have missed it.
    pub fn known_evidence(&self, now: TimePoint) -> Vec<EvidenceRecord> {
        let is_known = |it: &&SuspectRecord| now < it.expiry;
        let mut suspects: Vec<&SuspectRecord> = self.suspects.values().filter(is_known).collect();
        suspects.sort_unstable_by_key(|it| (Reverse(it.n_crashes), Reverse(it.expiry)));
        let records = suspects.into_iter().flat_map(|it| &it.records);
        records.take(MAX_BROADCAST_RECORDS).cloned().collect()
    }

    /// Drains the records of suspects that this daemon cleared, to be broadcast to the other daemons.
    pub fn take_clearances(&mut self) -> Vec<EvidenceRecord> {
        std::mem::take(&mut self.clearances)
    }

    /// Takes the changes since the last call of what must outlast the daemons, or returns `None` if there are none.
    pub fn take_changes(&mut self) -> Option<SuspectChanges> {
        (!self.changes.is_empty()).then(|| std::mem::take(&mut self.changes))
    }

    /// Returns the remaining time for which calls with this fingerprint are refused, or `None` if they may run.
    pub fn remaining_quarantine(
        &self,
        now: TimePoint,
        fingerprint: &ContentDigest,
    ) -> Option<Duration> {
        let record = self.suspects.get(fingerprint)?;
        (now < record.quarantined_until).then(|| record.quarantined_until.since(now))
    }

    /// Returns what is known of a fingerprint, or `None` if it is no suspect.
    pub fn status(&self, now: TimePoint, fingerprint: &ContentDigest) -> Option<SuspectStatus> {
        let record = self.suspects.get(fingerprint)?;
        let quarantine = record.quarantined_until.since(now);
        Some(SuspectStatus { n_crashes: record.n_crashes, quarantine })
    }

    /// Returns the number of suspects.
    pub fn n_suspects(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of suspects that are refused at `now`.
    pub fn n_quarantined(&self, now: TimePoint) -> usize {
        self.suspects.values().filter(|it| now < it.quarantined_until).count()
    }

    /// Returns whether the fingerprint is a suspect. A suspect may run only if [`CrashQuarantine::try_isolate`] allows
    /// it.
    pub fn is_suspect(&self, fingerprint: &ContentDigest) -> bool {
        self.suspects.contains_key(fingerprint)
    }

    /// Reserves the local backend server's only slot for suspects. Returns whether the call may start: always if it is
    /// not a suspect, otherwise only if no suspect is running.
    pub fn try_isolate(&mut self, fingerprint: &ContentDigest) -> bool {
        match self.isolated {
            _ if !self.is_suspect(fingerprint) => true,
            Some(_) => false,
            None => {
                self.isolated = Some(*fingerprint);
                true
            }
        }
    }

    /// Releases the slot for suspects after the suspect's call has ended, whatever the outcome. Returns whether the call
    /// held it.
    pub fn release(&mut self, fingerprint: &ContentDigest) -> bool {
        let is_held = self.isolated == Some(*fingerprint);
        if is_held {
            self.isolated = None;
        }
        is_held
    }

    /// Returns whether calls with this fingerprint may run at `now`.
    pub fn permission(&self, now: TimePoint, fingerprint: &ContentDigest) -> RunPermission {
        match self.suspects.get(fingerprint) {
            Some(record) if now < record.quarantined_until => {
                RunPermission::Quarantined { remaining: record.quarantined_until.since(now) }
            }
            Some(record) if now < record.expiry && MAX_CRASHES <= record.n_crashes => {
                RunPermission::TrialOnly
            }
            _ => RunPermission::Unrestricted,
        }
    }

    /// Reserves the slot for a call that may run as a trial only. Returns whether it may start.
    pub fn try_start_trial(&mut self, fingerprint: &ContentDigest) -> bool {
        let is_free = self.isolated.is_none();
        if is_free {
            self.isolated = Some(*fingerprint);
        }
        is_free
    }

    /// Records a trial that ended without a response, although no crash is known. Returns the evidence to broadcast.
    pub fn record_failed_trial(
        &mut self,
        now: TimePoint,
        fingerprint: ContentDigest,
    ) -> EvidenceRecord {
        let record = self.new_record(fingerprint, CrashEvidence::Crashed { proven: false });
        self.apply(now, &record);
        record
    }

    fn n_crashes(&self, fingerprint: &ContentDigest) -> usize {
        self.suspects.get(fingerprint).map_or(0, |it| it.n_crashes)
    }

    /// Returns whether at most one call with such a fingerprint runs on a backend server at a time.
    fn runs_alone(&self, fingerprint: &ContentDigest) -> bool {
        self.isolation_threshold <= self.n_crashes(fingerprint)
    }

    fn new_record(
        &mut self,
        fingerprint: ContentDigest,
        evidence: CrashEvidence,
    ) -> EvidenceRecord {
        let serial = self.next_serial;
        self.next_serial += 1;
        EvidenceRecord { origin: self.origin.clone(), serial, fingerprint, evidence }
    }

    fn apply(&mut self, now: TimePoint, record: &EvidenceRecord) {
        let fingerprint = record.fingerprint;
        match record.evidence {
            CrashEvidence::Completed => {
                self.suspects.remove(&fingerprint);
                self.completed[completed_slot(&fingerprint)] = Some(fingerprint);
            }
            CrashEvidence::Excused => self.completed[completed_slot(&fingerprint)] = None,
            CrashEvidence::Crashed { .. } if self.has_completed(&fingerprint) => {
                self.completed[completed_slot(&fingerprint)] = None;
            }
            CrashEvidence::Crashed { proven } => self.add_crash(now, record, proven),
        }
    }

    fn add_crash(&mut self, now: TimePoint, evidence: &EvidenceRecord, proven: bool) {
        let fingerprint = evidence.fingerprint;
        if !self.suspects.contains_key(&fingerprint) {
            self.evict_if_full();
        }
        let record = self.suspects.entry(fingerprint).or_insert(SuspectRecord {
            n_crashes: 0,
            quarantined_until: TimePoint::ORIGIN,
            expiry: TimePoint::ORIGIN,
            records: VecDeque::new(),
        });
        record.records.push_back(evidence.clone());
        if MAX_RECORDS_PER_SUSPECT < record.records.len() {
            record.records.pop_front();
        }
        record.n_crashes += 1;
        record.expiry = now.plus(SUSPECT_TTL);
        if MAX_CRASHES <= record.n_crashes {
            let span =
                if proven { PROVEN_QUARANTINE } else { unproven_quarantine(record.n_crashes) };
            record.quarantined_until = record.quarantined_until.max(now.plus(span));
            record.expiry = record.quarantined_until.plus(RESTRICTED_TTL);
            // The daemons that have contributed to the quarantine store it.
            if record.records.iter().any(|it| it.origin == self.origin) {
                let records = record.records.iter().cloned().collect();
                self.changes.store(fingerprint, StoredSuspect { records });
            }
        }
        assert!(self.suspects.len() <= MAX_SUSPECTS, "suspects exceed the limit");
    }

    fn evict_if_full(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let first =
            self.suspects.iter().min_by_key(|(key, it)| (it.expiry, **key)).map(|(key, _)| *key);
        if let Some(fingerprint) = first {
            self.suspects.remove(&fingerprint);
        }
    }

    fn remove_expired(&mut self, now: TimePoint) {
        self.suspects.retain(|_, record| now < record.expiry);
    }

    fn has_completed(&self, fingerprint: &ContentDigest) -> bool {
        self.completed[completed_slot(fingerprint)] == Some(*fingerprint)
    }
}

/// Returns the quarantine after a crash with other suspects in flight.
fn unproven_quarantine(n_crashes: usize) -> Duration {
    let growth = UNPROVEN_GROWTH.saturating_pow((n_crashes - MAX_CRASHES) as u32);
    UNPROVEN_QUARANTINE.saturating_mul(growth).min(PROVEN_QUARANTINE)
}

fn completed_slot(fingerprint: &ContentDigest) -> usize {
    fingerprint.prefix() as usize % N_COMPLETED_SLOTS
}
