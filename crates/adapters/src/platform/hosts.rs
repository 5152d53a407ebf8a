//! The platform's list of hosts over HTTP.

use crate::platform::call::ServiceCaller;
use http::Method;
use oleander_ports::hosts::{HostListPort, ListedHost};
use oleander_ports::{PlatformError, PortFuture};
use std::net::SocketAddr;

/// Client of the host list service at one address.
pub struct HttpHostList {
    caller: ServiceCaller,
}

impl HttpHostList {
    /// A client of the host list service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { caller: ServiceCaller::new(address) }
    }
}

impl HostListPort for HttpHostList {
    fn hosts(&self) -> PortFuture<'_, Result<Vec<ListedHost>, PlatformError>> {
        Box::pin(async move { self.caller.json(Method::GET, "/hosts", None::<&()>).await })
    }
}
