//! Measures the cost of a ledger per record, per entry and per claim.
//!
//! `cargo run --release -p oleander-ledger --example slopes [SEED]`
//!
//! Fourteen ledgers in two regions and seven failure domains run in one process against an
//! in-memory table, with tokio's paused clock: rates refer to the simulated clock, processor time
//! is that of this process, including senders and stand-ins.

use oleander_core::claim::ClaimRequest;
use oleander_core::ids::{AccountName, Incarnation, RegionName, RequestId, Revision};
use oleander_core::ledger::packed::pack;
use oleander_core::reason::RunState;
use oleander_core::units::{Money, Timestamp, TokenCount};
use oleander_core::usage::{StoredOutcome, UsageRecord, UsedItem};
use oleander_ledger::wire::{UsageCall, to_wire};
use oleander_ledger::{LedgerClient, LedgerNode, LedgerPorts, NodeConfig};
use oleander_ports::PortFuture;
use oleander_ports::claims::ClaimPort;
use oleander_ports::clock::{ClockPort, RuntimeClock};
use oleander_ports::members::{Member, MemberRole, MemberState};
use oleander_ports::peers::{PeerChannel, PeerError, PeerPort};
use oleander_ports::usage::UsagePort;
use oleander_standin::fakes::{FakeMembers, FakePeers};
use oleander_standin::memory::{MemoryObjects, MemoryTable};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const LEDGERS: usize = 14;
const DOMAINS: usize = 7;
const ACCOUNTS: u64 = 64;
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: usize = 4096;
const START: Timestamp = Timestamp::from_millis(1_700_000_000_000);

/// Counts calls by channel and the bytes of all requests.
#[derive(Clone)]
struct CountingPeers {
    peers: FakePeers,
    usage: Arc<AtomicU64>,
    batches: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl PeerPort for CountingPeers {
    fn call(
        &self,
        peer: SocketAddr,
        channel: PeerChannel,
        body: Vec<u8>,
        deadline: Duration,
    ) -> PortFuture<'_, Result<Vec<u8>, PeerError>> {
        let counter = if channel == PeerChannel::Batches { &self.batches } else { &self.usage };
        counter.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
        self.peers.call(peer, channel, body, deadline)
    }
}

struct Fleet {
    table: MemoryTable,
    peers: CountingPeers,
    members: FakeMembers,
    clock: Arc<RuntimeClock>,
    nodes: Vec<Arc<LedgerNode>>,
}

fn region(domain: usize) -> RegionName {
    let name = if domain < 4 { "dakar" } else { "thies" };
    name.parse().expect("a name")
}

fn member(index: usize) -> Member {
    let domain = index % DOMAINS;
    Member {
        id: format!("host-{index}.ledger").parse().expect("a name"),
        incarnation: Incarnation::new(1),
        role: MemberRole::Ledger,
        region: region(domain),
        domain: format!("domain-{domain}").parse().expect("a name"),
        address: SocketAddr::from(([127, 0, 0, 1], index as u16 + 1)),
        state: MemberState::Alive,
        revision: Revision::default(),
    }
}

impl Fleet {
    fn new() -> Self {
        let counter = || Arc::new(AtomicU64::new(0));
        let (usage, batches, bytes) = (counter(), counter(), counter());
        let peers = CountingPeers { peers: FakePeers::new(), usage, batches, bytes };
        let (members, table) = (FakeMembers::new(), MemoryTable::new());
        members.set_members((0..LEDGERS).map(member).collect());
        let clock = Arc::new(RuntimeClock::new(START));
        let mut fleet = Self { table, peers, members, clock, nodes: Vec::new() };
        for index in 0..LEDGERS {
            let node = fleet.start_node(index);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn start_node(&self, index: usize) -> Arc<LedgerNode> {
        let Member { id, region, domain, incarnation, address, .. } = member(index);
        let ports = LedgerPorts {
            table: Arc::new(self.table.clone()),
            objects: Arc::new(MemoryObjects::new()),
            peers: Arc::new(self.peers.clone()),
            members: Arc::new(self.members.clone()),
            clock: self.clock.clone(),
        };
        let node = LedgerNode::new(NodeConfig::new(id, region, domain, incarnation), ports);
        for (channel, handler) in node.handlers() {
            self.peers.peers.handle(address, channel, handler);
        }
        node
    }

    fn client(&self, index: usize) -> LedgerClient {
        let members = Arc::new(self.members.clone());
        let peers = Arc::new(self.peers.clone());
        LedgerClient::new(peers, members, self.clock.clone(), index as u64)
            .with_region(region(index % DOMAINS))
    }

    fn backlog(&self) -> i64 {
        self.nodes.iter().map(|node| node.metrics().backlog_bytes.get()).sum()
    }
}

fn account(number: u64) -> AccountName {
    format!("account-{number}").parse().expect("a name")
}

fn usage(random: &mut SmallRng, now: Timestamp) -> UsageRecord {
    let tokens_out = random.random_range(20..500);
    UsageRecord {
        account: account(random.random_range(0..ACCOUNTS)),
        request: RequestId::new(now, random.random()),
        item: UsedItem::Version(
            format!("menu-writer-{}", random.random_range(0..6)).parse().expect("a name"),
        ),
        run: RunState::Done,
        tokens_in: TokenCount::new(random.random_range(100..4_000)),
        tokens_out: TokenCount::new(tokens_out),
        billed: Money::from_micros(u64::from(tokens_out) * 9),
        upstream_cost: Money::from_micros(u64::from(tokens_out) * 7),
        ended_at: now + Duration::from_millis(random.random_range(300..20_000)),
        outcome: None,
    }
}

/// Load of one run.
#[derive(Clone, Copy)]
struct Load {
    senders: usize,
    requests_per_second: f64,
    claims_per_second: f64,
    seconds: u64,
    seed: u64,
}

fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<f64> = after.split(' ').skip(11).take(2).flat_map(str::parse).collect();
    fields.iter().sum::<f64>() / TICKS_PER_SECOND
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|text| text.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn paused_runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime")
}

async fn send(client: LedgerClient, load: Load, index: usize, clock: Arc<RuntimeClock>) {
    let mut random = SmallRng::seed_from_u64(load.seed + index as u64);
    let interval = load.senders as f64 / load.requests_per_second;
    let claim_share = load.claims_per_second / load.requests_per_second;
    tokio::time::sleep(Duration::from_secs_f64(interval * random.random::<f64>())).await;
    for _ in 0..(load.seconds as f64 / interval) as u64 {
        let mut record = usage(&mut random, clock.now());
        let claims = random.random::<f64>() < claim_share;
        let client = client.clone();
        tokio::spawn(async move {
            if claims {
                record.outcome = Some(claim(&client, &record).await);
            }
            client.record(record).await.expect("held");
        });
        tokio::time::sleep(Duration::from_secs_f64(interval)).await;
    }
}

async fn claim(client: &LedgerClient, record: &UsageRecord) -> StoredOutcome {
    let key = format!("order-{:x}", record.request.get()).parse().expect("a key");
    let request = ClaimRequest {
        account: record.account.clone(),
        key,
        body_digest: [7; 32],
        request: record.request,
    };
    let key = request.key.clone();
    client.claim(request).await.expect("granted");
    StoredOutcome {
        key,
        status: 201,
        content_type: Arc::from("application/json"),
        body: vec![b'x'; 200],
    }
}

fn run_load(load: Load) {
    paused_runtime().block_on(async {
        let fleet = Fleet::new();
        let before = cpu_seconds();
        let senders = (0..load.senders)
            .map(|index| tokio::spawn(send(fleet.client(index), load, index, fleet.clock.clone())));
        let senders: Vec<_> = senders.collect();
        let mut max_backlog = 0;
        for _ in 0..load.seconds {
            tokio::time::sleep(Duration::from_secs(1)).await;
            max_backlog = max_backlog.max(fleet.backlog());
        }
        for sender in senders {
            sender.await.expect("a sender ends");
        }
        tokio::time::sleep(Duration::from_secs(5)).await;
        let cpu_used = cpu_seconds() - before;
        let counts = fleet.table.counts();
        let per_second = |count: u64| count as f64 / load.seconds as f64;
        let records = load.requests_per_second * load.seconds as f64;
        println!(
            "| {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.0} | {:.0} | {:.1} | {:.1} | {:.0} |",
            load.senders,
            load.requests_per_second,
            load.claims_per_second,
            per_second(counts.transactions),
            per_second(counts.written_rows),
            per_second(counts.reads),
            per_second(fleet.peers.usage.load(Ordering::Relaxed)),
            per_second(fleet.peers.batches.load(Ordering::Relaxed)),
            per_second(fleet.peers.bytes.load(Ordering::Relaxed)) / 1_000.0,
            cpu_used / records * 1e6,
            max_backlog as f64 / 1_000.0,
        );
    });
}

fn print_record_sizes(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let records: Vec<UsageRecord> = (0..1_000).map(|_| usage(&mut random, START)).collect();
    println!("\n| form of a record | bytes |\n|---|---|");
    let wire: usize =
        records.iter().map(|record| to_wire(&UsageCall::Record(record.clone())).len()).sum();
    println!("| message from an entry | {:.1} |", wire as f64 / records.len() as f64);
    for size in [1, 4, 40, 400] {
        let packed: usize = records.chunks(size).map(|chunk| pack(chunk).len()).sum();
        println!("| packed, {size} in a batch | {:.1} |", packed as f64 / records.len() as f64);
    }
}

/// Fills the backlogs during an outage of the table, as the busiest ledger of a region would see
/// it, and measures how long they take to drain.
fn run_outage(seed: u64, seconds: u64) {
    paused_runtime().block_on(async {
        let fleet = Fleet::new();
        fleet.table.set_down(true);
        let load = Load {
            senders: 50,
            requests_per_second: 2_700.0,
            claims_per_second: 0.0,
            seconds,
            seed,
        };
        let resident = resident_bytes();
        let senders = (0..load.senders)
            .map(|index| tokio::spawn(send(fleet.client(index), load, index, fleet.clock.clone())));
        let senders: Vec<_> = senders.collect();
        for sender in senders {
            sender.await.expect("a sender ends");
        }
        tokio::time::sleep(Duration::from_secs(35)).await;
        let records = load.requests_per_second * load.seconds as f64;
        let counted = fleet.backlog() as f64 / records;
        let grown = (resident_bytes().saturating_sub(resident)) as f64 / records;
        println!("\n| outage of {seconds} s at 2700/s, both copies | bytes a record |\n|---|---|");
        println!("| counted against the bound | {counted:.1} |");
        println!("| growth of the process | {grown:.1} |");
        let before = fleet.table.counts();
        fleet.table.set_down(false);
        let mut drained = 0;
        while fleet.backlog() > 0 && drained < 600 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            drained += 1;
        }
        let after = fleet.table.counts();
        println!(
            "\ndrained in {drained} s with {} transactions and {} rows",
            after.transactions - before.transactions,
            after.written_rows - before.written_rows
        );
    });
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("seed {seed}, {LEDGERS} ledgers, {DOMAINS} failure domains");
    print_record_sizes(seed);
    println!(
        "\n| entries | requests/s | claims/s | table transactions/s | rows/s | reads/s \
         | calls to ledgers/s | calls between ledgers/s | kB/s sent | µs CPU a request \
         | highest backlog kB |\n|---|---|---|---|---|---|---|---|---|---|---|"
    );
    let load = |senders, requests_per_second, claims_per_second| Load {
        senders,
        requests_per_second,
        claims_per_second,
        seconds: 60,
        seed,
    };
    for senders in [7, 50, 150, 370] {
        run_load(load(senders, 2_700.0, 0.0));
    }
    for rate in [100.0, 700.0] {
        run_load(load(370, rate, 0.0));
    }
    for claims in [20.0, 135.0, 540.0] {
        run_load(load(370, 2_700.0, claims));
    }
    run_outage(seed, 120);
    run_outage(seed, 360);
}
