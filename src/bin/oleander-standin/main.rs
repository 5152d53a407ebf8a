//! Serves stand-ins for the platform and the upstreams.

mod cli;
mod exit_codes;

use clap::Parser;
use cli::Cli;
use exit_codes::StandinExit;
use oleander_adapters::logs::start_logs;
use oleander_adapters::ready::ReadyLine;
use oleander_adapters::settings::{PlatformSettings, read_settings};
use oleander_adapters::signals::StopSignals;
use oleander_core::catalog::Catalog;
use oleander_core::ids::HostId;
use oleander_standin::deployment::{DeploymentPlan, StandinDeployment};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    match serve(&cli).await {
        Ok(()) => StandinExit::Stopped.into(),
        Err(error) => {
            eprintln!("oleander-standin: {error:#}");
            StandinExit::CannotStart.into()
        }
    }
}

async fn serve(cli: &Cli) -> anyhow::Result<()> {
    start_logs(&cli.log_level)?;
    let catalog: Catalog = read_settings(&cli.catalog)?;
    let platform = platform_addresses(cli.platform)?;
    let plan = DeploymentPlan::on_configured_addresses(platform).with_control(cli.control);
    let (answer_tokens, batch_slowdown) = (cli.answer_tokens, cli.batch_slowdown);
    let plan = DeploymentPlan { answer_tokens, batch_slowdown, ..plan };
    let standins = StandinDeployment::start(catalog, plan).await?;
    standins.platform.hosts.set_lag(Duration::from_millis(cli.host_list_lag));
    let late = Duration::from_millis(cli.rating_lag);
    standins.platform.ratings.set_sampling(cli.rated_share, late);
    let (engines, services) = (standins.engines.len(), standins.services.len());
    log::info!("standins_ready engines={engines} services={services} control={}", cli.control);
    let mut signals = StopSignals::new()?;
    ReadyLine::new(HostId::new("standin")?).with_admin(standins.control_address).print();
    signals.next().await;
    Ok(())
}

fn platform_addresses(table: SocketAddr) -> anyhow::Result<PlatformSettings> {
    let port = |offset: u16| {
        let port = table.port().checked_add(offset);
        let port = port.ok_or_else(|| anyhow::anyhow!("--platform needs a port below 65532"))?;
        anyhow::Ok(SocketAddr::new(table.ip(), port))
    };
    Ok(PlatformSettings {
        table,
        objects: port(1)?,
        weights: port(2)?,
        ratings: port(3)?,
        hosts: port(4)?,
    })
}
