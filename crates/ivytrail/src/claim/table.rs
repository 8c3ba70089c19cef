//! The claims on the keys that a daemon owns.

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

/// State of a claim.
#[derive(Clone, Debug)]
pub(super) enum ClaimState {
    /// An earlier owner is being asked; the attempts wait for its answer.
    Asking { owner: MemberId, waiting: Vec<AttemptId> },
    /// An attempt runs; the joined attempts receive the same result.
    Running { attempt: AttemptId, joined: Vec<AttemptId> },
    /// The request ran; the response is present if it is stored.
    Done(Option<StoredResponse>),
    /// The request may have run.
    InDoubt,
    /// A later owner has asked about the key and may have run it; it must not run at this owner any more.
    Tombstone { requester: MemberId },
}

/// The claim on an idempotency key.
#[derive(Clone, Debug)]
pub(super) struct ClaimRecord {
    pub(super) fingerprint: ContentDigest,
    pub(super) made_ms: Option<u64>,
    pub(super) state: ClaimState,
    /// Time at which the claim was settled; `None` before that.
    pub(super) settled_at: Option<TimePoint>,
}

/// The claims on the keys that this daemon owns or has owned; allows at most one run per key.
///
/// Before it calls [`ClaimTable::offer`], the caller must check that this daemon owns the key. It must check the lease
/// again when the run starts.
#[derive(Debug)]
pub struct ClaimTable {
    pub(super) options: ClaimOptions,
    pub(super) claims: HashMap<ContentDigest, ClaimRecord>,
    /// Settled claims, oldest first.
    settled: VecDeque<(TimePoint, ContentDigest)>,
    /// Claims with stored responses, oldest first.
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

    /// Returns the number of claims in the table.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn is_full(&self) -> bool {
        self.options.max_claims <= self.claims.len()
    }

    /// Returns the total size in bytes of all stored responses.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Decides whether an offered request may run, and records its claim.
    pub fn offer(&mut self, now: TimePoint, wall: WallClock, offer: &ClaimOffer) -> ClaimVerdict {
        self.sweep(now);
        if let Some(claim) = self.claims.get_mut(&offer.claim) {
            return existing_verdict(claim, offer);
        }
        if let Some(verdict) = self.age_verdict(wall, offer.made_ms) {
            return verdict;
        }
        let prior_run = self.prior_run_of(now, wall, &offer.claim, offer.made_ms, &offer.priors);
        let attempt = offer.attempt.clone();
        let (state, verdict) = match prior_run {
            PriorRun::Possible => return ClaimVerdict::InDoubt,
            // Without room for the claim the earlier owner can't be asked, and it may have run the request.
            PriorRun::Ask(_) if self.is_full() => return ClaimVerdict::InDoubt,
            PriorRun::Impossible if self.is_full() => return ClaimVerdict::Full,
            PriorRun::Impossible => {
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

    /// Records the outcome of a claim's run. Returns the joined attempts, which receive the same result.
    ///
    /// # Panics
    ///
    /// Panics if the claim is not running, because the table then has not permitted this run.
    pub fn settle(
        &mut self,
        now: TimePoint,
        claim: &ContentDigest,
        outcome: ClaimOutcome,
    ) -> Vec<AttemptId> {
        let entry = self.claims.get_mut(claim).expect("claim to settle is not in the table");
        let joined = match std::mem::replace(&mut entry.state, ClaimState::InDoubt) {
            ClaimState::Running { joined, .. } => joined,
            other => panic!("claim {claim:?} was settled in state {other:?}"),
        };
        match outcome {
            ClaimOutcome::NotRun => {
                self.claims.remove(claim);
                return joined;
            }
            ClaimOutcome::InDoubt => {}
            ClaimOutcome::AnsweredNotStored => entry.state = ClaimState::Done(None),
            ClaimOutcome::Answered(response) => self.store(claim, response),
        }
        self.mark_settled(now, claim);
        joined
    }

    /// Removes a claim whose run was permitted, but whose attempt was refused before the run started.
    ///
    /// Returns the joined attempts, which have not run either.
    ///
    /// # Panics
    ///
    /// Panics if the claim is not running.
    pub fn release_not_run(&mut self, now: TimePoint, claim: &ContentDigest) -> Vec<AttemptId> {
        self.settle(now, claim, ClaimOutcome::NotRun)
    }

    /// Returns the running attempt of a claim.
    pub fn running_attempt(&self, claim: &ContentDigest) -> Option<&AttemptId> {
        match &self.claims.get(claim)?.state {
            ClaimState::Running { attempt, .. } => Some(attempt),
            _ => None,
        }
    }

    /// Applies an earlier owner's answer and returns the decisions for the waiting attempts.
    ///
    /// If the request may run, the first attempt runs, subject to the same checks as after [`ClaimTable::offer`], and
    /// the others join it.
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
            ClaimStatus::Done(transferred) => self.import_claim(now, transferred, waiting),
        }
    }

    /// Stops waiting for an earlier owner that does not answer, and marks the claim as in doubt.
    ///
    /// Returns the attempts that were waiting.
    pub fn abandon_question(&mut self, now: TimePoint, claim: &ContentDigest) -> Vec<AttemptId> {
        match self.claims.get(claim).map(|claim| &claim.state) {
            Some(ClaimState::Asking { .. }) => {}
            _ => return Vec::new(),
        }
        let waiting = self.take_waiting(claim);
        self.mark_settled(now, claim);
        waiting
    }

    /// Answers a question from a later owner of the key. This table does not permit a run of the key afterwards.
    ///
    /// `priors` are the owners before this daemon, except for the one that asks.
    pub fn answer_question(
        &mut self,
        now: TimePoint,
        wall: WallClock,
        requester: &MemberId,
        question: &ClaimQuestion,
        priors: &[PriorOwner],
    ) -> ClaimAnswer {
        self.sweep(now);
        let claim = question.claim;
        let status = match self.claims.get(&claim) {
            Some(entry) => existing_status(now, requester, &claim, entry),
            None => self.add_tombstone(now, wall, requester, question, priors),
        };
        ClaimAnswer { claim, status }
    }

    /// Removes claims whose retention has elapsed.
    pub fn sweep(&mut self, now: TimePoint) {
        self.handovers.prune(now, self.options.retention);
        while let Some((at, digest)) = self.settled.front().copied() {
            if now.since(at) < self.options.retention {
                break;
            }
            self.settled.pop_front();
            let is_expired = self.claims.get(&digest).is_some_and(|it| it.settled_at == Some(at));
            if is_expired {
                self.drop_response(&digest);
                self.claims.remove(&digest);
            }
        }
        while self.stored.front().is_some_and(|digest| !self.has_response(digest)) {
            self.stored.pop_front();
        }
    }

    pub(super) fn store(&mut self, digest: &ContentDigest, response: StoredResponse) {
        let size = response.size();
        let is_stored = size <= self.options.max_response_bytes && self.make_room(size);
        let Some(claim) = self.claims.get_mut(digest) else { return };
        claim.state = ClaimState::Done(is_stored.then_some(response));
        if is_stored {
            self.stored_bytes += size;
            self.stored.push_back(*digest);
        }
    }

    /// Evicts the oldest stored responses, but not their claims, until `size` bytes fit. Returns whether they fit.
    fn make_room(&mut self, size: usize) -> bool {
        while self.options.max_stored_bytes < self.stored_bytes + size {
            let Some(digest) = self.stored.pop_front() else { return false };
            self.drop_response(&digest);
        }
        true
    }

    fn drop_response(&mut self, digest: &ContentDigest) {
        if let Some(ClaimState::Done(response)) =
            self.claims.get_mut(digest).map(|it| &mut it.state)
        {
            self.stored_bytes -= response.take().map_or(0, |it| it.size());
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

    /// Removes the waiting attempts from a claim that awaits an earlier owner's answer, and marks the claim as in
    /// doubt.
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

    /// Adds a tombstone for a key that is not in the table, unless it may have run.
    fn add_tombstone(
        &mut self,
        now: TimePoint,
        wall: WallClock,
        requester: &MemberId,
        question: &ClaimQuestion,
        priors: &[PriorOwner],
    ) -> ClaimStatus {
        let is_retained = self.age_verdict(wall, question.made_ms) != Some(ClaimVerdict::TooOld);
        let may_have_run = self.prior_run_of(now, wall, &question.claim, question.made_ms, priors)
            != PriorRun::Impossible;
        if !is_retained || may_have_run || self.is_full() {
            return ClaimStatus::InDoubt;
        }
        let claim = ClaimRecord {
            fingerprint: question.fingerprint,
            made_ms: question.made_ms,
            state: ClaimState::Tombstone { requester: requester.clone() },
            settled_at: None,
        };
        self.claims.insert(question.claim, claim);
        self.mark_settled(now, &question.claim);
        ClaimStatus::NotRun
    }
}

/// Returns the decision on an offer whose key is in the table.
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

/// Returns the status that is reported to a later owner for a key in the table.
fn existing_status(
    now: TimePoint,
    requester: &MemberId,
    digest: &ContentDigest,
    claim: &ClaimRecord,
) -> ClaimStatus {
    match &claim.state {
        ClaimState::Running { .. } => ClaimStatus::Running,
        ClaimState::Done(_) => match transferred_claim(now, digest, claim) {
            Some(transferred) => ClaimStatus::Done(transferred),
            None => ClaimStatus::InDoubt,
        },
        // The member that asked first may have run the request in the meantime.
        ClaimState::Tombstone { requester: first } if first == requester => ClaimStatus::NotRun,
        ClaimState::Tombstone { .. } | ClaimState::Asking { .. } | ClaimState::InDoubt => {
            ClaimStatus::InDoubt
        }
    }
}

pub(super) fn settled_verdict(state: &ClaimState) -> ClaimVerdict {
    match state {
        ClaimState::Done(Some(response)) => ClaimVerdict::Replay(response.clone()),
        ClaimState::Done(None) => ClaimVerdict::AnswerGone,
        _ => ClaimVerdict::InDoubt,
    }
}
