//! Exit codes of `oleander-entry`.

use oleander_entry::EntryStop;
use std::process::ExitCode;

/// How the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryExit {
    /// It was told to stop and finished what was in flight.
    Stopped,
    /// The settings are wrong, or an address is taken.
    CannotStart,
    /// Requests were cut; the log names each.
    Cut,
}

impl From<EntryStop> for EntryExit {
    fn from(stop: EntryStop) -> Self {
        match stop {
            EntryStop::Finished => Self::Stopped,
            EntryStop::Aborted => Self::Cut,
        }
    }
}

impl From<EntryExit> for ExitCode {
    fn from(exit: EntryExit) -> Self {
        match exit {
            EntryExit::Stopped => Self::SUCCESS,
            EntryExit::CannotStart => Self::from(1),
            EntryExit::Cut => Self::from(2),
        }
    }
}
