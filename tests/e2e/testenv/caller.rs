//! A caller that records its answers in the history.

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use oleander_adapters::http_client::{CallError, HttpClient};
use oleander_core::ids::{AccountName, HostId, IdempotencyKey, RequestId, SessionId};
use oleander_core::reason::{Reason, RunState};
use oleander_history::{HistoryRecorder, SeenEvent, text_digest};
use oleander_ports::clock::{ClockPort, SystemClock};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time for a complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// A response.
#[derive(Debug)]
pub struct CallerAnswer {
    pub status: u16,
    pub headers: HeaderMap,
    /// Text of a chat answer, or the body of any other response.
    pub text: String,
    /// The error event of a stream that failed after its head was sent.
    pub stream_error: Option<Value>,
    /// Whether the body was received completely.
    pub complete: bool,
}

impl CallerAnswer {
    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    fn parsed<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.header(name).and_then(|text| text.parse().ok())
    }

    /// Whether it is a complete answer without an error.
    pub fn is_complete_success(&self) -> bool {
        self.status == 200 && self.complete && self.stream_error.is_none()
    }

    /// Whether a retry cannot change the result.
    pub fn is_final(&self) -> bool {
        let retryable = [409, 429, 502, 503, 504];
        self.status >= 400 && !retryable.contains(&self.status)
            || self.reason() == Some(Reason::OutcomeUnknown)
    }

    /// The id under which upstreams saw the request.
    pub fn run(&self) -> Option<RequestId> {
        self.parsed("x-oleander-run-id").or_else(|| self.parsed("x-oleander-request-id"))
    }

    /// The reason of a refusal.
    pub fn reason(&self) -> Option<Reason> {
        self.parsed("x-oleander-reason")
    }
}

/// Client with the key of one client account.
#[derive(Clone)]
pub struct TestCaller {
    account: AccountName,
    key: Arc<str>,
    client: Arc<HttpClient>,
    recorder: HistoryRecorder,
    host: Option<HostId>,
}

impl TestCaller {
    /// A caller with the key that the example catalog gives the account.
    pub fn new(account: &str, recorder: &HistoryRecorder) -> Self {
        Self {
            account: account.parse().unwrap(),
            key: Arc::from(format!("curbside-{account}")),
            client: Arc::new(HttpClient::new()),
            recorder: recorder.clone(),
            host: None,
        }
    }

    /// Uses another bearer key.
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Arc::from(key);
        self
    }

    /// Names the host that is called, so that the history attributes truncated answers to it.
    pub fn with_host(mut self, host: &HostId) -> Self {
        self.host = Some(host.clone());
        self
    }

    /// The client account.
    pub const fn account(&self) -> &AccountName {
        &self.account
    }

    /// The body of a chat request.
    pub fn chat_body(model: &str, prompt: &str, stream: bool) -> String {
        let messages = serde_json::json!([{ "role": "user", "content": prompt }]);
        serde_json::json!({ "model": model, "stream": stream, "messages": messages }).to_string()
    }

    /// Sends a chat request.
    pub async fn chat(
        &self,
        entry: SocketAddr,
        model: &str,
        prompt: &str,
        stream: bool,
        headers: &[(&str, &str)],
    ) -> Result<CallerAnswer, CallError> {
        let body = Self::chat_body(model, prompt, stream);
        self.call(entry, "/v1/chat/completions", body, headers).await
    }

    /// Calls an operation of a plain service.
    pub async fn operation(
        &self,
        entry: SocketAddr,
        operation: &str,
        body: &str,
        key: Option<&str>,
    ) -> Result<CallerAnswer, CallError> {
        let path = format!("/v1/services/{operation}");
        let headers: Vec<(&str, &str)> = key.iter().map(|key| ("idempotency-key", *key)).collect();
        self.call(entry, &path, body.to_owned(), &headers).await
    }

    /// Sends one request and records its result.
    pub async fn call(
        &self,
        entry: SocketAddr,
        path: &str,
        body: String,
        headers: &[(&str, &str)],
    ) -> Result<CallerAnswer, CallError> {
        let mut request = Request::post(format!("http://{entry}{path}"))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::from(body)).unwrap();
        let response = match self.client.send(request, ANSWER_TIMEOUT).await {
            Ok(response) => response,
            Err(error) => {
                self.record_cut(&error);
                return Err(error);
            }
        };
        let answer = read_answer(response).await;
        self.record(&answer, headers);
        Ok(answer)
    }

    /// Records that the connection closed before the answer was complete. A failed connection
    /// attempt is not recorded, since nothing was sent.
    fn record_cut(&self, error: &CallError) {
        if !matches!(error, CallError::Connect(_)) {
            self.record_event(SeenEvent::Cut { host: self.host.clone(), request: None });
        }
    }

    fn record(&self, answer: &CallerAnswer, headers: &[(&str, &str)]) {
        let key = headers.iter().find(|(name, _)| *name == "idempotency-key");
        let key: Option<IdempotencyKey> = key.and_then(|(_, value)| value.parse().ok());
        let sent_session = headers.iter().find(|(name, _)| *name == "x-oleander-session");
        let sent_session = sent_session.map(|(_, token)| *token);
        let request = answer.run();
        if let Some(reason) = answer.reason() {
            let run: RunState = run_state(answer.header("x-oleander-run-state"));
            let account = Some(self.account.clone());
            return self.record_event(SeenEvent::Refused { account, request, key, reason, run });
        }
        let Some(request) = request else { return };
        if let Some(error) = &answer.stream_error {
            let code = error["error"]["code"].as_str().unwrap_or_default();
            let reason = code.parse().unwrap_or(Reason::UpstreamFault);
            let (account, run) = (Some(self.account.clone()), RunState::Partial);
            let request = Some(request);
            return self.record_event(SeenEvent::Refused { account, request, key, reason, run });
        }
        if !answer.complete {
            let host = self.host.clone();
            return self.record_event(SeenEvent::Cut { host, request: Some(request) });
        }
        self.record_event(SeenEvent::Answered {
            account: self.account.clone(),
            request,
            version: answer.parsed("x-oleander-version"),
            session: sent_session.or(answer.header("x-oleander-session")).and_then(session_id),
            key,
            answer: text_digest(&answer.text),
            expected: None,
            repeat: answer.header("x-oleander-replayed").is_some(),
        });
    }

    fn record_event(&self, seen: SeenEvent) {
        self.recorder.record(SystemClock.now(), self.account.as_str(), seen);
    }
}

/// Session id from a token's digest, since tokens are too long for an id.
fn session_id(token: &str) -> Option<SessionId> {
    let digest = text_digest(token);
    SessionId::new(&digest[..32]).ok()
}

fn run_state(text: Option<&str>) -> RunState {
    match text {
        Some("not_run") => RunState::NotRun,
        Some("done") => RunState::Done,
        Some("partial") => RunState::Partial,
        _ => RunState::Unknown,
    }
}

async fn read_answer(response: Response<Incoming>) -> CallerAnswer {
    let (head, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut complete = true;
    let read = async {
        while let Some(frame) = body.frame().await {
            let data: Option<Bytes> = frame.ok().and_then(|frame| frame.into_data().ok());
            match data {
                Some(data) => bytes.extend_from_slice(&data),
                None => return false,
            }
        }
        true
    };
    complete &= tokio::time::timeout(ANSWER_TIMEOUT, read).await.unwrap_or(false);
    let kind = head.headers.get("content-type").and_then(|value| value.to_str().ok());
    let streamed = kind.is_some_and(|kind| kind.starts_with("text/event-stream"));
    let raw = String::from_utf8_lossy(&bytes).into_owned();
    let mut answer = CallerAnswer {
        status: head.status.as_u16(),
        headers: head.headers,
        text: raw.clone(),
        stream_error: None,
        complete,
    };
    if streamed {
        read_stream(&raw, &mut answer);
    } else if let Ok(value) = serde_json::from_str::<Value>(&raw)
        && let Some(content) = value["choices"][0]["message"]["content"].as_str()
    {
        answer.text = content.to_owned();
    }
    answer
}

fn read_stream(raw: &str, answer: &mut CallerAnswer) {
    let events: Vec<&str> =
        raw.split("\n\n").filter_map(|event| event.trim_start().strip_prefix("data: ")).collect();
    answer.complete &= events.last() == Some(&"[DONE]");
    answer.text.clear();
    for value in events.iter().filter_map(|event| serde_json::from_str::<Value>(event).ok()) {
        if value.get("error").is_some() {
            answer.stream_error = Some(value);
        } else if let Some(content) = value["choices"][0]["delta"]["content"].as_str() {
            answer.text.push_str(content);
        }
    }
}
