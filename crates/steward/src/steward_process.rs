//! A steward process: the node, its admin port and its peer handlers.

use crate::metrics::steward_registry;
use crate::steward::{StewardNode, StewardParts};
use anyhow::ensure;
use oleander_adapters::admin::{AdminPort, HealthCheck, ProcessHealth};
use oleander_adapters::settings::MIN_SECRET_BYTES;
use oleander_host::RunningHost;
use oleander_peers::ShareService;
use oleander_ports::catalog::CatalogPort;
use oleander_ports::peers::PeerChannel;
use oleander_ports::status::{ProcessStatus, status_handler};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// A running steward with its admin and peer ports.
pub struct StewardProcess {
    host: RunningHost,
    node: StewardNode,
    shares: ShareService,
    admin_address: SocketAddr,
    stop_server: oneshot::Sender<()>,
    server: JoinHandle<()>,
}

impl StewardProcess {
    /// Starts the steward on a host that has joined its peers.
    ///
    /// # Errors
    ///
    /// When an operator's key is too short or the admin port cannot be bound.
    pub async fn start(host: RunningHost) -> anyhow::Result<Self> {
        for key in &host.settings.operator_keys {
            let long_enough = key.secret.len() >= MIN_SECRET_BYTES;
            ensure!(
                long_enough,
                "operator key {} is shorter than {MIN_SECRET_BYTES} bytes",
                key.id
            );
        }
        let node = StewardNode::start(steward_parts(&host), &host.settings.id, host.seed);
        let handler = node.operator_handler(&host.settings.operator_keys);
        let catalog = Arc::clone(&host.catalog) as Arc<dyn CatalogPort>;
        let registry = steward_registry(catalog, node.leases());
        // A steward is ready without a catalog, since the first catalog is published through it.
        let health: HealthCheck = Arc::new(|| ProcessHealth::Ready);
        let admin = AdminPort::new(registry, health).with_fallback(handler);
        let server = admin.bind(host.settings.admin_address).await?;
        let admin_address = server.address()?;
        host.peers.handle(PeerChannel::Statistics, node.statistics_handler());
        host.peers
            .handle(PeerChannel::Status, status_handler(ProcessStatus { admin: admin_address }));
        let shares = host.start_shares();
        let (stop_server, stopped) = oneshot::channel::<()>();
        let server = tokio::spawn(server.serve(async move {
            let _ = stopped.await;
        }));
        Ok(Self { host, node, shares, admin_address, stop_server, server })
    }

    /// Address of the admin port.
    #[must_use]
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Address of the peer port.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.host.peers.address()
    }

    /// Leaves the membership, releases the leases, completes calls in flight and stops the host.
    pub async fn stop(self) {
        self.host.members().leave();
        self.node.stop().await;
        drop(self.shares);
        let _ = self.stop_server.send(());
        let _ = self.server.await;
        self.host.stop().await;
    }
}

fn steward_parts(host: &RunningHost) -> StewardParts {
    let platform = host.platform.clone();
    StewardParts {
        table: platform.table,
        objects: platform.objects,
        ratings: platform.ratings,
        weights: platform.weights,
        hosts: platform.hosts,
        members: host.members(),
        peers: host.calls(),
        catalog: Arc::clone(&host.catalog) as Arc<dyn CatalogPort>,
        clock: Arc::clone(&host.clock),
    }
}
