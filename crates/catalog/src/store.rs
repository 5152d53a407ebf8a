//! Reads the catalog from the platform's table and object store, with a timeout on each call.

use crate::records::{BodyError, HEAD_KEY, HISTORY_PREFIX, RevisionRecord, body_name};
use crate::records::{decode_body, history_key};
use oleander_core::catalog::Catalog;
use oleander_core::ids::Revision;
use oleander_ports::objects::ObjectPort;
use oleander_ports::table::{TablePort, TableRow, prefix_end};
use oleander_ports::{PlatformError, PortFuture};
use std::sync::Arc;
use std::time::Duration;

/// Timeout of one call to a store, after which its connection counts as silent.
pub const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why the catalog could not be read.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A call to a store failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A row or body is missing or invalid.
    #[error("the stored catalog is damaged: {0}")]
    Damaged(String),
}

impl From<BodyError> for StoreError {
    fn from(error: BodyError) -> Self {
        Self::Damaged(error.to_string())
    }
}

/// The table and the object store that hold the catalog.
#[derive(Clone)]
pub struct CatalogStore {
    table: Arc<dyn TablePort>,
    objects: Arc<dyn ObjectPort>,
}

/// The head record and the version of its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// The latest published revision; `None` if nothing was published.
    pub record: Option<RevisionRecord>,
    /// Version of the head row.
    pub row_version: Option<u64>,
}

impl StoredHead {
    /// The revision, or 0 if nothing was published.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.record.as_ref().map_or(Revision::new(0), |record| record.revision)
    }
}

impl CatalogStore {
    /// Creates a reader of these stores.
    #[must_use]
    pub fn new(table: Arc<dyn TablePort>, objects: Arc<dyn ObjectPort>) -> Self {
        Self { table, objects }
    }

    /// The table.
    #[must_use]
    pub fn table(&self) -> &Arc<dyn TablePort> {
        &self.table
    }

    /// The object store.
    #[must_use]
    pub fn objects(&self) -> &Arc<dyn ObjectPort> {
        &self.objects
    }

    /// Reads the published head.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the table does not answer or the row is invalid.
    pub async fn head(&self) -> Result<StoredHead, StoreError> {
        let row = with_timeout(self.table.get(HEAD_KEY)).await?;
        let row_version = row.as_ref().map(|row| row.version);
        Ok(StoredHead { record: row.as_ref().map(decode_record).transpose()?, row_version })
    }

    /// Reads the record of a revision.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the table does not answer or the row is invalid.
    pub async fn record(&self, revision: Revision) -> Result<Option<RevisionRecord>, StoreError> {
        let key = history_key(revision);
        let row = with_timeout(self.table.get(&key)).await?;
        row.as_ref().map(decode_record).transpose()
    }

    /// Reads at most `limit` records after the revision `after`, oldest first.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the table does not answer or a row is invalid.
    pub async fn history(
        &self,
        after: Revision,
        limit: usize,
    ) -> Result<Vec<RevisionRecord>, StoreError> {
        let (start, end) = (history_key(after.next()), prefix_end(HISTORY_PREFIX));
        let rows = with_timeout(self.table.scan(&start, &end, limit)).await?;
        rows.iter().map(decode_record).collect()
    }

    /// Reads and verifies the body with this digest. `None` if there is no such object.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the object store does not answer or the body is invalid.
    pub async fn body(&self, digest: &str) -> Result<Option<(Catalog, Vec<u8>)>, StoreError> {
        let name = body_name(digest);
        let Some(body) = with_timeout(self.objects.get(&name)).await? else { return Ok(None) };
        Ok(Some((decode_body(digest, &body)?, body)))
    }

    /// Reads the catalog of a record; the empty catalog for `None`.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if a store does not answer, or the body is missing or invalid.
    pub async fn catalog(&self, record: Option<&RevisionRecord>) -> Result<Catalog, StoreError> {
        let Some(record) = record else { return Ok(Catalog::default()) };
        let missing = || StoreError::Damaged(format!("no body of revision {}", record.revision));
        Ok(self.body(&record.digest).await?.ok_or_else(missing)?.0)
    }
}

fn decode_record(row: &TableRow) -> Result<RevisionRecord, StoreError> {
    let damaged = |error| StoreError::Damaged(format!("row {}: {error}", row.key));
    serde_json::from_slice(&row.value).map_err(damaged)
}

/// Runs a call with a timeout of [`STORE_TIMEOUT`]. A call that timed out may have been applied.
///
/// # Errors
///
/// The error of the call, or [`PlatformError::Unknown`] after the timeout.
pub async fn with_timeout<T>(
    call: PortFuture<'_, Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let timed_out = |_| PlatformError::Unknown(format!("no answer within {STORE_TIMEOUT:?}"));
    tokio::time::timeout(STORE_TIMEOUT, call).await.map_err(timed_out)?
}
