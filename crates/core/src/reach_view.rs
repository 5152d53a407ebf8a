//! Whether this host has lost the path to a service's upstreams, and which other hosts still reach
//! them.
//!
//! New connections are the evidence: those that were opened before may live on while new ones fail.
//! When connections to several upstreams failed and none was opened since, the host believes that
//! the service is out of its reach. Trial connections show when it is back; after a relapse it takes
//! longer, so that an unsteady path does not make requests alternate between the two ways.
//!
//! Hosts tell each other when an upstream of a service last answered them. A host that lost its path
//! hands requests to one that has not. It never passes on what others hand to it, so no request goes
//! round, also when all hosts are cut off or all upstreams have ended.

use crate::home_regions::HomeRegions;
use crate::host_view::HostHash;
use crate::ids::{DomainName, RegionName, ServiceName, UpstreamName};
use crate::stable_hash::hash_parts;
use crate::units::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of upstreams to which connections must have failed; fewer if a service has fewer.
const MIN_FAILED: usize = 3;
/// Time for which connections must have failed to all upstreams of a service that has fewer: one may be
/// silent for a second and go on.
const SMALL_SERVICE_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a failed connection no longer counts.
const FAILURE_AGE: Duration = Duration::from_secs(3);
/// Time for which trial connections must succeed before requests are sent directly again.
const RETURN_TIME: Duration = Duration::from_secs(1);
/// Maximum of that time, which doubles with each relapse.
const MAX_RETURN_TIME: Duration = Duration::from_secs(8);
/// Time after a return within which another loss of the path is a relapse.
const RELAPSE_TIME: Duration = Duration::from_secs(10);
/// Age at which the last answer of an upstream no longer shows that a host reaches it.
const MAX_REACH_AGE: Duration = Duration::from_secs(5);
/// Time without a report after which a host gets no requests of others.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a host that failed to carry a request is chosen only if there is hardly another.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// Maximum number of other hosts that are known; above what deployments have.
const MAX_PEERS: usize = 1_024;
/// Maximum number of services in a report.
const MAX_REPORTED: usize = 8;
/// Unit of ages in reports, in milliseconds.
const AGE_UNIT_MS: u64 = 20;
/// How much less a host is chosen in another failure domain of the region, and in another region,
/// since the way there takes longer and is paid for.
const DOMAIN_FACTOR: f64 = 0.7;
const REGION_FACTOR: f64 = 0.15;
const AVOIDED_FACTOR: f64 = 0.001;

/// Compact id of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceHash(u32);

impl ServiceHash {
    /// Hashes a service's name.
    #[must_use]
    pub fn new(service: &ServiceName) -> Self {
        Self(hash_parts(&["service", service.as_str()]) as u32)
    }
}

/// Where a host is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostPlace {
    domain: u32,
    region: u32,
}

impl HostPlace {
    /// The place of a host in a failure domain.
    #[must_use]
    pub fn new(domain: &DomainName, region: &RegionName) -> Self {
        Self { domain: place_hash(domain.as_str()), region: place_hash(region.as_str()) }
    }

    /// Whether it is in a region.
    #[must_use]
    pub fn is_in(&self, region: &RegionName) -> bool {
        self.region == place_hash(region.as_str())
    }

    fn factor(&self, other: &Self) -> f64 {
        if self.domain == other.domain {
            1.0
        } else if self.region == other.region {
            DOMAIN_FACTOR
        } else {
            REGION_FACTOR
        }
    }
}

fn place_hash(text: &str) -> u32 {
    hash_parts(&["place", text]) as u32
}

/// Which hosts may carry a request.
#[derive(Clone, Copy, Debug)]
pub struct CarrierRule<'a> {
    /// Hosts that were asked already.
    pub excluded: &'a BTreeSet<HostHash>,
    /// Regions to whose hosts the body may be sent.
    pub home_regions: &'a HomeRegions,
}

/// When upstreams of a service last answered a host, as told to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachedService {
    service: ServiceHash,
    /// In units of 20 ms.
    age: u8,
}

/// What a host tells others about its paths and about carrying their requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachReport {
    /// Where it takes requests of other hosts; `None` if it takes none now.
    pub address: Option<SocketAddr>,
    /// Where it is.
    pub place: HostPlace,
    /// Number of requests that it carries for others.
    pub carried: u16,
    /// The services that it reaches.
    pub services: Vec<ReachedService>,
    /// Whether it seeks hosts that carry its requests, and wants to be told at once who does.
    pub seeks: bool,
}

/// A host that can carry requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CarrierHost {
    /// The host.
    pub host: HostHash,
    /// Where it takes requests.
    pub address: SocketAddr,
}

/// How requests reach the upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServicePath {
    /// By connections of this host.
    Direct,
    /// Through another host.
    Carried,
    /// Neither this host nor any that it hears from reaches them.
    Lost,
}

/// How a new connection ended, or that it was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionOutcome<'a> {
    /// The upstream.
    pub upstream: &'a UpstreamName,
    /// Whether it was opened.
    pub is_open: bool,
    /// When opening it began.
    pub began: Timestamp,
}

/// How evidence changed the belief.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// The service is out of this host's reach.
    Lost,
    /// The service is reached again.
    Returned,
}

#[derive(Clone, Debug, Default)]
struct ServiceReach {
    /// When an upstream last answered this host, or a connection to one was opened.
    reached_at: Option<Timestamp>,
    /// When a connection was last opened.
    opened_at: Option<Timestamp>,
    /// Upstreams to which the last connections failed since one was opened.
    failures: BTreeMap<UpstreamName, Timestamp>,
    /// When the first of them failed.
    failing_since: Option<Timestamp>,
    lost_at: Option<Timestamp>,
    /// Since when trial connections succeed.
    open_since: Option<Timestamp>,
    returned_at: Option<Timestamp>,
    return_time: Duration,
}

impl ServiceReach {
    fn recent_failures(&self, now: Timestamp) -> usize {
        self.failures.values().filter(|at| now.since(**at) < FAILURE_AGE).count()
    }

    fn begin_loss(&mut self, now: Timestamp) {
        let is_relapse = self.returned_at.is_some_and(|at| now.since(at) < RELAPSE_TIME);
        let doubled = self.return_time.saturating_mul(2).min(MAX_RETURN_TIME);
        self.return_time = if is_relapse { doubled } else { RETURN_TIME };
        (self.lost_at, self.open_since) = (Some(now), None);
    }

    fn end_loss(&mut self, now: Timestamp) {
        (self.lost_at, self.open_since, self.returned_at) = (None, None, Some(now));
        (self.failing_since, self.failures) = (None, BTreeMap::new());
    }
}

#[derive(Clone, Debug)]
struct PeerReach {
    address: Option<SocketAddr>,
    place: HostPlace,
    carried: u16,
    /// When upstreams last answered it.
    reached_at: BTreeMap<ServiceHash, Timestamp>,
    heard_at: Timestamp,
    avoided_until: Timestamp,
    /// Requests of this host that it carries now.
    outstanding: u32,
}

/// The paths of one host, and of others as it hears.
///
/// ```
/// use oleander_core::host_view::HostHash;
/// use oleander_core::reach_view::{ConnectionOutcome, HostPlace, ReachView, ServicePath};
/// use oleander_core::units::Timestamp;
///
/// let place = HostPlace::new(&"puget-a".parse().unwrap(), &"puget".parse().unwrap());
/// let (service, now) = ("desk".parse().unwrap(), Timestamp::from_millis(1_000));
/// let upstreams = ["i-1", "i-2", "i-3"].map(|name| name.parse().unwrap());
/// let outcome =
///     |index: usize, is_open| ConnectionOutcome { upstream: &upstreams[index], is_open, began: now };
///
/// let (mut other, mut view) = (ReachView::new(place), ReachView::new(place));
/// other.record_connection(&service, 3, &outcome(0, true), now);
/// let report = other.report(Some("10.0.0.2:7340".parse().unwrap()), 0, now);
/// view.merge(HostHash::new(&"host-2".parse().unwrap()), &report, now);
///
/// assert_eq!(view.path(&service, now), ServicePath::Direct);
/// for index in 0..3 {
///     view.record_connection(&service, 3, &outcome(index, false), now);
/// }
/// assert_eq!(view.path(&service, now), ServicePath::Carried);
/// ```
#[derive(Clone, Debug)]
pub struct ReachView {
    place: HostPlace,
    services: BTreeMap<ServiceName, ServiceReach>,
    peers: BTreeMap<HostHash, PeerReach>,
    /// Rotates the services that are reported.
    reports: usize,
}

impl ReachView {
    /// Creates the view of a host that has opened no connection yet.
    #[must_use]
    pub const fn new(place: HostPlace) -> Self {
        Self { place, services: BTreeMap::new(), peers: BTreeMap::new(), reports: 0 }
    }

    /// Forgets services that are no longer listed.
    pub fn retain_services(&mut self, listed: &BTreeSet<&ServiceName>) {
        self.services.retain(|service, _| listed.contains(service));
    }

    /// Records the outcome of a new connection to one of a service's `listed` upstreams. A failure does
    /// not count if another connection was opened after this one began.
    pub fn record_connection(
        &mut self,
        service: &ServiceName,
        listed: usize,
        outcome: &ConnectionOutcome<'_>,
        now: Timestamp,
    ) -> Option<ReachChange> {
        let has_carrier = self.has_carrier(service, now);
        let reach = self.service(service);
        if outcome.is_open {
            (reach.reached_at, reach.opened_at) = (Some(now), Some(now));
            (reach.failing_since, reach.failures) = (None, BTreeMap::new());
            // Without another way there is nothing to wait for.
            if reach.lost_at.is_some() && !has_carrier {
                reach.end_loss(now);
                return Some(ReachChange::Returned);
            }
            return None;
        }
        if reach.opened_at.is_some_and(|at| at >= outcome.began) {
            return None;
        }
        reach.failures.retain(|_, at| now.since(*at) < FAILURE_AGE);
        if reach.failures.is_empty() {
            reach.failing_since = None;
        }
        reach.failures.insert(outcome.upstream.clone(), now);
        let failing_since = *reach.failing_since.get_or_insert(now);
        let failed = reach.failures.len();
        let is_small = failed >= listed && now.since(failing_since) >= SMALL_SERVICE_TIME;
        if reach.lost_at.is_some() || !(failed >= MIN_FAILED || is_small) {
            return None;
        }
        reach.begin_loss(now);
        Some(ReachChange::Lost)
    }

    /// Records whether any trial connection of a round was opened, after each of them was recorded.
    pub fn record_trials(
        &mut self,
        service: &ServiceName,
        is_any_open: bool,
        now: Timestamp,
    ) -> Option<ReachChange> {
        let reach = self.service(service);
        reach.lost_at?;
        if !is_any_open {
            reach.open_since = None;
            return None;
        }
        let since = *reach.open_since.get_or_insert(now);
        if now.since(since) < reach.return_time {
            return None;
        }
        reach.end_loss(now);
        Some(ReachChange::Returned)
    }

    /// Records an answer on a connection of this host.
    pub fn record_answer(&mut self, service: &ServiceName, now: Timestamp) {
        self.service(service).reached_at = Some(now);
    }

    /// When an upstream of a service last answered this host.
    #[must_use]
    pub fn reached_at(&self, service: &ServiceName) -> Option<Timestamp> {
        self.services.get(service).and_then(|reach| reach.reached_at)
    }

    /// Services that are out of this host's reach.
    pub fn lost_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.iter().filter(|(_, reach)| reach.lost_at.is_some()).map(|(name, _)| name)
    }

    /// For how long a service has been out of this host's reach.
    #[must_use]
    pub fn lost_for(&self, service: &ServiceName, now: Timestamp) -> Option<Duration> {
        self.services.get(service)?.lost_at.map(|at| now.since(at))
    }

    /// How requests reach the upstreams of a service now.
    #[must_use]
    pub fn path(&self, service: &ServiceName, now: Timestamp) -> ServicePath {
        if self.lost_for(service, now).is_none() {
            ServicePath::Direct
        } else if self.has_carrier(service, now) {
            ServicePath::Carried
        } else {
            ServicePath::Lost
        }
    }

    /// Takes over what another host tells, which was heard from just now.
    pub fn merge(&mut self, host: HostHash, report: &ReachReport, now: Timestamp) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&host) {
            let longest = self.peers.iter().min_by_key(|(_, peer)| peer.heard_at);
            let Some(longest) = longest.map(|(host, _)| *host) else { return };
            self.peers.remove(&longest);
        }
        let peer = self.peers.entry(host).or_insert_with(|| PeerReach {
            address: None,
            place: report.place,
            carried: 0,
            reached_at: BTreeMap::new(),
            heard_at: now,
            avoided_until: Timestamp::default(),
            outstanding: 0,
        });
        (peer.address, peer.place, peer.carried) = (report.address, report.place, report.carried);
        peer.heard_at = now;
        // A report names all services that the host reaches, up to the maximum.
        if report.services.len() < MAX_REPORTED {
            peer.reached_at.clear();
        }
        for reached in &report.services {
            let age = Duration::from_millis(u64::from(reached.age) * AGE_UNIT_MS);
            peer.reached_at.insert(reached.service, now.before(age));
        }
        peer.reached_at.retain(|_, at| now.since(*at) < MAX_REACH_AGE);
    }

    /// What other hosts should know; `address` is where this host takes their requests.
    pub fn report(
        &mut self,
        address: Option<SocketAddr>,
        carried: u16,
        now: Timestamp,
    ) -> ReachReport {
        let reached = self.services.iter().filter_map(|(service, reach)| {
            let age = now.since(reach.reached_at?);
            let is_sound = reach.lost_at.is_none() && reach.recent_failures(now) < 2;
            let age = u8::try_from(age.as_millis() as u64 / AGE_UNIT_MS).ok()?;
            is_sound.then(|| ReachedService { service: ServiceHash::new(service), age })
        });
        let mut services: Vec<ReachedService> = reached.collect();
        if services.len() > MAX_REPORTED {
            let start = self.reports.wrapping_mul(MAX_REPORTED) % services.len();
            services.rotate_left(start);
            services.truncate(MAX_REPORTED);
        }
        self.reports = self.reports.wrapping_add(1);
        let seeks = self.lost_services().next().is_some();
        ReachReport { address, place: self.place, carried, services, seeks }
    }

    /// Chooses a host to carry a request at a relative position `point` in 0..1; hosts that are near
    /// and carry little are more likely.
    #[must_use]
    pub fn choose_carrier(
        &self,
        service: &ServiceName,
        rule: &CarrierRule<'_>,
        point: f64,
        now: Timestamp,
    ) -> Option<CarrierHost> {
        let is_permitted = |host: &HostHash, peer: &PeerReach| {
            let is_home = rule.home_regions.permits_where(|region| peer.place.is_in(region));
            is_home && !rule.excluded.contains(host)
        };
        let carriers = self.carriers(service, now).filter(|(host, peer)| is_permitted(host, peer));
        let weighted: Vec<(CarrierHost, f64)> = carriers
            .filter_map(|(host, peer)| {
                let load = u32::from(peer.carried).max(peer.outstanding);
                let avoided = if now < peer.avoided_until { AVOIDED_FACTOR } else { 1.0 };
                let weight = avoided * self.place.factor(&peer.place) / f64::from(1 + load);
                Some((CarrierHost { host, address: peer.address? }, weight))
            })
            .collect();
        let mut left = point * weighted.iter().map(|(_, weight)| weight).sum::<f64>();
        let chosen = weighted.iter().find(|(_, weight)| {
            left -= weight;
            left < 0.0
        });
        chosen.or_else(|| weighted.last()).map(|(carrier, _)| *carrier)
    }

    /// Records that a host began to carry a request of this one.
    pub fn begin_carried(&mut self, host: HostHash) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.outstanding += 1;
        }
    }

    /// Records that a host no longer carries a request of this one.
    pub fn end_carried(&mut self, host: HostHash) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.outstanding = peer.outstanding.saturating_sub(1);
        }
    }

    /// Records that a host took no request, or lost one.
    pub fn avoid_carrier(&mut self, host: HostHash, now: Timestamp) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.avoided_until = now + AVOID_TIME;
        }
    }

    fn has_carrier(&self, service: &ServiceName, now: Timestamp) -> bool {
        self.carriers(service, now).next().is_some()
    }

    fn carriers(
        &self,
        service: &ServiceName,
        now: Timestamp,
    ) -> impl Iterator<Item = (HostHash, &PeerReach)> {
        let hash = ServiceHash::new(service);
        let reaches = move |peer: &PeerReach| {
            let reached_at = peer.reached_at.get(&hash);
            peer.address.is_some()
                && now.since(peer.heard_at) < CONTACT_TIMEOUT
                && reached_at.is_some_and(|at| now.since(*at) < MAX_REACH_AGE)
        };
        let peers = self.peers.iter().filter(move |(_, peer)| reaches(peer));
        peers.map(|(host, peer)| (*host, peer))
    }

    fn service(&mut self, service: &ServiceName) -> &mut ServiceReach {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServiceReach::default());
        }
        self.services.entry(service.clone()).or_default()
    }
}
