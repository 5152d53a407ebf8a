//! The platform's rate-limited store of model weights.

use crate::{PlatformError, PortFuture};
use oleander_core::ids::{UpstreamName, VersionName};
use std::time::Duration;

/// Answer to a request to load weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightGrant {
    /// The upstream may load now.
    Granted,
    /// The store is at its rate limit; retry after this time.
    RetryAfter(Duration),
}

/// The weight store.
pub trait WeightPort: Send + Sync {
    /// Reserves one load of a version's weights, of `megabytes` MB, by an upstream.
    fn reserve<'a>(
        &'a self,
        upstream: &'a UpstreamName,
        version: &'a VersionName,
        megabytes: u32,
    ) -> PortFuture<'a, Result<WeightGrant, PlatformError>>;
}
