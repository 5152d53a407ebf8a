//! Keys of the rows and names of the objects that billing writes.

use super::shard::{ShardId, WindowId};
use crate::ids::{HostId, Incarnation, Sequence};
use crate::stable_hash::hash_bytes;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One life of one ledger: the origin of batches.
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

/// What one ledger answers for of one origin. The origin answers for its own batches; a ledger
/// that found an origin silent answers for the copies that it holds of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QueueId {
    /// The origin of the batches.
    pub origin: OriginId,
    /// The ledger that answers for them.
    #[serde(rename = "keeper")]
    pub owner: OriginId,
}

impl QueueId {
    /// The shelf of an origin that answers for itself.
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

/// Prefix of the batch rows of a window of a shard.
#[must_use]
pub fn window_prefix(shard: ShardId, window: WindowId) -> String {
    format!("usage/{shard}/{window}/")
}

/// The window in the key of a batch row.
#[must_use]
pub fn window_of_key(key: &str) -> Option<WindowId> {
    let number = key.strip_prefix("usage/")?.split('/').nth(1)?;
    u64::from_str_radix(number, 16).ok().map(WindowId::new)
}

/// Key of a batch row. It names the content, so that a row that exists is this batch: writing
/// it again, by whomever, changes nothing.
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

/// Key of the row that holds the sums of a closed window.
#[must_use]
pub fn fold_key(shard: ShardId, window: WindowId) -> String {
    format!("fold/{shard}/{window}")
}

/// The window in the key of a row of sums.
#[must_use]
pub fn window_of_fold(key: &str) -> Option<WindowId> {
    let number = key.strip_prefix("fold/")?.split('/').nth(1)?;
    u64::from_str_radix(number, 16).ok().map(WindowId::new)
}

/// Name of the object that holds the records of a closed window.
#[must_use]
pub fn detail_name(shard: ShardId, window: WindowId, packed: &[u8]) -> String {
    let digest = hash_bytes([packed]);
    format!("usage-detail/{shard}/{window}/{digest:016x}-{:x}", packed.len())
}
