//! Publishes the catalog, manages leases, rollouts and loaded versions, and serves operators.

mod cli;
mod exit_codes;

use clap::Parser;
use cli::Cli;
use exit_codes::StewardExit;
use oleander_adapters::logs::start_logs;
use oleander_adapters::ready::ReadyLine;
use oleander_adapters::settings::{HostSettings, read_settings};
use oleander_adapters::signals::StopSignals;
use oleander_host::RunningHost;
use oleander_ports::members::MemberRole;
use oleander_steward::steward_process::StewardProcess;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    match serve(&cli).await {
        Ok(()) => StewardExit::Stopped.into(),
        Err(error) => {
            eprintln!("oleander-steward: {error:#}");
            StewardExit::CannotStart.into()
        }
    }
}

async fn serve(cli: &Cli) -> anyhow::Result<()> {
    let settings: HostSettings = read_settings(&cli.settings)?;
    start_logs(&settings.log_level)?;
    let id = settings.id.clone();
    let mut signals = StopSignals::new()?;
    let host = RunningHost::start(settings, MemberRole::Steward).await?;
    let process = StewardProcess::start(host).await?;
    log::info!("steward_ready id={id} admin={}", process.admin_address());
    ReadyLine::new(id)
        .with_peers(process.peer_address())
        .with_admin(process.admin_address())
        .print();
    signals.next().await;
    log::info!("steward_stopping");
    process.stop().await;
    Ok(())
}
