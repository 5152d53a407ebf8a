//! Membership of the system's own processes, and what they tell each other.

use oleander_core::ids::{DomainName, HostId, Incarnation, RegionName, Revision, UpstreamName};
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

/// Receives rumors in the order in which this process learns them, each once.
pub type RumorListener = Arc<dyn Fn(&Rumor) + Send + Sync>;

/// The membership as one process sees it.
pub trait MembershipPort: Send + Sync {
    /// Every member but the dead, this process included, in order of id.
    fn members(&self) -> Arc<Vec<Member>>;

    /// Spreads a fact. One that is older than what is known does nothing.
    fn announce(&self, rumor: Rumor);

    /// Calls `listener` for each rumor from now on, and for those that are known already.
    fn listen(&self, listener: RumorListener);

    /// Says which catalog revision this process has in force.
    fn set_revision(&self, revision: Revision);

    /// Says that this process is leaving.
    fn leave(&self);

    /// Whether any peer was heard within the membership's timeout. A process that knows of no
    /// other member is in contact.
    fn in_contact(&self) -> bool;
}
