//! Request and response bodies of the operators' API.

use oleander_catalog::publish::PublishConflict;
use oleander_catalog::records::{PublishId, RevisionRecord};
use oleander_core::catalog::diff::DiffEntry;
use oleander_core::catalog::edit::CatalogEdit;
use oleander_core::catalog::{Catalog, CatalogFile, CatalogFinding};
use oleander_core::ids::Revision;
use oleander_ports::members::Member;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Call that checks and publishes files.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishCall {
    /// Names the publication; a repeat with the same id publishes once.
    pub publish_id: PublishId,
    /// The catalog files.
    pub files: Vec<CatalogFile>,
    /// The revision that the files are based on; the head if omitted.
    #[serde(default)]
    pub base: Option<Revision>,
    /// Reason for the publication.
    #[serde(default)]
    pub note: Arc<str>,
}

/// Call that applies one named edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditCall {
    /// Names the publication; a repeat with the same id publishes once.
    pub publish_id: PublishId,
    /// The edit.
    pub change: CatalogEdit,
}

/// Result of a publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishReply {
    /// The revision that contains the catalog.
    pub revision: Revision,
    /// Whether the publication created a new revision.
    pub changed: bool,
    /// The objects that differ from the base.
    pub differences: Vec<DiffEntry>,
}

/// One member and whether it is up to date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member.
    #[serde(flatten)]
    pub member: Member,
    /// Whether the head, or a later revision, is in force on it.
    pub in_force: bool,
}

/// The published head and the state of the members and leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The published head; `None` if nothing was published or the store does not answer.
    pub head: Option<RevisionRecord>,
    /// Reason why the head could not be read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store_problem: Option<Arc<str>>,
    /// The members as seen by this steward.
    pub members: Vec<MemberStatus>,
    /// Leases that this steward holds, with their fencing numbers.
    pub leases: Vec<HeldLeaseStatus>,
}

/// A lease that a steward holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLeaseStatus {
    /// Name of the lease.
    pub name: Arc<str>,
    /// Fencing number of the holder.
    pub fencing: u64,
}

/// The objects of a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogReply {
    /// Record of the publication; `None` for revision 0, the empty catalog.
    pub record: Option<RevisionRecord>,
    /// The objects.
    pub catalog: Catalog,
}

/// Kind of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorErrorCode {
    /// The key is missing or unknown.
    BadKey,
    /// The call is malformed.
    BadCall,
    /// The requested object does not exist.
    NotFound,
    /// The catalog has findings; nothing was published.
    Findings,
    /// Conflict with another publication; nothing was published.
    Conflict,
    /// The platform does not answer; nothing was changed.
    PlatformDown,
    /// It is unknown whether the change was published; repeat the call with the same publish id.
    Unsettled,
}

/// Error of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
pub struct OperatorError {
    /// Kind of the failure.
    pub code: OperatorErrorCode,
    /// One line that describes the failure and what to do about it.
    pub message: Arc<str>,
    /// All findings of the catalog check.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<CatalogFinding>,
    /// The conflicting publication and what it changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Box<PublishConflict>>,
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl OperatorError {
    /// An error with only a code and a message.
    #[must_use]
    pub fn new(code: OperatorErrorCode, message: impl Into<Arc<str>>) -> Self {
        Self { code, message: message.into(), findings: Vec::new(), conflict: None }
    }
}
