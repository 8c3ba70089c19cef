//! Claims at the owner guard: at most one run for each idempotency key.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use super::{
    DaemonReducer, Turn,
    guard::RunState,
    run_flow::{final_refusal, not_run},
};
use crate::{
    claim::{
        ClaimAnswer, ClaimEnd, ClaimHandover, ClaimOffer, ClaimQuestion, ClaimVerdict, StoredAnswer,
    },
    id::{AttemptId, ContentDigest, MemberId},
    lease::LeaseRing,
    message::{AttemptHeader, AttemptResult, CallOutcome, ControlMessage, RefusalReason},
};

/// When to come back after a refusal because the key's owner is being replaced.
const TAKEOVER_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Claims in one message of a handover.
const HANDOVER_BATCH: usize = 64;

impl DaemonReducer {
    /// Takes a claimed attempt: it runs, joins an earlier one, or gets its reply.
    pub(super) fn receive_claimed(
        &mut self,
        turn: &mut Turn,
        header: &Arc<AttemptHeader>,
        claim: ContentDigest,
    ) {
        let attempt = header.attempt.clone();
        self.guard.insert(turn.now, header.clone(), RunState::Joined);
        let ring = self.control.rings.claims(&header.service);
        let Some(ring) = ring.filter(|it| it.owns(turn.now, &claim)) else {
            return self.end_attempt(turn, &attempt, not_owner(), Bytes::new());
        };
        let offer = ClaimOffer {
            claim,
            fingerprint: header.fingerprint,
            made_ms: header.claim_made_ms,
            attempt: header.attempt.clone(),
            priors: ring.priors_of(turn.now, &claim, None),
        };
        let verdict = self.claims.offer(turn.now, turn.wall, &offer);
        if let ClaimVerdict::Ask(owner) = &verdict {
            let question =
                ClaimQuestion { claim, fingerprint: offer.fingerprint, made_ms: offer.made_ms };
            self.control.outbox.push_back((owner.clone(), ControlMessage::ClaimQuestion(question)));
        }
        self.follow_verdict(turn, &attempt, claim, verdict);
    }

    /// Does what the claim table decided for an attempt.
    fn follow_verdict(
        &mut self,
        turn: &mut Turn,
        attempt: &AttemptId,
        claim: ContentDigest,
        verdict: ClaimVerdict,
    ) {
        let refuse = |outcome, reason| final_refusal(outcome, reason, None);
        let (result, body) = match verdict {
            ClaimVerdict::Join | ClaimVerdict::Ask(_) => return,
            ClaimVerdict::Run => return self.run_claimed(turn, attempt, claim),
            ClaimVerdict::Replay(answer) => {
                let StoredAnswer { status, headers, body } = answer;
                (AttemptResult::Answered { status, headers }, body)
            }
            ClaimVerdict::AnswerGone => {
                (refuse(CallOutcome::Ran, RefusalReason::AnswerGone), Bytes::new())
            }
            ClaimVerdict::InDoubt | ClaimVerdict::TooOld => {
                (refuse(CallOutcome::Unknown, RefusalReason::ClaimInDoubt), Bytes::new())
            }
            ClaimVerdict::KeyReused => {
                (refuse(CallOutcome::NotRun, RefusalReason::KeyReused), Bytes::new())
            }
            ClaimVerdict::TooNew => {
                (refuse(CallOutcome::NotRun, RefusalReason::BadRequest), Bytes::new())
            }
            ClaimVerdict::Full => {
                (refuse(CallOutcome::NotRun, RefusalReason::Overloaded), Bytes::new())
            }
        };
        self.end_attempt(turn, attempt, result, body);
    }

    /// Lets an attempt run whose claim the table has granted; a refused one gives the claim back.
    fn run_claimed(&mut self, turn: &mut Turn, attempt: &AttemptId, claim: ContentDigest) {
        let Some(run) = self.guard.get_mut(attempt) else {
            // Its entry gave it up while an earlier owner was asked.
            return self.release_claim(turn, &claim, &not_run(RefusalReason::CallerGone, None));
        };
        let unfit = run.header.entry_refusal;
        run.state = RunState::Waiting;
        let header = run.header.clone();
        let unfit = match unfit {
            Some(reason) => Some(final_refusal(CallOutcome::NotRun, reason, None)),
            None => self.unfit_for(turn, &header),
        };
        if let Some(result) = unfit {
            self.end_attempt(turn, attempt, result.clone(), Bytes::new());
            return self.release_claim(turn, &claim, &result);
        }
        self.offer_run(turn, &header);
    }

    /// Gives back a claim that did not run; attempts that joined it have not run either.
    pub(super) fn release_claim(
        &mut self,
        turn: &mut Turn,
        claim: &ContentDigest,
        result: &AttemptResult,
    ) {
        for joined in self.claims.forget_not_run(turn.now, claim) {
            self.end_attempt(turn, &joined, result.clone(), Bytes::new());
        }
    }

    /// Records how the run of a claimed attempt ended; attempts that joined it get the same reply.
    pub(super) fn settle_claim(
        &mut self,
        turn: &mut Turn,
        claim: &ContentDigest,
        result: &AttemptResult,
        body: &Bytes,
    ) {
        let end = match result {
            AttemptResult::Answered { status, headers } => ClaimEnd::Answered(StoredAnswer {
                status: *status,
                headers: headers.clone(),
                body: body.clone(),
            }),
            AttemptResult::Refused { outcome: CallOutcome::NotRun, .. } => ClaimEnd::NotRun,
            AttemptResult::Refused { outcome: CallOutcome::Ran, .. } => ClaimEnd::AnsweredUnkept,
            AttemptResult::Refused { outcome: CallOutcome::Unknown, .. } => ClaimEnd::InDoubt,
        };
        for joined in self.claims.settle(turn.now, claim, end) {
            self.end_attempt(turn, &joined, result.clone(), body.clone());
        }
    }

    /// Returns whether this guard still owns the attempt's claim, at the moment of its start.
    pub(super) fn owns_claim(&self, turn: &Turn, header: &AttemptHeader) -> bool {
        let Some(claim) = &header.claim else { return true };
        let ring = self.control.rings.claims(&header.service);
        ring.is_some_and(|it| it.owns(turn.now, claim))
    }

    pub(super) fn receive_question(
        &mut self,
        turn: &mut Turn,
        from: &MemberId,
        question: &ClaimQuestion,
    ) {
        let ring = self.backend.service().and_then(|it| self.control.rings.claims(it));
        let priors =
            ring.map(|it| it.priors_of(turn.now, &question.claim, Some(from))).unwrap_or_default();
        let answer = self.claims.answer(turn.now, turn.wall, from, question, &priors);
        self.control.outbox.push_back((from.clone(), ControlMessage::ClaimAnswer(answer)));
    }

    pub(super) fn receive_claim_answer(
        &mut self,
        turn: &mut Turn,
        from: &MemberId,
        answer: ClaimAnswer,
    ) {
        let claim = answer.claim;
        for (attempt, verdict) in self.claims.learn(turn.now, from, answer) {
            self.follow_verdict(turn, &attempt, claim, verdict);
        }
    }

    /// Takes the claims of a leaving member.
    pub(super) fn receive_handover(
        &mut self,
        turn: &mut Turn,
        from: &MemberId,
        handover: ClaimHandover,
    ) {
        let n_claims = handover.claims.len();
        let is_complete = self.claims.take_over(turn.now, from, handover);
        turn.log(format!(
            "event=claims_taken_over from={from} claims={n_claims} complete={is_complete}"
        ));
    }

    /// Stops asking an earlier owner that can't be reached.
    pub(super) fn give_up_question(&mut self, turn: &mut Turn, claim: &ContentDigest) {
        let result = final_refusal(CallOutcome::Unknown, RefusalReason::ClaimInDoubt, None);
        for attempt in self.claims.give_up(turn.now, claim) {
            self.end_attempt(turn, &attempt, result.clone(), Bytes::new());
        }
    }

    /// Leaves the rings and hands the claims to their next owners.
    pub(super) fn hand_over(&mut self, turn: &mut Turn) {
        let ring = self.backend.service().and_then(|it| self.control.rings.claims(it));
        let heirs = ring.map(LeaseRing::heirs).unwrap_or_default();
        let batches = self.claims.hand_over(turn.now, &heirs, HANDOVER_BATCH);
        turn.log(format!("event=claims_handed_over batches={}", batches.len()));
        let messages = batches.into_iter().map(|(to, it)| (to, ControlMessage::ClaimHandover(it)));
        self.control.outbox.extend(messages);
        let mut out = Vec::new();
        self.control.rings.leave(turn.now, &mut out);
        self.queue_leases(out);
    }
}

/// Returns the refusal of a claim that another guard may own.
fn not_owner() -> AttemptResult {
    AttemptResult::Refused {
        // Only the owner can tell that an earlier copy has not run.
        outcome: CallOutcome::Unknown,
        reason: RefusalReason::NotOwner,
        retry_after: Some(TAKEOVER_RETRY_AFTER),
        local: true,
    }
}
