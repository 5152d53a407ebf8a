//! Retry decision after a failed attempt of an idempotent request.

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// The connection could not be established; nothing was sent.
    Connect,
    /// This host has no path to the upstream now; nothing was sent.
    Unreached,
    /// The host that carried the request was lost; the request may have run.
    CarrierLost,
    /// The connection broke before the response headers.
    Lost,
    /// The connection was silent for longer than the timeout.
    Silent,
    /// The upstream refused the request without running anything.
    NotRun,
    /// The upstream rejected the request itself; every other upstream would reject it too.
    Rejected,
    /// The upstream reported an error.
    Failed,
    /// The answer belongs to another attempt, or is out of order.
    Wrong,
    /// The stream ended before its end marker.
    Cut,
}

impl FaultKind {
    /// The stable name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Unreached => "unreached",
            Self::CarrierLost => "carrier_lost",
            Self::Lost => "lost",
            Self::Silent => "silent",
            Self::NotRun => "not_run",
            Self::Rejected => "rejected",
            Self::Failed => "failed",
            Self::Wrong => "wrong",
            Self::Cut => "cut",
        }
    }

    /// Whether the connection rather than the upstream may have failed.
    #[must_use]
    pub const fn may_be_connection(self) -> bool {
        matches!(self, Self::Lost | Self::Silent)
    }

    /// Whether the fault counts against the upstream. A refusal by a full upstream does not.
    #[must_use]
    pub const fn counts_against_upstream(self) -> bool {
        !matches!(self, Self::NotRun | Self::Rejected | Self::Unreached | Self::CarrierLost)
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAction {
    /// Retry the same upstream on a new connection; the fault does not count against it yet.
    SameUpstream,
    /// Retry another upstream.
    OtherUpstream,
    /// Do not retry; the request fails.
    Stop,
}

/// Decides after a fault. `reconnected` is true when this upstream was already retried on a new
/// connection.
///
/// ```
/// use oleander_core::attempt_retry::{FaultKind, RetryAction, retry_action};
///
/// assert_eq!(retry_action(FaultKind::Silent, false), RetryAction::SameUpstream);
/// assert_eq!(retry_action(FaultKind::Silent, true), RetryAction::OtherUpstream);
/// assert_eq!(retry_action(FaultKind::Rejected, false), RetryAction::Stop);
/// ```
#[must_use]
pub const fn retry_action(fault: FaultKind, reconnected: bool) -> RetryAction {
    match fault {
        FaultKind::Rejected => RetryAction::Stop,
        FaultKind::Lost | FaultKind::Silent if !reconnected => RetryAction::SameUpstream,
        _ => RetryAction::OtherUpstream,
    }
}
