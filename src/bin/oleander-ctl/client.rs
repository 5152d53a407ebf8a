//! Client of the stewards' admin ports. Tries the next steward when one is unreachable.

use crate::failure::CtlFailure;
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use oleander_adapters::http_client::{CallError, HttpClient};
use oleander_steward::operators::messages::{OperatorError, OperatorErrorCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of one call; generous because a publication may wait for slow stores.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Client that authenticates with an operator's key.
pub struct StewardClient {
    stewards: Vec<SocketAddr>,
    key: String,
    http: HttpClient,
}

impl StewardClient {
    /// A client that tries the stewards in the given order.
    pub fn new(stewards: Vec<SocketAddr>, key: String) -> Self {
        Self { stewards, key, http: HttpClient::new() }
    }

    /// Sends a GET request and decodes the response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlFailure> {
        let body = self.call(&Method::GET, path, Bytes::new(), "").await?;
        decode(&body)
    }

    /// Sends a POST request that changes the catalog. `publish_id` identifies the change, so that
    /// a retry takes effect once, whichever steward it reaches.
    pub async fn post<C: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        call: &C,
        publish_id: &str,
    ) -> Result<T, CtlFailure> {
        let body = serde_json::to_vec(call).map_err(|e| CtlFailure::Usage(e.to_string()))?;
        let body = self.call(&Method::POST, path, Bytes::from(body), publish_id).await?;
        decode(&body)
    }

    async fn call(
        &self,
        method: &Method,
        path: &str,
        body: Bytes,
        publish_id: &str,
    ) -> Result<Bytes, CtlFailure> {
        let mut last_error = None;
        for &steward in &self.stewards {
            let request = Request::builder()
                .method(method)
                .uri(format!("http://{steward}/operators/{path}"))
                .header(http::header::AUTHORIZATION, format!("Bearer {}", self.key))
                .body(Full::new(body.clone()))
                .map_err(|error| CtlFailure::Usage(error.to_string()))?;
            match self.http.send_buffered(request, CALL_TIMEOUT, MAX_RESPONSE_BYTES).await {
                Ok(answer) if answer.status().is_success() => return Ok(answer.into_body()),
                Ok(answer) => return Err(decode_refusal(answer.body())),
                Err(CallError::Connect(_)) => {}
                Err(error) => last_error = Some(format!("steward {steward}: {error}")),
            }
        }
        match last_error {
            Some(last_error) if method == Method::POST => {
                Err(CtlFailure::OutcomeUnknown(last_error, publish_id.to_owned()))
            }
            _ => {
                let tried: Vec<String> = self.stewards.iter().map(ToString::to_string).collect();
                Err(CtlFailure::Unreachable(tried.join(", ")))
            }
        }
    }

    /// Requests the trace of a request from an entry's admin port.
    pub async fn get_from_entry(&self, entry: SocketAddr, path: &str) -> Result<Bytes, CtlFailure> {
        let request = Request::get(format!("http://{entry}{path}"))
            .body(Full::new(Bytes::new()))
            .map_err(|error| CtlFailure::Usage(error.to_string()))?;
        match self.http.send_buffered(request, CALL_TIMEOUT, MAX_RESPONSE_BYTES).await {
            Ok(answer) if answer.status().is_success() => Ok(answer.into_body()),
            Ok(answer) => {
                let text = String::from_utf8_lossy(answer.body()).trim().to_owned();
                let error = OperatorError::new(OperatorErrorCode::NotFound, text);
                Err(CtlFailure::Steward(Box::new(error)))
            }
            Err(_) => Err(CtlFailure::Unreachable(entry.to_string())),
        }
    }
}

fn decode_refusal(body: &[u8]) -> CtlFailure {
    let raw_error = |_| {
        let text = String::from_utf8_lossy(body).trim().to_owned();
        OperatorError::new(OperatorErrorCode::BadCall, format!("steward refused the call: {text}"))
    };
    CtlFailure::Steward(Box::new(serde_json::from_slice(body).unwrap_or_else(raw_error)))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, CtlFailure> {
    let invalid = |error| {
        let message = format!("cannot decode the steward's answer (another release?): {error}");
        CtlFailure::Steward(Box::new(OperatorError::new(OperatorErrorCode::BadCall, message)))
    };
    serde_json::from_slice(body).map_err(invalid)
}
