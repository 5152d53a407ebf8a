//! An in-memory table service.

use oleander_ports::table::{
    MAX_TRANSACTION_WRITES, MAX_VALUE_BYTES, RowCondition, RowWrite, TablePort, TableRow,
    TableTransaction, TransactionOutcome,
};
use oleander_ports::{PlatformError, PortFuture};
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A fault of the next call to an in-memory service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryFault {
    /// The call fails and nothing is applied.
    Down,
    /// The call is applied and its reply is lost.
    ReplyLost,
}

#[derive(Default)]
struct TableState {
    rows: BTreeMap<Arc<str>, (u64, Vec<u8>)>,
    last_version: u64,
    transactions: u64,
    written_rows: u64,
    reads: u64,
    faults: VecDeque<MemoryFault>,
    down: bool,
}

/// Numbers of calls to a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableCounts {
    /// Transactions, conflicts included.
    pub transactions: u64,
    /// Rows written or removed.
    pub written_rows: u64,
    /// Reads and scans.
    pub reads: u64,
}

/// An in-memory table. Clones share the rows.
#[derive(Clone, Default)]
pub struct MemoryTable {
    state: Arc<Mutex<TableState>>,
}

impl MemoryTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes the next call fail with `fault`; several injected faults apply in order.
    pub fn inject(&self, fault: MemoryFault) {
        self.lock().faults.push_back(fault);
    }

    /// Sets whether every call fails without being applied.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Numbers of calls so far.
    #[must_use]
    pub fn counts(&self) -> TableCounts {
        let state = self.lock();
        TableCounts {
            transactions: state.transactions,
            written_rows: state.written_rows,
            reads: state.reads,
        }
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self) -> Result<(MutexGuard<'_, TableState>, bool), PlatformError> {
        let mut state = self.lock();
        if state.down {
            return Err(PlatformError::NotApplied("the table is down".to_owned()));
        }
        match state.faults.pop_front() {
            Some(MemoryFault::Down) => {
                Err(PlatformError::NotApplied("the table is down".to_owned()))
            }
            Some(MemoryFault::ReplyLost) => Ok((state, true)),
            None => Ok((state, false)),
        }
    }

    fn transact_now(
        &self,
        transaction: TableTransaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        check_size(&transaction)?;
        let (mut state, reply_lost) = self.begin()?;
        state.transactions += 1;
        let failed = failed_conditions(&state.rows, &transaction.conditions);
        let outcome = if failed.is_empty() {
            apply(&mut state, transaction.writes);
            TransactionOutcome::Applied
        } else {
            TransactionOutcome::Conflict(failed)
        };
        answer(outcome, reply_lost)
    }

    fn get_now(&self, key: &str) -> Result<Option<TableRow>, PlatformError> {
        let (mut state, reply_lost) = self.begin()?;
        state.reads += 1;
        let row = state.rows.get_key_value(key);
        answer(row.map(|(key, (version, value))| to_row(key, *version, value)), reply_lost)
    }

    fn scan_now(
        &self,
        start: &str,
        end: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, PlatformError> {
        let (mut state, reply_lost) = self.begin()?;
        state.reads += 1;
        if start >= end {
            return answer(Vec::new(), reply_lost);
        }
        let rows =
            state.rows.range::<str, _>((Bound::Included(start), Bound::Excluded(end))).take(limit);
        let rows = rows.map(|(key, (version, value))| to_row(key, *version, value)).collect();
        answer(rows, reply_lost)
    }
}

fn answer<T>(outcome: T, reply_lost: bool) -> Result<T, PlatformError> {
    if reply_lost {
        return Err(PlatformError::Unknown("the reply was lost".to_owned()));
    }
    Ok(outcome)
}

fn to_row(key: &Arc<str>, version: u64, value: &[u8]) -> TableRow {
    TableRow { key: Arc::clone(key), value: value.to_vec(), version }
}

fn check_size(transaction: &TableTransaction) -> Result<(), PlatformError> {
    let too_large = |write: &RowWrite| matches!(write, RowWrite::Put(_, value) if value.len() > MAX_VALUE_BYTES);
    if transaction.writes.len() > MAX_TRANSACTION_WRITES || transaction.writes.iter().any(too_large)
    {
        return Err(PlatformError::NotApplied("the transaction is too large".to_owned()));
    }
    Ok(())
}

fn failed_conditions(
    rows: &BTreeMap<Arc<str>, (u64, Vec<u8>)>,
    conditions: &[RowCondition],
) -> Vec<usize> {
    let holds = |condition: &RowCondition| match condition {
        RowCondition::Absent(key) => !rows.contains_key(key),
        RowCondition::VersionIs(key, version) => rows.get(key).is_some_and(|row| row.0 == *version),
    };
    let failed = conditions.iter().enumerate().filter(|(_, condition)| !holds(condition));
    failed.map(|(index, _)| index).collect()
}

fn apply(state: &mut TableState, writes: Vec<RowWrite>) {
    for write in writes {
        state.written_rows += 1;
        state.last_version += 1;
        let version = state.last_version;
        match write {
            RowWrite::Put(key, value) => {
                state.rows.insert(key, (version, value));
            }
            RowWrite::Delete(key) => {
                state.rows.remove(&key);
            }
        }
    }
}

impl TablePort for MemoryTable {
    fn transact(
        &self,
        transaction: TableTransaction,
    ) -> PortFuture<'_, Result<TransactionOutcome, PlatformError>> {
        Box::pin(async move { self.transact_now(transaction) })
    }

    fn get<'a>(&'a self, key: &'a str) -> PortFuture<'a, Result<Option<TableRow>, PlatformError>> {
        Box::pin(async move { self.get_now(key) })
    }

    fn scan<'a>(
        &'a self,
        start: &'a str,
        end: &'a str,
        limit: usize,
    ) -> PortFuture<'a, Result<Vec<TableRow>, PlatformError>> {
        Box::pin(async move { self.scan_now(start, end, limit) })
    }
}
