//! One attempt at a model engine: sent, checked, read chunk by chunk.

use crate::engine_chunk::{EngineChunk, EngineUsage};
use crate::load_report::is_queueing;
use crate::sse::SseReader;
use crate::upstream_cell::{UpstreamCell, UpstreamPermit};
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

/// Carries how sure an engine is of its answer.
const CONFIDENCE_HEADER: &str = "x-confidence";
/// Largest body of a refusal that is read, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;
/// Longest time for reading the body of a refusal or for a cancel.
const SIDE_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {message}", kind.name())]
pub struct AttemptFault {
    /// The kind, which decides what comes next.
    pub kind: FaultKind,
    /// What happened.
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

/// What is sent.
pub struct AttemptCall<'a> {
    /// Identity of the attempt.
    pub attempt: AttemptId,
    /// The version that must answer.
    pub version: &'a VersionName,
    /// The body.
    pub body: Bytes,
    /// The priority.
    pub priority: Priority,
    /// Tokens that the router has already.
    pub resume_from: u32,
    /// Longest silences.
    pub patience: AttemptTimeouts,
    /// Time that the engine has.
    pub left: Millis,
    /// The trace.
    pub trace: TraceContext,
}

/// A piece of an answer.
#[derive(Debug)]
pub enum AnswerPiece {
    /// What is added to the message.
    Delta(Map<String, Value>),
    /// The whole answer came, with its end marker.
    Whole(AnswerClose),
}

/// How a whole answer closed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerClose {
    /// Why it ended.
    pub finish_reason: String,
    /// What the engine reports of it.
    pub usage: EngineUsage,
}

/// An answer that is being read.
pub struct EngineAnswer {
    permit: UpstreamPermit,
    body: Incoming,
    reader: SseReader,
    order: StreamOrder,
    patience: AttemptTimeouts,
    close: AnswerClose,
    /// How sure the engine is of it, when it says so at the start.
    pub confidence: Option<f64>,
}

/// Sends an attempt and checks the head of its answer.
///
/// # Errors
///
/// [`AttemptFault`] when there is no answer of this attempt by this version.
pub async fn open_attempt(
    permit: UpstreamPermit,
    call: &AttemptCall<'_>,
    now: Timestamp,
) -> Result<EngineAnswer, AttemptFault> {
    let request = attempt_request(permit.cell(), call)?;
    let response = patient_send(permit.cell(), request, &call.patience).await?;
    permit.cell().note_headers(response.headers(), now);
    let (head, body) = accept_head(response, call).await?.into_parts();
    let confidence = text_header(&head.headers, CONFIDENCE_HEADER).and_then(|t| t.parse().ok());
    Ok(EngineAnswer {
        permit,
        body,
        reader: SseReader::new(),
        order: StreamOrder::resumed(call.resume_from),
        patience: call.patience,
        close: AnswerClose::default(),
        confidence,
    })
}

/// Waits for the head of an answer. An engine that queues sends none until the request runs,
/// so a wait that is longer than usual is followed up on a connection of its own: only where
/// nothing waits for a slot does the connection count as silent.
async fn patient_send(
    cell: &UpstreamCell,
    request: Request<Full<Bytes>>,
    patience: &AttemptTimeouts,
) -> Result<Response<Incoming>, AttemptFault> {
    let sending = cell.client.send(request, patience.queued_first_byte);
    tokio::pin!(sending);
    loop {
        let waited = tokio::time::timeout(patience.first_byte, &mut sending).await;
        if let Ok(sent) = waited {
            return sent.map_err(call_fault);
        }
        // The answer may come while the upstream is asked.
        tokio::select! {
            sent = &mut sending => return sent.map_err(call_fault),
            queueing = is_queueing(cell) => if !queueing {
                cell.client.retire_connections();
                let message = format!("no answer within {:?}", patience.first_byte);
                return Err(AttemptFault::new(FaultKind::Silent, message));
            }
        }
    }
}

fn attempt_request(
    cell: &UpstreamCell,
    call: &AttemptCall<'_>,
) -> Result<Request<Full<Bytes>>, AttemptFault> {
    let uri = format!("http://{}/v1/chat/completions", cell.address);
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
    let wrong = |error: http::Error| AttemptFault::new(FaultKind::Connect, error.to_string());
    let mut request = request.map_err(wrong)?;
    inject_context(&tracing::Span::current(), request.headers_mut());
    Ok(request)
}

/// The name of a priority on the wire.
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
        CallError::Lost(_) | CallError::Body(_) => FaultKind::Lost,
    };
    AttemptFault::new(kind, error.to_string())
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

async fn accept_head(
    response: Response<Incoming>,
    call: &AttemptCall<'_>,
) -> Result<Response<Incoming>, AttemptFault> {
    if response.status() != StatusCode::OK {
        return Err(refused_head(response).await);
    }
    check_identity(response.headers(), call)?;
    Ok(response)
}

/// Checks that the answer is that of the attempt, by the version that was asked for.
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

async fn refused_head(response: Response<Incoming>) -> AttemptFault {
    let status = response.status();
    let not_run = text_header(response.headers(), NOT_RUN_HEADER) == Some("1");
    let reading = read_body(response.into_body(), MAX_REFUSAL_BYTES);
    let body = tokio::time::timeout(SIDE_CALL_TIMEOUT, reading).await;
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

impl EngineAnswer {
    /// The next piece.
    ///
    /// # Errors
    ///
    /// [`AttemptFault`] when the stream is cut, silent, or not that of the attempt.
    pub async fn next(&mut self) -> Result<AnswerPiece, AttemptFault> {
        loop {
            if let Some(data) = self.reader.next_data() {
                if let Some(piece) = self.take_event(&data)? {
                    return Ok(piece);
                }
                continue;
            }
            self.read_more().await?;
        }
    }

    async fn read_more(&mut self) -> Result<(), AttemptFault> {
        let patience = self.patience.next_chunk;
        let frame = tokio::time::timeout(patience, self.body.frame()).await.map_err(|_| {
            self.permit.cell().client.retire_connections();
            AttemptFault::new(FaultKind::Silent, format!("no chunk within {patience:?}"))
        })?;
        let cut = || AttemptFault::from(StreamFault::Cut(self.order.position()));
        let frame = frame.ok_or_else(cut)?.map_err(|_| cut())?;
        if let Ok(bytes) = frame.into_data() {
            let pushed = self.reader.push(&bytes);
            pushed.map_err(|error| AttemptFault::new(FaultKind::Wrong, error.to_string()))?;
        }
        Ok(())
    }

    fn take_event(&mut self, data: &[u8]) -> Result<Option<AnswerPiece>, AttemptFault> {
        if data == b"[DONE]" {
            self.order.end()?;
            return Ok(Some(AnswerPiece::Whole(std::mem::take(&mut self.close))));
        }
        let chunk: EngineChunk = serde_json::from_slice(data)
            .map_err(|error| AttemptFault::new(FaultKind::Wrong, error.to_string()))?;
        self.take_chunk(chunk)
    }

    fn take_chunk(&mut self, chunk: EngineChunk) -> Result<Option<AnswerPiece>, AttemptFault> {
        if let Some(error) = chunk.error {
            return Err(AttemptFault::new(FaultKind::Cut, format!("the engine failed: {error}")));
        }
        let choice = chunk.choices.into_iter().next();
        let (delta, finish) = choice.map_or((Map::new(), None), |c| (c.delta, c.finish_reason));
        if let Some(reason) = finish {
            let reported = chunk.usage.map(|usage| usage.completion_tokens);
            self.order.finish(chunk.seq, reported)?;
            let usage = chunk.usage.unwrap_or_default();
            self.close = AnswerClose { finish_reason: reason, usage };
            return Ok(None);
        }
        let Some(number) = chunk.seq else {
            let message = "a chunk without its number";
            return Err(AttemptFault::new(FaultKind::Wrong, message));
        };
        match self.order.accept(number)? {
            ChunkVerdict::Pass => Ok(Some(AnswerPiece::Delta(delta))),
            ChunkVerdict::Duplicate => Ok(None),
        }
    }
}

/// Tells an engine to stop an attempt, on a task of its own.
pub fn cancel_attempt(cell: &Arc<UpstreamCell>, attempt: AttemptId) {
    let cell = Arc::clone(cell);
    let uri = format!("http://{}/v1/attempts/{attempt}/cancel", cell.address);
    let Ok(request) = Request::post(uri).body(Full::new(Bytes::new())) else { return };
    tokio::spawn(async move {
        let sent = cell.client.send_buffered(request, SIDE_CALL_TIMEOUT, MAX_REFUSAL_BYTES).await;
        if let Err(error) = sent {
            log::debug!("attempt_cancel_failed attempt={attempt} {error}");
        }
    });
}
