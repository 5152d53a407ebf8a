//! Starts what a process of any role needs.

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
    /// The table.
    pub table: Arc<dyn TablePort>,
    /// The object store.
    pub objects: Arc<dyn ObjectPort>,
    /// The weight store.
    pub weights: Arc<dyn WeightPort>,
    /// The rating service.
    pub ratings: Arc<dyn RatingPort>,
    /// The list of hosts.
    pub hosts: Arc<dyn HostListPort>,
}

impl PlatformPorts {
    /// The services over HTTP.
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

/// A process that has joined its peers and follows the catalog.
pub struct RunningHost {
    /// The settings it was started with.
    pub settings: HostSettings,
    /// Its incarnation: the time of its start.
    pub incarnation: Incarnation,
    /// Seed of its random choices.
    pub seed: u64,
    /// The machine's clock.
    pub clock: Arc<dyn ClockPort>,
    /// The platform.
    pub platform: PlatformPorts,
    /// Its peer port.
    pub peers: PeerNode,
    /// The catalog in force.
    pub catalog: Arc<CatalogFollower>,
    me: Member,
    traces: Option<TraceExporter>,
}

impl RunningHost {
    /// Joins the peers and starts to follow the catalog.
    ///
    /// # Errors
    ///
    /// When a key is too short, the peer port cannot be bound or traces cannot be exported.
    pub async fn start(settings: HostSettings, role: MemberRole) -> anyhow::Result<Self> {
        check_keys(&settings)?;
        let clock = SystemClock::shared();
        let started_at = clock.now().as_millis();
        let incarnation = Incarnation::new(started_at);
        let seed = seed_of(&settings, started_at);
        let platform = PlatformPorts::new(&settings.platform);
        let mut me = new_member(&settings, role, incarnation);
        let keys = settings.peer_keys.iter().map(peer_key).collect();
        let peer_settings = PeerSettings::new(me.clone(), keys, Arc::clone(&clock))
            .with_seeds(settings.seeds.clone())
            .with_seed(seed)
            .with_hosts(Arc::clone(&platform.hosts));
        let peers = PeerNode::start(peer_settings, Vec::new()).await;
        let peers = peers.context("cannot start the peer port")?;
        me.address = peers.address();
        let catalog = follow_catalog(&settings, &platform, &peers, &clock, seed);
        let collector = settings.trace_collector;
        let traces = collector.map(|to| TraceExporter::start(to, settings.id.as_str()));
        let traces = traces.transpose()?;
        Ok(Self { settings, incarnation, seed, clock, platform, peers, catalog, me, traces })
    }

    /// The membership.
    #[must_use]
    pub fn members(&self) -> Arc<dyn MembershipPort> {
        self.peers.members()
    }

    /// Calls to other processes.
    #[must_use]
    pub fn calls(&self) -> Arc<dyn PeerPort> {
        self.peers.calls()
    }

    /// Starts to take part in the shares of client accounts' rates: an entry reports its demand,
    /// a steward coordinates.
    #[must_use]
    pub fn start_shares(&self) -> ShareService {
        let shares = ShareService::start(ShareSettings {
            me: self.me.clone(),
            catalog: Arc::clone(&self.catalog) as Arc<dyn CatalogPort>,
            members: self.members(),
            calls: self.calls(),
            clock: Arc::clone(&self.clock),
        });
        self.peers.handle(PeerChannel::Shares, shares.handler());
        shares
    }

    /// Exports the last spans and leaves the peers.
    pub async fn stop(self) {
        self.catalog.stop();
        if let Some(traces) = self.traces {
            traces.flush().await;
        }
        self.peers.stop().await;
    }
}

fn check_keys(settings: &HostSettings) -> anyhow::Result<()> {
    ensure!(!settings.peer_keys.is_empty(), "peer_keys is empty; give at least one key");
    for key in settings.peer_keys.iter().chain(&settings.session_keys) {
        let long_enough = key.secret.len() >= MIN_SECRET_BYTES;
        ensure!(long_enough, "key {} is shorter than {MIN_SECRET_BYTES} bytes", key.id);
    }
    Ok(())
}

/// Differs between processes and between starts of one process.
fn seed_of(settings: &HostSettings, started_at: u64) -> u64 {
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
