//! Messages of the membership between two processes.

use crate::ids::{HostId, Revision};
use crate::membership::member::Rumor;
use crate::membership::record::{MemberRecord, MemberTag, RecordVersion};
use serde::{Deserialize, Serialize};

/// The catalog revision that one incarnation of a member has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionReport {
    /// The member.
    pub tag: MemberTag,
    /// The revision.
    pub revision: Revision,
}

/// Updates piggybacked on any message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipUpdates {
    /// Rumors.
    pub rumors: Vec<Rumor>,
    /// Records of members.
    pub records: Vec<MemberRecord>,
    /// Revisions in force.
    pub revisions: Vec<RevisionReport>,
}

/// Who sends, and what it has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Its id.
    pub id: HostId,
    /// Age of its own record.
    pub version: RecordVersion,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The revision that it has in force.
    pub revision: Revision,
}

/// Number of a probe, unique for its sender.
pub type ProbeNumber = u64;

/// What a datagram asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Asks for an [`MessageKind::Ack`].
    Ping(ProbeNumber),
    /// Answers a ping, or a ping request after the target has answered.
    Ack(ProbeNumber),
    /// Asks the receiver to ping `target` and to pass its answer on.
    PingRequest {
        /// Number of the probe that the answer is for.
        probe: ProbeNumber,
        /// Who shall be pinged.
        target: HostId,
    },
    /// Carries news only.
    Gossip,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who sends it.
    pub sender: Sender,
    /// What it asks or answers.
    pub kind: MessageKind,
    /// Piggybacked updates.
    #[serde(rename = "news")]
    pub updates: GossipUpdates,
}

/// Digests by which two processes find where their tables differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncDigest {
    /// One digest for each bucket of members.
    pub buckets: Vec<u32>,
    /// Digest of the rumors.
    pub rumors: u32,
    /// Digest of the revisions in force.
    pub revisions: u32,
}

/// One step of a comparison, from the process that began it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncCall {
    /// The caller's digests; answered by a [`SyncReply`].
    Compare {
        /// Who calls.
        sender: Sender,
        /// Its digests.
        digest: SyncDigest,
    },
    /// What the caller has where the digests differ; answered by an empty reply.
    Push(GossipUpdates),
}

/// Where the tables differ, and what the answering process has there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// The digests of the answering process.
    pub digest: SyncDigest,
    /// What it has where they differ.
    #[serde(rename = "news")]
    pub updates: GossipUpdates,
}
