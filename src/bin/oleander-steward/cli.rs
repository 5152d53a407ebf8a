//! Command line of `oleander-steward`.

use clap::Parser;
use std::path::PathBuf;

/// Publishes the catalog, manages leases, roll-outs and loaded versions, and serves operators
///
/// All settings are in the settings file, in JSON with comments. Operators connect to
/// `admin_address` and authenticate with the keys in `operator_keys`.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// Settings file of the process
    pub settings: PathBuf,
}
