//! What a deployment's wire carries beside plain HTTP, as plain types, and the functions that
//! read and write it. The names on the wire are the adapter's alone.

use http::{HeaderMap, HeaderValue};
use std::sync::Arc;
use std::time::Duration;

/// A part of a prompt that requests may share, in the order of the prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id.
    pub id: Arc<str>,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Tokens of a request to a model engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenSize {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens of the answer.
    pub answer: u32,
}

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHead {
    /// Id of the request; the upstream echoes it.
    pub request: Option<HeaderValue>,
    /// Time that the caller will wait.
    pub timeout: Option<Duration>,
    /// Key of the client account.
    pub key: Option<Arc<str>>,
    /// Model that is asked for.
    pub model: Option<ModelSelection>,
    /// Tokens of the request.
    pub size: Option<TokenSize>,
    /// Parts of the prompt; the last one belongs to the request or its session alone.
    pub parts: Vec<PromptPart>,
    /// Id of the last event that the caller has, when it resumes a stream.
    pub resume_after: Option<HeaderValue>,
    /// Session that the caller names.
    pub session: Option<Arc<str>>,
}

/// Which model a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelSelection {
    /// This system chooses one of the route's models.
    Any,
    /// The caller named the model.
    Named,
}

/// What this system tells an upstream about an attempt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamHead {
    /// Time that is left.
    pub time_left: Duration,
    /// Name of the upstream that is meant; any other refuses.
    pub upstream: Option<Arc<str>>,
    /// The client account.
    pub account: Option<Arc<str>>,
    /// Model that this system chose.
    pub model: Option<Arc<str>>,
    /// Id of the last event that is already there, when a stream is resumed.
    pub resume_after: Option<HeaderValue>,
    /// Rank of the request; 0 is admitted first.
    pub urgency: Option<u8>,
}

/// Load of an upstream, as an answer tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run at once.
    pub slots: u32,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Id of the request that it answers.
    pub request: Option<HeaderValue>,
    /// Whether it bears the upstream's seal; an answer without one was not made by an upstream.
    pub sealed: bool,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Load of the upstream.
    pub load: Option<AnswerLoad>,
    /// The model's own opinion of its answer, from 0 to 1.
    pub confidence: Option<f64>,
}

/// How a deployment's headers are read and written.
#[derive(Clone, Copy, Debug)]
pub struct WireFormat {
    /// Reads the head of a caller's request.
    pub read_caller: fn(&HeaderMap) -> CallerHead,
    /// Removes what an upstream must not get from a caller: keys and what this system sets.
    pub clean_caller: fn(&mut HeaderMap),
    /// Writes what this system tells an upstream.
    pub write_upstream: fn(&mut HeaderMap, &UpstreamHead),
    /// Reads the head of an upstream's answer.
    pub read_answer: fn(&HeaderMap) -> AnswerHead,
}
