//! Durable usage records: a record survives the loss of the host that created it.

use crate::PortFuture;
use oleander_core::usage::UsageRecord;

/// Reason why a usage record was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UsageError {
    /// The record is not durable: retry, or refuse the request.
    #[error("no two failure domains hold the record: {0}")]
    NotHeld(String),
    /// The backlog has reached its limit.
    #[error("the ledger's backlog is full")]
    Full,
}

/// Records usage.
pub trait UsagePort: Send + Sync {
    /// Returns once the record is stored in two failure domains or in the table. Idempotent: the
    /// same record counts once.
    fn record(&self, record: UsageRecord) -> PortFuture<'_, Result<(), UsageError>>;

    /// Whether a new request may be admitted: records can be stored and the backlog is not full.
    fn has_room(&self) -> bool;
}
