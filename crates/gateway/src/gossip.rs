//! Gossip between hosts: how recent their view of each topic is, and the load of upstreams.
//!
//! A long-poll call to the store can hang on a connection that has silently died. Every host
//! therefore sends small datagrams to a few others with the newest row version it knows of each
//! topic. A host that hears of a newer version and does not get it from the store soon opens new
//! connections. The only other data used from a datagram are upstream loads, which rank upstreams
//! that may be used anyway, so a forged datagram costs a few calls and some latency at most.

use crate::control_port::Topic;
use crate::load_report::LoadReport;
use crate::peer_table::{PeerTable, RegionHash};
use crate::state::GatewayState;
use crate::topic_watch::propagation_timeout;
use oleander_core::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// Time between datagrams: half of the half-life of a load report.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// Hosts of the own region that receive each datagram. A load reaches thirty hosts after three to
/// four rounds. With datagrams of at most 1,150 bytes this is 9.2 kB per second.
const REGION_FAN_OUT: usize = 2;
/// Number of rounds after which a datagram also goes to a host of any region. Not every round,
/// since traffic between regions is paid for.
const ANY_REGION_STRIDE: u64 = 2;
/// Minimum time between reconnects, so that an unavailable store is not called without end.
const MIN_RECONNECT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Highest row version that the sender knows, in the order of [`Topic::ALL`].
    pub versions: [u64; Topic::ALL.len()],
    /// Region of the sender.
    pub region: RegionHash,
    /// Loads of upstreams, newest first.
    pub loads: Vec<LoadReport>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Tells all topic followers to reconnect to the store.
#[derive(Debug)]
pub struct ReconnectSignal {
    requested: watch::Sender<u64>,
    last: Mutex<Option<Timestamp>>,
}

impl Default for ReconnectSignal {
    fn default() -> Self {
        Self { requested: watch::Sender::new(0), last: Mutex::default() }
    }
}

impl ReconnectSignal {
    /// Requests a reconnect, unless one was requested recently.
    pub fn request(&self, now: Timestamp) {
        let mut last = lock(&self.last);
        if last.is_none_or(|last| now.since(last) >= MIN_RECONNECT_INTERVAL) {
            *last = Some(now);
            self.requested.send_modify(|count| *count += 1);
        }
    }

    /// Resolves when a reconnect is requested after this call.
    pub fn requested(&self) -> impl Future<Output = ()> + use<> {
        let mut requested = self.requested.subscribe();
        requested.mark_unchanged();
        async move {
            if requested.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Detects that this host lags behind versions that other hosts know.
#[derive(Debug, Default)]
pub struct LagDetector {
    ahead: BTreeMap<Topic, (u64, Timestamp)>,
}

impl LagDetector {
    /// Records the version that another host knows.
    pub fn record_peer_version(&mut self, topic: Topic, version: u64, own: u64, now: Timestamp) {
        if version > own {
            self.ahead.entry(topic).or_insert((version, now));
        }
    }

    /// Whether a version known to another host did not arrive in time; drops versions that have
    /// arrived.
    pub fn is_lagging(&mut self, own: &BTreeMap<Topic, u64>, hosts: usize, now: Timestamp) -> bool {
        self.ahead.retain(|topic, (version, _)| own.get(topic).copied().unwrap_or(0) < *version);
        let is_late = |topic: &Topic, since: Timestamp| {
            now.since(since) >= propagation_timeout(*topic, hosts)
        };
        let late = self.ahead.iter().any(|(topic, (_, since))| is_late(topic, *since));
        if late {
            self.ahead.clear();
        }
        late
    }
}

/// Sends and receives datagrams for as long as it is polled.
pub async fn run_gossip(
    state: Arc<GatewayState>,
    socket: UdpSocket,
    peers: Arc<PeerTable>,
    reconnect: Arc<ReconnectSignal>,
) {
    let mut lag = LagDetector::default();
    let mut buffer = [0u8; MAX_DATAGRAM_BYTES];
    let mut send_at =
        tokio::time::Instant::now() + GOSSIP_INTERVAL.mul_f64(state.random.next_unit());
    let mut rounds = 0u64;
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, sender)) => {
                    if let Some(region) = receive(&state, &buffer[..length], &mut lag) {
                        peers.add(sender, region);
                    }
                }
                Err(error) => log::debug!(
                    target: "beacon", error:%;
                    "cannot receive gossip datagram"
                ),
            },
            () = tokio::time::sleep_until(send_at) => {
                send_at += GOSSIP_INTERVAL;
                rounds += 1;
                send(&state, &socket, &peers, rounds.is_multiple_of(ANY_REGION_STRIDE)).await;
                let now = state.clock.now();
                let hosts = state.pool.hosts();
                if lag.is_lagging(&state.snapshot.load().cursors, hosts, now) {
                    log::warn!(
                        target: "dependency", cursors:? = state.snapshot.load().cursors;
                        "another host knows newer versions, reconnecting to the store"
                    );
                    reconnect.request(now);
                }
            }
        }
    }
}

/// Applies a datagram and returns the sender's region.
fn receive(state: &GatewayState, bytes: &[u8], lag: &mut LagDetector) -> Option<RegionHash> {
    let message: GossipMessage = match postcard::from_bytes(bytes) {
        Ok(message) => message,
        Err(error) => {
            log::debug!(target: "beacon", error:%; "malformed gossip datagram ignored");
            return None;
        }
    };
    let snapshot = state.snapshot.load();
    let now = state.clock.now();
    for (topic, version) in Topic::ALL.into_iter().zip(message.versions) {
        // The cursor also covers rows that were removed before this process started.
        let own = snapshot.cursors.get(&topic).copied().unwrap_or(0);
        lag.record_peer_version(topic, version, own, now);
    }
    state.pool.merge_load_reports(&message.loads, now);
    Some(message.region)
}

async fn send(
    state: &GatewayState,
    socket: &UdpSocket,
    peers: &PeerTable,
    include_any_region: bool,
) {
    let snapshot = state.snapshot.load_full();
    let version = |topic| snapshot.versions.get(&topic).copied().unwrap_or(0);
    let region = RegionHash::new(&state.settings.load().region);
    let loads = state.pool.load_reports(state.clock.now());
    let message = GossipMessage { versions: Topic::ALL.map(version), region, loads };
    let Ok(bytes) = postcard::to_allocvec(&message) else { return };
    let same_region =
        (0..REGION_FAN_OUT).map(|_| peers.in_region(region, state.random.next_unit()));
    let any = include_any_region.then(|| peers.any(state.random.next_unit()));
    let targets: Vec<SocketAddr> = same_region.chain(any).flatten().collect();
    for peer in targets {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            log::debug!(target: "beacon", error:%, peer:%; "cannot send gossip datagram");
        }
    }
}
