//! Error responses to callers.

use crate::headers::{REASON_HEADER, RUN_STATE_HEADER, set_header};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use oleander_adapters::http_server::{ResponseBody, json_response};
use oleander_core::reason::{Reason, RunState};
use serde::Serialize;
use std::time::Duration;

/// Why a request gets no answer, and whether any of it ran.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}: {message}")]
pub struct Refusal {
    /// Reason code.
    pub reason: Reason,
    /// Whether any of the request ran.
    pub run: RunState,
    /// Description of the error for people.
    pub message: String,
    /// Invalid parameter of the request: a JSON path or a header name.
    pub param: Option<String>,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request of which nothing ran.
    #[must_use]
    pub fn new(reason: Reason, message: impl Into<String>) -> Self {
        let run = RunState::NotRun;
        Self { reason, run, message: message.into(), param: None, retry_after: None }
    }

    /// Sets how much of the request ran.
    #[must_use]
    pub const fn with_run(mut self, run: RunState) -> Self {
        self.run = run;
        self
    }

    /// Sets the invalid parameter of the request.
    #[must_use]
    pub fn with_param(mut self, param: impl Into<String>) -> Self {
        self.param = Some(param.into());
        self
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub const fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Returns the body of the response.
    #[must_use]
    pub fn body(&self) -> ErrorBody<'_> {
        let error = ErrorDetail {
            message: &self.message,
            kind: error_type(self.reason),
            param: self.param.as_deref(),
            code: self.reason.code(),
        };
        ErrorBody { error }
    }

    /// Builds the response for the caller.
    #[must_use]
    pub fn response(&self) -> Response<ResponseBody> {
        let status = StatusCode::from_u16(self.reason.status());
        let mut response =
            json_response(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &self.body());
        self.add_headers(response.headers_mut());
        response
    }

    fn add_headers(&self, headers: &mut HeaderMap) {
        set_header(headers, REASON_HEADER, self.reason.code());
        set_header(headers, RUN_STATE_HEADER, &self.run.to_string());
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_millis().div_ceil(1_000).max(1);
            headers.insert(http::header::RETRY_AFTER, HeaderValue::from(seconds as u64));
        }
    }
}

/// The error body in the JSON shape that chat clients expect.
#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    param: Option<&'a str>,
    code: &'static str,
}

const fn error_type(reason: Reason) -> &'static str {
    match reason.status() {
        401 => "authentication_error",
        403 => "permission_error",
        404 => "not_found_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}
