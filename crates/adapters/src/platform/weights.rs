//! The weight store over HTTP.

use crate::platform::call::ServiceClient;
use crate::platform::wire::{WireGrant, WireReserve};
use http::Method;
use oleander_core::ids::{UpstreamName, VersionName};
use oleander_ports::weights::{WeightGrant, WeightPort};
use oleander_ports::{PlatformError, PortFuture};
use std::net::SocketAddr;
use std::time::Duration;

/// Client of the weight store at one address.
pub struct HttpWeights {
    client: ServiceClient,
}

impl HttpWeights {
    /// A client of the weight store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { client: ServiceClient::new(address) }
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
                self.client.json(Method::POST, "/reserve", Some(&request)).await?;
            let retry = |ms| WeightGrant::RetryAfter(Duration::from_millis(ms));
            Ok(grant.retry_after_ms.map_or(WeightGrant::Granted, retry))
        })
    }
}
