//! What to do after a failed attempt of idempotent work.

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// No connection could be made; nothing was sent.
    Connect,
    /// The connection broke before the answer's head.
    Lost,
    /// The connection was silent for too long.
    Silent,
    /// The upstream refused without running anything.
    NotRun,
    /// The upstream refused the request as such; any other one would too.
    Rejected,
    /// The upstream failed.
    Failed,
    /// The answer is not that of the attempt, or is out of order.
    Wrong,
    /// The stream ended before its end marker.
    Cut,
}

impl FaultKind {
    /// The stable name, for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Lost => "lost",
            Self::Silent => "silent",
            Self::NotRun => "not_run",
            Self::Rejected => "rejected",
            Self::Failed => "failed",
            Self::Wrong => "wrong",
            Self::Cut => "cut",
        }
    }

    /// Whether the connection rather than the upstream may be at fault.
    #[must_use]
    pub const fn may_be_connection(self) -> bool {
        matches!(self, Self::Lost | Self::Silent)
    }

    /// Whether the upstream is blamed for it. A full upstream is not.
    #[must_use]
    pub const fn counts_against_upstream(self) -> bool {
        !matches!(self, Self::NotRun | Self::Rejected)
    }
}

/// The next attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAction {
    /// The same upstream on a new connection; it is not blamed yet.
    SameUpstream,
    /// Another upstream.
    OtherUpstream,
    /// None; the request fails.
    Stop,
}

/// Decides after a fault. `renewed` says that this upstream was already tried again on a new
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
pub const fn retry_action(fault: FaultKind, renewed: bool) -> RetryAction {
    match fault {
        FaultKind::Rejected => RetryAction::Stop,
        FaultKind::Lost | FaultKind::Silent if !renewed => RetryAction::SameUpstream,
        _ => RetryAction::OtherUpstream,
    }
}
