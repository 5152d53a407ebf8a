//! Command line of `oleander-gateway`.

use clap::{Args, Parser, Subcommand};
use oleander_platform::settings::SETTINGS_VARIABLE;
use std::path::PathBuf;
use std::sync::Arc;

/// Routes opaque requests to services and model engines
///
/// One process runs per host; it serves callers' requests, chooses models and upstreams, and
/// drives roll-outs. SIGTERM stops it gracefully: its readiness check fails, it keeps serving
/// until the load balancer has noticed, and closes each connection after the request in flight.
#[derive(Debug, Parser)]
#[command(version, args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
pub struct Cli {
    /// What to do instead of serving
    #[command(subcommand)]
    pub command: Option<Command>,

    /// Settings file of the process: JSON with comments if its name ends in .jsonc, otherwise the
    /// platform's settings file
    #[arg(env = SETTINGS_VARIABLE, required = true)]
    pub settings: Option<PathBuf>,

    /// Minimum log level: error, warn, info, debug or trace
    #[arg(long, default_value = "info")]
    pub log_level: Arc<str>,
}

/// What to do instead of serving.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks a configuration before it is sent, without a network
    ///
    /// Prints one line for each finding: errors, entries that can never match, limits that contradict each
    /// other, and with --against what differs from the configuration in force. Exits with 1 if there are
    /// errors.
    Check(CheckArgs),
}

/// Arguments of `check`.
#[derive(Args, Debug)]
pub struct CheckArgs {
    /// The new configuration, as it will be sent
    pub new: PathBuf,

    /// The configuration in force
    #[arg(long, value_name = "CURRENT")]
    pub against: Option<PathBuf>,
}
