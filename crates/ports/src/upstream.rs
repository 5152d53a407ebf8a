//! The protocol towards model engines and plain services, over HTTP/1.1.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/chat/completions` | runs an attempt; the body is the usual chat body, `model` names the version |
//! | `POST /v1/attempts/{attempt}/cancel` | stops an attempt; no error when it is gone |
//! | `GET /load` | a [`LoadReport`] |
//! | `GET /cache-events?since=N` | a [`CacheEventPage`] |
//! | `POST /orders` | an [`Order`]; `409` with the highest number seen when its fencing is old |
//! | `GET /kv/{prefix}` and `PUT /kv/{prefix}` | export and import of the KV cache of a prompt prefix |
//!
//! Requests carry [`ATTEMPT_HEADER`], [`PRIORITY_HEADER`] and, when a stream is resumed,
//! [`RESUME_HEADER`] with the number of tokens that the router has; `x-deadline-ms` tells the time
//! that is left. Answers carry
//! [`ATTEMPT_HEADER`], [`VERSION_HEADER`] with the version that really ran, and
//! [`LOAD_HEADER`] with the requests that are running and queued (`running/queued`).
//!
//! A streamed answer is server-sent events: `data: {chunk}` per token with `"seq": N` counting
//! from 0, one last chunk with `finish_reason` and `usage`, then `data: [DONE]`. A stream
//! without `[DONE]` was cut. An engine that refuses before running anything answers `503` with
//! [`NOT_RUN_HEADER`].

use oleander_core::ids::{FencingNumber, Incarnation, VersionName};
use oleander_core::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Carries the attempt id, both ways.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Carries the version that ran.
pub const VERSION_HEADER: &str = "x-model-version";
/// Carries the priority: `low`, `normal` or `high`.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Carries the number of tokens from which a stream is resumed.
pub const RESUME_HEADER: &str = "x-resume-from";
/// Carries `running/queued` in every answer of an engine.
pub const LOAD_HEADER: &str = "x-load";
/// Set to `1` when the engine refused without running anything.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// What an engine says of its load; it lags.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Versions that are loaded.
    pub versions: Vec<VersionName>,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// When the report was made.
    pub reported_at: Timestamp,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; gaps mean that events were lost.
    pub number: u64,
    /// Digest of the prompt prefix.
    pub prefix: Arc<str>,
    /// Whether it was cached or evicted.
    pub cached: bool,
}

/// Cache events since a number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
    /// Number from which to ask next.
    pub next: u64,
}

/// What an engine should do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a version.
    Load(VersionName),
    /// Unload a version.
    Unload(VersionName),
    /// Change role.
    SetRole(Arc<str>),
}

/// An order, with the fencing number of the lease under which it is given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number.
    pub fencing: FencingNumber,
    /// The action.
    pub action: OrderAction,
}
