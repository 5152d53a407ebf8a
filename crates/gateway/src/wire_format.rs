//! What a deployment's headers carry beyond plain HTTP, as plain types, with the functions that
//! read and write them. Only the adapter knows the header names.

use http::{HeaderMap, HeaderValue};
use std::sync::Arc;
use std::time::Duration;

/// A part of a prompt that requests may share, in prompt order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: Arc<str>,
    /// Length in tokens.
    pub tokens: u32,
}

/// Token counts of a request to a model engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenSize {
    /// Prompt tokens.
    pub prompt: u32,
    /// Maximum answer tokens.
    pub answer: u32,
}

/// Fields of a caller's request headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHead {
    /// Id of the request; the upstream echoes it.
    pub request: Option<HeaderValue>,
    /// Time that the caller will wait.
    pub timeout: Option<Duration>,
    /// Key of the client account.
    pub key: Option<Arc<str>>,
    /// Requested model.
    pub model: Option<ModelSelection>,
    /// Token counts of the request.
    pub size: Option<TokenSize>,
    /// Parts of the prompt; the last one belongs to this request or its session alone.
    pub parts: Vec<PromptPart>,
    /// Id of the last event that the caller has, when it resumes a stream.
    pub resume_after: Option<HeaderValue>,
    /// Session id stated by the caller.
    pub session: Option<Arc<str>>,
}

/// Which model a caller requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelSelection {
    /// The gateway chooses one of the route's models.
    Any,
    /// The caller named the model.
    Named,
}

/// Fields that the gateway adds to an attempt's headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamHead {
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Name of the addressed upstream; any other refuses.
    pub upstream: Option<Arc<str>>,
    /// Name of the client account.
    pub account: Option<Arc<str>>,
    /// Model chosen by the gateway.
    pub model: Option<Arc<str>>,
    /// Id of the last event received, when a stream is resumed.
    pub resume_after: Option<HeaderValue>,
    /// Priority of the request; 0 is admitted first.
    pub priority: Option<u8>,
}

/// Load that an upstream reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLoad {
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes there now, in per cent of the usual time, if stated.
    pub pace: Option<u16>,
}

/// Fields of an upstream's response headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Id of the request that it answers.
    pub request: Option<HeaderValue>,
    /// Whether the response carries the upstream's seal; one without it was not produced by an
    /// upstream.
    pub sealed: bool,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Load of the upstream.
    pub load: Option<AnswerLoad>,
    /// The model's confidence in its answer, from 0 to 1.
    pub confidence: Option<f64>,
    /// Whether the upstream states that it is leaving.
    pub leaving: bool,
    /// For how long the upstream wants no requests, as stated; several when repeated.
    pub retry_after: Vec<Arc<str>>,
    /// How many requests a second the upstream takes from all hosts together, as stated; several
    /// when repeated.
    pub limits: Vec<Arc<str>>,
    /// How many requests a second the upstream can turn away for want of room, as stated; it falls over
    /// when there are more. Several when repeated.
    pub brittle: Vec<Arc<str>>,
    /// How much longer the upstream stays cold, if stated.
    pub cold_left: Option<Duration>,
}

/// Codec for a deployment's headers.
#[derive(Clone, Copy, Debug)]
pub struct WireFormat {
    /// Reads the headers of a caller's request.
    pub read_caller: fn(&HeaderMap) -> CallerHead,
    /// Removes headers that upstreams must not receive from callers: keys and those set by the
    /// gateway.
    pub clean_caller: fn(&mut HeaderMap),
    /// Writes the gateway's fields into an attempt's headers.
    pub write_upstream: fn(&mut HeaderMap, &UpstreamHead),
    /// Reads the headers of an upstream's response.
    pub read_answer: fn(&HeaderMap) -> AnswerHead,
}
