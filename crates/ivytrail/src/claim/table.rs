//! The claims of the keys that one daemon owns.

use std::collections::{HashMap, VecDeque};

use super::{
    ClaimAnswer, ClaimOffer, ClaimOptions, ClaimOutcome, ClaimQuestion, ClaimStatus, ClaimVerdict,
    StoredResponse,
    handover::{HandoverTracker, transferred_claim},
    prior_run::PriorRun,
};
use crate::{
    id::{AttemptId, ContentDigest, MemberId},
    lease::PriorOwner,
    time::{TimePoint, WallClock},
};

/// What became of one claim.
#[derive(Clone, Debug)]
pub(super) enum ClaimState {
    /// An earlier owner is being asked; the attempts wait.
    Asking { owner: MemberId, waiting: Vec<AttemptId> },
    /// An attempt runs; the joined ones get its end.
    Running { attempt: AttemptId, joined: Vec<AttemptId> },
    /// It ran; the answer may be stored.
    Done(Option<StoredResponse>),
    /// It may or may not have run.
    InDoubt,
    /// This later owner has asked for it and may have run it; it never runs here.
    Tombstone { asker: MemberId },
}

/// One idempotency key in use.
#[derive(Clone, Debug)]
pub(super) struct ClaimRecord {
    pub(super) fingerprint: ContentDigest,
    pub(super) made_ms: Option<u64>,
    pub(super) state: ClaimState,
    /// When it was settled; `None` while it runs.
    pub(super) settled_at: Option<TimePoint>,
}

/// The claims of the keys that this daemon owns or owned: at most one run for each.
///
/// Whoever calls [`ClaimTable::offer`] has checked that this daemon owns the key, and checks the lease again at the
/// moment of the start.
#[derive(Debug)]
pub struct ClaimTable {
    pub(super) options: ClaimOptions,
    pub(super) claims: HashMap<ContentDigest, ClaimRecord>,
    /// Settled claims, the oldest first.
    settled: VecDeque<(TimePoint, ContentDigest)>,
    /// Claims whose answers are stored, the oldest first.
    stored: VecDeque<ContentDigest>,
    stored_bytes: usize,
    pub(super) handovers: HandoverTracker,
}

impl ClaimTable {
    /// Returns an empty table.
    pub fn new(options: ClaimOptions) -> ClaimTable {
        ClaimTable {
            options,
            claims: HashMap::new(),
            settled: VecDeque::new(),
            stored: VecDeque::new(),
            stored_bytes: 0,
            handovers: HandoverTracker::default(),
        }
    }

    /// Returns the number of claims remembered.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is remembered.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the bytes of all stored answers.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Decides what becomes of an offered request.
    pub fn offer(&mut self, now: TimePoint, wall: WallClock, offer: &ClaimOffer) -> ClaimVerdict {
        self.sweep(now);
        if let Some(claim) = self.claims.get_mut(&offer.claim) {
            return existing_verdict(claim, offer);
        }
        if let Some(verdict) = self.age_verdict(wall, offer.made_ms) {
            return verdict;
        }
        let doubt = self.prior_run_of(now, wall, &offer.claim, offer.made_ms, &offer.priors);
        let attempt = offer.attempt.clone();
        let (state, verdict) = match doubt {
            PriorRun::Lost => return ClaimVerdict::InDoubt,
            _ if self.options.max_claims <= self.claims.len() => return ClaimVerdict::Full,
            PriorRun::None => {
                (ClaimState::Running { attempt, joined: Vec::new() }, ClaimVerdict::Run)
            }
            PriorRun::Ask(owner) => (
                ClaimState::Asking { owner: owner.clone(), waiting: vec![attempt] },
                ClaimVerdict::Ask(owner),
            ),
        };
        let claim = ClaimRecord {
            fingerprint: offer.fingerprint,
            made_ms: offer.made_ms,
            state,
            settled_at: None,
        };
        self.claims.insert(offer.claim, claim);
        verdict
    }

    /// Records how the run of a claim ended and returns the joined attempts, which get the same end.
    ///
    /// # Panics
    ///
    /// Panics when the claim is not running: there was a run that this table did not allow.
    pub fn settle(
        &mut self,
        now: TimePoint,
        claim: &ContentDigest,
        end: ClaimOutcome,
    ) -> Vec<AttemptId> {
        let entry = self.claims.get_mut(claim).expect("a settled claim is in the table");
        let joined = match std::mem::replace(&mut entry.state, ClaimState::InDoubt) {
            ClaimState::Running { joined, .. } => joined,
            other => panic!("claim {claim:?} ended while {other:?}"),
        };
        match end {
            ClaimOutcome::NotRun => {
                self.claims.remove(claim);
                return joined;
            }
            ClaimOutcome::InDoubt => {}
            ClaimOutcome::AnsweredNotStored => entry.state = ClaimState::Done(None),
            ClaimOutcome::Answered(answer) => self.store(claim, answer),
        }
        self.mark_settled(now, claim);
        joined
    }

    /// Removes a claim that [`ClaimTable::offer`] let run and that was then refused before its start.
    ///
    /// Returns the joined attempts, which have not run either.
    ///
    /// # Panics
    ///
    /// Panics when the claim is not running.
    pub fn release_not_run(&mut self, now: TimePoint, claim: &ContentDigest) -> Vec<AttemptId> {
        self.settle(now, claim, ClaimOutcome::NotRun)
    }

    /// Returns the attempt that runs under a claim.
    pub fn running_attempt(&self, claim: &ContentDigest) -> Option<&AttemptId> {
        match &self.claims.get(claim)?.state {
            ClaimState::Running { attempt, .. } => Some(attempt),
            _ => None,
        }
    }

    /// Takes in what an earlier owner answered and returns what becomes of the waiting attempts.
    ///
    /// The first may run, which needs the same checks as after [`ClaimTable::offer`]; the others join it.
    pub fn apply_answer(
        &mut self,
        now: TimePoint,
        from: &MemberId,
        answer: ClaimAnswer,
    ) -> Vec<(AttemptId, ClaimVerdict)> {
        match self.claims.get(&answer.claim).map(|claim| &claim.state) {
            Some(ClaimState::Asking { owner, .. }) if owner == from => {}
            _ => return Vec::new(),
        }
        let waiting = self.take_waiting(&answer.claim);
        match answer.status {
            ClaimStatus::NotRun => self.run_first(&answer.claim, waiting),
            ClaimStatus::Running | ClaimStatus::InDoubt => {
                self.settle_in_doubt(now, &answer.claim, waiting)
            }
            ClaimStatus::Done(handed) => self.import_claim(now, handed, waiting),
        }
    }

    /// Stops waiting for an earlier owner that does not answer; the key is in doubt.
    ///
    /// Returns the attempts that waited.
    pub fn abandon_question(&mut self, now: TimePoint, claim: &ContentDigest) -> Vec<AttemptId> {
        match self.claims.get(claim).map(|claim| &claim.state) {
            Some(ClaimState::Asking { .. }) => {}
            _ => return Vec::new(),
        }
        let waiting = self.take_waiting(claim);
        self.mark_settled(now, claim);
        waiting
    }

    /// Answers a later owner of the key. This table never lets the key run afterwards.
    ///
    /// `priors` are those before this daemon, without the one that asks.
    pub fn answer_question(
        &mut self,
        now: TimePoint,
        wall: WallClock,
        asker: &MemberId,
        question: &ClaimQuestion,
        priors: &[PriorOwner],
    ) -> ClaimAnswer {
        self.sweep(now);
        let claim = question.claim;
        let status = match self.claims.get(&claim) {
            Some(entry) => existing_status(now, asker, &claim, entry),
            None => self.add_tombstone(now, wall, asker, question, priors),
        };
        ClaimAnswer { claim, status }
    }

    /// Forgets claims that were settled longer ago than the retention.
    pub fn sweep(&mut self, now: TimePoint) {
        self.handovers.prune(now, self.options.retention);
        while let Some((at, digest)) = self.settled.front().copied() {
            if now.since(at) < self.options.retention {
                break;
            }
            self.settled.pop_front();
            let is_due = self.claims.get(&digest).is_some_and(|it| it.settled_at == Some(at));
            if is_due {
                self.drop_response(&digest);
                self.claims.remove(&digest);
            }
        }
        while self.stored.front().is_some_and(|digest| !self.has_response(digest)) {
            self.stored.pop_front();
        }
    }

    pub(super) fn store(&mut self, digest: &ContentDigest, answer: StoredResponse) {
        let size = answer.size();
        let is_kept = size <= self.options.max_response_bytes && self.make_room(size);
        let Some(claim) = self.claims.get_mut(digest) else { return };
        claim.state = ClaimState::Done(is_kept.then_some(answer));
        if is_kept {
            self.stored_bytes += size;
            self.stored.push_back(*digest);
        }
    }

    /// Drops the oldest stored answers, not their claims, until `size` bytes fit.
    fn make_room(&mut self, size: usize) -> bool {
        while self.options.max_stored_bytes < self.stored_bytes + size {
            let Some(digest) = self.stored.pop_front() else { return false };
            self.drop_response(&digest);
        }
        true
    }

    fn drop_response(&mut self, digest: &ContentDigest) {
        if let Some(ClaimState::Done(answer)) = self.claims.get_mut(digest).map(|it| &mut it.state)
        {
            self.stored_bytes -= answer.take().map_or(0, |it| it.size());
        }
    }

    fn has_response(&self, digest: &ContentDigest) -> bool {
        matches!(self.claims.get(digest).map(|claim| &claim.state), Some(ClaimState::Done(Some(_))))
    }

    pub(super) fn mark_settled(&mut self, now: TimePoint, digest: &ContentDigest) {
        if let Some(claim) = self.claims.get_mut(digest) {
            claim.settled_at = Some(now);
            self.settled.push_back((now, *digest));
        }
    }

    /// Takes the waiting attempts out of a claim whose owner was asked, and leaves it in doubt.
    fn take_waiting(&mut self, digest: &ContentDigest) -> Vec<AttemptId> {
        let Some(claim) = self.claims.get_mut(digest) else { return Vec::new() };
        match std::mem::replace(&mut claim.state, ClaimState::InDoubt) {
            ClaimState::Asking { waiting, .. } => waiting,
            _ => Vec::new(),
        }
    }

    fn run_first(
        &mut self,
        digest: &ContentDigest,
        waiting: Vec<AttemptId>,
    ) -> Vec<(AttemptId, ClaimVerdict)> {
        let mut waiting = waiting.into_iter();
        let (Some(attempt), Some(claim)) = (waiting.next(), self.claims.get_mut(digest)) else {
            return Vec::new();
        };
        let joined: Vec<AttemptId> = waiting.collect();
        claim.state = ClaimState::Running { attempt: attempt.clone(), joined: joined.clone() };
        std::iter::once((attempt, ClaimVerdict::Run))
            .chain(joined.into_iter().map(|it| (it, ClaimVerdict::Join)))
            .collect()
    }

    fn settle_in_doubt(
        &mut self,
        now: TimePoint,
        digest: &ContentDigest,
        waiting: Vec<AttemptId>,
    ) -> Vec<(AttemptId, ClaimVerdict)> {
        self.mark_settled(now, digest);
        waiting.into_iter().map(|it| (it, ClaimVerdict::InDoubt)).collect()
    }

    /// Leaves a tombstone for a key that was never seen here.
    fn add_tombstone(
        &mut self,
        now: TimePoint,
        wall: WallClock,
        asker: &MemberId,
        question: &ClaimQuestion,
        priors: &[PriorOwner],
    ) -> ClaimStatus {
        let is_young = self.age_verdict(wall, question.made_ms) != Some(ClaimVerdict::TooOld);
        let has_doubt = self.prior_run_of(now, wall, &question.claim, question.made_ms, priors)
            != PriorRun::None;
        if !is_young || has_doubt || self.options.max_claims <= self.claims.len() {
            return ClaimStatus::InDoubt;
        }
        let claim = ClaimRecord {
            fingerprint: question.fingerprint,
            made_ms: question.made_ms,
            state: ClaimState::Tombstone { asker: asker.clone() },
            settled_at: None,
        };
        self.claims.insert(question.claim, claim);
        self.mark_settled(now, &question.claim);
        ClaimStatus::NotRun
    }
}

/// Decides an offer whose key is in the table.
fn existing_verdict(claim: &mut ClaimRecord, offer: &ClaimOffer) -> ClaimVerdict {
    if claim.fingerprint != offer.fingerprint {
        return ClaimVerdict::KeyReused;
    }
    match &mut claim.state {
        ClaimState::Asking { waiting: joined, .. } | ClaimState::Running { joined, .. } => {
            joined.push(offer.attempt.clone());
            ClaimVerdict::Join
        }
        settled => settled_verdict(settled),
    }
}

/// Returns what a later owner is told of a key that is in the table.
fn existing_status(
    now: TimePoint,
    asker: &MemberId,
    digest: &ContentDigest,
    claim: &ClaimRecord,
) -> ClaimStatus {
    match &claim.state {
        ClaimState::Running { .. } => ClaimStatus::Running,
        ClaimState::Done(_) => match transferred_claim(now, digest, claim) {
            Some(handed) => ClaimStatus::Done(handed),
            None => ClaimStatus::InDoubt,
        },
        // Whoever asked first may have run it since.
        ClaimState::Tombstone { asker: first } if first == asker => ClaimStatus::NotRun,
        ClaimState::Tombstone { .. } | ClaimState::Asking { .. } | ClaimState::InDoubt => {
            ClaimStatus::InDoubt
        }
    }
}

pub(super) fn settled_verdict(state: &ClaimState) -> ClaimVerdict {
    match state {
        ClaimState::Done(Some(answer)) => ClaimVerdict::Replay(answer.clone()),
        ClaimState::Done(None) => ClaimVerdict::AnswerGone,
        _ => ClaimVerdict::InDoubt,
    }
}
