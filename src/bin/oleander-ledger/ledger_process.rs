//! Start and graceful shutdown of the ledger process.

use crate::cli::Cli;
use crate::exit_codes::LedgerExit;
use oleander_adapters::admin::{AdminPort, HealthCheck, ProcessHealth};
use oleander_adapters::http_server::HttpServer;
use oleander_adapters::logs::start_logs;
use oleander_adapters::ready::ReadyLine;
use oleander_adapters::settings::{HostSettings, read_settings};
use oleander_adapters::signals::StopSignals;
use oleander_host::RunningHost;
use oleander_ledger::flush_loop::HandOver;
use oleander_ledger::{LedgerNode, LedgerPorts, NodeConfig};
use oleander_ports::members::MemberRole;
use oleander_ports::peers::PeerChannel;
use oleander_ports::status::{ProcessStatus, status_handler};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Serves until a stop signal arrives, then hands over the records held.
///
/// # Errors
///
/// When a setting is invalid or an address is in use.
pub async fn serve(cli: &Cli) -> anyhow::Result<LedgerExit> {
    let settings: HostSettings = read_settings(&cli.settings)?;
    start_logs(&settings.log_level)?;
    let mut signals = StopSignals::new()?;
    let host = RunningHost::start(settings, MemberRole::Ledger).await?;
    let node = start_node(cli, &host);
    let stopping = Arc::new(AtomicBool::new(false));
    let admin = bind_admin(&host, &node, &stopping).await?;
    let line = ReadyLine::new(host.settings.id.clone()).with_peers(host.peers.address());
    let admin_address = admin.address()?;
    let status = status_handler(ProcessStatus { admin: admin_address });
    host.peers.handle(PeerChannel::Status, status);
    line.with_admin(admin_address).print();
    tokio::spawn(admin.serve(std::future::pending()));
    signals.next().await;
    stopping.store(true, Ordering::Relaxed);
    let exit = stop(&host, &node, &mut signals).await;
    host.stop().await;
    Ok(exit)
}

fn start_node(cli: &Cli, host: &RunningHost) -> Arc<LedgerNode> {
    let HostSettings { id, region, domain, .. } = host.settings.clone();
    let config = NodeConfig::new(id, region, domain, host.incarnation)
        .with_backlog_bytes(cli.backlog_bytes());
    let ports = LedgerPorts {
        table: Arc::clone(&host.platform.table),
        objects: Arc::clone(&host.platform.objects),
        peers: host.calls(),
        members: host.members(),
        clock: Arc::clone(&host.clock),
    };
    let node = LedgerNode::new(config, ports);
    for (channel, handler) in node.handlers() {
        host.peers.handle(channel, handler);
    }
    node
}

async fn bind_admin(
    host: &RunningHost,
    node: &Arc<LedgerNode>,
    stopping: &Arc<AtomicBool>,
) -> anyhow::Result<HttpServer> {
    let registry = node.metrics().to_registry();
    let (node, stopping) = (Arc::clone(node), Arc::clone(stopping));
    let health: HealthCheck = Arc::new(move || {
        if stopping.load(Ordering::Relaxed) {
            return ProcessHealth::NotReady(Arc::from("stopping"));
        }
        if node.has_room() {
            return ProcessHealth::Ready;
        }
        ProcessHealth::NotReady(Arc::from("the backlog is full"))
    });
    AdminPort::new(registry, health).bind(host.settings.admin_address).await
}

/// Leaves the membership, keeps answering for `drain_seconds` because peers learn of it later,
/// and hands over the records held. A second signal ends the drain early.
async fn stop(host: &RunningHost, node: &LedgerNode, signals: &mut StopSignals) -> LedgerExit {
    log::info!("ledger_stopping drain_seconds={}", host.settings.drain_seconds);
    host.members().leave();
    tokio::select! {
        () = tokio::time::sleep(Duration::from_secs(host.settings.drain_seconds)) => {}
        () = signals.next() => {}
    }
    let handed_over = node.hand_over().await;
    let held = node.metrics().backlog_bytes.get();
    match handed_over {
        HandOver::Written | HandOver::Copied => {
            log::info!("ledger_stopped hand_over={handed_over:?} held_bytes={held}");
            LedgerExit::Stopped
        }
        HandOver::Incomplete => {
            log::error!("ledger_hand_over_incomplete held_bytes={held}");
            LedgerExit::HandOverIncomplete
        }
    }
}
