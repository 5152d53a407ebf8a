//! Error responses that the gateway generates itself.

use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};
use oleander_adapters::http_server::{ResponseBody, text_response};
use std::time::Duration;

/// An error response of the gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Response status; see [`promises_not_run`].
    pub status: StatusCode,
    /// Reason for the caller and the log.
    pub reason: &'static str,
    /// Value of `Retry-After`.
    pub retry_after: Option<Duration>,
}

/// Whether a status guarantees callers that their request has not run and never will, so that they may
/// repeat it, whatever it is.
///
/// ```
/// use http::StatusCode;
/// use oleander_gateway::refusal::promises_not_run;
///
/// assert!(promises_not_run(StatusCode::SERVICE_UNAVAILABLE));
/// assert!(!promises_not_run(StatusCode::BAD_GATEWAY));
/// ```
#[must_use]
pub const fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

impl Refusal {
    /// Creates a refusal.
    #[must_use]
    pub const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// Sets the `Retry-After` delay.
    #[must_use]
    pub const fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Outcome label for metrics and logs.
    #[must_use]
    pub const fn outcome(&self) -> &'static str {
        match self.status.as_u16() {
            503 | 429 | 408 => "refused",
            502 | 504 => "failed",
            _ => "denied",
        }
    }

    /// Builds the response.
    #[must_use]
    pub fn response(&self) -> Response<ResponseBody> {
        let mut response = text_response(self.status, format!("{}\n", self.reason));
        if let Some(wait) = self.retry_after {
            let text = format!("{:.2}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
