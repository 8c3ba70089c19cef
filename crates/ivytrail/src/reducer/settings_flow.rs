//! Settings in force at this daemon, their distribution, and whether the daemon may rely on them.

use std::time::Duration;

use super::{DaemonEffect, DaemonReducer, ReducerStep, SettingsReading, rings::control_ring_name};
use crate::{
    authority::{
        AuthorityContext, AuthorityMessage, AuthorityOptions, AuthorityTracker, ControlRing,
    },
    id::{InstanceName, MemberId},
    membership::MemberView,
    message::ControlMessage,
    settings::{
        Revision, SettingsChange,
        feed::{FeedEffect, FeedMessage, FeedOptions, FeedPeer, SettingsFeed},
        index::SettingsInForce,
    },
    time::TimePoint,
};

/// Number of daemons to which a daemon forwards a newer definition of the control ring.
const RING_GOSSIP_FANOUT: usize = 4;
/// Interval between updates of the list of other daemons.
const PEER_REVIEW_INTERVAL: Duration = Duration::from_millis(200);

/// Distribution of settings between daemons, and the evidence that they are up to date.
#[derive(Debug)]
pub(super) struct SettingsSync {
    pub(super) feed: SettingsFeed,
    pub(super) watch: AuthorityTracker,
    local_member: MemberId,
    peers: Vec<FeedPeer>,
    ring: Option<ControlRing>,
    next_review_at: TimePoint,
}

impl SettingsSync {
    /// Creates the state of a daemon without settings or known peers.
    pub(super) fn new(local_member: &FeedPeer, seed: u64) -> SettingsSync {
        SettingsSync {
            feed: SettingsFeed::new(local_member.clone(), FeedOptions::default(), seed),
            watch: AuthorityTracker::new(local_member.clone(), AuthorityOptions::default()),
            local_member: local_member.member.clone(),
            peers: Vec::new(),
            ring: None,
            next_review_at: TimePoint::ORIGIN,
        }
    }

    /// Returns the other daemons, as of the last update.
    pub(super) fn peers(&self) -> &[FeedPeer] {
        &self.peers
    }

    fn update_peers(&mut self, now: TimePoint, view: &MemberView) {
        if now < self.next_review_at {
            return;
        }
        self.next_review_at = now.plus(PEER_REVIEW_INTERVAL);
        let others =
            view.members().filter(|it| !it.state.is_inactive() && it.member != self.local_member);
        self.peers.clear();
        self.peers.extend(
            others.map(|it| FeedPeer { member: it.member.clone(), domain: it.domain.clone() }),
        );
    }

    fn watch_with_context(
        &mut self,
        now: TimePoint,
        holds_lease: bool,
    ) -> (&mut AuthorityTracker, AuthorityContext<'_>) {
        let context = AuthorityContext {
            now,
            revision: self.feed.revision(),
            peers: &self.peers,
            ring: self.ring.as_ref(),
            holds_lease,
        };
        (&mut self.watch, context)
    }
}

impl DaemonReducer {
    /// Returns the settings in force locally.
    pub fn settings(&self) -> &SettingsInForce {
        &self.settings
    }

    /// Returns the revision of the settings in force locally.
    pub fn revision(&self) -> Revision {
        self.settings.revision()
    }

    /// Returns whether this daemon may rely on its settings and keys at `now`.
    pub fn is_authoritative(&self, now: TimePoint) -> bool {
        self.settings_sync.watch.is_fresh(now, self.settings.revision())
    }

    /// Returns whether a change is known to be in force at every daemon that serves callers based on attestations.
    pub fn is_confirmed(&self, revision: Revision) -> bool {
        self.settings_sync.watch.is_confirmed(revision)
    }

    /// Returns the last reported revision of each other daemon, with the age of the report.
    pub fn known_revisions(
        &self,
        now: TimePoint,
    ) -> Vec<(InstanceName, Option<Revision>, Duration)> {
        let reports = self.settings_sync.feed.peer_revisions();
        reports
            .map(|(it, revision, at)| (it.instance.clone(), Some(revision), now.since(at)))
            .collect()
    }

    /// Applies the result of reading the platform's table.
    pub(super) fn apply_settings_reading(
        &mut self,
        step: &mut ReducerStep,
        sent_at: TimePoint,
        reading: SettingsReading,
    ) {
        match reading {
            SettingsReading::Changes { head, changes } => {
                self.settings_sync.feed.on_changes(&changes);
                self.settings_sync.watch.on_head(sent_at, head);
            }
            SettingsReading::Tree(tree) => {
                let head = tree.revision;
                self.settings_sync.feed.on_snapshot(*tree);
                self.settings_sync.feed.on_changes(&[]);
                self.settings_sync.watch.on_head(sent_at, head);
            }
        }
        self.apply_settings(step);
    }

    /// Applies changes that an operator stored through this daemon, ignoring those already known.
    pub(super) fn apply_stored_changes(
        &mut self,
        step: &mut ReducerStep,
        changes: &[SettingsChange],
    ) {
        self.settings_sync.feed.on_changes(changes);
        if let Some(last) = changes.last() {
            self.settings_sync.watch.await_confirmation(last.revision);
        }
        self.apply_settings(step);
    }

    pub(super) fn handle_feed(
        &mut self,
        step: &mut ReducerStep,
        from: &MemberId,
        message: FeedMessage,
    ) {
        let effects = self.settings_sync.feed.on_message(step.now, from, message);
        self.apply_feed_effects(step, effects);
    }

    pub(super) fn handle_authority(
        &mut self,
        step: &mut ReducerStep,
        from: &MemberId,
        message: &AuthorityMessage,
    ) {
        let holds_lease = self.control.rings.control().holds_lease(step.now);
        let (watch, context) = self.settings_sync.watch_with_context(step.now, holds_lease);
        let answer = watch.on_message(&context, from, message);
        if let Some(answer) = answer {
            self.control.outbox.push_back((from.clone(), ControlMessage::Authority(answer)));
        }
    }

    pub(super) fn tick_settings(&mut self, step: &mut ReducerStep) {
        self.settings_sync.update_peers(step.now, &self.control.view);
        let ring = self.control.rings.control();
        let holds_lease = ring.holds_lease(step.now);
        let definition = ring.definition();
        if definition.map(|it| it.epoch) != self.settings_sync.ring.as_ref().map(|it| it.epoch) {
            self.settings_sync.ring = definition.map(|it| ControlRing {
                epoch: it.epoch,
                members: it.members.iter().map(|member| member.member.clone()).collect(),
            });
        }
        let is_member = definition.is_some_and(|it| it.contains(&self.identity.member));
        let settings_sync = &mut self.settings_sync;
        let effects = settings_sync.feed.tick(step.now, &settings_sync.peers, is_member);
        let (watch, context) = settings_sync.watch_with_context(step.now, holds_lease);
        let questions = watch.tick(&context);
        let questions = questions.into_iter().map(|(to, it)| (to, ControlMessage::Authority(it)));
        self.control.outbox.extend(questions);
        self.apply_feed_effects(step, effects);
    }

    fn apply_feed_effects(&mut self, step: &mut ReducerStep, effects: Vec<FeedEffect>) {
        for effect in effects {
            match effect {
                FeedEffect::Send { to, message } => {
                    self.control.outbox.push_back((to, ControlMessage::Feed(message)));
                }
                FeedEffect::ReadChanges { after } => {
                    step.effects.push(DaemonEffect::ReadChanges { after });
                }
                FeedEffect::ReadTree => step.effects.push(DaemonEffect::ReadTree),
            }
        }
        self.apply_settings(step);
    }

    /// Puts the settings tree of the feed in force if it is newer.
    ///
    /// # Panics
    ///
    /// Panics if the revision of the feed is lower than the one in force: settings must never revert.
    fn apply_settings(&mut self, step: &mut ReducerStep) {
        let (before, after) = (self.settings.revision(), self.settings_sync.feed.revision());
        assert!(before <= after, "settings would revert from revision {before} to {after}");
        let change_id = &self.settings_sync.feed.tree().change_id;
        if before == after && self.settings.tree().change_id == *change_id {
            return;
        }
        let settings = SettingsInForce::new(self.settings_sync.feed.tree().clone());
        let effects = self.control.install_accounts(step.now, &self.settings, &settings);
        self.settings = settings;
        self.apply_quota_effects(step, effects);
        step.log(format!("event=settings_in_force revision={after}"));
    }

    /// Sends the definition of the control ring to a random subset of the other daemons. Each daemon forwards a
    /// definition that is new to it, so that all daemons receive it within seconds without reading the table.
    pub(super) fn gossip_ring(&mut self) {
        let Some(definition) = self.control.rings.control().definition().cloned() else { return };
        assert_eq!(definition.name, control_ring_name(), "unexpected name of the control ring");
        let receivers = self.sample_peers(RING_GOSSIP_FANOUT);
        let notices =
            receivers.into_iter().map(|to| (to, ControlMessage::Ring(definition.clone())));
        self.control.outbox.extend(notices);
    }

    fn sample_peers(&mut self, count: usize) -> Vec<MemberId> {
        let peers = self.settings_sync.peers();
        let indices = rand::seq::index::sample(&mut self.rng, peers.len(), count.min(peers.len()));
        indices.into_iter().map(|idx| peers[idx].member.clone()).collect()
    }
}
