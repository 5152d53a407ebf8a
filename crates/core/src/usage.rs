//! Usage records: the cost of a request and the account that it is billed to.

use crate::ids::{AccountName, IdempotencyKey, RequestId, VersionName};
use crate::reason::RunState;
use crate::units::{Money, Timestamp, TokenCount};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum body size of a [`StoredOutcome`], in bytes. A longer answer of a non-idempotent
/// operation must not be accepted from its service.
pub const MAX_OUTCOME_BYTES: usize = 128 * 1024;

/// The billed item: a version of a model, or an operation of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum UsedItem {
    /// The version whose answer the caller received.
    Version(VersionName),
    /// `service/operation`.
    Operation(Arc<str>),
}

/// One billed request. Two records with the same account and request are the same record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// The client account that pays.
    pub account: AccountName,
    /// The request id, which is billed once.
    pub request: RequestId,
    /// The billed item.
    pub item: UsedItem,
    /// Final run state of the request.
    pub run: RunState,
    /// Prompt tokens.
    pub tokens_in: TokenCount,
    /// Tokens of the answer that the caller received.
    pub tokens_out: TokenCount,
    /// Amount billed to the client account.
    pub billed: Money,
    /// Upstream cost of all attempts and cascade steps.
    pub upstream_cost: Money,
    /// When the answer ended.
    pub ended_at: Timestamp,
    /// The outcome of a non-idempotent request, replayed for repeats.
    pub outcome: Option<StoredOutcome>,
}

/// The outcome of a non-idempotent request, stored so that a repeat receives the same answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOutcome {
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the answer.
    pub content_type: Arc<str>,
    /// Body of the answer.
    pub body: Vec<u8>,
}
