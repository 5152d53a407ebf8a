//! Command line of `oleander-entry`.

use clap::Parser;
use oleander_core::choice_mode::ChoiceMode;
use std::path::PathBuf;

/// Serves callers: authorizes, routes, streams and bills their requests
///
/// All other settings are in the settings file, in JSON with comments. Callers connect to
/// `caller_address`; `admin_address` serves health checks, metrics and request traces. SIGTERM
/// drains the process; a second SIGTERM aborts the remaining requests and logs each one.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// Settings file of the process
    pub settings: PathBuf,

    /// Policy for choosing versions and upstreams: model_aware, or one of the baselines
    /// always_costly, cheap_then_escalate, uniform_random and least_reported
    #[arg(long, default_value_t)]
    pub mode: ChoiceMode,

    /// Seconds after the signal at which requests that are still in flight are aborted
    #[arg(long, default_value_t = 300)]
    pub stop_deadline: u64,

    /// File to which admitted requests are appended for oleander-check; for tests only
    #[arg(long, value_name = "FILE")]
    pub history: Option<PathBuf>,
}
