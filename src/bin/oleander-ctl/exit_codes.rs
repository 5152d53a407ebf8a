//! Exit codes of `oleander-ctl`.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CtlExit {
    /// It did what it says.
    Done,
    /// The catalog has findings; nothing was published.
    Findings,
    /// A flag or argument is wrong.
    Usage,
    /// Another publication came first; nothing was published.
    Conflict,
    /// The steward refused the call: unknown key, name or request.
    Refused,
    /// No steward or no store could be reached; nothing was done.
    Unreachable,
    /// Whether the change was made is not known.
    Unsettled,
    /// The change is published but not in force everywhere yet.
    NotEverywhere,
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
            CtlExit::Unsettled => Self::from(6),
            CtlExit::NotEverywhere => Self::from(7),
        }
    }
}
