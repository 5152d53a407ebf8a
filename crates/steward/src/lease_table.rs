//! The rows of a lease in the platform's table.

use oleander_catalog::store::with_timeout;
use oleander_core::lease::{LeaseReading, LeaseRow};
use oleander_ports::PlatformError;
use oleander_ports::table::TransactionOutcome;
use oleander_ports::table::{RowCondition, TablePort, TableRow, TableTransaction};
use std::sync::Arc;

/// Reads and writes the rows of one lease.
#[derive(Clone)]
pub struct LeaseTable {
    table: Arc<dyn TablePort>,
    key: Arc<str>,
    fence_key: Arc<str>,
}

/// A write of the lease row, as decided by the lease manager.
#[derive(Clone, Debug)]
pub struct LeaseWrite {
    /// The row to write.
    pub row: LeaseRow,
    /// Expected version of the lease row; `None` if the row must not exist.
    pub row_version: Option<u64>,
    /// Expected version of the fence row when the holder changes; `None` if the row must not exist.
    pub fence_version: Option<u64>,
    /// Whether the holder changes.
    pub acquires: bool,
}

impl LeaseTable {
    /// The lease `lease/{name}`.
    #[must_use]
    pub fn new(table: Arc<dyn TablePort>, name: &str) -> Self {
        let key = Arc::from(format!("lease/{name}"));
        let fence_key = Arc::from(fence_key(name));
        Self { table, key, fence_key }
    }

    /// Reads the fence row before the lease row, so that a row that names a holder is never
    /// combined with the fence of a later holder.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the table does not answer or the row is damaged.
    pub async fn read(&self) -> Result<LeaseReading, PlatformError> {
        let fence = with_timeout(self.table.get(&self.fence_key)).await?;
        let row = with_timeout(self.table.get(&self.key)).await?;
        let fence_version = fence.map(|fence| fence.version);
        Ok(LeaseReading { row: row.as_ref().map(decode_row).transpose()?, fence_version })
    }

    /// Writes the lease row, and the fence row when the holder changes.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the table does not answer.
    pub async fn write(&self, write: &LeaseWrite) -> Result<TransactionOutcome, PlatformError> {
        let value = serde_json::to_vec(&write.row).unwrap_or_default();
        let mut transaction = TableTransaction::new()
            .with_condition(condition(&self.key, write.row_version))
            .with_put(&self.key, value);
        if write.acquires {
            let fence = serde_json::to_vec(&write.row.fencing).unwrap_or_default();
            transaction = transaction
                .with_condition(condition(&self.fence_key, write.fence_version))
                .with_put(&self.fence_key, fence);
        }
        with_timeout(self.table.transact(transaction)).await
    }
}

/// Key of the fence row of a lease.
#[must_use]
pub fn fence_key(name: &str) -> String {
    format!("lease/{name}/fence")
}

fn condition(key: &Arc<str>, version: Option<u64>) -> RowCondition {
    match version {
        Some(version) => RowCondition::VersionIs(Arc::clone(key), version),
        None => RowCondition::Absent(Arc::clone(key)),
    }
}

/// Decodes the row. A row that cannot be decoded is not overwritten: only an operator can tell who
/// holds the lease, and a takeover could repeat a fencing number.
fn decode_row(row: &TableRow) -> Result<(LeaseRow, u64), PlatformError> {
    let damaged = |error| PlatformError::NotApplied(format!("row {}: {error}", row.key));
    Ok((serde_json::from_slice(&row.value).map_err(damaged)?, row.version))
}
