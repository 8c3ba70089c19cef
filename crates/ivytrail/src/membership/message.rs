//! Messages of the membership protocol.

use serde::{Deserialize, Serialize};

use super::record::{MemberRecord, MemberState};
use crate::id::{MemberId, ServiceName};

/// One message between two members: news on its back, and what it asks or answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// What is asked or answered.
    pub body: GossipBody,
    /// Changes that the sender heard of lately.
    pub rumors: Vec<MemberRumor>,
}

/// What a message asks or answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GossipBody {
    /// Nothing; the message carries rumors only.
    News,
    /// Asks for an [`GossipBody::Ack`].
    Ping {
        /// Number of the probe at the sender.
        serial: u64,
        /// The sender's own record, so that the receiver can answer a member it has never heard of.
        sender: MemberRecord,
        /// Digest of the sender's member list.
        digest: u64,
    },
    /// Answers a [`GossipBody::Ping`].
    Ack {
        /// Number of the probe.
        serial: u64,
        /// The member that was probed.
        target: MemberId,
        /// Digest of the answering member's list.
        digest: u64,
    },
    /// Asks the receiver to probe `target`, which did not answer the sender.
    PingFor {
        /// Number of the probe at the sender.
        serial: u64,
        /// The member to probe.
        target: MemberId,
    },
    /// Asks for members of a service, from `offset` on in the order of their names.
    Lookup {
        /// The asking member's own record.
        sender: MemberRecord,
        /// Service whose members are wanted.
        service: ServiceName,
        /// Number of members to skip.
        offset: u32,
    },
    /// Answers a [`GossipBody::Lookup`].
    Found {
        /// The service.
        service: ServiceName,
        /// Members that run.
        records: Vec<MemberRecord>,
        /// Where to go on, when there is more.
        next_offset: Option<u32>,
    },
    /// Carries the digests of the groups of buckets.
    Groups {
        /// One digest per group.
        digests: Vec<u64>,
    },
    /// Carries the digests of the buckets of one group.
    Buckets {
        /// Number of the group.
        group: u16,
        /// One digest per bucket of the group.
        digests: Vec<u64>,
    },
    /// Carries the sender's records of buckets in which two lists differ.
    Records {
        /// Numbers of the buckets.
        buckets: Vec<u16>,
        /// Records, also of members whose run is over.
        records: Vec<MemberRecord>,
        /// Whether the receiver shall send back what it has newer or more.
        wants_answer: bool,
    },
}

/// A change on its way through the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberRumor {
    /// A member announced this of itself.
    Record(MemberRecord),
    /// A member does not answer; unless it refutes this with a greater version, it will be held dead.
    Suspect {
        /// The suspected member.
        member: MemberId,
        /// Version of its record that is suspected.
        version: u64,
    },
    /// A member did not refute a suspicion in time.
    Dead {
        /// The dead member.
        member: MemberId,
        /// Version of its record that is held dead.
        version: u64,
    },
}

impl MemberRumor {
    /// Returns the member that the rumor is about.
    pub fn member(&self) -> &MemberId {
        match self {
            MemberRumor::Record(record) => &record.member,
            MemberRumor::Suspect { member, .. } | MemberRumor::Dead { member, .. } => member,
        }
    }

    /// Returns whether the rumor is passed on without waiting for the next tick, because calls are at stake.
    pub(crate) fn is_urgent(&self) -> bool {
        match self {
            MemberRumor::Record(record) => {
                matches!(record.state, MemberState::Draining | MemberState::Left)
            }
            MemberRumor::Dead { .. } => true,
            MemberRumor::Suspect { .. } => false,
        }
    }

    /// Returns about how many bytes the rumor takes in a message.
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
