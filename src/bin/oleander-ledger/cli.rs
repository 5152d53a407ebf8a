//! Flags of `oleander-ledger`.

use clap::Parser;
use std::path::PathBuf;

/// Holds usage records and claims for the entries and writes them to the table
///
/// Run one on every host: a long outage of the table is held in the memory of all of them.
/// SIGTERM writes everything that is held, or hands it to other ledgers, before the process
/// ends. The process never writes to a disk.
#[derive(Debug, Parser)]
#[command(name = "oleander-ledger", version)]
pub struct Cli {
    /// Settings of the host, JSON with comments
    pub settings: PathBuf,

    /// Megabytes of records that wait for the table before new requests are refused
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u32).range(1..=4096))]
    pub backlog_megabytes: u32,
}

impl Cli {
    /// Bound of the backlog, in bytes.
    pub const fn backlog_bytes(&self) -> usize {
        self.backlog_megabytes as usize * 1024 * 1024
    }
}
