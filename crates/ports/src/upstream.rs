//! The HTTP/1.1 protocol towards model engines and plain services.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/chat/completions` | runs an attempt: chat completion; `model` names the version |
//! | `POST /v1/attempts/{attempt}/cancel` | cancels an attempt; no error when it no longer exists |
//! | `GET /load` | a [`LoadReport`] |
//! | `GET /cache-events?since=N` | a [`CacheEventPage`] |
//! | `POST /orders` | an [`Order`]; `409` with the highest fencing number when its own is stale |
//! | `GET /kv/{prefix}` and `PUT /kv/{prefix}` | export and import the KV cache of a prompt prefix |
//!
//! Requests carry [`ATTEMPT_HEADER`], [`PRIORITY_HEADER`] and `x-deadline-ms` with the remaining
//! time; resumed streams also carry [`RESUME_HEADER`] with the number of tokens that the router
//! already has. Answers carry [`ATTEMPT_HEADER`], [`VERSION_HEADER`] with the version that ran,
//! and [`LOAD_HEADER`] with the numbers of running and queued requests (`running/queued`).
//!
//! A streamed answer consists of server-sent events: `data: {chunk}` per token with `"seq": N`
//! counting from 0, a last chunk with `finish_reason` and `usage`, then `data: [DONE]`. A stream
//! without `[DONE]` is incomplete. An engine that refuses a request before running it answers
//! `503` with [`NOT_RUN_HEADER`].

use oleander_core::ids::{FencingNumber, Incarnation, VersionName};
use oleander_core::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Attempt id, in requests and answers.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Version that ran the attempt.
pub const VERSION_HEADER: &str = "x-model-version";
/// Priority: `low`, `normal` or `high`.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Number of tokens after which a stream is resumed.
pub const RESUME_HEADER: &str = "x-resume-from";
/// Load as `running/queued`, in every answer of an engine.
pub const LOAD_HEADER: &str = "x-load";
/// Set to `1` when the engine refused the request before running it.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Load that an engine reports; it may be stale.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// Loaded versions.
    pub versions: Vec<VersionName>,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Time of the report.
    pub reported_at: Timestamp,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event; a gap means that events were lost.
    pub number: u64,
    /// Digest of the prompt prefix.
    pub prefix: Arc<str>,
    /// `true` when the prefix was cached, `false` when it was evicted.
    pub cached: bool,
}

/// One page of cache events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
    /// Sequence number for the next call.
    pub next: u64,
}

/// Action that an engine is ordered to take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a version.
    Load(VersionName),
    /// Unload a version.
    Unload(VersionName),
    /// Change the engine's role.
    SetRole(Arc<str>),
}

/// An order to an engine, with the fencing number of the lease under which it is given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number.
    pub fencing: FencingNumber,
    /// The action.
    pub action: OrderAction,
}
