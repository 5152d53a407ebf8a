//! Messages of the membership protocol.

use crate::ids::{HostId, Revision};
use crate::membership::member::Rumor;
use crate::membership::record::{MemberRecord, MemberTag, RecordVersion};
use serde::{Deserialize, Serialize};

/// Report of the catalog revision that one incarnation of a member has in force.
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
    /// Member records.
    pub records: Vec<MemberRecord>,
    /// Reports of revisions in force.
    pub revisions: Vec<RevisionReport>,
}

/// Sender of a message, with the version of its own record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Host id.
    pub id: HostId,
    /// Version of its own record.
    pub version: RecordVersion,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The revision that it has in force.
    pub revision: Revision,
}

/// Number of a probe, unique per sender.
pub type ProbeNumber = u64;

/// Type of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Requests an [`MessageKind::Ack`].
    Ping(ProbeNumber),
    /// Answers a ping, or a ping request once the target has acked.
    Ack(ProbeNumber),
    /// Asks the receiver to ping `target` and to forward its ack.
    PingRequest {
        /// Number of the probe to acknowledge.
        probe: ProbeNumber,
        /// The member to ping.
        target: HostId,
    },
    /// Carries updates only.
    Gossip,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub sender: Sender,
    /// The type.
    pub kind: MessageKind,
    /// Piggybacked updates.
    #[serde(rename = "news")]
    pub updates: GossipUpdates,
}

/// Digests that two processes compare to find where their tables differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncDigest {
    /// One digest per bucket of members.
    pub buckets: Vec<u32>,
    /// Digest of the rumors.
    pub rumors: u32,
    /// Digest of the revisions in force.
    pub revisions: u32,
}

/// Sync request, sent by the process that starts the sync.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncCall {
    /// The caller's digests; answered with a [`SyncReply`].
    Compare {
        /// The caller.
        sender: Sender,
        /// Its digests.
        digest: SyncDigest,
    },
    /// The caller's entries where the digests differ; answered with an empty reply.
    Push(GossipUpdates),
}

/// Reply to [`SyncCall::Compare`]: digests, and entries where they differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Digests of the answering process.
    pub digest: SyncDigest,
    /// Its entries where the digests differ.
    #[serde(rename = "news")]
    pub updates: GossipUpdates,
}
