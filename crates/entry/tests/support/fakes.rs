//! Fakes of the ports of an entry.

use arc_swap::ArcSwap;
use oleander_core::catalog::{Catalog, Snapshot};
use oleander_core::ids::{AccountName, IdempotencyKey, RequestId, Revision};
use oleander_core::quality::QualityTable;
use oleander_core::units::Timestamp;
use oleander_core::usage::{StoredOutcome, UsageRecord};
use oleander_ports::catalog::{CatalogPort, CatalogStatus};
use oleander_ports::claims::{ClaimError, ClaimOutcome, ClaimPort, ClaimRequest};
use oleander_ports::clock::ClockPort;
use oleander_ports::shares::{AccountShare, QualityPort, SharePort};
use oleander_ports::table::{TablePort, TableRow, TableTransaction, TransactionOutcome};
use oleander_ports::usage::{UsageError, UsagePort};
use oleander_ports::{PlatformError, PortFuture};
use oleander_standin::memory::MemoryTable;
use oleander_standin::memory::table::MemoryFault;
use serde_json::Value;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A catalog in force that a test can replace.
pub struct FixedCatalog {
    snapshot: ArcSwap<Snapshot>,
    status: Mutex<CatalogStatus>,
}

impl FixedCatalog {
    pub fn new(catalog: Catalog) -> Self {
        let snapshot = Snapshot::new(Revision::new(1), catalog);
        Self {
            snapshot: ArcSwap::from_pointee(snapshot),
            status: Mutex::new(CatalogStatus::InForce),
        }
    }

    pub fn publish(&self, change: impl FnOnce(&mut Catalog)) {
        let old = self.snapshot.load();
        let mut catalog = old.catalog().clone();
        change(&mut catalog);
        self.snapshot.store(Arc::new(Snapshot::new(old.revision().next(), catalog)));
    }

    pub fn set_status(&self, status: CatalogStatus) {
        *self.status.lock().unwrap() = status;
    }
}

impl CatalogPort for FixedCatalog {
    fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    fn status(&self) -> CatalogStatus {
        *self.status.lock().unwrap()
    }
}

/// Stores usage records in memory; can refuse, fail or delay them.
#[derive(Default)]
pub struct FakeUsage {
    records: Mutex<Vec<UsageRecord>>,
    pub not_held: AtomicBool,
    pub full: AtomicBool,
    pub delay_millis: AtomicU64,
}

impl FakeUsage {
    /// Returns the usage records, one for each request.
    pub fn billed(&self) -> Vec<UsageRecord> {
        let mut seen = std::collections::HashSet::new();
        let records = self.records.lock().unwrap();
        records.iter().filter(|r| seen.insert((r.account.clone(), r.request))).cloned().collect()
    }
}

impl UsagePort for FakeUsage {
    fn record(&self, record: UsageRecord) -> PortFuture<'_, Result<(), UsageError>> {
        Box::pin(async move {
            let delay = self.delay_millis.load(Ordering::SeqCst);
            tokio::time::sleep(Duration::from_millis(delay)).await;
            if self.not_held.load(Ordering::SeqCst) {
                return Err(UsageError::NotHeld("no peer answers".to_owned()));
            }
            self.records.lock().unwrap().push(record);
            Ok(())
        })
    }

    fn has_room(&self) -> bool {
        !self.full.load(Ordering::SeqCst)
    }
}

#[derive(Clone)]
enum ClaimState {
    Held(RequestId),
    Unknown,
}

/// Claims in memory; the outcomes of completed requests come from the usage records.
#[derive(Default)]
pub struct FakeClaims {
    rows: Mutex<HashMap<(AccountName, IdempotencyKey), (ClaimRequest, ClaimState)>>,
    usage: Arc<FakeUsage>,
    pub down: AtomicBool,
    pub pause_millis: AtomicU64,
}

impl FakeClaims {
    pub fn new(usage: &Arc<FakeUsage>) -> Self {
        Self { usage: Arc::clone(usage), ..Self::default() }
    }

    fn outcome(&self, claim: &ClaimRequest) -> Option<StoredOutcome> {
        let records = self.usage.records.lock().unwrap();
        let mut stored = records.iter().filter(|record| record.account == claim.account);
        stored.find_map(|record| record.outcome.clone().filter(|o| o.key == claim.key))
    }

    fn check(&self) -> Result<(), ClaimError> {
        if self.down.load(Ordering::SeqCst) {
            return Err(ClaimError("the table is down".to_owned()));
        }
        Ok(())
    }

    /// Returns the number of claims that are neither released nor marked as unknown.
    pub fn held(&self) -> usize {
        let rows = self.rows.lock().unwrap();
        rows.values().filter(|(_, state)| matches!(state, ClaimState::Held(_))).count()
    }
}

impl ClaimPort for FakeClaims {
    fn claim(&self, claim: ClaimRequest) -> PortFuture<'_, Result<ClaimOutcome, ClaimError>> {
        Box::pin(async move {
            self.check()?;
            let key = (claim.account.clone(), claim.key.clone());
            let outcome = {
                let mut rows = self.rows.lock().unwrap();
                match rows.get(&key) {
                    None => {
                        let held = ClaimState::Held(claim.request);
                        rows.insert(key, (claim, held));
                        ClaimOutcome::Granted
                    }
                    Some((first, _)) if first.body_digest != claim.body_digest => {
                        ClaimOutcome::KeyReused
                    }
                    Some((_, ClaimState::Unknown)) => ClaimOutcome::OutcomeUnknown,
                    Some((_, ClaimState::Held(by))) => match self.outcome(&claim) {
                        Some(stored) => ClaimOutcome::Done(stored),
                        None => ClaimOutcome::Held { by: *by },
                    },
                }
            };
            let pause = self.pause_millis.load(Ordering::SeqCst);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            Ok(outcome)
        })
    }

    fn release(&self, claim: ClaimRequest) -> PortFuture<'_, Result<(), ClaimError>> {
        Box::pin(async move {
            self.check()?;
            self.rows.lock().unwrap().remove(&(claim.account, claim.key));
            Ok(())
        })
    }

    fn mark_unknown(&self, claim: ClaimRequest) -> PortFuture<'_, Result<(), ClaimError>> {
        Box::pin(async move {
            self.check()?;
            let key = (claim.account.clone(), claim.key.clone());
            self.rows.lock().unwrap().insert(key, (claim, ClaimState::Unknown));
            Ok(())
        })
    }
}

/// Gives every account the share that the test sets.
pub struct FixedShares {
    pub share: Mutex<AccountShare>,
}

impl SharePort for FixedShares {
    fn share(&self, _: &AccountName) -> Option<AccountShare> {
        Some(*self.share.lock().unwrap())
    }

    fn record_demand(&self, _: &AccountName) {}
}

/// Quality estimates without any rating.
pub struct NoQuality;

impl QualityPort for NoQuality {
    fn estimates(&self) -> Arc<QualityTable> {
        Arc::default()
    }
}

/// A table in which another host can write between a look-up and the next transaction.
pub struct RacingTable {
    inner: MemoryTable,
    racing_write: Mutex<Option<Vec<u8>>>,
    loses_next_insert: AtomicBool,
}

impl RacingTable {
    pub fn new(inner: MemoryTable) -> Self {
        Self { inner, racing_write: Mutex::default(), loses_next_insert: AtomicBool::new(false) }
    }

    /// Applies the transaction after the next look-up, and loses its reply.
    pub fn lose_next_insert(&self) {
        self.loses_next_insert.store(true, Ordering::SeqCst);
    }

    /// Writes `value` as another host right after the next look-up, under the same key.
    pub fn set_racing_write(&self, value: &Value) {
        *self.racing_write.lock().unwrap() = Some(value.to_string().into_bytes());
    }
}

impl TablePort for RacingTable {
    fn transact(
        &self,
        transaction: TableTransaction,
    ) -> PortFuture<'_, Result<TransactionOutcome, PlatformError>> {
        self.inner.transact(transaction)
    }

    fn get<'a>(&'a self, key: &'a str) -> PortFuture<'a, Result<Option<TableRow>, PlatformError>> {
        Box::pin(async move {
            let found = self.inner.get(key).await?;
            if self.loses_next_insert.swap(false, Ordering::SeqCst) {
                self.inner.inject(MemoryFault::ReplyLost);
            }
            let racing_write = self.racing_write.lock().unwrap().take();
            if let Some(value) = racing_write {
                self.inner.transact(TableTransaction::new().with_put(key, value)).await?;
            }
            Ok(found)
        })
    }

    fn scan<'a>(
        &'a self,
        start: &'a str,
        end: &'a str,
        limit: usize,
    ) -> PortFuture<'a, Result<Vec<TableRow>, PlatformError>> {
        self.inner.scan(start, end, limit)
    }
}

/// A clock that always returns the same time.
pub struct FrozenClock(pub Timestamp);

impl ClockPort for FrozenClock {
    fn now(&self) -> Timestamp {
        self.0
    }
}
