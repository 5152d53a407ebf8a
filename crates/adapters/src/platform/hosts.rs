//! The platform's list of hosts over HTTP.

use crate::platform::call::ServiceClient;
use http::Method;
use oleander_ports::hosts::{HostListPort, ListedHost};
use oleander_ports::{PlatformError, PortFuture};
use std::net::SocketAddr;

/// Client of the host list service at one address.
pub struct HttpHostList {
    client: ServiceClient,
}

impl HttpHostList {
    /// A client of the host list service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { client: ServiceClient::new(address) }
    }
}

impl HostListPort for HttpHostList {
    fn hosts(&self) -> PortFuture<'_, Result<Vec<ListedHost>, PlatformError>> {
        Box::pin(async move { self.client.json(Method::GET, "/hosts", None::<&()>).await })
    }
}
