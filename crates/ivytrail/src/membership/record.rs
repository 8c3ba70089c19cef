//! Record of one member, and the order of two records of the same instance.

use std::cmp::Ordering;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::{
    ContentDigest, DomainName, InstanceName, MemberId, ServiceName, rendezvous_weight,
};

/// Number of buckets into which instances are hashed, for digests of the member list.
pub(crate) const BUCKET_COUNT: usize = 1024;

/// Approximate encoded size of a record without its names, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 28;

/// State of a member.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum MemberState {
    /// The daemon runs, but its backend server is not ready.
    Starting,
    /// The backend server accepts requests.
    Serving,
    /// The backend server completes its requests and accepts no new ones.
    Draining,
    /// The daemon has left the fleet voluntarily.
    Left,
    /// Other members have declared the daemon dead.
    Dead,
}

impl MemberState {
    /// Returns whether the member has left or was declared dead.
    pub fn is_inactive(self) -> bool {
        matches!(self, MemberState::Left | MemberState::Dead)
    }
}

/// A member as announced by itself, or as declared dead by others.
///
/// Records of one instance are ordered by incarnation, then by version; at the same version, a declared death is
/// later than what the member announced. Members keep the latest record that they have received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Identity of the member.
    pub member: MemberId,
    /// Failure domain of the member.
    pub domain: DomainName,
    /// Address at which the daemon accepts messages from other daemons, e.g. `10.0.3.7:7400`.
    pub peer_address: String,
    /// Service that the backend server has announced.
    pub service: Option<ServiceName>,
    /// State of the member.
    pub state: MemberState,
    /// Version of the record, incremented by each change that the member itself announces.
    pub version: u64,
    /// Number of requests that the backend server runs concurrently.
    pub slots: u32,
}

impl MemberRecord {
    /// Returns whether this record is later than `other`, a record of the same instance.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        self.order_key().cmp(&other.order_key()) == Ordering::Greater
    }

    /// Returns the approximate encoded size of the record in bytes.
    pub(crate) fn encoded_len(&self) -> usize {
        RECORD_OVERHEAD_BYTES
            + self.member.instance.as_str().len()
            + self.domain.as_str().len()
            + self.peer_address.len()
            + self.service.as_ref().map_or(0, |it| it.as_str().len())
    }

    /// Returns a digest of the instance, incarnation and version; two running members' records with equal digests are
    /// equal.
    pub(crate) fn digest(&self) -> u64 {
        let base = instance_hash(&self.member.instance);
        mix(mix(base ^ mix(self.member.incarnation)).wrapping_add(self.version))
    }

    fn order_key(&self) -> (u64, u64, bool) {
        (self.member.incarnation, self.version, self.state == MemberState::Dead)
    }
}

/// Returns the bucket of `instance`, which is the same in every build and process.
pub(crate) fn bucket_of(instance: &InstanceName) -> usize {
    (instance_hash(instance) % BUCKET_COUNT as u64) as usize
}

fn instance_hash(instance: &InstanceName) -> u64 {
    rendezvous_weight(instance, &ContentDigest([0; 32]))
}

fn mix(value: u64) -> u64 {
    let mixed = (value ^ (value >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}
