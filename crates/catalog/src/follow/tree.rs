//! Who reads the head row, and from whom everyone else fetches a body.
//!
//! The members of a failure domain are ranked by a hash of their ids, the same everywhere. The
//! first [`READERS_PER_DOMAIN`] read the store; each other member fetches from the one at half
//! its rank, so that nobody serves more than [`FAN_OUT`] others.

use oleander_core::ids::{DomainName, HostId};
use oleander_ports::members::{Member, MemberState};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::sync::Arc;

/// Members of each failure domain that read the head row.
pub const READERS_PER_DOMAIN: usize = 2;
/// Members that fetch a body from the same member.
pub const FAN_OUT: usize = 2;

/// Where this process stands among the members.
pub struct TreePlace {
    host: HostId,
    domain: DomainName,
    seen: Option<Arc<Vec<Member>>>,
    ranked: Vec<SocketAddr>,
    rank: usize,
}

impl TreePlace {
    /// A process of this id in this failure domain; alone until members are seen.
    #[must_use]
    pub const fn new(host: HostId, domain: DomainName) -> Self {
        Self { host, domain, seen: None, ranked: Vec::new(), rank: 0 }
    }

    /// The id of this process.
    #[must_use]
    pub const fn host(&self) -> &HostId {
        &self.host
    }

    /// Takes in the members as they are seen now; cheap when they are the same as before.
    pub fn update(&mut self, members: &Arc<Vec<Member>>) {
        if self.seen.as_ref().is_some_and(|seen| Arc::ptr_eq(seen, members)) {
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
        self.seen = Some(Arc::clone(members));
    }

    /// Whether this process reads the head row for its failure domain.
    #[must_use]
    pub const fn is_reader(&self) -> bool {
        self.rank < READERS_PER_DOMAIN
    }

    /// From whom to fetch a body, nearest first; empty for a reader, which asks the store.
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
