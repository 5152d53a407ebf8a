//! Exit codes of `oleander-gateway`.

use oleander_gateway::gateway_process::GatewayStop;
use std::process::ExitCode;

/// How the process exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayExit {
    /// Stopped by a signal, after all requests in flight finished.
    Stopped,
    /// The settings are invalid, or an address is in use.
    CannotStart,
    /// A checked configuration has no errors.
    Checked,
    /// A checked configuration has errors, or cannot be read.
    Invalid,
    /// Connections were still open at the end of the grace period and were closed.
    Cut,
}

impl From<GatewayStop> for GatewayExit {
    fn from(stop: GatewayStop) -> Self {
        match stop {
            GatewayStop::Finished => Self::Stopped,
            GatewayStop::Cut(_) => Self::Cut,
        }
    }
}

impl From<GatewayExit> for ExitCode {
    fn from(exit: GatewayExit) -> Self {
        match exit {
            GatewayExit::Stopped | GatewayExit::Checked => Self::SUCCESS,
            GatewayExit::CannotStart | GatewayExit::Invalid => Self::from(1),
            GatewayExit::Cut => Self::from(2),
        }
    }
}
