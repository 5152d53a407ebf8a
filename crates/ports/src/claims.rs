//! Claims of non-idempotent requests: at most one dispatch per client account and key.

use crate::PortFuture;

pub use oleander_core::claim::{ClaimOutcome, ClaimRequest};

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
