//! Which hosts use an upstream whose capacity is too small for all of them.

use crate::host_view::{HostHash, HostView};
use crate::stable_hash::mix;
use crate::units::Timestamp;

/// Number of hosts assumed until the store has told it.
const ASSUMED_HOSTS: usize = 64;

/// The position of a host among the live ones at an upstream: hosts compute it alike, and it differs
/// from upstream to upstream.
///
/// ```
/// use oleander_core::host_view::HostHash;
/// use oleander_core::seat_order::seat_of;
///
/// let hosts = ["host-1", "host-2", "host-3"].map(|host| HostHash::new(&host.parse().unwrap()));
/// let mut seats = hosts.map(|host| seat_of(host, 7, &hosts));
/// seats.sort();
/// assert_eq!(seats, [0, 1, 2]);
/// ```
#[must_use]
pub fn seat_of(me: HostHash, upstream: u32, live: &[HostHash]) -> usize {
    let rank = |host: HostHash| (mix(u64::from(host.get()) << 32 | u64::from(upstream)), host);
    let mine = rank(me);
    live.iter().filter(|host| rank(**host) < mine).count()
}

/// The live hosts as one of them sees them, to find its position at several upstreams.
#[derive(Clone, Debug)]
pub struct HostSeats {
    me: HostHash,
    live: Vec<HostHash>,
    knows_others: bool,
}

impl HostSeats {
    /// The live hosts of a view.
    #[must_use]
    pub fn new(view: &HostView, now: Timestamp) -> Self {
        Self { me: view.me(), live: view.live(now), knows_others: view.knows_others() }
    }

    /// Number of hosts; an assumed one until the store has told it.
    #[must_use]
    pub fn count(&self) -> usize {
        if self.knows_others { self.live.len() } else { self.live.len().max(ASSUMED_HOSTS) }
    }

    /// The position of the host whose view it is.
    #[must_use]
    pub fn seat(&self, upstream: u32) -> usize {
        seat_of(self.me, upstream, &self.live)
    }
}
