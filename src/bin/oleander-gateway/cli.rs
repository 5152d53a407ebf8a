//! Command line of `oleander-gateway`.

use clap::Parser;
use oleander_platform::settings::SETTINGS_VARIABLE;
use std::path::PathBuf;
use std::sync::Arc;

/// Routes opaque requests to services and model engines
///
/// One process runs per host; it serves callers' requests, chooses models and upstreams, and
/// drives roll-outs. SIGTERM stops it gracefully: its readiness check fails, it keeps serving
/// until the load balancer has noticed, and closes each connection after the request in flight.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// Settings file of the process: JSON with comments if its name ends in .jsonc, otherwise the
    /// platform's settings file
    #[arg(env = SETTINGS_VARIABLE)]
    pub settings: PathBuf,

    /// Minimum log level: error, warn, info, debug or trace
    #[arg(long, default_value = "info")]
    pub log_level: Arc<str>,
}
