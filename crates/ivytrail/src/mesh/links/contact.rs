//! Contact with the other daemons, as far as quotas and budgets depend on it.
//!
//! A daemon that is out of contact with this one may have got quota tokens elsewhere. Contact has been lost if this
//! daemon's link to the other is closed, if the other one has dialed again because this one did not respond, if nothing
//! was heard from it for several of its advertisements, or if this daemon itself handled no event for so long that the
//! others have turned to the next one.

use std::time::Duration;

use super::{
    PeerLink, PeerLinks,
    silence::{LONGEST_SILENCE, SILENCE_BEFORE_PING},
};
use crate::{
    id::{AccountName, InstanceName},
    mesh::quota::{FleetContact, quota_owner},
    time::TimePoint,
};

/// Time without a link after which a peer's share of quotas and budgets is no longer reserved.
const RESERVATION_TTL: Duration = Duration::from_secs(20);
/// Time without a frame from a peer, in intervals between its advertisements, after which it counts as out of contact.
const MAX_SILENT_INTERVALS: f64 = 3.0;
/// Time without a frame from a peer, in the same intervals, that doesn't mean that its link had failed before it closed.
const MAX_IDLE_INTERVALS: f64 = 1.5;

impl PeerLink {
    /// Counts the peer as out of contact since `since`, unless it already does.
    pub(super) fn start_absence(&mut self, since: TimePoint) {
        self.absent_since.get_or_insert(since);
    }

    /// Returns the time since which a peer whose link is closed as silent has been out of contact. Before it was due to
    /// respond, it may have had nothing to send.
    pub(super) fn silent_since(&self) -> TimePoint {
        let due_at = self.pinged_at.map(|at| at.minus(SILENCE_BEFORE_PING));
        due_at.map_or(self.heard_at, |due_at| due_at.max(self.heard_at))
    }

    /// Returns whether the share of a peer without a link is reserved.
    pub(super) fn is_reserved(&self, now: TimePoint) -> bool {
        now.since(self.closed_at) < RESERVATION_TTL
    }

    /// Returns the time for which the peer has been out of contact, as far as its share is reserved.
    fn absence(&self, now: TimePoint) -> Duration {
        self.absent_since.map_or(Duration::ZERO, |since| now.since(since).min(RESERVATION_TTL))
    }
}

impl PeerLinks {
    /// Returns the contact with the other daemons. Peers without a link for [`RESERVATION_TTL`] no longer count.
    pub(in crate::mesh) fn contact(&self, now: TimePoint) -> FleetContact {
        let is_counted = |link: &&PeerLink| link.is_open || link.is_reserved(now);
        let counted = self.links.values().filter(is_counted);
        let (n_peers, n_absent) = counted.fold((0, 0), |(n_peers, n_absent), link| {
            (n_peers + 1, n_absent + usize::from(link.absent_since.is_some()))
        });
        let absence: Duration = self.links.values().map(|it| it.absence(now)).sum();
        let absence_s = (self.past_absence + absence).as_secs_f64();
        FleetContact { n_daemons: 1 + n_peers, n_absent, absence_s }
    }

    /// Returns the peer that was the account's quota owner in place of `owner` until it went out of contact, unless that was
    /// long ago.
    pub(in crate::mesh) fn absent_quota_owner<'l>(
        &'l self,
        now: TimePoint,
        account: &AccountName,
        owner: &'l InstanceName,
    ) -> Option<&'l InstanceName> {
        let is_recent =
            |link: &PeerLink| !link.is_open && link.member.is_some() && link.is_reserved(now);
        let recent = self.links.iter().filter(|(_, link)| is_recent(link));
        let candidates = recent.map(|(name, _)| name).chain([owner]);
        quota_owner(account, candidates).filter(|it| *it != owner)
    }

    pub(super) fn end_absence(&mut self, now: TimePoint, peer: &InstanceName) {
        let Some(link) = self.links.get_mut(peer) else { return };
        self.past_absence += link.absence(now);
        link.absent_since = None;
        link.heard_at = now;
    }

    /// Records a frame of a peer; it is in contact again if this daemon's link to it is open.
    pub(super) fn record_frame(&mut self, now: TimePoint, peer: &InstanceName) {
        match self.links.get_mut(peer) {
            Some(link) if link.is_open && link.absent_since.is_some() => {
                self.end_absence(now, peer);
            }
            Some(link) => link.heard_at = now,
            None => {}
        }
    }

    /// Records that a peer's link to this daemon has closed. A peer that was silent for longer than an idle one may have
    /// given up the link before, and the news of it is late.
    pub(super) fn record_inbound_close(&mut self, now: TimePoint, peer: &InstanceName) {
        let max_idle_time = self.advertisement_interval().mul_f64(MAX_IDLE_INTERVALS);
        let Some(link) = self.links.get_mut(peer) else { return };
        match link.heard_at {
            heard_at if max_idle_time <= now.since(heard_at) => link.start_absence(heard_at),
            _ => link.start_absence(now),
        }
    }

    /// Records that a peer has dialed this daemon. If its former link has not closed here, the peer has given it up since
    /// it was last heard.
    pub(super) fn record_redial(&mut self, now: TimePoint, peer: &InstanceName) {
        let Some(link) = self.links.get_mut(peer).filter(|it| it.is_open) else { return };
        link.start_absence(link.heard_at);
        self.end_absence(now, peer);
    }

    /// Counts peers as out of contact that have not been heard for several advertisements.
    pub(super) fn find_absent_peers(&mut self, now: TimePoint) {
        let timeout = self.advertisement_interval().mul_f64(MAX_SILENT_INTERVALS);
        let silent = self.links.values_mut().filter(|it| timeout <= now.since(it.heard_at));
        silent.for_each(|it| it.start_absence(it.heard_at));
    }

    /// Records that this daemon has handled no event for `pause`. Returns whether that is so long that all peers count as
    /// out of contact for that time.
    pub(in crate::mesh) fn record_pause(&mut self, now: TimePoint, pause: Duration) -> bool {
        if pause < LONGEST_SILENCE {
            return false;
        }
        for link in self.links.values_mut().filter(|it| it.absent_since.is_none()) {
            self.past_absence += pause;
            link.heard_at = now;
        }
        true
    }
}
