//! Exit codes.

/// How the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// Every promise was kept.
    Kept,
    /// A promise was broken.
    Broken,
    /// A file cannot be read or has lines that are no events.
    BadInput,
    /// A promise was not tested and all were required.
    NotTested,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        let number = match code {
            ExitCode::Kept => 0,
            ExitCode::Broken => 1,
            ExitCode::BadInput => 2,
            ExitCode::NotTested => 3,
        };
        Self::from(number)
    }
}
