//! Selection of the next member to probe, and probes in flight.

use crate::ids::HostId;
use crate::membership::message::ProbeNumber;
use crate::membership::record::MemberRecord;
use crate::membership::table::MemberTable;
use crate::units::Timestamp;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::collections::VecDeque;

/// Network distance to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Distance {
    SameDomain,
    SameRegion,
    OtherRegion,
}

/// Distances of successive probes: half go to the own failure domain and an eighth to other
/// regions, because links between regions are slow and billed by volume.
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

/// Round-robin over the members of each distance, in shuffled order.
#[derive(Clone, Debug, Default)]
pub struct ProbeSchedule {
    step: usize,
    queues: [VecDeque<HostId>; 3],
}

impl ProbeSchedule {
    /// The member to probe next; `None` when there is no other member.
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

/// A probe that awaits its ack.
#[derive(Clone, Debug)]
pub struct ProbeInFlight {
    /// Probe number.
    pub number: ProbeNumber,
    /// The probed member.
    pub target: HostId,
    /// When the first ping was sent.
    pub started: Timestamp,
    /// Number of pings sent so far.
    pub sent: u32,
    /// Whether the ack has arrived.
    pub answered: bool,
}

/// An indirect probe on behalf of another process.
#[derive(Clone, Debug)]
pub struct RelayedProbe {
    /// Number of the ping that this process sent.
    pub number: ProbeNumber,
    /// Address of the process that requested the probe.
    pub requester: std::net::SocketAddr,
    /// Probe number of the requester.
    pub requester_number: ProbeNumber,
    /// When the request arrived.
    pub started: Timestamp,
}

/// Picks up to `count` distinct items at random.
pub fn pick<T: Clone>(items: &[T], count: usize, rng: &mut StdRng) -> Vec<T> {
    let mut left: Vec<usize> = (0..items.len()).collect();
    let mut picked = Vec::with_capacity(count.min(items.len()));
    while picked.len() < count && !left.is_empty() {
        let index = left.swap_remove(rng.random_range(0..left.len()));
        picked.push(items[index].clone());
    }
    picked
}
