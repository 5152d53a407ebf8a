//! Timing and limits of the membership protocol.

use std::time::Duration;

/// Maximum size of the updates in one datagram, in bytes.
pub const MAX_UPDATE_BYTES: usize = 1_100;

/// Maximum number of members in the table; further ones are ignored.
pub const MAX_MEMBERS: usize = 2_048;

/// Maximum number of upstreams whose last leave or join is kept.
pub const MAX_UPSTREAM_RUMORS: usize = 4_096;

/// Maximum number of tombstones of removed members.
pub const MAX_TOMBSTONES: usize = 4_096;

/// Timing of the membership protocol; must be the same on every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Interval between probes.
    pub probe_interval: Duration,
    /// Time without an ack after which a probe is repeated, directly and through other members.
    pub probe_repeat: Duration,
    /// Number of members that are asked for an indirect probe at each repeat.
    pub indirect_probes: usize,
    /// Time after which a suspect that has not refuted the suspicion is declared dead.
    pub suspicion: Duration,
    /// Interval between gossip rounds while updates are queued.
    pub gossip_interval: Duration,
    /// Number of members that each gossip round is sent to.
    pub gossip_fanout: usize,
    /// Each update is sent this many times the decimal logarithm of the number of members.
    pub retransmit_factor: u32,
    /// Interval between anti-entropy syncs with a random peer.
    pub sync_interval: Duration,
    /// Interval between pings of dead members and of bootstrap addresses without a live member.
    pub rejoin_interval: Duration,
    /// Time for which the record of a dead member is kept and synced.
    pub dead_retention: Duration,
    /// Time without any message from a peer after which this process is out of contact.
    pub contact_timeout: Duration,
    /// Gap between ticks from which on this process is considered to have been paused.
    pub pause_gap: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probe_repeat: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion: Duration::from_secs(6),
            gossip_interval: Duration::from_millis(200),
            gossip_fanout: 2,
            retransmit_factor: 6,
            sync_interval: Duration::from_secs(10),
            rejoin_interval: Duration::from_secs(5),
            dead_retention: Duration::from_secs(2 * 3_600),
            contact_timeout: Duration::from_secs(5),
            pause_gap: Duration::from_secs(2),
        }
    }
}
