//! Exit codes of `oleander-ledger`.

use std::process::ExitCode;

/// How the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerExit {
    /// It was told to stop, and nothing that it held is lost.
    Stopped,
    /// A flag or the settings are wrong, or an address is taken.
    CannotStart,
    /// It was told to stop while neither the table nor another ledger took what it held.
    HandOverIncomplete,
}

impl From<LedgerExit> for ExitCode {
    fn from(exit: LedgerExit) -> Self {
        match exit {
            LedgerExit::Stopped => Self::SUCCESS,
            LedgerExit::CannotStart => Self::from(1),
            LedgerExit::HandOverIncomplete => Self::from(2),
        }
    }
}
