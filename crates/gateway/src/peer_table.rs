//! Gossip addresses of other hosts, with their regions.

use oleander_core::ids::RegionName;
use oleander_core::stable_hash::hash_parts;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Maximum number of hosts; above what deployments have.
const MAX_PEERS: usize = 1_024;

/// Compact id of a region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionHash(u32);

impl RegionHash {
    /// Hashes a region's name.
    #[must_use]
    pub fn new(region: &RegionName) -> Self {
        Self(hash_parts(&[region.as_str()]) as u32)
    }
}

/// Gossip addresses of other hosts.
///
/// ```
/// use oleander_core::ids::RegionName;
/// use oleander_gateway::peer_table::{PeerTable, RegionHash};
///
/// let hash = |name: &str| RegionHash::new(&RegionName::new(name).unwrap());
/// let peers = PeerTable::new();
/// peers.add("127.0.0.1:7000".parse().unwrap(), hash("puget"));
/// peers.add("127.0.0.1:7001".parse().unwrap(), hash("inland"));
/// assert_eq!(peers.in_region(hash("inland"), 0.1).unwrap().port(), 7001);
/// assert_eq!(peers.in_region(hash("willamette"), 0.1), None);
/// assert!(peers.any(0.9).is_some());
/// ```
#[derive(Debug, Default)]
pub struct PeerTable(Mutex<BTreeMap<SocketAddr, RegionHash>>);

impl PeerTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, RegionHash>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a host of a region.
    pub fn add(&self, address: SocketAddr, region: RegionHash) {
        let mut peers = self.lock();
        if peers.len() < MAX_PEERS || peers.contains_key(&address) {
            peers.insert(address, region);
        }
    }

    /// Whether a host is known.
    #[must_use]
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.lock().contains_key(&address)
    }

    /// Whether no other host is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// The host of a region at a relative position `point` in 0..1.
    #[must_use]
    pub fn in_region(&self, region: RegionHash, point: f64) -> Option<SocketAddr> {
        let peers = self.lock();
        let candidates =
            || peers.iter().filter(|(_, found)| **found == region).map(|(peer, _)| *peer);
        candidates().nth((point * candidates().count() as f64) as usize)
    }

    /// The host of any region at a relative position `point` in 0..1.
    #[must_use]
    pub fn any(&self, point: f64) -> Option<SocketAddr> {
        let peers = self.lock();
        peers.keys().nth((point * peers.len() as f64) as usize).copied()
    }
}
