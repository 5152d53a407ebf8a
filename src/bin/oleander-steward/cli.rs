//! Flags of `oleander-steward`.

use clap::Parser;
use std::path::PathBuf;

/// Publishes the catalog, takes leases, drives roll-outs, gives orders and serves operators
///
/// Everything else is in the settings file: JSON with comments. Operators reach the steward on
/// `admin_address` with the keys in `operator_keys`.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// Settings of the process
    pub settings: PathBuf,
}
