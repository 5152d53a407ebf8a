//! Whom to probe next, and the probe in flight.

use crate::ids::HostId;
use crate::membership::message::ProbeNumber;
use crate::membership::record::MemberRecord;
use crate::membership::table::MemberTable;
use crate::units::Timestamp;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::collections::VecDeque;

/// How near a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Distance {
    SameDomain,
    SameRegion,
    OtherRegion,
}

/// The order of distances in which probes are sent: half in the failure domain, an eighth to
/// other regions, whose links are slow and paid by volume.
const PROBE_CYCLE: [Distance; 8] = [
    Distance::SameDomain,
    Distance::SameRegion,
    Distance::SameDomain,
    Distance::SameRegion,
    Distance::SameDomain,
    Distance::OtherRegion,
    Distance::SameDomain,
    Distance::SameRegion,
];

fn distance(me: &MemberRecord, other: &MemberRecord) -> Distance {
    match () {
        () if me.region != other.region => Distance::OtherRegion,
        () if me.domain != other.domain => Distance::SameRegion,
        () => Distance::SameDomain,
    }
}

/// Goes round the members of each distance in a shuffled order.
#[derive(Clone, Debug, Default)]
pub struct ProbeSchedule {
    step: usize,
    queues: [VecDeque<HostId>; 3],
}

impl ProbeSchedule {
    /// The member to probe next; `None` when there is no other.
    pub fn next(
        &mut self,
        me: &MemberRecord,
        table: &MemberTable,
        rng: &mut StdRng,
    ) -> Option<HostId> {
        for _ in 0..PROBE_CYCLE.len() {
            let wanted = PROBE_CYCLE[self.step % PROBE_CYCLE.len()];
            self.step += 1;
            if let Some(id) = self.next_at(wanted, me, table, rng) {
                return Some(id);
            }
        }
        None
    }

    fn next_at(
        &mut self,
        wanted: Distance,
        me: &MemberRecord,
        table: &MemberTable,
        rng: &mut StdRng,
    ) -> Option<HostId> {
        let queue = &mut self.queues[wanted as usize];
        let is_target = |id: &HostId| {
            table
                .get(id)
                .is_some_and(|e| e.record.is_present() && distance(me, &e.record) == wanted)
        };
        while let Some(id) = queue.pop_front() {
            if is_target(&id) {
                return Some(id);
            }
        }
        let mut ids: Vec<HostId> = table
            .present()
            .filter(|entry| distance(me, &entry.record) == wanted)
            .map(|entry| entry.record.id.clone())
            .collect();
        ids.shuffle(rng);
        queue.extend(ids);
        queue.pop_front()
    }
}

/// A probe whose answer is awaited.
#[derive(Clone, Debug)]
pub struct ProbeInFlight {
    /// Its number.
    pub number: ProbeNumber,
    /// Who is probed.
    pub target: HostId,
    /// When the first ping left.
    pub started: Timestamp,
    /// How often the ping was sent.
    pub sent: u32,
    /// Whether the answer came.
    pub answered: bool,
}

/// A ping that was sent for another process.
#[derive(Clone, Debug)]
pub struct RelayedProbe {
    /// Number of this process's own ping.
    pub number: ProbeNumber,
    /// Who asked.
    pub asker: std::net::SocketAddr,
    /// The asker's number.
    pub asker_number: ProbeNumber,
    /// When it was asked.
    pub started: Timestamp,
}

/// Picks up to `count` different items.
pub fn pick<T: Clone>(items: &[T], count: usize, rng: &mut StdRng) -> Vec<T> {
    let mut left: Vec<usize> = (0..items.len()).collect();
    let mut picked = Vec::with_capacity(count.min(items.len()));
    while picked.len() < count && !left.is_empty() {
        let index = left.swap_remove(rng.random_range(0..left.len()));
        picked.push(items[index].clone());
    }
    picked
}
