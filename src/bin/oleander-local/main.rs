//! Starts the whole system in one process.

mod bills;
mod cli;
mod embedded;
mod exit_codes;
mod whole_share;

use clap::Parser;
use cli::Cli;
use embedded::EmbeddedSystem;
use exit_codes::LocalExit;
use oleander_adapters::logs::start_logs;
use oleander_adapters::ready::ReadyLine;
use oleander_adapters::signals::StopSignals;
use oleander_ledger::statement::StatementReader;
use std::process::ExitCode;
use std::sync::Arc;

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
    let system = EmbeddedSystem::start(cli).await?;
    let mut signals = StopSignals::new()?;
    let platform = &system.host.platform;
    let reader = StatementReader::new(Arc::clone(&platform.table), Arc::clone(&platform.objects));
    let admin = system.entry.admin_port().with_path("/bills/", bills::handler(reader));
    let admin = admin.bind(cli.admin).await?;
    let (callers, admin_address) = (system.entry.address()?, admin.address()?);
    tokio::spawn(admin.serve(std::future::pending()));
    let line = ReadyLine::new(system.host.settings.id.clone());
    line.with_callers(callers).with_admin(admin_address).print();
    print_first_steps(&system, &callers.to_string(), &admin_address.to_string());
    system.entry.serve(async move { signals.next().await }).await;
    system.ledger.hand_over().await;
    system.host.stop().await;
    Ok(())
}

/// Prints calls that work against the two example catalogs.
fn print_first_steps(system: &EmbeddedSystem, callers: &str, admin: &str) {
    let accounts = &system.standins.catalog.client_accounts;
    let (key, cascade, account) = if accounts.keys().any(|name| name.as_str() == "tacoma-vans") {
        ("curbside-tacoma-vans", "route-menu-plan", "tacoma-vans")
    } else {
        ("teranga-tenant-portal", "tenant-question", "tenant-portal")
    };
    println!("\nAsk for a streamed answer:\n");
    println!("  curl -N http://{callers}/v1/chat/completions \\");
    println!("    -H 'Authorization: Bearer {key}' -H 'Content-Type: application/json' \\");
    println!(
        "    -d '{{\"model\": \"{cascade}\", \"stream\": true, \"messages\": \
         [{{\"role\": \"user\", \"content\": \"Plan tomorrow for van 12\"}}]}}'"
    );
    println!("\nThen read the bill for it:\n\n  curl http://{admin}/bills/{account}\n");
}
