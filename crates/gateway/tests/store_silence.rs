//! Time from the store's acknowledgement of a change until it is in force on all hosts, over random
//! histories in which the store or single hosts lose calls. Hosts run their real followers and
//! gossip, over a store and datagrams in memory.

use arc_swap::ArcSwap;
use kameo::actor::Spawn;
use oleander_adapters::connection_ledger::ConnectionLedger;
use oleander_core::ids::{Incarnation, ServiceName};
use oleander_core::store_era::{StoreEra, StoreRevision};
use oleander_core::units::Timestamp;
use oleander_gateway::answer_times::AnswerTimes;
use oleander_gateway::carrier_client::CarrierLinks;
use oleander_gateway::carrier_server::CarrierLoad;
use oleander_gateway::control_port::{
    ControlPort, HostAgreement, HostRecord, SharedRow, SharedWrite, Topic, TopicChange, TopicRow,
    TopicUpdate, TopicValue, WriteOutcome,
};
use oleander_gateway::crash_guard::CrashGuard;
use oleander_gateway::gossip::{GOSSIP_INTERVAL, GossipNode};
use oleander_gateway::gossip_seal::{GossipKey, GossipSeal};
use oleander_gateway::latency_tracker::{LatencyTracker, PrefillTracker};
use oleander_gateway::metrics::GatewayMetrics;
use oleander_gateway::peer_table::{PeerTable, RegionHash};
use oleander_gateway::rollout_counters::RolloutCounters;
use oleander_gateway::rollout_plan::RolloutDecision;
use oleander_gateway::rollout_sums::HostSums;
use oleander_gateway::routes::RouteTable;
use oleander_gateway::seeded_random::SeededRandom;
use oleander_gateway::session_versions::SessionVersions;
use oleander_gateway::settings::{GatewayBounds, GatewaySettings};
use oleander_gateway::shared_evacuations::SharedEvacuations;
use oleander_gateway::snapshot_publisher::SnapshotPublisher;
use oleander_gateway::socket_dialer::SocketDialer;
use oleander_gateway::state::GatewayState;
use oleander_gateway::stop_state::StopState;
use oleander_gateway::store_calls::StoreCalls;
use oleander_gateway::topic_watch::follow_topic;
use oleander_gateway::upstream_entry::{UpstreamEntry, UpstreamState};
use oleander_gateway::upstream_pool::UpstreamPool;
use oleander_gateway::upstream_reach::UpstreamReach;
use oleander_gateway::wire_format::{AnswerHead, CallerHead, WireFormat};
use oleander_ports::clock::RuntimeClock;
use oleander_ports::{PlatformError, PortFuture};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// One-way delay of links between regions.
const LINK_DELAY: Duration = Duration::from_millis(30);
/// Timeout of a call beyond its wait, as of the client of the platform's store.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const DATAGRAM_LOSS: f64 = 0.02;
const REGIONS: [&str; 3] = ["north", "south", "west"];
const UPSTREAM: &str = "i-1";

/// A store in memory that may answer no call.
struct MemoryStore {
    /// Version and value of each topic's row.
    rows: Mutex<[(u64, TopicValue); 2]>,
    version: watch::Sender<u64>,
    is_silent: watch::Sender<bool>,
}

impl MemoryStore {
    fn new() -> Self {
        let rows = Mutex::new([(1, routes(1)), (2, upstream(UpstreamState::Ready))]);
        Self { rows, version: watch::Sender::new(2), is_silent: watch::Sender::new(false) }
    }

    fn write(&self, topic: usize, value: TopicValue) {
        let version = *self.version.borrow() + 1;
        self.rows.lock().unwrap()[topic] = (version, value);
        self.version.send_replace(version);
    }

    fn change(&self, topic: Topic, since: u64, is_full: bool, waited: Duration) -> TopicChange {
        let index = Topic::ALL.iter().position(|other| *other == topic).unwrap();
        let rows = self.rows.lock().unwrap();
        let (version, value) = &rows[index];
        let key = Arc::from(["config", UPSTREAM][index]);
        let row = TopicRow { key, version: *version, value: value.clone() };
        let cursor = StoreRevision::new(StoreEra::default(), *self.version.borrow());
        let rows = if *version > since { vec![row] } else { Vec::new() };
        TopicChange { is_full, cursor, waited, store_now: Timestamp::from_millis(1), rows }
    }
}

/// One host's client of the store, whose waiting calls may be lost.
struct HostClient {
    store: Arc<MemoryStore>,
    lost: watch::Receiver<u64>,
}

impl HostClient {
    /// The result of `work`, unless the store falls silent or the connection dies meanwhile.
    async fn answered<T>(
        &self,
        wait: Duration,
        work: impl Future<Output = T>,
    ) -> Result<T, PlatformError> {
        let (mut silent, mut lost) = (self.store.is_silent.subscribe(), self.lost.clone());
        lost.mark_unchanged();
        let broken = async {
            tokio::select! {
                _ = silent.wait_for(|is_silent| *is_silent) => {}
                _ = lost.changed() => {}
            }
        };
        let call = async {
            tokio::time::sleep(LINK_DELAY * 2).await;
            work.await
        };
        let answer = async {
            tokio::select! {
                biased;
                () = broken => std::future::pending().await,
                value = call => value,
            }
        };
        let answer = tokio::time::timeout(wait + CALL_TIMEOUT, answer).await;
        answer.map_err(|_| PlatformError::Unknown("no answer".to_owned()))
    }
}

impl ControlPort for HostClient {
    fn read(&self, topic: Topic) -> PortFuture<'_, Result<TopicChange, PlatformError>> {
        Box::pin(self.answered(Duration::ZERO, async move {
            self.store.change(topic, 0, true, Duration::ZERO)
        }))
    }

    fn follow(
        &self,
        topic: Topic,
        cursor: StoreRevision,
        wait: Duration,
    ) -> PortFuture<'_, Result<TopicUpdate, PlatformError>> {
        Box::pin(self.answered(wait, async move {
            let mut version = self.store.version.subscribe();
            let end = Instant::now() + wait;
            loop {
                version.borrow_and_update();
                let change = self.store.change(topic, cursor.version, false, wait);
                let has_rows = !change.rows.is_empty();
                let changed = tokio::time::timeout_at(end, version.changed());
                if has_rows || changed.await.is_err() {
                    return TopicUpdate::Change(change);
                }
            }
        }))
    }

    fn write_decision(
        &self,
        _: RolloutDecision,
        _: StoreRevision,
    ) -> PortFuture<'_, Result<WriteOutcome, PlatformError>> {
        Box::pin(async { Ok(WriteOutcome::Applied) })
    }

    fn write_sums(&self, _: HostSums) -> PortFuture<'_, Result<(), PlatformError>> {
        Box::pin(async { Ok(()) })
    }

    fn read_sums(&self, _: ServiceName) -> PortFuture<'_, Result<Vec<HostSums>, PlatformError>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    fn register_host(&self, _: HostRecord) -> PortFuture<'_, Result<(), PlatformError>> {
        Box::pin(async { Ok(()) })
    }

    fn hosts(&self) -> PortFuture<'_, Result<Vec<HostRecord>, PlatformError>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    fn agree(&self, key: GossipKey) -> PortFuture<'_, Result<HostAgreement, PlatformError>> {
        Box::pin(async move { Ok(HostAgreement { key, rows: BTreeMap::new() }) })
    }

    fn write_shared(
        &self,
        _: SharedRow,
        _: Vec<u8>,
        _: Option<StoreRevision>,
    ) -> PortFuture<'_, Result<SharedWrite, PlatformError>> {
        Box::pin(async { Ok(SharedWrite::Applied) })
    }

    fn reset_connections(&self) {}
}

fn routes(version: u64) -> TopicValue {
    TopicValue::Routes(Arc::new(RouteTable::new(version)))
}

fn upstream(state: UpstreamState) -> TopicValue {
    TopicValue::Upstream(Arc::new(UpstreamEntry {
        name: UPSTREAM.parse().unwrap(),
        service: "desk".parse().unwrap(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "north-a".parse().unwrap(),
        version: Arc::from("v1"),
        slots: 6,
        state,
        started_ms: 0,
        cold_left: std::time::Duration::ZERO,
    }))
}

/// A host with its connection to the store.
struct TestHost {
    state: Arc<GatewayState>,
    address: SocketAddr,
    lost: watch::Sender<u64>,
}

fn new_state(index: usize, seed: u64) -> Arc<GatewayState> {
    let free: SocketAddr = ([127, 0, 0, 1], 0).into();
    let region = REGIONS[index % REGIONS.len()].parse().unwrap();
    let settings = Arc::new(ArcSwap::from_pointee(GatewaySettings {
        host: format!("host-{index}").parse().unwrap(),
        region,
        domain: "north-a".parse().unwrap(),
        domains: Default::default(),
        callers: free,
        ready: free,
        metrics: None,
        peers: None,
        outgoing: None,
        store: free,
        memory_bytes: 50_000_000,
        max_descriptors: 1_024,
        prefix_weighing: true,
        bounds: GatewayBounds::default(),
    }));
    let clock = Arc::new(RuntimeClock::new(Timestamp::from_millis(1_000)));
    let pool = UpstreamPool::new(Arc::clone(&settings), Arc::clone(&clock) as _);
    Arc::new(GatewayState {
        snapshot: Arc::default(),
        pool,
        wire: WireFormat {
            read_caller: |_| CallerHead::default(),
            clean_caller: |_| {},
            write_upstream: |_, _| {},
            read_answer: |_| AnswerHead::default(),
        },
        dialer: SocketDialer::default(),
        reach: UpstreamReach::new(&settings.load()),
        evacuations: SharedEvacuations::default(),
        links: CarrierLinks::default(),
        carrier_load: CarrierLoad::default(),
        clock,
        latencies: LatencyTracker::new(),
        answer_times: AnswerTimes::new(),
        prefills: PrefillTracker::new(),
        sessions: SessionVersions::new(),
        rollout_counters: RolloutCounters::new("host".parse().unwrap(), 1),
        seal: GossipSeal::new(format!("host-{index}").parse().unwrap(), Incarnation::new(seed)),
        crashes: Arc::new(CrashGuard::new(&format!("host-{index}").parse().unwrap(), seed)),
        random: SeededRandom::new(seed),
        metrics: GatewayMetrics::new(&mut prometheus_client::registry::Registry::default()),
        connections: Arc::new(ConnectionLedger::new(settings.load().connection_limits())),
        stop: StopState::default(),
        settings,
    })
}

type Datagram = (Vec<u8>, SocketAddr);

/// Starts the followers and the gossip of all hosts.
fn start_hosts(count: usize, store: &Arc<MemoryStore>, seed: u64) -> Vec<TestHost> {
    let address =
        |index: usize| SocketAddr::from(([10, 0, (index / 250) as u8, 1], 7_000 + index as u16));
    let (senders, mailboxes): (Vec<_>, Vec<_>) =
        (0..count).map(|_| mpsc::unbounded_channel::<Datagram>()).unzip();
    let senders = Arc::new(senders);
    let mut hosts = Vec::new();
    for (index, mailbox) in mailboxes.into_iter().enumerate() {
        let state = new_state(index, seed * 1_000_003 + index as u64 * 7_919);
        state.pool.set_hosts(count);
        let (calls, peers) = (Arc::new(StoreCalls::default()), Arc::new(PeerTable::new()));
        for other in (0..count).filter(|other| *other != index) {
            let region = REGIONS[other % REGIONS.len()].parse().unwrap();
            peers.add(address(other), RegionHash::new(&region));
        }
        let publisher =
            SnapshotPublisher::new(Arc::clone(&state.snapshot), Arc::clone(&state.clock));
        let publisher = SnapshotPublisher::spawn(publisher);
        let lost = watch::Sender::new(0);
        let client = HostClient { store: Arc::clone(store), lost: lost.subscribe() };
        let control: Arc<dyn ControlPort> = Arc::new(client);
        for topic in [Topic::Orders, Topic::Upstreams] {
            let (state, control) = (Arc::clone(&state), Arc::clone(&control));
            let requests = calls.reconnect_requests();
            tokio::spawn(follow_topic(topic, state, control, publisher.clone(), requests));
        }
        let node = GossipNode::new(Arc::clone(&state), peers, calls);
        let random = SeededRandom::new(seed ^ (index as u64) << 20);
        tokio::spawn(exchange_datagrams(
            node,
            address(index),
            mailbox,
            Arc::clone(&senders),
            random,
        ));
        hosts.push(TestHost { state, address: address(index), lost });
    }
    hosts
}

async fn exchange_datagrams(
    mut node: GossipNode,
    own: SocketAddr,
    mut mailbox: mpsc::UnboundedReceiver<Datagram>,
    senders: Arc<Vec<mpsc::UnboundedSender<Datagram>>>,
    random: SeededRandom,
) {
    let mut send_at = Instant::now() + GOSSIP_INTERVAL.mul_f64(random.next_unit());
    loop {
        tokio::select! {
            Some((bytes, sender)) = mailbox.recv() => {
                // No host loses a service here.
                assert_eq!(node.receive(&bytes, sender), None);
            }
            () = tokio::time::sleep_until(send_at) => {
                send_at += GOSSIP_INTERVAL;
                for (target, bytes) in node.next_round() {
                    if random.next_unit() < DATAGRAM_LOSS {
                        continue;
                    }
                    let sender = senders[usize::from(target.port() - 7_000)].clone();
                    tokio::spawn(async move {
                        tokio::time::sleep(LINK_DELAY).await;
                        let _ = sender.send((bytes, own));
                    });
                }
            }
        }
    }
}

/// Until when a change must be in force: within `apply` of its acknowledgement, and not before
/// `contact` after the end of the disturbance.
struct ChangeBound {
    apply: Duration,
    contact: Duration,
}

/// What happens to the calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallLoss {
    /// The store answers no call for a while.
    Silence,
    /// The connections of all hosts die at one moment.
    AllConnections,
    /// The connections of half of the hosts die at one moment.
    HalfOfConnections,
}

/// Plays one history; returns the time by which the slowest host had the change too late.
async fn play(count: usize, loss: CallLoss, seed: u64, bound: &ChangeBound) -> Result<(), String> {
    let random = SeededRandom::new(seed);
    let millis = |from: u64, to: u64| Duration::from_millis(from + random.next() % (to - from));
    let store = Arc::new(MemoryStore::new());
    let hosts = start_hosts(count, &store, seed);
    tokio::time::sleep(Duration::from_secs(5)).await;
    // A change that ends all waiting calls at once, then the loss of the calls after it.
    store.write(0, routes(2));
    tokio::time::sleep(millis(0, 6_000)).await;
    if loss == CallLoss::Silence {
        store.is_silent.send_replace(true);
        tokio::time::sleep(millis(300, 6_000)).await;
        store.is_silent.send_replace(false);
    } else {
        let step = if loss == CallLoss::AllConnections { 1 } else { 2 };
        hosts.iter().step_by(step).for_each(|host| host.lost.send_modify(|count| *count += 1));
    }
    let disturbed_until = Instant::now();
    tokio::time::sleep(millis(0, 6_000)).await;
    store.write(0, routes(3));
    store.write(1, upstream(UpstreamState::Draining));
    let acknowledged = Instant::now();
    let due = (acknowledged + bound.apply).max(disturbed_until + bound.contact);
    tokio::time::sleep_until(due).await;
    let is_late = |host: &&TestHost| {
        let snapshot = host.state.snapshot.load();
        let version = snapshot.routes.as_ref().map(|routes| routes.version());
        version != Some(3) || snapshot.upstreams.values().any(|entries| !entries.is_empty())
    };
    let late: Vec<SocketAddr> = hosts.iter().filter(is_late).map(|host| host.address).collect();
    if late.is_empty() { Ok(()) } else { Err(format!("seed {seed}: late on {late:?}")) }
}

/// Guards against a change that is acknowledged and in force too late because calls to the store are
/// lost and each wait on the way to a host is bounded, but not their sum.
#[yare::parameterized(
    few_silence = { 7, CallLoss::Silence, 3_000, 4_000 },
    few_all = { 7, CallLoss::AllConnections, 3_000, 4_000 },
    few_half = { 7, CallLoss::HalfOfConnections, 3_000, 4_000 },
    many_silence = { 84, CallLoss::Silence, 4_000, 5_000 },
    many_all = { 84, CallLoss::AllConnections, 4_000, 5_000 },
    many_half = { 84, CallLoss::HalfOfConnections, 4_000, 5_000 },
)]
fn changes_are_in_force_in_time_whatever_calls_are_lost(
    count: usize,
    loss: CallLoss,
    apply_ms: u64,
    contact_ms: u64,
) {
    let bound = ChangeBound {
        apply: Duration::from_millis(apply_ms),
        contact: Duration::from_millis(contact_ms),
    };
    let failures: Vec<String> = (0..12)
        .filter_map(|seed| {
            let mut runtime = tokio::runtime::Builder::new_current_thread();
            let runtime = runtime.enable_all().start_paused(true).build().unwrap();
            runtime.block_on(play(count, loss, seed, &bound)).err()
        })
        .collect();
    assert!(failures.is_empty(), "{failures:#?}");
}
