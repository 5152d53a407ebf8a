//! Exit codes of `oleander-standin`.

use std::process::ExitCode;

/// How the process exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandinExit {
    /// Stopped by a signal.
    Stopped,
    /// A flag or the catalog is invalid, or an address is in use.
    CannotStart,
}

impl From<StandinExit> for ExitCode {
    fn from(exit: StandinExit) -> Self {
        match exit {
            StandinExit::Stopped => Self::SUCCESS,
            StandinExit::CannotStart => Self::from(1),
        }
    }
}
