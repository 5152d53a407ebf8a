//! Events that the processes of a run record.

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
    /// Time of the event.
    pub at: Timestamp,
    /// Who recorded it: a caller, an upstream, a host or an operator.
    pub by: Arc<str>,
    /// The event itself.
    pub seen: SeenEvent,
}

/// Hexadecimal digest of a text.
pub type TextDigest = Arc<str>;

/// Kinds of events, with who records each of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum SeenEvent {
    /// Recorded by an operator: a catalog was accepted.
    Published {
        /// Revision of the catalog.
        revision: Revision,
        /// Versions that each client account allows, withdrawn or not.
        allowed: BTreeMap<AccountName, BTreeSet<VersionName>>,
        /// Versions that are withdrawn.
        withdrawn: BTreeSet<VersionName>,
    },
    /// Recorded by a host: it serves callers from this time on.
    HostUp {
        /// The host.
        host: HostId,
    },
    /// Recorded by a host or a test: the host no longer serves callers.
    HostDown {
        /// The host.
        host: HostId,
    },
    /// Recorded by a host: a revision is in force on it.
    InForce {
        /// The host.
        host: HostId,
        /// The revision.
        revision: Revision,
    },
    /// Recorded by a host: a caller's request was admitted and given an id.
    Admitted {
        /// The host.
        host: HostId,
        /// The client account.
        account: AccountName,
        /// The request.
        request: RequestId,
        /// The caller's idempotency key.
        key: Option<IdempotencyKey>,
        /// The session.
        session: Option<SessionId>,
    },
    /// Recorded by a caller: a complete answer arrived.
    Answered {
        /// The client account.
        account: AccountName,
        /// The request.
        request: RequestId,
        /// The version that answered, if a model did.
        version: Option<VersionName>,
        /// The session.
        session: Option<SessionId>,
        /// The caller's idempotency key.
        key: Option<IdempotencyKey>,
        /// Digest of the text of the answer.
        answer: TextDigest,
        /// Digest that the answer must have, if the caller knows it.
        expected: Option<TextDigest>,
        /// Whether this is the replayed answer of an earlier request.
        repeat: bool,
    },
    /// Recorded by a caller: the request was refused, or failed with an error response.
    Refused {
        /// The client account, if the API key belongs to one.
        account: Option<AccountName>,
        /// The request, if one was created.
        request: Option<RequestId>,
        /// The caller's idempotency key.
        key: Option<IdempotencyKey>,
        /// The reason.
        reason: Reason,
        /// Whether the request ran, as reported to the caller.
        run: RunState,
    },
    /// Recorded by a caller: the connection closed before the answer was complete, without an
    /// error response.
    Cut {
        /// The host, if known.
        host: Option<HostId>,
        /// The request, if known.
        request: Option<RequestId>,
    },
    /// Recorded by an upstream: an attempt started to run.
    AttemptStarted {
        /// The upstream.
        upstream: UpstreamName,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The attempt.
        attempt: AttemptId,
        /// The version that runs, if the upstream is a model engine.
        version: Option<VersionName>,
    },
    /// Recorded by an upstream: an attempt ran to completion.
    AttemptEnded {
        /// The upstream.
        upstream: UpstreamName,
        /// The attempt.
        attempt: AttemptId,
        /// Digest of the complete text.
        answer: TextDigest,
    },
    /// Recorded by a service: a non-idempotent operation took effect.
    OperationRan {
        /// The upstream.
        upstream: UpstreamName,
        /// The attempt.
        attempt: AttemptId,
        /// `service/operation`.
        operation: Arc<str>,
        /// The caller's idempotency key, if it was forwarded.
        key: Option<IdempotencyKey>,
    },
    /// Recorded by the platform or the upstream: the upstream is leaving.
    UpstreamLeaving {
        /// The upstream.
        upstream: UpstreamName,
        /// The incarnation that is leaving.
        incarnation: Incarnation,
    },
    /// Recorded by a host: a graceful shutdown began.
    ShutdownBegan {
        /// The host.
        host: HostId,
    },
    /// Recorded by a host: a graceful shutdown ended.
    ShutdownEnded {
        /// The host.
        host: HostId,
    },
    /// Recorded by the billing reader after the run: one billed request.
    Billed {
        /// The client account.
        account: AccountName,
        /// The request.
        request: RequestId,
        /// The amount.
        billed: Money,
    },
    /// Recorded by the billing reader after the run: every billing record was read.
    BillingRead,
}
