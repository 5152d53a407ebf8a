//! Why a command failed, as one line and an exit code.

use crate::exit_codes::CtlExit;
use oleander_catalog::CatalogFinding;
use oleander_steward::operators::messages::{OperatorError, OperatorErrorCode};

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CtlFailure {
    /// A file or argument is wrong.
    #[error("{0}")]
    Usage(String),
    /// The catalog has findings.
    #[error("{} findings; nothing was published", .0.len())]
    Findings(Vec<CatalogFinding>),
    /// The steward refused the call.
    #[error("{0}")]
    Steward(Box<OperatorError>),
    /// No steward answered, and none can have acted.
    #[error("no steward answers at {0}; name one with --steward ADDRESS")]
    Unreachable(String),
    /// A steward may have acted.
    #[error("{0}; repeat the command with --publish-id {1} to settle it")]
    Unsettled(String, String),
    /// The change is published but not in force everywhere.
    #[error("revision {revision} is not in force on: {missing}; see `oleander-ctl status`")]
    NotEverywhere {
        /// The revision.
        revision: u64,
        /// The members that do not have it.
        missing: String,
    },
}

impl CtlFailure {
    /// The exit code.
    pub fn exit(&self) -> CtlExit {
        match self {
            Self::Usage(_) => CtlExit::Usage,
            Self::Findings(_) => CtlExit::Findings,
            Self::Unreachable(_) => CtlExit::Unreachable,
            Self::Unsettled(..) => CtlExit::Unsettled,
            Self::NotEverywhere { .. } => CtlExit::NotEverywhere,
            Self::Steward(error) => match error.code {
                OperatorErrorCode::Findings => CtlExit::Findings,
                OperatorErrorCode::Conflict => CtlExit::Conflict,
                OperatorErrorCode::PlatformDown => CtlExit::Unreachable,
                OperatorErrorCode::Unsettled => CtlExit::Unsettled,
                OperatorErrorCode::BadKey
                | OperatorErrorCode::BadCall
                | OperatorErrorCode::NotFound => CtlExit::Refused,
            },
        }
    }

    /// The findings that the failure reports.
    pub fn findings(&self) -> &[CatalogFinding] {
        match self {
            Self::Findings(findings) => findings,
            Self::Steward(error) => &error.findings,
            _ => &[],
        }
    }
}
