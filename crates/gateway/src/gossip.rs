//! Gossip between hosts: how recent their view of each topic is, and the load of upstreams.
//!
//! A long-poll call to the store can hang on a connection that has silently died. Every host
//! therefore sends small datagrams to a few others with the newest row version it knows of each
//! topic, and with those it has only heard of. A host that hears of a newer version and does not get
//! it from the store soon opens new connections. The only other data used from a datagram are upstream loads and which upstreams are
//! leaving. They rank upstreams that may be used anyway, so a forged datagram costs a few calls and
//! some latency at most.

use crate::control_port::Topic;
use crate::load_report::{LoadReport, UpstreamHash};
use crate::peer_table::{PeerTable, RegionHash};
use crate::state::GatewayState;
use crate::store_calls::{LagDetector, StoreCalls};
use oleander_core::store_era::{StoreEra, StoreRevision};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Time between datagrams: half of the half-life of a load report.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// Hosts of the own region that receive each datagram. A load reaches thirty hosts after three to
/// four rounds. With datagrams of at most 1,150 bytes this is 9.2 kB per second.
const REGION_FAN_OUT: usize = 2;
/// Number of rounds after which a datagram also goes to a host of any region. Not every round,
/// since traffic between regions is paid for.
const ANY_REGION_STRIDE: u64 = 2;
/// Time without a datagram after which a host counts as isolated from the others. Each host gets ten
/// a second on average.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Content of a datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
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
    /// Latest revisions that the sender has heard of and lacks. Passed on at once, since a host
    /// that has lost its call to the store would hold a change back until it has reconnected.
    pub heard: [StoreRevision; Topic::ALL.len()],
}

/// The part of a datagram that earlier releases of this program send and read.
type EarlierMessage = ([u64; Topic::ALL.len()], RegionHash, Vec<LoadReport>);

impl GossipMessage {
    /// Decodes a datagram. One of an earlier release ends after the loads or the leaving upstreams.
    ///
    /// # Errors
    ///
    /// When the bytes are no datagram of any release.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let ((versions, region, loads), rest) = postcard::take_from_bytes::<EarlierMessage>(bytes)?;
        let (mut message, rest) = if rest.is_empty() {
            (Self { versions, region, loads, ..Self::default() }, rest)
        } else {
            let ((eras, leaving), rest) = postcard::take_from_bytes(rest)?;
            (Self { versions, region, loads, eras, leaving, ..Self::default() }, rest)
        };
        if !rest.is_empty() {
            message.heard = postcard::from_bytes(rest)?;
        }
        Ok(message)
    }
}

/// Sends and receives datagrams for as long as it is polled.
pub async fn run_gossip(
    state: Arc<GatewayState>,
    socket: UdpSocket,
    peers: Arc<PeerTable>,
    calls: Arc<StoreCalls>,
) {
    let mut lag = LagDetector::default();
    let mut heard_at = state.clock.now();
    let mut buffer = [0u8; MAX_DATAGRAM_BYTES];
    let mut send_at =
        tokio::time::Instant::now() + GOSSIP_INTERVAL.mul_f64(state.random.next_unit());
    let mut rounds = 0u64;
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, sender)) => {
                    if let Some(region) = receive(&state, &buffer[..length], &mut lag, &calls) {
                        peers.add(sender, region);
                        heard_at = state.clock.now();
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
                let now = state.clock.now();
                if let Some(heard_for) = lag.lagging_for(&calls, now) {
                    log::warn!(
                        target: "dependency", cursors:? = state.snapshot.load().cursors,
                        heard_ms = heard_for.as_millis() as u64;
                        "another host knows newer versions, reconnecting to the store"
                    );
                    calls.reconnect(now);
                }
                let is_isolated = !peers.is_empty() && now.since(heard_at) >= ISOLATION_TIMEOUT;
                if is_isolated && !calls.is_isolated() {
                    log::warn!(
                        target: "dependency",
                        "no other host is heard from, asking the store more often"
                    );
                    calls.reconnect(now);
                }
                calls.set_isolated(is_isolated);
                let to_any = rounds.is_multiple_of(ANY_REGION_STRIDE);
                send(&state, &socket, &peers, &lag, to_any).await;
            }
        }
    }
}

/// Applies a datagram and returns the sender's region.
fn receive(
    state: &GatewayState,
    bytes: &[u8],
    lag: &mut LagDetector,
    calls: &StoreCalls,
) -> Option<RegionHash> {
    let message: GossipMessage = match GossipMessage::decode(bytes) {
        Ok(message) => message,
        Err(error) => {
            log::debug!(target: "beacon", error:%; "malformed gossip datagram ignored");
            return None;
        }
    };
    let now = state.clock.now();
    let revisions = message.eras.into_iter().zip(message.versions);
    let known = revisions.map(|(era, version)| StoreRevision::new(era, version));
    for (topic, (known, heard)) in Topic::ALL.into_iter().zip(known.zip(message.heard)) {
        lag.record_peer_revision(topic, known.max(heard), calls, now);
    }
    state.pool.merge_load_reports(&message.loads, now);
    state.pool.merge_leaving(&message.leaving, now);
    Some(message.region)
}

async fn send(
    state: &GatewayState,
    socket: &UdpSocket,
    peers: &PeerTable,
    lag: &LagDetector,
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
        heard: Topic::ALL.map(|topic| lag.heard(topic)),
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
