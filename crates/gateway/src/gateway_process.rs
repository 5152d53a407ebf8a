//! The gateway process: listeners, topic followers, rollouts and graceful shutdown.

use crate::answer_times::AnswerTimes;
use crate::caller_server::CallerServer;
use crate::carrier_client::CarrierLinks;
use crate::carrier_server::{CarrierLoad, serve_hosts};
use crate::control_cache::ControlSnapshot;
use crate::control_port::{ControlPort, Topic};
use crate::crash_guard::CrashGuard;
use crate::gossip::{GossipNode, run_gossip};
use crate::gossip_seal::GossipSeal;
use crate::host_count::count_hosts;
use crate::latency_tracker::{LatencyTracker, PrefillTracker};
use crate::metrics::GatewayMetrics;
use crate::path_trials::run_trials;
use crate::peer_table::PeerTable;
use crate::rollout_counters::RolloutCounters;
use crate::rollout_driver::RolloutDriver;
use crate::seeded_random::SeededRandom;
use crate::session_versions::SessionVersions;
use crate::settings::{GatewaySettings, SharedSettings};
use crate::shared_evacuations::SharedEvacuations;
use crate::snapshot_publisher::{ExpiryDue, SharedSnapshot, SnapshotPublisher};
use crate::socket_dialer::SocketDialer;
use crate::state::GatewayState;
use crate::stop_state::{BALANCER_LAG, SHUTDOWN_MARGIN, StopState};
use crate::store_calls::StoreCalls;
use crate::topic_watch::follow_topic;
use crate::upstream_pool::UpstreamPool;
use crate::upstream_reach::UpstreamReach;
use crate::wire_format::WireFormat;
use anyhow::Context;
use arc_swap::ArcSwap;
use kameo::actor::{ActorRef, Spawn};
use oleander_adapters::admin::{AdminPort, ProcessHealth};
use oleander_adapters::connection_ledger::ConnectionLedger;
use oleander_adapters::http_server::{HttpHandler, HttpServer, text_response};
use oleander_core::ids::Incarnation;
use oleander_core::stable_hash::hash_parts;
use oleander_core::units::Timestamp;
use oleander_ports::clock::{ClockPort, RuntimeClock};
use prometheus_client::registry::Registry;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, UdpSocket};

/// Time between checks for expired entries and idle sessions.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// When the clock of each process starts: a thousand days, more than the oldest age that a datagram
/// or a row of the store can hold (2^32 units of 10 ms). What happened before the start of a process
/// would otherwise fall on one moment.
const CLOCK_START: Timestamp = Timestamp::from_millis(1_000 * 24 * 3_600 * 1_000);

/// How a gateway stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayStop {
    /// All connections were closed in time.
    Finished,
    /// Number of connections that were cut at the end of the grace period.
    Cut(usize),
}

/// A running gateway.
pub struct GatewayProcess {
    state: Arc<GatewayState>,
    callers: CallerServer,
    ready: HttpServer,
    metrics: Option<HttpServer>,
    control: Arc<dyn ControlPort>,
    publisher: ActorRef<SnapshotPublisher>,
    gossip: Option<UdpSocket>,
    hosts: Option<TcpListener>,
}

impl GatewayProcess {
    /// Binds the listeners of a gateway.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn start(
        settings: GatewaySettings,
        wire: WireFormat,
        control: Arc<dyn ControlPort>,
    ) -> anyhow::Result<Self> {
        let receive_buffer = settings.connection_limits().receive_buffer();
        let dialer = SocketDialer::with_receive_buffer(receive_buffer, settings.outgoing);
        Self::start_with_dialer(settings, wire, control, dialer).await
    }

    /// Binds the listeners of a gateway that opens connections to upstreams by `dialer`.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn start_with_dialer(
        settings: GatewaySettings,
        wire: WireFormat,
        control: Arc<dyn ControlPort>,
        dialer: SocketDialer,
    ) -> anyhow::Result<Self> {
        let incarnation = incarnation();
        let seed = hash_parts(&[settings.host.as_str(), &incarnation.to_string()]);
        let mut registry = Registry::with_prefix("oleander_gateway");
        let state = new_state(settings, wire, dialer, (incarnation, seed), &mut registry);
        let (address, ready) = (state.settings.load().callers, state.settings.load().ready);
        let listener = TcpListener::bind(address).await;
        let listener = listener.with_context(|| format!("cannot listen on {address}"))?;
        let callers = CallerServer::new(Arc::clone(&state), listener);
        let ready = HttpServer::bind(ready, ready_handler(&state)).await?;
        let ready = ready.with_ledger(Arc::clone(&state.connections));
        let metrics = bind_metrics(&state, registry).await?;
        let publisher =
            SnapshotPublisher::new(Arc::clone(&state.snapshot), Arc::clone(&state.clock));
        let changed = Arc::clone(&state);
        let hook = Box::new(move |snapshot: &ControlSnapshot| changed.update_upstreams(snapshot));
        let hold_time = state.settings.load().bounds.hold_time();
        let publisher = publisher.with_change_hook(hook).with_hold_time(hold_time);
        let publisher = SnapshotPublisher::spawn(publisher);
        let gossip = bind_gossip(&state.settings.load()).await?;
        let hosts = bind_hosts(&state).await;
        Ok(Self { state, callers, ready, metrics, control, publisher, gossip, hosts })
    }

    /// State shared by all requests.
    #[must_use]
    pub fn state(&self) -> &Arc<GatewayState> {
        &self.state
    }

    /// Address that callers connect to.
    ///
    /// # Errors
    ///
    /// When the address cannot be read from the socket.
    pub fn caller_address(&self) -> anyhow::Result<SocketAddr> {
        self.callers.address()
    }

    /// Address of the readiness endpoint.
    ///
    /// # Errors
    ///
    /// When the address cannot be read from the socket.
    pub fn ready_address(&self) -> anyhow::Result<SocketAddr> {
        self.ready.address()
    }

    /// Serves until `stop` resolves, then shuts down gracefully.
    pub async fn serve(self, stop: impl Future<Output = ()>) -> GatewayStop {
        let Self { state, callers, ready, metrics, control, publisher, gossip, hosts } = self;
        let arriving = Arc::clone(&control);
        let probe = Box::new(move |topic| arriving.is_receiving(topic));
        let calls = Arc::new(StoreCalls::default().with_arrivals(probe));
        let peers = Arc::new(PeerTable::new());
        let mut tasks = tokio::task::JoinSet::new();
        for topic in Topic::ALL {
            let (state, control) = (Arc::clone(&state), Arc::clone(&control));
            tasks.spawn(follow_topic(
                topic,
                state,
                control,
                publisher.clone(),
                calls.reconnect_requests(),
            ));
        }
        tasks.spawn(run_expiry(Arc::clone(&state), publisher.clone()));
        tasks.spawn(count_hosts(Arc::clone(&state), Arc::clone(&control), Arc::clone(&peers)));
        if let Some(socket) = gossip {
            let node = GossipNode::new(Arc::clone(&state), peers, calls);
            tasks.spawn(run_gossip(Arc::clone(&state), socket, node));
        }
        if let Some(listener) = hosts {
            tasks.spawn(serve_hosts(Arc::clone(&state), listener));
        }
        tasks.spawn(run_trials(Arc::clone(&state)));
        tasks.spawn(RolloutDriver::new(Arc::clone(&state), control).run());
        tasks.spawn(ready.serve(std::future::pending()));
        if let Some(metrics) = metrics {
            tasks.spawn(metrics.serve(std::future::pending()));
        }
        tokio::select! {
            () = callers.accept() => {}
            () = stop => {}
        }
        stop_callers(&state, &callers).await
    }
}

async fn stop_callers(state: &GatewayState, callers: &CallerServer) -> GatewayStop {
    state.stop.begin(state.clock.now());
    log::info!(target: "process", in_flight = state.metrics.in_flight(); "stopping");
    let _ = tokio::time::timeout(BALANCER_LAG, callers.accept()).await;
    let timeout = state
        .settings
        .load()
        .bounds
        .grace_period()
        .saturating_sub(BALANCER_LAG)
        .saturating_sub(SHUTDOWN_MARGIN);
    let left = callers.close(timeout).await;
    match left + usize::from(state.carrier_load.carried()) {
        0 => GatewayStop::Finished,
        left => GatewayStop::Cut(left),
    }
}

fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

fn new_state(
    settings: GatewaySettings,
    wire: WireFormat,
    dialer: SocketDialer,
    (incarnation, seed): (u64, u64),
    registry: &mut Registry,
) -> Arc<GatewayState> {
    let host = settings.host.clone();
    let connections = ConnectionLedger::new(settings.connection_limits()).with_metrics(registry);
    let settings: SharedSettings = Arc::new(ArcSwap::from_pointee(settings));
    let clock: Arc<dyn ClockPort> = Arc::new(RuntimeClock::new(CLOCK_START));
    let snapshot: SharedSnapshot = Arc::new(ArcSwap::default());
    Arc::new(GatewayState {
        snapshot,
        reach: UpstreamReach::new(&settings.load()),
        evacuations: SharedEvacuations::default(),
        links: CarrierLinks::default(),
        carrier_load: CarrierLoad::default(),
        pool: UpstreamPool::new(Arc::clone(&settings), Arc::clone(&clock)),
        wire,
        dialer,
        clock,
        latencies: LatencyTracker::new(),
        answer_times: AnswerTimes::new(),
        prefills: PrefillTracker::new(),
        sessions: SessionVersions::new(),
        rollout_counters: RolloutCounters::new(host.clone(), incarnation),
        crashes: Arc::new(CrashGuard::new(&host, seed)),
        seal: GossipSeal::new(host, Incarnation::new(incarnation)),
        random: SeededRandom::new(seed),
        metrics: GatewayMetrics::new(registry),
        connections: Arc::new(connections),
        stop: StopState::default(),
        settings,
    })
}

/// Removes expired entries of upstreams and idle sessions periodically.
async fn run_expiry(state: Arc<GatewayState>, publisher: ActorRef<SnapshotPublisher>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        if publisher.tell(ExpiryDue).await.is_err() {
            return;
        }
        state.connections.set_limits(state.settings.load().connection_limits());
        state.metrics.set_lost_services(state.reach.lost_count());
        state.crashes.expire(state.clock.now());
        state.pool.limits().divide(state.clock.now());
        state.metrics.set_cold_upstreams(state.pool.limits().cold().count(state.clock.now()));
        state.sessions.evict(state.settings.load().bounds.session_retention(), state.clock.now());
    }
}

fn ready_handler(state: &Arc<GatewayState>) -> HttpHandler {
    let state = Arc::clone(state);
    Arc::new(move |_, _| {
        let response = match health(&state) {
            ProcessHealth::Ready => text_response(http::StatusCode::OK, "ready\n"),
            ProcessHealth::NotReady(reason) => {
                let text = format!("not ready: {reason}\n");
                text_response(http::StatusCode::SERVICE_UNAVAILABLE, text)
            }
        };
        Box::pin(std::future::ready(response))
    })
}

fn health(state: &GatewayState) -> ProcessHealth {
    if state.stop.since(state.clock.now()).is_some() {
        return ProcessHealth::NotReady("stopping".into());
    }
    if !state.snapshot.load().complete {
        return ProcessHealth::NotReady("configuration and upstreams are not known yet".into());
    }
    ProcessHealth::Ready
}

async fn bind_metrics(
    state: &Arc<GatewayState>,
    registry: Registry,
) -> anyhow::Result<Option<HttpServer>> {
    let Some(address): Option<SocketAddr> = state.settings.load().metrics else { return Ok(None) };
    let (state, ledger) = (Arc::clone(state), Arc::clone(&state.connections));
    let admin = AdminPort::new(registry, Arc::new(move || health(&state)));
    Ok(Some(admin.bind(address).await?.with_ledger(ledger)))
}

async fn bind_gossip(settings: &GatewaySettings) -> anyhow::Result<Option<UdpSocket>> {
    let Some(address) = settings.peers else { return Ok(None) };
    let socket = UdpSocket::bind(address).await;
    socket.with_context(|| format!("cannot listen on {address}")).map(Some)
}

/// Listens for connections of other hosts, at the address for their datagrams.
async fn bind_hosts(state: &GatewayState) -> Option<TcpListener> {
    let address = state.settings.load().peers?;
    match TcpListener::bind(address).await {
        Ok(listener) => {
            state.carrier_load.set_address(address);
            state.connections.size_buffers(&listener);
            Some(listener)
        }
        Err(error) => {
            log::warn!(
                target: "process", error:%, address:%;
                "cannot listen for other hosts, their requests are not carried"
            );
            None
        }
    }
}
