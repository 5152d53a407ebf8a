//! HTTP client for streamed chat completions.

use super::outcome::LoadOutcome;
use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const REASON_HEADER: &str = "x-oleander-reason";
/// Headers with the version that answered: of the router and of an engine.
const VERSION_HEADERS: [&str; 2] = ["x-oleander-version", "x-model-version"];
const DATA_PREFIX: &str = "data: ";
const END_MARKER: &str = "[DONE]";

/// One request to send.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// Address that it is sent to.
    pub address: SocketAddr,
    /// Whether the address is that of an engine.
    pub direct: bool,
    /// API key, sent as a bearer token.
    pub key: String,
    /// Task class or version that is requested.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub tokens: u32,
    /// Number of the request, from which the attempt id for an engine is derived.
    pub number: usize,
}

/// Sends requests over pooled connections.
pub struct LoadClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for LoadClient {
    fn default() -> Self {
        Self::new()
    }
}

impl LoadClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends a request. Latencies are measured from `scheduled_at`.
    pub async fn call(&self, request: &LoadRequest, scheduled_at: Instant) -> LoadOutcome {
        match self.try_call(request, scheduled_at).await {
            Ok(outcome) => outcome,
            Err(error) => LoadOutcome::Broken { error: format!("{error:#}") },
        }
    }

    async fn try_call(
        &self,
        request: &LoadRequest,
        scheduled_at: Instant,
    ) -> anyhow::Result<LoadOutcome> {
        let response = self.client.request(http_request(request)?).await?;
        let (head, body) = response.into_parts();
        if !head.status.is_success() {
            let reason = text_header(&head.headers, REASON_HEADER);
            let reason = reason.unwrap_or_else(|| head.status.as_u16().to_string());
            return Ok(LoadOutcome::Refused { reason });
        }
        let version = VERSION_HEADERS.iter().find_map(|name| text_header(&head.headers, name));
        read_stream(body, scheduled_at, version.unwrap_or_default()).await
    }
}

fn text_header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn http_request(request: &LoadRequest) -> anyhow::Result<Request<Full<Bytes>>> {
    let body = serde_json::json!({
        "model": request.model,
        "messages": [{ "role": "user", "content": request.prompt }],
        "max_tokens": request.tokens,
        "stream": true,
    });
    let builder = Request::post(format!("http://{}/v1/chat/completions", request.address))
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {}", request.key))
        .header("x-attempt-id", format!("req-{:032x}.0", request.number));
    Ok(builder.body(Full::new(Bytes::from(body.to_string())))?)
}

async fn read_stream(
    mut body: Incoming,
    scheduled_at: Instant,
    version: String,
) -> anyhow::Result<LoadOutcome> {
    let mut stream = TokenStream::default();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            stream.push(&data, Instant::now());
        }
    }
    let Some(&first) = stream.tokens.first().filter(|_| stream.ended) else {
        let error = format!("the stream ended early{}", stream.error);
        return Ok(LoadOutcome::Broken { error });
    };
    let pairs = stream.tokens.windows(2);
    let gaps: Vec<Duration> = pairs.map(|pair| pair[1] - pair[0]).collect();
    let version = if stream.version.is_empty() { version } else { stream.version };
    Ok(LoadOutcome::Answered {
        first_token: first - scheduled_at,
        gaps,
        version,
        cost: stream.cost,
    })
}

/// Parser for the server-sent events of a stream.
#[derive(Default)]
struct TokenStream {
    buffer: Vec<u8>,
    tokens: Vec<Instant>,
    ended: bool,
    cost: f64,
    version: String,
    error: String,
}

impl TokenStream {
    fn push(&mut self, data: &[u8], now: Instant) {
        self.buffer.extend_from_slice(data);
        while let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            if let Some(event) = line.trim_end().strip_prefix(DATA_PREFIX) {
                self.handle_event(event, now);
            }
        }
    }

    fn handle_event(&mut self, event: &str, now: Instant) {
        if event == END_MARKER {
            self.ended = true;
            return;
        }
        // Most events are tokens; only the others are parsed.
        if event.contains("\"content\"") {
            self.tokens.push(now);
        }
        if event.contains("\"oleander\"") || event.contains("\"error\"") {
            self.parse_event(event);
        }
    }

    fn parse_event(&mut self, event: &str) {
        let Ok(value) = serde_json::from_str::<serde_json::Value>(event) else { return };
        let cost = &value["oleander"]["cost"];
        let number = cost.as_f64().or_else(|| cost.as_str()?.parse().ok());
        self.cost = number.unwrap_or(self.cost);
        if let Some(version) = value["oleander"]["version"].as_str() {
            version.clone_into(&mut self.version);
        }
        if let Some(code) = value["error"]["code"].as_str() {
            self.error = format!(": {code}");
        }
    }
}
