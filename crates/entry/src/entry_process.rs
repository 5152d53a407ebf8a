//! Builds an entry from the process's settings and runs it.

use crate::parts::EntryParts;
use crate::server::{EntryServer, EntryView};
use anyhow::Context;
use oleander_adapters::http_server::HttpServer;
use oleander_catalog::QualityFollower;
use oleander_core::choice_mode::ChoiceMode;
use oleander_history::HistoryRecorder;
use oleander_host::RunningHost;
use oleander_ledger::LedgerClient;
use oleander_peers::ShareService;
use oleander_ports::catalog::CatalogPort;
use oleander_ports::claims::ClaimPort;
use oleander_ports::peers::PeerChannel;
use oleander_ports::status::{ProcessStatus, status_handler};
use oleander_ports::usage::UsagePort;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How an entry stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryStop {
    /// Every request in flight was completed.
    Finished,
    /// Requests were aborted; each one is logged.
    Aborted,
}

/// A running entry.
pub struct EntryProcess {
    host: RunningHost,
    shares: ShareService,
    server: EntryServer,
    admin: HttpServer,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
}

impl EntryProcess {
    /// Binds the callers' port and the admin port of a host. `recorder` records each admitted
    /// request.
    ///
    /// # Errors
    ///
    /// When the settings lack `caller_address` or `session_keys`, or a port cannot be bound.
    pub async fn start(
        host: RunningHost,
        mode: ChoiceMode,
        recorder: HistoryRecorder,
    ) -> anyhow::Result<Self> {
        let settings = &host.settings;
        let bind_address = settings.caller_address.context(
            "caller_address is missing: an entry needs the address of its callers' port",
        )?;
        anyhow::ensure!(
            !settings.session_keys.is_empty(),
            "session_keys is empty: expected at least one key"
        );
        let drain = Duration::from_secs(settings.drain_seconds);
        let shares = host.start_shares();
        let parts = entry_parts(&host, &shares, mode);
        let server = EntryServer::bind(parts, bind_address).await?;
        let server = server.with_drain(drain).with_recorder(recorder);
        let caller_address = server.address()?;
        let admin = server.admin_port().bind(settings.admin_address).await?;
        let admin_address = admin.address()?;
        let status = status_handler(ProcessStatus { admin: admin_address });
        host.peers.handle(PeerChannel::Status, status);
        Ok(Self { host, shares, server, admin, caller_address, admin_address })
    }

    /// Returns the bound address of the callers' port.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the bound address of the admin port.
    #[must_use]
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the bound address of the peer port.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.host.peers.address()
    }

    /// Returns a view of the entry that stays valid after the server has stopped.
    #[must_use]
    pub fn view(&self) -> EntryView {
        self.server.view()
    }

    /// Serves until `stop` completes, then drains. When `abort` completes before the drain has,
    /// it stops at once and logs each request that is left.
    pub async fn serve(
        self,
        stop: impl Future<Output = ()>,
        abort: impl Future<Output = ()>,
    ) -> EntryStop {
        let Self { host, shares, server, admin, .. } = self;
        let view = server.view();
        let admin = tokio::spawn(admin.serve(std::future::pending()));
        let ended = tokio::select! {
            () = server.serve(stop) => EntryStop::Finished,
            () = abort => EntryStop::Aborted,
        };
        if ended == EntryStop::Aborted {
            view.log_aborted();
        }
        admin.abort();
        drop(shares);
        host.stop().await;
        ended
    }
}

fn entry_parts(host: &RunningHost, shares: &ShareService, mode: ChoiceMode) -> EntryParts {
    let (settings, clock) = (&host.settings, Arc::clone(&host.clock));
    let catalog = Arc::clone(&host.catalog) as Arc<dyn CatalogPort>;
    let ledger = LedgerClient::new(host.calls(), host.members(), Arc::clone(&clock), host.seed)
        .with_region(settings.region.clone());
    let quality = QualityFollower::new(host.calls(), host.members(), host.seed);
    EntryParts {
        id: settings.id.clone(),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        incarnation: host.incarnation,
        catalog,
        usage: Arc::new(ledger.clone()) as Arc<dyn UsagePort>,
        claims: Arc::new(ledger) as Arc<dyn ClaimPort>,
        members: host.members(),
        ratings: Arc::clone(&host.platform.ratings),
        shares: shares.port(),
        quality: Arc::new(quality),
        table: Arc::clone(&host.platform.table),
        clock,
        session_keys: settings.session_keys.clone(),
        seed: host.seed,
        mode,
    }
}
