//! Responses to chat requests: complete bodies and server-sent events.

use crate::answer_sink::{AnswerEnd, AnswerHead, ChatEvent};
use crate::chat_context::ChatContext;
use crate::headers::{
    COST_HEADER, SESSION_HEADER, STEP_HEADER, VERSION_HEADER, set_header, set_identity,
};
use crate::identity::RequestIdentity;
use crate::message_merge::MessageMerge;
use crate::refusal::Refusal;
use crate::state::EntryState;
use bytes::{BufMut, Bytes, BytesMut};
use futures_util::stream;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use oleander_adapters::http_server::{BodyError, ResponseBody, json_response};
use oleander_core::reason::{Reason, RunState};
use oleander_core::units::Timestamp;
use serde::Serialize;
use serde_json::{Map, Value, json};
use std::sync::Arc;
use tokio::sync::mpsc::Receiver;

/// Request data that every response needs.
pub struct ReplyContext {
    state: Arc<EntryState>,
    ids: RequestIdentity,
    started_at: Timestamp,
    include_usage: bool,
}

impl ReplyContext {
    /// Creates the context of a request that starts now.
    pub fn new(ctx: &ChatContext) -> Self {
        Self {
            state: Arc::clone(&ctx.state),
            ids: ctx.ids,
            started_at: ctx.now(),
            include_usage: ctx.body.include_usage,
        }
    }

    fn chat_id(&self) -> String {
        format!("chatcmpl-{:032x}", self.ids.run.get())
    }

    const fn created(&self) -> u64 {
        self.started_at.as_millis() / 1_000
    }

    fn add_head(&self, headers: &mut HeaderMap, head: &AnswerHead) {
        set_header(headers, VERSION_HEADER, head.version.as_str());
        set_header(headers, STEP_HEADER, &head.step.to_string());
        if let Some(token) = &head.session {
            set_header(headers, SESSION_HEADER, token);
        }
        self.add_identity(headers);
    }

    fn add_identity(&self, headers: &mut HeaderMap) {
        set_identity(headers, self.ids);
    }

    fn refuse(&self, refusal: &Refusal) -> Response<ResponseBody> {
        let mut response = refusal.response();
        self.add_identity(response.headers_mut());
        response
    }

    fn record_first_token(&self) {
        let now = self.state.parts.clock.now();
        self.state.metrics.observe_first_token(now.since(self.started_at));
    }

    fn record_duration(&self) {
        let now = self.state.parts.clock.now();
        self.state.metrics.observe_duration(now.since(self.started_at));
    }
}

/// Returns the refusal for a run that ended without a final event.
fn aborted_run() -> Refusal {
    let message = "the request failed inside the router";
    Refusal::new(Reason::UpstreamFault, message).with_run(RunState::Partial)
}

/// Receives the first event of a run: the answer's head or a refusal.
async fn first_event(events: &mut Receiver<ChatEvent>) -> Result<AnswerHead, Refusal> {
    match events.recv().await {
        Some(ChatEvent::Started(head)) => Ok(head),
        Some(ChatEvent::Failed(refusal)) => Err(refusal),
        _ => Err(aborted_run()),
    }
}

/// Builds the response with the complete answer.
pub async fn buffered_reply(
    context: ReplyContext,
    mut events: Receiver<ChatEvent>,
) -> Response<ResponseBody> {
    match collect(&context, &mut events).await {
        Ok((head, message, end)) => {
            context.record_duration();
            let body = completion_body(&context, &head, message, &end);
            let mut response = json_response(StatusCode::OK, &body);
            context.add_head(response.headers_mut(), &head);
            set_header(response.headers_mut(), COST_HEADER, &end.cost.to_string());
            response
        }
        Err(refusal) => context.refuse(&refusal),
    }
}

async fn collect(
    context: &ReplyContext,
    events: &mut Receiver<ChatEvent>,
) -> Result<(AnswerHead, Map<String, Value>, AnswerEnd), Refusal> {
    let head = first_event(events).await?;
    context.record_first_token();
    let mut merge = MessageMerge::new();
    loop {
        match events.recv().await {
            Some(ChatEvent::Delta(delta)) => merge.add(delta),
            Some(ChatEvent::Finished(end)) => return Ok((head, merge.finish(), end)),
            Some(ChatEvent::Failed(refusal)) => return Err(refusal),
            Some(ChatEvent::Started(_)) | None => return Err(aborted_run()),
        }
    }
}

fn completion_body(
    context: &ReplyContext,
    head: &AnswerHead,
    message: Map<String, Value>,
    end: &AnswerEnd,
) -> Value {
    json!({
        "id": context.chat_id(),
        "object": "chat.completion",
        "created": context.created(),
        "model": head.version.as_str(),
        "choices": [{
            "index": 0,
            "message": message,
            "logprobs": null,
            "finish_reason": end.finish_reason,
        }],
        "usage": usage_body(end),
    })
}

fn usage_body(end: &AnswerEnd) -> Value {
    json!({
        "prompt_tokens": end.used.prompt.get(),
        "completion_tokens": end.used.answer.get(),
        "total_tokens": (end.used.prompt + end.used.answer).get(),
    })
}

/// Builds the response that streams the answer as server-sent events.
pub async fn stream_reply(
    context: ReplyContext,
    mut events: Receiver<ChatEvent>,
) -> Response<ResponseBody> {
    let head = match first_event(&mut events).await {
        Ok(head) => head,
        Err(refusal) => return context.refuse(&refusal),
    };
    context.record_first_token();
    let mut headers = HeaderMap::new();
    context.add_head(&mut headers, &head);
    let writer = EventWriter::new(context, &head);
    let frames = stream::unfold((writer, events), |(mut writer, mut events)| async move {
        if writer.ended {
            return None;
        }
        let event = events.recv().await.unwrap_or_else(|| ChatEvent::Failed(aborted_run()));
        let bytes = writer.write(event);
        Some((Ok::<_, BodyError>(Frame::data(bytes)), (writer, events)))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.headers_mut() = headers;
    let content_type = HeaderValue::from_static("text/event-stream; charset=utf-8");
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    let no_cache = HeaderValue::from_static("no-cache");
    response.headers_mut().insert(http::header::CACHE_CONTROL, no_cache);
    response
}

#[derive(Serialize)]
struct ChunkBody<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: &'a [ChunkChoice<'a>],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    oleander: Option<Value>,
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: &'a Map<String, Value>,
    finish_reason: Option<&'a str>,
}

/// Encodes the events of one answer.
struct EventWriter {
    context: ReplyContext,
    id: String,
    model: String,
    first: bool,
    ended: bool,
}

impl EventWriter {
    fn new(context: ReplyContext, head: &AnswerHead) -> Self {
        let (id, model) = (context.chat_id(), head.version.to_string());
        Self { context, id, model, first: true, ended: false }
    }

    fn write(&mut self, event: ChatEvent) -> Bytes {
        let mut out = BytesMut::new();
        match event {
            ChatEvent::Started(_) => {}
            ChatEvent::Delta(delta) => self.write_delta(&mut out, delta),
            ChatEvent::Finished(end) => self.write_end(&mut out, &end),
            ChatEvent::Failed(refusal) => self.write_failure(&mut out, &refusal),
        }
        out.freeze()
    }

    fn write_delta(&mut self, out: &mut BytesMut, mut delta: Map<String, Value>) {
        if std::mem::take(&mut self.first) {
            delta.entry("role").or_insert_with(|| json!("assistant"));
        }
        let choice = ChunkChoice { index: 0, delta: &delta, finish_reason: None };
        self.write_chunk(out, &[choice], None, None);
    }

    fn write_end(&mut self, out: &mut BytesMut, end: &AnswerEnd) {
        self.ended = true;
        self.context.record_duration();
        let empty = Map::new();
        let reason = Some(end.finish_reason.as_str());
        let choice = ChunkChoice { index: 0, delta: &empty, finish_reason: reason };
        let cost = json!({ "cost": end.cost.to_string() });
        self.write_chunk(out, &[choice], None, Some(cost));
        if self.context.include_usage {
            self.write_chunk(out, &[], Some(usage_body(end)), None);
        }
        out.put_slice(b"data: [DONE]\n\n");
    }

    /// Encodes a failure in the middle of an answer; no end marker follows it.
    fn write_failure(&mut self, out: &mut BytesMut, refusal: &Refusal) {
        self.ended = true;
        let mut body = serde_json::to_value(refusal.body()).unwrap_or_default();
        body["error"]["run_state"] = json!(refusal.run);
        out.put_slice(b"event: error\ndata: ");
        out.put_slice(body.to_string().as_bytes());
        out.put_slice(b"\n\n");
    }

    fn write_chunk(
        &self,
        out: &mut BytesMut,
        choices: &[ChunkChoice<'_>],
        usage: Option<Value>,
        oleander: Option<Value>,
    ) {
        let chunk = ChunkBody {
            id: &self.id,
            object: "chat.completion.chunk",
            created: self.context.created(),
            model: &self.model,
            choices,
            usage,
            oleander,
        };
        out.put_slice(b"data: ");
        let mut writer = out.writer();
        if serde_json::to_writer(&mut writer, &chunk).is_err() {
            log::error!("chunk_not_written request={}", self.context.ids.run);
        }
        out.put_slice(b"\n\n");
    }
}
