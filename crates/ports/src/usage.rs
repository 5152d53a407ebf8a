//! Recording usage, so that it survives the host that saw it.

use crate::PortFuture;
use oleander_core::usage::UsageRecord;

/// Why usage was not recorded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UsageError {
    /// The record is not held safely; try again or refuse.
    #[error("no two failure domains hold the record: {0}")]
    NotHeld(String),
    /// The backlog is at its bound.
    #[error("the ledger's backlog is full")]
    Full,
}

/// Records usage.
pub trait UsagePort: Send + Sync {
    /// Returns when the record is held in two failure domains or in the table. Calling it again
    /// with the same record counts once.
    fn record(&self, record: UsageRecord) -> PortFuture<'_, Result<(), UsageError>>;

    /// Whether a new request may be admitted: records can be held and the backlog has room.
    fn has_room(&self) -> bool;
}
