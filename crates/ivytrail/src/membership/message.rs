//! Messages of the membership protocol.

use serde::{Deserialize, Serialize};

use super::record::{MemberRecord, MemberState};
use crate::id::{MemberId, ServiceName};

/// Message between two members, with piggybacked rumors.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Request or reply.
    pub body: GossipBody,
    /// Recent changes known to the sender.
    pub rumors: Vec<MemberRumor>,
}

/// Request or reply of a [`GossipMessage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GossipBody {
    /// Carries only rumors.
    News,
    /// Requests an [`GossipBody::Ack`].
    Ping {
        /// Serial number of the probe at the sender.
        serial: u64,
        /// Record of the sender, so that the receiver can reply to a member that it does not know yet.
        sender: MemberRecord,
        /// Digest of the sender's member list.
        digest: u64,
    },
    /// Replies to a [`GossipBody::Ping`].
    Ack {
        /// Serial number copied from the probe.
        serial: u64,
        /// Member that was probed.
        target: MemberId,
        /// Digest of the replying member's list.
        digest: u64,
    },
    /// Requests the receiver to probe `target`, which did not answer the sender directly.
    PingFor {
        /// Serial number of the probe at the sender.
        serial: u64,
        /// Member to probe.
        target: MemberId,
    },
    /// Requests members of a service, ordered by instance name.
    Lookup {
        /// Record of the sender.
        sender: MemberRecord,
        /// Service whose members are requested.
        service: ServiceName,
        /// Number of members to skip.
        offset: u32,
    },
    /// Replies to a [`GossipBody::Lookup`].
    Found {
        /// Service that was requested.
        service: ServiceName,
        /// Running members of the service.
        records: Vec<MemberRecord>,
        /// Offset of the next request, if there are more members.
        next_offset: Option<u32>,
    },
    /// Carries the digests of all bucket groups, to start a repair.
    Groups {
        /// One digest per group.
        digests: Vec<u64>,
    },
    /// Carries the bucket digests of one group that differs.
    Buckets {
        /// Index of the group.
        group: u16,
        /// One digest per bucket of the group.
        digests: Vec<u64>,
    },
    /// Carries the sender's records in buckets that differ.
    Records {
        /// Indexes of the buckets.
        buckets: Vec<u16>,
        /// Records in these buckets, including inactive members.
        records: Vec<MemberRecord>,
        /// Whether the receiver is to reply with records that are newer there or missing here.
        wants_answer: bool,
    },
}

/// Membership change disseminated through the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberRumor {
    /// A record as its own member announced it.
    Record(MemberRecord),
    /// A member did not answer; it is declared dead unless it refutes this with a greater version.
    Suspect {
        /// Suspected member.
        member: MemberId,
        /// Version of the record to which the suspicion applies.
        version: u64,
    },
    /// A member was declared dead because it did not refute a suspicion in time.
    Dead {
        /// Dead member.
        member: MemberId,
        /// Version of the record to which the death applies.
        version: u64,
    },
}

impl MemberRumor {
    /// Returns the member to which the rumor refers.
    pub fn member(&self) -> &MemberId {
        match self {
            MemberRumor::Record(record) => &record.member,
            MemberRumor::Suspect { member, .. } | MemberRumor::Dead { member, .. } => member,
        }
    }

    /// Returns whether the rumor is sent on without waiting for the next tick, because calls to the member may fail.
    pub(crate) fn is_urgent(&self) -> bool {
        match self {
            MemberRumor::Record(record) => {
                matches!(record.state, MemberState::Draining | MemberState::Left)
            }
            MemberRumor::Dead { .. } => true,
            MemberRumor::Suspect { .. } => false,
        }
    }

    /// Returns the approximate encoded size of the rumor in bytes.
    pub(crate) fn encoded_len(&self) -> usize {
        const VERDICT_OVERHEAD_BYTES: usize = 30;
        match self {
            MemberRumor::Record(record) => record.encoded_len(),
            MemberRumor::Suspect { member, .. } | MemberRumor::Dead { member, .. } => {
                VERDICT_OVERHEAD_BYTES + member.instance.as_str().len()
            }
        }
    }
}
