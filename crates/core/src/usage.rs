//! Usage records: what one request cost and whom it is billed to.

use crate::ids::{AccountName, IdempotencyKey, RequestId, VersionName};
use crate::reason::RunState;
use crate::units::{Money, Timestamp, TokenCount};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Largest body of a [`StoredOutcome`], in bytes; a longer answer of a non-idempotent operation
/// must not be accepted from its service.
pub const MAX_OUTCOME_BYTES: usize = 128 * 1024;

/// What was used: a version of a model, or an operation of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum UsedItem {
    /// The version whose answer the caller got.
    Version(VersionName),
    /// `service/operation`.
    Operation(Arc<str>),
}

/// One billed request. Two records with the same account and request are the same record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// The client account that pays.
    pub account: AccountName,
    /// The identity that is billed once.
    pub request: RequestId,
    /// What was used.
    pub item: UsedItem,
    /// How far the request got.
    pub run: RunState,
    /// Tokens of the prompt.
    pub tokens_in: TokenCount,
    /// Tokens of the answer that the caller got.
    pub tokens_out: TokenCount,
    /// What the client account pays.
    pub billed: Money,
    /// What all attempts and cascade steps cost upstream.
    pub upstream_cost: Money,
    /// When the answer ended.
    pub ended_at: Timestamp,
    /// The outcome of a non-idempotent request, stored for its repeats.
    pub outcome: Option<StoredOutcome>,
}

/// The outcome of a non-idempotent request, kept so that a repeat gets the same answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOutcome {
    /// The caller's key.
    pub key: IdempotencyKey,
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the answer.
    pub content_type: Arc<str>,
    /// Body of the answer.
    pub body: Vec<u8>,
}
