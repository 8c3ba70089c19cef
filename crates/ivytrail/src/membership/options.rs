//! Options of the membership protocol.

use std::time::Duration;

/// Periods and bounds of the membership protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipOptions {
    /// Time between two probes of this member.
    pub probe_period: Duration,
    /// Time after which a silent probe is repeated through other members.
    pub indirect_probe_delay: Duration,
    /// Number of other members through which a silent probe is repeated.
    pub indirect_probes: usize,
    /// Time that a suspected member has to refute.
    pub suspicion_timeout: Duration,
    /// The same when a large part of a failure domain is suspected at once: a cut is more likely than many deaths.
    pub mass_suspicion_timeout: Duration,
    /// Number of members that hear a rumor in one tick.
    pub fanout: usize,
    /// Number of times that this member passes on one rumor.
    pub rumor_sends: u32,
    /// Time between two comparisons of the member list with another member.
    pub repair_period: Duration,
    /// Time for which the record of a member whose run is over is kept.
    pub tombstone_ttl: Duration,
    /// Time between two probes of members that are held dead, which may have been cut off only.
    pub revival_probe_period: Duration,
    /// Average time between two reads of other members' rows in the platform's table, which join parts of the fleet that
    /// have never heard of each other.
    pub row_read_period: Duration,
    /// Bytes per second that this member sends for rumors and repairs.
    pub bytes_per_s: u32,
    /// Bytes of one message of records at most.
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
