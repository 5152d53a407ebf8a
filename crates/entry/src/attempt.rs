//! One attempt at a model engine: sends the request, checks the response and reads its chunks.

use crate::engine_chunk::{EngineChunk, EngineUsage};
use crate::load_report::is_queueing;
use crate::sse::SseReader;
use crate::upstream_handle::{UpstreamHandle, UpstreamPermit};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use oleander_adapters::http_client::CallError;
use oleander_adapters::http_server::read_body;
use oleander_adapters::traces::inject_context;
use oleander_core::attempt_retry::FaultKind;
use oleander_core::attempt_timeouts::AttemptTimeouts;
use oleander_core::catalog::objects::Priority;
use oleander_core::deadline::DEADLINE_HEADER;
use oleander_core::ids::{AttemptId, VersionName};
use oleander_core::stream_order::{ChunkVerdict, StreamFault, StreamOrder};
use oleander_core::trace_context::{TRACEPARENT_HEADER, TraceContext};
use oleander_core::units::{Millis, Timestamp};
use oleander_ports::upstream::{
    ATTEMPT_HEADER, NOT_RUN_HEADER, PRIORITY_HEADER, RESUME_HEADER, VERSION_HEADER,
};
use serde_json::{Map, Value};
use std::sync::Arc;
use std::time::Duration;

/// Response header with the engine's confidence in its answer, from 0 to 1.
const CONFIDENCE_HEADER: &str = "x-confidence";
/// Largest error body or cancel reply that is read, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 16 * 1024;
/// Timeout for reading an error body and for cancelling an attempt.
const AUXILIARY_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {message}", kind.name())]
pub struct AttemptFault {
    /// Kind of failure, which decides whether and where to retry.
    pub kind: FaultKind,
    /// Description of the failure.
    pub message: String,
}

impl AttemptFault {
    fn new(kind: FaultKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }
}

impl From<StreamFault> for AttemptFault {
    fn from(fault: StreamFault) -> Self {
        let kind = match fault {
            StreamFault::Cut(_) => FaultKind::Cut,
            _ => FaultKind::Wrong,
        };
        Self::new(kind, fault.to_string())
    }
}

/// An attempt to be sent.
pub struct AttemptCall<'a> {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Version that must answer.
    pub version: &'a VersionName,
    /// Request body.
    pub body: Bytes,
    /// Priority for the engine's queue.
    pub priority: Priority,
    /// Number of tokens received from earlier attempts; the stream resumes after them.
    pub resume_from: u32,
    /// Timeouts for the first byte and between chunks.
    pub timeouts: AttemptTimeouts,
    /// Time left for the engine.
    pub left: Millis,
    /// Trace context.
    pub trace: TraceContext,
}

/// An event of an answer's stream.
#[derive(Debug)]
pub enum AnswerEvent {
    /// A delta of the message.
    Delta(Map<String, Value>),
    /// The answer is complete, with its end marker.
    Complete(AnswerCompletion),
}

/// Finish reason and usage of a complete answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerCompletion {
    /// Why the engine stopped.
    pub finish_reason: String,
    /// Usage that the engine reports.
    pub usage: EngineUsage,
}

/// The stream of an answer.
pub struct EngineStream {
    permit: UpstreamPermit,
    body: Incoming,
    reader: SseReader,
    order: StreamOrder,
    timeouts: AttemptTimeouts,
    completion: AnswerCompletion,
    /// The engine's confidence, when it is in the response headers.
    pub confidence: Option<f64>,
}

/// Sends an attempt and checks the status and headers of the response.
///
/// # Errors
///
/// [`AttemptFault`] when there is no response, an error status, or the response belongs to another
/// attempt or version.
pub async fn open_attempt(
    permit: UpstreamPermit,
    call: &AttemptCall<'_>,
    now: Timestamp,
) -> Result<EngineStream, AttemptFault> {
    let request = attempt_request(permit.handle(), call)?;
    let response = wait_for_headers(permit.handle(), request, &call.timeouts).await?;
    permit.handle().record_load_header(response.headers(), now);
    let (head, body) = check_head(response, call).await?.into_parts();
    let confidence = text_header(&head.headers, CONFIDENCE_HEADER).and_then(|t| t.parse().ok());
    Ok(EngineStream {
        permit,
        body,
        reader: SseReader::new(),
        order: StreamOrder::resumed(call.resume_from),
        timeouts: call.timeouts,
        completion: AnswerCompletion::default(),
        confidence,
    })
}

/// Sends a request and waits for the response headers. An engine sends none while the request
/// queues, so when they are late the upstream's load is polled on a new connection: the connection
/// counts as silent only if the upstream reports an empty queue.
async fn wait_for_headers(
    handle: &UpstreamHandle,
    request: Request<Full<Bytes>>,
    timeouts: &AttemptTimeouts,
) -> Result<Response<Incoming>, AttemptFault> {
    let sending = handle.client.send(request, timeouts.queued_first_byte);
    tokio::pin!(sending);
    loop {
        let waited = tokio::time::timeout(timeouts.first_byte, &mut sending).await;
        if let Ok(sent) = waited {
            return sent.map_err(call_fault);
        }
        // The response may arrive while the upstream's load is polled.
        tokio::select! {
            sent = &mut sending => return sent.map_err(call_fault),
            queueing = is_queueing(handle) => if !queueing {
                handle.client.retire_connections();
                let message = format!("no answer within {:?}", timeouts.first_byte);
                return Err(AttemptFault::new(FaultKind::Silent, message));
            }
        }
    }
}

fn attempt_request(
    handle: &UpstreamHandle,
    call: &AttemptCall<'_>,
) -> Result<Request<Full<Bytes>>, AttemptFault> {
    let uri = format!("http://{}/v1/chat/completions", handle.address);
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(uri)
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(ATTEMPT_HEADER, call.attempt.to_string())
        .header(PRIORITY_HEADER, priority_name(call.priority))
        .header(DEADLINE_HEADER, call.left.get())
        .header(TRACEPARENT_HEADER, call.trace.to_string());
    if call.resume_from > 0 {
        request = request.header(RESUME_HEADER, call.resume_from);
    }
    let request = request.body(Full::new(call.body.clone()));
    let unsent = |error: http::Error| AttemptFault::new(FaultKind::Connect, error.to_string());
    let mut request = request.map_err(unsent)?;
    inject_context(&tracing::Span::current(), request.headers_mut());
    Ok(request)
}

/// Returns the name of a priority on the wire.
pub const fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Low => "low",
        Priority::Normal => "normal",
        Priority::High => "high",
    }
}

fn call_fault(error: CallError) -> AttemptFault {
    let kind = match &error {
        CallError::Connect(_) => FaultKind::Connect,
        CallError::Timeout(_) => FaultKind::Silent,
        CallError::Lost(_) | CallError::Stalled(_) | CallError::Body(_) => FaultKind::Lost,
    };
    AttemptFault::new(kind, error.to_string())
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

async fn check_head(
    response: Response<Incoming>,
    call: &AttemptCall<'_>,
) -> Result<Response<Incoming>, AttemptFault> {
    if response.status() != StatusCode::OK {
        return Err(status_fault(response).await);
    }
    check_identity(response.headers(), call)?;
    Ok(response)
}

/// Checks that the response is to this attempt and by the requested version.
fn check_identity(headers: &HeaderMap, call: &AttemptCall<'_>) -> Result<(), AttemptFault> {
    let attempt = call.attempt.to_string();
    let found = text_header(headers, ATTEMPT_HEADER).unwrap_or_default();
    if found != attempt {
        let message = format!("the answer is for attempt {found:?} and not for {attempt}");
        return Err(AttemptFault::new(FaultKind::Wrong, message));
    }
    let found = text_header(headers, VERSION_HEADER).unwrap_or_default();
    if found != call.version.as_str() {
        let message = format!("version {found:?} answered and not {}", call.version);
        return Err(AttemptFault::new(FaultKind::Wrong, message));
    }
    Ok(())
}

async fn status_fault(response: Response<Incoming>) -> AttemptFault {
    let status = response.status();
    let not_run = text_header(response.headers(), NOT_RUN_HEADER) == Some("1");
    let reading = read_body(response.into_body(), MAX_ERROR_BODY_BYTES);
    let body = tokio::time::timeout(AUXILIARY_TIMEOUT, reading).await;
    let text = body.ok().and_then(Result::ok).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let kind = match status {
        _ if not_run => FaultKind::NotRun,
        StatusCode::BAD_REQUEST
        | StatusCode::PAYLOAD_TOO_LARGE
        | StatusCode::UNPROCESSABLE_ENTITY => FaultKind::Rejected,
        _ => FaultKind::Failed,
    };
    AttemptFault::new(kind, format!("{status}: {text}"))
}

impl EngineStream {
    /// Reads the next event.
    ///
    /// # Errors
    ///
    /// [`AttemptFault`] when the stream is cut, silent for too long, malformed or out of order.
    pub async fn next(&mut self) -> Result<AnswerEvent, AttemptFault> {
        loop {
            if let Some(data) = self.reader.next_data() {
                if let Some(event) = self.handle_event(&data)? {
                    return Ok(event);
                }
                continue;
            }
            self.read_more().await?;
        }
    }

    async fn read_more(&mut self) -> Result<(), AttemptFault> {
        let timeout = self.timeouts.next_chunk;
        let frame = tokio::time::timeout(timeout, self.body.frame()).await.map_err(|_| {
            self.permit.handle().client.retire_connections();
            AttemptFault::new(FaultKind::Silent, format!("no chunk within {timeout:?}"))
        })?;
        let cut = || AttemptFault::from(StreamFault::Cut(self.order.position()));
        let frame = frame.ok_or_else(cut)?.map_err(|_| cut())?;
        if let Ok(bytes) = frame.into_data() {
            let pushed = self.reader.push(&bytes);
            pushed.map_err(|error| AttemptFault::new(FaultKind::Wrong, error.to_string()))?;
        }
        Ok(())
    }

    fn handle_event(&mut self, data: &[u8]) -> Result<Option<AnswerEvent>, AttemptFault> {
        if data == b"[DONE]" {
            self.order.end()?;
            return Ok(Some(AnswerEvent::Complete(std::mem::take(&mut self.completion))));
        }
        let chunk: EngineChunk = serde_json::from_slice(data)
            .map_err(|error| AttemptFault::new(FaultKind::Wrong, error.to_string()))?;
        self.handle_chunk(chunk)
    }

    fn handle_chunk(&mut self, chunk: EngineChunk) -> Result<Option<AnswerEvent>, AttemptFault> {
        if let Some(error) = chunk.error {
            return Err(AttemptFault::new(FaultKind::Cut, format!("the engine failed: {error}")));
        }
        let choice = chunk.choices.into_iter().next();
        let (delta, finish) = choice.map_or((Map::new(), None), |c| (c.delta, c.finish_reason));
        if let Some(reason) = finish {
            let reported = chunk.usage.map(|usage| usage.completion_tokens);
            self.order.finish(chunk.seq, reported)?;
            let usage = chunk.usage.unwrap_or_default();
            self.completion = AnswerCompletion { finish_reason: reason, usage };
            return Ok(None);
        }
        let Some(number) = chunk.seq else {
            let message = "a chunk without its number";
            return Err(AttemptFault::new(FaultKind::Wrong, message));
        };
        match self.order.accept(number)? {
            ChunkVerdict::Pass => Ok(Some(AnswerEvent::Delta(delta))),
            ChunkVerdict::Duplicate => Ok(None),
        }
    }
}

/// Asks an engine to cancel an attempt, on a background task.
pub fn cancel_attempt(handle: &Arc<UpstreamHandle>, attempt: AttemptId) {
    let handle = Arc::clone(handle);
    let uri = format!("http://{}/v1/attempts/{attempt}/cancel", handle.address);
    let Ok(request) = Request::post(uri).body(Full::new(Bytes::new())) else { return };
    tokio::spawn(async move {
        let sent =
            handle.client.send_buffered(request, AUXILIARY_TIMEOUT, MAX_ERROR_BODY_BYTES).await;
        if let Err(error) = sent {
            log::debug!("attempt_cancel_failed attempt={attempt} {error}");
        }
    });
}
