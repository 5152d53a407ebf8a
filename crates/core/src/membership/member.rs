//! Members and rumors, as the rest of the system sees them.

use crate::ids::{DomainName, HostId, Incarnation, RegionName, Revision, UpstreamName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Serves callers.
    Entry,
    /// Holds usage records and flushes batches.
    Ledger,
    /// Publishes the catalog, drives roll-outs and gives orders.
    Steward,
}

/// How a member is seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It finishes its work and takes no more.
    Leaving,
    /// It did not answer lately.
    Suspect,
    /// It is gone; only a newer incarnation brings it back.
    Dead,
}

/// One process of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its id.
    pub id: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// What it does.
    pub role: MemberRole,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its peer port, TCP and UDP alike.
    pub address: SocketAddr,
    /// How it is seen.
    pub state: MemberState,
    /// The catalog revision that it last said to have in force.
    pub revision: Revision,
}

/// Digest of a catalog body: SHA-256 in hex.
pub type BodyDigest = Arc<str>;

/// A fact that spreads to every process and never goes back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rumor {
    /// The catalog head moved to this revision.
    Head {
        /// The revision.
        revision: Revision,
        /// Digest of its body.
        digest: BodyDigest,
    },
    /// An upstream is leaving.
    Leaving {
        /// The upstream.
        upstream: UpstreamName,
        /// The incarnation that leaves.
        incarnation: Incarnation,
    },
    /// An upstream is back with a newer incarnation.
    Joined {
        /// The upstream.
        upstream: UpstreamName,
        /// The incarnation that joined.
        incarnation: Incarnation,
    },
}
