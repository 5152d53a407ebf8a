//! Exit codes of `oleander-local`.

use std::process::ExitCode;

/// How the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalExit {
    /// It was told to stop and finished every request.
    Stopped,
    /// A flag or the catalog is wrong, or an address is taken.
    CannotStart,
}

impl From<LocalExit> for ExitCode {
    fn from(exit: LocalExit) -> Self {
        match exit {
            LocalExit::Stopped => Self::SUCCESS,
            LocalExit::CannotStart => Self::from(1),
        }
    }
}
