//! Rounds of questions to the control ring, and the status of this daemon as a member of the ring.

use std::collections::BTreeMap;

use super::{AuthorityContext, ControlRing};
use crate::{id::MemberId, settings::Revision, time::TimePoint};

/// A member's answer to a question.
#[derive(Clone, Copy, Debug)]
struct RingAnswer {
    confirmed_epoch: Option<u64>,
    revision: Revision,
}

/// A question to all members of the control ring, with the answers from members in the same epoch.
#[derive(Debug)]
pub(super) struct QuestionRound {
    pub(super) serial: u64,
    pub(super) epoch: u64,
    pub(super) sent_at: TimePoint,
    answers: BTreeMap<MemberId, RingAnswer>,
}

impl QuestionRound {
    /// Creates a round without answers.
    pub(super) fn new(serial: u64, epoch: u64, sent_at: TimePoint) -> QuestionRound {
        QuestionRound { serial, epoch, sent_at, answers: BTreeMap::new() }
    }

    /// Records the answer of one member.
    pub(super) fn record_answer(
        &mut self,
        from: &MemberId,
        confirmed_epoch: Option<u64>,
        revision: Revision,
    ) {
        self.answers.insert(from.clone(), RingAnswer { confirmed_epoch, revision });
    }

    /// Returns the revision that a majority attests: the greatest one among the answers of members confirmed in this
    /// epoch. Returns `None` without a majority.
    pub(super) fn attested_revision(&self, ring: &ControlRing) -> Option<Revision> {
        self.greatest_revision(ring, self.epoch)
    }

    /// Returns the revision that a member must hold to be confirmed in this epoch. Answers of members confirmed in the
    /// previous epoch count as well, since majorities of adjacent epochs share a member.
    pub(super) fn confirming_revision(&self, ring: &ControlRing) -> Option<Revision> {
        self.greatest_revision(ring, self.epoch.saturating_sub(1))
    }

    /// Returns the revisions held by members that are confirmed in this epoch.
    pub(super) fn held_revisions<'r>(
        &'r self,
        ring: &'r ControlRing,
    ) -> impl Iterator<Item = (&'r MemberId, Revision)> {
        self.answers_since(ring, self.epoch).map(|(member, answer)| (member, answer.revision))
    }

    fn greatest_revision(&self, ring: &ControlRing, min_epoch: u64) -> Option<Revision> {
        let has_majority = ring.majority() <= self.answers_since(ring, min_epoch).count();
        let revisions = self.answers_since(ring, min_epoch).map(|(_, answer)| answer.revision);
        revisions.max().filter(|_| has_majority)
    }

    fn answers_since<'r>(
        &'r self,
        ring: &'r ControlRing,
        min_epoch: u64,
    ) -> impl Iterator<Item = (&'r MemberId, &'r RingAnswer)> {
        let is_confirmed =
            move |it: &RingAnswer| it.confirmed_epoch.is_some_and(|it| min_epoch <= it);
        let answers = self.answers.iter().filter(|(member, _)| ring.members.contains(member));
        answers.filter(move |(_, answer)| is_confirmed(answer))
    }
}

/// Status of this daemon as a member of the control ring.
///
/// In each epoch a member first has to prove that it holds all revisions confirmed before, by reading the head or from
/// the answers of a majority. The proof must have started after the member first held its lease in the epoch, since a
/// member that it replaces may have attested until then.
#[derive(Debug, Default)]
pub(super) struct RingStatus {
    epoch: Option<u64>,
    active_since: Option<TimePoint>,
    /// Minimum revision that confirms this member in the epoch.
    required_revision: Option<Revision>,
    confirmed_epoch: Option<u64>,
}

impl RingStatus {
    /// Updates the status from `context`.
    pub(super) fn refresh(&mut self, local_member: &MemberId, context: &AuthorityContext<'_>) {
        let epoch =
            context.ring.filter(|ring| ring.members.contains(local_member)).map(|ring| ring.epoch);
        if self.epoch != epoch {
            self.epoch = epoch;
            self.active_since = None;
            self.required_revision = None;
        }
        if epoch.is_some() && context.holds_lease && self.active_since.is_none() {
            self.active_since = Some(context.now);
        }
        if self.required_revision.is_some_and(|required| required <= context.revision) {
            self.confirmed_epoch = epoch;
        }
    }

    /// Handles evidence that covers all revisions confirmed before `sent_at`.
    pub(super) fn on_evidence(&mut self, sent_at: TimePoint, revision: Revision) {
        if self.active_since.is_some_and(|since| since <= sent_at)
            && self.required_revision.is_none()
        {
            self.required_revision = Some(revision);
        }
    }

    /// Returns the epoch in which this daemon may attest now.
    pub(super) fn active_epoch(&self, context: &AuthorityContext<'_>) -> Option<u64> {
        self.epoch.filter(|_| context.holds_lease)
    }

    /// Returns the last epoch in which this daemon was confirmed.
    pub(super) fn confirmed_epoch(&self) -> Option<u64> {
        self.confirmed_epoch
    }

    /// Returns whether this daemon is an active member that is not yet confirmed in its epoch.
    pub(super) fn lacks_confirmation(&self, context: &AuthorityContext<'_>) -> bool {
        self.active_epoch(context).is_some() && self.confirmed_epoch != self.epoch
    }
}
