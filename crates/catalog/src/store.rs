//! Reads the catalog from the platform's table and object store, each call within a deadline.

use crate::records::{BodyError, HEAD_KEY, HISTORY_PREFIX, RevisionRecord, body_name};
use crate::records::{decode_body, history_key};
use oleander_core::catalog::Catalog;
use oleander_core::ids::Revision;
use oleander_ports::objects::ObjectPort;
use oleander_ports::table::{TablePort, TableRow, prefix_end};
use oleander_ports::{PlatformError, PortFuture};
use std::sync::Arc;
use std::time::Duration;

/// Longest time for one call to a store; after it the connection counts as silent.
pub const STORE_DEADLINE: Duration = Duration::from_secs(2);

/// Why the catalog could not be read.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A store did not answer.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A row or body is not what it should be.
    #[error("the stored catalog is damaged: {0}")]
    Damaged(String),
}

impl From<BodyError> for StoreError {
    fn from(error: BodyError) -> Self {
        Self::Damaged(error.to_string())
    }
}

/// Both stores.
#[derive(Clone)]
pub struct CatalogStore {
    table: Arc<dyn TablePort>,
    objects: Arc<dyn ObjectPort>,
}

/// The head and the version of its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// What was published last; `None` when nothing was.
    pub record: Option<RevisionRecord>,
    /// Version of the head row.
    pub row_version: Option<u64>,
}

impl StoredHead {
    /// The revision; 0 when nothing was published.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.record.as_ref().map_or(Revision::new(0), |record| record.revision)
    }
}

impl CatalogStore {
    /// Reads these stores.
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

    /// The published head.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when the table does not answer or the row is damaged.
    pub async fn head(&self) -> Result<StoredHead, StoreError> {
        let row = with_deadline(self.table.get(HEAD_KEY)).await?;
        let row_version = row.as_ref().map(|row| row.version);
        Ok(StoredHead { record: row.as_ref().map(decode_record).transpose()?, row_version })
    }

    /// The record of one revision.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when the table does not answer or the row is damaged.
    pub async fn record(&self, revision: Revision) -> Result<Option<RevisionRecord>, StoreError> {
        let key = history_key(revision);
        let row = with_deadline(self.table.get(&key)).await?;
        row.as_ref().map(decode_record).transpose()
    }

    /// The records after `after`, oldest first, at most `limit`.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when the table does not answer or a row is damaged.
    pub async fn history(
        &self,
        after: Revision,
        limit: usize,
    ) -> Result<Vec<RevisionRecord>, StoreError> {
        let (start, end) = (history_key(after.next()), prefix_end(HISTORY_PREFIX));
        let rows = with_deadline(self.table.scan(&start, &end, limit)).await?;
        rows.iter().map(decode_record).collect()
    }

    /// The body with a digest, verified; `None` when there is no such object.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when the object store does not answer or the body is damaged.
    pub async fn body(&self, digest: &str) -> Result<Option<(Catalog, Vec<u8>)>, StoreError> {
        let name = body_name(digest);
        let Some(body) = with_deadline(self.objects.get(&name)).await? else { return Ok(None) };
        Ok(Some((decode_body(digest, &body)?, body)))
    }

    /// The catalog of a record; the empty one for `None`.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when a store does not answer, or the body is missing or damaged.
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

/// Gives a call at most [`STORE_DEADLINE`]; a call without an answer may have been applied.
///
/// # Errors
///
/// The call's own error, or [`PlatformError::Unknown`] after the deadline.
pub async fn with_deadline<T>(
    call: PortFuture<'_, Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let late = |_| PlatformError::Unknown(format!("no answer within {STORE_DEADLINE:?}"));
    tokio::time::timeout(STORE_DEADLINE, call).await.map_err(late)?
}
