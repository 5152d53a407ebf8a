//! Checks recorded histories against every guarantee.

mod cli;
mod exit_codes;
mod report;

use clap::Parser;
use cli::CheckOptions;
use exit_codes::ExitCode;
use oleander_history::{History, check_history};
use std::sync::Arc;

fn main() -> std::process::ExitCode {
    let options = CheckOptions::parse();
    let code = match read_files(&options) {
        Ok(files) => check_files(&options, &files),
        Err(message) => {
            eprintln!("{message}");
            ExitCode::BadInput
        }
    };
    code.into()
}

fn read_files(options: &CheckOptions) -> Result<Vec<(Arc<str>, String)>, String> {
    let mut files = Vec::new();
    for path in &options.histories {
        let name: Arc<str> = Arc::from(path.display().to_string());
        let text = std::fs::read_to_string(path)
            .map_err(|error| format!("{name}: cannot read the history file: {error}"))?;
        files.push((name, text));
    }
    Ok(files)
}

fn check_files(options: &CheckOptions, files: &[(Arc<str>, String)]) -> ExitCode {
    let history = match History::parse(files) {
        Ok(history) => history,
        Err(errors) => {
            errors.iter().for_each(|error| eprintln!("{error}"));
            return ExitCode::BadInput;
        }
    };
    let reports = check_history(&history);
    let text = if options.json { report::as_json(&reports) } else { report::as_text(&reports) };
    print!("{text}");
    report::exit_code(&reports, options.require_all)
}
