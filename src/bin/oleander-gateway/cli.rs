//! Flags of `oleander-gateway`.

use clap::Parser;
use oleander_platform::settings::SETTINGS_VARIABLE;
use std::path::PathBuf;
use std::sync::Arc;

/// Routes opaque requests to services and model engines
///
/// One process serves a host: callers' requests, the choice of models and upstreams, roll-outs.
/// SIGTERM stops it in order: it is no longer ready, serves on until the balancer knows, and
/// ends connections after the request that is in flight on them.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// Settings of the process: JSON with comments where the name ends in .jsonc, otherwise the
    /// platform's own file
    #[arg(env = SETTINGS_VARIABLE)]
    pub settings: PathBuf,

    /// Least level that is logged: error, warn, info, debug or trace
    #[arg(long, default_value = "info")]
    pub log_level: Arc<str>,
}
