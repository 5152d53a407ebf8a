//! Exit codes of `oleander-ctl`.

use std::process::ExitCode;

/// Result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CtlExit {
    /// The command succeeded.
    Done,
    /// The catalog has findings; nothing was published.
    Findings,
    /// A flag or argument is invalid.
    Usage,
    /// Another publication was accepted first; nothing was published.
    Conflict,
    /// The steward refused the call: unknown key, name or request.
    Refused,
    /// No steward or no store could be reached; nothing was changed.
    Unreachable,
    /// It is unknown whether the change took effect.
    OutcomeUnknown,
    /// The change is published but not yet in force on every member.
    NotInForce,
}

impl From<CtlExit> for ExitCode {
    fn from(exit: CtlExit) -> Self {
        match exit {
            CtlExit::Done => Self::SUCCESS,
            CtlExit::Findings => Self::from(1),
            CtlExit::Usage => Self::from(2),
            CtlExit::Conflict => Self::from(3),
            CtlExit::Refused => Self::from(4),
            CtlExit::Unreachable => Self::from(5),
            CtlExit::OutcomeUnknown => Self::from(6),
            CtlExit::NotInForce => Self::from(7),
        }
    }
}
