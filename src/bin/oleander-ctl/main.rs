//! Command-line client for operators.

mod arguments;
mod cli;
mod client;
mod commands;
mod dates;
mod exit_codes;
mod failure;
mod render;

use clap::Parser;
use cli::{Cli, Command};
use client::StewardClient;
use exit_codes::CtlExit;
use failure::CtlFailure;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

const KEY_VARIABLE: &str = "OLEANDER_OPERATOR_KEY";

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    let json = cli.json;
    match run(cli).await {
        Ok(text) => {
            // Writing fails when the reader closed the pipe, which is no error of the command.
            let _ = std::io::stdout().write_all(text.as_bytes());
            CtlExit::Done.into()
        }
        Err(failure) => report(&failure, json).into(),
    }
}

async fn run(cli: Cli) -> Result<String, CtlFailure> {
    let key = match &cli.command {
        Command::Check { .. } | Command::Explain { entry: Some(_), .. } => String::new(),
        _ => operator_key(cli.key_file.as_deref())?,
    };
    let client = StewardClient::new(cli.steward.clone(), key);
    commands::run(cli, &client).await
}

fn operator_key(file: Option<&Path>) -> Result<String, CtlFailure> {
    if let Some(file) = file {
        let text = std::fs::read_to_string(file).map_err(|error| {
            CtlFailure::Usage(format!("cannot read {}: {error}", file.display()))
        })?;
        return Ok(text.trim().to_owned());
    }
    std::env::var(KEY_VARIABLE).map_err(|_| {
        CtlFailure::Usage(format!("no operator's key; use --key-file PATH or set {KEY_VARIABLE}"))
    })
}

/// Prints findings to standard output, one per line, and the error to standard error.
fn report(failure: &CtlFailure, json: bool) -> CtlExit {
    let findings = failure.findings();
    let mut out = std::io::stdout().lock();
    if json && !findings.is_empty() {
        let value = serde_json::json!({ "findings": findings });
        let _ = writeln!(out, "{value:#}");
    } else {
        findings.iter().for_each(|finding| drop(writeln!(out, "{finding}")));
    }
    eprintln!("oleander-ctl: {failure}");
    failure.exit()
}
