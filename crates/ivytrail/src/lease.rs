//! Ownership leases among the members of a ring.
//!
//! A ring is a named set of daemons, fixed by an epoch. Its definition is one row of the platform's table and changes
//! by compare-and-set, one member at a time. Within an epoch the members need no platform: they promise each other not
//! to fence ([`LeaseBody::Ask`], [`LeaseBody::Reply`]), and a member that holds unexpired promises of a majority holds
//! its lease. A silent member is fenced by the votes of a majority, whose promises to it have expired.
//!
//! The owner of a key is the first member in rendezvous order that is not fenced. It acts only while it holds its own
//! lease, so a key never has two owners: any majority of promises and any majority of fence votes share a voter.
//! `docs/design/0005-lease-rings.md` has the argument, also across epochs.

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

/// Times and sizes of a ring. All members of a ring must use the same values.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseOptions {
    /// Length of a promise on the voter's clock, counted from its answer.
    pub promise_duration: Duration,
    /// Time between two rounds of asking for promises.
    pub renewal_interval: Duration,
    /// Time that a voter waits after its promise has expired before it votes to fence. It covers the pause between
    /// the check of a lease and the start of the run; see [`LeaseOptions::run_window`].
    pub fence_margin: Duration,
    /// Bound on the rate error of any member's monotonic clock, in parts per million.
    pub max_drift_ppm: u32,
    /// Greatest number of members that [`LeaseRing::proposed_change`] lets a ring grow to.
    pub max_members: usize,
    /// Time for which replaced epochs are remembered. It must reach [`crate::claim::ClaimOptions::retention`].
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
    /// Returns how long the asker may rely on a promise, counted on its own clock from the sending of the request.
    ///
    /// It is shorter than [`LeaseOptions::promise_duration`] by the drift that both clocks may have over that time.
    pub fn promise_validity(&self) -> Duration {
        let drift = self.promise_duration.as_micros() as u64 * u64::from(self.max_drift_ppm) * 2
            / 1_000_000;
        self.promise_duration.saturating_sub(Duration::from_micros(drift))
    }

    /// Returns the longest time between the check of a lease and the start of the run that the check allowed.
    ///
    /// A shell that executes the start later than this must drop it and report the claim as not run.
    pub fn run_window(&self) -> Duration {
        self.fence_margin / 2
    }
}

/// A member of a ring.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RingMember {
    /// The daemon.
    pub member: MemberId,
    /// Its failure domain.
    pub domain: DomainName,
}

/// One epoch of a ring: the value of its row in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RingDefinition {
    /// Name of the ring.
    pub name: RingName,
    /// Number of this definition. The first one is 1; each change adds 1.
    pub epoch: u64,
    /// The members.
    pub members: Vec<RingMember>,
}

impl RingDefinition {
    /// Returns whether `member` belongs to this epoch.
    pub fn contains(&self, member: &MemberId) -> bool {
        self.members.iter().any(|it| it.member == *member)
    }

    /// Returns the smallest number of members that is more than half of them.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the smallest number of members without which no majority exists.
    pub fn blocking_count(&self) -> usize {
        self.members.len().div_ceil(2)
    }
}

/// A message between two members of a ring.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseMessage {
    /// Name of the ring.
    pub ring: RingName,
    /// Epoch that the sender has installed; 0 when it has none.
    pub epoch: u64,
    /// What it says.
    pub body: LeaseBody,
}

/// What a [`LeaseMessage`] says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseBody {
    /// Asks for a promise.
    Ask {
        /// When the asker sent it, on the asker's clock.
        sent: TimePoint,
        /// The asker's view of the others.
        #[serde(rename = "standing")]
        status: FencingStatus,
    },
    /// Answers [`LeaseBody::Ask`].
    Reply {
        /// The time from the question, on the asker's clock.
        sent: TimePoint,
        /// Whether the promise is given.
        granted: bool,
        /// The voter's view of the others.
        #[serde(rename = "standing")]
        status: FencingStatus,
    },
    /// Asks for the definition of the receiver's epoch, if it is newer. It also shows the sender's incarnation.
    Behind,
    /// Hands over the definition of the sender's epoch.
    Definition(RingDefinition),
    /// Says that the sender has stopped acting as an owner for good.
    Leave,
}

/// One member's view of the others. All lists are empty in calm.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FencingStatus {
    /// Members that the sender has not heard from for longer than its promise to them.
    pub suspects: Vec<MemberId>,
    /// Members that the sender has voted to fence.
    pub votes: Vec<MemberId>,
    /// Members that the sender knows to be fenced.
    pub fenced: Vec<MemberId>,
}
