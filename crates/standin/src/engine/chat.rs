//! Chat completions, buffered and streamed.

use crate::engine::answer::{answer_length, answer_words_of_length, hash_parts};
use crate::engine::queue::SlotPermit;
use crate::engine::{EngineStandin, server};
use crate::platform::bad_request;
use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use oleander_adapters::http_server::{BodyError, ResponseBody, json_response, read_body};
use oleander_core::catalog::objects::Priority;
use oleander_core::ids::{AttemptId, VersionName};
use oleander_ports::upstream::{ATTEMPT_HEADER, PRIORITY_HEADER, RESUME_HEADER, VERSION_HEADER};
use serde::Deserialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Limit of the answer when the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 512;
/// Number of chunks that are buffered for a slow reader.
const CHUNK_BUFFER: usize = 16;
/// Number of leading words of the prompt that form its cacheable prefix.
const PREFIX_WORDS: usize = 16;
/// Confidence of an answer with the `weak_answers` fault.
const WEAK_CONFIDENCE: f64 = 0.02;
/// Response header with the engine's confidence in a buffered answer.
const CONFIDENCE_HEADER: &str = "x-confidence";

#[derive(Deserialize)]
struct ChatBody {
    model: VersionName,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    stream: bool,
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
}

/// An attempt that is ready to run.
struct ChatJob {
    attempt_text: Arc<str>,
    attempt: Option<AttemptId>,
    version: VersionName,
    words: Vec<String>,
    truncated_by_limit: bool,
    prompt_tokens: u32,
    cached_tokens: u32,
    resume_from: usize,
    confidence: f64,
}

pub(super) async fn complete(
    engine: &EngineStandin,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<ResponseBody> {
    let (head, body) = request.into_parts();
    let body = match read_body(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return bad_request(&error.to_string()),
    };
    let body: ChatBody = match serde_json::from_slice(&body) {
        Ok(body) => body,
        Err(error) => return bad_request(&error.to_string()),
    };
    if let Some(reason) = refusal_reason(engine, &body.model) {
        return server::not_run(engine, &reason);
    }
    let Some(permit) = engine.queue.acquire(priority(&head.headers)).await else {
        return server::not_run(engine, "the queue is full");
    };
    let job = prepare(engine, &head.headers, &body);
    let run = engine.record_run(&job.attempt_text, &job.version);
    tokio::time::sleep(prefill_time(engine, &job)).await;
    if body.stream {
        return streamed_response(engine, job, permit, run, peer);
    }
    buffered_response(engine, job, permit, run).await
}

fn refusal_reason(engine: &EngineStandin, version: &VersionName) -> Option<String> {
    let state = engine.lock();
    if state.leaving {
        return Some("the engine is leaving".to_owned());
    }
    (!state.versions.is_ready(version)).then(|| format!("{version} is not loaded"))
}

fn priority(headers: &HeaderMap) -> Priority {
    match headers.get(PRIORITY_HEADER).and_then(|value| value.to_str().ok()) {
        Some("low") => Priority::Low,
        Some("high") => Priority::High,
        _ => Priority::Normal,
    }
}

fn prompt_text(messages: &[Value]) -> String {
    let parts = messages.iter().map(|message| match &message["content"] {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    });
    parts.collect::<Vec<_>>().join("\n")
}

fn prepare(engine: &EngineStandin, headers: &HeaderMap, body: &ChatBody) -> ChatJob {
    let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    let sent = text(ATTEMPT_HEADER).unwrap_or_default();
    let wrong_attempt = engine.faults.consume(|plan| &mut plan.wrong_attempts);
    let attempt_text: Arc<str> = Arc::from(if wrong_attempt { "req-crossed.0" } else { sent });
    let wrong_version = engine.faults.consume(|plan| &mut plan.wrong_versions);
    let version =
        if wrong_version { other_version(engine, &body.model) } else { body.model.clone() };
    let weak = engine.faults.consume(|plan| &mut plan.weak_answers);
    let prompt = prompt_text(&body.messages);
    let prompt_tokens = prompt.split_whitespace().count() as u32;
    let prefix: Vec<&str> = prompt.split_whitespace().take(PREFIX_WORDS).collect();
    let digest = hash_parts(&[version.as_str().as_bytes(), prefix.join(" ").as_bytes()]);
    let digest: Arc<str> = Arc::from(format!("{digest:016x}"));
    let hit = engine.lock().prefixes.touch(&digest);
    let limit = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let full_length = engine.settings.answer_tokens;
    let full_length = full_length.unwrap_or_else(|| answer_length(&version, &prompt));
    let words = answer_words_of_length(&version, &prompt, full_length.min(limit));
    ChatJob {
        attempt: sent.parse().ok(),
        attempt_text,
        truncated_by_limit: (words.len() as u32) < full_length,
        words,
        prompt_tokens,
        cached_tokens: if hit { prompt_tokens } else { 0 },
        resume_from: text(RESUME_HEADER).and_then(|text| text.parse().ok()).unwrap_or(0),
        confidence: if weak { WEAK_CONFIDENCE } else { engine.settings.confidence },
        version,
    }
}

fn other_version(engine: &EngineStandin, wanted: &VersionName) -> VersionName {
    let loaded = engine.lock().versions.ready();
    let other = loaded.into_iter().find(|version| version != wanted);
    other.unwrap_or_else(|| VersionName::new("unknown@0").unwrap_or_else(|_| wanted.clone()))
}

fn prefill_time(engine: &EngineStandin, job: &ChatJob) -> Duration {
    let uncached = f64::from(job.prompt_tokens - job.cached_tokens) / 1_000.0;
    engine.settings.first_token + engine.settings.prefill_per_thousand.mul_f64(uncached)
}

fn token_interval(engine: &EngineStandin) -> Duration {
    let (running, _) = engine.queue.load();
    let others = f64::from(running.saturating_sub(1));
    engine.settings.token_gap.mul_f64(1.0 + others * engine.settings.batch_slowdown)
}

fn usage(job: &ChatJob) -> Value {
    let completion = job.words.len() as u32;
    json!({
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": completion,
        "total_tokens": job.prompt_tokens + completion,
        "prompt_tokens_details": { "cached_tokens": job.cached_tokens },
        "confidence": job.confidence,
    })
}

const fn finish_reason(job: &ChatJob) -> &'static str {
    if job.truncated_by_limit { "length" } else { "stop" }
}

fn add_identity_headers(job: &ChatJob, response: &mut Response<ResponseBody>) {
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&job.attempt_text) {
        headers.insert(ATTEMPT_HEADER, value);
    }
    if let Ok(value) = HeaderValue::from_str(job.version.as_str()) {
        headers.insert(VERSION_HEADER, value);
    }
}

async fn buffered_response(
    engine: &EngineStandin,
    job: ChatJob,
    permit: SlotPermit,
    run: Option<usize>,
) -> Response<ResponseBody> {
    for _ in 1..job.words.len() {
        tokio::time::sleep(token_interval(engine)).await;
    }
    drop(permit);
    engine.record_finished(run, &job.attempt_text, &job.words.concat());
    let message = json!({ "role": "assistant", "content": job.words.concat() });
    let choice = json!({ "index": 0, "message": message, "finish_reason": finish_reason(&job) });
    let body = json!({
        "id": format!("chatcmpl-{}", job.attempt_text),
        "object": "chat.completion",
        "created": 0,
        "model": job.version,
        "choices": [choice],
        "usage": usage(&job),
    });
    let mut response = json_response(StatusCode::OK, &body);
    add_identity_headers(&job, &mut response);
    if let Ok(value) = HeaderValue::from_str(&job.confidence.to_string()) {
        response.headers_mut().insert(CONFIDENCE_HEADER, value);
    }
    response
}

type ChunkSender = mpsc::Sender<Result<Frame<Bytes>, BodyError>>;

fn streamed_response(
    engine: &EngineStandin,
    job: ChatJob,
    permit: SlotPermit,
    run: Option<usize>,
    peer: SocketAddr,
) -> Response<ResponseBody> {
    let (sender, receiver) = mpsc::channel(CHUNK_BUFFER);
    let frames = stream::unfold(receiver, |mut receiver| async {
        receiver.recv().await.map(|frame| (frame, receiver))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(http::header::CONTENT_TYPE, kind);
    add_identity_headers(&job, &mut response);
    let engine = engine.clone();
    tokio::spawn(async move {
        send_chunks(&engine, &job, run, peer, &sender).await;
        drop(permit);
    });
    response
}

/// Streams an answer until it is complete, the reader disconnects, the attempt is cancelled or
/// a fault ends the stream.
async fn send_chunks(
    engine: &EngineStandin,
    job: &ChatJob,
    run: Option<usize>,
    peer: SocketAddr,
    sender: &ChunkSender,
) {
    let truncate = engine.faults.consume(|plan| &mut plan.cuts);
    let stall = engine.faults.consume(|plan| &mut plan.stalls);
    let duplicate = engine.faults.consume(|plan| &mut plan.duplicates);
    let cut_after = engine.faults.plan().cut_after as usize;
    for (sent, position) in (job.resume_from..job.words.len()).enumerate() {
        if sent > 0 {
            tokio::time::sleep(token_interval(engine)).await;
        }
        if (truncate && sent >= cut_after) || is_cancelled(engine, job) {
            let _ = sender.send(Err("the stream was cut".into())).await;
            return;
        }
        if stall && sent >= cut_after {
            sender.closed().await;
            return;
        }
        engine.faults.hang_if_silenced(peer).await;
        let chunk = token_chunk(job, position);
        for _ in 0..1 + usize::from(duplicate) {
            if sender.send(Ok(sse_event(&chunk.to_string()))).await.is_err() {
                return;
            }
        }
    }
    engine.record_finished(run, &job.attempt_text, &job.words.concat());
    let _ = sender.send(Ok(sse_event(&last_chunk(job).to_string()))).await;
    let _ = sender.send(Ok(sse_event("[DONE]"))).await;
}

fn is_cancelled(engine: &EngineStandin, job: &ChatJob) -> bool {
    job.attempt.is_some_and(|attempt| engine.lock().cancelled.remove(&attempt))
}

fn sse_event(data: &str) -> Frame<Bytes> {
    Frame::data(Bytes::from(format!("data: {data}\n\n")))
}

fn token_chunk(job: &ChatJob, position: usize) -> Value {
    let delta = json!({ "content": job.words[position] });
    chunk(job, position, &json!({ "index": 0, "delta": delta, "finish_reason": null }))
}

fn last_chunk(job: &ChatJob) -> Value {
    let choice = json!({ "index": 0, "delta": {}, "finish_reason": finish_reason(job) });
    let mut last = chunk(job, job.words.len(), &choice);
    last["usage"] = usage(job);
    last
}

fn chunk(job: &ChatJob, position: usize, choice: &Value) -> Value {
    json!({
        "id": format!("chatcmpl-{}", job.attempt_text),
        "object": "chat.completion.chunk",
        "created": 0,
        "model": job.version,
        "seq": position,
        "choices": [choice],
    })
}
