//! Distribution of accepted changes to every daemon.
//!
//! A few daemons of each failure domain, the pollers, read the head and new changes from the platform's table about
//! once a second. All others are notified of a new revision by daemons that have it, and fetch the changes from them. A
//! daemon that starts without settings fetches the whole tree in the same way, or from the platform when no daemon has
//! it.
//!
//! [`SettingsFeed`] has no clock and does no I/O: its inputs are messages and the time, its outputs [`FeedEffect`]s.

mod log;
mod message;
mod page;

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};

pub use self::message::{FeedMessage, PageCursor, TreePage};
use self::{
    log::ChangeLog,
    page::{TreeDownload, page_at},
};
use super::{Revision, SettingsChange, SettingsTree};
use crate::{
    id::{ContentDigest, DomainName, MemberId, rendezvous_weight},
    time::TimePoint,
};

/// Maximum size of the changes in one message, in bytes. A message with a single change may exceed it.
const MAX_DELTA_BYTES: usize = 64 << 10;

/// Intervals, timeout and fan-out of the feed.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedOptions {
    /// Interval between a poller's reads of the platform.
    pub poll_interval: Duration,
    /// Interval between notices to a random daemon.
    pub notice_interval: Duration,
    /// Time after which an unanswered request is sent to another daemon.
    pub request_timeout: Duration,
    /// Number of daemons that are notified of a new revision at once.
    pub fanout: usize,
    /// Number of pollers in each failure domain.
    pub pollers_per_domain: usize,
}

impl Default for FeedOptions {
    fn default() -> FeedOptions {
        FeedOptions {
            poll_interval: Duration::from_millis(500),
            notice_interval: Duration::from_secs(1),
            request_timeout: Duration::from_millis(500),
            fanout: 4,
            pollers_per_domain: 2,
        }
    }
}

/// A daemon and its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedPeer {
    /// Instance and incarnation of the daemon.
    pub member: MemberId,
    /// Failure domain of the instance.
    pub domain: DomainName,
}

/// An action that the caller of the feed has to take.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedEffect {
    /// Send a message to a daemon.
    Send {
        /// Receiver of the message.
        to: MemberId,
        /// Message to send.
        message: FeedMessage,
    },
    /// Read the head and the changes after a revision from the platform.
    ReadChanges {
        /// Revision in force locally.
        after: Revision,
    },
    /// Read the whole tree from the platform, since this daemon has none.
    ReadTree,
}

/// Traffic counters of the feed since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedTraffic {
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes sent, encoded as MessagePack.
    pub bytes_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Reads of the platform requested.
    pub platform_reads: u64,
}

/// Time that a daemon without settings waits for its peers before its first read of the platform.
const INITIAL_BOOTSTRAP_DELAY: Duration = Duration::from_secs(1);

/// Maximum delay between two reads of the platform by a daemon without settings.
const MAX_BOOTSTRAP_DELAY: Duration = Duration::from_secs(16);

/// Schedule on which a daemon without settings that isn't a poller reads the platform. The delay doubles with each
/// read, since the whole fleet may start at once.
#[derive(Debug)]
struct BootstrapReads {
    next_at: Option<TimePoint>,
    delay: Duration,
    is_answered: bool,
}

impl Default for BootstrapReads {
    fn default() -> BootstrapReads {
        BootstrapReads { next_at: None, delay: INITIAL_BOOTSTRAP_DELAY, is_answered: false }
    }
}

impl BootstrapReads {
    /// Returns whether a read is due, and if so schedules the next one with twice the delay.
    fn is_due(&mut self, now: TimePoint) -> bool {
        let next_at = *self.next_at.get_or_insert(now.plus(self.delay));
        let is_due = !self.is_answered && next_at <= now;
        if is_due {
            self.delay = (self.delay * 2).min(MAX_BOOTSTRAP_DELAY);
            self.next_at = Some(now.plus(self.delay));
        }
        is_due
    }
}

/// State machine of one daemon for the distribution of changes.
///
/// Invariant: the revision in force locally never decreases.
#[derive(Debug)]
pub struct SettingsFeed {
    local_peer: FeedPeer,
    options: FeedOptions,
    rng: StdRng,
    tree: SettingsTree,
    log: ChangeLog,
    /// Highest reported revision of each other daemon, with the time of the last report.
    peer_revisions: BTreeMap<MemberId, (Revision, TimePoint)>,
    /// Daemon to which the last request for changes or a page was sent, and when.
    pending_request: Option<(MemberId, TimePoint)>,
    download: Option<TreeDownload>,
    /// Whether the whole tree must be read from the platform, because the local revision has another history there or at
    /// another daemon.
    needs_tree: bool,
    /// Whether other daemons have yet to be notified of the revision in force locally.
    has_unannounced_revision: bool,
    next_poll_at: TimePoint,
    next_notice_at: TimePoint,
    bootstrap: BootstrapReads,
    traffic: FeedTraffic,
}

impl SettingsFeed {
    /// Creates the feed of a daemon without settings. `seed` initializes the random number generator.
    pub fn new(local_peer: FeedPeer, options: FeedOptions, seed: u64) -> SettingsFeed {
        SettingsFeed {
            local_peer,
            options,
            rng: StdRng::seed_from_u64(seed),
            tree: SettingsTree::default(),
            log: ChangeLog::default(),
            peer_revisions: BTreeMap::new(),
            pending_request: None,
            download: None,
            needs_tree: false,
            has_unannounced_revision: false,
            next_poll_at: TimePoint::ORIGIN,
            next_notice_at: TimePoint::ORIGIN,
            bootstrap: BootstrapReads::default(),
            traffic: FeedTraffic::default(),
        }
    }

    /// Returns the tree in force locally.
    pub fn tree(&self) -> &SettingsTree {
        &self.tree
    }

    /// Returns the revision in force locally.
    pub fn revision(&self) -> Revision {
        self.tree.revision
    }

    /// Returns the highest reported revision of each other daemon, with the time of the last report.
    pub fn peer_revisions(&self) -> impl Iterator<Item = (&MemberId, Revision, TimePoint)> {
        self.peer_revisions.iter().map(|(member, (revision, at))| (member, *revision, *at))
    }

    /// Returns the traffic counters.
    pub fn traffic(&self) -> FeedTraffic {
        self.traffic
    }

    /// Returns the effects that are due: reads of the platform, notices and a retried request. `peers` are the other
    /// daemons. `always_polls` makes this daemon a poller regardless of its rank, as for members of the control ring.
    pub fn tick(
        &mut self,
        now: TimePoint,
        peers: &[FeedPeer],
        always_polls: bool,
    ) -> Vec<FeedEffect> {
        let mut effects = Vec::new();
        let is_due = self.next_poll_at <= now && (always_polls || self.is_poller(peers));
        let needs_bootstrap =
            self.tree.revision == Revision::default() && self.bootstrap.is_due(now);
        let needs_tree = std::mem::take(&mut self.needs_tree);
        if is_due || needs_bootstrap || needs_tree {
            self.next_poll_at = now.plus(self.jittered(self.options.poll_interval));
            self.traffic.platform_reads += 1;
            effects.push(match self.tree.revision {
                _ if needs_tree => FeedEffect::ReadTree,
                Revision(0) => FeedEffect::ReadTree,
                after => FeedEffect::ReadChanges { after },
            });
        }
        if std::mem::take(&mut self.has_unannounced_revision) {
            for _ in 0..self.options.fanout {
                self.notify_random_peer(peers, &mut effects);
            }
        }
        if self.next_notice_at <= now {
            self.next_notice_at = now.plus(self.jittered(self.options.notice_interval));
            self.notify_random_peer(peers, &mut effects);
            self.peer_revisions.retain(|member, _| peers.iter().any(|peer| peer.member == *member));
        }
        self.retry_request(now, &mut effects);
        effects
    }

    /// Handles a message from another daemon.
    pub fn on_message(
        &mut self,
        now: TimePoint,
        from: &MemberId,
        message: FeedMessage,
    ) -> Vec<FeedEffect> {
        let mut effects = Vec::new();
        self.traffic.messages_received += 1;
        match message {
            FeedMessage::RevisionNotice { revision, change_id } => {
                self.record_revision(now, from, revision);
                // Only the platform can tell which of two histories is valid.
                self.needs_tree |= self.tree.is_other_history(revision, &change_id);
                if revision < self.tree.revision {
                    let notice = self.notice();
                    self.send(from, notice, &mut effects);
                } else if self.tree.revision < revision && self.pending_request.is_none() {
                    self.request_next(now, from, &mut effects);
                }
            }
            FeedMessage::DeltaRequest { after, change_id } => {
                self.record_revision(now, from, after);
                let reply = self.delta_after(after, &change_id);
                self.send(from, reply, &mut effects);
            }
            FeedMessage::DeltaReply { changes, revision } => {
                self.record_revision(now, from, revision);
                self.clear_pending(from);
                self.apply_delta(&changes);
                if self.delta_start(from) < revision {
                    self.request_next(now, from, &mut effects);
                }
            }
            FeedMessage::PageRequest { cursor } => {
                let page = page_at(&self.tree, &cursor);
                self.send(from, FeedMessage::SnapshotReply(page), &mut effects);
            }
            FeedMessage::SnapshotReply(page) => {
                self.record_revision(now, from, page.revision);
                self.clear_pending(from);
                self.add_page(from, page);
                if self.download.as_ref().is_some_and(|it| it.from == *from) {
                    self.request_next(now, from, &mut effects);
                }
            }
        }
        effects
    }

    /// Applies changes that were read from the platform or stored there through this daemon. `changes` may be empty;
    /// changes that don't follow the local revision are ignored.
    ///
    /// When a change made the local revision in another history, none is applied, and the next tick reads the whole tree.
    pub fn on_changes(&mut self, changes: &[SettingsChange]) {
        self.bootstrap.is_answered = true;
        if changes.iter().any(|change| self.tree.conflicts_with(change)) {
            self.needs_tree = true;
            return;
        }
        for change in changes {
            if self.tree.apply(change).is_ok() {
                self.log.push(change.clone());
                self.has_unannounced_revision = true;
            }
        }
    }

    /// Replaces the local tree by a complete one, unless that is older or the same.
    pub fn on_snapshot(&mut self, tree: SettingsTree) {
        self.bootstrap.is_answered = true;
        let is_other_history = self.tree.is_other_history(tree.revision, &tree.change_id);
        if tree.revision <= self.tree.revision && !is_other_history {
            return;
        }
        self.tree = tree;
        self.log.restart_after(self.tree.revision, &self.tree.change_id);
        self.has_unannounced_revision = true;
    }

    fn record_revision(&mut self, now: TimePoint, from: &MemberId, revision: Revision) {
        let known = self.peer_revisions.entry(from.clone()).or_default();
        *known = (known.0.max(revision), now);
    }

    fn clear_pending(&mut self, from: &MemberId) {
        self.pending_request = self.pending_request.take().filter(|(asked, _)| asked != from);
    }

    /// Returns the changes after a revision that was made by the change `change_id`, or the first page of the tree if the
    /// local log doesn't continue that history.
    fn delta_after(&self, after: Revision, change_id: &str) -> FeedMessage {
        let revision = self.tree.revision;
        if revision <= after {
            return FeedMessage::DeltaReply { changes: Vec::new(), revision };
        }
        let is_same_history = change_id.is_empty()
            || self.log.change_id(after).is_none_or(|it| it.is_empty() || it == change_id);
        match self.log.after(after, MAX_DELTA_BYTES).filter(|_| is_same_history) {
            Some(changes) => FeedMessage::DeltaReply { changes, revision },
            None => FeedMessage::SnapshotReply(page_at(&self.tree, &PageCursor::Start)),
        }
    }

    fn apply_delta(&mut self, changes: &[SettingsChange]) {
        self.on_changes(changes);
        if let Some(download) = &mut self.download {
            download.apply_changes(changes);
        }
        self.finish_download();
    }

    fn add_page(&mut self, from: &MemberId, page: TreePage) {
        let starts_new = page.cursor == PageCursor::Start && self.tree.revision < page.revision;
        let mut download = match self.download.take() {
            Some(download) if download.from == *from && !starts_new => download,
            other if !starts_new => {
                self.download = other;
                return;
            }
            _ => TreeDownload::new(from.clone(), &page),
        };
        download.add_page(page);
        self.download = Some(download);
        self.finish_download();
    }

    fn finish_download(&mut self) {
        match self.download.take() {
            Some(download) if download.is_complete() => self.on_snapshot(download.into_tree()),
            // The local tree has caught up from another source in the meantime.
            Some(download) if download.revision() <= self.tree.revision => {}
            unfinished => self.download = unfinished,
        }
    }

    /// Returns the revision after which changes are requested from `from`.
    fn delta_start(&self, from: &MemberId) -> Revision {
        let download = self.download.as_ref().filter(|it| it.from == *from);
        download.map_or(self.tree.revision, TreeDownload::revision)
    }

    /// Requests the next page of the tree that is being downloaded from `from`, or the next changes.
    fn request_next(&mut self, now: TimePoint, from: &MemberId, effects: &mut Vec<FeedEffect>) {
        let download = self.download.as_ref().filter(|it| it.from == *from);
        let message = match download.and_then(TreeDownload::next_page) {
            Some(cursor) => FeedMessage::PageRequest { cursor: cursor.clone() },
            None => {
                let download = self.download.as_ref().filter(|it| it.from == *from);
                let change_id = download.map_or(self.tree.change_id.as_str(), |it| it.change_id());
                let change_id = change_id.to_string();
                FeedMessage::DeltaRequest { after: self.delta_start(from), change_id }
            }
        };
        self.pending_request = Some((from.clone(), now));
        self.send(from, message, effects);
    }

    /// Sends a new request to a daemon with a newer revision when none is pending or the pending one has timed out.
    /// After a timeout another daemon is preferred.
    fn retry_request(&mut self, now: TimePoint, effects: &mut Vec<FeedEffect>) {
        let asked = match &self.pending_request {
            Some((_, at)) if now.since(*at) < self.options.request_timeout => return,
            Some((asked, _)) => Some(asked.clone()),
            None => None,
        };
        self.pending_request = None;
        if asked.is_some() {
            self.download = None;
        }
        let local_revision = self.tree.revision;
        let ahead =
            self.peer_revisions.iter().filter(|(_, (revision, _))| local_revision < *revision);
        let ahead = ahead.map(|(member, _)| member.clone()).collect::<Vec<_>>();
        let others = ahead.iter().filter(|it| asked.as_ref() != Some(*it)).collect::<Vec<_>>();
        let chosen = match (others.as_slice(), ahead.first()) {
            ([], only) => only.cloned(),
            (others, _) => Some(others[self.rng.random_range(0..others.len())].clone()),
        };
        if let Some(chosen) = chosen {
            self.request_next(now, &chosen, effects);
        }
    }

    fn notify_random_peer(&mut self, peers: &[FeedPeer], effects: &mut Vec<FeedEffect>) {
        if peers.is_empty() {
            return;
        }
        let peer = peers[self.rng.random_range(0..peers.len())].member.clone();
        let notice = self.notice();
        self.send(&peer, notice, effects);
    }

    fn notice(&self) -> FeedMessage {
        let SettingsTree { revision, change_id, .. } = &self.tree;
        FeedMessage::RevisionNotice { revision: *revision, change_id: change_id.clone() }
    }

    fn send(&mut self, to: &MemberId, message: FeedMessage, effects: &mut Vec<FeedEffect>) {
        self.traffic.messages_sent += 1;
        self.traffic.bytes_sent += rmp_serde::to_vec(&message).map_or(0, |it| it.len() as u64);
        effects.push(FeedEffect::Send { to: to.clone(), message });
    }

    fn is_poller(&self, peers: &[FeedPeer]) -> bool {
        domain_rank(&self.local_peer, peers) < self.options.pollers_per_domain
    }

    /// Returns `span` shortened by up to a quarter at random, so that daemons don't act in lockstep.
    fn jittered(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.random_range(0.75..=1.0))
    }
}

/// Returns the number of daemons of its failure domain that precede `local_peer` in rendezvous order. `peers` are the
/// other daemons.
pub fn domain_rank(local_peer: &FeedPeer, peers: &[FeedPeer]) -> usize {
    let digest = ContentDigest::of_parts(&[local_peer.domain.as_str().as_bytes()]);
    let local_weight = rendezvous_weight(&local_peer.member.instance, &digest);
    let others =
        peers.iter().filter(|it| it.domain == local_peer.domain && it.member != local_peer.member);
    others.filter(|it| local_weight < rendezvous_weight(&it.member.instance, &digest)).count()
}
