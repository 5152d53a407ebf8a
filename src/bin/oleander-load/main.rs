//! Simulated experiments on routing decisions, and load tests against entries.

mod cli;
mod exit_codes;

use clap::Parser;
use cli::CommandLine;
use exit_codes::ExitCode;

fn main() -> std::process::ExitCode {
    let line = CommandLine::parse();
    let code = match cli::run(&line) {
        Ok(()) => ExitCode::Success,
        Err(error) => {
            eprintln!("oleander-load: {error:#}");
            ExitCode::Failure
        }
    };
    code.into()
}
