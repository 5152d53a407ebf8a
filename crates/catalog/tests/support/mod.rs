//! Shared helpers of the tests.
#![allow(dead_code)]

use oleander_catalog::publish::{CatalogPublisher, PublishRequest, Published};
use oleander_catalog::records::PublishId;
use oleander_catalog::{CatalogFile, PublishError, parse_catalog};
use oleander_core::catalog::Catalog;
use oleander_core::catalog::edit::{CatalogEdit, apply_edit};
use oleander_core::ids::{DomainName, HostId, Incarnation, RegionName, Revision};
use oleander_core::units::Timestamp;
use oleander_ports::clock::{ClockPort, RuntimeClock};
use oleander_ports::members::{Member, MemberRole, MemberState};
use oleander_ports::table::{TablePort, TableRow, TableTransaction, TransactionOutcome};
use oleander_ports::{PlatformError, PortFuture};
use oleander_standin::memory::{MemoryObjects, MemoryTable};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

pub const SMALL: &str = include_str!("../../../core/tests/data/small.jsonc");

pub fn small_catalog() -> Catalog {
    parse_catalog(&[CatalogFile::new("small.jsonc", SMALL)]).unwrap().0
}

/// The small catalog with `upstream` drained for `reason`.
pub fn drained(upstream: &str, reason: &str) -> Catalog {
    let edit = CatalogEdit::Drain { upstream: upstream.parse().unwrap(), reason: reason.into() };
    apply_edit(&small_catalog(), &edit).unwrap()
}

pub fn clock() -> Arc<dyn ClockPort> {
    Arc::new(RuntimeClock::new(Timestamp::from_millis(1_800_000_000_000)))
}

#[derive(Clone, Default)]
pub struct Stores {
    pub table: MemoryTable,
    pub objects: MemoryObjects,
}

impl Stores {
    pub fn publisher(&self) -> CatalogPublisher {
        self.publisher_on(Arc::new(self.table.clone()))
    }

    pub fn publisher_on(&self, table: Arc<dyn TablePort>) -> CatalogPublisher {
        CatalogPublisher::new(table, Arc::new(self.objects.clone()), clock())
    }

    /// Overwrites the head row, to simulate a restored or corrupt table.
    pub async fn set_head_row(&self, value: Vec<u8>) {
        let write = TableTransaction::new().with_put("catalog/head", value);
        self.table.transact(write).await.unwrap();
    }

    pub async fn publish(&self, catalog: &Catalog, base: u64) -> Result<Published, PublishError> {
        let request = request(u128::from(base) + 1, "kim", base);
        self.publisher().publish(catalog, request).await
    }
}

pub fn request(id: u128, author: &str, base: u64) -> PublishRequest {
    PublishRequest::new(PublishId::new(id), author, Revision::new(base))
}

pub fn member(number: u16, role: MemberRole) -> Member {
    Member {
        id: host(number),
        incarnation: Incarnation::new(1),
        role,
        region: RegionName::new("puget").unwrap(),
        domain: domain(),
        address: address(number),
        state: MemberState::Alive,
        revision: Revision::new(0),
    }
}

pub fn host(number: u16) -> HostId {
    HostId::new(&format!("host-{number}.entry")).unwrap()
}

pub fn domain() -> DomainName {
    DomainName::new("puget-1").unwrap()
}

pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + number))
}

/// A table whose calls take 1 ms and that loses the replies to its next transactions.
#[derive(Clone, Default)]
pub struct LossyTable {
    pub inner: MemoryTable,
    /// Number of next transactions that are applied but whose reply is lost.
    pub lost_replies: Arc<AtomicU32>,
    /// Number of next transactions that are lost before they are applied. The caller sees the same
    /// error.
    pub lost_requests: Arc<AtomicU32>,
}

const CALL_DURATION: Duration = Duration::from_millis(1);

fn decrement(counter: &AtomicU32) -> bool {
    counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
}

impl TablePort for LossyTable {
    fn transact(
        &self,
        transaction: TableTransaction,
    ) -> PortFuture<'_, Result<TransactionOutcome, PlatformError>> {
        Box::pin(async move {
            let lost = || PlatformError::Unknown("the reply was lost".to_owned());
            if decrement(&self.lost_requests) {
                return Err(lost());
            }
            tokio::time::sleep(CALL_DURATION).await;
            let outcome = self.inner.transact(transaction).await;
            if decrement(&self.lost_replies) { Err(lost()) } else { outcome }
        })
    }

    fn get<'a>(&'a self, key: &'a str) -> PortFuture<'a, Result<Option<TableRow>, PlatformError>> {
        Box::pin(async move {
            tokio::time::sleep(CALL_DURATION).await;
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
