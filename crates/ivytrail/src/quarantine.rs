//! Requests that crash backend servers, and how they are kept from the next one.
//!
//! When a backend server crashes, the fingerprints of the calls in flight become suspects. A suspect runs only while no
//! other suspect runs on the same backend server, so that a second crash tells exactly which one it was: that one is
//! quarantined. A suspect that completes whole is cleared. Evidence is spread between daemons as [`EvidenceRecord`]s.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    id::{ContentDigest, MemberId},
    time::TimePoint,
};

#[cfg(test)]
mod tests;

/// Crashes with the same fingerprint after which it is quarantined.
pub const MAX_CRASHES: usize = 2;
/// Time for which a fingerprint is refused when it was the only suspect in flight at its last crash.
pub const PROVEN_QUARANTINE: Duration = Duration::from_secs(600);
/// Time for which a fingerprint is refused when other suspects were in flight beside it. It then runs alone.
pub const UNPROVEN_QUARANTINE: Duration = Duration::from_secs(5);
/// Time after which a suspect that was not seen again is forgotten, counted from its crash or its quarantine's end.
const SUSPECT_LIFE: Duration = Duration::from_secs(120);
const MAX_SUSPECTS: usize = 4_096;
const MAX_SPREAD: usize = 512;
const MAX_SEEN: usize = 8_192;
/// Fingerprints remembered as completed whole; a power of two.
const N_WHOLE: usize = 4_096;

/// What one daemon found out about one fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CrashEvidence {
    /// It was in flight when the backend server crashed.
    Crashed {
        /// Whether it was the only suspect in flight.
        alone: bool,
    },
    /// It was in flight when the backend server crashed, but had completed whole before. Such a record excuses one
    /// crash across the fleet.
    Excused,
    /// It completed whole after it had become a suspect.
    Whole,
}

/// A piece of evidence as it is spread between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRecord {
    /// The daemon that found it.
    pub origin: MemberId,
    /// Serial number of the suspicion at that daemon.
    pub serial: u64,
    /// Fingerprint of the request.
    pub fingerprint: ContentDigest,
    /// What was found.
    pub evidence: CrashEvidence,
}

#[derive(Debug)]
struct SuspectRecord {
    n_crashes: usize,
    quarantined_until: TimePoint,
    expiry: TimePoint,
}

/// Fingerprints of requests that crash backend servers.
///
/// A fingerprint is quarantined after [`MAX_CRASHES`] crashes, or one more when it had completed whole before its first
/// crash. Memory is bounded; when it is full, the suspect that would be forgotten first is dropped.
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
/// let poison = ContentDigest::of_parts(&[b"book-launch", b"meteo", b"body"]);
/// let origin = MemberId { instance: "booking-1".into(), incarnation: 1 };
/// let mut quarantine = CrashQuarantine::new(origin);
/// quarantine.record_crash(now, &[poison]);
/// assert!(quarantine.is_suspect(&poison));
/// quarantine.record_crash(now, &[poison]);
/// assert!(quarantine.remaining_quarantine(now, &poison).is_some());
/// ```
#[derive(Debug)]
pub struct CrashQuarantine {
    origin: MemberId,
    next_serial: u64,
    suspects: HashMap<ContentDigest, SuspectRecord>,
    /// The suspect that runs on the own backend server.
    isolated: Option<ContentDigest>,
    /// Direct-mapped by the digest's prefix.
    whole: Vec<Option<ContentDigest>>,
    seen: HashSet<(MemberId, u64)>,
    seen_order: VecDeque<(MemberId, u64)>,
    clearances: Vec<EvidenceRecord>,
}

impl CrashQuarantine {
    /// Returns a quarantine without suspects for the daemon `origin`.
    pub fn new(origin: MemberId) -> CrashQuarantine {
        CrashQuarantine {
            origin,
            next_serial: 0,
            suspects: HashMap::new(),
            isolated: None,
            whole: vec![None; N_WHOLE],
            seen: HashSet::new(),
            seen_order: VecDeque::new(),
            clearances: Vec::new(),
        }
    }

    /// Records that the own backend server crashed with these fingerprints in flight. Returns the evidence to spread.
    ///
    /// When exactly one suspect was in flight, it alone is blamed. Otherwise all are, up to a bound.
    pub fn record_crash(
        &mut self,
        now: TimePoint,
        in_flight: &[ContentDigest],
    ) -> Vec<EvidenceRecord> {
        self.isolated = None;
        self.forget_expired(now);
        let mut fingerprints: Vec<ContentDigest> = in_flight.to_vec();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        let suspects: Vec<ContentDigest> =
            fingerprints.iter().copied().filter(|it| self.is_suspect(it)).collect();
        let alone = suspects.len() == 1 || fingerprints.len() == 1;
        let blamed = if suspects.len() == 1 { suspects } else { fingerprints };
        blamed
            .into_iter()
            .take(MAX_SPREAD)
            .map(|fingerprint| {
                let evidence = if self.was_whole(&fingerprint) {
                    CrashEvidence::Excused
                } else {
                    CrashEvidence::Crashed { alone }
                };
                let suspicion = self.suspicion_of(fingerprint, evidence);
                self.apply(now, &suspicion);
                suspicion
            })
            .collect()
    }

    /// Takes in evidence from another daemon. The same suspicion counts once, however often it arrives.
    pub fn merge_evidence(&mut self, now: TimePoint, suspicion: &EvidenceRecord) {
        let key = (suspicion.origin.clone(), suspicion.serial);
        if suspicion.origin == self.origin || !self.seen.insert(key.clone()) {
            return;
        }
        self.seen_order.push_back(key);
        if let Some(oldest) = self.seen_order.pop_front_if(|_| MAX_SEEN < self.seen.len()) {
            self.seen.remove(&oldest);
        }
        self.forget_expired(now);
        self.apply(now, suspicion);
    }

    /// Records that a call with this fingerprint was answered whole: it is no suspect any more, and its next crash is
    /// excused.
    pub fn record_completion(&mut self, fingerprint: &ContentDigest) {
        self.release(fingerprint);
        if self.suspects.remove(fingerprint).is_some() && self.clearances.len() < MAX_SPREAD {
            let clearance = self.suspicion_of(*fingerprint, CrashEvidence::Whole);
            self.clearances.push(clearance);
        }
        self.whole[whole_slot(fingerprint)] = Some(*fingerprint);
    }

    /// Takes the clearances of own suspects to spread to the other daemons.
    pub fn take_clearances(&mut self) -> Vec<EvidenceRecord> {
        std::mem::take(&mut self.clearances)
    }

    /// Returns for how long a call with this fingerprint is still refused, or `None` when it may run.
    pub fn remaining_quarantine(
        &self,
        now: TimePoint,
        fingerprint: &ContentDigest,
    ) -> Option<Duration> {
        let record = self.suspects.get(fingerprint)?;
        (now < record.quarantined_until).then(|| record.quarantined_until.since(now))
    }

    /// Returns whether the fingerprint is a suspect. A suspect may run only after [`CrashQuarantine::try_isolate`].
    pub fn is_suspect(&self, fingerprint: &ContentDigest) -> bool {
        self.suspects.contains_key(fingerprint)
    }

    /// Claims the only place for a suspect on the own backend server. Returns whether the call may start: always when
    /// it is no suspect, and for a suspect when no other one runs.
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

    /// Gives the place for a suspect back when its call has ended in any way.
    pub fn release(&mut self, fingerprint: &ContentDigest) {
        if self.isolated == Some(*fingerprint) {
            self.isolated = None;
        }
    }

    fn suspicion_of(
        &mut self,
        fingerprint: ContentDigest,
        evidence: CrashEvidence,
    ) -> EvidenceRecord {
        let serial = self.next_serial;
        self.next_serial += 1;
        EvidenceRecord { origin: self.origin.clone(), serial, fingerprint, evidence }
    }

    fn apply(&mut self, now: TimePoint, suspicion: &EvidenceRecord) {
        let fingerprint = suspicion.fingerprint;
        match suspicion.evidence {
            CrashEvidence::Whole => {
                self.suspects.remove(&fingerprint);
                self.whole[whole_slot(&fingerprint)] = Some(fingerprint);
            }
            CrashEvidence::Excused => self.whole[whole_slot(&fingerprint)] = None,
            CrashEvidence::Crashed { .. } if self.was_whole(&fingerprint) => {
                self.whole[whole_slot(&fingerprint)] = None;
            }
            CrashEvidence::Crashed { alone } => self.blame(now, fingerprint, alone),
        }
    }

    fn blame(&mut self, now: TimePoint, fingerprint: ContentDigest, alone: bool) {
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room();
        }
        let record = self.suspects.entry(fingerprint).or_insert(SuspectRecord {
            n_crashes: 0,
            quarantined_until: TimePoint::ORIGIN,
            expiry: TimePoint::ORIGIN,
        });
        record.n_crashes = (record.n_crashes + 1).min(MAX_CRASHES);
        if record.n_crashes == MAX_CRASHES {
            let span = if alone { PROVEN_QUARANTINE } else { UNPROVEN_QUARANTINE };
            record.quarantined_until = record.quarantined_until.max(now.plus(span));
        }
        record.expiry = record.quarantined_until.max(now).plus(SUSPECT_LIFE);
        assert!(self.suspects.len() <= MAX_SUSPECTS, "more suspects than the bound");
    }

    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let first =
            self.suspects.iter().min_by_key(|(key, it)| (it.expiry, **key)).map(|(key, _)| *key);
        if let Some(fingerprint) = first {
            self.suspects.remove(&fingerprint);
        }
    }

    fn forget_expired(&mut self, now: TimePoint) {
        self.suspects.retain(|_, record| now < record.expiry);
    }

    fn was_whole(&self, fingerprint: &ContentDigest) -> bool {
        self.whole[whole_slot(fingerprint)] == Some(*fingerprint)
    }
}

fn whole_slot(fingerprint: &ContentDigest) -> usize {
    fingerprint.prefix() as usize % N_WHOLE
}
