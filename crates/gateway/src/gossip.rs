//! Gossip between hosts: how recent their view of each topic is, and the load of upstreams.
//!
//! A long-poll call to the store can hang on a connection that has silently died. Every host
//! therefore sends small datagrams to a few others with the newest row version it knows of each
//! topic. A host that hears of a newer version and does not get it from the store soon opens new
//! connections. The only other data used from a datagram are upstream loads and which upstreams are
//! leaving. They rank upstreams that may be used anyway, so a forged datagram costs a few calls and
//! some latency at most.

use crate::control_port::Topic;
use crate::load_report::{LoadReport, UpstreamHash};
use crate::peer_table::{PeerTable, RegionHash};
use crate::state::GatewayState;
use crate::topic_watch::propagation_timeout;
use oleander_core::store_era::{StoreEra, StoreRevision};
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
    /// Eras of the versions.
    pub eras: [StoreEra; Topic::ALL.len()],
    /// Upstreams that told the sender that they are leaving.
    pub leaving: Vec<UpstreamHash>,
}

/// The part of a datagram that earlier releases of this program send and read.
type EarlierMessage = ([u64; Topic::ALL.len()], RegionHash, Vec<LoadReport>);

impl GossipMessage {
    /// Decodes a datagram. One of an earlier release ends after the loads.
    ///
    /// # Errors
    ///
    /// When the bytes are no datagram of any release.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let ((versions, region, loads), rest) = postcard::take_from_bytes::<EarlierMessage>(bytes)?;
        let (eras, leaving) =
            if rest.is_empty() { Default::default() } else { postcard::from_bytes(rest)? };
        Ok(Self { versions, region, loads, eras, leaving })
    }
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
    ahead: BTreeMap<Topic, (StoreRevision, Timestamp)>,
}

impl LagDetector {
    /// Records the revision that another host knows.
    pub fn record_peer_revision(
        &mut self,
        topic: Topic,
        revision: StoreRevision,
        own: StoreRevision,
        now: Timestamp,
    ) {
        if revision > own {
            self.ahead.entry(topic).or_insert((revision, now));
        }
    }

    /// Whether a revision known to another host did not arrive in time; drops those that have
    /// arrived.
    pub fn is_lagging(
        &mut self,
        own: &BTreeMap<Topic, StoreRevision>,
        hosts: usize,
        now: Timestamp,
    ) -> bool {
        let own_revision = |topic: &Topic| own.get(topic).copied().unwrap_or_default();
        self.ahead.retain(|topic, (revision, _)| own_revision(topic) < *revision);
        let is_late = |topic: &Topic, since: Timestamp| {
            now.since(since) >= propagation_timeout(*topic, hosts)
        };
        let late = self.ahead.iter().any(|(topic, (_, since))| is_late(topic, *since));
        if late {
            self.ahead.clear();
        }
        late
    }

    /// How long ago this host heard of a revision that it still lacks.
    #[must_use]
    pub fn lag(&self, now: Timestamp) -> Duration {
        self.ahead.values().map(|(_, since)| now.since(*since)).max().unwrap_or_default()
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
                let heard_ms = lag.lag(now).as_millis() as u64;
                if lag.is_lagging(&state.snapshot.load().cursors, hosts, now) {
                    log::warn!(
                        target: "dependency", cursors:? = state.snapshot.load().cursors, heard_ms;
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
    let message: GossipMessage = match GossipMessage::decode(bytes) {
        Ok(message) => message,
        Err(error) => {
            log::debug!(target: "beacon", error:%; "malformed gossip datagram ignored");
            return None;
        }
    };
    let snapshot = state.snapshot.load();
    let now = state.clock.now();
    let revisions = message.eras.into_iter().zip(message.versions);
    for (topic, (era, version)) in Topic::ALL.into_iter().zip(revisions) {
        // The cursor also covers rows that were removed before this process started.
        let own = snapshot.cursors.get(&topic).copied().unwrap_or_default();
        lag.record_peer_revision(topic, StoreRevision::new(era, version), own, now);
    }
    state.pool.merge_load_reports(&message.loads, now);
    state.pool.merge_leaving(&message.leaving, now);
    Some(message.region)
}

async fn send(
    state: &GatewayState,
    socket: &UdpSocket,
    peers: &PeerTable,
    include_any_region: bool,
) {
    let snapshot = state.snapshot.load_full();
    let revisions =
        Topic::ALL.map(|topic| snapshot.revisions.get(&topic).copied().unwrap_or_default());
    let now = state.clock.now();
    let message = GossipMessage {
        versions: revisions.map(|revision| revision.version),
        region: RegionHash::new(&state.settings.load().region),
        loads: state.pool.load_reports(now),
        eras: revisions.map(|revision| revision.era),
        leaving: state.pool.leaving_hashes(now),
    };
    let region = message.region;
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
