//! Exit codes of the tool.

/// How the tool ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The measurement was made.
    Success,
    /// It was not made; standard error says why.
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
