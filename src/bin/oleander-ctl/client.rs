//! Calls stewards, the next one when one cannot be reached.

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

/// Longest time for one call; a publication may wait for slow stores.
const CALL_DEADLINE: Duration = Duration::from_secs(30);
/// Largest answer, in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// Calls stewards with an operator's key.
pub struct StewardClient {
    stewards: Vec<SocketAddr>,
    key: String,
    http: HttpClient,
}

impl StewardClient {
    /// Calls these stewards in turn.
    pub fn new(stewards: Vec<SocketAddr>, key: String) -> Self {
        Self { stewards, key, http: HttpClient::new() }
    }

    /// Reads something.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlFailure> {
        let body = self.call(&Method::GET, path, Bytes::new(), "").await?;
        decode(&body)
    }

    /// Changes something. `publish_id` names the change, so that it can be repeated: it takes
    /// effect once, whichever steward it reaches.
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
        let mut lost = None;
        for &steward in &self.stewards {
            let request = Request::builder()
                .method(method)
                .uri(format!("http://{steward}/operators/{path}"))
                .header(http::header::AUTHORIZATION, format!("Bearer {}", self.key))
                .body(Full::new(body.clone()))
                .map_err(|error| CtlFailure::Usage(error.to_string()))?;
            match self.http.send_buffered(request, CALL_DEADLINE, MAX_ANSWER).await {
                Ok(answer) if answer.status().is_success() => return Ok(answer.into_body()),
                Ok(answer) => return Err(refusal(answer.body())),
                Err(CallError::Connect(_)) => {}
                Err(error) => lost = Some(format!("steward {steward}: {error}")),
            }
        }
        match lost {
            Some(lost) if method == Method::POST => {
                Err(CtlFailure::Unsettled(lost, publish_id.to_owned()))
            }
            _ => {
                let tried: Vec<String> = self.stewards.iter().map(ToString::to_string).collect();
                Err(CtlFailure::Unreachable(tried.join(", ")))
            }
        }
    }

    /// Asks an entry for the explanation of a request.
    pub async fn ask_entry(&self, entry: SocketAddr, path: &str) -> Result<Bytes, CtlFailure> {
        let request = Request::get(format!("http://{entry}{path}"))
            .body(Full::new(Bytes::new()))
            .map_err(|error| CtlFailure::Usage(error.to_string()))?;
        match self.http.send_buffered(request, CALL_DEADLINE, MAX_ANSWER).await {
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

fn refusal(body: &[u8]) -> CtlFailure {
    let unclear = |_| {
        let text = String::from_utf8_lossy(body).trim().to_owned();
        OperatorError::new(OperatorErrorCode::BadCall, format!("the steward refused: {text}"))
    };
    CtlFailure::Steward(Box::new(serde_json::from_slice(body).unwrap_or_else(unclear)))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, CtlFailure> {
    let wrong = |error| {
        let message = format!("the steward's answer is of another release: {error}");
        CtlFailure::Steward(Box::new(OperatorError::new(OperatorErrorCode::BadCall, message)))
    };
    serde_json::from_slice(body).map_err(wrong)
}
