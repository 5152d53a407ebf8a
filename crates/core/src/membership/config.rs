//! Timing and bounds of the membership.

use std::time::Duration;

/// Most bytes of news in one datagram.
pub const MAX_UPDATE_BYTES: usize = 1_100;

/// Most members that are held; more are not learned.
pub const MAX_MEMBERS: usize = 2_048;

/// Most upstreams whose leaving and joining is remembered.
pub const MAX_UPSTREAM_RUMORS: usize = 4_096;

/// Most forgotten members whose last incarnation is remembered.
pub const MAX_TOMBSTONES: usize = 4_096;

/// Timing of the membership. The same on every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Time from one probe to the next.
    pub probe_interval: Duration,
    /// Time without an answer after which a probe is repeated, also through others.
    pub probe_repeat: Duration,
    /// How many others are asked to probe at each repeat.
    pub indirect_probes: usize,
    /// Time from suspicion to death without a refutation.
    pub suspicion: Duration,
    /// Time from one round of gossip to the next while there is news.
    pub gossip_interval: Duration,
    /// How many members each round of gossip goes to.
    pub gossip_fanout: usize,
    /// Each piece of news is sent this many times the decimal logarithm of the members.
    pub retransmit_factor: u32,
    /// Time from one comparison with a peer to the next.
    pub sync_interval: Duration,
    /// Time from one attempt to reach a dead or only listed member to the next.
    pub rejoin_interval: Duration,
    /// Time for which a dead member's record is kept and compared.
    pub forget_after: Duration,
    /// Time without any word from a peer after which the process is out of contact.
    pub contact_timeout: Duration,
    /// A gap between ticks that means that this process was paused.
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
            forget_after: Duration::from_secs(2 * 3_600),
            contact_timeout: Duration::from_secs(5),
            pause_gap: Duration::from_secs(2),
        }
    }
}
