//! Exit codes of `oleander-standin`.

use std::process::ExitCode;

/// How the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandinExit {
    /// It was told to stop.
    Stopped,
    /// A flag or the catalog is wrong, or an address is taken.
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
