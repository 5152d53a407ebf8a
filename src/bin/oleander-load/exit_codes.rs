//! Exit codes of `oleander-load`.

/// Result of the measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The measurement completed.
    Success,
    /// The measurement failed; the error is on standard error.
    Failure,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        match code {
            ExitCode::Success => Self::from(0),
            ExitCode::Failure => Self::from(1),
        }
    }
}
