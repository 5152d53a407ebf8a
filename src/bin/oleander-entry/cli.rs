//! Flags of `oleander-entry`.

use clap::Parser;
use oleander_core::choice_mode::ChoiceMode;
use std::path::PathBuf;

/// Serves callers: checks, routes, streams and bills their requests
///
/// Everything but the flags below is in the settings file: JSON with comments. Callers reach
/// the entry on `caller_address`; health, metrics and records of requests are on
/// `admin_address`. SIGTERM drains it; a second one cuts what is left and logs it.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// Settings of the process
    pub settings: PathBuf,

    /// How versions and upstreams are chosen: model_aware, or a baseline for comparison:
    /// always_costly, cheap_then_escalate, uniform_random, least_reported
    #[arg(long, default_value_t)]
    pub mode: ChoiceMode,

    /// Seconds from the signal after which requests that are still in flight are cut
    #[arg(long, default_value_t = 300)]
    pub stop_deadline: u64,

    /// File to which each admitted request is appended, for oleander-check; for trials only
    #[arg(long, value_name = "FILE")]
    pub history: Option<PathBuf>,
}
