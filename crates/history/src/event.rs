//! What the parties of a run record.

use oleander_core::ids::{
    AccountName, AttemptId, HostId, IdempotencyKey, Incarnation, RequestId, Revision, SessionId,
    UpstreamName, VersionName,
};
use oleander_core::reason::{Reason, RunState};
use oleander_core::units::{Money, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// One line of a history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEvent {
    /// When it was seen.
    pub at: Timestamp,
    /// Who saw it: a caller, an upstream, a host, an operator.
    pub by: Arc<str>,
    /// What was seen.
    pub seen: SeenEvent,
}

/// Digest of a text, in hex.
pub type TextDigest = Arc<str>;

/// What was seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum SeenEvent {
    /// By an operator: a catalog was accepted.
    Published {
        /// Its revision.
        revision: Revision,
        /// Versions that each client account allows, withdrawn or not.
        allowed: BTreeMap<AccountName, BTreeSet<VersionName>>,
        /// Versions that are withdrawn.
        withdrawn: BTreeSet<VersionName>,
    },
    /// By a host: it serves callers from now on.
    HostUp {
        /// The host.
        host: HostId,
    },
    /// By a host or test: it serves no more.
    HostDown {
        /// The host.
        host: HostId,
    },
    /// By a host: a revision is in force on it.
    InForce {
        /// The host.
        host: HostId,
        /// The revision.
        revision: Revision,
    },
    /// By a host: a request was minted for a caller.
    Admitted {
        /// The host.
        host: HostId,
        /// The client account.
        account: AccountName,
        /// The request.
        request: RequestId,
        /// The caller's key.
        key: Option<IdempotencyKey>,
        /// The session.
        session: Option<SessionId>,
    },
    /// By a caller: a whole answer came.
    Answered {
        /// The client account.
        account: AccountName,
        /// The request.
        request: RequestId,
        /// The version that answered, if a model did.
        version: Option<VersionName>,
        /// The session.
        session: Option<SessionId>,
        /// The caller's key.
        key: Option<IdempotencyKey>,
        /// Digest of the answer's text.
        answer: TextDigest,
        /// Digest that the answer must have, if the caller can tell.
        expected: Option<TextDigest>,
        /// Whether this is the stored answer of an earlier request.
        repeat: bool,
    },
    /// By a caller: the request was refused or failed in a way that it was told.
    Refused {
        /// The client account, if the key named one.
        account: Option<AccountName>,
        /// The request, if one was minted.
        request: Option<RequestId>,
        /// The caller's key.
        key: Option<IdempotencyKey>,
        /// The reason.
        reason: Reason,
        /// What the caller was told of the work.
        run: RunState,
    },
    /// By a caller: the connection ended before the answer did, without a word.
    Cut {
        /// The host, if known.
        host: Option<HostId>,
        /// The request, if known.
        request: Option<RequestId>,
    },
    /// By an upstream: work on an attempt began.
    AttemptStarted {
        /// The upstream.
        upstream: UpstreamName,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The attempt.
        attempt: AttemptId,
        /// The version that runs, if it is a model engine.
        version: Option<VersionName>,
    },
    /// By an upstream: an attempt ran to its end and this was its text.
    AttemptEnded {
        /// The upstream.
        upstream: UpstreamName,
        /// The attempt.
        attempt: AttemptId,
        /// Digest of the whole text.
        answer: TextDigest,
    },
    /// By a plain service: a non-idempotent operation took effect.
    OperationRan {
        /// The upstream.
        upstream: UpstreamName,
        /// The attempt.
        attempt: AttemptId,
        /// `service/operation`.
        operation: Arc<str>,
        /// The caller's key, if it was passed on.
        key: Option<IdempotencyKey>,
    },
    /// By the platform or the upstream: it is leaving.
    UpstreamLeaving {
        /// The upstream.
        upstream: UpstreamName,
        /// The incarnation that leaves.
        incarnation: Incarnation,
    },
    /// By a host: a graceful shutdown began.
    ShutdownBegan {
        /// The host.
        host: HostId,
    },
    /// By a host: a graceful shutdown ended.
    ShutdownEnded {
        /// The host.
        host: HostId,
    },
    /// By the reader of statements, after the run: one billed request.
    Billed {
        /// The client account.
        account: AccountName,
        /// The request.
        request: RequestId,
        /// The amount.
        billed: Money,
    },
    /// By the reader of statements, after the run: every record was read.
    BillingRead,
}
