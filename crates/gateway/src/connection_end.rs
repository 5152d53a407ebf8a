//! Why a caller's connection ended, for the log lines of the requests that ended with it.

use std::sync::{Arc, OnceLock};

/// Why a connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndCause {
    /// This host closed it for the given reason.
    Closed(&'static str),
    /// It failed or the caller closed it, with the error of the connection.
    Lost(String),
}

impl EndCause {
    /// Outcome of the requests that ended with the connection.
    #[must_use]
    pub const fn outcome(&self) -> &'static str {
        match self {
            Self::Closed(_) => "cut",
            Self::Lost(_) => "caller_gone",
        }
    }

    /// Reason for the log.
    #[must_use]
    pub fn reason(&self) -> &str {
        match self {
            Self::Closed(reason) => reason,
            Self::Lost(error) => error,
        }
    }
}

/// The end of one connection, shared with the requests on it.
#[derive(Clone, Debug, Default)]
pub struct ConnectionEnd(Arc<OnceLock<EndCause>>);

impl ConnectionEnd {
    /// Records the cause, before the requests on the connection are dropped; the first one counts.
    pub fn record(&self, cause: EndCause) {
        let _ = self.0.set(cause);
    }

    /// The cause; `None` while the connection is open.
    #[must_use]
    pub fn cause(&self) -> Option<&EndCause> {
        self.0.get()
    }
}
