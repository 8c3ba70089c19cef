//! Claims at the owner guard, which allow at most one run per idempotency key.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use super::{
    DaemonReducer, ReducerStep,
    guard::RunState,
    run_flow::{final_refusal, retryable_refusal},
};
use crate::{
    claim::{
        ClaimAnswer, ClaimHandover, ClaimOffer, ClaimOutcome, ClaimQuestion, ClaimVerdict,
        StoredResponse,
    },
    id::{AttemptId, ContentDigest, MemberId},
    lease::LeaseRing,
    message::{AttemptHeader, AttemptResult, CallOutcome, ControlMessage, RefusalReason},
};

/// Retry delay suggested while ownership of the claim may be changing.
const TAKEOVER_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Maximum number of claims per handover message.
const HANDOVER_BATCH_SIZE: usize = 64;

impl DaemonReducer {
    /// Handles a claimed attempt: it is run, joined to an earlier attempt or replied to immediately.
    pub(super) fn handle_claimed_attempt(
        &mut self,
        step: &mut ReducerStep,
        header: &Arc<AttemptHeader>,
        claim: ContentDigest,
    ) {
        let attempt = header.attempt.clone();
        self.guard.insert(step.now, header.clone(), RunState::Joined);
        let ring = self.control.rings.claim_ring(&header.service);
        let Some(ring) = ring.filter(|it| it.owns(step.now, &claim)) else {
            return self.end_attempt(step, &attempt, ownership_refusal(), Bytes::new());
        };
        let offer = ClaimOffer {
            claim,
            fingerprint: header.fingerprint,
            made_ms: header.claim_made_ms,
            attempt: header.attempt.clone(),
            priors: ring.prior_owners(step.now, &claim, None),
        };
        let verdict = self.claims.offer(step.now, step.wall, &offer);
        if let ClaimVerdict::Ask(owner) = &verdict {
            let question =
                ClaimQuestion { claim, fingerprint: offer.fingerprint, made_ms: offer.made_ms };
            self.control.outbox.push_back((owner.clone(), ControlMessage::ClaimQuestion(question)));
        }
        self.apply_claim_verdict(step, &attempt, claim, verdict);
    }

    /// Applies the decision of the claim table for an attempt.
    fn apply_claim_verdict(
        &mut self,
        step: &mut ReducerStep,
        attempt: &AttemptId,
        claim: ContentDigest,
        verdict: ClaimVerdict,
    ) {
        let refuse = |outcome, reason| final_refusal(outcome, reason, None);
        let (result, body) = match verdict {
            ClaimVerdict::Join | ClaimVerdict::Ask(_) => return,
            ClaimVerdict::Run => return self.start_claimed(step, attempt, claim),
            ClaimVerdict::Replay(answer) => {
                let StoredResponse { status, headers, body } = answer;
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
        self.end_attempt(step, attempt, result, body);
    }

    /// Offers an attempt whose claim was granted to admission; releases the claim if the attempt is refused.
    fn start_claimed(&mut self, step: &mut ReducerStep, attempt: &AttemptId, claim: ContentDigest) {
        let Some(run) = self.guard.get_mut(attempt) else {
            // The entry cancelled the attempt while an earlier owner was being queried.
            return self.release_claim(
                step,
                &claim,
                &retryable_refusal(RefusalReason::CallerGone, None),
            );
        };
        let refusal = run.header.entry_refusal;
        run.state = RunState::Waiting;
        let header = run.header.clone();
        let refusal = match refusal {
            Some(reason) => Some(final_refusal(CallOutcome::NotRun, reason, None)),
            None => self.availability_refusal(step, &header),
        };
        if let Some(result) = refusal {
            self.end_attempt(step, attempt, result.clone(), Bytes::new());
            return self.release_claim(step, &claim, &result);
        }
        self.offer_run(step, &header);
    }

    /// Releases a claim that did not run and refuses the attempts that joined it, which did not run either.
    pub(super) fn release_claim(
        &mut self,
        step: &mut ReducerStep,
        claim: &ContentDigest,
        result: &AttemptResult,
    ) {
        for joined in self.claims.release_not_run(step.now, claim) {
            self.end_attempt(step, &joined, result.clone(), Bytes::new());
        }
    }

    /// Records the result of a claimed run and sends the same reply to the attempts that joined it.
    pub(super) fn complete_claim(
        &mut self,
        step: &mut ReducerStep,
        claim: &ContentDigest,
        result: &AttemptResult,
        body: &Bytes,
    ) {
        let end = match result {
            AttemptResult::Answered { status, headers } => ClaimOutcome::Answered(StoredResponse {
                status: *status,
                headers: headers.clone(),
                body: body.clone(),
            }),
            AttemptResult::Refused { outcome: CallOutcome::NotRun, .. } => ClaimOutcome::NotRun,
            AttemptResult::Refused { outcome: CallOutcome::Ran, .. } => {
                ClaimOutcome::AnsweredNotStored
            }
            AttemptResult::Refused { outcome: CallOutcome::Unknown, .. } => ClaimOutcome::InDoubt,
        };
        for joined in self.claims.settle(step.now, claim, end) {
            self.end_attempt(step, &joined, result.clone(), body.clone());
        }
    }

    /// Returns whether this guard owns the attempt's claim at the current time, or the attempt has no claim.
    pub(super) fn owns_claim(&self, step: &ReducerStep, header: &AttemptHeader) -> bool {
        let Some(claim) = &header.claim else { return true };
        let ring = self.control.rings.claim_ring(&header.service);
        ring.is_some_and(|it| it.owns(step.now, claim))
    }

    pub(super) fn handle_claim_question(
        &mut self,
        step: &mut ReducerStep,
        from: &MemberId,
        question: &ClaimQuestion,
    ) {
        let ring = self.backend.service().and_then(|it| self.control.rings.claim_ring(it));
        let priors = ring
            .map(|it| it.prior_owners(step.now, &question.claim, Some(from)))
            .unwrap_or_default();
        let answer = self.claims.answer_question(step.now, step.wall, from, question, &priors);
        self.control.outbox.push_back((from.clone(), ControlMessage::ClaimAnswer(answer)));
    }

    pub(super) fn handle_claim_answer(
        &mut self,
        step: &mut ReducerStep,
        from: &MemberId,
        answer: ClaimAnswer,
    ) {
        let claim = answer.claim;
        for (attempt, verdict) in self.claims.apply_answer(step.now, from, answer) {
            self.apply_claim_verdict(step, &attempt, claim, verdict);
        }
    }

    /// Imports the claims of a leaving member.
    pub(super) fn handle_claim_handover(
        &mut self,
        step: &mut ReducerStep,
        from: &MemberId,
        handover: ClaimHandover,
    ) {
        let n_claims = handover.claims.len();
        let is_complete = self.claims.import_handover(step.now, from, handover);
        step.log(format!(
            "event=claims_taken_over from={from} claims={n_claims} complete={is_complete}"
        ));
    }

    /// Abandons a question to an earlier owner that is unreachable; the waiting attempts are refused as in doubt.
    pub(super) fn abandon_claim_question(&mut self, step: &mut ReducerStep, claim: &ContentDigest) {
        let result = final_refusal(CallOutcome::Unknown, RefusalReason::ClaimInDoubt, None);
        for attempt in self.claims.abandon_question(step.now, claim) {
            self.end_attempt(step, &attempt, result.clone(), Bytes::new());
        }
    }

    /// Transfers the claims to their next owners and leaves all rings.
    pub(super) fn hand_over(&mut self, step: &mut ReducerStep) {
        let ring = self.backend.service().and_then(|it| self.control.rings.claim_ring(it));
        let successors = ring.map(LeaseRing::successors).unwrap_or_default();
        let batches = self.claims.handover_batches(step.now, &successors, HANDOVER_BATCH_SIZE);
        step.log(format!("event=claims_handed_over batches={}", batches.len()));
        let messages = batches.into_iter().map(|(to, it)| (to, ControlMessage::ClaimHandover(it)));
        self.control.outbox.extend(messages);
        let mut out = Vec::new();
        self.control.rings.leave(step.now, &mut out);
        self.queue_leases(out);
    }
}

/// Returns the refusal of a claimed request that another guard may own.
fn ownership_refusal() -> AttemptResult {
    AttemptResult::Refused {
        // Only the owner can confirm that no earlier copy of the request has run.
        outcome: CallOutcome::Unknown,
        reason: RefusalReason::NotOwner,
        retry_after: Some(TAKEOVER_RETRY_AFTER),
        local: true,
    }
}
