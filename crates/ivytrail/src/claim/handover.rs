//! Transfer of claims from a leaving owner to its successors.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    ClaimHandover, ClaimTable, ClaimVerdict, TransferredClaim,
    table::{ClaimRecord, ClaimState, settled_verdict},
};
use crate::{
    id::{AttemptId, ContentDigest, MemberId},
    lease::rendezvous_sort_key,
    time::TimePoint,
};

/// The batches received from leaving members.
#[derive(Debug, Default)]
pub(super) struct HandoverTracker {
    batches: BTreeMap<MemberId, BTreeSet<u32>>,
    complete: BTreeMap<MemberId, CompleteHandover>,
}

/// A handover whose batches have all arrived.
#[derive(Debug)]
struct CompleteHandover {
    successors: Vec<MemberId>,
    successor: MemberId,
    completed_at: TimePoint,
}

impl HandoverTracker {
    /// Records a batch and returns whether all batches of the handover have arrived.
    fn record(&mut self, now: TimePoint, from: &MemberId, handover: &ClaimHandover) -> bool {
        if self.complete.contains_key(from) {
            return true;
        }
        let batches = self.batches.entry(from.clone()).or_default();
        batches.insert(handover.batch);
        let is_complete = handover.n_batches as usize <= batches.len();
        if is_complete {
            let (successors, successor) = (handover.successors.clone(), handover.successor.clone());
            self.complete.insert(
                from.clone(),
                CompleteHandover { successors, successor, completed_at: now },
            );
            self.batches.remove(from);
        }
        is_complete
    }

    /// Returns whether everything that `member` knew about the key has arrived at this daemon.
    ///
    /// Each key is transferred to one successor only, so a complete handover says nothing about the keys of other
    /// successors.
    pub(super) fn covers(&self, member: &MemberId, digest: &ContentDigest) -> bool {
        let Some(handover) = self.complete.get(member) else { return false };
        successor_of(&handover.successors, digest) == Some(&handover.successor)
    }

    /// Removes complete handovers that are older than `retention`.
    pub(super) fn prune(&mut self, now: TimePoint, retention: Duration) {
        self.complete.retain(|_, handover| now.since(handover.completed_at) < retention);
    }
}

fn successor_of<'a>(successors: &'a [MemberId], digest: &ContentDigest) -> Option<&'a MemberId> {
    successors.iter().min_by_key(|it| rendezvous_sort_key(it, digest))
}

impl ClaimTable {
    /// Returns the batches for `successors`, the members that own keys after this member has left.
    ///
    /// Each successor receives at least one batch; an empty batch proves that there are no claims for it. The daemon
    /// must first stop accepting claims and should let running ones end, because claims that still run are transferred
    /// as in doubt.
    pub fn handover_batches(
        &self,
        now: TimePoint,
        successors: &[MemberId],
        batch_size: usize,
    ) -> Vec<(MemberId, ClaimHandover)> {
        let mut shares: BTreeMap<&MemberId, Vec<TransferredClaim>> =
            successors.iter().map(|it| (it, Vec::new())).collect();
        let mut claims: Vec<_> = self.claims.iter().collect();
        // The effects of an event must not depend on the iteration order of a hash map.
        claims.sort_unstable_by_key(|(digest, _)| *digest);
        for (digest, claim) in claims {
            let share = successor_of(successors, digest).and_then(|it| shares.get_mut(it));
            if let (Some(share), Some(transferred)) = (share, transferred_claim(now, digest, claim))
            {
                share.push(transferred);
            }
        }
        shares
            .into_iter()
            .flat_map(|(successor, claims)| {
                batches(successors, successor, &claims, batch_size.max(1))
            })
            .collect()
    }

    /// Imports a batch from a leaving member and returns whether all of its batches have arrived.
    pub fn import_handover(
        &mut self,
        now: TimePoint,
        from: &MemberId,
        handover: ClaimHandover,
    ) -> bool {
        let is_complete = self.handovers.record(now, from, &handover);
        for transferred in handover.claims {
            if self.adds_information(&transferred) {
                self.import_claim(now, transferred, Vec::new());
            }
        }
        is_complete
    }

    /// Returns whether a transferred claim is more precise than the state in this table.
    fn adds_information(&self, transferred: &TransferredClaim) -> bool {
        match self.claims.get(&transferred.claim).map(|claim| &claim.state) {
            None => true,
            Some(ClaimState::Tombstone { .. } | ClaimState::InDoubt) => transferred.ran,
            Some(_) => false,
        }
    }

    /// Imports a settled claim from an earlier owner and returns the decisions for the attempts that wait for it.
    pub(super) fn import_claim(
        &mut self,
        now: TimePoint,
        transferred: TransferredClaim,
        waiting: Vec<AttemptId>,
    ) -> Vec<(AttemptId, ClaimVerdict)> {
        let digest = transferred.claim;
        let offered = self.claims.get(&digest).map(|it| it.fingerprint);
        let is_reused = offered.is_some_and(|it| it != transferred.fingerprint);
        let claim = ClaimRecord {
            fingerprint: transferred.fingerprint,
            made_ms: transferred.made_ms,
            state: if transferred.ran { ClaimState::Done(None) } else { ClaimState::InDoubt },
            settled_at: None,
        };
        self.claims.insert(digest, claim);
        if let Some(response) = transferred.response {
            self.store(&digest, response);
        }
        self.mark_settled(now.minus(transferred.age), &digest);
        let verdict = match self.claims.get(&digest) {
            _ if is_reused => ClaimVerdict::KeyReused,
            Some(claim) => settled_verdict(&claim.state),
            None => ClaimVerdict::InDoubt,
        };
        waiting.into_iter().map(|it| (it, verdict.clone())).collect()
    }
}

/// Returns the transferable form of a claim, or `None` for a tombstone.
pub(super) fn transferred_claim(
    now: TimePoint,
    digest: &ContentDigest,
    claim: &ClaimRecord,
) -> Option<TransferredClaim> {
    let (ran, response) = match &claim.state {
        ClaimState::Tombstone { .. } => return None,
        ClaimState::Done(response) => (true, response.clone()),
        _ => (false, None),
    };
    let age = claim.settled_at.map_or(Duration::ZERO, |at| now.since(at));
    let (claim, fingerprint, made_ms) = (*digest, claim.fingerprint, claim.made_ms);
    Some(TransferredClaim { claim, fingerprint, made_ms, ran, response, age })
}

fn batches(
    successors: &[MemberId],
    successor: &MemberId,
    claims: &[TransferredClaim],
    size: usize,
) -> Vec<(MemberId, ClaimHandover)> {
    let n_batches = claims.len().div_ceil(size).max(1);
    (0..n_batches)
        .map(|batch| {
            let start = batch * size;
            let end = claims.len().min(start + size);
            let handover = ClaimHandover {
                successors: successors.to_vec(),
                successor: successor.clone(),
                batch: batch as u32,
                n_batches: n_batches as u32,
                claims: claims[start..end].to_vec(),
            };
            (successor.clone(), handover)
        })
        .collect()
}
