//! The platform's rate-limited weight store.

use crate::{PlatformError, PortFuture};
use oleander_core::ids::{UpstreamName, VersionName};
use std::time::Duration;

/// Answer to a request to load weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightGrant {
    /// The upstream may load now.
    Granted,
    /// The store is at its rate; ask again after this time.
    RetryAfter(Duration),
}

/// The weight store.
pub trait WeightPort: Send + Sync {
    /// Asks for one load of a version's weights by an upstream.
    fn reserve<'a>(
        &'a self,
        upstream: &'a UpstreamName,
        version: &'a VersionName,
        megabytes: u32,
    ) -> PortFuture<'a, Result<WeightGrant, PlatformError>>;
}
