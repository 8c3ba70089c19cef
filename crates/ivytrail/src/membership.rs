//! Membership: which daemons run, which services they guard, and in which state.
//!
//! Each daemon keeps a [`MemberView`]. Changes travel as rumors from member to member, lists are compared by digests
//! and mended where they differ, and each member probes another one about once a second. A member that stays silent
//! is suspected first; it refutes by raising its version. See `docs/design/0010-membership.md`.

mod book;
mod budget;
mod detect;
mod exchange;
mod lookup;
mod message;
mod options;
mod probe;
mod record;
mod rumor;
#[cfg(test)]
mod tests;

use rand::{SeedableRng, rngs::StdRng};

use self::{
    book::{MergeResult, RecordBook},
    budget::ByteBudget,
    lookup::LookupSchedule,
    probe::ProbeSchedule,
    rumor::RumorQueue,
};
pub use self::{
    message::{GossipBody, GossipMessage, MemberRumor},
    options::MembershipOptions,
    record::{MemberRecord, MemberState},
};
use crate::{
    id::{InstanceName, MemberId, ServiceName},
    platform::KeyRange,
    time::TimePoint,
};

/// Prefix of the rows in the platform's table by which a joining daemon finds its first peers.
const ROW_PREFIX: &str = "member/";

/// What one daemon knows of all others.
///
/// The view holds no clock and does no I/O: messages go in with the time, messages to send come out. Every receiver of
/// an outgoing message is in the view, so its address is found with [`MemberView::get`].
///
/// Invariants: the incarnation and version of a record never fall; the own record changes by
/// [`MemberView::announce`] and by refutation only; nothing of an older incarnation outlives a newer one.
#[derive(Debug)]
pub struct MemberView {
    me: MemberRecord,
    options: MembershipOptions,
    rng: StdRng,
    book: RecordBook,
    rumors: RumorQueue,
    probes: ProbeSchedule,
    lookups: LookupSchedule,
    budget: ByteBudget,
    /// Instances that are still to be probed in this round.
    probe_round: Vec<InstanceName>,
    /// Members that data traffic did not reach.
    unreachable: Vec<MemberId>,
    last_tick_at: Option<TimePoint>,
    next_probe_at: TimePoint,
    next_repair_at: TimePoint,
    next_revival_at: TimePoint,
    is_superseded: bool,
}

impl MemberView {
    /// Returns the view of a member that knows only itself. `seed` is the seed of all its random draws.
    pub fn new(me: MemberRecord, options: MembershipOptions, seed: u64) -> MemberView {
        let mut view = MemberView {
            budget: ByteBudget::new(options.bytes_per_s),
            me,
            options,
            rng: StdRng::seed_from_u64(seed),
            book: RecordBook::new(),
            rumors: RumorQueue::default(),
            probes: ProbeSchedule::default(),
            lookups: LookupSchedule::default(),
            probe_round: Vec::new(),
            unreachable: Vec::new(),
            last_tick_at: None,
            next_probe_at: TimePoint::ORIGIN,
            next_repair_at: TimePoint::ORIGIN,
            next_revival_at: TimePoint::ORIGIN,
            is_superseded: false,
        };
        view.publish_own(TimePoint::ORIGIN);
        view
    }

    /// Returns the key of the row of `instance` in the platform's table.
    ///
    /// A daemon writes its [`MemberRecord`] there when it joins and when its address changes, and deletes the row when
    /// it leaves.
    pub fn row_key(instance: &InstanceName) -> String {
        format!("{ROW_PREFIX}{instance}")
    }

    /// Returns the ranges of rows in which a joining daemon looks for its first peers: `n_rows` after its own row, and
    /// `n_rows` from the beginning.
    pub fn first_peer_ranges(instance: &InstanceName, n_rows: usize) -> [KeyRange; 2] {
        let from_start = KeyRange::with_prefix(ROW_PREFIX, n_rows);
        [KeyRange { from: MemberView::row_key(instance), ..from_start.clone() }, from_start]
    }

    /// Changes the own record and spreads the change.
    pub fn announce(
        &mut self,
        now: TimePoint,
        service: Option<ServiceName>,
        state: MemberState,
        slots: u32,
    ) {
        let is_same = (&self.me.service, self.me.state, self.me.slots) == (&service, state, slots);
        if is_same || self.me.state.is_over() {
            return;
        }
        self.me =
            MemberRecord { service, state, slots, version: self.me.version + 1, ..self.me.clone() };
        self.publish_own(now);
    }

    /// Asks for all members of `service` and keeps asking until some are known.
    ///
    /// Later changes arrive as rumors, whether or not the service was subscribed.
    pub fn subscribe(&mut self, now: TimePoint, service: ServiceName) {
        self.lookups.want(now, service);
    }

    /// Takes a record from the platform's table or from a seed.
    pub fn learn(&mut self, now: TimePoint, record: &MemberRecord) {
        self.take_record(now, record);
    }

    /// Takes a message of another member. Messages to send are appended to `out`.
    pub fn receive(
        &mut self,
        now: TimePoint,
        from: &MemberId,
        message: GossipMessage,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        if *from == self.me.member || self.is_superseded {
            return;
        }
        for rumor in message.rumors {
            self.hear_rumor(now, rumor);
        }
        self.handle_body(now, from, message.body, out);
        self.check_invariants();
    }

    /// Does what is due. It is called about every 200 ms; messages to send are appended to `out`.
    pub fn tick(&mut self, now: TimePoint, out: &mut Vec<(MemberId, GossipMessage)>) {
        if self.is_superseded {
            return;
        }
        self.notice_pause(now);
        self.budget.refill(now);
        self.review_probes(now, out);
        self.bury_suspects(now);
        self.probe_next(now, out);
        self.review_dead(now, out);
        self.send_lookups(now, out);
        self.spread_rumors(out);
        self.check_invariants();
    }

    /// Notes that data traffic has just proved that `member` lives.
    pub fn note_contact(&mut self, now: TimePoint, member: &MemberId) {
        self.book.hear(now, member);
        self.probes.close_all(member);
    }

    /// Notes that data traffic did not reach `member`. It is probed at the next tick, unless it was heard since `now`.
    pub fn note_unreachable(&mut self, now: TimePoint, member: &MemberId) {
        let entry = self.book.entry(member);
        let is_silent = entry.is_some_and(|it| !it.record.state.is_over() && it.heard_at < now);
        if is_silent && *member != self.me.member && !self.unreachable.contains(member) {
            self.unreachable.push(member.clone());
        }
    }

    /// Returns the records that have changed since the last call, oldest change first. When a newer incarnation ends
    /// an older one, the older one's record comes with state [`MemberState::Dead`] before the newer.
    pub fn take_changes(&mut self) -> Vec<MemberRecord> {
        self.book.take_changes()
    }

    /// Returns the record of `member`, unless it is unknown or ended by a newer incarnation.
    pub fn get(&self, member: &MemberId) -> Option<&MemberRecord> {
        self.book.entry(member).map(|it| &it.record)
    }

    /// Returns the record of the newest known incarnation of `instance`.
    pub fn of_instance(&self, instance: &InstanceName) -> Option<&MemberRecord> {
        self.book.of_instance(instance).map(|it| &it.record)
    }

    /// Returns all known records in the order of the instances' names, also of members whose run is over.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.book.records()
    }

    /// Returns the own record.
    pub fn own_record(&self) -> &MemberRecord {
        &self.me
    }

    /// Returns whether `member` did not answer lately and has not refuted that yet.
    pub fn is_suspect(&self, member: &MemberId) -> bool {
        self.probes.is_suspect(member)
    }

    /// Returns whether a newer incarnation of this instance runs. The view is silent from then on.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Enters the own record into the list and spreads it.
    fn publish_own(&mut self, now: TimePoint) {
        self.book.merge(now, &self.me);
        self.rumors.push(MemberRumor::Record(self.me.clone()), self.options.rumor_sends);
    }

    /// Takes a record of any origin; returns whether it was news.
    fn take_record(&mut self, now: TimePoint, record: &MemberRecord) -> bool {
        if record.member.instance == self.me.member.instance {
            self.hear_of_self(
                now,
                record.member.incarnation,
                record.version,
                record.state.is_over(),
            );
            return false;
        }
        let is_news = self.book.merge(now, record) == MergeResult::Taken;
        if is_news {
            self.probes.clear_suspicion(&record.member.instance);
        }
        is_news
    }

    /// Answers what others say of this instance: refutes a verdict, or yields to a newer incarnation.
    fn hear_of_self(&mut self, now: TimePoint, incarnation: u64, version: u64, is_verdict: bool) {
        let own = self.me.member.incarnation;
        let is_ahead = self.me.version < version || (self.me.version == version && is_verdict);
        match incarnation {
            it if own < it => self.is_superseded = true,
            it if it == own && is_ahead && !self.me.state.is_over() => {
                self.me.version = version + 1;
                self.publish_own(now);
            }
            _ => {}
        }
    }

    fn check_invariants(&self) {
        let own = self.book.of_instance(&self.me.member.instance).map(|it| &it.record);
        assert_eq!(own, Some(&self.me), "the own record is changed by its member only");
    }
}
