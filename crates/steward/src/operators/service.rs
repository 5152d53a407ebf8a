//! The operators' calls, independent of HTTP.

use crate::lease_actor::LeaseHandle;
use crate::operators::messages::{
    CatalogReply, EditCall, HeldLeaseStatus, MemberStatus, OperatorError, OperatorErrorCode,
    PublishCall, PublishReply, StatusReply,
};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use oleander_adapters::http_client::HttpClient;
use oleander_catalog::publish::{PublishError, PublishRequest, Published};
use oleander_catalog::records::{PublishId, RevisionRecord};
use oleander_catalog::store::StoreError;
use oleander_catalog::{CatalogPublisher, parse_catalog};
use oleander_core::catalog::Catalog;
use oleander_core::catalog::edit::apply_edit;
use oleander_core::ids::{AccountName, RequestId, Revision};
use oleander_core::ledger::fold::Statement;
use oleander_core::units::Timestamp;
use oleander_ledger::StatementReader;
use oleander_ports::members::{MemberRole, MembershipPort};
use oleander_ports::peers::{PeerChannel, PeerPort};
use oleander_ports::status::ProcessStatus;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of attempts of an edit, which is retried after a conflict with another
/// publication.
const MAX_EDIT_TRIES: u32 = 5;
/// Time limit for one call to another process.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of the explanation of a request, in bytes.
const MAX_EXPLANATION_BYTES: usize = 256 * 1024;

/// The parts that the service is built from.
#[derive(Clone)]
pub struct ServiceParts {
    /// Publishes and reads catalogs.
    pub publisher: CatalogPublisher,
    /// Reads billing statements.
    pub statements: StatementReader,
    /// The membership.
    pub members: Arc<dyn MembershipPort>,
    /// Calls to other processes.
    pub peers: Arc<dyn PeerPort>,
    /// The leases that this steward tries to hold.
    pub leases: Vec<LeaseHandle>,
}

/// Executes the operators' calls.
pub struct OperatorService {
    parts: ServiceParts,
    client: HttpClient,
}

impl OperatorService {
    /// A service built from `parts`.
    #[must_use]
    pub fn new(parts: ServiceParts) -> Self {
        Self { parts, client: HttpClient::new() }
    }

    /// Checks and publishes files.
    ///
    /// # Errors
    ///
    /// [`OperatorError`], which says whether anything was published.
    pub async fn publish(
        &self,
        call: &PublishCall,
        author: &str,
    ) -> Result<PublishReply, OperatorError> {
        let parsed = parse_catalog(&call.files);
        let (catalog, _) = parsed.map_err(|findings| to_error(PublishError::Invalid(findings)))?;
        let base = match call.base {
            Some(base) => base,
            None => self.head_revision(call.publish_id).await?,
        };
        let request =
            PublishRequest::new(call.publish_id, author, base).with_note(Arc::clone(&call.note));
        let published = self.parts.publisher.publish(&catalog, request).await;
        published.map(to_reply).map_err(to_error)
    }

    /// The base of a publication that names none: the head, or the revision before it if the head
    /// is this publication already, which makes a repeat idempotent.
    async fn head_revision(&self, publish_id: PublishId) -> Result<Revision, OperatorError> {
        let head = self.parts.publisher.store().head().await.map_err(store_error)?;
        let own = head.record.as_ref().is_some_and(|record| record.publish_id == publish_id);
        let revision = head.revision();
        Ok(if own { Revision::new(revision.get() - 1) } else { revision })
    }

    /// Applies one named edit to the head, and again to the new head after a conflict with another
    /// publication.
    ///
    /// # Errors
    ///
    /// [`OperatorError`], which says whether anything was published.
    pub async fn edit(&self, call: &EditCall, author: &str) -> Result<PublishReply, OperatorError> {
        let mut tries = 1;
        loop {
            let outcome = self.edit_once(call, author).await;
            match outcome {
                Err(PublishError::Conflict(_)) if tries < MAX_EDIT_TRIES => tries += 1,
                outcome => return outcome.map(to_reply).map_err(to_error),
            }
        }
    }

    async fn edit_once(&self, call: &EditCall, author: &str) -> Result<Published, PublishError> {
        let store = self.parts.publisher.store();
        let head = store.head().await?;
        let catalog = store.catalog(head.record.as_ref()).await?;
        let next = apply_edit(&catalog, &call.change)
            .map_err(|error| PublishError::Edit(error.to_string().into()))?;
        let request = PublishRequest::new(call.publish_id, author, head.revision())
            .with_note(call.change.to_string());
        self.parts.publisher.publish(&next, request).await
    }

    /// The published head, the revision in force on each member, and the leases held here.
    pub async fn status(&self) -> StatusReply {
        let (head, store_problem) = match self.parts.publisher.store().head().await {
            Ok(head) => (head.record, None),
            Err(error) => (None, Some(Arc::from(error.to_string()))),
        };
        let members = self.parts.members.members();
        let newest = members.iter().map(|member| member.revision).max();
        let target = head.as_ref().map(|record| record.revision).or(newest).unwrap_or_default();
        let status = |member: &oleander_ports::members::Member| MemberStatus {
            in_force: member.revision >= target,
            member: member.clone(),
        };
        let members = members.iter().map(status).collect();
        let held = self.parts.leases.iter().filter_map(|lease| {
            let fencing = lease.guard()?.fencing.get();
            Some(HeldLeaseStatus { name: lease.name(), fencing })
        });
        StatusReply { head, store_problem, members, leases: held.collect() }
    }

    /// The latest revisions, oldest first, at most `limit`.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] when the store does not answer.
    pub async fn history(&self, limit: usize) -> Result<Vec<RevisionRecord>, OperatorError> {
        let store = self.parts.publisher.store();
        let head = store.head().await.map_err(store_error)?.revision();
        let after = Revision::new(head.get().saturating_sub(limit as u64));
        store.history(after, limit).await.map_err(store_error)
    }

    /// The objects of a revision, or of the head for `None`.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] when there is no such revision or the store does not answer.
    pub async fn catalog(&self, revision: Option<Revision>) -> Result<CatalogReply, OperatorError> {
        let store = self.parts.publisher.store();
        let record = match revision {
            None => store.head().await.map_err(store_error)?.record,
            Some(revision) if revision.get() == 0 => None,
            Some(revision) => {
                let missing = || {
                    let message = format!("there is no revision {revision}; see history");
                    OperatorError::new(OperatorErrorCode::NotFound, message)
                };
                let record = store.record(revision).await.map_err(store_error)?;
                Some(record.ok_or_else(missing)?)
            }
        };
        let catalog: Catalog = store.catalog(record.as_ref()).await.map_err(store_error)?;
        Ok(CatalogReply { record, catalog })
    }

    /// The statement of a client account.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] when the statement cannot be read.
    pub async fn bill(
        &self,
        account: &AccountName,
        from: Timestamp,
        to: Timestamp,
    ) -> Result<Statement, OperatorError> {
        let statement = self.parts.statements.statement(account, from, to).await;
        statement.map_err(|error| {
            OperatorError::new(OperatorErrorCode::PlatformDown, format!("no statement: {error}"))
        })
    }

    /// Fetches the explanation of a request's routing from the entry that recorded it. Returns the
    /// JSON of the entry unchanged.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] when no reachable entry has a record of the request.
    pub async fn explain(&self, request: RequestId) -> Result<Bytes, OperatorError> {
        let members = self.parts.members.members();
        let entries = members.iter().filter(|member| member.role == MemberRole::Entry);
        for entry in entries {
            let Some(admin) = self.admin_address_of(entry.address).await else { continue };
            if let Some(explanation) = self.fetch_explanation(admin, request).await {
                return Ok(explanation);
            }
        }
        let message = format!(
            "no entry remembers {request}; entries keep the latest requests only, and a host \
             that was replaced remembers none"
        );
        Err(OperatorError::new(OperatorErrorCode::NotFound, message))
    }

    async fn admin_address_of(&self, peer: SocketAddr) -> Option<SocketAddr> {
        let call = self.parts.peers.call(peer, PeerChannel::Status, Vec::new(), CALL_TIMEOUT);
        let status: ProcessStatus = postcard::from_bytes(&call.await.ok()?).ok()?;
        Some(status.admin)
    }

    async fn fetch_explanation(&self, admin: SocketAddr, request: RequestId) -> Option<Bytes> {
        let uri = format!("http://{admin}/requests/{request}");
        let call = Request::get(uri).body(Full::new(Bytes::new())).ok()?;
        let answer =
            self.client.send_buffered(call, CALL_TIMEOUT, MAX_EXPLANATION_BYTES).await.ok()?;
        answer.status().is_success().then(|| answer.into_body())
    }
}

fn to_reply(published: Published) -> PublishReply {
    let Published { revision, changed, differences } = published;
    PublishReply { revision, changed, differences }
}

fn store_error(error: StoreError) -> OperatorError {
    OperatorError::new(OperatorErrorCode::PlatformDown, error.to_string())
}

fn to_error(error: PublishError) -> OperatorError {
    let message = error.to_string();
    match error {
        PublishError::Invalid(findings) => {
            OperatorError { findings, ..OperatorError::new(OperatorErrorCode::Findings, message) }
        }
        PublishError::Conflict(conflict) => OperatorError {
            conflict: Some(conflict),
            ..OperatorError::new(OperatorErrorCode::Conflict, message)
        },
        PublishError::Edit(_) => OperatorError::new(OperatorErrorCode::NotFound, message),
        PublishError::Store(_) | PublishError::Fenced => {
            OperatorError::new(OperatorErrorCode::PlatformDown, message)
        }
        PublishError::Unsettled(_) => OperatorError::new(OperatorErrorCode::Unsettled, message),
    }
}
