//! Exit codes of `oleander-ledger`.

use std::process::ExitCode;

/// How the process exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerExit {
    /// Stopped by a signal, after all records held were written or handed over.
    Stopped,
    /// A flag or the settings are invalid, or an address is in use.
    CannotStart,
    /// Stopped by a signal, but neither the table nor another ledger accepted all records held.
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
