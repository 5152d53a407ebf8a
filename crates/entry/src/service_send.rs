//! Sends one call to an instance of a plain service.

use crate::attempt::{AttemptFault, priority_name};
use crate::service_request::ServiceRequest;
use crate::upstream_handle::UpstreamHandle;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use oleander_adapters::http_client::{CallError, HttpClient};
use oleander_adapters::traces::inject_context;
use oleander_core::attempt_retry::FaultKind;
use oleander_core::deadline::DEADLINE_HEADER;
use oleander_core::ids::AttemptId;
use oleander_core::trace_context::TRACEPARENT_HEADER;
use oleander_ports::upstream::{ATTEMPT_HEADER, NOT_RUN_HEADER, PRIORITY_HEADER};
use std::sync::Arc;
use std::time::Duration;

/// Largest answer of a plain service, in bytes. It must fit into a row of the table.
pub const MAX_SERVICE_ANSWER: usize = 128 * 1024;

/// A complete answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    /// Body.
    pub body: Bytes,
    /// Whether the instance reports that it did not run the call.
    pub not_run: bool,
}

/// Sends one call and reads the complete answer.
///
/// # Errors
///
/// [`AttemptFault`]; with [`FaultKind::Connect`] no byte was sent, with any other the call may
/// have run.
pub async fn send_call(
    client: &HttpClient,
    handle: &UpstreamHandle,
    request: &ServiceRequest,
    attempt: AttemptId,
    timeout: Duration,
) -> Result<ServiceAnswer, AttemptFault> {
    let call = call_request(handle, request, attempt, timeout)?;
    let sent = client.send_buffered(call, timeout, MAX_SERVICE_ANSWER).await;
    let (head, body) = sent.map_err(call_fault)?.into_parts();
    check_attempt(&head.headers, attempt)?;
    let content_type = head.headers.get(http::header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let not_run = head.headers.get(NOT_RUN_HEADER).is_some_and(|value| value == "1")
        && head.status == StatusCode::SERVICE_UNAVAILABLE;
    Ok(ServiceAnswer {
        status: head.status.as_u16(),
        content_type: Arc::from(content_type.unwrap_or("application/octet-stream")),
        body,
        not_run,
    })
}

fn call_request(
    handle: &UpstreamHandle,
    request: &ServiceRequest,
    attempt: AttemptId,
    timeout: Duration,
) -> Result<Request<Full<Bytes>>, AttemptFault> {
    let unsent = |message: String| AttemptFault { kind: FaultKind::Connect, message };
    let method = Method::from_bytes(request.operation.method.as_bytes());
    let method = method.map_err(|error| unsent(error.to_string()))?;
    let query = request.query.as_deref().map(|query| format!("?{query}")).unwrap_or_default();
    let uri: Uri = format!("http://{}{}{query}", handle.address, request.operation.path)
        .parse()
        .map_err(|error: http::uri::InvalidUri| unsent(error.to_string()))?;
    let call = Request::builder()
        .method(method)
        .uri(uri)
        .header(http::header::CONTENT_TYPE, &*request.content_type)
        .header(ATTEMPT_HEADER, attempt.to_string())
        .header(PRIORITY_HEADER, priority_name(request.priority))
        .header(DEADLINE_HEADER, timeout.as_millis() as u64)
        .header(TRACEPARENT_HEADER, request.trace_context.to_string())
        .body(Full::new(request.body.clone()));
    let mut call = call.map_err(|error| unsent(error.to_string()))?;
    inject_context(&tracing::Span::current(), call.headers_mut());
    Ok(call)
}

/// Checks the attempt id of an answer. Instances may omit it.
fn check_attempt(headers: &HeaderMap, attempt: AttemptId) -> Result<(), AttemptFault> {
    let Some(found) = headers.get(ATTEMPT_HEADER) else { return Ok(()) };
    let expected = attempt.to_string();
    if found.as_bytes() == expected.as_bytes() {
        return Ok(());
    }
    let message = format!("the answer is for {found:?} and not for {expected}");
    Err(AttemptFault { kind: FaultKind::Wrong, message })
}

fn call_fault(error: CallError) -> AttemptFault {
    let kind = match &error {
        CallError::Connect(_) => FaultKind::Connect,
        CallError::Timeout(_) => FaultKind::Silent,
        CallError::Lost(_) => FaultKind::Lost,
        CallError::Stalled(_) | CallError::Body(_) => FaultKind::Cut,
    };
    AttemptFault { kind, message: error.to_string() }
}
