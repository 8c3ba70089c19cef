//! Tracks whether this daemon may still rely on its settings and keys.
//!
//! A withdrawal of a key that was reported as confirmed must be in force everywhere within
//! [`AuthorityOptions::max_evidence_age`] (T below). A daemon may rely on its keys only while it has evidence that no
//! later revision is confirmed. The evidence must be at most T old, measured from when the request for it was sent, and
//! comes from one of three sources:
//!
//! - the daemon read the head row itself, or
//! - a majority of the control ring's members attested their revisions, or
//! - another daemon relayed its own evidence together with its age.
//!
//! In addition, the daemon's own revision must be at least the greatest one in any evidence. A revision is confirmed
//! when it is in the table and a majority of the control ring's members hold it. Any two majorities share a member, so
//! evidence gathered after the confirmation includes that revision. During a platform outage all daemons continue to
//! serve, since the ring still attests; a daemon that is cut off from both becomes stale within T.
//! `docs/design/0008-authority.md` explains why this holds, also across changes of the ring.

mod message;
mod relay;
mod round;

use std::{collections::BTreeMap, time::Duration};

pub use self::message::AuthorityMessage;
use self::{
    relay::RelaySelector,
    round::{QuestionRound, RingStatus},
};
use crate::{
    id::MemberId,
    settings::{Revision, feed::FeedPeer},
    time::TimePoint,
};

/// Maximum number of question rounds kept to match late answers.
const MAX_ROUNDS: usize = 4;

/// Intervals and age limits of the evidence. All daemons must use the same maximum evidence age.
#[derive(Clone, Debug, PartialEq)]
pub struct AuthorityOptions {
    /// Maximum age of the evidence on which a daemon relies.
    pub max_evidence_age: Duration,
    /// Interval between requests for evidence.
    pub request_interval: Duration,
    /// Interval between rounds of questions to the control ring while a change awaits confirmation.
    pub confirmation_interval: Duration,
    /// Age of the evidence from which the control ring, and a daemon other than the preferred relays, are asked as
    /// well.
    pub fallback_age: Duration,
}

impl Default for AuthorityOptions {
    fn default() -> AuthorityOptions {
        AuthorityOptions {
            max_evidence_age: Duration::from_secs(3),
            request_interval: Duration::from_millis(400),
            confirmation_interval: Duration::from_millis(50),
            fallback_age: Duration::from_millis(1_400),
        }
    }
}

/// The definition of the control ring known to this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlRing {
    /// Epoch of the definition.
    pub epoch: u64,
    /// Members of the ring in this epoch.
    pub members: Vec<MemberId>,
}

impl ControlRing {
    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// State of the daemon at the time of an event, as input for [`AuthorityTracker`].
#[derive(Clone, Copy, Debug)]
pub struct AuthorityContext<'c> {
    /// Current time.
    pub now: TimePoint,
    /// Revision in force locally.
    pub revision: Revision,
    /// All other daemons.
    pub peers: &'c [FeedPeer],
    /// Control ring; `None` until its definition is known.
    pub ring: Option<&'c ControlRing>,
    /// Whether this daemon holds its lease in the epoch of the control ring.
    pub holds_lease: bool,
}

/// Evidence that no revision after `revision` was confirmed at some time at or after `as_of`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RevisionEvidence {
    revision: Revision,
    as_of: TimePoint,
}

/// Keeps the evidence of one daemon, requests new evidence and attests the local revision to other daemons.
#[derive(Debug)]
pub struct AuthorityTracker {
    local_peer: FeedPeer,
    options: AuthorityOptions,
    evidence: Option<RevisionEvidence>,
    /// The greatest revision in any evidence.
    known_revision: Revision,
    ring_status: RingStatus,
    rounds: Vec<QuestionRound>,
    relays: RelaySelector,
    next_serial: u64,
    next_request_at: TimePoint,
    next_round_at: TimePoint,
    /// Revisions that members of the control ring reported to hold in `held_epoch`.
    held_revisions: BTreeMap<MemberId, Revision>,
    held_epoch: u64,
    confirmed_revision: Revision,
    awaited_revision: Revision,
}

impl AuthorityTracker {
    /// Creates a tracker without evidence.
    pub fn new(local_peer: FeedPeer, options: AuthorityOptions) -> AuthorityTracker {
        AuthorityTracker {
            local_peer,
            options,
            evidence: None,
            known_revision: Revision::default(),
            ring_status: RingStatus::default(),
            rounds: Vec::new(),
            relays: RelaySelector::default(),
            next_serial: 0,
            next_request_at: TimePoint::ORIGIN,
            next_round_at: TimePoint::ORIGIN,
            held_revisions: BTreeMap::new(),
            held_epoch: 0,
            confirmed_revision: Revision::default(),
            awaited_revision: Revision::default(),
        }
    }

    /// Returns whether a daemon with `revision` in force may rely on its keys at `now`.
    pub fn is_fresh(&self, now: TimePoint, revision: Revision) -> bool {
        let is_recent = |it: RevisionEvidence| now.since(it.as_of) <= self.options.max_evidence_age;
        self.evidence.is_some_and(is_recent) && self.known_revision <= revision
    }

    /// Returns when the current evidence for `revision` expires, or `None` if it doesn't cover `revision`.
    pub fn fresh_until(&self, revision: Revision) -> Option<TimePoint> {
        let evidence = self.evidence.filter(|_| self.known_revision <= revision)?;
        Some(evidence.as_of.plus(self.options.max_evidence_age))
    }

    /// Returns whether a majority of the control ring is known to hold `revision`.
    pub fn is_confirmed(&self, revision: Revision) -> bool {
        revision <= self.confirmed_revision
    }

    /// Questions the control ring at the shorter confirmation interval until it has confirmed `revision`.
    pub fn await_confirmation(&mut self, revision: Revision) {
        self.awaited_revision = self.awaited_revision.max(revision);
    }

    /// Records the head revision that this daemon read from the platform's table with a request sent at `sent_at`.
    pub fn on_head(&mut self, sent_at: TimePoint, head: Revision) {
        self.record_evidence(RevisionEvidence { revision: head, as_of: sent_at });
        self.ring_status.on_evidence(sent_at, head);
    }

    /// Drops the evidence after this process was suspended: settings may have changed in the meantime, and a new
    /// request is answered within milliseconds.
    pub fn resume(&mut self) {
        self.evidence = None;
        self.rounds.clear();
        self.next_request_at = TimePoint::ORIGIN;
        self.next_round_at = TimePoint::ORIGIN;
    }

    /// Starts the requests that are due and returns the messages to send.
    pub fn tick(&mut self, context: &AuthorityContext<'_>) -> Vec<(MemberId, AuthorityMessage)> {
        self.ring_status.refresh(&self.local_peer.member, context);
        let mut messages = Vec::new();
        if self.next_request_at <= context.now {
            self.next_request_at = context.now.plus(self.options.request_interval);
            self.request_evidence(context, &mut messages);
        }
        if self.next_round_at <= context.now && self.needs_round(context) {
            self.next_round_at = context.now.plus(self.round_interval());
            self.start_round(context, &mut messages);
        }
        messages
    }

    /// Handles a message from another daemon and returns the answer, if any.
    pub fn on_message(
        &mut self,
        context: &AuthorityContext<'_>,
        from: &MemberId,
        message: &AuthorityMessage,
    ) -> Option<AuthorityMessage> {
        self.ring_status.refresh(&self.local_peer.member, context);
        match *message {
            AuthorityMessage::Question { serial } => self.attest(context, serial),
            AuthorityMessage::Attestation { serial, epoch, confirmed_epoch, revision } => {
                let ring = context.ring.filter(|ring| ring.epoch == epoch)?;
                let round = self.rounds.iter_mut().find(|it| it.serial == serial)?;
                round.record_answer(from, confirmed_epoch, revision);
                self.evaluate_rounds(context, ring);
                None
            }
            AuthorityMessage::EvidenceRequest { serial } => {
                let evidence = self.evidence?;
                let age = context.now.since(evidence.as_of);
                let reply =
                    AuthorityMessage::EvidenceReply { serial, revision: self.known_revision, age };
                (age <= self.options.max_evidence_age).then_some(reply)
            }
            AuthorityMessage::EvidenceReply { serial, revision, age } => {
                let sent_at = self.relays.sent_at_of(serial, from)?;
                // The peer computed the age when it answered, which was not before this request was sent.
                self.record_evidence(RevisionEvidence { revision, as_of: sent_at.minus(age) });
                None
            }
        }
    }

    /// Answers a question to the control ring. Only a member that holds its lease attests, so that a replaced member
    /// has stopped by the time its successor starts.
    fn attest(&self, context: &AuthorityContext<'_>, serial: u64) -> Option<AuthorityMessage> {
        let epoch = self.ring_status.active_epoch(context)?;
        let confirmed_epoch = self.ring_status.confirmed_epoch();
        let revision = context.revision;
        Some(AuthorityMessage::Attestation { serial, epoch, confirmed_epoch, revision })
    }

    fn record_evidence(&mut self, evidence: RevisionEvidence) {
        self.known_revision = self.known_revision.max(evidence.revision);
        if self.evidence.is_none_or(|it| it.as_of < evidence.as_of) {
            self.evidence = Some(evidence);
        }
    }

    fn evidence_age(&self, now: TimePoint) -> Duration {
        self.evidence.map_or(Duration::MAX, |it| now.since(it.as_of))
    }

    fn needs_fallback(&self, now: TimePoint) -> bool {
        self.options.fallback_age <= self.evidence_age(now)
    }

    fn request_evidence(
        &mut self,
        context: &AuthorityContext<'_>,
        messages: &mut Vec<(MemberId, AuthorityMessage)>,
    ) {
        let needs_fallback = self.needs_fallback(context.now);
        let serial = self.new_serial();
        for to in self.relays.select(&self.local_peer, context, serial, needs_fallback) {
            messages.push((to, AuthorityMessage::EvidenceRequest { serial }));
        }
    }

    /// Returns whether a round of questions to the control ring is needed: for evidence while the platform doesn't
    /// respond, for the confirmation of a change, or to confirm this daemon in the ring's epoch.
    fn needs_round(&self, context: &AuthorityContext<'_>) -> bool {
        let is_source = relay::is_source(&self.local_peer, context);
        let lacks_evidence = is_source && self.needs_fallback(context.now);
        let is_unconfirmed = self.ring_status.lacks_confirmation(context);
        lacks_evidence || is_unconfirmed || self.confirmed_revision < self.awaited_revision
    }

    fn round_interval(&self) -> Duration {
        match self.confirmed_revision < self.awaited_revision {
            true => self.options.confirmation_interval,
            false => self.options.request_interval,
        }
    }

    fn start_round(
        &mut self,
        context: &AuthorityContext<'_>,
        messages: &mut Vec<(MemberId, AuthorityMessage)>,
    ) {
        let Some(ring) = context.ring else { return };
        let serial = self.new_serial();
        let mut round = QuestionRound::new(serial, ring.epoch, context.now);
        if self.ring_status.active_epoch(context) == Some(ring.epoch) {
            round.record_answer(
                &self.local_peer.member,
                self.ring_status.confirmed_epoch(),
                context.revision,
            );
        }
        if MAX_ROUNDS <= self.rounds.len() {
            self.rounds.remove(0);
        }
        self.rounds.push(round);
        for member in ring.members.iter().filter(|it| **it != self.local_peer.member) {
            messages.push((member.clone(), AuthorityMessage::Question { serial }));
        }
        self.evaluate_rounds(context, ring);
    }

    /// Derives evidence and confirmed revisions from the answers.
    fn evaluate_rounds(&mut self, context: &AuthorityContext<'_>, ring: &ControlRing) {
        self.rounds.retain(|it| it.epoch == ring.epoch);
        if self.held_epoch != ring.epoch {
            self.held_revisions.clear();
            self.held_epoch = ring.epoch;
        }
        for idx in 0..self.rounds.len() {
            let round = &self.rounds[idx];
            let sent_at = round.sent_at;
            let evidence = round.attested_revision(ring);
            if let Some(revision) = round.confirming_revision(ring) {
                self.ring_status.on_evidence(sent_at, revision);
            }
            for (member, revision) in round.held_revisions(ring) {
                let held = self.held_revisions.entry(member.clone()).or_default();
                *held = revision.max(*held);
            }
            if let Some(revision) = evidence {
                self.record_evidence(RevisionEvidence { revision, as_of: sent_at });
            }
        }
        self.ring_status.refresh(&self.local_peer.member, context);
        let mut held = self.held_revisions.values().copied().collect::<Vec<_>>();
        held.sort_unstable_by(|left, right| right.cmp(left));
        let majority_held = held.get(ring.majority() - 1).copied().unwrap_or_default();
        self.confirmed_revision = self.confirmed_revision.max(majority_held);
    }

    fn new_serial(&mut self) -> u64 {
        self.next_serial += 1;
        self.next_serial
    }
}
