//! Rounds of questions to the control ring, and a daemon's own standing in it.

use std::collections::BTreeMap;

use super::{AuthorityContext, ControlRing};
use crate::{id::MemberId, settings::Revision, time::TimePoint};

/// One answer to a question.
#[derive(Clone, Copy, Debug)]
struct RingAnswer {
    confirmed_epoch: Option<u64>,
    revision: Revision,
}

/// A question to all members of the control ring, and the answers from those of the same epoch.
#[derive(Debug)]
pub(super) struct QuestionRound {
    pub(super) serial: u64,
    pub(super) epoch: u64,
    pub(super) sent_at: TimePoint,
    answers: BTreeMap<MemberId, RingAnswer>,
}

impl QuestionRound {
    /// Returns a round without answers.
    pub(super) fn new(serial: u64, epoch: u64, sent_at: TimePoint) -> QuestionRound {
        QuestionRound { serial, epoch, sent_at, answers: BTreeMap::new() }
    }

    /// Takes an answer.
    pub(super) fn take(
        &mut self,
        from: &MemberId,
        confirmed_epoch: Option<u64>,
        revision: Revision,
    ) {
        self.answers.insert(from.clone(), RingAnswer { confirmed_epoch, revision });
    }

    /// Returns the revision that a majority attests: the greatest one among the answers of members that are confirmed in
    /// this epoch.
    pub(super) fn attested(&self, ring: &ControlRing) -> Option<Revision> {
        self.greatest(ring, self.epoch)
    }

    /// Returns the revision whose possession confirms a member in this epoch. Answers of members that were confirmed in
    /// the epoch before count too: two majorities of neighbouring epochs share one of them.
    pub(super) fn confirming(&self, ring: &ControlRing) -> Option<Revision> {
        self.greatest(ring, self.epoch.saturating_sub(1))
    }

    /// Returns the revisions that confirmed members hold.
    pub(super) fn holdings<'r>(
        &'r self,
        ring: &'r ControlRing,
    ) -> impl Iterator<Item = (&'r MemberId, Revision)> {
        self.answers_since(ring, self.epoch).map(|(member, answer)| (member, answer.revision))
    }

    fn greatest(&self, ring: &ControlRing, least_epoch: u64) -> Option<Revision> {
        let has_majority = ring.majority() <= self.answers_since(ring, least_epoch).count();
        let revisions = self.answers_since(ring, least_epoch).map(|(_, answer)| answer.revision);
        revisions.max().filter(|_| has_majority)
    }

    fn answers_since<'r>(
        &'r self,
        ring: &'r ControlRing,
        least_epoch: u64,
    ) -> impl Iterator<Item = (&'r MemberId, &'r RingAnswer)> {
        let is_confirmed =
            move |it: &RingAnswer| it.confirmed_epoch.is_some_and(|it| least_epoch <= it);
        let answers = self.answers.iter().filter(|(member, _)| ring.members.contains(member));
        answers.filter(move |(_, answer)| is_confirmed(answer))
    }
}

/// A daemon's own standing in the control ring.
///
/// In each epoch a member first has to prove that it holds all that was confirmed before: by reading the head, or by the
/// answers of a majority. The proof must have begun after the member first held its lease in the epoch, since until then
/// a member that it replaces may still have spoken.
#[derive(Debug, Default)]
pub(super) struct RingStanding {
    epoch: Option<u64>,
    active_since: Option<TimePoint>,
    /// The least revision whose possession confirms this member in the epoch.
    floor: Option<Revision>,
    confirmed_epoch: Option<u64>,
}

impl RingStanding {
    /// Brings the standing up to date.
    pub(super) fn refresh(&mut self, me: &MemberId, context: &AuthorityContext<'_>) {
        let epoch = context.ring.filter(|ring| ring.members.contains(me)).map(|ring| ring.epoch);
        if self.epoch != epoch {
            self.epoch = epoch;
            self.active_since = None;
            self.floor = None;
        }
        if epoch.is_some() && context.holds_lease && self.active_since.is_none() {
            self.active_since = Some(context.now);
        }
        if self.floor.is_some_and(|floor| floor <= context.revision) {
            self.confirmed_epoch = epoch;
        }
    }

    /// Takes evidence that names all that was confirmed before `sent_at`.
    pub(super) fn on_evidence(&mut self, sent_at: TimePoint, revision: Revision) {
        if self.active_since.is_some_and(|since| since <= sent_at) && self.floor.is_none() {
            self.floor = Some(revision);
        }
    }

    /// Returns the epoch in which this daemon may speak now.
    pub(super) fn active_epoch(&self, context: &AuthorityContext<'_>) -> Option<u64> {
        self.epoch.filter(|_| context.holds_lease)
    }

    /// Returns the last epoch in which this daemon was confirmed.
    pub(super) fn confirmed_epoch(&self) -> Option<u64> {
        self.confirmed_epoch
    }

    /// Returns whether this daemon is a member that still has to be confirmed in its epoch.
    pub(super) fn lacks_confirmation(&self, context: &AuthorityContext<'_>) -> bool {
        self.active_epoch(context).is_some() && self.confirmed_epoch != self.epoch
    }
}
