//! Command line of `oleander-ledger`.

use clap::Parser;
use std::path::PathBuf;

/// Stores usage records and claims for the entries and writes them to the table
///
/// Run one on every host: during an outage of the table, records are kept in the memory of all
/// ledgers. On SIGTERM the process writes the records that it holds, or hands them over to other
/// ledgers, before it exits. It never writes to disk.
#[derive(Debug, Parser)]
#[command(name = "oleander-ledger", version)]
pub struct Cli {
    /// Settings file of the process, in JSON with comments
    pub settings: PathBuf,

    /// Maximum size of the backlog in megabytes; new requests are refused when it is full
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u32).range(1..=4096))]
    pub backlog_megabytes: u32,
}

impl Cli {
    /// Maximum size of the backlog, in bytes.
    pub const fn backlog_bytes(&self) -> usize {
        self.backlog_megabytes as usize * 1024 * 1024
    }
}
