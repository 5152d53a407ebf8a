//! Gossip between hosts: how recent their view of each topic is, and the load of upstreams.
//!
//! A long-poll call to the store can hang on a connection that has silently died. Every host
//! therefore sends small datagrams to a few others with the newest row version it knows of each
//! topic, and with those it has only heard of. A host that hears of a newer version and does not get
//! it from the store soon opens new connections. Upstream loads and which upstreams are leaving rank
//! upstreams that may be used anyway. What keeps requests from upstreams is used only from datagrams
//! that other hosts have authenticated, so a forged one costs a few calls and some latency at most.

use crate::control_port::Topic;
use crate::gossip_seal::GossipOrigin;
use crate::load_report::{LoadReport, MAX_LOAD_REPORTS, UpstreamHash, fit_reports};
use crate::peer_table::{PeerTable, RegionHash};
use crate::state::GatewayState;
use crate::store_calls::{LagDetector, StoreCalls};
use oleander_core::account_share::ReportedDemand;
use oleander_core::evacuation_view::ReportedEvacuation;
use oleander_core::host_view::{HostHash, HostReport};
use oleander_core::limit_division::ReportedLimit;
use oleander_core::part_quarantine::PartReport;
use oleander_core::place_division::ReportedPlaces;
use oleander_core::reach_view::ReachReport;
use oleander_core::request_quarantine::RequestReport;
use oleander_core::store_era::{StoreEra, StoreRevision};
use oleander_core::units::Timestamp;
use oleander_core::upstream_pace::ReportedPace;
use oleander_ports::clock::{ClockPort, SystemClock};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Time between datagrams: half of the half-life of a load report.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// Hosts of the own region that receive each datagram. A load reaches thirty hosts after three to
/// four rounds. With datagrams of at most 1,150 bytes this is 9.2 kB per second.
const REGION_FAN_OUT: usize = 2;
/// Hosts that receive each datagram of one that seeks hosts which carry its requests. Each answers.
const SEEK_FAN_OUT: usize = 8;
/// Number of rounds after which a datagram also goes to a host of any region. Not every round,
/// since traffic between regions is paid for.
const ANY_REGION_STRIDE: u64 = 2;
/// Time without a datagram after which a host counts as isolated from the others. Each host gets ten
/// a second on average.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of loads whose place the origin and the tag of a datagram take.
const SEAL_LOADS: usize = 8;
/// Number of loads whose place the sender's address and place take.
const REACH_LOADS: usize = 4;
/// Maximum size of a received datagram, in bytes. One with the most crashes, hosts, limits and leaving
/// upstreams has 1,460.
const MAX_DATAGRAM_BYTES: usize = 2_048;

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
    /// Parts of prompts that crash upstreams, as the sender knows. Used if the datagram is
    /// authentic.
    pub parts: PartReport,
    /// What is used only if the datagram is authentic.
    pub sealed: Option<SealedReport>,
    /// Which services the sender reaches. Used if the datagram is authentic.
    pub reach: Option<ReachReport>,
    /// Which upstreams are brittle. Used if the datagram is authentic.
    pub places: Vec<ReportedPlaces>,
    /// Evacuated failure domains. Used if the datagram is authentic.
    pub evacuations: Vec<ReportedEvacuation>,
    /// How long work takes at the upstreams of `loads`, in the same order; shorter if builds before sent it.
    pub paces: Vec<ReportedPace>,
    /// The largest client accounts of hosts. Used if the datagram is authentic.
    pub demand: Vec<ReportedDemand>,
}

/// The part of a datagram that says who sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedReport {
    /// The sender.
    pub origin: GossipOrigin,
    /// Which hosts are alive.
    pub hosts: HostReport,
    /// Limits that upstreams name.
    pub limits: Vec<ReportedLimit>,
    /// Requests that crash upstreams.
    pub requests: RequestReport,
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
        let (mut message, remaining) = if rest.is_empty() {
            (Self { versions, region, loads, ..Self::default() }, rest)
        } else {
            let ((eras, leaving), rest) = postcard::take_from_bytes(rest)?;
            (Self { versions, region, loads, eras, leaving, ..Self::default() }, rest)
        };
        if !remaining.is_empty() {
            let rest;
            (message.heard, rest) = postcard::take_from_bytes(remaining)?;
            if !rest.is_empty() {
                let sealed;
                (message.parts, sealed) = postcard::take_from_bytes(rest)?;
                if !sealed.is_empty() {
                    let reach;
                    (message.sealed, reach) = postcard::take_from_bytes(sealed)?;
                    if !reach.is_empty() {
                        let rest;
                        ((message.reach, message.places), rest) = postcard::take_from_bytes(reach)?;
                        if !rest.is_empty() {
                            (message.evacuations, message.paces, message.demand) =
                                postcard::from_bytes(rest)?;
                        }
                    }
                }
            }
        }
        Ok(message)
    }
}

impl GossipMessage {
    /// The loads with their paces. Those that an earlier build has sent have no paces, or fewer.
    #[must_use]
    pub fn paced_loads(&self) -> Vec<LoadReport> {
        let paces = self.paces.iter().copied().chain(std::iter::repeat(ReportedPace::default()));
        self.loads.iter().zip(paces).map(|(load, pace)| load.with_pace(pace)).collect()
    }
}

/// One host's part in the gossip, without its socket.
pub struct GossipNode {
    state: Arc<GatewayState>,
    peers: Arc<PeerTable>,
    calls: Arc<StoreCalls>,
    lag: LagDetector,
    heard_at: Timestamp,
    rounds: u64,
}

impl GossipNode {
    /// Creates the node of a host.
    #[must_use]
    pub fn new(state: Arc<GatewayState>, peers: Arc<PeerTable>, calls: Arc<StoreCalls>) -> Self {
        let heard_at = state.clock.now();
        Self { state, peers, calls, lag: LagDetector::default(), heard_at, rounds: 0 }
    }

    /// Applies a datagram; returns the one that answers it, if its sender seeks hosts that carry its
    /// requests.
    pub fn receive(&mut self, bytes: &[u8], sender: SocketAddr) -> Option<(SocketAddr, Vec<u8>)> {
        let own = self.state.settings.load().peers;
        let content = own.and_then(|own| self.state.seal.verify(bytes, own));
        let message = match GossipMessage::decode(content.unwrap_or(bytes)) {
            Ok(message) => message,
            Err(error) => {
                log::debug!(target: "beacon", error:%; "malformed gossip datagram ignored");
                return None;
            }
        };
        let now = self.state.clock.now();
        let revisions = message.eras.into_iter().zip(message.versions);
        let known = revisions.map(|(era, version)| StoreRevision::new(era, version));
        for (topic, (known, heard)) in Topic::ALL.into_iter().zip(known.zip(message.heard)) {
            self.lag.record_peer_revision(topic, known.max(heard), &self.calls, now);
        }
        self.state.pool.merge_load_reports(&message.paced_loads(), now);
        self.state.pool.merge_leaving(&message.leaving, now);
        if content.is_none() && message.sealed.is_some() && self.peers.contains(sender) {
            self.state.seal.record_unverified();
        }
        let sealed = message.sealed.as_ref().filter(|_| content.is_some());
        let is_fresh =
            |sealed: &&SealedReport| self.state.seal.accept(&sealed.origin, SystemClock.now());
        let mut seeks = false;
        if let Some(sealed) = sealed.filter(is_fresh) {
            self.state.crashes.merge(&message.parts, &sealed.requests, now);
            let limits = self.state.pool.limits();
            limits.merge(&sealed.origin.host, &sealed.hosts, &sealed.limits, now);
            limits.merge_places(&message.places, now);
            self.state.evacuations.merge(&message.evacuations, &self.state.snapshot.load());
            if let Some(reach) = &message.reach {
                self.state.reach.merge(HostHash::new(&sealed.origin.host), reach, now);
                seeks = reach.seeks;
            }
        }
        self.peers.add(sender, message.region);
        self.heard_at = now;
        seeks.then(|| self.datagram(&self.content(false), sender))
    }

    /// Performs a round, which is due each [`GOSSIP_INTERVAL`]; returns the datagrams to send.
    pub fn next_round(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.rounds += 1;
        self.check_calls();
        let (content, random) = (self.content(true), &self.state.random);
        let region = RegionHash::new(&self.state.settings.load().region);
        let same_region =
            (0..REGION_FAN_OUT).map(|_| self.peers.in_region(region, random.next_unit()));
        let include_any_region = self.rounds.is_multiple_of(ANY_REGION_STRIDE);
        let seeks = if self.state.reach.has_lost() { SEEK_FAN_OUT } else { 0 };
        let any = (0..seeks.max(usize::from(include_any_region)))
            .map(|_| self.peers.any(random.next_unit()));
        let receivers: BTreeSet<SocketAddr> = same_region.chain(any).flatten().collect();
        receivers.into_iter().map(|to| self.datagram(&content, to)).collect()
    }

    /// The content of a datagram, which is sent to several hosts. `may_seek` is false in one that answers
    /// another, so that two hosts that both seek do not answer each other without end.
    fn content(&self, may_seek: bool) -> Vec<u8> {
        let mut message = self.message();
        if let Some(reach) = &mut message.reach {
            reach.seeks &= may_seek;
        }
        // Plain data is always encoded.
        postcard::to_allocvec(&message).unwrap_or_default()
    }

    fn datagram(&self, content: &[u8], to: SocketAddr) -> (SocketAddr, Vec<u8>) {
        let mut bytes = content.to_vec();
        self.state.seal.append_tag(&mut bytes, to);
        (to, bytes)
    }

    /// Has the calls to the store begun again that are lost, as far as other hosts tell.
    fn check_calls(&mut self) {
        let now = self.state.clock.now();
        if let Some(heard_for) = self.lag.lagging_for(&self.calls, now) {
            log::warn!(
                target: "dependency", cursors:? = self.state.snapshot.load().cursors,
                heard_ms = heard_for.as_millis() as u64;
                "another host knows newer versions, reconnecting to the store"
            );
            self.calls.reconnect(now);
        }
        let is_isolated = !self.peers.is_empty() && now.since(self.heard_at) >= ISOLATION_TIMEOUT;
        if is_isolated && !self.calls.is_isolated() {
            log::warn!(
                target: "dependency",
                "no other host is heard from, asking the store more often"
            );
            self.calls.reconnect(now);
        }
        self.calls.set_isolated(is_isolated);
    }

    fn message(&self) -> GossipMessage {
        let state = &self.state;
        let snapshot = state.snapshot.load_full();
        let revisions =
            Topic::ALL.map(|topic| snapshot.revisions.get(&topic).copied().unwrap_or_default());
        let now = state.clock.now();
        let (parts, requests) = state.crashes.report(now);
        let loads = state.pool.load_reports(now);
        let (hosts, limits) = state.pool.limits().report(now);
        let is_stopping = state.stop.since(now).is_some();
        let address = state.carrier_load.address().filter(|_| !is_stopping);
        let reach = state.reach.report(address, state.carrier_load.carried(), now);
        let places = state.pool.limits().report_places(now);
        // A load takes nine bytes, a reported crash up to fourteen, a host eight, a limit or a brittle
        // upstream twelve, a reached service six, the place of the sender thirty and an end of an
        // upstream under a request up to thirty.
        let others = SEAL_LOADS
            + REACH_LOADS
            + reach.services.len()
            + places.len() * 4 / 3
            + parts.len() * 2
            + hosts.others.len()
            + limits.len() * 3 / 2
            + requests.len() * 7 / 2;
        let (loads, paces) = fit_reports(loads, MAX_LOAD_REPORTS.saturating_sub(others));
        GossipMessage {
            versions: revisions.map(|revision| revision.version),
            region: RegionHash::new(&state.settings.load().region),
            loads,
            eras: revisions.map(|revision| revision.era),
            leaving: state.pool.leaving_hashes(now),
            heard: Topic::ALL.map(|topic| self.lag.heard(topic)),
            parts,
            sealed: Some(SealedReport {
                origin: state.seal.next_origin(SystemClock.now()),
                hosts,
                limits,
                requests,
            }),
            reach: Some(reach),
            places,
            evacuations: state.evacuations.report(&snapshot),
            paces,
            demand: Vec::new(),
        }
    }
}

/// Sends and receives datagrams for as long as it is polled.
pub async fn run_gossip(state: Arc<GatewayState>, socket: UdpSocket, mut node: GossipNode) {
    let mut buffer = [0u8; MAX_DATAGRAM_BYTES];
    let mut send_at =
        tokio::time::Instant::now() + GOSSIP_INTERVAL.mul_f64(state.random.next_unit());
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, sender)) => {
                    if let Some((seeker, bytes)) = node.receive(&buffer[..length], sender) {
                        send(&socket, &bytes, seeker).await;
                    }
                }
                Err(error) => log::debug!(
                    target: "beacon", error:%;
                    "cannot receive gossip datagram"
                ),
            },
            // Others are asked at once who reaches a service that was lost.
            () = state.reach.next_change() => send_at = tokio::time::Instant::now(),
            () = tokio::time::sleep_until(send_at) => {
                send_at += GOSSIP_INTERVAL;
                for (peer, bytes) in node.next_round() {
                    send(&socket, &bytes, peer).await;
                }
            }
        }
    }
}

async fn send(socket: &UdpSocket, bytes: &[u8], peer: SocketAddr) {
    if let Err(error) = socket.send_to(bytes, peer).await {
        log::debug!(target: "beacon", error:%, peer:%; "cannot send gossip datagram");
    }
}
