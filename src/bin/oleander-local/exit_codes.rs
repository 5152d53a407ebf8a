//! Exit codes of `oleander-local`.

use std::process::ExitCode;

/// How the process exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalExit {
    /// Stopped by a signal, after all requests finished.
    Stopped,
    /// A flag or the catalog is invalid, or an address is in use.
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
