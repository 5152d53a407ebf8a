//! Claims of non-idempotent requests: at most one dispatch per client account and key.

use crate::PortFuture;
use oleander_core::ids::{AccountName, IdempotencyKey, RequestId};
use oleander_core::usage::StoredOutcome;
use serde::{Deserialize, Serialize};

/// A claim of the right to dispatch one request once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The client account.
    pub account: AccountName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// SHA-256 of operation and body; a repeat must have the same.
    pub body_digest: [u8; 32],
    /// The request that claims.
    pub request: RequestId,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// This request, and no other ever, may dispatch.
    Granted,
    /// Another request holds the claim and its outcome is not known yet.
    Held {
        /// The request that holds it.
        by: RequestId,
    },
    /// The work is done; this is its answer.
    Done(StoredOutcome),
    /// The work was dispatched and its outcome can no longer be known.
    OutcomeUnknown,
    /// The key was used with another body.
    KeyReused,
}

/// Why a claim could not be made. The caller may say "not run".
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the claim could not be made: {0}")]
pub struct ClaimError(pub String);

/// Makes and settles claims.
pub trait ClaimPort: Send + Sync {
    /// Claims; returns only after an ambiguous reply was settled by reading back.
    fn claim(&self, request: ClaimRequest) -> PortFuture<'_, Result<ClaimOutcome, ClaimError>>;

    /// Gives up a granted claim that was never dispatched. Only its own request may.
    fn release(&self, request: ClaimRequest) -> PortFuture<'_, Result<(), ClaimError>>;

    /// Marks a dispatched claim as having an outcome that cannot be known.
    fn mark_unknown(&self, request: ClaimRequest) -> PortFuture<'_, Result<(), ClaimError>>;
}
