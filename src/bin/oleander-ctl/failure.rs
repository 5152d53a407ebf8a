//! Errors of commands, each with a one-line message and an exit code.

use crate::exit_codes::CtlExit;
use oleander_catalog::CatalogFinding;
use oleander_steward::operators::messages::{OperatorError, OperatorErrorCode};

/// Error of a command.
#[derive(Debug, thiserror::Error)]
pub enum CtlFailure {
    /// A file or argument is invalid.
    #[error("{0}")]
    Usage(String),
    /// The catalog has findings.
    #[error("{} findings; nothing was published", .0.len())]
    Findings(Vec<CatalogFinding>),
    /// The steward refused the call.
    #[error("{0}")]
    Steward(Box<OperatorError>),
    /// No steward could be reached, so that none can have made the change.
    #[error("no steward reachable at {0}; give its address with --steward ADDRESS")]
    Unreachable(String),
    /// A steward may have made the change before the call failed.
    #[error("{0}; the outcome is unknown; repeat the command with --publish-id {1}")]
    OutcomeUnknown(String, String),
    /// The change is published but not in force on every member.
    #[error("revision {revision} is not in force on: {missing}; see `oleander-ctl status`")]
    NotInForce {
        /// The revision.
        revision: u64,
        /// Members on which it is not in force.
        missing: String,
    },
}

impl CtlFailure {
    /// Exit code for the error.
    pub fn exit(&self) -> CtlExit {
        match self {
            Self::Usage(_) => CtlExit::Usage,
            Self::Findings(_) => CtlExit::Findings,
            Self::Unreachable(_) => CtlExit::Unreachable,
            Self::OutcomeUnknown(..) => CtlExit::OutcomeUnknown,
            Self::NotInForce { .. } => CtlExit::NotInForce,
            Self::Steward(error) => match error.code {
                OperatorErrorCode::Findings => CtlExit::Findings,
                OperatorErrorCode::Conflict => CtlExit::Conflict,
                OperatorErrorCode::PlatformDown => CtlExit::Unreachable,
                OperatorErrorCode::Unsettled => CtlExit::OutcomeUnknown,
                OperatorErrorCode::BadKey
                | OperatorErrorCode::BadCall
                | OperatorErrorCode::NotFound => CtlExit::Refused,
            },
        }
    }

    /// Findings that the error carries.
    pub fn findings(&self) -> &[CatalogFinding] {
        match self {
            Self::Findings(findings) => findings,
            Self::Steward(error) => &error.findings,
            _ => &[],
        }
    }
}
