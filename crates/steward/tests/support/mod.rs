//! Shared support of the tests of this crate.
#![allow(dead_code)]

use oleander_catalog::records::PublishId;
use oleander_catalog::store::CatalogStore;
use oleander_catalog::{
    CatalogFile, CatalogPublisher, FixedCatalog, PublishRequest, parse_catalog,
};
use oleander_core::catalog::Catalog;
use oleander_core::catalog::edit::{CatalogEdit, apply_edit};
use oleander_core::catalog::objects::{Rollout, RolloutPhase, RolloutStep};
use oleander_core::ids::{HostId, RequestId, RolloutName, VersionName};
use oleander_core::units::{Millis, Timestamp};
use oleander_ports::catalog::CatalogPort;
use oleander_ports::clock::{ClockPort, RuntimeClock};
use oleander_ports::ratings::{AnswerSample, RatingPort};
use oleander_ports::table::{RowWrite, TablePort, TableRow, TableTransaction, TransactionOutcome};
use oleander_ports::{PlatformError, PortFuture};
use oleander_standin::fakes::{FakeMembers, FakePeers};
use oleander_standin::memory::{
    MemoryHosts, MemoryObjects, MemoryRatings, MemoryTable, MemoryWeights,
};
use oleander_steward::{StewardNode, StewardParts};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

const SMALL: &str = include_str!("../../../core/tests/data/small.jsonc");

pub fn small_catalog() -> Catalog {
    parse_catalog(&[CatalogFile::new("small.jsonc", SMALL)]).unwrap().0
}

pub fn version(name: &str) -> VersionName {
    VersionName::new(name).unwrap()
}

pub fn rollout_name() -> RolloutName {
    RolloutName::new("spring").unwrap()
}

/// The small catalog with a running rollout of `menu-large@2`.
pub fn catalog_with_rollout() -> Catalog {
    let step = |share, ratings| RolloutStep { share, ratings, hold: Millis::new(2_000) };
    let rollout = Rollout {
        model: "menu-large".parse().unwrap(),
        from: version("menu-large@1"),
        to: version("menu-large@2"),
        steps: vec![step(0.02, 20), step(0.2, 50), step(1.0, 100)],
        step: 0,
        phase: RolloutPhase::Running,
    };
    let start = CatalogEdit::StartRollout { name: rollout_name(), rollout };
    apply_edit(&small_catalog(), &start).unwrap()
}

/// An in-memory platform with a clock, on which any number of stewards can be started.
pub struct TestPlatform {
    pub table: MemoryTable,
    pub objects: MemoryObjects,
    pub ratings: MemoryRatings,
    pub weights: MemoryWeights,
    pub hosts: MemoryHosts,
    pub members: FakeMembers,
    pub peers: FakePeers,
    pub clock: Arc<dyn ClockPort>,
    samples: std::sync::atomic::AtomicU64,
}

impl TestPlatform {
    pub fn new() -> Self {
        Self {
            table: MemoryTable::new(),
            objects: MemoryObjects::new(),
            ratings: MemoryRatings::new(),
            weights: MemoryWeights::new(),
            hosts: MemoryHosts::new(),
            members: FakeMembers::new(),
            peers: FakePeers::new(),
            clock: Arc::new(RuntimeClock::new(Timestamp::from_millis(1_800_000_000_000))),
            samples: 0.into(),
        }
    }

    pub fn parts(&self, catalog: Arc<dyn CatalogPort>) -> StewardParts {
        StewardParts {
            table: Arc::new(self.table.clone()),
            objects: Arc::new(self.objects.clone()),
            ratings: Arc::new(self.ratings.clone()),
            weights: Arc::new(self.weights.clone()),
            hosts: Arc::new(self.hosts.clone()),
            members: Arc::new(self.members.clone()),
            peers: Arc::new(self.peers.clone()),
            catalog,
            clock: Arc::clone(&self.clock),
        }
    }

    /// A steward that uses a slow table.
    pub fn steward_on(&self, table: &SlowTable, number: u64) -> StewardNode {
        let mut parts = self.parts(Arc::new(FixedCatalog::new(Catalog::default())));
        parts.table = Arc::new(table.clone());
        StewardNode::start(parts, &host(number), number * 1_000)
    }

    /// A steward whose catalog has no upstreams.
    pub fn steward(&self, number: u64) -> StewardNode {
        let parts = self.parts(Arc::new(FixedCatalog::new(Catalog::default())));
        StewardNode::start(parts, &host(number), number * 1_000)
    }

    pub fn publisher(&self) -> CatalogPublisher {
        let (table, objects) = (Arc::new(self.table.clone()), Arc::new(self.objects.clone()));
        CatalogPublisher::new(table, objects, Arc::clone(&self.clock))
    }

    pub fn store(&self) -> CatalogStore {
        self.publisher().store().clone()
    }

    pub async fn publish(&self, catalog: &Catalog) {
        let base = self.store().head().await.unwrap().revision();
        let id = PublishId::new(u128::from(base.get()) + 1);
        self.publisher().publish(catalog, PublishRequest::new(id, "kim", base)).await.unwrap();
    }

    pub async fn head_catalog(&self) -> Catalog {
        let head = self.store().head().await.unwrap();
        self.store().catalog(head.record.as_ref()).await.unwrap()
    }

    pub async fn rollout(&self) -> Rollout {
        self.head_catalog().await.rollouts[&rollout_name()].clone()
    }

    /// Submits answers of a version for rating.
    pub async fn submit_answers(&self, name: &str, count: u64) {
        let first = self.samples.fetch_add(count, std::sync::atomic::Ordering::SeqCst);
        let sample = |number: u64| AnswerSample {
            request: RequestId::new(self.clock.now(), u128::from(first + number)),
            cascade: "menu-plan".parse().unwrap(),
            version: version(name),
            text: "an answer".into(),
        };
        self.ratings.submit((0..count).map(sample).collect()).await.unwrap();
    }

    /// Submits answers of both versions of the rollout every second.
    pub async fn run_traffic(&self, seconds: u64, answers_per_second: u64) {
        for _ in 0..seconds {
            self.submit_answers("menu-large@1", answers_per_second).await;
            self.submit_answers("menu-large@2", answers_per_second).await;
            sleep(1.0).await;
        }
    }

    pub fn set_quality(&self, name: &str, quality: f64) {
        self.ratings.set_quality(&"menu-plan".parse().unwrap(), &version(name), quality);
    }
}

pub fn host(number: u64) -> HostId {
    HostId::new(&format!("host-{number}.steward")).unwrap()
}

pub async fn sleep(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

/// A table whose calls take a millisecond, and that can delay a write as a network would.
#[derive(Clone)]
pub struct SlowTable {
    inner: MemoryTable,
    holds_next: Arc<AtomicBool>,
    release: Arc<Notify>,
}

impl SlowTable {
    pub fn new(inner: MemoryTable) -> Self {
        Self { inner, holds_next: Arc::default(), release: Arc::default() }
    }

    /// Delays the next write of the statistics; its sender gets no reply.
    pub fn hold_next_statistics(&self) {
        self.holds_next.store(true, Ordering::SeqCst);
    }

    pub fn is_holding(&self) -> bool {
        !self.holds_next.load(Ordering::SeqCst)
    }

    /// Applies the delayed write.
    pub fn release(&self) {
        self.release.notify_one();
    }

    fn holds(&self, transaction: &TableTransaction) -> bool {
        let statistics = |write: &RowWrite| matches!(write, RowWrite::Put(key, _) if key.starts_with("quality/"));
        transaction.writes.iter().any(statistics) && self.holds_next.swap(false, Ordering::SeqCst)
    }
}

impl TablePort for SlowTable {
    fn transact(
        &self,
        transaction: TableTransaction,
    ) -> PortFuture<'_, Result<TransactionOutcome, PlatformError>> {
        Box::pin(async move {
            if self.holds(&transaction) {
                let (inner, release) = (self.inner.clone(), Arc::clone(&self.release));
                tokio::spawn(async move {
                    release.notified().await;
                    inner.transact(transaction).await
                });
                return Err(PlatformError::Unknown("no reply".to_owned()));
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
            self.inner.transact(transaction).await
        })
    }

    fn get<'a>(&'a self, key: &'a str) -> PortFuture<'a, Result<Option<TableRow>, PlatformError>> {
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(1)).await;
            self.inner.get(key).await
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
