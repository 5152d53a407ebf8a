//! A gateway as a process: listeners, followers of the store, roll-outs, and an orderly stop.

use crate::beacon::{FeedDoubt, run_beacon};
use crate::belief_keeper::{BeliefKeeper, ExpiryDue, SharedBeliefs};
use crate::beliefs::Beliefs;
use crate::caller_server::CallerServer;
use crate::control_port::{ControlPort, Topic};
use crate::host_count::count_hosts;
use crate::latency_book::{LatencyBook, ReadBook};
use crate::metrics::GatewayMetrics;
use crate::peer_book::PeerBook;
use crate::rollout_driver::RolloutDriver;
use crate::rollout_tally::RolloutTally;
use crate::seeded_words::SeededWords;
use crate::session_book::SessionBook;
use crate::settings::{GatewaySettings, SharedSettings};
use crate::state::GatewayState;
use crate::stop_state::{BALANCER_LAG, STOP_RESERVE, StopState};
use crate::topic_watch::follow_topic;
use crate::upstream_book::UpstreamBook;
use crate::wire_format::WireFormat;
use anyhow::Context;
use arc_swap::ArcSwap;
use kameo::actor::{ActorRef, Spawn};
use oleander_adapters::admin::{AdminPort, ProcessHealth};
use oleander_adapters::http_server::{HttpHandler, HttpServer, text_response};
use oleander_core::stable_hash::hash_parts;
use oleander_core::units::Timestamp;
use oleander_ports::clock::{ClockPort, RuntimeClock};
use prometheus_client::registry::Registry;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, UdpSocket};

/// Time between looks at what expires.
const EXPIRY_SPAN: Duration = Duration::from_millis(250);

/// How a gateway stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayStop {
    /// Nothing was cut.
    Finished,
    /// So many connections were cut.
    Cut(usize),
}

/// A running gateway.
pub struct GatewayProcess {
    state: Arc<GatewayState>,
    callers: CallerServer,
    ready: HttpServer,
    metrics: Option<HttpServer>,
    control: Arc<dyn ControlPort>,
    keeper: ActorRef<BeliefKeeper>,
    beacon: Option<UdpSocket>,
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
        let incarnation = incarnation();
        let seed = hash_parts(&[settings.host.as_str(), &incarnation.to_string()]);
        let mut registry = Registry::with_prefix("oleander_gateway");
        let state = new_state(settings, wire, incarnation, seed, &mut registry);
        let (address, ready) = (state.settings.load().callers, state.settings.load().ready);
        let listener = TcpListener::bind(address).await;
        let listener = listener.with_context(|| format!("cannot listen on {address}"))?;
        let callers = CallerServer::new(Arc::clone(&state), listener);
        let ready = HttpServer::bind(ready, ready_handler(&state)).await?;
        let metrics = bind_metrics(&state, registry).await?;
        let keeper = BeliefKeeper::new(Arc::clone(&state.beliefs), Arc::clone(&state.clock));
        let changed = Arc::clone(&state);
        let hook = Box::new(move |beliefs: &Beliefs| changed.book.update(&beliefs.upstreams));
        let keeper = BeliefKeeper::spawn(keeper.with_change_hook(hook));
        let beacon = bind_beacon(&state.settings.load()).await?;
        Ok(Self { state, callers, ready, metrics, control, keeper, beacon })
    }

    /// What all requests share.
    #[must_use]
    pub fn state(&self) -> &Arc<GatewayState> {
        &self.state
    }

    /// Where callers connect.
    ///
    /// # Errors
    ///
    /// When the system does not tell.
    pub fn caller_address(&self) -> anyhow::Result<SocketAddr> {
        self.callers.address()
    }

    /// Where readiness is asked.
    ///
    /// # Errors
    ///
    /// When the system does not tell.
    pub fn ready_address(&self) -> anyhow::Result<SocketAddr> {
        self.ready.address()
    }

    /// Serves until `stop` ends, then stops in order.
    pub async fn serve(self, stop: impl Future<Output = ()>) -> GatewayStop {
        let Self { state, callers, ready, metrics, control, keeper, beacon } = self;
        let (doubt, peers) = (Arc::new(FeedDoubt::default()), Arc::new(PeerBook::new()));
        let mut tasks = tokio::task::JoinSet::new();
        for topic in Topic::ALL {
            let (state, control) = (Arc::clone(&state), Arc::clone(&control));
            tasks.spawn(follow_topic(topic, state, control, keeper.clone(), Arc::clone(&doubt)));
        }
        tasks.spawn(keep_current(Arc::clone(&state), keeper.clone()));
        tasks.spawn(count_hosts(Arc::clone(&state), Arc::clone(&control), Arc::clone(&peers)));
        if let Some(socket) = beacon {
            tasks.spawn(run_beacon(Arc::clone(&state), socket, peers, doubt));
        }
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
    let patience = state
        .settings
        .load()
        .bounds
        .stop()
        .saturating_sub(BALANCER_LAG)
        .saturating_sub(STOP_RESERVE);
    match callers.close(patience).await {
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
    incarnation: u64,
    seed: u64,
    registry: &mut Registry,
) -> Arc<GatewayState> {
    let host = settings.host.clone();
    let settings: SharedSettings = Arc::new(ArcSwap::from_pointee(settings));
    // Times count from a second, so that none is before the start.
    let clock: Arc<dyn ClockPort> = Arc::new(RuntimeClock::new(Timestamp::from_millis(1_000)));
    let beliefs: SharedBeliefs = Arc::new(ArcSwap::default());
    Arc::new(GatewayState {
        beliefs,
        book: UpstreamBook::new(Arc::clone(&settings), Arc::clone(&clock)),
        wire,
        clock,
        latencies: LatencyBook::new(),
        reads: ReadBook::new(),
        sessions: SessionBook::new(),
        tally: RolloutTally::new(host, incarnation),
        words: SeededWords::new(seed),
        metrics: GatewayMetrics::new(registry),
        stop: StopState::default(),
        settings,
    })
}

/// Looks at what expires.
async fn keep_current(state: Arc<GatewayState>, keeper: ActorRef<BeliefKeeper>) {
    loop {
        tokio::time::sleep(EXPIRY_SPAN).await;
        if keeper.tell(ExpiryDue).await.is_err() {
            return;
        }
        state.sessions.forget(state.settings.load().bounds.session_memory(), state.clock.now());
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
    if !state.beliefs.load().complete {
        return ProcessHealth::NotReady("configuration and upstreams are not known yet".into());
    }
    ProcessHealth::Ready
}

async fn bind_metrics(
    state: &Arc<GatewayState>,
    registry: Registry,
) -> anyhow::Result<Option<HttpServer>> {
    let Some(address): Option<SocketAddr> = state.settings.load().metrics else { return Ok(None) };
    let state = Arc::clone(state);
    let port = AdminPort::new(registry, Arc::new(move || health(&state)));
    port.bind(address).await.map(Some)
}

async fn bind_beacon(settings: &GatewaySettings) -> anyhow::Result<Option<UdpSocket>> {
    let Some(address) = settings.peers else { return Ok(None) };
    let socket = UdpSocket::bind(address).await;
    socket.with_context(|| format!("cannot listen on {address}")).map(Some)
}
