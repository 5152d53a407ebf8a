//! Claims that allow at most one dispatch of a non-idempotent request per client account and key.

use crate::PortFuture;

pub use oleander_core::claim::{ClaimOutcome, ClaimRequest};

/// A claim could not be made. The request was not dispatched, so it may be answered as not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the claim could not be made: {0}")]
pub struct ClaimError(pub String);

/// Makes, releases and marks claims.
pub trait ClaimPort: Send + Sync {
    /// Makes a claim. When the store's reply is ambiguous, reads the claim back before returning.
    fn claim(&self, request: ClaimRequest) -> PortFuture<'_, Result<ClaimOutcome, ClaimError>>;

    /// Releases a granted claim that was never dispatched. Only the request that holds it may
    /// do so.
    fn release(&self, request: ClaimRequest) -> PortFuture<'_, Result<(), ClaimError>>;

    /// Marks the outcome of a dispatched claim as unknown.
    fn mark_unknown(&self, request: ClaimRequest) -> PortFuture<'_, Result<(), ClaimError>>;
}
