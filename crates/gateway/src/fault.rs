//! Why an attempt at an upstream failed.

use oleander_core::attempt_retry::FaultKind;
use std::fmt;

/// A failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptFault {
    /// How it failed.
    pub kind: FaultKind,
    /// What was seen, for logs.
    pub message: String,
}

impl AttemptFault {
    /// A fault.
    #[must_use]
    pub fn new(kind: FaultKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }

    /// Whether the request may have run at the upstream.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        !matches!(self.kind, FaultKind::Connect | FaultKind::NotRun)
    }

    /// How much the fault says against the upstream, in plain failures. An upstream that
    /// cannot be reached or says nothing is out at the second time; one that failed a request
    /// may have good reason to.
    #[must_use]
    pub const fn weight(&self) -> u32 {
        match self.kind {
            FaultKind::Connect | FaultKind::Silent => 3,
            FaultKind::Lost | FaultKind::Cut | FaultKind::Wrong => 2,
            FaultKind::Failed => 1,
            FaultKind::NotRun | FaultKind::Rejected => 0,
        }
    }
}

impl fmt::Display for AttemptFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.name(), self.message)
    }
}
