//! Failures of attempts at upstreams.

use oleander_core::attempt_retry::FaultKind;
use std::fmt;

/// A failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptFault {
    /// Kind of failure.
    pub kind: FaultKind,
    /// Details for logs.
    pub message: String,
}

impl AttemptFault {
    /// Creates a fault.
    #[must_use]
    pub fn new(kind: FaultKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }

    /// Whether the request may have run at the upstream.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        !matches!(self.kind, FaultKind::Connect | FaultKind::Unreached | FaultKind::NotRun)
    }

    /// Weight in outlier ejection, as a number of ordinary failures. An upstream that is
    /// unreachable or unresponsive is ejected at the second fault; one that answered a request with
    /// an error may have a valid reason.
    #[must_use]
    pub const fn weight(&self) -> u32 {
        match self.kind {
            FaultKind::Connect | FaultKind::Silent => 3,
            FaultKind::Lost | FaultKind::Cut | FaultKind::Wrong => 2,
            FaultKind::Failed => 1,
            FaultKind::NotRun
            | FaultKind::Rejected
            | FaultKind::Unreached
            | FaultKind::CarrierLost => 0,
        }
    }
}

impl fmt::Display for AttemptFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.name(), self.message)
    }
}
