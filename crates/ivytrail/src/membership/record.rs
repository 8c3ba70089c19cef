//! What the fleet knows of one member, and which of two records is the newer.

use std::cmp::Ordering;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::{
    ContentDigest, DomainName, InstanceName, MemberId, ServiceName, rendezvous_weight,
};

/// Number of buckets into which instances fall, for digests of the member list.
pub(crate) const BUCKET_COUNT: usize = 1024;

/// Bytes of an encoded record beside its names.
const RECORD_OVERHEAD_BYTES: usize = 28;

/// State of a member.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum MemberState {
    /// The daemon runs; its backend server is not ready.
    Starting,
    /// The backend server takes work.
    Serving,
    /// The backend server finishes its work and takes none.
    Draining,
    /// The daemon has left of its own accord.
    Left,
    /// Other members found the daemon dead.
    Dead,
}

impl MemberState {
    /// Returns whether the member's run is over.
    pub fn is_inactive(self) -> bool {
        matches!(self, MemberState::Left | MemberState::Dead)
    }
}

/// One member as it announced itself, or as others found it.
///
/// Records of one instance are ordered by incarnation, then by version, then a verdict of death comes after what the
/// member said of itself. Members keep the greatest record they have seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The member.
    pub member: MemberId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Address at which its daemon takes messages of other daemons, e.g. `10.0.3.7:7400`.
    pub peer_address: String,
    /// Service that its backend server has announced.
    pub service: Option<ServiceName>,
    /// Its state.
    pub state: MemberState,
    /// Grows with each change that the member itself announces.
    pub version: u64,
    /// Requests that its backend server runs at once.
    pub slots: u32,
}

impl MemberRecord {
    /// Returns whether this record replaces `other`, which is of the same instance.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        self.order_key().cmp(&other.order_key()) == Ordering::Greater
    }

    /// Returns about how many bytes the record takes in a message.
    pub(crate) fn encoded_len(&self) -> usize {
        RECORD_OVERHEAD_BYTES
            + self.member.instance.as_str().len()
            + self.domain.as_str().len()
            + self.peer_address.len()
            + self.service.as_ref().map_or(0, |it| it.as_str().len())
    }

    /// Returns a digest of what orders the record; two members with equal digests hold equal records.
    pub(crate) fn digest(&self) -> u64 {
        let base = instance_hash(&self.member.instance);
        mix(mix(base ^ mix(self.member.incarnation)).wrapping_add(self.version))
    }

    fn order_key(&self) -> (u64, u64, bool) {
        (self.member.incarnation, self.version, self.state == MemberState::Dead)
    }
}

/// Returns the bucket of `instance`; every build and process agrees on it.
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
