//! Handles one request of a caller, from its headers to the end of its response.

use crate::admitted::admit;
use crate::answer_buffer::AnswerBuffer;
use crate::attempt::{UpstreamAnswer, remove_hop_headers};
use crate::connection_end::ConnectionEnd;
use crate::fault::AttemptFault;
use crate::refusal::Refusal;
use crate::request_record::RequestRecord;
use crate::request_run::{RequestRun, RunError};
use crate::state::GatewayState;
use crate::stream_relay::StreamRelay;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderMap, HeaderValue, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use oleander_adapters::http_server::{ResponseBody, full_body};
use oleander_core::attempt_retry::FaultKind;
use std::sync::Arc;

/// Answers one request of a connection.
pub async fn answer(
    state: Arc<GatewayState>,
    connection: ConnectionEnd,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut response = answer_request(Arc::clone(&state), connection, request).await;
    if state.stop.since(state.clock.now()).is_some() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer_request(
    state: Arc<GatewayState>,
    connection: ConnectionEnd,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let head = (state.wire.read_caller)(request.headers());
    let id = head.request.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("");
    let mut record = RequestRecord::new(Arc::clone(&state), connection, id);
    match admit(&state, request, &mut record).await {
        Ok(admitted) => {
            let run = RequestRun::new(state, admitted, record);
            if run.request.route.retry_policy.is_stream() {
                stream_answer(run).await
            } else {
                buffered_answer(run).await
            }
        }
        Err(refusal) => {
            record.set_outcome(refusal.outcome(), refusal.status.as_u16(), refusal.reason);
            refusal.response()
        }
    }
}

/// Buffers the complete response before it is passed on, so that the request can be retried.
async fn buffered_answer(mut run: RequestRun) -> Response<ResponseBody> {
    loop {
        let answer = match run.next_answer(None).await {
            Ok(answer) => answer,
            Err(error) => return refuse(run, &error),
        };
        let entry = Arc::clone(&answer.permit.upstream.entry);
        match buffer_answer(&run, answer).await {
            Ok(response) => {
                let status = response.status().as_u16();
                run.record_answered();
                run.record.set_outcome("answered", status, "");
                return response;
            }
            Err(fault) => {
                run.record_crash(&entry, &fault);
                run.record_fault(&entry, &fault);
                run.record.add_attempt(entry.name.as_str(), None, &fault.to_string());
                if !run.may_retry(&fault) {
                    let timed_out = run.time_left().is_zero();
                    let error =
                        if timed_out { RunError::TimedOut } else { RunError::Failed(fault) };
                    return refuse(run, &error);
                }
            }
        }
    }
}

async fn buffer_answer(
    run: &RequestRun,
    mut answer: UpstreamAnswer,
) -> Result<Response<ResponseBody>, AttemptFault> {
    let stated = answer.headers.get(CONTENT_LENGTH).cloned();
    let read = read_answer(run, &mut answer);
    let body =
        run.state.within_time(run.request.deadline, read).await.unwrap_or_else(|| {
            Err(AttemptFault::new(FaultKind::Silent, "response body timed out"))
        })?;
    let mut response = Response::new(full_body(body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer_headers(&answer.headers);
    if let Some(length) = stated {
        response.headers_mut().insert(CONTENT_LENGTH, length);
    }
    if run.request.outgoing.may_reuse {
        tokio::spawn(answer.release_connection(Arc::clone(&run.state)));
    }
    Ok(response)
}

async fn read_answer(run: &RequestRun, answer: &mut UpstreamAnswer) -> Result<Bytes, AttemptFault> {
    let buffer = AnswerBuffer::new(&run.state);
    let mut buffer = buffer.with_connection(run.request.connection.as_ref());
    while let Some(frame) = answer.body.frame().await {
        let frame = frame.map_err(|error| AttemptFault::new(FaultKind::Cut, error.to_string()))?;
        if let Ok(bytes) = frame.into_data() {
            buffer.push(&bytes)?;
        }
    }
    Ok(buffer.into_bytes())
}

/// Relays a stream once its first event has arrived.
async fn stream_answer(mut run: RequestRun) -> Response<ResponseBody> {
    let answer = match run.next_answer(None).await {
        Ok(answer) => answer,
        Err(error) => return refuse(run, &error),
    };
    if !answer.status.is_success() {
        return forward_error(run, answer).await;
    }
    let (status, headers) = (answer.status, answer_headers(&answer.headers));
    let (state, deadline) = (Arc::clone(&run.state), run.request.deadline);
    let mut relay = StreamRelay::new(run, answer);
    let first = state.within_time(deadline, relay.next()).await;
    let body = match first.unwrap_or(Err(RunError::TimedOut)) {
        Ok(Some(events)) => relay.into_body(events),
        Ok(None) => full_body(Bytes::new()),
        Err(error) => return refuse(relay.into_run(), &error),
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

async fn forward_error(mut run: RequestRun, answer: UpstreamAnswer) -> Response<ResponseBody> {
    let status = answer.status.as_u16();
    match buffer_answer(&run, answer).await {
        Ok(response) => {
            run.record.set_outcome("upstream_failed", status, "");
            response
        }
        Err(fault) => refuse(run, &RunError::Failed(fault)),
    }
}

fn refuse(mut run: RequestRun, error: &RunError) -> Response<ResponseBody> {
    let refusal: Refusal = run.refusal(error);
    let reason = format!("{}: {error:?}", refusal.reason);
    run.record.set_outcome(refusal.outcome(), refusal.status.as_u16(), reason);
    refusal.response()
}

/// Response headers for the caller.
fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    remove_hop_headers(&mut passed);
    passed.remove(CONTENT_LENGTH);
    passed
}
