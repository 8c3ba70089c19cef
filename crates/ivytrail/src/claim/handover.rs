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
    lease::rendezvous_sort_key,
    time::TimePoint,
};

/// The batches that arrived from members that leave.
#[derive(Debug, Default)]
pub(super) struct HandoverIntake {
    batches: BTreeMap<MemberId, BTreeSet<u32>>,
    complete: BTreeMap<MemberId, HeirList>,
}

/// Who got the claims of a member that left.
#[derive(Debug)]
struct HeirList {
    heirs: Vec<MemberId>,
    heir: MemberId,
    since: TimePoint,
}

impl HandoverIntake {
    /// Records one batch and returns whether all of them have arrived.
    fn record(&mut self, now: TimePoint, from: &MemberId, handover: &ClaimHandover) -> bool {
        if self.complete.contains_key(from) {
            return true;
        }
        let batches = self.batches.entry(from.clone()).or_default();
        batches.insert(handover.batch);
        let is_complete = handover.n_batches as usize <= batches.len();
        if is_complete {
            let (heirs, heir) = (handover.heirs.clone(), handover.heir.clone());
            self.complete.insert(from.clone(), HeirList { heirs, heir, since: now });
            self.batches.remove(from);
        }
        is_complete
    }

    /// Returns whether everything that `member` knew of the key has arrived here.
    ///
    /// What it knew of a key went to one heir only, so that a complete handover says nothing of others' keys.
    pub(super) fn covers(&self, member: &MemberId, digest: &ContentDigest) -> bool {
        let Some(list) = self.complete.get(member) else { return false };
        first_heir(&list.heirs, digest) == Some(&list.heir)
    }

    /// Forgets handovers that were complete longer ago than `retention`.
    pub(super) fn prune(&mut self, now: TimePoint, retention: Duration) {
        self.complete.retain(|_, list| now.since(list.since) < retention);
    }
}

fn first_heir<'a>(heirs: &'a [MemberId], digest: &ContentDigest) -> Option<&'a MemberId> {
    heirs.iter().min_by_key(|it| rendezvous_sort_key(it, digest))
}

impl ClaimTable {
    /// Returns the batches for `heirs`, the members that own keys once this one has left.
    ///
    /// Each gets at least one batch, also an empty one: it proves that there is nothing else. The daemon refuses new
    /// claims before, and lets the running ones end: those that still run are handed over as in doubt.
    pub fn hand_over(
        &self,
        now: TimePoint,
        heirs: &[MemberId],
        batch_size: usize,
    ) -> Vec<(MemberId, ClaimHandover)> {
        let mut shares: BTreeMap<&MemberId, Vec<HandedClaim>> =
            heirs.iter().map(|it| (it, Vec::new())).collect();
        let mut claims: Vec<_> = self.claims.iter().collect();
        // The effects of an event must not depend on the order of a hash map.
        claims.sort_unstable_by_key(|(digest, _)| *digest);
        for (digest, claim) in claims {
            let share = first_heir(heirs, digest).and_then(|it| shares.get_mut(it));
            if let (Some(share), Some(handed)) = (share, hand(now, digest, claim)) {
                share.push(handed);
            }
        }
        shares
            .into_iter()
            .flat_map(|(heir, claims)| batches(heirs, heir, &claims, batch_size.max(1)))
            .collect()
    }

    /// Takes in a batch of a leaving member and returns whether all its batches have arrived.
    pub fn take_over(&mut self, now: TimePoint, from: &MemberId, handover: ClaimHandover) -> bool {
        let is_complete = self.intake.record(now, from, &handover);
        for handed in handover.claims {
            if self.is_news(&handed) {
                self.adopt(now, handed, Vec::new());
            }
        }
        is_complete
    }

    /// Returns whether a handed claim says more than this table knows.
    fn is_news(&self, handed: &HandedClaim) -> bool {
        match self.claims.get(&handed.claim).map(|claim| &claim.state) {
            None => true,
            Some(ClaimState::Tombstone { .. } | ClaimState::InDoubt) => handed.ran,
            Some(_) => false,
        }
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
        ClaimState::Tombstone { .. } => return None,
        ClaimState::Done(answer) => (true, answer.clone()),
        _ => (false, None),
    };
    let age = claim.settled_at.map_or(Duration::ZERO, |at| now.since(at));
    let (claim, fingerprint, made_ms) = (*digest, claim.fingerprint, claim.made_ms);
    Some(HandedClaim { claim, fingerprint, made_ms, ran, answer, age })
}

fn batches(
    heirs: &[MemberId],
    heir: &MemberId,
    claims: &[HandedClaim],
    size: usize,
) -> Vec<(MemberId, ClaimHandover)> {
    let n_batches = claims.len().div_ceil(size).max(1);
    (0..n_batches)
        .map(|batch| {
            let start = batch * size;
            let end = claims.len().min(start + size);
            let handover = ClaimHandover {
                heirs: heirs.to_vec(),
                heir: heir.clone(),
                batch: batch as u32,
                n_batches: n_batches as u32,
                claims: claims[start..end].to_vec(),
            };
            (heir.clone(), handover)
        })
        .collect()
}
