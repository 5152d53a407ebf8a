//! Reads a caller's request body, limited in size and time.

use crate::refusal::Refusal;
use bytes::Bytes;
use hyper::body::Incoming;
use oleander_adapters::http_server::{BodyReadError, read_body};
use oleander_core::reason::Reason;
use std::time::Duration;

/// Timeout for a caller to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// A refusal when the body is too large, does not arrive in time or ends early.
pub async fn read_request_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let read = tokio::time::timeout(BODY_TIMEOUT, read_body(body, limit)).await;
    let read = read.map_err(|_| {
        Refusal::new(Reason::BadRequest, format!("the body did not come within {BODY_TIMEOUT:?}"))
    })?;
    read.map_err(|error| match error {
        BodyReadError::TooLarge(_) => Refusal::new(Reason::TooLarge, error.to_string()),
        BodyReadError::Truncated(_) => Refusal::new(Reason::BadRequest, error.to_string()),
    })
}
