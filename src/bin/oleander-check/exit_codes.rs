//! Exit codes of `oleander-check`.

/// Result of the check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// No guarantee was violated.
    Passed,
    /// A guarantee was violated.
    Violated,
    /// A file cannot be read or has a line that is not an event.
    BadInput,
    /// `--require-all` was given and a guarantee was not tested.
    NotTested,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        let number = match code {
            ExitCode::Passed => 0,
            ExitCode::Violated => 1,
            ExitCode::BadInput => 2,
            ExitCode::NotTested => 3,
        };
        Self::from(number)
    }
}
