//! Members and rumors in the form that the other modules use.

use crate::ids::{DomainName, HostId, Incarnation, RegionName, Revision, UpstreamName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Serves client requests.
    Entry,
    /// Replicates usage records and flushes them in batches.
    Ledger,
    /// Publishes the catalog, drives rollouts and sends orders.
    Steward,
}

/// Liveness of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It finishes its in-flight work and accepts no new work.
    Leaving,
    /// It did not answer the last probe.
    Suspect,
    /// It was declared dead or has left. Only a newer record brings it back: a refutation of its
    /// death or a newer incarnation.
    Dead,
}

/// One process of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Host id.
    pub id: HostId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Role.
    pub role: MemberRole,
    /// Region.
    pub region: RegionName,
    /// Failure domain.
    pub domain: DomainName,
    /// Peer address, for both TCP and UDP.
    pub address: SocketAddr,
    /// Liveness.
    pub state: MemberState,
    /// The catalog revision that it last reported to have in force.
    pub revision: Revision,
}

/// Digest of a catalog body: SHA-256 in hex.
pub type BodyDigest = Arc<str>;

/// A fact that is gossiped to every process and is never undone by an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rumor {
    /// The catalog head moved to this revision.
    Head {
        /// The new revision.
        revision: Revision,
        /// Digest of the catalog body.
        digest: BodyDigest,
    },
    /// An upstream is leaving.
    Leaving {
        /// The upstream.
        upstream: UpstreamName,
        /// The leaving incarnation.
        incarnation: Incarnation,
    },
    /// An upstream joined again with a newer incarnation.
    Joined {
        /// The upstream.
        upstream: UpstreamName,
        /// The new incarnation.
        incarnation: Incarnation,
    },
}
