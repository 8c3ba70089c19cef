//! Options of the membership protocol.

use std::time::Duration;

/// Intervals, timeouts and limits of the membership protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipOptions {
    /// Interval between two probes sent by this member, and the timeout of a probe.
    pub probe_period: Duration,
    /// Time without an answer after which a probe is repeated through other members.
    pub indirect_probe_delay: Duration,
    /// Number of members through which an unanswered probe is repeated.
    pub indirect_probes: usize,
    /// Time in which a suspected member must refute.
    pub suspicion_timeout: Duration,
    /// Suspicion timeout while a large part of a failure domain is suspected: a network partition is then more likely
    /// than many failures.
    pub mass_suspicion_timeout: Duration,
    /// Number of members to which rumors are sent in one tick.
    pub fanout: usize,
    /// Number of times that this member sends one rumor.
    pub rumor_sends: u32,
    /// Minimum interval between two repairs that this member starts.
    pub repair_period: Duration,
    /// Retention period of the record of an inactive member.
    pub tombstone_ttl: Duration,
    /// Interval between probes of dead members, which may only have been partitioned.
    pub revival_probe_period: Duration,
    /// Average interval between reads of other members' rows in the platform's table, which connect parts of the
    /// fleet that do not know each other.
    pub row_read_period: Duration,
    /// Maximum rate of rumors and repairs sent by this member, in bytes per second.
    pub bytes_per_s: u32,
    /// Maximum size of the records or rumors in one message, in bytes.
    pub max_message_bytes: usize,
}

impl Default for MembershipOptions {
    fn default() -> MembershipOptions {
        MembershipOptions {
            probe_period: Duration::from_secs(1),
            indirect_probe_delay: Duration::from_millis(400),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(3),
            mass_suspicion_timeout: Duration::from_secs(30),
            fanout: 3,
            rumor_sends: 6,
            repair_period: Duration::from_secs(2),
            tombstone_ttl: Duration::from_secs(3_600),
            revival_probe_period: Duration::from_secs(5),
            row_read_period: Duration::from_secs(600),
            bytes_per_s: 6_000,
            max_message_bytes: 16_000,
        }
    }
}
