//! Selects the readers of the head row and the peers from which the others fetch a body.
//!
//! The members of a failure domain are ranked by a hash of their ids, identically in every process.
//! The first [`READERS_PER_DOMAIN`] read the store. Each other member fetches from the one at rank
//! `(rank - READERS_PER_DOMAIN) / FAN_OUT`, so that no member serves more than [`FAN_OUT`] others.

use oleander_core::ids::{DomainName, HostId};
use oleander_ports::members::{Member, MemberState};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of members per failure domain that read the head row.
pub const READERS_PER_DOMAIN: usize = 2;
/// Maximum number of members that fetch a body from the same member.
pub const FAN_OUT: usize = 2;

/// Position of this process in the tree of its failure domain.
pub struct TreePosition {
    host: HostId,
    domain: DomainName,
    known: Option<Arc<Vec<Member>>>,
    ranked: Vec<SocketAddr>,
    rank: usize,
}

impl TreePosition {
    /// Creates the position of a process that knows no other members yet.
    #[must_use]
    pub const fn new(host: HostId, domain: DomainName) -> Self {
        Self { host, domain, known: None, ranked: Vec::new(), rank: 0 }
    }

    /// The id of this process.
    #[must_use]
    pub const fn host(&self) -> &HostId {
        &self.host
    }

    /// Updates the position from the current members. Cheap if they have not changed.
    pub fn update(&mut self, members: &Arc<Vec<Member>>) {
        if self.known.as_ref().is_some_and(|known| Arc::ptr_eq(known, members)) {
            return;
        }
        let alive = |member: &&Member| {
            member.domain == self.domain
                && (member.state == MemberState::Alive || member.id == self.host)
        };
        let mut ranked: Vec<_> = members.iter().filter(alive).collect();
        ranked.sort_by_cached_key(|member| rank_key(&self.domain, &member.id));
        let own = ranked.iter().position(|member| member.id == self.host);
        self.rank = own.unwrap_or(0);
        self.ranked = ranked.into_iter().map(|member| member.address).collect();
        self.known = Some(Arc::clone(members));
    }

    /// Whether this process is a reader of the head row.
    #[must_use]
    pub const fn is_reader(&self) -> bool {
        self.rank < READERS_PER_DOMAIN
    }

    /// Peers to fetch a body from, nearest first. Empty for a reader, which uses the store.
    #[must_use]
    pub fn ancestors(&self) -> Vec<SocketAddr> {
        let mut ancestors = Vec::new();
        let mut rank = self.rank;
        while rank >= READERS_PER_DOMAIN {
            rank = (rank - READERS_PER_DOMAIN) / FAN_OUT;
            ancestors.extend(self.ranked.get(rank));
        }
        ancestors
    }
}

fn rank_key(domain: &DomainName, host: &HostId) -> [u8; 32] {
    Sha256::digest(format!("{domain}/{host}")).into()
}
