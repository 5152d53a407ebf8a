//! Gossiped records of members, and the order of their versions.

use crate::ids::{DomainName, HostId, Incarnation, RegionName, Revision};
use crate::membership::member::{Member, MemberRole, MemberState};
use crate::stable_hash::{hash_parts, mix};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Liveness of a member. With equal refutation numbers the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// It answers probes.
    Alive,
    /// It did not answer a probe.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced that it left.
    Left,
}

/// Version of a record: the higher one is newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordVersion {
    /// Incarnation of the process; changes with every start.
    pub incarnation: Incarnation,
    /// Raised by the process each time it reissues its own record, e.g. to refute a suspicion.
    pub refutation: u32,
    /// Liveness.
    // Serialized name of the field; the postcard encoding does not hold it.
    #[serde(rename = "standing")]
    pub liveness: Liveness,
}

/// Gossiped record of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Host id.
    pub id: HostId,
    /// Version of the record.
    pub version: RecordVersion,
    /// Role.
    pub role: MemberRole,
    /// Region.
    pub region: RegionName,
    /// Failure domain.
    pub domain: DomainName,
    /// Peer address.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Upper bound of the encoded size of a record without its names, in bytes.
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

    /// Whether the member is alive or suspect.
    #[must_use]
    pub fn is_present(&self) -> bool {
        self.version.liveness < Liveness::Dead
    }

    /// The state that other modules see.
    #[must_use]
    pub const fn state(&self) -> MemberState {
        match self.version.liveness {
            Liveness::Alive if self.leaving => MemberState::Leaving,
            Liveness::Alive => MemberState::Alive,
            Liveness::Suspect => MemberState::Suspect,
            Liveness::Dead | Liveness::Left => MemberState::Dead,
        }
    }

    /// The member as other modules see it.
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

    /// Upper bound of the encoded size of the record, in bytes.
    #[must_use]
    pub fn wire_bytes(&self) -> usize {
        let names = self.id.as_str().len() + self.region.as_str().len();
        RECORD_FIXED_BYTES + names + self.domain.as_str().len()
    }

    /// The tag of this incarnation, used in revision reports.
    #[must_use]
    pub fn tag(&self) -> MemberTag {
        MemberTag::new(&self.id, self.version.incarnation)
    }
}

/// Short hash of one incarnation of a member. Tags of two members can collide; reports for such a
/// tag are ignored.
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

/// Mixes a number into a hash.
#[must_use]
pub const fn combine(hash: u64, number: u64) -> u64 {
    mix(hash ^ mix(number))
}

/// Folds a hash to 32 bits.
#[must_use]
pub const fn fold(hash: u64) -> u32 {
    (hash ^ (hash >> 32)) as u32
}
