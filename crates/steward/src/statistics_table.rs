//! The row with the rating statistics of the whole system, and the peer handler that serves it.

use arc_swap::ArcSwap;
use oleander_catalog::quality::{StatisticsCall, StatisticsReply};
use oleander_catalog::store::with_timeout;
use oleander_core::fleet_statistics::FleetStatistics;
use oleander_ports::PlatformError;
use oleander_ports::peers::{PeerError, PeerHandler};
use oleander_ports::table::{RowCondition, TablePort, TableTransaction, TransactionOutcome};
use std::sync::Arc;

/// Key of the row.
pub const STATISTICS_KEY: &str = "quality/statistics";

/// The statistics and the version of their row, as read from the table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredStatistics {
    /// The statistics; empty if the row does not exist.
    pub statistics: FleetStatistics,
    /// Version of the row; `None` if it does not exist.
    pub row_version: Option<u64>,
}

/// Reads and writes the row, and caches the latest statistics for peers.
#[derive(Clone)]
pub struct StatisticsTable {
    table: Arc<dyn TablePort>,
    latest: Arc<ArcSwap<FleetStatistics>>,
}

impl StatisticsTable {
    /// Access to the row in `table`.
    #[must_use]
    pub fn new(table: Arc<dyn TablePort>) -> Self {
        Self { table, latest: Arc::new(ArcSwap::from_pointee(FleetStatistics::default())) }
    }

    /// Reads the row.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the table does not answer or the row is damaged.
    pub async fn read(&self) -> Result<StoredStatistics, PlatformError> {
        let Some(row) = with_timeout(self.table.get(STATISTICS_KEY)).await? else {
            return Ok(StoredStatistics::default());
        };
        let damaged = |error| PlatformError::NotApplied(format!("row {STATISTICS_KEY}: {error}"));
        let statistics: FleetStatistics = serde_json::from_slice(&row.value).map_err(damaged)?;
        self.latest.store(Arc::new(statistics.clone()));
        Ok(StoredStatistics { statistics, row_version: Some(row.version) })
    }

    /// Writes the row if it is unchanged since it was read and `fence` holds.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the table does not answer.
    pub async fn write(
        &self,
        stored: &StoredStatistics,
        fence: RowCondition,
    ) -> Result<TransactionOutcome, PlatformError> {
        let key: Arc<str> = Arc::from(STATISTICS_KEY);
        let unchanged = match stored.row_version {
            Some(version) => RowCondition::VersionIs(key, version),
            None => RowCondition::Absent(key),
        };
        let value = serde_json::to_vec(&stored.statistics)
            .map_err(|error| PlatformError::NotApplied(error.to_string()))?;
        let transaction = TableTransaction::new()
            .with_condition(unchanged)
            .with_condition(fence)
            .with_put(STATISTICS_KEY, value);
        with_timeout(self.table.transact(transaction)).await
    }

    /// The statistics of the latest read.
    #[must_use]
    pub fn latest(&self) -> Arc<FleetStatistics> {
        self.latest.load_full()
    }

    /// Handler of the peer calls on the statistics channel.
    #[must_use]
    pub fn peer_handler(&self) -> PeerHandler {
        let latest = Arc::clone(&self.latest);
        Arc::new(move |call| {
            let reply = answer(&latest.load(), &call);
            Box::pin(async move { reply })
        })
    }
}

fn answer(latest: &FleetStatistics, call: &[u8]) -> Result<Vec<u8>, PeerError> {
    let refused = |error: postcard::Error| PeerError::Refused(error.to_string());
    let StatisticsCall::Quality { edition } = postcard::from_bytes(call).map_err(refused)?;
    let reply = if edition >= latest.edition {
        StatisticsReply::Unchanged
    } else {
        StatisticsReply::Quality { edition: latest.edition, table: latest.table.clone() }
    };
    postcard::to_stdvec(&reply).map_err(refused)
}
