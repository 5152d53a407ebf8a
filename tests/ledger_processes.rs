//! Real ledger processes are killed, paused and stopped while the table comes and goes.

use oleander_adapters::ready::ReadyLine;
use oleander_adapters::settings::{HostSettings, PlatformSettings};
use oleander_core::claim::ClaimRequest;
use oleander_core::ids::{AccountName, RequestId};
use oleander_core::ledger::shard::{LedgerRoute, ROUTES_PER_SHARD, ShardId};
use oleander_core::reason::RunState;
use oleander_core::units::{Money, TokenCount};
use oleander_core::usage::{StoredOutcome, UsageRecord, UsedItem};
use oleander_host::RunningHost;
use oleander_ledger::ranking::ledgers_for;
use oleander_ledger::{LedgerClient, StatementReader};
use oleander_ports::claims::{ClaimOutcome, ClaimPort};
use oleander_ports::clock::{ClockPort, SystemClock};
use oleander_ports::members::MemberRole;
use oleander_ports::usage::UsagePort;
use oleander_standin::platform::{PlatformStandin, any_port};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PATIENCE: Duration = Duration::from_secs(90);
const POLL: Duration = Duration::from_millis(100);
/// Four rounds of a ledger, which copies in each.
const QUIET_ROUNDS: Duration = Duration::from_secs(8);

/// Counter of runs that were copied again.
const RECOPIES: &str = "oleander_ledger_recopies_total";

/// Numbers the settings files of this run.
static FILES: AtomicU32 = AtomicU32::new(0);

struct LedgerProcess {
    child: Child,
    address: SocketAddr,
    admin: SocketAddr,
    settings: PathBuf,
}

impl LedgerProcess {
    fn start(settings: &HostSettings) -> Self {
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let name = format!("oleander-{}-{number}.jsonc", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, serde_json::to_string(settings).unwrap()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_oleander-ledger"))
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let ready: ReadyLine = serde_json::from_str(&line).unwrap();
        let (address, admin) = (ready.peers.unwrap(), ready.admin.unwrap());
        Self { child, address, admin, settings: path }
    }

    /// Runs that it has copied again, from its metrics.
    async fn recopies(&self) -> u64 {
        let mut socket = TcpStream::connect(self.admin).await.unwrap();
        let request = b"GET /metrics HTTP/1.1\r\nHost: ledger\r\nConnection: close\r\n\r\n";
        socket.write_all(request).await.unwrap();
        let mut page = String::new();
        socket.read_to_string(&mut page).await.unwrap();
        let line = page.lines().find_map(|line| line.strip_prefix(RECOPIES));
        line.unwrap().trim().parse().unwrap()
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.unwrap().success());
    }
}

impl Drop for LedgerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn settings(
    id: &str,
    domain: &str,
    seeds: Vec<SocketAddr>,
    platform: &PlatformSettings,
) -> HostSettings {
    let settings = serde_json::json!({
        "id": id,
        "region": "puget",
        "domain": domain,
        "peer_address": any_port(),
        "admin_address": any_port(),
        "seeds": seeds,
        "platform": platform,
        "peer_keys": [{"id": "peer-1", "secret": "a secret that every peer of the test has"}],
        "log_level": "warn",
        "drain_seconds": 2,
    });
    serde_json::from_value(settings).unwrap()
}

fn account() -> AccountName {
    "north-van".parse().unwrap()
}

/// The route of every record of the test.
fn route() -> LedgerRoute {
    LedgerRoute::of_shard(ShardId::of(&account()))
}

fn usage(number: u128) -> UsageRecord {
    let now = SystemClock.now();
    UsageRecord {
        account: account(),
        request: RequestId::new(now, number * u128::from(ROUTES_PER_SHARD)),
        item: UsedItem::Version("small-3".parse().unwrap()),
        run: RunState::Done,
        tokens_in: TokenCount::new(10),
        tokens_out: TokenCount::new(20),
        billed: Money::from_micros(5),
        upstream_cost: Money::from_micros(4),
        ended_at: now,
        outcome: None,
    }
}

async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let waited = tokio::time::timeout(PATIENCE, async {
        while !holds().await {
            tokio::time::sleep(POLL).await;
        }
    });
    waited.await.unwrap_or_else(|_| panic!("not within {PATIENCE:?}: {what}"));
}

struct Trial {
    platform: PlatformStandin,
    ledgers: Vec<LedgerProcess>,
    host: RunningHost,
    client: LedgerClient,
}

impl Trial {
    async fn start(ledgers: usize) -> Self {
        let platform = PlatformStandin::new();
        let addresses = platform.start_on_free_ports().await.unwrap();
        let mut processes: Vec<LedgerProcess> = Vec::new();
        for index in 0..ledgers {
            let seeds = processes.iter().map(|process| process.address).collect();
            let (id, domain) = (format!("host-{index}.ledger"), format!("domain-{index}"));
            processes.push(LedgerProcess::start(&settings(&id, &domain, seeds, &addresses)));
        }
        let seeds = processes.iter().map(|process| process.address).collect();
        let own = settings("host-9.entry", "domain-9", seeds, &addresses);
        let host = RunningHost::start(own, MemberRole::Entry).await.unwrap();
        let client = LedgerClient::new(host.calls(), host.members(), Arc::clone(&host.clock), 1);
        let trial = Self { platform, ledgers: processes, host, client };
        until("every ledger is seen", async || trial.seen() == ledgers).await;
        trial
    }

    fn seen(&self) -> usize {
        let members = self.host.members().members();
        ledgers_for(&members, route(), None).len()
    }

    /// The process that ranks first of those in the list, taken out of it.
    fn take_first(&mut self) -> LedgerProcess {
        let members = self.host.members().members();
        let ranked = ledgers_for(&members, route(), None);
        let place =
            |ledger: &LedgerProcess| ranked.iter().position(|m| m.address == ledger.address);
        let places = self.ledgers.iter().map(|ledger| place(ledger).unwrap_or(usize::MAX));
        let first = places.enumerate().min_by_key(|(_, place)| *place).unwrap().0;
        self.ledgers.remove(first)
    }

    async fn send(&self, numbers: std::ops::Range<u128>) {
        for number in numbers {
            self.client.record(usage(number)).await.unwrap();
        }
    }

    /// Waits until the live ledgers have copied what had one live holder left, and for some
    /// rounds no more of it turns up.
    async fn copies_made_again(&self) {
        let (mut copied, mut since) = (0, tokio::time::Instant::now());
        until("copies are made again", async || {
            let mut now = 0;
            for ledger in &self.ledgers {
                now += ledger.recopies().await;
            }
            if now != copied {
                (copied, since) = (now, tokio::time::Instant::now());
            }
            copied > 0 && since.elapsed() >= QUIET_ROUNDS
        })
        .await;
    }

    async fn billed(&self) -> u64 {
        let ports = &self.host.platform;
        let reader = StatementReader::new(Arc::clone(&ports.table), Arc::clone(&ports.objects));
        let to = SystemClock.now() + Duration::from_secs(60);
        let statement = reader.statement(&account(), Default::default(), to).await;
        statement.map_or(0, |statement| statement.total.requests)
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_and_paused_ledgers_and_a_table_outage_lose_and_double_nothing() {
    let mut trial = Trial::start(4).await;
    trial.send(0..10).await;

    trial.platform.table.set_down(true);
    trial.send(10..20).await;
    let killed = trial.take_first();
    killed.signal("-KILL");
    trial.send(20..30).await;
    trial.copies_made_again().await;

    let paused = trial.take_first();
    paused.signal("-STOP");
    trial.send(30..40).await;
    trial.platform.table.set_down(false);
    until("every record is billed", async || trial.billed().await == 40).await;

    paused.signal("-CONT");
    trial.send(40..45).await;
    until("the records after it are billed", async || trial.billed().await == 45).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(trial.billed().await, 45);
    trial.host.stop().await;
}

/// The second ledger is paused before what the first one had is copied again. It may be the only
/// one that holds this; what it holds is billed once it runs, and nothing twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ledger_that_is_paused_as_the_only_holder_writes_when_it_wakes() {
    let mut trial = Trial::start(4).await;
    trial.platform.table.set_down(true);
    trial.send(0..20).await;
    let killed = trial.take_first();
    killed.signal("-KILL");
    let paused = trial.take_first();
    paused.signal("-STOP");
    trial.send(20..30).await;
    trial.platform.table.set_down(false);
    until("the records after the pause are billed", async || trial.billed().await >= 10).await;

    paused.signal("-CONT");
    until("every record is billed", async || trial.billed().await == 30).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(trial.billed().await, 30);
    trial.host.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_ledger_hands_over_and_ends_well() {
    let mut trial = Trial::start(3).await;
    trial.send(0..10).await;
    let mut stopped = trial.take_first();
    stopped.signal("-TERM");
    trial.send(10..30).await;
    let ended = tokio::task::spawn_blocking(move || stopped.child.wait().unwrap().code());
    assert_eq!(ended.await.unwrap(), Some(0));
    until("every record is billed", async || trial.billed().await == 30).await;
    trial.host.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_is_claimed_once_over_sockets_and_its_answer_replayed() {
    let trial = Trial::start(2).await;
    let order = |number: u128| ClaimRequest {
        account: account(),
        key: "order-7".parse().unwrap(),
        body_digest: [7; 32],
        request: RequestId::new(SystemClock.now(), number),
    };
    let mine = order(1);
    let (first, second) = tokio::join!(trial.client.claim(mine.clone()), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        trial.client.claim(order(2)).await
    });
    assert_eq!(first.unwrap(), ClaimOutcome::Granted);
    assert_eq!(second.unwrap(), ClaimOutcome::Held { by: mine.request });
    let answer = StoredOutcome {
        key: mine.key.clone(),
        status: 201,
        content_type: "application/json".into(),
        body: b"{}".to_vec(),
    };
    let mut done = usage(1);
    (done.request, done.outcome) = (mine.request, Some(answer.clone()));
    trial.client.record(done).await.unwrap();
    let done = ClaimOutcome::Done(answer);
    until("the answer is stored", async || trial.client.claim(order(3)).await == Ok(done.clone()))
        .await;
    trial.host.stop().await;
}
