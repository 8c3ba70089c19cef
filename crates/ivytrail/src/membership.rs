//! Fleet membership: which daemons run, which services they guard, and their states.
//!
//! Each daemon maintains a [`MemberView`]. Changes are disseminated as rumors, an anti-entropy repair compares member
//! lists by digests and exchanges the records that differ, and each member probes another one about once a second. A
//! member that does not answer is suspected before it is declared dead; it refutes the suspicion by incrementing its
//! version. See `docs/design/0010-membership.md`.

mod budget;
mod detect;
mod exchange;
mod list;
mod lookup;
mod message;
mod options;
mod probe;
mod record;
mod rumor;
#[cfg(test)]
mod tests;

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use self::{
    budget::ByteBudget,
    list::{MemberList, MergeResult},
    lookup::LookupSchedule,
    probe::FailureDetector,
    rumor::RumorQueue,
};
pub use self::{
    message::{GossipBody, GossipMessage, MemberRumor},
    options::MembershipOptions,
    record::{MemberRecord, MemberState},
};
use crate::{
    id::{ContentDigest, InstanceName, MemberId, ServiceName, rendezvous_weight},
    platform::KeyRange,
    time::TimePoint,
};

/// Key prefix of the rows in the platform's table in which a joining daemon finds its first peers.
const ROW_PREFIX: &str = "member/";

/// Interval between reads of rows while no other member is known to run.
const ISOLATED_READ_PERIOD: Duration = Duration::from_secs(2);

/// All members of the fleet as one daemon knows them.
///
/// The view has no clock and performs no I/O: the caller passes the time and the received messages and sends the
/// returned ones. The view contains every receiver of an outgoing message, so [`MemberView::get`] returns its
/// address.
///
/// Invariants: the incarnation and version of a record never decrease; the local record changes only by
/// [`MemberView::announce`] and by refutation; a newer incarnation replaces all state of an older one.
#[derive(Debug)]
pub struct MemberView {
    local_record: MemberRecord,
    options: MembershipOptions,
    rng: StdRng,
    members: MemberList,
    rumors: RumorQueue,
    detector: FailureDetector,
    lookups: LookupSchedule,
    budget: ByteBudget,
    /// Instances that remain to be probed in this round.
    probe_round: Vec<InstanceName>,
    /// Members that data traffic could not reach and that are to be probed at the next tick.
    unreachable: Vec<MemberId>,
    last_tick_at: Option<TimePoint>,
    next_probe_at: TimePoint,
    next_repair_at: TimePoint,
    next_revival_at: TimePoint,
    last_row_read_at: TimePoint,
    next_row_read_at: TimePoint,
    is_superseded: bool,
}

impl MemberView {
    /// Creates the view of a member that knows only itself. `seed` initializes its random number generator.
    pub fn new(local_record: MemberRecord, options: MembershipOptions, seed: u64) -> MemberView {
        let mut view = MemberView {
            budget: ByteBudget::new(options.bytes_per_s),
            local_record,
            options,
            rng: StdRng::seed_from_u64(seed),
            members: MemberList::new(),
            rumors: RumorQueue::default(),
            detector: FailureDetector::default(),
            lookups: LookupSchedule::default(),
            probe_round: Vec::new(),
            unreachable: Vec::new(),
            last_tick_at: None,
            next_probe_at: TimePoint::ORIGIN,
            next_repair_at: TimePoint::ORIGIN,
            next_revival_at: TimePoint::ORIGIN,
            last_row_read_at: TimePoint::ORIGIN,
            next_row_read_at: TimePoint::ORIGIN,
            is_superseded: false,
        };
        view.publish_local_record(TimePoint::ORIGIN);
        view
    }

    /// Returns the key of the row of `instance` in the platform's table.
    ///
    /// A daemon stores its [`MemberRecord`] there when it joins and when its address changes, and deletes the row
    /// when it leaves.
    pub fn row_key(instance: &InstanceName) -> String {
        format!("{ROW_PREFIX}{instance}")
    }

    /// Returns the row ranges in which a joining daemon looks for its first peers: `n_rows` from its own row onwards,
    /// and `n_rows` from the first row onwards.
    pub fn first_peer_ranges(instance: &InstanceName, n_rows: usize) -> [KeyRange; 2] {
        let from_start = KeyRange::with_prefix(ROW_PREFIX, n_rows);
        [KeyRange { from: MemberView::row_key(instance), ..from_start.clone() }, from_start]
    }

    /// Returns whether this member has to delete the row of `instance`, which was declared dead. Members with a
    /// complete list select the same member for this, so that a death costs one write.
    pub fn is_row_cleaner(&self, instance: &InstanceName) -> bool {
        let digest =
            ContentDigest::of_parts(&[ROW_PREFIX.as_bytes(), instance.as_str().as_bytes()]);
        let running = self.members.records().filter(|it| !it.state.is_inactive());
        let cleaner = running.max_by_key(|it| rendezvous_weight(&it.member.instance, &digest));
        cleaner.is_some_and(|it| it.member == self.local_record.member)
    }

    /// Returns whether the caller has to read rows of other members now, from [`MemberView::first_peer_ranges`] or
    /// the seeds, and pass them to [`MemberView::import_record`]. Reads are frequent while no other member
    /// is known to run, and rare otherwise.
    pub fn take_row_read_due(&mut self, now: TimePoint) -> bool {
        let is_isolated = self.members.n_running() < 2;
        let is_due = self.next_row_read_at <= now
            || (is_isolated && self.last_row_read_at.plus(ISOLATED_READ_PERIOD) <= now);
        if is_due {
            self.last_row_read_at = now;
            self.next_row_read_at =
                now.plus(self.options.row_read_period.mul_f64(self.rng.random_range(0.5..1.5)));
        }
        is_due
    }

    /// Updates the local record and disseminates the change. The record does not change any more after
    /// [`MemberState::Left`]; the caller must continue to call [`MemberView::tick`] for a second, so that the change
    /// reaches other members.
    pub fn announce(
        &mut self,
        now: TimePoint,
        service: Option<ServiceName>,
        state: MemberState,
        slots: u32,
    ) {
        let is_same =
            (&self.local_record.service, self.local_record.state, self.local_record.slots)
                == (&service, state, slots);
        if is_same || self.local_record.state.is_inactive() {
            return;
        }
        self.local_record = MemberRecord {
            service,
            state,
            slots,
            version: self.local_record.version + 1,
            ..self.local_record.clone()
        };
        self.publish_local_record(now);
    }

    /// Requests the members of `service` from other members until enough of them have answered.
    ///
    /// Later changes arrive as rumors, whether or not the service is subscribed.
    pub fn subscribe(&mut self, now: TimePoint, service: ServiceName) {
        self.lookups.add(now, service);
    }

    /// Applies a record read from the platform's table or obtained from a seed.
    ///
    /// A row of this instance with a greater incarnation supersedes the view, which sends nothing from then on. A
    /// starting daemon therefore reads its own row first and selects a greater incarnation, in case its wall clock
    /// was set back.
    pub fn import_record(&mut self, now: TimePoint, record: &MemberRecord) {
        self.apply_record(now, record);
    }

    /// Handles a message from another member. Messages to send are appended to `out`.
    pub fn receive(
        &mut self,
        now: TimePoint,
        from: &MemberId,
        message: GossipMessage,
        out: &mut Vec<(MemberId, GossipMessage)>,
    ) {
        if *from == self.local_record.member || self.is_superseded {
            return;
        }
        let mut has_urgent_change = false;
        for rumor in message.rumors {
            let is_urgent = rumor.is_urgent();
            has_urgent_change |= self.handle_rumor(now, rumor) && is_urgent;
        }
        self.handle_body(now, from, message.body, out);
        if has_urgent_change {
            self.send_rumors(out);
        }
        self.check_invariants();
    }

    /// Performs the periodic work. The caller calls it about every 200 ms; messages to send are appended to `out`.
    pub fn tick(&mut self, now: TimePoint, out: &mut Vec<(MemberId, GossipMessage)>) {
        if self.is_superseded {
            return;
        }
        self.detect_pause(now);
        self.budget.refill(now);
        self.review_probes(now, out);
        self.expire_suspicions(now);
        self.send_due_probes(now, out);
        self.maintain_dead(now, out);
        self.send_lookups(now, out);
        self.send_rumors(out);
        self.check_invariants();
    }

    /// Records that data traffic has just proven that `member` is alive.
    pub fn record_contact(&mut self, now: TimePoint, member: &MemberId) {
        self.members.record_contact(now, member);
        self.detector.close_local_probes(member);
    }

    /// Records that data traffic could not reach `member`. It is probed at the next tick, unless the last contact was
    /// at `now` or later.
    pub fn record_unreachable(&mut self, now: TimePoint, member: &MemberId) {
        let entry = self.members.get(member);
        let is_silent =
            entry.is_some_and(|it| !it.record.state.is_inactive() && it.last_contact_at < now);
        if is_silent && *member != self.local_record.member && !self.unreachable.contains(member) {
            self.unreachable.push(member.clone());
        }
    }

    /// Returns the records that have changed since the last call, oldest change first. If a newer incarnation
    /// replaces an older one that ran, the older record precedes it with state [`MemberState::Dead`].
    pub fn take_changes(&mut self) -> Vec<MemberRecord> {
        self.members.take_changes()
    }

    /// Returns the record of `member`, or `None` if it is unknown or replaced by a newer incarnation.
    pub fn get(&self, member: &MemberId) -> Option<&MemberRecord> {
        self.members.get(member).map(|it| &it.record)
    }

    /// Returns the record of the latest known incarnation of `instance`.
    pub fn by_instance(&self, instance: &InstanceName) -> Option<&MemberRecord> {
        self.members.by_instance(instance).map(|it| &it.record)
    }

    /// Returns all known records ordered by instance name, including inactive members.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.records()
    }

    /// Returns the record of this member.
    pub fn local_record(&self) -> &MemberRecord {
        &self.local_record
    }

    /// Returns whether `member` is suspected because it did not answer a probe and has not refuted this yet.
    pub fn is_suspect(&self, member: &MemberId) -> bool {
        self.detector.is_suspect(member)
    }

    /// Returns whether a newer incarnation of this instance is known. The view sends nothing from then on.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Updates the local record in the list and queues it as a rumor.
    fn publish_local_record(&mut self, now: TimePoint) {
        self.members.merge(now, &self.local_record);
        self.rumors.push(MemberRumor::Record(self.local_record.clone()), self.options.rumor_sends);
    }

    /// Applies a record from any source; returns whether it changed the list.
    fn apply_record(&mut self, now: TimePoint, record: &MemberRecord) -> bool {
        if record.member.instance == self.local_record.member.instance {
            self.refute_or_yield(
                now,
                record.member.incarnation,
                record.version,
                record.state.is_inactive(),
            );
            return false;
        }
        let is_new = self.members.merge(now, record) == MergeResult::Applied;
        if is_new {
            self.detector.clear_suspicion(&record.member.instance);
        }
        is_new
    }

    /// Handles what other members report about this instance: refutes a suspicion or a death, or yields to a newer
    /// incarnation.
    fn refute_or_yield(
        &mut self,
        now: TimePoint,
        incarnation: u64,
        version: u64,
        is_refutable: bool,
    ) {
        let local_incarnation = self.local_record.member.incarnation;
        let is_ahead = self.local_record.version < version
            || (self.local_record.version == version && is_refutable);
        match incarnation {
            it if local_incarnation < it => self.is_superseded = true,
            it if it == local_incarnation && is_ahead && !self.local_record.state.is_inactive() => {
                self.local_record.version = version + 1;
                self.publish_local_record(now);
            }
            _ => {}
        }
    }

    fn check_invariants(&self) {
        let listed =
            self.members.by_instance(&self.local_record.member.instance).map(|it| &it.record);
        assert_eq!(listed, Some(&self.local_record), "the list contains the current local record");
    }
}
