//! Chunks of a model engine's streamed answer.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// What an engine reports of a whole answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineUsage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: u32,
    /// How sure the engine is of its answer, from 0 to 1; a hint.
    #[serde(default, skip_serializing)]
    pub confidence: Option<f64>,
}

/// One chunk.
#[derive(Debug, Deserialize)]
pub struct EngineChunk {
    /// Number of the token, from 0.
    #[serde(default)]
    pub seq: Option<u32>,
    /// The answer's parts; one in a usual chunk.
    #[serde(default)]
    pub choices: Vec<EngineChoice>,
    /// Usage, in the last chunk.
    #[serde(default)]
    pub usage: Option<EngineUsage>,
    /// Set when the engine failed in the middle of its answer.
    #[serde(default)]
    pub error: Option<Value>,
}

/// One part of a chunk.
#[derive(Debug, Deserialize)]
pub struct EngineChoice {
    /// What is added to the message.
    #[serde(default)]
    pub delta: Map<String, Value>,
    /// Why the answer ended.
    #[serde(default)]
    pub finish_reason: Option<String>,
}
