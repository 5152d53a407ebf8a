//! Flags.

use clap::Parser;
use std::path::PathBuf;

/// Check recorded histories against every promise
///
/// Reads the histories of one run, one event a line, from one or more files and prints a line
/// for each promise: events seen, violations, and the first violating trace.
#[derive(Debug, Parser)]
#[command(name = "oleander-check", version)]
pub struct CheckOptions {
    /// Files with one JSON event a line; together they are one run
    #[arg(required = true, value_name = "HISTORY")]
    pub histories: Vec<PathBuf>,

    /// Print one JSON document instead of text
    #[arg(long)]
    pub json: bool,

    /// Fail also when a promise was not tested because the run has no event for it
    #[arg(long)]
    pub require_all: bool,
}
