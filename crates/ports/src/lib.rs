//! Traits and typed messages between the decision logic and its adapters.
//!
//! Each trait documents the contract of its adapters. Ports return boxed futures, so that they
//! can be held as `Arc<dyn …>` and replaced by small fakes in tests.

#![warn(clippy::unwrap_used)]

pub mod catalog;
pub mod claims;
pub mod clock;
pub mod hosts;
pub mod members;
pub mod objects;
pub mod peers;
pub mod ratings;
pub mod shares;
pub mod status;
pub mod table;
pub mod upstream;
pub mod usage;
pub mod weights;

use std::future::Future;
use std::pin::Pin;

/// The boxed future that a port returns.
pub type PortFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The call was not applied: nothing was sent, or the platform refused it.
    #[error("the platform did not take the call: {0}")]
    NotApplied(String),
    /// The call may or may not have been applied; read back before acting on the result.
    #[error("the platform's reply was lost: {0}")]
    Unknown(String),
    /// The platform's rate limit was exceeded; nothing was applied.
    #[error("the platform is over its rate")]
    Throttled,
}
