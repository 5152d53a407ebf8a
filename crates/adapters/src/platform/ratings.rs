//! The rating service over HTTP.

use crate::platform::call::ServiceClient;
use http::Method;
use oleander_ports::ratings::{AnswerSample, RatingPage, RatingPort};
use oleander_ports::{PlatformError, PortFuture};
use std::net::SocketAddr;

/// Client of the rating service at one address.
pub struct HttpRatings {
    client: ServiceClient,
}

impl HttpRatings {
    /// A client of the rating service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { client: ServiceClient::new(address) }
    }
}

impl RatingPort for HttpRatings {
    fn submit(&self, samples: Vec<AnswerSample>) -> PortFuture<'_, Result<(), PlatformError>> {
        Box::pin(async move { self.client.json(Method::POST, "/samples", Some(&samples)).await })
    }

    fn ratings(
        &self,
        cursor: u64,
        limit: usize,
    ) -> PortFuture<'_, Result<RatingPage, PlatformError>> {
        Box::pin(async move {
            let path = format!("/ratings?cursor={cursor}&limit={limit}");
            self.client.json(Method::GET, &path, None::<&()>).await
        })
    }
}
