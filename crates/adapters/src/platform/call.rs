//! HTTP calls to one service of the platform.

use crate::http_client::{CallError, HttpClient};
use crate::platform::NOT_APPLIED_HEADER;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use oleander_ports::PlatformError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Default timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an answer's body, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Client of one service of the platform.
pub(super) struct ServiceClient {
    address: SocketAddr,
    client: HttpClient,
    timeout: Duration,
}

impl ServiceClient {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, client: HttpClient::new(), timeout: CALL_TIMEOUT }
    }

    pub(super) const fn set_timeout(&mut self, timeout: Duration) {
        self.timeout = timeout;
    }

    /// Sends a request to `path` and returns the service's answer, whatever its status.
    pub(super) async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<Response<Bytes>, PlatformError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(http::header::HOST, self.address.to_string());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| PlatformError::NotApplied(error.to_string()))?;
        let answer = self.client.send_buffered(request, self.timeout, MAX_ANSWER_BYTES).await;
        answer.map_err(call_error)
    }

    /// Sends a request and decodes the JSON body of a successful answer.
    pub(super) async fn json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&(impl Serialize + Sync)>,
    ) -> Result<T, PlatformError> {
        let encoded = body.map(serde_json::to_vec).transpose();
        let encoded = encoded.map_err(|error| PlatformError::NotApplied(error.to_string()))?;
        let answer = self.send(method, path, &[], encoded.unwrap_or_default()).await?;
        if !answer.status().is_success() {
            return Err(status_error(&answer));
        }
        let decoded = serde_json::from_slice(answer.body());
        decoded.map_err(|error| PlatformError::Unknown(format!("the answer is malformed: {error}")))
    }
}

fn call_error(error: CallError) -> PlatformError {
    match error {
        CallError::Connect(_) => PlatformError::NotApplied(error.to_string()),
        CallError::Lost(_) | CallError::Timeout(_) | CallError::Stalled(_) | CallError::Body(_) => {
            PlatformError::Unknown(error.to_string())
        }
    }
}

/// The error that an unsuccessful answer of a service represents.
pub(super) fn status_error(answer: &Response<Bytes>) -> PlatformError {
    let text = String::from_utf8_lossy(answer.body());
    let message = format!("{}: {}", answer.status(), text.trim());
    let not_applied = answer.headers().contains_key(NOT_APPLIED_HEADER);
    match answer.status() {
        StatusCode::TOO_MANY_REQUESTS => PlatformError::Throttled,
        status if not_applied || status.is_client_error() => PlatformError::NotApplied(message),
        _ => PlatformError::Unknown(message),
    }
}
