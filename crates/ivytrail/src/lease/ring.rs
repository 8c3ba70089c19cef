//! Protocol state of one member of a ring.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    LeaseBody, LeaseMessage, LeaseOptions, PriorOwner, RingDefinition,
    change::is_newer_incarnation,
    fence::FencingState,
    grant::GrantTable,
    history::{EpochHistory, members_in_rendezvous_order, rendezvous_sort_key},
};
use crate::{
    id::{ContentDigest, MemberId, RingName},
    time::TimePoint,
};

/// Divisor of [`LeaseOptions::renewal_interval`] until a daemon first holds its lease in an epoch.
const STARTUP_INTERVAL_DIVISOR: u32 = 4;

/// Expiry of the lease of a ring's only member, and of an ownership that has not ended.
const NO_EXPIRY: TimePoint = TimePoint::from_micros(u64::MAX);

/// State of one daemon in a ring: it requests and grants promises, votes to fence, and determines the owner of a key.
///
/// The caller drives it by [`LeaseRing::receive`] and, at least every [`LeaseOptions::renewal_interval`], by
/// [`LeaseRing::tick`]. A daemon that is not a member may install definitions too. It then never holds the lease, but
/// can determine the owner.
///
/// # Limits
///
/// A ring that has lost its majority has no owner until members return as newer incarnations or a change of the epoch
/// is written. If one member of a two-member ring is lost, the ring has no owner until the platform accepts such a
/// change.
#[derive(Debug)]
pub struct LeaseRing {
    pub(super) local_member: MemberId,
    pub(super) options: LeaseOptions,
    pub(super) definition: Option<RingDefinition>,
    /// Time from which silence of the current members counts: installation of the definition, or the last resumption.
    listening_since: TimePoint,
    next_request_at: TimePoint,
    /// Expiry of each promise held in this epoch, on this daemon's clock.
    promises: BTreeMap<MemberId, TimePoint>,
    /// Whether this daemon has granted itself a promise in this epoch.
    self_granted: bool,
    /// Whether this daemon has held its lease in this epoch.
    pub(super) has_held_lease: bool,
    has_left: bool,
    pub(super) is_expelled: bool,
    grants: GrantTable,
    pub(super) fencing: FencingState,
    history: EpochHistory,
}

impl LeaseRing {
    /// Creates a ring without a definition, in which no key has an owner.
    pub fn new(local_member: MemberId, options: LeaseOptions) -> LeaseRing {
        LeaseRing {
            local_member,
            options,
            definition: None,
            listening_since: TimePoint::ORIGIN,
            next_request_at: TimePoint::ORIGIN,
            promises: BTreeMap::new(),
            self_granted: false,
            has_held_lease: false,
            has_left: false,
            is_expelled: false,
            grants: GrantTable::default(),
            fencing: FencingState::default(),
            history: EpochHistory::default(),
        }
    }

    /// Returns the identity of this daemon.
    pub fn local_member(&self) -> &MemberId {
        &self.local_member
    }

    /// Returns the installed definition.
    pub fn definition(&self) -> Option<&RingDefinition> {
        self.definition.as_ref()
    }

    /// Installs a definition read from the table or received from a member, unless its epoch is not newer.
    pub fn install(&mut self, now: TimePoint, definition: RingDefinition) {
        if definition.epoch <= self.epoch() {
            return;
        }
        let is_member = definition.contains(&self.local_member);
        let past = self.definition.take();
        self.fencing.start_epoch(past.as_ref(), &definition);
        if let Some(past) = past.filter(|past| past.contains(&self.local_member)) {
            self.is_expelled |= !is_member;
            let is_next = past.epoch + 1 == definition.epoch;
            self.history.push(past);
            if !is_next {
                self.history.record_missed_epochs();
            }
        }
        if is_member && !self.was_member() {
            self.record_join(&definition);
        }
        self.definition = Some(definition);
        self.listening_since = now;
        self.next_request_at = now;
        self.promises.clear();
        self.self_granted = false;
        self.has_held_lease = false;
        self.refresh(now);
    }

    /// Handles a message from `from` and appends the replies to `out`.
    pub fn receive(
        &mut self,
        now: TimePoint,
        from: &MemberId,
        message: LeaseMessage,
        out: &mut Vec<(MemberId, LeaseMessage)>,
    ) {
        if self.definition.as_ref().is_some_and(|it| it.name != message.ring) {
            return;
        }
        let epoch_before = self.epoch();
        self.grants.record_contact(now, from, message.epoch);
        self.fence_older_incarnations(now, from);
        match message.body {
            LeaseBody::Definition(definition) => self.install(now, definition),
            LeaseBody::Leave => self.fencing.record_end(now, from),
            _ if message.epoch < self.epoch() => self.send_definition(from, out),
            _ if self.epoch() < message.epoch => {
                out.push((from.clone(), self.message_for(&message.ring, LeaseBody::Behind)));
            }
            LeaseBody::Ask { sent, status } => {
                self.fencing.apply_status(now, from, &status);
                self.answer_request(now, from, sent, out);
            }
            LeaseBody::Reply { sent, granted, status } => {
                self.fencing.apply_status(now, from, &status);
                self.record_promise(from, sent, granted);
            }
            LeaseBody::Behind => {}
        }
        self.refresh(now);
        if epoch_before != self.epoch() && self.is_member() {
            self.next_request_at = now.plus(self.request_interval());
            self.send_round(now, out);
        }
    }

    /// Requests promises if a round is due, updates votes and fences, and appends the messages to send to `out`.
    ///
    /// A daemon that is not a member, but has an older incarnation among them, informs the members that the latter
    /// has ended.
    pub fn tick(&mut self, now: TimePoint, out: &mut Vec<(MemberId, LeaseMessage)>) {
        self.refresh(now);
        if now < self.next_request_at {
            return;
        }
        self.next_request_at = now.plus(self.request_interval());
        match &self.definition {
            Some(definition) if !self.is_member() => self.announce_restart(definition, out),
            _ => {
                self.prune(now);
                self.send_round(now, out);
            }
        }
    }

    /// Records that this process was suspended until `now`. It could not receive messages before, so earlier silence
    /// of the others is no evidence against them.
    pub fn resume(&mut self, now: TimePoint) {
        self.listening_since = now;
    }

    /// Returns whether this daemon holds its lease at `now`.
    ///
    /// The caller must check this immediately before each start of a run, which must follow within
    /// [`LeaseOptions::run_window`].
    pub fn holds_lease(&self, now: TimePoint) -> bool {
        now < self.lease_end()
    }

    /// Returns the expiry of the lease on this daemon's clock, or [`TimePoint::ORIGIN`] if there is none.
    pub fn lease_end(&self) -> TimePoint {
        let Some(definition) = self.active_definition() else { return TimePoint::ORIGIN };
        let n_needed = definition.majority() - usize::from(self.self_granted);
        if n_needed == 0 {
            return NO_EXPIRY;
        }
        let mut expiries: Vec<TimePoint> = self.promises.values().copied().collect();
        expiries.sort_unstable_by(|left, right| right.cmp(left));
        expiries.get(n_needed - 1).copied().unwrap_or(TimePoint::ORIGIN)
    }

    /// Returns the first member in the rendezvous order of `digest` that is not known to be fenced.
    pub fn owner_of(&self, digest: &ContentDigest) -> Option<MemberId> {
        let members = self.definition.iter().flat_map(|definition| &definition.members);
        members
            .map(|it| &it.member)
            .filter(|it| self.fencing.fenced_at(it).is_none())
            .min_by_key(|it| rendezvous_sort_key(it, digest))
            .cloned()
    }

    /// Returns the other unfenced members, which may own keys after this daemon has left and therefore receive its
    /// claims.
    pub fn successors(&self) -> Vec<MemberId> {
        let members = self.definition.iter().flat_map(|definition| &definition.members);
        members
            .map(|it| &it.member)
            .filter(|it| **it != self.local_member && self.fencing.fenced_at(it).is_none())
            .cloned()
            .collect()
    }

    /// Returns whether this daemon owns the key at `now`: it is the first unfenced member and holds its lease.
    pub fn owns(&self, now: TimePoint, digest: &ContentDigest) -> bool {
        self.holds_lease(now) && self.owner_of(digest).as_ref() == Some(&self.local_member)
    }

    /// Returns when this daemon learned that `member` cannot hold the lease again during this membership.
    pub fn fenced_at(&self, member: &MemberId) -> Option<TimePoint> {
        self.fencing.fenced_at(member)
    }

    /// Returns whether this incarnation can never hold the lease again, so that the daemon must restart.
    pub fn is_expelled(&self) -> bool {
        self.is_expelled
    }

    /// Returns the members that may have owned the key before this daemon, latest first.
    ///
    /// If another member requests them, `requester` names it and it is left out. A daemon that does not hold its
    /// lease at `now` may have been fenced without knowing it. Others may then have owned its keys since, so the
    /// result contains an unknown owner.
    pub fn prior_owners(
        &self,
        now: TimePoint,
        digest: &ContentDigest,
        requester: Option<&MemberId>,
    ) -> Vec<PriorOwner> {
        let mut priors = Vec::new();
        if requester.is_some() && !self.holds_lease(now) {
            priors.push(PriorOwner { member: None, owned_until: NO_EXPIRY, is_live: false });
        }
        let Some(definition) = self.definition.as_ref() else { return priors };
        let before = members_in_rendezvous_order(definition, digest)
            .into_iter()
            .take_while(|it| **it != self.local_member);
        for member in before.filter(|it| Some(*it) != requester) {
            let fence = self.fencing.fenced_at(member);
            priors.push(PriorOwner {
                member: Some(member.clone()),
                owned_until: fence.unwrap_or(NO_EXPIRY),
                is_live: fence.is_none(),
            });
        }
        let fenced_at = |it: &MemberId| self.fencing.fenced_at(it);
        self.history.append_prior_owners(
            digest,
            &self.local_member,
            requester,
            fenced_at,
            &mut priors,
        );
        priors
    }

    /// Permanently stops acting as an owner and informs the other members. The daemon still replies as a voter.
    pub fn leave(&mut self, now: TimePoint, out: &mut Vec<(MemberId, LeaseMessage)>) {
        self.has_left = true;
        self.next_request_at = now.plus(self.options.renewal_interval);
        self.send_round(now, out);
    }

    fn epoch(&self) -> u64 {
        self.definition.as_ref().map_or(0, |definition| definition.epoch)
    }

    pub(super) fn is_member(&self) -> bool {
        self.definition.as_ref().is_some_and(|definition| definition.contains(&self.local_member))
    }

    fn was_member(&self) -> bool {
        self.history.contains_member(&self.local_member)
    }

    /// Returns the definition if this daemon may still act as an owner under it.
    pub(super) fn active_definition(&self) -> Option<&RingDefinition> {
        self.definition
            .as_ref()
            .filter(|it| it.contains(&self.local_member) && !self.has_left && !self.is_expelled())
    }

    /// Records that this daemon joins the ring with `definition`. After epoch 1 the ring had earlier owners.
    fn record_join(&mut self, definition: &RingDefinition) {
        if definition.epoch == 1 {
            return;
        }
        let mut before = definition.clone();
        before.epoch -= 1;
        before.members.retain(|it| it.member != self.local_member);
        self.history.record_join(before);
    }

    /// Fences older incarnations of the instance of `from`, since a newer incarnation proves that they have ended.
    fn fence_older_incarnations(&mut self, now: TimePoint, from: &MemberId) {
        let members = self.definition.iter().flat_map(|definition| &definition.members);
        let older: Vec<MemberId> = members
            .map(|it| &it.member)
            .chain(self.grants.holders())
            .filter(|it| is_newer_incarnation(from, it))
            .cloned()
            .collect();
        for member in older {
            self.fencing.record_end(now, &member);
        }
    }

    /// Informs the members that an older incarnation of this instance has ended, if one is a member.
    fn announce_restart(
        &self,
        definition: &RingDefinition,
        out: &mut Vec<(MemberId, LeaseMessage)>,
    ) {
        let members = || definition.members.iter().map(|it| &it.member);
        if members().any(|it| is_newer_incarnation(&self.local_member, it)) {
            let others = members().filter(|it| it.instance != self.local_member.instance);
            out.extend(others.map(|it| (it.clone(), self.message(LeaseBody::Behind))));
        }
    }

    /// Replies to a request for a promise.
    fn answer_request(
        &mut self,
        now: TimePoint,
        from: &MemberId,
        sent: TimePoint,
        out: &mut Vec<(MemberId, LeaseMessage)>,
    ) {
        self.refresh(now);
        let Some(definition) = self.definition.as_ref() else { return };
        let granted = self.is_member()
            && definition.contains(from)
            && self.self_granted
            && !self.fencing.has_votes_against(from)
            && self.fencing.fenced_at(from).is_none();
        if granted {
            self.grants.record_grant(
                from,
                definition.epoch,
                now.plus(self.options.promise_duration),
            );
        }
        let status = self.fencing.status(definition);
        out.push((from.clone(), self.message(LeaseBody::Reply { sent, granted, status })));
    }

    /// Records a promise. Its validity counts from sending the request, which precedes the voter's reply.
    fn record_promise(&mut self, from: &MemberId, sent: TimePoint, granted: bool) {
        if !granted || !self.definition.as_ref().is_some_and(|it| it.contains(from)) {
            return;
        }
        let end = sent.plus(self.options.promise_validity());
        let promise = self.promises.entry(from.clone()).or_insert(end);
        *promise = (*promise).max(end);
    }

    /// Updates suspicions, votes, fences and the state of the local lease to `now`.
    fn refresh(&mut self, now: TimePoint) {
        if !self.is_member() {
            return;
        }
        let Some(definition) = self.definition.take() else { return };
        self.self_granted = self.self_granted
            || self.grants.are_earlier_grants_void(now, definition.epoch, |it| {
                self.fencing.fenced_at(it).is_some()
            });
        self.update_fencing(now, &definition);
        self.is_expelled |= self.fencing.fenced_at(&self.local_member).is_some();
        self.definition = Some(definition);
        if !self.has_held_lease && self.holds_lease(now) {
            self.record_first_lease(now);
        }
    }

    /// Updates the suspicions, votes and fences of the other members.
    fn update_fencing(&mut self, now: TimePoint, definition: &RingDefinition) {
        let others = || {
            definition.members.iter().map(|it| &it.member).filter(|it| **it != self.local_member)
        };
        let silent: BTreeSet<MemberId> =
            others().filter(|it| self.is_silent(now, it)).cloned().collect();
        let targets: Vec<MemberId> = others().cloned().collect();
        self.fencing.set_local_suspects(silent);
        let since = now.minus(self.options.promise_duration);
        for target in targets {
            let is_suspect = definition.blocking_count()
                <= self.fencing.n_suspecting(&target, since)
                && self.is_silent(now, &target);
            let may_vote = self.has_promise_expired(now, &target);
            let is_fenced = self.fencing.fenced_at(&target).is_some();
            if is_fenced || may_vote && (is_suspect || self.fencing.has_votes_against(&target)) {
                self.fencing.cast_vote(&target);
            }
            if definition.majority()
                <= self.fencing.n_votes(&target, definition, &self.local_member)
            {
                self.fencing.record_fence(now, &target);
            }
        }
    }

    /// Returns whether the promise to `member` and the fence margin after it have expired.
    fn has_promise_expired(&self, now: TimePoint, member: &MemberId) -> bool {
        self.grants
            .granted_until(member)
            .is_none_or(|until| until.plus(self.options.fence_margin) <= now)
    }

    /// Returns whether no message from `member` was received for longer than a promise and the fence margin.
    fn is_silent(&self, now: TimePoint, member: &MemberId) -> bool {
        let last_contact_at = self.grants.last_contact_at(member).unwrap_or(TimePoint::ORIGIN);
        let silence_timeout = self.options.promise_duration + self.options.fence_margin;
        last_contact_at.max(self.listening_since).plus(silence_timeout) <= now
            && self.has_promise_expired(now, member)
    }

    /// Records the first lease of this epoch. No lease of an earlier epoch is valid from then on, so members that are
    /// no longer in the definition cannot hold one again.
    fn record_first_lease(&mut self, now: TimePoint) {
        self.has_held_lease = true;
        let former: Vec<MemberId> = self
            .history
            .unclosed_members()
            .filter(|it| !self.definition.as_ref().is_some_and(|current| current.contains(it)))
            .cloned()
            .collect();
        for member in former {
            self.fencing.record_fence(now, &member);
        }
        self.history.close_epochs(now);
    }

    /// Returns the interval to the next round. It is shorter until the first lease of an epoch, whose promises depend
    /// on the expiry of those of the previous epoch.
    fn request_interval(&self) -> Duration {
        let divisor =
            if self.has_held_lease || !self.is_member() { 1 } else { STARTUP_INTERVAL_DIVISOR };
        self.options.renewal_interval / divisor
    }

    fn prune(&mut self, now: TimePoint) {
        self.history.prune(now, self.options.history_retention);
        let definition = self.definition.as_ref();
        let history = &self.history;
        let is_needed = |it: &MemberId| {
            history.contains_member(it) || definition.is_some_and(|current| current.contains(it))
        };
        self.grants.prune(now, is_needed);
        self.fencing.prune(is_needed);
    }

    /// Sends one round of promise requests, or of leave messages after [`LeaseRing::leave`].
    fn send_round(&self, now: TimePoint, out: &mut Vec<(MemberId, LeaseMessage)>) {
        let Some(definition) = self.definition.as_ref() else { return };
        let status = self.fencing.status(definition);
        let body = match self.has_left {
            true => LeaseBody::Leave,
            false => LeaseBody::Ask { sent: now, status },
        };
        let others = definition.members.iter().filter(|it| it.member != self.local_member);
        out.extend(others.map(|it| (it.member.clone(), self.message(body.clone()))));
    }

    fn send_definition(&self, to: &MemberId, out: &mut Vec<(MemberId, LeaseMessage)>) {
        if let Some(definition) = &self.definition {
            out.push((to.clone(), self.message(LeaseBody::Definition(definition.clone()))));
        }
    }

    fn message(&self, body: LeaseBody) -> LeaseMessage {
        let name = self.definition.as_ref().map(|it| it.name.clone()).unwrap_or_default();
        self.message_for(&name, body)
    }

    fn message_for(&self, name: &RingName, body: LeaseBody) -> LeaseMessage {
        LeaseMessage { ring: name.clone(), epoch: self.epoch(), body }
    }
}
