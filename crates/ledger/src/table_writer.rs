//! Writes runs to the table: batches and the outcomes of claims in the same transactions.

use oleander_core::claim::{ClaimRow, SettleStep, claim_key, decide_done};
use oleander_core::ledger::keys::{OriginId, batch_key};
use oleander_core::ledger::run::{BatchRow, HeldRun, SettledOutcome};
use oleander_ports::PlatformError;
use oleander_ports::table::{
    RowCondition, RowWrite, TablePort, TableTransaction, TransactionOutcome,
};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of the batches in one transaction, in bytes.
pub const MAX_TRANSACTION_BYTES: usize = 1024 * 1024;
/// Maximum number of batches in one transaction.
pub const MAX_TRANSACTION_ROWS: usize = 100;
/// Time limit for one call to the table or the object store.
pub const TABLE_TIMEOUT: Duration = Duration::from_secs(5);

const MAX_TRIES: usize = 6;

/// Writes runs. Writing a run is idempotent.
#[derive(Clone)]
pub struct TableWriter {
    table: Arc<dyn TablePort>,
}

impl TableWriter {
    /// A writer to `table`.
    #[must_use]
    pub fn new(table: Arc<dyn TablePort>) -> Self {
        Self { table }
    }

    /// Writes the batches of a run that are not in the table yet. Returns the number of
    /// transactions.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when the run may be incomplete in the table; write it again later.
    pub async fn write_run(&self, origin: &OriginId, run: &HeldRun) -> Result<u64, PlatformError> {
        let mut transactions = 0;
        for chunk in split_rows(&run.rows) {
            transactions += self.write_rows(origin, run, chunk).await?;
        }
        Ok(transactions)
    }

    async fn write_rows(
        &self,
        origin: &OriginId,
        run: &HeldRun,
        rows: &[BatchRow],
    ) -> Result<u64, PlatformError> {
        let mut present = BTreeSet::new();
        for tries in 1..=MAX_TRIES {
            let (transaction, batches) = self.build(origin, run, rows, &present).await?;
            if transaction.writes.is_empty() {
                return Ok(tries as u64 - 1);
            }
            match with_timeout(self.table.transact(transaction)).await {
                Ok(TransactionOutcome::Applied) => return Ok(tries as u64),
                // A conflicting batch is already in the table; a conflicting claim is read again.
                Ok(TransactionOutcome::Conflict(failed)) => {
                    let known = failed.iter().filter_map(|&index| batches.get(index).copied());
                    present.extend(known);
                }
                Err(PlatformError::Unknown(_)) => {}
                Err(error) => return Err(error),
            }
        }
        Err(PlatformError::Unknown(format!("not settled after {MAX_TRIES} tries")))
    }

    /// The transaction that writes the rows not in `present`. Its first conditions are those of the
    /// batches; the second result holds the index in `rows` of each of them.
    async fn build(
        &self,
        origin: &OriginId,
        run: &HeldRun,
        rows: &[BatchRow],
        present: &BTreeSet<usize>,
    ) -> Result<(TableTransaction, Vec<usize>), PlatformError> {
        let missing = rows.iter().enumerate().filter(|(index, _)| !present.contains(index));
        let mut transaction = TableTransaction::new();
        let mut batches = Vec::new();
        for (index, row) in missing {
            let shard_window = (row.shard, row.window);
            let key = batch_key(shard_window, origin, (run.first, run.last), &row.packed);
            transaction.conditions.push(RowCondition::Absent(Arc::from(key.as_str())));
            transaction.writes.push(RowWrite::Put(Arc::from(key), row.packed.clone()));
            batches.push(index);
        }
        for settled in rows.iter().flat_map(|row| &row.outcomes) {
            self.add_outcome(&mut transaction, settled).await?;
        }
        Ok((transaction, batches))
    }

    async fn add_outcome(
        &self,
        transaction: &mut TableTransaction,
        settled: &SettledOutcome,
    ) -> Result<(), PlatformError> {
        let key = claim_key(&settled.account, &settled.outcome.key);
        if transaction.conditions.iter().any(|condition| condition.key() == key) {
            return Ok(());
        }
        let Some(row) = with_timeout(self.table.get(&key)).await? else {
            return Ok(());
        };
        let claim = ClaimRow::from_bytes(&row.value).ok();
        let step = decide_done(claim.as_ref(), settled.request, &settled.outcome);
        let SettleStep::Write(claim) = step else {
            return Ok(());
        };
        transaction.conditions.push(RowCondition::VersionIs(row.key, row.version));
        transaction.writes.push(RowWrite::Put(Arc::from(key), claim.to_bytes()));
        Ok(())
    }
}

/// Runs a call with the time limit [`TABLE_TIMEOUT`].
///
/// # Errors
///
/// [`PlatformError`] of the call, or [`PlatformError::Unknown`] when it times out.
pub async fn with_timeout<T>(
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let timed_out = |_| PlatformError::Unknown(format!("no reply within {TABLE_TIMEOUT:?}"));
    tokio::time::timeout(TABLE_TIMEOUT, call).await.map_err(timed_out)?
}

fn split_rows(rows: &[BatchRow]) -> Vec<&[BatchRow]> {
    let mut chunks = Vec::new();
    let mut start = 0;
    let mut bytes = 0;
    for (index, row) in rows.iter().enumerate() {
        let outcomes = row.outcomes.iter().map(|settled| settled.outcome.body.len());
        let size = row.packed.len() + outcomes.sum::<usize>();
        let full = bytes + size > MAX_TRANSACTION_BYTES || index - start >= MAX_TRANSACTION_ROWS;
        if full && index > start {
            chunks.push(&rows[start..index]);
            start = index;
            bytes = 0;
        }
        bytes += size;
    }
    if start < rows.len() {
        chunks.push(&rows[start..]);
    }
    chunks
}
