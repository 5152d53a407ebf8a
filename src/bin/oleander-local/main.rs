//! Starts the whole system in one process.

mod cli;
mod embedded;
mod exit_codes;

use clap::Parser;
use cli::Cli;
use embedded::EmbeddedSystem;
use exit_codes::LocalExit;
use oleander_adapters::logs::start_logs;
use oleander_adapters::ready::ReadyLine;
use oleander_adapters::signals::StopSignals;
use oleander_core::catalog::Catalog;
use oleander_core::ids::HostId;
use std::net::SocketAddr;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    match serve(&cli).await {
        Ok(()) => LocalExit::Stopped.into(),
        Err(error) => {
            eprintln!("oleander-local: {error:#}");
            LocalExit::CannotStart.into()
        }
    }
}

async fn serve(cli: &Cli) -> anyhow::Result<()> {
    start_logs(&cli.log_level)?;
    let EmbeddedSystem { standins, steward, ledger_host, ledger, entry } =
        EmbeddedSystem::start(cli).await?;
    let mut signals = StopSignals::new()?;
    let (callers, operators) = (entry.caller_address(), steward.admin_address());
    log::info!("local_ready entry_admin={}", entry.admin_address());
    ReadyLine::new(HostId::new("local")?).with_callers(callers).with_admin(operators).print();
    print_example_calls(&standins.catalog, callers, operators, cli);
    let stop = async move { signals.next().await };
    entry.serve(stop, std::future::pending()).await;
    ledger_host.members().leave();
    ledger.hand_over().await;
    ledger_host.stop().await;
    steward.stop().await;
    Ok(())
}

/// Prints example calls, which work with the two example catalogs.
fn print_example_calls(catalog: &Catalog, callers: SocketAddr, operators: SocketAddr, cli: &Cli) {
    let curbside = catalog.client_accounts.keys().any(|name| name.as_str() == "tacoma-vans");
    let (key, cascade, account) = if curbside {
        ("curbside-tacoma-vans", "route-menu-plan", "tacoma-vans")
    } else {
        ("teranga-tenant-portal", "tenant-question", "tenant-portal")
    };
    println!("\nAsk for a streamed answer:\n");
    println!("  curl -N http://{callers}/v1/chat/completions \\");
    println!("    -H 'Authorization: Bearer {key}' -H 'Content-Type: application/json' \\");
    println!(
        "    -d '{{\"model\": \"{cascade}\", \"stream\": true, \"messages\": \
         [{{\"role\": \"user\", \"content\": \"What is planned for tomorrow?\"}}]}}'"
    );
    println!("\nThen read the bill for it:\n");
    println!("  OLEANDER_OPERATOR_KEY={} \\", cli.operator_key);
    println!("    cargo run --bin oleander-ctl -- --steward {operators} bill {account}\n");
}
