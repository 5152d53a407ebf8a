//! Routes opaque requests to services and model engines, on one host.

mod cli;
mod exit_codes;

use anyhow::Context;
use clap::Parser;
use cli::Cli;
use exit_codes::GatewayExit;
use oleander_adapters::bounded_log::start_bounded_logs;
use oleander_adapters::settings::read_settings;
use oleander_adapters::signals::StopSignals;
use oleander_gateway::gateway_process::{GatewayProcess, GatewayStop};
use oleander_gateway::settings::GatewaySettings;
use oleander_platform::headers::wire_format;
use oleander_platform::store::StoreClient;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

/// Ending of settings files that are the project's own.
const OWN_ENDING: &str = "jsonc";

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let cli = Cli::parse();
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
    let settings = load_settings(&cli.settings)?;
    start_bounded_logs(&cli.log_level)?;
    let mut signals = StopSignals::new()?;
    let control = Arc::new(StoreClient::new(settings.store));
    let (host, callers) = (settings.host.clone(), settings.callers);
    let process = GatewayProcess::start(settings, wire_format(), control).await?;
    log::info!(target: "process", host:%, callers:%; "started");
    let stop = process.serve(signals.next()).await;
    log::info!(target: "process", host:%, stop:?; "stopped");
    Ok(stop)
}

fn load_settings(path: &Path) -> anyhow::Result<GatewaySettings> {
    if path.extension().is_some_and(|ending| ending == OWN_ENDING) {
        return Ok(read_settings(path)?);
    }
    let text = std::fs::read_to_string(path);
    let text = text.with_context(|| format!("cannot read {}", path.display()))?;
    oleander_platform::settings::read_settings(&text).with_context(|| path.display().to_string())
}
