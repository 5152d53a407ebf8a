//! Publishes a catalog: writes the body, then updates the head in one conditional transaction.

use crate::records::{HEAD_KEY, MAX_BODY_BYTES, PublishId, RevisionRecord, body_digest};
use crate::records::{body_name, encode_body, history_key};
use crate::store::{CatalogStore, StoreError, StoredHead, with_timeout};
use oleander_core::catalog::diff::{DiffEntry, common_objects, diff_catalogs};
use oleander_core::catalog::{Catalog, CatalogFinding, PlaceIndex, check_catalog};
use oleander_core::head::CatalogHead;
use oleander_core::ids::Revision;
use oleander_ports::PlatformError;
use oleander_ports::clock::ClockPort;
use oleander_ports::members::{MembershipPort, Rumor};
use oleander_ports::objects::ObjectPort;
use oleander_ports::table::{RowCondition, TablePort, TableTransaction, TransactionOutcome};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Number of attempts of a store call. If replies are still lost then, the outcome of the
/// publication is unknown.
const MAX_ATTEMPTS: u32 = 6;
/// Delay before the second attempt, doubled before each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of object paths in a history row.
const MAX_LISTED_OBJECTS: usize = 50;

/// Author, reason, base and conditions of a publication.
#[derive(Clone, Debug)]
pub struct PublishRequest {
    /// Id of the publication. Repeated requests with the same id publish once.
    pub publish_id: PublishId,
    /// The author.
    pub author: Arc<str>,
    /// The reason.
    pub note: Arc<str>,
    /// The revision that the change is based on.
    pub base: Revision,
    /// Additional conditions of the transaction, such as the fencing token of a lease.
    pub conditions: Vec<RowCondition>,
}

impl PublishRequest {
    /// Creates a request for a publication based on `base`.
    #[must_use]
    pub fn new(publish_id: PublishId, author: &str, base: Revision) -> Self {
        let (author, note) = (Arc::from(author), Arc::from(""));
        Self { publish_id, author, note, base, conditions: Vec::new() }
    }

    /// Sets the reason.
    #[must_use]
    pub fn with_note(mut self, note: impl Into<Arc<str>>) -> Self {
        self.note = note.into();
        self
    }

    /// Adds a condition of the transaction.
    #[must_use]
    pub fn with_condition(mut self, condition: RowCondition) -> Self {
        self.conditions.push(condition);
        self
    }
}

/// A publication that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The revision that holds the catalog.
    pub revision: Revision,
    /// Whether a new revision was created; false if nothing differs from the base.
    pub changed: bool,
    /// The objects that differ from the base.
    pub differences: Vec<DiffEntry>,
}

/// Why a publication failed or its outcome is unknown.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The catalog has findings; nothing was published.
    #[error("the catalog has {} findings; nothing was published", .0.len())]
    Invalid(Vec<CatalogFinding>),
    /// The requested edit cannot be applied to the catalog in force; nothing was published.
    #[error("{0}; nothing was published")]
    Edit(Arc<str>),
    /// The head has moved since the base; nothing was published.
    #[error("{}", describe_conflict(.0))]
    Conflict(Box<PublishConflict>),
    /// An additional condition failed: the lease has another holder. Nothing was published.
    #[error("the lease of the publisher has another holder; nothing was published")]
    Fenced,
    /// A store call failed before the head was updated; nothing was published.
    #[error("nothing was published: {0}")]
    Store(#[from] StoreError),
    /// The outcome is unknown: the reply was lost and could not be read back.
    #[error("whether {0} was published is not known; publish again with the same id to settle it")]
    Unsettled(PublishId),
}

/// The publications between the base and the current head.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishConflict {
    /// The base of the refused publication.
    pub base: Revision,
    /// The current revision.
    pub head: Revision,
    /// Author of the current revision.
    pub author: Arc<str>,
    /// The objects that differ between base and head.
    pub differences: Vec<DiffEntry>,
    /// The objects that both changes modify.
    pub common: Vec<Arc<str>>,
}

fn describe_conflict(conflict: &PublishConflict) -> String {
    let changed: Vec<&str> =
        conflict.differences.iter().map(|entry| entry.object.as_ref()).collect();
    let common = match conflict.common.as_slice() {
        [] => "none of them is in this publication".to_owned(),
        common => format!("both change {}", common.join(", ")),
    };
    format!(
        "revision {} by {} came first, on base {}: it changed {}; {common}; nothing was published",
        conflict.head,
        conflict.author,
        conflict.base,
        changed.join(", ")
    )
}

/// Publishes catalogs.
#[derive(Clone)]
pub struct CatalogPublisher {
    store: CatalogStore,
    clock: Arc<dyn ClockPort>,
    members: Option<Arc<dyn MembershipPort>>,
}

impl CatalogPublisher {
    /// Creates a publisher for these stores.
    #[must_use]
    pub fn new(
        table: Arc<dyn TablePort>,
        objects: Arc<dyn ObjectPort>,
        clock: Arc<dyn ClockPort>,
    ) -> Self {
        Self { store: CatalogStore::new(table, objects), clock, members: None }
    }

    /// Announces each new head to the members.
    #[must_use]
    pub fn with_members(mut self, members: Arc<dyn MembershipPort>) -> Self {
        self.members = Some(members);
        self
    }

    /// The stores.
    #[must_use]
    pub const fn store(&self) -> &CatalogStore {
        &self.store
    }

    /// Validates a catalog and publishes it as the revision after the base.
    ///
    /// Repeated requests with the same publish id take effect once, even if replies are lost.
    ///
    /// # Errors
    ///
    /// [`PublishError`], which tells whether the catalog was published.
    pub async fn publish(
        &self,
        catalog: &Catalog,
        request: PublishRequest,
    ) -> Result<Published, PublishError> {
        let findings = check_catalog(catalog, &PlaceIndex::default());
        if !findings.is_empty() {
            return Err(PublishError::Invalid(findings));
        }
        let head = self.store.head().await?;
        if head.revision() != request.base {
            return self.resolve(catalog, &request).await?.ok_or_else(|| head_moved_back(&head));
        }
        let before = self.store.catalog(head.record.as_ref()).await?;
        let differences = diff_catalogs(&before, catalog);
        if differences.is_empty() && head.record.is_some() {
            return Ok(Published { revision: request.base, changed: false, differences });
        }
        let record = self.write_body(catalog, &request, &differences).await?;
        self.update_head(catalog, &request, head, &record).await?;
        self.announce(&record.head());
        Ok(Published { revision: record.revision, changed: true, differences })
    }

    async fn write_body(
        &self,
        catalog: &Catalog,
        request: &PublishRequest,
        differences: &[DiffEntry],
    ) -> Result<RevisionRecord, PublishError> {
        let damaged = |error: serde_json::Error| StoreError::Damaged(error.to_string());
        let body = encode_body(catalog).map_err(damaged)?;
        if body.len() > MAX_BODY_BYTES {
            let message = format!("the catalog has {} bytes, above {MAX_BODY_BYTES}", body.len());
            return Err(StoreError::Damaged(message).into());
        }
        let digest = body_digest(&body);
        self.put_body(&body_name(&digest), &body).await?;
        let listed = differences.iter().take(MAX_LISTED_OBJECTS);
        Ok(RevisionRecord {
            revision: request.base.next(),
            digest,
            publish_id: request.publish_id,
            author: Arc::clone(&request.author),
            note: Arc::clone(&request.note),
            published_at: self.clock.now(),
            objects: listed.map(|entry| Arc::clone(&entry.object)).collect(),
            restricts: differences.iter().any(|entry| entry.restricts),
        })
    }

    /// Writes the body. Its name is derived from its digest, so retrying after a lost reply is safe.
    async fn put_body(&self, name: &str, body: &[u8]) -> Result<(), StoreError> {
        let mut delay = FIRST_RETRY_DELAY;
        for _ in 1..MAX_ATTEMPTS {
            match with_timeout(self.store.objects().put_if_absent(name, body.to_vec())).await {
                Ok(_) => return Ok(()),
                Err(_) => tokio::time::sleep(delay).await,
            }
            delay *= 2;
        }
        with_timeout(self.store.objects().put_if_absent(name, body.to_vec())).await?;
        Ok(())
    }

    /// Updates the head. After a lost reply the same conditional transaction is sent again: it cannot
    /// apply twice, and after a conflict the outcome is read back.
    async fn update_head(
        &self,
        catalog: &Catalog,
        request: &PublishRequest,
        head: StoredHead,
        record: &RevisionRecord,
    ) -> Result<(), PublishError> {
        let transaction = head_transaction(request, &head, record)?;
        let mut delay = FIRST_RETRY_DELAY;
        let mut reply_lost = false;
        for _ in 0..MAX_ATTEMPTS {
            match with_timeout(self.store.table().transact(transaction.clone())).await {
                Ok(TransactionOutcome::Applied) => return Ok(()),
                Ok(TransactionOutcome::Conflict(failed)) => {
                    return self.resolve_conflict(catalog, request, &failed).await;
                }
                Err(PlatformError::Unknown(_)) => reply_lost = true,
                Err(PlatformError::NotApplied(_) | PlatformError::Throttled) => {}
            }
            tokio::time::sleep(delay).await;
            delay *= 2;
        }
        if reply_lost {
            return Err(PublishError::Unsettled(request.publish_id));
        }
        let message = "the table does not take the change; try again later".to_owned();
        Err(StoreError::Platform(PlatformError::NotApplied(message)).into())
    }

    async fn resolve_conflict(
        &self,
        catalog: &Catalog,
        request: &PublishRequest,
        failed: &[usize],
    ) -> Result<(), PublishError> {
        if self.resolve(catalog, request).await?.is_some() {
            return Ok(());
        }
        if failed.iter().any(|&index| index >= BASE_CONDITION_COUNT) {
            return Err(PublishError::Fenced);
        }
        Err(PublishError::Unsettled(request.publish_id))
    }

    /// Looks up this publication in the history. `Some` if it took effect, `None` if the base is
    /// still the head, and a conflict if another publication has the revision after the base.
    async fn resolve(
        &self,
        catalog: &Catalog,
        request: &PublishRequest,
    ) -> Result<Option<Published>, PublishError> {
        match self.store.record(request.base.next()).await {
            Ok(Some(record)) if record.publish_id == request.publish_id => {
                self.announce(&record.head());
                let differences = self.differences(request.base, catalog).await?;
                Ok(Some(Published { revision: record.revision, changed: true, differences }))
            }
            Ok(None) if self.store.head().await?.revision() == request.base => Ok(None),
            Ok(_) => Err(self.conflict(catalog, request).await?),
            Err(_) => Err(PublishError::Unsettled(request.publish_id)),
        }
    }

    async fn differences(
        &self,
        base: Revision,
        catalog: &Catalog,
    ) -> Result<Vec<DiffEntry>, StoreError> {
        let record = self.store.record(base).await?;
        Ok(diff_catalogs(&self.store.catalog(record.as_ref()).await?, catalog))
    }

    async fn conflict(
        &self,
        catalog: &Catalog,
        request: &PublishRequest,
    ) -> Result<PublishError, StoreError> {
        let head = self.store.head().await?;
        let base = self.store.record(request.base).await?;
        let before = self.store.catalog(base.as_ref()).await?;
        let now = self.store.catalog(head.record.as_ref()).await?;
        let differences = diff_catalogs(&before, &now);
        let common = common_objects(&differences, &diff_catalogs(&before, catalog));
        let author = head.record.as_ref().map_or(Arc::from(""), |r| Arc::clone(&r.author));
        let (base, head) = (request.base, head.revision());
        let conflict = PublishConflict { base, head, author, differences, common };
        Ok(PublishError::Conflict(Box::new(conflict)))
    }

    fn announce(&self, head: &CatalogHead) {
        let Some(members) = &self.members else { return };
        let (revision, digest) = (head.revision, Arc::clone(&head.digest));
        members.announce(Rumor::Head { revision, digest });
    }
}

/// Number of conditions that every transaction has; they precede the additional ones.
const BASE_CONDITION_COUNT: usize = 2;

fn head_transaction(
    request: &PublishRequest,
    head: &StoredHead,
    record: &RevisionRecord,
) -> Result<TableTransaction, StoreError> {
    let value = serde_json::to_vec(record).map_err(|e| StoreError::Damaged(e.to_string()))?;
    let history = history_key(record.revision);
    let head_key = Arc::from(HEAD_KEY);
    let head_unchanged = match head.row_version {
        Some(version) => RowCondition::VersionIs(head_key, version),
        None => RowCondition::Absent(head_key),
    };
    let mut transaction = TableTransaction::new()
        .with_condition(head_unchanged)
        .with_condition(RowCondition::Absent(Arc::from(history.as_str())))
        .with_put(HEAD_KEY, value.clone())
        .with_put(&history, value);
    transaction.conditions.extend(request.conditions.iter().cloned());
    Ok(transaction)
}

fn head_moved_back(head: &StoredHead) -> PublishError {
    let message = format!("the head moved back to revision {}", head.revision());
    PublishError::Store(StoreError::Damaged(message))
}
