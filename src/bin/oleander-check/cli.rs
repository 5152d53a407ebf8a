//! Command line of `oleander-check`.

use clap::Parser;
use std::path::PathBuf;

/// Check recorded histories against every guarantee
///
/// Reads the histories of one run, one JSON event per line, from one or more files. Prints one
/// line per guarantee with the number of events and violations, and the first violating trace.
#[derive(Debug, Parser)]
#[command(name = "oleander-check", version)]
pub struct CheckOptions {
    /// History files of one run, with one JSON event per line
    #[arg(required = true, value_name = "HISTORY")]
    pub histories: Vec<PathBuf>,

    /// Print the reports as one JSON document
    #[arg(long)]
    pub json: bool,

    /// Also fail when the run has no event that tests a guarantee
    #[arg(long)]
    pub require_all: bool,
}
