//! Bodies of the operators' interface.

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

/// Asks to check and publish files.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishCall {
    /// Names the publication; a repeat with the same id publishes once.
    pub publish_id: PublishId,
    /// The files.
    pub files: Vec<CatalogFile>,
    /// The revision that the files were written against; the head when left out.
    #[serde(default)]
    pub base: Option<Revision>,
    /// Why.
    #[serde(default)]
    pub note: Arc<str>,
}

/// Asks for one change by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditCall {
    /// Names the publication; a repeat with the same id publishes once.
    pub publish_id: PublishId,
    /// The change.
    pub change: CatalogEdit,
}

/// What a publication did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishReply {
    /// The revision that holds the catalog.
    pub revision: Revision,
    /// Whether the publication made a new revision.
    pub changed: bool,
    /// The objects that differ from the base.
    pub differences: Vec<DiffEntry>,
}

/// One member and what it has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member.
    #[serde(flatten)]
    pub member: Member,
    /// Whether it has the head, or a later revision, in force.
    pub in_force: bool,
}

/// What is in force where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The published head; `None` when nothing was published or the store does not answer.
    pub head: Option<RevisionRecord>,
    /// Why the head is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store_problem: Option<Arc<str>>,
    /// The members as this steward sees them.
    pub members: Vec<MemberStatus>,
    /// Leases that this steward holds, with their fencing numbers.
    pub leases: Vec<HeldLeaseStatus>,
}

/// A lease that a steward holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLeaseStatus {
    /// Its name.
    pub name: Arc<str>,
    /// Its fencing number.
    pub fencing: u64,
}

/// The objects of a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogReply {
    /// Who published it and why; `None` for revision 0, the empty catalog.
    pub record: Option<RevisionRecord>,
    /// The objects.
    pub catalog: Catalog,
}

/// What kind of failure it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorErrorCode {
    /// The key is missing or unknown.
    BadKey,
    /// The call is malformed.
    BadCall,
    /// What was asked for is not there.
    NotFound,
    /// The catalog has findings; nothing was published.
    Findings,
    /// Another publication came first; nothing was published.
    Conflict,
    /// The platform does not answer; nothing was done.
    PlatformDown,
    /// Whether the change was made is not known; repeat the call with the same publish id.
    Unsettled,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
pub struct OperatorError {
    /// What kind of failure it is.
    pub code: OperatorErrorCode,
    /// One line that says what to do.
    pub message: Arc<str>,
    /// Everything that is wrong with the catalog.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<CatalogFinding>,
    /// What another publication changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Box<PublishConflict>>,
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl OperatorError {
    /// A failure with a message and no more.
    #[must_use]
    pub fn new(code: OperatorErrorCode, message: impl Into<Arc<str>>) -> Self {
        Self { code, message: message.into(), findings: Vec::new(), conflict: None }
    }
}
