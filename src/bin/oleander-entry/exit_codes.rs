//! Exit codes of `oleander-entry`.

use oleander_entry::EntryStop;
use std::process::ExitCode;

/// How the process exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryExit {
    /// Stopped by a signal, after all requests in flight finished.
    Stopped,
    /// The settings are invalid, or an address is in use.
    CannotStart,
    /// Requests in flight were aborted by a second signal or at the stop deadline; each of them is
    /// logged.
    Aborted,
}

impl From<EntryStop> for EntryExit {
    fn from(stop: EntryStop) -> Self {
        match stop {
            EntryStop::Finished => Self::Stopped,
            EntryStop::Aborted => Self::Aborted,
        }
    }
}

impl From<EntryExit> for ExitCode {
    fn from(exit: EntryExit) -> Self {
        match exit {
            EntryExit::Stopped => Self::SUCCESS,
            EntryExit::CannotStart => Self::from(1),
            EntryExit::Aborted => Self::from(2),
        }
    }
}
