//! Serves callers: authorizes, routes, streams and bills their requests.

mod cli;
mod exit_codes;

use anyhow::Context;
use clap::Parser;
use cli::Cli;
use exit_codes::EntryExit;
use oleander_adapters::logs::start_logs;
use oleander_adapters::ready::ReadyLine;
use oleander_adapters::settings::{HostSettings, read_settings};
use oleander_adapters::signals::StopSignals;
use oleander_entry::{EntryProcess, EntryStop};
use oleander_history::HistoryRecorder;
use oleander_host::RunningHost;
use oleander_ports::members::MemberRole;
use std::process::ExitCode;
use std::time::Duration;
use tokio::sync::oneshot;

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    match serve(&cli).await {
        Ok(stop) => EntryExit::from(stop).into(),
        Err(error) => {
            eprintln!("oleander-entry: {error:#}");
            EntryExit::CannotStart.into()
        }
    }
}

async fn serve(cli: &Cli) -> anyhow::Result<EntryStop> {
    let settings: HostSettings = read_settings(&cli.settings)?;
    start_logs(&settings.log_level)?;
    let id = settings.id.clone();
    let mut signals = StopSignals::new()?;
    let host = RunningHost::start(settings, MemberRole::Entry).await?;
    let process = EntryProcess::start(host, cli.mode, new_recorder(cli)?).await?;
    log::info!("entry_ready id={id} callers={} mode={}", process.caller_address(), cli.mode);
    ReadyLine::new(id)
        .with_callers(process.caller_address())
        .with_peers(process.peer_address())
        .with_admin(process.admin_address())
        .print();
    let (stop_sender, stop_receiver) = oneshot::channel::<()>();
    let deadline = Duration::from_secs(cli.stop_deadline);
    let abort = async move {
        signals.next().await;
        let _ = stop_sender.send(());
        // The second signal or the deadline ends the wait for requests in flight.
        let _ = tokio::time::timeout(deadline, signals.next()).await;
    };
    let stopped = async move {
        let _ = stop_receiver.await;
    };
    Ok(process.serve(stopped, abort).await)
}

fn new_recorder(cli: &Cli) -> anyhow::Result<HistoryRecorder> {
    let Some(path) = &cli.history else { return Ok(HistoryRecorder::off()) };
    HistoryRecorder::to_file(path).with_context(|| format!("cannot write {}", path.display()))
}
