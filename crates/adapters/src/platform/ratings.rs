//! The rating service over HTTP.

use crate::platform::call::ServiceCaller;
use http::Method;
use oleander_ports::ratings::{AnswerSample, RatingPage, RatingPort};
use oleander_ports::{PlatformError, PortFuture};
use std::net::SocketAddr;

/// Client of the rating service at one address.
pub struct HttpRatings {
    caller: ServiceCaller,
}

impl HttpRatings {
    /// A client of the rating service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { caller: ServiceCaller::new(address) }
    }
}

impl RatingPort for HttpRatings {
    fn submit(&self, samples: Vec<AnswerSample>) -> PortFuture<'_, Result<(), PlatformError>> {
        Box::pin(async move { self.caller.json(Method::POST, "/samples", Some(&samples)).await })
    }

    fn ratings(
        &self,
        cursor: u64,
        limit: usize,
    ) -> PortFuture<'_, Result<RatingPage, PlatformError>> {
        Box::pin(async move {
            let path = format!("/ratings?cursor={cursor}&limit={limit}");
            self.caller.json(Method::GET, &path, None::<&()>).await
        })
    }
}
