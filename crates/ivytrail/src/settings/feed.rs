//! Spread of accepted changes to every daemon.
//!
//! A few daemons of each failure domain read the head and new changes from the platform's table about once a second. All
//! others learn of a new revision from notices of daemons that have it, and fetch the changes from them. A daemon that
//! starts empty-handed fetches the whole tree the same way, and from the platform when no daemon has it.
//!
//! [`SettingsFeed`] holds no clock and does no I/O: messages go in with the time, [`FeedEffect`]s come out.

mod log;
mod message;
mod page;

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};

pub use self::message::{FeedMessage, PageCursor, TreePage};
use self::{
    log::ChangeLog,
    page::{TreeIntake, page_at},
};
use super::{Revision, SettingsChange, SettingsTree};
use crate::{
    id::{ContentDigest, DomainName, MemberId, rendezvous_weight},
    time::TimePoint,
};

/// Size up to which changes are put into one message, in bytes. A single change may be larger.
const MAX_DELTA_BYTES: usize = 64 << 10;

/// Times and numbers of the feed.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedOptions {
    /// Time between two readings of the platform by a poller.
    pub poll_every: Duration,
    /// Time between two notices to a random daemon.
    pub notice_every: Duration,
    /// Time after which an unanswered request is made to another daemon.
    pub request_timeout: Duration,
    /// Daemons that are told at once of a new revision.
    pub fanout: usize,
    /// Pollers in each failure domain.
    pub pollers_per_domain: usize,
}

impl Default for FeedOptions {
    fn default() -> FeedOptions {
        FeedOptions {
            poll_every: Duration::from_millis(500),
            notice_every: Duration::from_secs(1),
            request_timeout: Duration::from_millis(500),
            fanout: 4,
            pollers_per_domain: 2,
        }
    }
}

/// A daemon with its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedPeer {
    /// The daemon.
    pub member: MemberId,
    /// Its failure domain.
    pub domain: DomainName,
}

/// What the feed wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedEffect {
    /// Send a message to a daemon.
    Send {
        /// The receiver.
        to: MemberId,
        /// The message.
        message: FeedMessage,
    },
    /// Read the head and the changes after a revision from the platform.
    ReadChanges {
        /// The revision in force here.
        after: Revision,
    },
    /// Read the whole tree from the platform, since this daemon has none.
    ReadTree,
}

/// What the feed has sent and received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedTraffic {
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes sent, as encoded in MessagePack.
    pub bytes_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Reads of the platform asked for.
    pub platform_reads: u64,
}

/// First wait of an empty-handed daemon for its peers, before it reads the platform itself.
const FIRST_START_WAIT: Duration = Duration::from_secs(1);

/// Longest wait between two reads of an empty-handed daemon.
const LONGEST_START_WAIT: Duration = Duration::from_secs(16);

/// When an empty-handed daemon that is no poller reads the platform: rarely, since the whole fleet may start at once.
#[derive(Debug)]
struct StartReads {
    next_at: Option<TimePoint>,
    wait: Duration,
    is_answered: bool,
}

impl Default for StartReads {
    fn default() -> StartReads {
        StartReads { next_at: None, wait: FIRST_START_WAIT, is_answered: false }
    }
}

impl StartReads {
    /// Returns whether a read is due, and puts the next one off.
    fn is_due(&mut self, now: TimePoint) -> bool {
        let next_at = *self.next_at.get_or_insert(now.plus(self.wait));
        let is_due = !self.is_answered && next_at <= now;
        if is_due {
            self.wait = (self.wait * 2).min(LONGEST_START_WAIT);
            self.next_at = Some(now.plus(self.wait));
        }
        is_due
    }
}

/// One daemon's part in the spread of changes.
///
/// Invariant: the revision in force here never falls.
#[derive(Debug)]
pub struct SettingsFeed {
    me: FeedPeer,
    options: FeedOptions,
    rng: StdRng,
    tree: SettingsTree,
    log: ChangeLog,
    /// Revisions of other daemons, as last reported.
    peer_revisions: BTreeMap<MemberId, (Revision, TimePoint)>,
    /// The daemon that was asked for changes or a page, and when.
    pending: Option<(MemberId, TimePoint)>,
    intake: Option<TreeIntake>,
    /// Whether other daemons have to be told of the revision in force here.
    has_news: bool,
    next_poll: TimePoint,
    next_notice: TimePoint,
    start: StartReads,
    traffic: FeedTraffic,
}

impl SettingsFeed {
    /// Returns the feed of a daemon that knows nothing yet.
    pub fn new(me: FeedPeer, options: FeedOptions, seed: u64) -> SettingsFeed {
        SettingsFeed {
            me,
            options,
            rng: StdRng::seed_from_u64(seed),
            tree: SettingsTree::default(),
            log: ChangeLog::default(),
            peer_revisions: BTreeMap::new(),
            pending: None,
            intake: None,
            has_news: false,
            next_poll: TimePoint::ORIGIN,
            next_notice: TimePoint::ORIGIN,
            start: StartReads::default(),
            traffic: FeedTraffic::default(),
        }
    }

    /// Returns the tree in force here.
    pub fn tree(&self) -> &SettingsTree {
        &self.tree
    }

    /// Returns the revision in force here.
    pub fn revision(&self) -> Revision {
        self.tree.revision
    }

    /// Returns the revisions of other daemons as last reported, with the time of the report.
    pub fn peer_revisions(&self) -> impl Iterator<Item = (&MemberId, Revision, TimePoint)> {
        self.peer_revisions.iter().map(|(member, (revision, at))| (member, *revision, *at))
    }

    /// Returns what was sent and received since the start.
    pub fn traffic(&self) -> FeedTraffic {
        self.traffic
    }

    /// Does what is due. `peers` are the other daemons; `reads_anyway` makes this daemon a poller in any case, as the
    /// control ring's members are.
    pub fn tick(
        &mut self,
        now: TimePoint,
        peers: &[FeedPeer],
        reads_anyway: bool,
    ) -> Vec<FeedEffect> {
        let mut effects = Vec::new();
        let is_due = self.next_poll <= now && (reads_anyway || self.is_poller(peers));
        let starts = self.tree.revision == Revision::default() && self.start.is_due(now);
        if is_due || starts {
            self.next_poll = now.plus(self.jittered(self.options.poll_every));
            self.traffic.platform_reads += 1;
            effects.push(match self.tree.revision {
                Revision(0) => FeedEffect::ReadTree,
                after => FeedEffect::ReadChanges { after },
            });
        }
        if std::mem::take(&mut self.has_news) {
            for _ in 0..self.options.fanout {
                self.notify_random(peers, &mut effects);
            }
        }
        if self.next_notice <= now {
            self.next_notice = now.plus(self.jittered(self.options.notice_every));
            self.notify_random(peers, &mut effects);
            self.peer_revisions.retain(|member, _| peers.iter().any(|peer| peer.member == *member));
        }
        self.ask_again(now, &mut effects);
        effects
    }

    /// Takes a message of another daemon.
    pub fn on_message(
        &mut self,
        now: TimePoint,
        from: &MemberId,
        message: FeedMessage,
    ) -> Vec<FeedEffect> {
        let mut effects = Vec::new();
        self.traffic.messages_received += 1;
        match message {
            FeedMessage::RevisionNotice { revision } => {
                self.hear(now, from, revision);
                if revision < self.tree.revision {
                    self.send(
                        from,
                        FeedMessage::RevisionNotice { revision: self.tree.revision },
                        &mut effects,
                    );
                } else if self.tree.revision < revision && self.pending.is_none() {
                    self.ask(now, from, &mut effects);
                }
            }
            FeedMessage::DeltaRequest { after } => {
                self.hear(now, from, after);
                let reply = self.delta_after(after);
                self.send(from, reply, &mut effects);
            }
            FeedMessage::DeltaReply { changes, revision } => {
                self.hear(now, from, revision);
                self.end_pending(from);
                self.take_delta(&changes);
                if self.wanted_from(from) < revision {
                    self.ask(now, from, &mut effects);
                }
            }
            FeedMessage::PageRequest { cursor } => {
                let page = page_at(&self.tree, &cursor);
                self.send(from, FeedMessage::SnapshotReply(page), &mut effects);
            }
            FeedMessage::SnapshotReply(page) => {
                self.hear(now, from, page.revision);
                self.end_pending(from);
                self.take_page(from, page);
                if self.intake.as_ref().is_some_and(|it| it.from == *from) {
                    self.ask(now, from, &mut effects);
                }
            }
        }
        effects
    }

    /// Takes changes read from the platform, possibly none, or stored there for an operator of this daemon.
    pub fn on_changes(&mut self, changes: &[SettingsChange]) {
        self.start.is_answered = true;
        for change in changes {
            if self.tree.apply(change).is_ok() {
                self.log.push(change.clone());
                self.has_news = true;
            }
        }
    }

    /// Takes a whole tree read from the platform. A tree that is not newer is left aside.
    pub fn on_snapshot(&mut self, tree: SettingsTree) {
        self.start.is_answered = true;
        if tree.revision <= self.tree.revision {
            return;
        }
        self.tree = tree;
        self.log.clear();
        self.has_news = true;
    }

    fn hear(&mut self, now: TimePoint, from: &MemberId, revision: Revision) {
        let known = self.peer_revisions.entry(from.clone()).or_default();
        *known = (known.0.max(revision), now);
    }

    fn end_pending(&mut self, from: &MemberId) {
        self.pending = self.pending.take().filter(|(asked, _)| asked != from);
    }

    fn delta_after(&self, after: Revision) -> FeedMessage {
        let revision = self.tree.revision;
        if revision <= after {
            return FeedMessage::DeltaReply { changes: Vec::new(), revision };
        }
        match self.log.after(after, MAX_DELTA_BYTES) {
            Some(changes) => FeedMessage::DeltaReply { changes, revision },
            None => FeedMessage::SnapshotReply(page_at(&self.tree, &PageCursor::Start)),
        }
    }

    fn take_delta(&mut self, changes: &[SettingsChange]) {
        self.on_changes(changes);
        if let Some(intake) = &mut self.intake {
            intake.take_changes(changes);
        }
        self.finish_intake();
    }

    fn take_page(&mut self, from: &MemberId, page: TreePage) {
        let starts = page.cursor == PageCursor::Start && self.tree.revision < page.revision;
        let mut intake = match self.intake.take() {
            Some(intake) if intake.from == *from && !starts => intake,
            other if !starts => {
                self.intake = other;
                return;
            }
            _ => TreeIntake::new(from.clone(), page.revision),
        };
        intake.take_page(page);
        self.intake = Some(intake);
        self.finish_intake();
    }

    fn finish_intake(&mut self) {
        match self.intake.take() {
            Some(intake) if intake.is_whole() => self.on_snapshot(intake.into_tree()),
            // The changes came on another way meanwhile.
            Some(intake) if intake.revision() <= self.tree.revision => {}
            unfinished => self.intake = unfinished,
        }
    }

    /// Returns the revision up to which changes from `from` are not wanted any more.
    fn wanted_from(&self, from: &MemberId) -> Revision {
        let intake = self.intake.as_ref().filter(|it| it.from == *from);
        intake.map_or(self.tree.revision, TreeIntake::revision)
    }

    /// Asks `from` for what comes next: a page of the tree that it is sending, or changes.
    fn ask(&mut self, now: TimePoint, from: &MemberId, effects: &mut Vec<FeedEffect>) {
        let intake = self.intake.as_ref().filter(|it| it.from == *from);
        let message = match intake.and_then(TreeIntake::next_page) {
            Some(cursor) => FeedMessage::PageRequest { cursor: cursor.clone() },
            None => FeedMessage::DeltaRequest { after: self.wanted_from(from) },
        };
        self.pending = Some((from.clone(), now));
        self.send(from, message, effects);
    }

    /// Makes an unanswered request to another daemon that has more than this one.
    fn ask_again(&mut self, now: TimePoint, effects: &mut Vec<FeedEffect>) {
        let asked = match &self.pending {
            Some((_, at)) if now.since(*at) < self.options.request_timeout => return,
            Some((asked, _)) => Some(asked.clone()),
            None => None,
        };
        self.pending = None;
        if asked.is_some() {
            self.intake = None;
        }
        let own = self.tree.revision;
        let ahead = self.peer_revisions.iter().filter(|(_, (revision, _))| own < *revision);
        let ahead = ahead.map(|(member, _)| member.clone()).collect::<Vec<_>>();
        let others = ahead.iter().filter(|it| asked.as_ref() != Some(*it)).collect::<Vec<_>>();
        let chosen = match (others.as_slice(), ahead.first()) {
            ([], only) => only.cloned(),
            (others, _) => Some(others[self.rng.random_range(0..others.len())].clone()),
        };
        if let Some(chosen) = chosen {
            self.ask(now, &chosen, effects);
        }
    }

    fn notify_random(&mut self, peers: &[FeedPeer], effects: &mut Vec<FeedEffect>) {
        if peers.is_empty() {
            return;
        }
        let peer = peers[self.rng.random_range(0..peers.len())].member.clone();
        let notice = FeedMessage::RevisionNotice { revision: self.tree.revision };
        self.send(&peer, notice, effects);
    }

    fn send(&mut self, to: &MemberId, message: FeedMessage, effects: &mut Vec<FeedEffect>) {
        self.traffic.messages_sent += 1;
        self.traffic.bytes_sent += rmp_serde::to_vec(&message).map_or(0, |it| it.len() as u64);
        effects.push(FeedEffect::Send { to: to.clone(), message });
    }

    fn is_poller(&self, peers: &[FeedPeer]) -> bool {
        domain_rank(&self.me, peers) < self.options.pollers_per_domain
    }

    /// Returns a span up to a quarter shorter than `span`, so that daemons don't act in step.
    fn jittered(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.random_range(0.75..=1.0))
    }
}

/// Returns how many daemons of its failure domain come before `me` in rendezvous order; `peers` are the others.
pub fn domain_rank(me: &FeedPeer, peers: &[FeedPeer]) -> usize {
    let digest = ContentDigest::of_parts(&[me.domain.as_str().as_bytes()]);
    let own = rendezvous_weight(&me.member.instance, &digest);
    let others = peers.iter().filter(|it| it.domain == me.domain && it.member != me.member);
    others.filter(|it| own < rendezvous_weight(&it.member.instance, &digest)).count()
}
