//! Messages of the membership protocol.

use crate::ids::{HostId, Revision};
use crate::membership::member::Rumor;
use crate::membership::record::{MemberRecord, MemberTag, RecordVersion};
use serde::{Deserialize, Serialize};

/// Report of the catalog revision that one incarnation of a member has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionReport {
    /// The member and its incarnation.
    pub tag: MemberTag,
    /// The catalog revision that it has in force.
    pub revision: Revision,
}

/// Updates about members, upstreams and the catalog head: added to any datagram, and the content
/// of a [`MessageKind::Gossip`] datagram and of a sync.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipUpdates {
    /// Changes of the catalog head, and upstreams that are leaving or joined again.
    pub rumors: Vec<Rumor>,
    /// Records of members, which may include the sender's.
    pub records: Vec<MemberRecord>,
    /// Reports of the catalog revisions that members have in force.
    pub revisions: Vec<RevisionReport>,
}

/// Sender of a message, with the version of the sender's own record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Host id of the sender.
    pub id: HostId,
    /// Version of the sender's own record.
    pub version: RecordVersion,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// The catalog revision that the sender has in force.
    pub revision: Revision,
}

/// Number of a probe, unique within the process that sends the ping.
pub type ProbeNumber = u64;

/// Type of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Requests an [`MessageKind::Ack`].
    Ping(ProbeNumber),
    /// Acknowledges a ping. Also answers a ping request, with the number of that request, once the
    /// target has acknowledged the ping of the receiver of the request.
    Ack(ProbeNumber),
    /// Asks the receiver to ping `target` under a number of its own and, once `target` has
    /// acknowledged that ping, to send an [`MessageKind::Ack`] with `probe` to the requester.
    PingRequest {
        /// The requester's number of the probe.
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
    /// Updates, on a datagram of any type.
    // Serialized name of the field; the postcard encoding does not hold it.
    #[serde(rename = "news")]
    pub updates: GossipUpdates,
}

/// Digests that two processes compare to find where their member tables and rumors differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncDigest {
    /// One digest per bucket of present members, of their host ids and record versions. A member's
    /// bucket is chosen by the hash of its host id.
    pub buckets: Vec<u32>,
    /// Digest of the rumors.
    pub rumors: u32,
    /// Digest of the catalog revisions that present members have in force.
    pub revisions: u32,
}

/// Sync request, sent by the process that starts the sync.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncCall {
    /// The caller's digests; answered with a [`SyncReply`].
    Compare {
        /// The caller.
        sender: Sender,
        /// The caller's digests.
        digest: SyncDigest,
    },
    /// The caller's entries where the digests differ. The answer holds no [`SyncReply`]; it only
    /// shows that the push was received.
    Push(GossipUpdates),
}

/// Reply to [`SyncCall::Compare`]: digests, and entries where they differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Digests of the answering process.
    pub digest: SyncDigest,
    /// Entries of the answering process where the digests differ.
    // Serialized name of the field; the postcard encoding does not hold it.
    #[serde(rename = "news")]
    pub updates: GossipUpdates,
}
