//! The weight store over HTTP.

use crate::platform::call::ServiceCaller;
use crate::platform::wire::{WireGrant, WireReserve};
use http::Method;
use oleander_core::ids::{UpstreamName, VersionName};
use oleander_ports::weights::{WeightGrant, WeightPort};
use oleander_ports::{PlatformError, PortFuture};
use std::net::SocketAddr;
use std::time::Duration;

/// Client of the weight store at one address.
pub struct HttpWeights {
    caller: ServiceCaller,
}

impl HttpWeights {
    /// A client of the weight store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { caller: ServiceCaller::new(address) }
    }
}

impl WeightPort for HttpWeights {
    fn reserve<'a>(
        &'a self,
        upstream: &'a UpstreamName,
        version: &'a VersionName,
        megabytes: u32,
    ) -> PortFuture<'a, Result<WeightGrant, PlatformError>> {
        Box::pin(async move {
            let (upstream, version) = (upstream.clone(), version.clone());
            let request = WireReserve { upstream, version, megabytes };
            let grant: WireGrant =
                self.caller.json(Method::POST, "/reserve", Some(&request)).await?;
            let retry = |ms| WeightGrant::RetryAfter(Duration::from_millis(ms));
            Ok(grant.retry_after_ms.map_or(WeightGrant::Granted, retry))
        })
    }
}
