//! Row keys and object names of billing data.

use super::shard::{ShardId, WindowId};
use crate::ids::{HostId, Incarnation, Sequence};
use crate::stable_hash::hash_bytes;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One incarnation of a ledger, as the origin of batches.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OriginId {
    /// The ledger.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

impl fmt::Display for OriginId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.host, self.incarnation)
    }
}

/// Id of a queue: the batches of one origin for which one ledger is responsible. An origin owns the
/// queue of its own batches; a ledger that takes over from an unresponsive origin owns the queue of
/// the copies that it holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QueueId {
    /// The origin of the batches.
    pub origin: OriginId,
    /// The ledger that is responsible for flushing them.
    // Serialized name of the field; the postcard encoding does not hold it.
    #[serde(rename = "keeper")]
    pub owner: OriginId,
}

impl QueueId {
    /// The queue that an origin owns itself.
    #[must_use]
    pub fn of(origin: &OriginId) -> Self {
        Self { origin: origin.clone(), owner: origin.clone() }
    }
}

/// Prefix of the batch rows of a shard.
#[must_use]
pub fn shard_prefix(shard: ShardId) -> String {
    format!("usage/{shard}/")
}

/// Prefix of the batch rows of a window in a shard.
#[must_use]
pub fn window_prefix(shard: ShardId, window: WindowId) -> String {
    format!("usage/{shard}/{window}/")
}

/// The window of a batch row, from its key.
#[must_use]
pub fn window_of_key(key: &str) -> Option<WindowId> {
    let number = key.strip_prefix("usage/")?.split('/').nth(1)?;
    u64::from_str_radix(number, 16).ok().map(WindowId::new)
}

/// Key of a batch row. It contains a digest of the content, so that writing the same batch again,
/// by any ledger, is idempotent.
#[must_use]
pub fn batch_key(
    (shard, window): (ShardId, WindowId),
    origin: &OriginId,
    (first, last): (Sequence, Sequence),
    packed: &[u8],
) -> String {
    let digest = hash_bytes([packed]);
    let (first, last) = (first.get(), last.get());
    format!("usage/{shard}/{window}/{origin}/{first:016x}-{last:016x}-{digest:016x}")
}

/// Key of the row with the totals of a closed window.
#[must_use]
pub fn fold_key(shard: ShardId, window: WindowId) -> String {
    format!("fold/{shard}/{window}")
}

/// The window of a totals row, from its key.
#[must_use]
pub fn window_of_fold(key: &str) -> Option<WindowId> {
    let number = key.strip_prefix("fold/")?.split('/').nth(1)?;
    u64::from_str_radix(number, 16).ok().map(WindowId::new)
}

/// Name of the object with the records of a closed window.
#[must_use]
pub fn detail_name(shard: ShardId, window: WindowId, packed: &[u8]) -> String {
    let digest = hash_bytes([packed]);
    format!("usage-detail/{shard}/{window}/{digest:016x}-{:x}", packed.len())
}
