//! Exit codes of `oleander-gateway`.

use oleander_gateway::gateway_process::GatewayStop;
use std::process::ExitCode;

/// How the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayExit {
    /// It was told to stop and finished what was in flight.
    Stopped,
    /// The settings are wrong, or an address is taken.
    CannotStart,
    /// Connections were cut.
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
            GatewayExit::Stopped => Self::SUCCESS,
            GatewayExit::CannotStart => Self::from(1),
            GatewayExit::Cut => Self::from(2),
        }
    }
}
