//! The platform's transactional table.
//!
//! The minimal contract that the system needs: rows under text keys in one ordered key space,
//! conditional multi-row transactions, single-row reads and range scans. Transactions are atomic.
//! Reads see every acknowledged transaction.

use crate::{PlatformError, PortFuture};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum size of a row's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 256 * 1024;
/// Maximum number of writes in one transaction.
pub const MAX_TRANSACTION_WRITES: usize = 500;

/// A row that was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Vec<u8>,
    /// Version of the row; changes with every write.
    pub version: u64,
}

/// Precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowCondition {
    /// The row does not exist.
    Absent(Arc<str>),
    /// The row exists with this version.
    VersionIs(Arc<str>, u64),
}

impl RowCondition {
    /// The key that the condition checks.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Absent(key) | Self::VersionIs(key, _) => key,
        }
    }
}

/// One change of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowWrite {
    /// Writes a row.
    Put(Arc<str>, Vec<u8>),
    /// Removes a row; no error when it does not exist.
    Delete(Arc<str>),
}

/// A conditional multi-row transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Preconditions, all of which must hold.
    pub conditions: Vec<RowCondition>,
    /// Writes, applied atomically.
    pub writes: Vec<RowWrite>,
}

impl TableTransaction {
    /// An empty transaction.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition.
    #[must_use]
    pub fn with_condition(mut self, condition: RowCondition) -> Self {
        self.conditions.push(condition);
        self
    }

    /// Adds a write of a row.
    #[must_use]
    pub fn with_put(mut self, key: &str, value: Vec<u8>) -> Self {
        self.writes.push(RowWrite::Put(Arc::from(key), value));
        self
    }

    /// Adds a removal of a row.
    #[must_use]
    pub fn with_delete(mut self, key: &str) -> Self {
        self.writes.push(RowWrite::Delete(Arc::from(key)));
        self
    }
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionOutcome {
    /// Every condition held and every write was applied.
    Applied,
    /// Nothing was applied; these conditions (by index) did not hold.
    Conflict(Vec<usize>),
}

/// The table service.
pub trait TablePort: Send + Sync {
    /// Applies a transaction atomically.
    ///
    /// After [`PlatformError::Unknown`] the transaction may or may not have been applied.
    fn transact(
        &self,
        transaction: TableTransaction,
    ) -> PortFuture<'_, Result<TransactionOutcome, PlatformError>>;

    /// Reads one row.
    fn get<'a>(&'a self, key: &'a str) -> PortFuture<'a, Result<Option<TableRow>, PlatformError>>;

    /// Reads rows with `start <= key < end` in key order, at most `limit`.
    fn scan<'a>(
        &'a self,
        start: &'a str,
        end: &'a str,
        limit: usize,
    ) -> PortFuture<'a, Result<Vec<TableRow>, PlatformError>>;
}

/// The exclusive end of the range of keys that start with `prefix`.
#[must_use]
pub fn prefix_end(prefix: &str) -> String {
    format!("{prefix}\u{10ffff}")
}
