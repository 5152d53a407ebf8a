//! Messages between entries and ledgers, and between ledgers.

use oleander_core::claim::{ClaimOutcome, ClaimRequest};
use oleander_core::ledger::backlog::OriginProgress;
use oleander_core::ledger::keys::{OriginId, QueueId};
use oleander_core::ledger::run::{HeldGroup, HeldRun};
use oleander_core::usage::UsageRecord;
use oleander_core::versioned::{VersionedError, decode, encode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Version of the message format.
pub const WIRE_VERSION: u8 = 1;

/// Call from an entry to a ledger on the usage channel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageCall {
    /// Store this record.
    Record(UsageRecord),
}

/// Reply to a [`UsageCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageReply {
    /// The record is durable: two failure domains hold it, or it is in the table.
    Held {
        /// Whether the backlog of this ledger has room for new requests.
        room: bool,
    },
    /// The backlog is full; the record was not stored.
    Full,
    /// The record is not durable.
    NotHeld(Arc<str>),
}

/// Call between ledgers on the batches channel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchCall {
    /// Store a copy of a group.
    HoldGroup {
        /// The origin of the group.
        origin: OriginId,
        /// The group.
        group: HeldGroup,
    },
    /// Store a copy of a run.
    HoldRun {
        /// The queue: its origin and the ledger that owns it.
        #[serde(rename = "shelf")]
        queue: QueueId,
        /// The run.
        run: HeldRun,
    },
    /// Progress of a ledger with a queue.
    Progress(OriginProgress),
}

/// Reply to a [`BatchCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchReply {
    /// The copy is stored, or the progress is recorded.
    Held,
    /// The backlog is full; nothing was stored.
    Full,
}

/// Call from an entry to a ledger on the claims channel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimCall {
    /// Make a claim.
    Claim(ClaimRequest),
    /// Release a claim that was never dispatched.
    Release(ClaimRequest),
    /// Mark the outcome of a dispatched claim as unknown.
    MarkUnknown(ClaimRequest),
}

/// Reply to a [`ClaimCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// Result of the claim.
    Outcome(ClaimOutcome),
    /// The release or mark was written.
    Settled,
    /// The call failed.
    Failed(Arc<str>),
}

/// Encodes a message.
#[must_use]
pub fn to_wire<T: Serialize>(message: &T) -> Vec<u8> {
    encode(WIRE_VERSION, message)
}

/// Decodes a message.
///
/// # Errors
///
/// [`VersionedError`] when the bytes are not a message of this version.
pub fn from_wire<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, VersionedError> {
    decode(WIRE_VERSION, bytes)
}
