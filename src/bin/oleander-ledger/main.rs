//! Stores usage records and claims, and writes them to the table.

mod cli;
mod exit_codes;
mod ledger_process;

use clap::Parser;
use cli::Cli;
use exit_codes::LedgerExit;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    match ledger_process::serve(&cli).await {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("oleander-ledger: {error:#}");
            LedgerExit::CannotStart.into()
        }
    }
}
