//! Statements of client accounts, read from the table.
//!
//! A statement is exact at any time: it uses the sums of folded windows and the batches of the
//! others. Batches are read before sums, so that a window that is folded between the two reads
//! appears twice and is not missed; a window with both is counted record by record.

use crate::table_writer::with_timeout;
use oleander_core::ids::{AccountName, RequestId};
use oleander_core::ledger::fold::{FoldRow, ItemSums, RecordSet, Statement};
use oleander_core::ledger::keys::{fold_key, shard_prefix, window_of_fold, window_of_key};
use oleander_core::ledger::packed::unpack;
use oleander_core::ledger::shard::{ShardId, WindowId};
use oleander_core::units::Timestamp;
use oleander_core::usage::UsageRecord;
use oleander_ports::PlatformError;
use oleander_ports::objects::ObjectPort;
use oleander_ports::table::{TablePort, TableRow};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of batches in one scan.
pub const SCAN_ROWS: usize = 16;
/// Maximum number of rows of sums in one scan.
pub const SCAN_FOLDS: usize = 200;

/// Reason why a statement could not be computed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StatementError {
    /// The table or the object store failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A row or object could not be decoded.
    #[error("{key} is damaged; the statement would not be exact")]
    Damaged {
        /// Key of the row or name of the object.
        key: Arc<str>,
    },
    /// The detail object of a folded window is missing.
    #[error("{key} is missing; the statement would not be exact")]
    Missing {
        /// Name of the object.
        key: Arc<str>,
    },
}

/// Computes statements from the table and the object store.
#[derive(Clone)]
pub struct StatementReader {
    table: Arc<dyn TablePort>,
    objects: Arc<dyn ObjectPort>,
}

struct Period {
    account: AccountName,
    shard: ShardId,
    from: Timestamp,
    to: Timestamp,
}

impl Period {
    fn contains(&self, record: &UsageRecord) -> bool {
        let created_at = record.request.created_at();
        record.account == self.account && created_at >= self.from && created_at < self.to
    }

    fn covers(&self, window: WindowId) -> bool {
        self.from <= window.start() && window.end() <= self.to
    }

    fn windows(&self) -> (WindowId, WindowId) {
        let last = Timestamp::from_millis(self.to.as_millis().saturating_sub(1));
        (WindowId::at(self.from), WindowId::at(last))
    }
}

impl StatementReader {
    /// A reader of these stores.
    #[must_use]
    pub fn new(table: Arc<dyn TablePort>, objects: Arc<dyn ObjectPort>) -> Self {
        Self { table, objects }
    }

    /// The statement of `account` for the requests created from `from` (inclusive) to `to`
    /// (exclusive).
    ///
    /// # Errors
    ///
    /// [`StatementError`] when a store fails, or a row or object is damaged or missing.
    pub async fn statement(
        &self,
        account: &AccountName,
        from: Timestamp,
        to: Timestamp,
    ) -> Result<Statement, StatementError> {
        let period = self.period(account, from, to);
        let mut records_by_window = self.batch_records(&period).await?;
        let mut sums = ItemSums::new();
        for (window, fold) in self.folds(&period).await? {
            if period.covers(window) && !records_by_window.contains_key(&window) {
                add_items(&mut sums, fold.sums.get(account));
                continue;
            }
            let records = records_by_window.entry(window).or_default();
            self.add_detail(&period, &fold, records).await?;
        }
        for record in records_by_window.values().flat_map(RecordSet::iter) {
            sums.entry(record.item.clone()).or_default().add_record(record);
        }
        Ok(Statement::new(account.clone(), (from, to), sums))
    }

    /// The records of a statement, ordered by request id.
    ///
    /// # Errors
    ///
    /// [`StatementError`] when a store fails, or a row or object is damaged or missing.
    pub async fn records(
        &self,
        account: &AccountName,
        from: Timestamp,
        to: Timestamp,
    ) -> Result<Vec<UsageRecord>, StatementError> {
        let period = self.period(account, from, to);
        let mut records_by_window = self.batch_records(&period).await?;
        for (window, fold) in self.folds(&period).await? {
            let records = records_by_window.entry(window).or_default();
            self.add_detail(&period, &fold, records).await?;
        }
        Ok(records_by_window.into_values().flat_map(RecordSet::into_records).collect())
    }

    /// The record of one request, if it is in the table.
    ///
    /// # Errors
    ///
    /// [`StatementError`] when a store fails, or a row or object is damaged or missing.
    pub async fn record(
        &self,
        account: &AccountName,
        request: RequestId,
    ) -> Result<Option<UsageRecord>, StatementError> {
        let created_at = request.created_at();
        let to = Timestamp::from_millis(created_at.as_millis() + 1);
        let records = self.records(account, created_at, to).await?;
        Ok(records.into_iter().find(|record| record.request == request))
    }

    fn period(&self, account: &AccountName, from: Timestamp, to: Timestamp) -> Period {
        Period { account: account.clone(), shard: ShardId::of(account), from, to }
    }

    /// The records in the batches of the period, by window.
    async fn batch_records(
        &self,
        period: &Period,
    ) -> Result<BTreeMap<WindowId, RecordSet>, StatementError> {
        let (first, last) = period.windows();
        let prefix = shard_prefix(period.shard);
        let (start, end) = (format!("{prefix}{first}/"), format!("{prefix}{last}0"));
        let mut windows: BTreeMap<WindowId, RecordSet> = BTreeMap::new();
        let mut cursor = start;
        loop {
            let rows = with_timeout(self.table.scan(&cursor, &end, SCAN_ROWS)).await?;
            for row in &rows {
                let window = window_of_key(&row.key).ok_or_else(|| damaged(&row.key))?;
                let records = windows.entry(window).or_default();
                add_records(period, &row.key, &row.value, records)?;
            }
            match next_cursor(&rows, SCAN_ROWS) {
                Some(next) => cursor = next,
                None => return Ok(windows),
            }
        }
    }

    async fn folds(&self, period: &Period) -> Result<Vec<(WindowId, FoldRow)>, StatementError> {
        let (first, last) = period.windows();
        let mut cursor = fold_key(period.shard, first);
        let end = format!("{}0", fold_key(period.shard, last));
        let mut folds = Vec::new();
        loop {
            let rows = with_timeout(self.table.scan(&cursor, &end, SCAN_FOLDS)).await?;
            for row in &rows {
                let window = window_of_fold(&row.key).ok_or_else(|| damaged(&row.key))?;
                let fold = FoldRow::from_bytes(&row.value).map_err(|_| damaged(&row.key))?;
                folds.push((window, fold));
            }
            match next_cursor(&rows, SCAN_FOLDS) {
                Some(next) => cursor = next,
                None => return Ok(folds),
            }
        }
    }

    async fn add_detail(
        &self,
        period: &Period,
        fold: &FoldRow,
        records: &mut RecordSet,
    ) -> Result<(), StatementError> {
        let detail = with_timeout(self.objects.get(&fold.detail)).await?;
        let missing = || StatementError::Missing { key: Arc::clone(&fold.detail) };
        add_records(period, &fold.detail, &detail.ok_or_else(missing)?, records)
    }
}

fn add_records(
    period: &Period,
    key: &Arc<str>,
    packed: &[u8],
    records: &mut RecordSet,
) -> Result<(), StatementError> {
    for record in unpack(packed).map_err(|_| damaged(key))? {
        if period.contains(&record) {
            records.insert(record);
        }
    }
    Ok(())
}

fn add_items(sums: &mut ItemSums, items: Option<&ItemSums>) {
    for (item, sum) in items.into_iter().flatten() {
        sums.entry(item.clone()).or_default().add_sum(sum);
    }
}

fn damaged(key: &Arc<str>) -> StatementError {
    StatementError::Damaged { key: Arc::clone(key) }
}

/// Start of the next scan; `None` after the last one.
fn next_cursor(rows: &[TableRow], limit: usize) -> Option<String> {
    if rows.len() < limit {
        return None;
    }
    rows.last().map(|row| format!("{}\0", row.key))
}
