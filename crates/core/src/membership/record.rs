//! What is spread about one member, and which of two records is newer.

use crate::ids::{DomainName, HostId, Incarnation, RegionName, Revision};
use crate::membership::member::{Member, MemberRole, MemberState};
use crate::stable_hash::{hash_parts, mix};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// How a member stands. A later one wins over an earlier one of the same refutation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It did not answer lately.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It said itself that it is gone.
    Left,
}

/// Age of a record: the higher is the newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordVersion {
    /// Incarnation of the process: its start.
    pub incarnation: Incarnation,
    /// How often the process has renewed its own record.
    pub refutation: u32,
    /// How it stands.
    #[serde(rename = "standing")]
    pub liveness: Liveness,
}

/// What is spread about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its id.
    pub id: HostId,
    /// Age of the record.
    pub version: RecordVersion,
    /// What it does.
    pub role: MemberRole,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its peer port.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Bytes of a record on the wire beside its names.
const RECORD_FIXED_BYTES: usize = 32;

impl MemberRecord {
    /// The first record of a process.
    #[must_use]
    pub fn new(me: &Member) -> Self {
        let version =
            RecordVersion { incarnation: me.incarnation, refutation: 0, liveness: Liveness::Alive };
        Self {
            id: me.id.clone(),
            version,
            role: me.role,
            region: me.region.clone(),
            domain: me.domain.clone(),
            address: me.address,
            leaving: me.state == MemberState::Leaving,
        }
    }

    /// Whether the member may still answer.
    #[must_use]
    pub fn is_present(&self) -> bool {
        self.version.liveness < Liveness::Dead
    }

    /// The state as the rest of the system sees it.
    #[must_use]
    pub const fn state(&self) -> MemberState {
        match self.version.liveness {
            Liveness::Alive if self.leaving => MemberState::Leaving,
            Liveness::Alive => MemberState::Alive,
            Liveness::Suspect => MemberState::Suspect,
            Liveness::Dead | Liveness::Left => MemberState::Dead,
        }
    }

    /// The member as the rest of the system sees it.
    #[must_use]
    pub fn member(&self, revision: Revision) -> Member {
        Member {
            id: self.id.clone(),
            incarnation: self.version.incarnation,
            role: self.role,
            region: self.region.clone(),
            domain: self.domain.clone(),
            address: self.address,
            state: self.state(),
            revision,
        }
    }

    /// Bytes of the record on the wire, at most.
    #[must_use]
    pub fn wire_bytes(&self) -> usize {
        let names = self.id.as_str().len() + self.region.as_str().len();
        RECORD_FIXED_BYTES + names + self.domain.as_str().len()
    }

    /// Short name of one incarnation of a member, in revision reports.
    #[must_use]
    pub fn tag(&self) -> MemberTag {
        MemberTag::new(&self.id, self.version.incarnation)
    }
}

/// Short name of one incarnation of a member. Two members may share one by chance; a report
/// about such a tag is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberTag(u32);

impl MemberTag {
    /// The tag of one incarnation of a member.
    #[must_use]
    pub fn new(id: &HostId, incarnation: Incarnation) -> Self {
        let hash = id_hash(id.as_str());
        Self(fold(combine(hash, incarnation.get())))
    }
}

/// Hash of an id, the same on every process and in every release.
#[must_use]
pub fn id_hash(id: &str) -> u64 {
    hash_parts(&[id])
}

/// Takes a number into a hash.
#[must_use]
pub const fn combine(hash: u64, number: u64) -> u64 {
    mix(hash ^ mix(number))
}

/// Folds a hash to 32 bits.
#[must_use]
pub const fn fold(hash: u64) -> u32 {
    (hash ^ (hash >> 32)) as u32
}
