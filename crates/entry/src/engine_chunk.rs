//! Chunks of a model engine's streamed answer.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Usage that an engine reports for a complete answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineUsage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: u32,
    /// The engine's confidence in its answer, from 0 to 1; a hint.
    #[serde(default, skip_serializing)]
    pub confidence: Option<f64>,
}

/// One chunk of the stream.
#[derive(Debug, Deserialize)]
pub struct EngineChunk {
    /// Number of the token, from 0.
    #[serde(default)]
    pub seq: Option<u32>,
    /// Choices of the answer; normally one.
    #[serde(default)]
    pub choices: Vec<EngineChoice>,
    /// Usage, in the last chunk.
    #[serde(default)]
    pub usage: Option<EngineUsage>,
    /// Set when the engine failed in the middle of its answer.
    #[serde(default)]
    pub error: Option<Value>,
}

/// One choice of a chunk.
#[derive(Debug, Deserialize)]
pub struct EngineChoice {
    /// Delta of the message.
    #[serde(default)]
    pub delta: Map<String, Value>,
    /// Why the engine stopped, in the last chunk.
    #[serde(default)]
    pub finish_reason: Option<String>,
}
