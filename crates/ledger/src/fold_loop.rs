//! Folds closed windows: their sums go to one row, their records to one object, and their batches
//! are deleted.

use crate::metrics::LedgerMetrics;
use crate::node::{LedgerPorts, NodeConfig};
use crate::ranking::ledgers_for;
use crate::statement::{SCAN_ROWS, StatementError};
use crate::table_writer::with_timeout;
use oleander_core::ids::HostId;
use oleander_core::ledger::fold::{FoldRow, RecordSet};
use oleander_core::ledger::keys::{
    detail_name, fold_key, shard_prefix, window_of_key, window_prefix,
};
use oleander_core::ledger::packed::{pack, unpack};
use oleander_core::ledger::shard::{LedgerRoute, SHARD_COUNT, ShardId, WindowId};
use oleander_ports::table::{
    RowCondition, TableRow, TableTransaction, TransactionOutcome, prefix_end,
};
use std::sync::Arc;
use std::time::Duration;

/// Time from the end of a window until it is folded. The window is folded again if batches arrive
/// later.
pub const FOLD_DELAY: Duration = Duration::from_secs(300);
/// Interval between searches for windows to fold.
pub const FOLD_INTERVAL: Duration = Duration::from_secs(15);
/// Maximum rate at which all ledgers together fold batches, in batches per second.
pub const FOLD_ROWS_PER_SECOND: f64 = 200.0;
/// Maximum number of folds of one shard in one pass.
pub const MAX_FOLDS: usize = 64;
/// Log target of this module; operators filter on it, so it doesn't follow the module's name.
const LOG_TARGET: &str = "oleander_ledger::fold_keeper";

/// Folds the windows of the shards for which this ledger ranks first.
#[derive(Clone)]
pub struct FoldLoop {
    host: HostId,
    ports: LedgerPorts,
    metrics: Arc<LedgerMetrics>,
}

impl FoldLoop {
    /// A loop for the ledger of `config`.
    #[must_use]
    pub fn new(config: &NodeConfig, ports: &LedgerPorts, metrics: Arc<LedgerMetrics>) -> Self {
        Self { host: config.location.host.clone(), ports: ports.clone(), metrics }
    }

    /// Runs until its task is aborted.
    pub async fn run(self) {
        loop {
            tokio::time::sleep(FOLD_INTERVAL).await;
            for shard in ShardId::all().filter(|&shard| self.ranks_first(shard)) {
                if let Err(error) = self.fold_shard(shard).await {
                    log::warn!(target: LOG_TARGET, "ledger_fold_failed shard={shard} error={error}");
                }
            }
        }
    }

    fn ranks_first(&self, shard: ShardId) -> bool {
        let members = self.ports.members.members();
        let first = ledgers_for(&members, LedgerRoute::of_shard(shard), None).into_iter().next();
        first.is_none_or(|ledger| ledger.id == self.host)
    }

    /// Delay that keeps all folding ledgers together within [`FOLD_ROWS_PER_SECOND`].
    fn rate_limit_delay(&self) -> Duration {
        let members = self.ports.members.members();
        let ledgers = ledgers_for(&members, LedgerRoute::of_claims(), None).len();
        let folding = ledgers.clamp(1, usize::from(SHARD_COUNT));
        Duration::from_secs_f64(SCAN_ROWS as f64 * folding as f64 / FOLD_ROWS_PER_SECOND)
    }

    /// Folds the closed windows of a shard, oldest first. Returns the number of folds.
    ///
    /// # Errors
    ///
    /// [`StatementError`] when a store fails, or a row or object is damaged or missing.
    pub async fn fold_shard(&self, shard: ShardId) -> Result<usize, StatementError> {
        let prefix = shard_prefix(shard);
        for folds in 0..MAX_FOLDS {
            let first =
                with_timeout(self.ports.table.scan(&prefix, &prefix_end(&prefix), 1)).await?;
            let Some(row) = first.first() else { return Ok(folds) };
            let damaged = || StatementError::Damaged { key: Arc::clone(&row.key) };
            let window = window_of_key(&row.key).ok_or_else(damaged)?;
            if self.ports.clock.now() < window.end() + FOLD_DELAY {
                return Ok(folds);
            }
            self.fold_window(shard, window).await?;
            tokio::time::sleep(self.rate_limit_delay()).await;
        }
        Ok(MAX_FOLDS)
    }

    /// Folds up to [`SCAN_ROWS`] batches of a window. Returns false if there were none, or if a
    /// concurrent fold of the same window was committed first; the table is unchanged then.
    ///
    /// # Errors
    ///
    /// [`StatementError`] when a store fails, or a row or object is damaged or missing.
    pub async fn fold_window(
        &self,
        shard: ShardId,
        window: WindowId,
    ) -> Result<bool, StatementError> {
        let prefix = window_prefix(shard, window);
        let end = prefix_end(&prefix);
        let scan = self.ports.table.scan(&prefix, &end, SCAN_ROWS);
        let batches = with_timeout(scan).await?;
        if batches.is_empty() {
            return Ok(false);
        }
        let key = fold_key(shard, window);
        let old = with_timeout(self.ports.table.get(&key)).await?;
        let mut records = RecordSet::new();
        self.add_detail(old.as_ref(), &mut records).await?;
        for batch in &batches {
            add_packed(&batch.key, &batch.value, &mut records)?;
        }
        let condition = match old {
            None => RowCondition::Absent(Arc::from(key.as_str())),
            Some(row) => RowCondition::VersionIs(row.key, row.version),
        };
        let fold = self.store_detail(shard, window, records).await?;
        let transaction =
            TableTransaction::new().with_condition(condition).with_put(&key, fold.to_bytes());
        let transaction =
            batches.iter().fold(transaction, |all, batch| all.with_delete(&batch.key));
        let outcome = with_timeout(self.ports.table.transact(transaction)).await?;
        self.metrics.folds.inc();
        Ok(outcome == TransactionOutcome::Applied)
    }

    async fn add_detail(
        &self,
        old: Option<&TableRow>,
        records: &mut RecordSet,
    ) -> Result<(), StatementError> {
        let Some(row) = old else { return Ok(()) };
        let damaged = |_| StatementError::Damaged { key: Arc::clone(&row.key) };
        let fold = FoldRow::from_bytes(&row.value).map_err(damaged)?;
        let detail = with_timeout(self.ports.objects.get(&fold.detail)).await?;
        let missing = || StatementError::Missing { key: Arc::clone(&fold.detail) };
        add_packed(&fold.detail, &detail.ok_or_else(missing)?, records)
    }

    async fn store_detail(
        &self,
        shard: ShardId,
        window: WindowId,
        records: RecordSet,
    ) -> Result<FoldRow, StatementError> {
        let packed = pack(&records.clone().into_records());
        let name = detail_name(shard, window, &packed);
        with_timeout(self.ports.objects.put_if_absent(&name, packed)).await?;
        Ok(FoldRow::new(&records, &name))
    }
}

fn add_packed(
    key: &Arc<str>,
    packed: &[u8],
    records: &mut RecordSet,
) -> Result<(), StatementError> {
    let damaged = |_| StatementError::Damaged { key: Arc::clone(key) };
    for record in unpack(packed).map_err(damaged)? {
        records.insert(record);
    }
    Ok(())
}
