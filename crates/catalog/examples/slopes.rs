//! Measures what the catalog costs one host among 7, 50, 150 and 370 hosts.
//!
//! `cargo run --release -p oleander-catalog --example slopes`
//!
//! The runtime's time is paused, so that an hour takes only the CPU time that it needs. CPU time is
//! that of the whole process, including the generator.

use oleander_catalog::follow::tree::TreePosition;
use oleander_catalog::records::{CatalogCall, PublishId, encode_body};
use oleander_catalog::{
    CatalogFile, CatalogFollower, CatalogPublisher, FollowerPorts, PublishRequest, parse_catalog,
};
use oleander_core::catalog::objects::{Drain, Upstream};
use oleander_core::catalog::{Catalog, Snapshot};
use oleander_core::ids::{DomainName, HostId, Incarnation, RegionName, Revision, UpstreamName};
use oleander_core::units::Timestamp;
use oleander_ports::catalog::CatalogPort;
use oleander_ports::clock::{ClockPort, RuntimeClock};
use oleander_ports::members::{Member, MemberRole, MemberState, MembershipPort, Rumor};
use oleander_ports::objects::{ObjectPort, PutOutcome};
use oleander_ports::peers::{PeerChannel, PeerError, PeerPort};
use oleander_ports::{PlatformError, PortFuture};
use oleander_standin::fakes::{FakeMembers, FakePeers};
use oleander_standin::memory::{MemoryObjects, MemoryTable};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const EXAMPLE: &str = include_str!("../../../examples/cascade-curbside.jsonc");
const SIZES: [usize; 4] = [7, 50, 150, 370];
const DOMAINS: usize = 7;
const TARGET_UPSTREAMS: usize = 600;
const TARGET_ACCOUNTS: usize = 200;
const CHANGES_PER_DAY: f64 = 1_400.0;
const HOUR: Duration = Duration::from_secs(3_600);
const SEED: u64 = 17;
/// Unit of the CPU times in `/proc/self/stat`, in ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    println!("seed {SEED}, {CHANGES_PER_DAY} changes a day, {DOMAINS} failure domains");
    measure_catalog("today (cascade-curbside)", &example());
    let target = target_catalog();
    measure_catalog("target (600 upstreams, 200 accounts)", &target);
    println!("\nhosts role    reads/h objects/h  calls/h  KB in/h KB out/h  cpu s/h  rss KB");
    for hosts in SIZES {
        for reader in [true, false] {
            measure_host(hosts, reader, &target);
        }
    }
    println!("\nhosts  last host in force after the publication, 5 % of calls lost");
    SIZES.iter().for_each(|&hosts| measure_spread(hosts, &target));
}

fn example() -> Catalog {
    parse_catalog(&[CatalogFile::new("example", EXAMPLE)]).expect("the example has no finding").0
}

/// The example with the target numbers of upstreams and client accounts.
fn target_catalog() -> Catalog {
    let mut catalog = example();
    let pools: Vec<_> = catalog.versions.values().map(|v| v.pool.clone()).collect();
    let pattern: Upstream =
        catalog.pools[&pools[0]].upstreams.values().next().expect("a pool has upstreams").clone();
    for number in 0..TARGET_UPSTREAMS {
        let name = UpstreamName::new(&format!("runner-{number:04}")).expect("a name");
        let address =
            SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 8_000));
        let pool = catalog.pools.get_mut(&pools[number % pools.len()]).expect("a pool");
        pool.upstreams.insert(name, Upstream { address, ..pattern.clone() });
    }
    let account = catalog.client_accounts.values().next().expect("an account").clone();
    for number in 0..TARGET_ACCOUNTS {
        let mut account = account.clone();
        account.key_digests = vec![format!("{number:064x}").into()];
        let name = format!("account-{number:03}").parse().expect("a name");
        catalog.client_accounts.insert(name, account);
    }
    catalog
}

/// The catalog after `number` changes.
fn changed(catalog: &Catalog, number: u64) -> Catalog {
    let mut next = catalog.clone();
    let upstream = UpstreamName::new(&format!("runner-{:04}", number % 600)).expect("a name");
    next.drains.insert(upstream, Drain { reason: format!("change {number}").into() });
    next
}

fn measure_catalog(name: &str, catalog: &Catalog) {
    let text = serde_json::to_string_pretty(catalog).expect("JSON");
    let file = CatalogFile::new("catalog", &text);
    let (parse, _) = fastest(|| parse_catalog(std::slice::from_ref(&file)).is_ok());
    let body = encode_body(catalog).expect("JSON");
    let (decode, _) = fastest(|| serde_json::from_slice::<Catalog>(&body).is_ok());
    let (index, _) = fastest(|| Snapshot::new(Revision::new(1), catalog.clone()));
    let before = resident_kilobytes();
    let held: Vec<Snapshot> =
        (0..20).map(|_| Snapshot::new(Revision::new(1), catalog.clone())).collect();
    let each = (resident_kilobytes().saturating_sub(before)) / held.len() as u64;
    println!(
        "{name}: text {} KB, body {} KB, parse+check {parse:?}, decode body {decode:?}, index {index:?}, about {each} KB in memory",
        text.len() / 1_024,
        body.len() / 1_024
    );
}

/// Duration and return value of the fastest of ten runs.
fn fastest<T>(run: impl Fn() -> T) -> (Duration, T) {
    let timed = (0..10).map(|_| {
        let started = Instant::now();
        let value = run();
        (started.elapsed(), value)
    });
    timed.min_by_key(|(elapsed, _)| *elapsed).expect("ten runs")
}

fn resident_kilobytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<f64> = text
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .map(|field| field.parse().unwrap_or(0.0))
        .collect();
    (fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0)) / TICKS_PER_SECOND
}

#[derive(Clone, Default)]
struct CountedObjects {
    inner: MemoryObjects,
    reads: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl ObjectPort for CountedObjects {
    fn put_if_absent<'a>(
        &'a self,
        name: &'a str,
        body: Vec<u8>,
    ) -> PortFuture<'a, Result<PutOutcome, PlatformError>> {
        self.inner.put_if_absent(name, body)
    }

    fn get<'a>(&'a self, name: &'a str) -> PortFuture<'a, Result<Option<Vec<u8>>, PlatformError>> {
        Box::pin(async move {
            let body = self.inner.get(name).await?;
            self.reads.fetch_add(1, Ordering::Relaxed);
            self.bytes.fetch_add(body.as_ref().map_or(0, Vec::len) as u64, Ordering::Relaxed);
            Ok(body)
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> PortFuture<'a, Result<Vec<Arc<str>>, PlatformError>> {
        self.inner.list(prefix)
    }
}

#[derive(Clone)]
struct CountedPeers {
    inner: FakePeers,
    calls: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
    delay: Duration,
    loss_rate: f64,
}

impl CountedPeers {
    fn new(inner: FakePeers, loss_rate: f64) -> Self {
        let delay = Duration::from_millis(1);
        Self { inner, calls: Arc::default(), bytes: Arc::default(), delay, loss_rate }
    }
}

impl PeerPort for CountedPeers {
    fn call(
        &self,
        peer: SocketAddr,
        channel: PeerChannel,
        body: Vec<u8>,
        deadline: Duration,
    ) -> PortFuture<'_, Result<Vec<u8>, PeerError>> {
        Box::pin(async move {
            let number = self.calls.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(self.delay).await;
            // Losses are spread evenly and are the same in each run.
            let spread = (number.wrapping_mul(SEED) % 100) as f64 / 100.0;
            if spread < self.loss_rate {
                tokio::time::sleep(deadline).await;
                return Err(PeerError::Unknown("lost".to_owned()));
            }
            let reply = self.inner.call(peer, channel, body, deadline).await?;
            self.bytes.fetch_add(reply.len() as u64, Ordering::Relaxed);
            Ok(reply)
        })
    }
}

fn host(number: usize) -> HostId {
    HostId::new(&format!("host-{number}.entry")).expect("a name")
}

fn domain(number: usize) -> DomainName {
    DomainName::new(&format!("domain-{}", number % DOMAINS)).expect("a name")
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, 1], 1_000 + number as u16))
}

fn members(count: usize) -> Vec<Member> {
    let member = |number| Member {
        id: host(number),
        incarnation: Incarnation::new(1),
        role: MemberRole::Entry,
        region: RegionName::new("region").expect("a name"),
        domain: domain(number),
        address: address(number),
        state: MemberState::Alive,
        revision: Revision::new(0),
    };
    (0..count).map(member).collect()
}

/// Whether a host is a reader, and how many others fetch from it.
fn position(number: usize, all: &Arc<Vec<Member>>) -> (bool, usize) {
    let position_of = |number| {
        let mut position = TreePosition::new(host(number), domain(number));
        position.update(all);
        position
    };
    let fetches = |other: &usize| position_of(*other).ancestors().first() == Some(&address(number));
    (position_of(number).is_reader(), (0..all.len()).filter(fetches).count())
}

struct Stores {
    table: MemoryTable,
    objects: CountedObjects,
    clock: Arc<dyn ClockPort>,
    published: u64,
}

impl Stores {
    fn new() -> Self {
        let clock = Arc::new(RuntimeClock::new(Timestamp::from_millis(1_800_000_000_000)));
        Self { table: MemoryTable::new(), objects: CountedObjects::default(), clock, published: 0 }
    }

    /// Publishes a catalog and returns the rumor of its head.
    async fn publish(&mut self, catalog: &Catalog) -> Rumor {
        let (table, objects) = (Arc::new(self.table.clone()), Arc::new(self.objects.clone()));
        let publisher = CatalogPublisher::new(table, objects, Arc::clone(&self.clock));
        let base = Revision::new(self.published);
        let id = PublishId::new(u128::from(self.published));
        let request = PublishRequest::new(id, "slopes", base);
        publisher.publish(catalog, request).await.expect("published");
        self.published += 1;
        let head = publisher.store().head().await.expect("a head").record.expect("a record");
        Rumor::Head { revision: head.revision, digest: head.digest }
    }

    fn ports(&self, peers: &CountedPeers, members: &FakeMembers) -> FollowerPorts {
        FollowerPorts {
            table: Arc::new(self.table.clone()),
            objects: Arc::new(self.objects.clone()),
            peers: Arc::new(peers.clone()),
            members: Arc::new(members.clone()),
            clock: Arc::clone(&self.clock),
        }
    }
}

fn paused_runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime")
}

/// Runs one real follower for an hour; the generator answers for the other hosts.
fn measure_host(hosts: usize, reader: bool, catalog: &Catalog) {
    paused_runtime().block_on(async {
        let all = Arc::new(members(hosts));
        let has_role = |number: &usize| position(*number, &all).0 == reader;
        let Some(number) = (0..hosts).find(has_role) else {
            return println!("{hosts:>5} follower: every host is a reader");
        };
        let children = position(number, &all).1;
        let mut stores = Stores::new();
        let peers = CountedPeers::new(FakePeers::new(), 0.0);
        let known_members = FakeMembers::new();
        known_members.set_members(all.to_vec());
        let source = CatalogFollower::new(
            stores.ports(&peers, &FakeMembers::new()),
            host(9_999),
            domain(0),
            SEED,
        );
        for other in (0..hosts).filter(|other| *other != number) {
            peers.inner.handle(address(other), PeerChannel::Catalog, source.peer_handler());
        }
        stores.publish(catalog).await;
        let follower = CatalogFollower::new(
            stores.ports(&peers, &known_members),
            host(number),
            domain(number),
            SEED,
        );
        tokio::time::sleep(Duration::from_secs(5)).await;
        let start = Counts::read(&stores, &peers);
        let changes = (CHANGES_PER_DAY / 24.0).round() as u32;
        let served = follower.peer_handler();
        let mut bytes_out = 0;
        for change in 0..changes {
            let rumor = stores.publish(&changed(catalog, u64::from(change))).await;
            tokio::time::sleep(Duration::from_millis(500)).await;
            known_members.announce(rumor.clone());
            tokio::time::sleep(HOUR / changes - Duration::from_millis(500)).await;
            let Rumor::Head { digest, .. } = rumor else { continue };
            let call = postcard::to_stdvec(&CatalogCall::Body(digest)).expect("a call");
            for _ in 0..children {
                bytes_out += served(call.clone()).await.map_or(0, |reply| reply.len());
            }
        }
        let counts = Counts::read(&stores, &peers).since(&start);
        let role = if reader { "reader" } else { "other" };
        // The reads of the source and the publisher are measured separately and subtracted.
        let own = counts.without(&source_cost(changes));
        println!(
            "{hosts:>5} {role:<7} {:>7} {:>9} {:>8} {:>8} {:>8} {:>8.2} {:>7}",
            own.reads,
            own.objects,
            own.calls,
            own.bytes_in / 1_024,
            bytes_out / 1_024,
            counts.cpu,
            resident_kilobytes()
        );
        assert_eq!(follower.snapshot().revision().get(), stores.published);
    });
}

#[derive(Clone, Debug, Default)]
struct Counts {
    reads: u64,
    objects: u64,
    calls: u64,
    bytes_in: u64,
    cpu: f64,
}

impl Counts {
    fn read(stores: &Stores, peers: &CountedPeers) -> Self {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Self {
            reads: stores.table.counts().reads,
            objects: load(&stores.objects.reads),
            calls: load(&peers.calls),
            bytes_in: load(&stores.objects.bytes) + load(&peers.bytes),
            cpu: cpu_seconds(),
        }
    }

    fn since(&self, start: &Self) -> Self {
        Self {
            reads: self.reads - start.reads,
            objects: self.objects - start.objects,
            calls: self.calls - start.calls,
            bytes_in: self.bytes_in - start.bytes_in,
            cpu: self.cpu - start.cpu,
        }
    }

    fn without(&self, other: &Self) -> Self {
        Self {
            reads: self.reads.saturating_sub(other.reads),
            objects: self.objects.saturating_sub(other.objects),
            calls: self.calls,
            bytes_in: self.bytes_in.saturating_sub(other.bytes_in),
            cpu: self.cpu,
        }
    }
}

/// Reads of the source and the publisher in the same hour, measured without the follower.
fn source_cost(changes: u32) -> Counts {
    static COST: std::sync::OnceLock<Counts> = std::sync::OnceLock::new();
    COST.get_or_init(|| {
        let run = move || {
            paused_runtime().block_on(async {
                let target = target_catalog();
                let mut stores = Stores::new();
                let peers = CountedPeers::new(FakePeers::new(), 0.0);
                let ports = stores.ports(&peers, &FakeMembers::new());
                let _source = CatalogFollower::new(ports, host(9_999), domain(0), SEED);
                stores.publish(&target).await;
                tokio::time::sleep(Duration::from_secs(5)).await;
                let start = Counts::read(&stores, &peers);
                for change in 0..changes {
                    stores.publish(&changed(&target, u64::from(change))).await;
                    tokio::time::sleep(HOUR / changes).await;
                }
                Counts::read(&stores, &peers).since(&start)
            })
        };
        std::thread::spawn(run).join().expect("the run ends")
    })
    .clone()
}

/// Measures the spread of a change over real followers in one process. Each receives the rumor
/// within a second, as by gossip.
fn measure_spread(hosts: usize, catalog: &Catalog) {
    paused_runtime().block_on(async {
        let all = members(hosts);
        let mut stores = Stores::new();
        let peers = CountedPeers::new(FakePeers::new(), 0.05);
        stores.publish(catalog).await;
        let mut followers = Vec::new();
        for number in 0..hosts {
            let known_members = FakeMembers::new();
            known_members.set_members(all.clone());
            let ports = stores.ports(&peers, &known_members);
            let follower = CatalogFollower::new(ports, host(number), domain(number), number as u64);
            peers.inner.handle(address(number), PeerChannel::Catalog, follower.peer_handler());
            followers.push((known_members, follower));
        }
        tokio::time::sleep(Duration::from_secs(5)).await;
        let started = tokio::time::Instant::now();
        let rumor = stores.publish(&changed(catalog, 1)).await;
        for (number, (known_members, _)) in followers.iter().enumerate() {
            let (known_members, rumor) = (known_members.clone(), rumor.clone());
            let wait = Duration::from_millis((number as u64).wrapping_mul(997) % 1_000);
            tokio::spawn(async move {
                tokio::time::sleep(wait).await;
                known_members.announce(rumor);
            });
        }
        while followers.iter().any(|(_, follower)| follower.snapshot().revision().get() < 2) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        println!("{hosts:>5}  {:?}", started.elapsed());
    });
}
