//! Exit codes of `oleander-steward`.

use std::process::ExitCode;

/// How the process exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StewardExit {
    /// Stopped by a signal.
    Stopped,
    /// The settings are invalid, or an address is in use.
    CannotStart,
}

impl From<StewardExit> for ExitCode {
    fn from(exit: StewardExit) -> Self {
        match exit {
            StewardExit::Stopped => Self::SUCCESS,
            StewardExit::CannotStart => Self::from(1),
        }
    }
}
