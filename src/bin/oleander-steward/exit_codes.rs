//! Exit codes of `oleander-steward`.

use std::process::ExitCode;

/// How the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StewardExit {
    /// It was told to stop.
    Stopped,
    /// The settings are wrong, or an address is taken.
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
