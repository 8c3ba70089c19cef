//! Ownership leases among the members of a ring.
//!
//! A ring is a named set of daemons with a definition for each epoch. The definition is one row of the platform's
//! table and changes by compare-and-set, one member at a time. Within an epoch the members do not depend on the
//! platform: they grant each other promises not to fence ([`LeaseBody::Ask`], [`LeaseBody::Reply`]), and a member
//! holds its lease while it has unexpired promises from a majority. A silent member is fenced by the votes of a
//! majority, after their promises to it have expired.
//!
//! The owner of a key is the first member in rendezvous order that is not fenced. It acts only while it holds its own
//! lease. A key therefore never has two owners: any majority of promises and any majority of fence votes have a voter
//! in common. `docs/design/0005-lease-rings.md` contains the proof, including changes of epoch.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    id::{DomainName, MemberId, RingName},
    time::TimePoint,
};

mod change;
mod fence;
mod grant;
mod history;
mod ring;
#[cfg(test)]
mod tests;

pub use history::PriorOwner;
pub(crate) use history::rendezvous_sort_key;
pub use ring::LeaseRing;

/// Timing and size limits of a ring. All members of a ring must use the same values.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseOptions {
    /// Validity of a promise on the voter's clock, counted from its reply.
    pub promise_duration: Duration,
    /// Interval between two rounds of promise requests.
    pub renewal_interval: Duration,
    /// Delay between the expiry of a voter's promise and its earliest vote to fence. It covers the delay between
    /// checking a lease and starting the run; see [`LeaseOptions::run_window`].
    pub fence_margin: Duration,
    /// Maximum rate error of any member's monotonic clock, in parts per million.
    pub max_drift_ppm: u32,
    /// Maximum number of members to which [`LeaseRing::proposed_change`] grows a ring.
    pub max_members: usize,
    /// Retention period of replaced epochs. It must be at least [`crate::claim::ClaimOptions::retention`].
    pub history_retention: Duration,
}

impl Default for LeaseOptions {
    fn default() -> LeaseOptions {
        LeaseOptions {
            promise_duration: Duration::from_secs(4),
            renewal_interval: Duration::from_secs(1),
            fence_margin: Duration::from_millis(500),
            max_drift_ppm: 1_000,
            max_members: 9,
            history_retention: Duration::from_secs(3_600),
        }
    }
}

impl LeaseOptions {
    /// Returns how long the requester may rely on a promise, counted on its own clock from sending the request.
    ///
    /// This is shorter than [`LeaseOptions::promise_duration`] by the maximum drift of both clocks over that time.
    pub fn promise_validity(&self) -> Duration {
        let drift = self.promise_duration.as_micros() as u64 * u64::from(self.max_drift_ppm) * 2
            / 1_000_000;
        self.promise_duration.saturating_sub(Duration::from_micros(drift))
    }

    /// Returns the maximum delay between checking a lease and starting the run that the check allowed.
    ///
    /// A runtime that would start the run later must drop it and report that the claim did not run.
    pub fn run_window(&self) -> Duration {
        self.fence_margin / 2
    }
}

/// A member of a ring.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RingMember {
    /// Identity of the daemon.
    pub member: MemberId,
    /// Failure domain of the daemon.
    pub domain: DomainName,
}

/// Definition of a ring in one epoch, as stored in its row of the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RingDefinition {
    /// Name of the ring.
    pub name: RingName,
    /// Number of this definition. The first is 1, and each change increments it by 1.
    pub epoch: u64,
    /// Members of the ring in this epoch.
    pub members: Vec<RingMember>,
}

impl RingDefinition {
    /// Returns whether `member` is a member in this epoch.
    pub fn contains(&self, member: &MemberId) -> bool {
        self.members.iter().any(|it| it.member == *member)
    }

    /// Returns the smallest number of members that forms a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the smallest number of members whose absence prevents a majority.
    pub fn blocking_count(&self) -> usize {
        self.members.len().div_ceil(2)
    }
}

/// A message between two members of a ring.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseMessage {
    /// Name of the ring.
    pub ring: RingName,
    /// Epoch of the sender's installed definition, or 0 if it has none.
    pub epoch: u64,
    /// Content of the message.
    pub body: LeaseBody,
}

/// Content of a [`LeaseMessage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseBody {
    /// Requests a promise.
    Ask {
        /// Time of sending on the requester's clock.
        sent: TimePoint,
        /// Fencing status of the other members as the requester knows it.
        #[serde(rename = "standing")]
        status: FencingStatus,
    },
    /// Replies to [`LeaseBody::Ask`].
    Reply {
        /// Time of sending copied from the request, on the requester's clock.
        sent: TimePoint,
        /// Whether the voter grants the promise.
        granted: bool,
        /// Fencing status of the other members as the voter knows it.
        #[serde(rename = "standing")]
        status: FencingStatus,
    },
    /// Requests the receiver's definition if its epoch is newer. The message also proves the sender's incarnation.
    Behind,
    /// Carries the definition of the sender's epoch.
    Definition(RingDefinition),
    /// Announces that the sender has permanently stopped acting as an owner.
    Leave,
}

/// Fencing status of the other members as one member knows it. All lists are empty in normal operation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FencingStatus {
    /// Members from which the sender has received no message for longer than its promise to them.
    pub suspects: Vec<MemberId>,
    /// Members that the sender has voted to fence.
    pub votes: Vec<MemberId>,
    /// Members that the sender knows to be fenced.
    pub fenced: Vec<MemberId>,
}
