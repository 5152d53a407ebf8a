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

/// Version of the messages.
pub const WIRE_VERSION: u8 = 1;

/// From an entry to a ledger, on the usage channel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageCall {
    /// Hold this record.
    Record(UsageRecord),
}

/// The answer to a [`UsageCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageReply {
    /// Two failure domains hold the record, or it is in the table.
    Held {
        /// Whether this ledger has room for new requests.
        room: bool,
    },
    /// The backlog is at its bound; the record was not taken.
    Full,
    /// The record is not held safely.
    NotHeld(Arc<str>),
}

/// Between ledgers, on the batches channel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchCall {
    /// Hold a copy of a group.
    HoldGroup {
        /// The origin of the group.
        origin: OriginId,
        /// The group.
        group: HeldGroup,
    },
    /// Hold a copy of a run.
    HoldRun {
        /// Its origin and the ledger that answers for it.
        shelf: QueueId,
        /// The run.
        run: HeldRun,
    },
    /// How far a ledger is with a shelf.
    Progress(OriginProgress),
}

/// The answer to a [`BatchCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchReply {
    /// The copy is held, or the progress is noted.
    Held,
    /// The backlog is at its bound; nothing was taken.
    Full,
}

/// From an entry to a ledger, on the claims channel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimCall {
    /// Make a claim.
    Claim(ClaimRequest),
    /// Give up a claim that was never dispatched.
    Release(ClaimRequest),
    /// Note that the outcome of a dispatched claim cannot be known.
    MarkUnknown(ClaimRequest),
}

/// The answer to a [`ClaimCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// What became of the claim.
    Outcome(ClaimOutcome),
    /// The release or mark is written.
    Settled,
    /// It could not be done.
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
/// [`VersionedError`] when the bytes are no message of this version.
pub fn from_wire<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, VersionedError> {
    decode(WIRE_VERSION, bytes)
}
