//! Claims on their way from one owner to the next.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    ClaimHandover, ClaimTable, ClaimVerdict, HandedClaim,
    table::{ClaimState, RequestClaim, settled_verdict},
};
use crate::{
    id::{AttemptId, ContentDigest, MemberId},
    time::TimePoint,
};

/// The batches that arrived from each leaving member.
#[derive(Debug, Default)]
pub struct HandoverIntake {
    batches: BTreeMap<MemberId, BTreeSet<u32>>,
    complete: BTreeSet<MemberId>,
}

impl HandoverIntake {
    /// Records one batch and returns whether all of them have arrived.
    pub fn record(&mut self, from: &MemberId, handover: &ClaimHandover) -> bool {
        if self.is_complete(from) {
            return true;
        }
        let batches = self.batches.entry(from.clone()).or_default();
        batches.insert(handover.batch);
        if handover.n_batches as usize <= batches.len() {
            self.complete.insert(from.clone());
            self.batches.remove(from);
        }
        self.is_complete(from)
    }

    /// Returns whether everything that `member` knew has arrived.
    pub fn is_complete(&self, member: &MemberId) -> bool {
        self.complete.contains(member)
    }
}

impl ClaimTable {
    /// Returns batches for the next owners of all claims, as `owner_of` names them, of at most `batch_size` claims.
    ///
    /// Claims that still run are handed over as in doubt, so the daemon lets them end first. Every member that may
    /// own keys next gets at least one batch, also an empty one: it proves that there is nothing else.
    pub fn hand_over<F>(
        &self,
        now: TimePoint,
        receivers: &[MemberId],
        batch_size: usize,
        owner_of: F,
    ) -> Vec<(MemberId, ClaimHandover)>
    where
        F: Fn(&ContentDigest) -> Option<MemberId>,
    {
        let mut by_owner: BTreeMap<MemberId, Vec<HandedClaim>> =
            receivers.iter().map(|it| (it.clone(), Vec::new())).collect();
        let mut claims: Vec<_> = self.claims.iter().collect();
        // The effects of an event must not depend on the order of a hash map.
        claims.sort_unstable_by_key(|(digest, _)| *digest);
        for (digest, claim) in claims {
            let Some(handed) = hand(now, digest, claim) else { continue };
            if let Some(claims) = owner_of(digest).and_then(|it| by_owner.get_mut(&it)) {
                claims.push(handed);
            }
        }
        by_owner
            .into_iter()
            .flat_map(|(owner, claims)| batches(&owner, &claims, batch_size))
            .collect()
    }

    /// Takes in a batch of a leaving member and returns whether all its batches have arrived.
    pub fn take_over(&mut self, now: TimePoint, from: &MemberId, handover: ClaimHandover) -> bool {
        let is_complete = self.intake.record(from, &handover);
        for handed in handover.claims {
            if !self.claims.contains_key(&handed.claim) {
                self.adopt(now, handed, Vec::new());
            }
        }
        is_complete
    }

    /// Takes over a settled claim of an earlier owner.
    pub(super) fn adopt(
        &mut self,
        now: TimePoint,
        handed: HandedClaim,
        waiting: Vec<AttemptId>,
    ) -> Vec<(AttemptId, ClaimVerdict)> {
        let digest = handed.claim;
        let offered = self.claims.get(&digest).map(|it| it.fingerprint);
        let is_reused = offered.is_some_and(|it| it != handed.fingerprint);
        let claim = RequestClaim {
            fingerprint: handed.fingerprint,
            made_ms: handed.made_ms,
            state: if handed.ran { ClaimState::Done(None) } else { ClaimState::InDoubt },
            settled_at: None,
        };
        self.claims.insert(digest, claim);
        if let Some(answer) = handed.answer {
            self.store(&digest, answer);
        }
        self.mark_settled(now.minus(handed.age), &digest);
        let verdict = match self.claims.get(&digest) {
            _ if is_reused => ClaimVerdict::KeyReused,
            Some(claim) => settled_verdict(&claim.state),
            None => ClaimVerdict::InDoubt,
        };
        waiting.into_iter().map(|it| (it, verdict.clone())).collect()
    }
}

/// Returns what another owner needs to know of a claim; a tombstone is nothing to hand over.
pub(super) fn hand(
    now: TimePoint,
    digest: &ContentDigest,
    claim: &RequestClaim,
) -> Option<HandedClaim> {
    let (ran, answer) = match &claim.state {
        ClaimState::Tombstone => return None,
        ClaimState::Done(answer) => (true, answer.clone()),
        _ => (false, None),
    };
    let age = claim.settled_at.map_or(Duration::ZERO, |at| now.since(at));
    let (claim, fingerprint, made_ms) = (*digest, claim.fingerprint, claim.made_ms);
    Some(HandedClaim { claim, fingerprint, made_ms, ran, answer, age })
}

fn batches(
    owner: &MemberId,
    claims: &[HandedClaim],
    size: usize,
) -> Vec<(MemberId, ClaimHandover)> {
    let n_batches = claims.len().div_ceil(size.max(1)).max(1);
    (0..n_batches)
        .map(|batch| {
            let start = batch * size.max(1);
            let end = claims.len().min(start + size.max(1));
            let handover = ClaimHandover {
                batch: batch as u32,
                n_batches: n_batches as u32,
                claims: claims[start..end].to_vec(),
            };
            (owner.clone(), handover)
        })
        .collect()
}
