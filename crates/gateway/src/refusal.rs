//! Error responses that the gateway generates itself.

use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};
use oleander_adapters::http_server::{ResponseBody, text_response};
use std::time::Duration;

/// An error response of the gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Response status. 408, 421, 429 and 503 guarantee that the request has not run.
    pub status: StatusCode,
    /// Reason for the caller and the log.
    pub reason: &'static str,
    /// Value of `Retry-After`.
    pub retry_after: Option<Duration>,
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
