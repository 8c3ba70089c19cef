//! Whether this daemon may still rely on its settings and keys.
//!
//! A withdrawal of a key that was reported as confirmed must be in force everywhere within
//! [`AuthorityOptions::max_evidence_age`]
//! (T below). A daemon may rely on its keys only while it has evidence, no older than T and counted from the sending of
//! the question, that no later revision is confirmed:
//!
//! - it read the head row itself, or
//! - a majority of the control ring's members attested their revisions, or
//! - another daemon relayed its own evidence with its age;
//!
//! and only while its own revision is at least the greatest one in any evidence. A revision is confirmed when it is in
//! the table and a majority of the control ring's members hold it. Two majorities share a member, so that evidence from
//! after the confirmation names the revision. A platform outage alone stops nobody, since the ring still attests; a
//! daemon that reaches neither is stale within T. `docs/design/0008-authority.md` has the argument, also across changes
//! of the ring.

mod message;
mod relay;
mod round;

use std::{collections::BTreeMap, time::Duration};

pub use self::message::AuthorityMessage;
use self::{
    relay::RelayChoice,
    round::{QuestionRound, RingStanding},
};
use crate::{
    id::MemberId,
    settings::{Revision, feed::FeedPeer},
    time::TimePoint,
};

/// Rounds of questions that are kept for late answers.
const MAX_ROUNDS: usize = 4;

/// Times of the watch. All daemons must use the same maximum evidence age.
#[derive(Clone, Debug, PartialEq)]
pub struct AuthorityOptions {
    /// Greatest age of evidence that a daemon relies on.
    pub max_evidence_age: Duration,
    /// Time between two questions.
    pub ask_every: Duration,
    /// Time between two questions while a change waits for its confirmation.
    pub confirm_every: Duration,
    /// Age of the evidence from which on the control ring is asked, and relays outside the usual ones.
    pub worry_after: Duration,
}

impl Default for AuthorityOptions {
    fn default() -> AuthorityOptions {
        AuthorityOptions {
            max_evidence_age: Duration::from_secs(3),
            ask_every: Duration::from_millis(400),
            confirm_every: Duration::from_millis(50),
            worry_after: Duration::from_millis(1_400),
        }
    }
}

/// The control ring as this daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlRing {
    /// Number of its definition.
    pub epoch: u64,
    /// Its members.
    pub members: Vec<MemberId>,
}

impl ControlRing {
    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// What the watch needs to know of its daemon at each event.
#[derive(Clone, Copy, Debug)]
pub struct AuthorityContext<'c> {
    /// Now.
    pub now: TimePoint,
    /// The revision in force here.
    pub revision: Revision,
    /// The other daemons.
    pub peers: &'c [FeedPeer],
    /// The control ring, once it is known.
    pub ring: Option<&'c ControlRing>,
    /// Whether this daemon holds its lease in the control ring's epoch.
    pub holds_lease: bool,
}

/// Evidence that at some time not before `as_of` no revision after `revision` was confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RevisionEvidence {
    revision: Revision,
    as_of: TimePoint,
}

/// Keeps the evidence of one daemon, asks for it, and attests to others.
#[derive(Debug)]
pub struct AuthorityTracker {
    me: FeedPeer,
    options: AuthorityOptions,
    evidence: Option<RevisionEvidence>,
    /// The greatest revision in any evidence.
    known: Revision,
    standing: RingStanding,
    rounds: Vec<QuestionRound>,
    relay: RelayChoice,
    next_serial: u64,
    next_ask: TimePoint,
    next_round: TimePoint,
    /// Revisions that members of the control ring said to hold in `holdings_epoch`.
    holdings: BTreeMap<MemberId, Revision>,
    holdings_epoch: u64,
    confirmed: Revision,
    awaited: Revision,
}

impl AuthorityTracker {
    /// Returns the watch of a daemon without any evidence.
    pub fn new(me: FeedPeer, options: AuthorityOptions) -> AuthorityTracker {
        AuthorityTracker {
            me,
            options,
            evidence: None,
            known: Revision::default(),
            standing: RingStanding::default(),
            rounds: Vec::new(),
            relay: RelayChoice::default(),
            next_serial: 0,
            next_ask: TimePoint::ORIGIN,
            next_round: TimePoint::ORIGIN,
            holdings: BTreeMap::new(),
            holdings_epoch: 0,
            confirmed: Revision::default(),
            awaited: Revision::default(),
        }
    }

    /// Returns whether a daemon with `revision` in force may rely on its keys at `now`.
    pub fn is_fresh(&self, now: TimePoint, revision: Revision) -> bool {
        let is_recent = |it: RevisionEvidence| now.since(it.as_of) <= self.options.max_evidence_age;
        self.evidence.is_some_and(is_recent) && self.known <= revision
    }

    /// Returns the time until which the present evidence allows to rely on `revision`; `None` when it doesn't.
    pub fn fresh_until(&self, revision: Revision) -> Option<TimePoint> {
        let evidence = self.evidence.filter(|_| self.known <= revision)?;
        Some(evidence.as_of.plus(self.options.max_evidence_age))
    }

    /// Returns whether a majority of the control ring holds `revision`, as far as this daemon has learned.
    pub fn is_confirmed(&self, revision: Revision) -> bool {
        revision <= self.confirmed
    }

    /// Asks the control ring more often until it has confirmed `revision`.
    pub fn await_confirmation(&mut self, revision: Revision) {
        self.awaited = self.awaited.max(revision);
    }

    /// Takes the head that this daemon read itself from the platform's table; the read was sent at `sent_at`.
    pub fn on_head(&mut self, sent_at: TimePoint, head: Revision) {
        self.take_evidence(RevisionEvidence { revision: head, as_of: sent_at });
        self.standing.on_evidence(sent_at, head);
    }

    /// Drops the evidence after this process was suspended: much may have been changed meanwhile, and a new question is
    /// answered within milliseconds.
    pub fn resume(&mut self) {
        self.evidence = None;
        self.rounds.clear();
        self.next_ask = TimePoint::ORIGIN;
        self.next_round = TimePoint::ORIGIN;
    }

    /// Does what is due, and returns the messages to send.
    pub fn tick(&mut self, context: &AuthorityContext<'_>) -> Vec<(MemberId, AuthorityMessage)> {
        self.standing.refresh(&self.me.member, context);
        let mut messages = Vec::new();
        if self.next_ask <= context.now {
            self.next_ask = context.now.plus(self.options.ask_every);
            self.ask_relay(context, &mut messages);
        }
        if self.next_round <= context.now && self.wants_round(context) {
            self.next_round = context.now.plus(self.round_interval());
            self.ask_ring(context, &mut messages);
        }
        messages
    }

    /// Takes a message of another daemon, and returns the answers to it.
    pub fn on_message(
        &mut self,
        context: &AuthorityContext<'_>,
        from: &MemberId,
        message: &AuthorityMessage,
    ) -> Option<AuthorityMessage> {
        self.standing.refresh(&self.me.member, context);
        match *message {
            AuthorityMessage::Question { serial } => self.attest(context, serial),
            AuthorityMessage::Attestation { serial, epoch, confirmed_epoch, revision } => {
                let ring = context.ring.filter(|ring| ring.epoch == epoch)?;
                let round = self.rounds.iter_mut().find(|it| it.serial == serial)?;
                round.take(from, confirmed_epoch, revision);
                self.judge(context, ring);
                None
            }
            AuthorityMessage::EvidenceRequest { serial } => {
                let evidence = self.evidence?;
                let age = context.now.since(evidence.as_of);
                let reply = AuthorityMessage::EvidenceReply { serial, revision: self.known, age };
                (age <= self.options.max_evidence_age).then_some(reply)
            }
            AuthorityMessage::EvidenceReply { serial, revision, age } => {
                let sent_at = self.relay.sending_of(serial, from)?;
                // The peer counted the age when it answered, which was not before the sending.
                self.take_evidence(RevisionEvidence { revision, as_of: sent_at.minus(age) });
                None
            }
        }
    }

    /// Answers a question of the control ring: only with the lease, so that a replaced member is silent by the time its
    /// successor speaks.
    fn attest(&self, context: &AuthorityContext<'_>, serial: u64) -> Option<AuthorityMessage> {
        let epoch = self.standing.active_epoch(context)?;
        let confirmed_epoch = self.standing.confirmed_epoch();
        let revision = context.revision;
        Some(AuthorityMessage::Attestation { serial, epoch, confirmed_epoch, revision })
    }

    fn take_evidence(&mut self, evidence: RevisionEvidence) {
        self.known = self.known.max(evidence.revision);
        if self.evidence.is_none_or(|it| it.as_of < evidence.as_of) {
            self.evidence = Some(evidence);
        }
    }

    fn age(&self, now: TimePoint) -> Duration {
        self.evidence.map_or(Duration::MAX, |it| now.since(it.as_of))
    }

    fn is_worried(&self, now: TimePoint) -> bool {
        self.options.worry_after <= self.age(now)
    }

    fn ask_relay(
        &mut self,
        context: &AuthorityContext<'_>,
        messages: &mut Vec<(MemberId, AuthorityMessage)>,
    ) {
        let is_worried = self.is_worried(context.now);
        let serial = self.new_serial();
        for to in self.relay.choose(&self.me, context, serial, is_worried) {
            messages.push((to, AuthorityMessage::EvidenceRequest { serial }));
        }
    }

    /// Returns whether the control ring has to be asked: for evidence when the platform is silent, for the confirmation
    /// of a change, or to take part in the ring's epoch.
    fn wants_round(&self, context: &AuthorityContext<'_>) -> bool {
        let is_source = relay::is_source(&self.me, context);
        let lacks_evidence = is_source && self.is_worried(context.now);
        let is_unconfirmed = self.standing.lacks_confirmation(context);
        lacks_evidence || is_unconfirmed || self.confirmed < self.awaited
    }

    fn round_interval(&self) -> Duration {
        match self.confirmed < self.awaited {
            true => self.options.confirm_every,
            false => self.options.ask_every,
        }
    }

    fn ask_ring(
        &mut self,
        context: &AuthorityContext<'_>,
        messages: &mut Vec<(MemberId, AuthorityMessage)>,
    ) {
        let Some(ring) = context.ring else { return };
        let serial = self.new_serial();
        let mut round = QuestionRound::new(serial, ring.epoch, context.now);
        if self.standing.active_epoch(context) == Some(ring.epoch) {
            round.take(&self.me.member, self.standing.confirmed_epoch(), context.revision);
        }
        if MAX_ROUNDS <= self.rounds.len() {
            self.rounds.remove(0);
        }
        self.rounds.push(round);
        for member in ring.members.iter().filter(|it| **it != self.me.member) {
            messages.push((member.clone(), AuthorityMessage::Question { serial }));
        }
        self.judge(context, ring);
    }

    /// Draws from the answers what they prove.
    fn judge(&mut self, context: &AuthorityContext<'_>, ring: &ControlRing) {
        self.rounds.retain(|it| it.epoch == ring.epoch);
        if self.holdings_epoch != ring.epoch {
            self.holdings.clear();
            self.holdings_epoch = ring.epoch;
        }
        for idx in 0..self.rounds.len() {
            let round = &self.rounds[idx];
            let sent_at = round.sent_at;
            let evidence = round.attested(ring);
            if let Some(revision) = round.confirming(ring) {
                self.standing.on_evidence(sent_at, revision);
            }
            for (member, revision) in round.holdings(ring) {
                let held = self.holdings.entry(member.clone()).or_default();
                *held = revision.max(*held);
            }
            if let Some(revision) = evidence {
                self.take_evidence(RevisionEvidence { revision, as_of: sent_at });
            }
        }
        self.standing.refresh(&self.me.member, context);
        let mut held = self.holdings.values().copied().collect::<Vec<_>>();
        held.sort_unstable_by(|left, right| right.cmp(left));
        let by_majority = held.get(ring.majority() - 1).copied().unwrap_or_default();
        self.confirmed = self.confirmed.max(by_majority);
    }

    fn new_serial(&mut self) -> u64 {
        self.next_serial += 1;
        self.next_serial
    }
}
