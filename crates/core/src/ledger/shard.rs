//! Shards of client accounts and time windows.

use crate::ids::{AccountName, HostId, RequestId};
use crate::stable_hash::hash_parts;
use crate::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Number of shards over all client accounts.
pub const SHARD_COUNT: u16 = 16;
/// Length of a window.
pub const WINDOW_LENGTH: Duration = Duration::from_secs(60);

/// A shard of the client accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardId(u16);

impl ShardId {
    /// The shard of a client account.
    #[must_use]
    pub fn of(account: &AccountName) -> Self {
        let hash = hash_parts(&[account.as_str()]);
        Self((hash % u64::from(SHARD_COUNT)) as u16)
    }

    /// Every shard.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARD_COUNT).map(Self)
    }
}

/// Key for which ledgers are ranked by rendezvous hashing.
///
/// The records of a shard are spread over several routes, so that a client account with much of the
/// traffic does not overload one ledger. A window of a shard has at most as many writers as routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LedgerRoute {
    shard: u16,
    slot: u8,
}

/// Number of routes for the records of one shard.
pub const ROUTES_PER_SHARD: u8 = 4;

impl LedgerRoute {
    /// The route of a record.
    #[must_use]
    pub fn of(account: &AccountName, request: RequestId) -> Self {
        let slot = (request.get() % u128::from(ROUTES_PER_SHARD)) as u8;
        Self { shard: ShardId::of(account).0, slot }
    }

    /// The route of tasks for a whole shard.
    #[must_use]
    pub const fn of_shard(shard: ShardId) -> Self {
        Self { shard: shard.0, slot: 0 }
    }

    /// The route of all claims: the claims of a region go to one ledger, which batches them into
    /// transactions.
    #[must_use]
    pub const fn of_claims() -> Self {
        Self { shard: SHARD_COUNT, slot: 0 }
    }

    /// Rendezvous score of a ledger; the highest score ranks first.
    #[must_use]
    pub fn score(self, host: &HostId) -> u64 {
        hash_parts(&[&self.shard.to_string(), &self.slot.to_string(), host.as_str()])
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:03}", self.0)
    }
}

/// A time window, numbered from the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WindowId(u64);

impl WindowId {
    /// The window with this number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The window that contains `time`.
    #[must_use]
    pub const fn at(time: Timestamp) -> Self {
        Self(time.as_millis() / WINDOW_LENGTH.as_millis() as u64)
    }

    /// The window in which a request id was created.
    #[must_use]
    pub const fn of(request: RequestId) -> Self {
        Self::at(request.created_at())
    }

    /// Start of the window, inclusive.
    #[must_use]
    pub const fn start(self) -> Timestamp {
        Timestamp::from_millis(self.0.saturating_mul(WINDOW_LENGTH.as_millis() as u64))
    }

    /// End of the window, exclusive.
    #[must_use]
    pub const fn end(self) -> Timestamp {
        Self(self.0.saturating_add(1)).start()
    }
}

impl fmt::Display for WindowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
