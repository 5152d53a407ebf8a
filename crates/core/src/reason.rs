//! Reason codes of refused and failed requests, and whether their work ran.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Whether the work of a request ran at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte of the request was sent to an upstream, or the upstream refused to run it.
    NotRun,
    /// The request ran to completion.
    Done,
    /// Part of the work ran; only for idempotent requests.
    Partial,
    /// Bytes were sent and no answer arrived: the request may or may not have run.
    Unknown,
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::Done => "done",
            Self::Partial => "partial",
            Self::Unknown => "unknown",
        })
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $status:literal;)*) => {
        /// Why a request was refused or failed. The code is sent in `x-oleander-reason` and is
        /// a label of the metrics.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// Every reason, in a fixed order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The stable code in snake case.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self { $(Self::$name => $code,)* }
            }

            /// The HTTP status sent to the caller.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }
        }
    };
}

reasons! {
    /// The bearer key is missing or belongs to no client account.
    BadKey = "bad_key", 401;
    /// The request is malformed.
    BadRequest = "bad_request", 400;
    /// The body is larger than the limit.
    TooLarge = "too_large", 413;
    /// The client account may not use the model, version or service.
    NotAllowed = "not_allowed", 403;
    /// No such model, cascade, service or operation.
    NotFound = "not_found", 404;
    /// The client account exceeds its rate.
    RateLimited = "rate_limited", 429;
    /// The pool has no free capacity for the request before its deadline.
    Overloaded = "overloaded", 503;
    /// The deadline is too close for any allowed chain.
    DeadlineTooShort = "deadline_too_short", 503;
    /// The deadline passed before the answer was complete.
    DeadlineExceeded = "deadline_exceeded", 504;
    /// No upstream of the pool can accept the request.
    NoUpstream = "no_upstream", 503;
    /// The version of the session was withdrawn.
    VersionWithdrawn = "version_withdrawn", 410;
    /// The session token is forged, expired or belongs to another client account.
    BadSession = "bad_session", 400;
    /// A request that is not idempotent has no idempotency key.
    KeyRequired = "idempotency_key_required", 400;
    /// The idempotency key was used before with a different body.
    KeyReused = "idempotency_key_reused", 422;
    /// A request with this idempotency key is in progress.
    InProgress = "in_progress", 409;
    /// The outcome of a request that is not idempotent is unknown.
    OutcomeUnknown = "outcome_unknown", 502;
    /// The upstream returned an invalid answer or failed, and no attempt was left.
    UpstreamFault = "upstream_fault", 502;
    /// The table service is unreachable and the request needs it.
    PlatformDown = "platform_down", 503;
    /// Usage cannot be recorded durably at the moment.
    LedgerUnavailable = "ledger_unavailable", 503;
    /// The host has no active catalog, or is cut off from its peers and the catalog store.
    NoCatalog = "no_catalog", 503;
    /// The host is shutting down.
    Draining = "draining", 503;
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// The text is not a known reason code.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a reason code")]
pub struct ReasonError(Arc<str>);

impl FromStr for Reason {
    type Err = ReasonError;

    fn from_str(text: &str) -> Result<Self, ReasonError> {
        let found = Self::ALL.iter().find(|reason| reason.code() == text);
        found.copied().ok_or_else(|| ReasonError(Arc::from(text)))
    }
}
