//! Routes opaque requests to services and model engines, on one host.

mod allocator;
mod check;
mod cli;
mod exit_codes;

use anyhow::Context;
use clap::Parser;
use cli::{Cli, Command};
use exit_codes::GatewayExit;
use oleander_adapters::bounded_log::start_bounded_logs;
use oleander_adapters::settings::read_settings;
use oleander_adapters::signals::{ReloadSignals, StopSignals};
use oleander_gateway::gateway_process::{GatewayProcess, GatewayStop};
use oleander_gateway::settings::{GatewaySettings, SharedSettings};
use oleander_platform::headers::wire_format;
use oleander_platform::store::StoreClient;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which the settings file is polled; it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Extension of settings files in JSON with comments; others have the platform's format.
const JSONC_EXTENSION: &str = "jsonc";

fn main() -> ExitCode {
    allocator::apply_settings();
    run()
}

#[tokio::main(flavor = "current_thread")]
async fn run() -> ExitCode {
    let cli = Cli::parse();
    if let Some(Command::Check(args)) = &cli.command {
        return check::run(args).into();
    }
    let exit = match serve(&cli).await {
        Ok(stop) => GatewayExit::from(stop),
        Err(error) => {
            eprintln!("oleander-gateway: {error:#}");
            GatewayExit::CannotStart
        }
    };
    log::logger().flush();
    exit.into()
}

async fn serve(cli: &Cli) -> anyhow::Result<GatewayStop> {
    // Without handlers, a signal to reload ends the process.
    let (mut signals, reloads) = (StopSignals::new()?, ReloadSignals::new()?);
    let path = cli.settings.clone().context("no settings file is named")?;
    let settings = load_settings(&path)?;
    start_bounded_logs(&cli.log_level)?;
    let control = Arc::new(StoreClient::new(settings.store));
    let (host, callers) = (settings.host.clone(), settings.callers);
    let process = GatewayProcess::start(settings, wire_format(), control).await?;
    log::info!(target: "process", host:%, callers:%; "started");
    let settings = Arc::clone(&process.state().settings);
    let reload = tokio::spawn(watch_settings(path, settings, reloads));
    let stop = process.serve(signals.next()).await;
    reload.abort();
    log::info!(target: "process", host:%, stop:?; "stopped");
    Ok(stop)
}

fn load_settings(path: &Path) -> anyhow::Result<GatewaySettings> {
    if path.extension().is_some_and(|extension| extension == JSONC_EXTENSION) {
        return Ok(read_settings(path)?);
    }
    let text = std::fs::read_to_string(path);
    let text = text.with_context(|| format!("cannot read {}", path.display()))?;
    oleander_platform::settings::read_settings(&text).with_context(|| path.display().to_string())
}

/// Applies changed settings, on SIGHUP and at every poll. Addresses keep their values from the
/// start of the process. A file that cannot be read leaves the settings as they are.
async fn watch_settings(path: PathBuf, current: SharedSettings, mut reloads: ReloadSignals) {
    let mut last_error = String::new();
    loop {
        let signalled = tokio::time::timeout(SETTINGS_POLL_INTERVAL, reloads.next()).await.is_ok();
        match load_settings(&path) {
            Ok(settings) => {
                let is_new = **current.load() != settings;
                if is_new || signalled {
                    log::info!(target: "process", is_new, signalled; "settings reloaded");
                }
                if is_new {
                    current.store(Arc::new(settings));
                }
                last_error.clear();
            }
            Err(error) => {
                let text = format!("{error:#}");
                if text != last_error {
                    log::warn!(target: "process", error = text.as_str(); "settings not reloaded");
                }
                last_error = text;
            }
        }
    }
}
