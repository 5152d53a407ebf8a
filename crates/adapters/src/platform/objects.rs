//! The object store over HTTP.

use crate::platform::call::{ServiceClient, status_error};
use crate::platform::wire::encode_text;
use http::{Method, StatusCode};
use oleander_ports::objects::{ObjectPort, PutOutcome};
use oleander_ports::{PlatformError, PortFuture};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// HTTP client of the object store at one address.
pub struct HttpObjects {
    client: ServiceClient,
}

impl HttpObjects {
    /// A client of the object store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { client: ServiceClient::new(address) }
    }

    /// Sets the timeout of each call.
    #[must_use]
    pub const fn with_timeout(mut self, timeout: Duration) -> Self {
        self.client.set_timeout(timeout);
        self
    }

    async fn put(&self, name: &str, body: Vec<u8>) -> Result<PutOutcome, PlatformError> {
        let path = format!("/objects/{}", encode_text(name));
        let answer = self.client.send(Method::PUT, &path, &[("if-none-match", "*")], body).await?;
        match answer.status() {
            StatusCode::CREATED => Ok(PutOutcome::Written),
            StatusCode::PRECONDITION_FAILED => Ok(PutOutcome::Exists),
            _ => Err(status_error(&answer)),
        }
    }

    async fn read(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let path = format!("/objects/{}", encode_text(name));
        let answer = self.client.send(Method::GET, &path, &[], Vec::new()).await?;
        match answer.status() {
            StatusCode::OK => Ok(Some(answer.into_body().to_vec())),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(status_error(&answer)),
        }
    }
}

impl ObjectPort for HttpObjects {
    fn put_if_absent<'a>(
        &'a self,
        name: &'a str,
        body: Vec<u8>,
    ) -> PortFuture<'a, Result<PutOutcome, PlatformError>> {
        Box::pin(self.put(name, body))
    }

    fn get<'a>(&'a self, name: &'a str) -> PortFuture<'a, Result<Option<Vec<u8>>, PlatformError>> {
        Box::pin(self.read(name))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> PortFuture<'a, Result<Vec<Arc<str>>, PlatformError>> {
        Box::pin(async move {
            let path = format!("/objects?prefix={}", encode_text(prefix));
            self.client.json(Method::GET, &path, None::<&()>).await
        })
    }
}
