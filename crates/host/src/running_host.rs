//! Starts the components that processes of all roles share.

use anyhow::{Context, ensure};
use oleander_adapters::platform::{HttpHostList, HttpObjects, HttpRatings, HttpTable, HttpWeights};
use oleander_adapters::settings::{HostSettings, MIN_SECRET_BYTES, PlatformSettings, SecretKey};
use oleander_adapters::traces::TraceExporter;
use oleander_catalog::{CatalogFollower, FollowerPorts};
use oleander_core::ids::{Incarnation, Revision};
use oleander_peers::{PeerKey, PeerNode, PeerSettings, ShareService, ShareSettings};
use oleander_ports::catalog::CatalogPort;
use oleander_ports::clock::{ClockPort, SystemClock};
use oleander_ports::hosts::HostListPort;
use oleander_ports::members::{Member, MemberRole, MemberState, MembershipPort};
use oleander_ports::objects::ObjectPort;
use oleander_ports::peers::{PeerChannel, PeerPort};
use oleander_ports::ratings::RatingPort;
use oleander_ports::table::TablePort;
use oleander_ports::weights::WeightPort;
use std::sync::Arc;

/// The platform's services, as ports.
#[derive(Clone)]
pub struct PlatformPorts {
    /// The table service.
    pub table: Arc<dyn TablePort>,
    /// The object store.
    pub objects: Arc<dyn ObjectPort>,
    /// The weight store.
    pub weights: Arc<dyn WeightPort>,
    /// The rating service.
    pub ratings: Arc<dyn RatingPort>,
    /// The host list service.
    pub hosts: Arc<dyn HostListPort>,
}

impl PlatformPorts {
    /// Clients of the services over HTTP.
    #[must_use]
    pub fn new(platform: &PlatformSettings) -> Self {
        Self {
            table: Arc::new(HttpTable::new(platform.table)),
            objects: Arc::new(HttpObjects::new(platform.objects)),
            weights: Arc::new(HttpWeights::new(platform.weights)),
            ratings: Arc::new(HttpRatings::new(platform.ratings)),
            hosts: Arc::new(HttpHostList::new(platform.hosts)),
        }
    }
}

/// A running process that has joined its peers and follows the catalog.
pub struct RunningHost {
    /// The settings with which it was started.
    pub settings: HostSettings,
    /// Its incarnation: its start time in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Seed of its random number generators.
    pub seed: u64,
    /// The system clock.
    pub clock: Arc<dyn ClockPort>,
    /// The platform's services.
    pub platform: PlatformPorts,
    /// Its node in the network of peers.
    pub peers: PeerNode,
    /// Keeps the latest published catalog in force on this process.
    pub catalog: Arc<CatalogFollower>,
    member: Member,
    traces: Option<TraceExporter>,
}

impl RunningHost {
    /// Joins the peers and starts following the catalog.
    ///
    /// # Errors
    ///
    /// When there is no peer key, a key is too short, the peer port cannot be bound or the trace
    /// exporter cannot be started.
    pub async fn start(settings: HostSettings, role: MemberRole) -> anyhow::Result<Self> {
        check_keys(&settings)?;
        let clock = SystemClock::shared();
        let started_at = clock.now().as_millis();
        let incarnation = Incarnation::new(started_at);
        let seed = process_seed(&settings, started_at);
        let platform = PlatformPorts::new(&settings.platform);
        let mut member = new_member(&settings, role, incarnation);
        let keys = settings.peer_keys.iter().map(peer_key).collect();
        let peer_settings = PeerSettings::new(member.clone(), keys, Arc::clone(&clock))
            .with_seeds(settings.seeds.clone())
            .with_seed(seed)
            .with_hosts(Arc::clone(&platform.hosts));
        let peers = PeerNode::start(peer_settings, Vec::new()).await;
        let peers = peers.context("cannot start the peer port")?;
        member.address = peers.address();
        let catalog = follow_catalog(&settings, &platform, &peers, &clock, seed);
        let collector = settings.trace_collector;
        let traces = collector.map(|address| TraceExporter::start(address, settings.id.as_str()));
        let traces = traces.transpose()?;
        Ok(Self { settings, incarnation, seed, clock, platform, peers, catalog, member, traces })
    }

    /// The membership.
    #[must_use]
    pub fn members(&self) -> Arc<dyn MembershipPort> {
        self.peers.members()
    }

    /// Remote calls to other processes.
    #[must_use]
    pub fn calls(&self) -> Arc<dyn PeerPort> {
        self.peers.calls()
    }

    /// Joins the sharing of client accounts' rate limits: entries report their demand, stewards
    /// coordinate.
    #[must_use]
    pub fn start_shares(&self) -> ShareService {
        let shares = ShareService::start(ShareSettings {
            me: self.member.clone(),
            catalog: Arc::clone(&self.catalog) as Arc<dyn CatalogPort>,
            members: self.members(),
            calls: self.calls(),
            clock: Arc::clone(&self.clock),
        });
        self.peers.handle(PeerChannel::Shares, shares.handler());
        shares
    }

    /// Stops following the catalog, exports the remaining spans and leaves the peers.
    pub async fn stop(self) {
        self.catalog.stop();
        if let Some(traces) = self.traces {
            traces.flush().await;
        }
        self.peers.stop().await;
    }
}

fn check_keys(settings: &HostSettings) -> anyhow::Result<()> {
    ensure!(!settings.peer_keys.is_empty(), "peer_keys is empty: expected at least one key");
    for key in settings.peer_keys.iter().chain(&settings.session_keys) {
        let long_enough = key.secret.len() >= MIN_SECRET_BYTES;
        ensure!(
            long_enough,
            "secret of key {} is too short: expected at least {MIN_SECRET_BYTES} bytes",
            key.id
        );
    }
    Ok(())
}

/// A seed that differs between processes and between starts of one process.
fn process_seed(settings: &HostSettings, started_at: u64) -> u64 {
    let id = settings.id.as_str().bytes();
    id.fold(started_at, |seed, byte| seed.wrapping_mul(31).wrapping_add(u64::from(byte)))
}

fn new_member(settings: &HostSettings, role: MemberRole, incarnation: Incarnation) -> Member {
    Member {
        id: settings.id.clone(),
        incarnation,
        role,
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        address: settings.peer_address,
        state: MemberState::Alive,
        revision: Revision::default(),
    }
}

fn peer_key(key: &SecretKey) -> PeerKey {
    PeerKey::new(key.id.clone(), Arc::clone(&key.secret))
}

fn follow_catalog(
    settings: &HostSettings,
    platform: &PlatformPorts,
    peers: &PeerNode,
    clock: &Arc<dyn ClockPort>,
    seed: u64,
) -> Arc<CatalogFollower> {
    let ports = FollowerPorts {
        table: Arc::clone(&platform.table),
        objects: Arc::clone(&platform.objects),
        peers: peers.calls(),
        members: peers.members(),
        clock: Arc::clone(clock),
    };
    let (id, domain) = (settings.id.clone(), settings.domain.clone());
    let follower = CatalogFollower::new(ports, id, domain, seed);
    peers.handle(PeerChannel::Catalog, follower.peer_handler());
    Arc::new(follower)
}
