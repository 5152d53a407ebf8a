//! An entry before stand-in upstreams, with small fakes of the system's other processes.

#![allow(dead_code, reason = "each test file uses its own part")]

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use oleander_adapters::http_client::HttpClient;
use oleander_adapters::settings::SecretKey;
use oleander_core::catalog::{Catalog, Snapshot};
use oleander_core::choice_mode::ChoiceMode;
use oleander_core::ids::{
    AccountName, IdempotencyKey, Incarnation, RequestId, Revision, UpstreamName, VersionName,
};
use oleander_core::quality::QualityTable;
use oleander_core::units::Timestamp;
use oleander_core::usage::{StoredOutcome, UsageRecord};
use oleander_entry::{EntryParts, EntryServer, EntryView};
use oleander_ports::catalog::{CatalogPort, CatalogStanding};
use oleander_ports::claims::{ClaimError, ClaimOutcome, ClaimPort, ClaimRequest};
use oleander_ports::clock::{ClockPort, SystemClock};
use oleander_ports::shares::{AccountShare, QualityPort, SharePort};
use oleander_ports::table::{TablePort, TableRow, TableTransaction, TransactionOutcome};
use oleander_ports::usage::{UsageError, UsagePort};
use oleander_ports::{PlatformError, PortFuture};
use oleander_standin::deployment::{DeploymentPlan, StandinDeployment};
use oleander_standin::engine::EngineStandin;
use oleander_standin::fakes::FakeMembers;
use oleander_standin::faults::FaultPlan;
use oleander_standin::memory::MemoryTable;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// SHA-256 of `vans-key`.
pub const VANS_KEY: &str = "vans-key";
/// SHA-256 of `stock-key`.
pub const STOCK_KEY: &str = "stock-key";
pub const SEED: u64 = 7;

fn digest(key: &str) -> String {
    use sha2::{Digest, Sha256};
    Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Two versions of a cheap model and one of a costly one, and a service with two operations.
pub fn catalog() -> Catalog {
    let upstream =
        || json!({"address": "127.0.0.1:1", "region": "puget", "domain": "puget-a", "slots": 8});
    let version = |model: &str, pool: &str, price: u64, quality: f64| {
        json!({
            "model": model, "pool": pool, "price_in": price, "price_out": price * 4,
            "quality": {"menu-plan": quality}, "first_token": 20, "token_gap": 5
        })
    };
    serde_json::from_value(json!({
        "regions": {"puget": {"domains": ["puget-a"]}},
        "client_accounts": {
            "vans": {
                "key_digests": [digest(VANS_KEY)],
                "allow": [{"model": "small"}, {"model": "large"}],
                "services": ["stock"], "requests_per_second": 1000.0, "burst": 1000,
                "priority": "high"
            },
            "depot": {
                "key_digests": [digest(STOCK_KEY)],
                "allow": [{"model": "small", "versions": ["small@1"]}],
                "requests_per_second": 1000.0, "burst": 1000
            }
        },
        "models": {"small": {"current": "small@1"}, "large": {"current": "large@1"}},
        "versions": {
            "small@1": version("small", "runners", 100, 0.6),
            "small@2": version("small", "runners", 100, 0.6),
            "large@1": version("large", "runners", 1000, 0.95)
        },
        "pools": {
            "runners": {"upstreams": {"runner-1": upstream(), "runner-2": upstream()}},
            "desks": {"upstreams": {"desk-1": upstream(), "desk-2": upstream()}}
        },
        "services": {"stock": {"pool": "desks", "operations": {
            "lookup": {"method": "POST", "path": "/lookup", "idempotent": true, "price": 10},
            "order": {
                "method": "POST", "path": "/order", "idempotent": false, "price": 50,
                "timeout": 1500
            }
        }}},
        "cascades": {"menu-plan": {
            "steps": ["small", "large"], "quality_target": 0.9, "deadline": 10000
        }}
    }))
    .unwrap()
}

/// A catalog in force that a test replaces.
pub struct FixedCatalog {
    snapshot: ArcSwap<Snapshot>,
    standing: Mutex<CatalogStanding>,
}

impl FixedCatalog {
    pub fn new(catalog: Catalog) -> Self {
        let snapshot = Snapshot::new(Revision::new(1), catalog);
        Self {
            snapshot: ArcSwap::from_pointee(snapshot),
            standing: Mutex::new(CatalogStanding::InForce),
        }
    }

    pub fn publish(&self, change: impl FnOnce(&mut Catalog)) {
        let old = self.snapshot.load();
        let mut catalog = old.catalog().clone();
        change(&mut catalog);
        self.snapshot.store(Arc::new(Snapshot::new(old.revision().next(), catalog)));
    }

    pub fn set_standing(&self, standing: CatalogStanding) {
        *self.standing.lock().unwrap() = standing;
    }
}

impl CatalogPort for FixedCatalog {
    fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    fn standing(&self) -> CatalogStanding {
        *self.standing.lock().unwrap()
    }
}

/// Usage that is held in memory, or not.
#[derive(Default)]
pub struct FakeUsage {
    records: Mutex<Vec<UsageRecord>>,
    pub not_held: AtomicBool,
    pub full: AtomicBool,
    pub slow_millis: AtomicU64,
}

impl FakeUsage {
    /// Records, each request once.
    pub fn billed(&self) -> Vec<UsageRecord> {
        let mut seen = std::collections::HashSet::new();
        let records = self.records.lock().unwrap();
        records.iter().filter(|r| seen.insert((r.account.clone(), r.request))).cloned().collect()
    }
}

impl UsagePort for FakeUsage {
    fn record(&self, record: UsageRecord) -> PortFuture<'_, Result<(), UsageError>> {
        Box::pin(async move {
            let slow = self.slow_millis.load(Ordering::SeqCst);
            tokio::time::sleep(Duration::from_millis(slow)).await;
            if self.not_held.load(Ordering::SeqCst) {
                return Err(UsageError::NotHeld("no peer answers".to_owned()));
            }
            self.records.lock().unwrap().push(record);
            Ok(())
        })
    }

    fn has_room(&self) -> bool {
        !self.full.load(Ordering::SeqCst)
    }
}

#[derive(Clone)]
enum ClaimState {
    Held(RequestId),
    Unknown,
}

/// Claims in memory; done outcomes come from the usage records.
#[derive(Default)]
pub struct FakeClaims {
    rows: Mutex<HashMap<(AccountName, IdempotencyKey), (ClaimRequest, ClaimState)>>,
    usage: Arc<FakeUsage>,
    pub down: AtomicBool,
    pub pause_millis: AtomicU64,
}

impl FakeClaims {
    fn new(usage: &Arc<FakeUsage>) -> Self {
        Self { usage: Arc::clone(usage), ..Self::default() }
    }

    fn outcome(&self, claim: &ClaimRequest) -> Option<StoredOutcome> {
        let records = self.usage.records.lock().unwrap();
        let mut stored = records.iter().filter(|record| record.account == claim.account);
        stored.find_map(|record| record.outcome.clone().filter(|o| o.key == claim.key))
    }

    fn check(&self) -> Result<(), ClaimError> {
        if self.down.load(Ordering::SeqCst) {
            return Err(ClaimError("the table is down".to_owned()));
        }
        Ok(())
    }

    /// Number of claims that are neither released nor settled as unknown.
    pub fn held(&self) -> usize {
        let rows = self.rows.lock().unwrap();
        rows.values().filter(|(_, state)| matches!(state, ClaimState::Held(_))).count()
    }
}

impl ClaimPort for FakeClaims {
    fn claim(&self, claim: ClaimRequest) -> PortFuture<'_, Result<ClaimOutcome, ClaimError>> {
        Box::pin(async move {
            self.check()?;
            let key = (claim.account.clone(), claim.key.clone());
            let outcome = {
                let mut rows = self.rows.lock().unwrap();
                match rows.get(&key) {
                    None => {
                        let held = ClaimState::Held(claim.request);
                        rows.insert(key, (claim, held));
                        ClaimOutcome::Granted
                    }
                    Some((first, _)) if first.body_digest != claim.body_digest => {
                        ClaimOutcome::KeyReused
                    }
                    Some((_, ClaimState::Unknown)) => ClaimOutcome::OutcomeUnknown,
                    Some((_, ClaimState::Held(by))) => match self.outcome(&claim) {
                        Some(stored) => ClaimOutcome::Done(stored),
                        None => ClaimOutcome::Held { by: *by },
                    },
                }
            };
            let pause = self.pause_millis.load(Ordering::SeqCst);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            Ok(outcome)
        })
    }

    fn release(&self, claim: ClaimRequest) -> PortFuture<'_, Result<(), ClaimError>> {
        Box::pin(async move {
            self.check()?;
            self.rows.lock().unwrap().remove(&(claim.account, claim.key));
            Ok(())
        })
    }

    fn mark_unknown(&self, claim: ClaimRequest) -> PortFuture<'_, Result<(), ClaimError>> {
        Box::pin(async move {
            self.check()?;
            let key = (claim.account.clone(), claim.key.clone());
            self.rows.lock().unwrap().insert(key, (claim, ClaimState::Unknown));
            Ok(())
        })
    }
}

/// Shares as wide as the test says.
pub struct FixedShares {
    pub share: Mutex<AccountShare>,
}

impl SharePort for FixedShares {
    fn share(&self, _: &AccountName) -> Option<AccountShare> {
        Some(*self.share.lock().unwrap())
    }

    fn note_demand(&self, _: &AccountName) {}
}

/// No ratings.
pub struct NoQuality;

impl QualityPort for NoQuality {
    fn estimates(&self) -> Arc<QualityTable> {
        Arc::default()
    }
}

/// A table in which another host binds a session between a look-up and the insert.
pub struct RivalTable {
    inner: MemoryTable,
    rival: Mutex<Option<Vec<u8>>>,
}

impl RivalTable {
    /// The next look-up that finds nothing is followed by another host's write of `value`.
    pub fn expect_rival(&self, value: &Value) {
        *self.rival.lock().unwrap() = Some(value.to_string().into_bytes());
    }
}

impl TablePort for RivalTable {
    fn transact(
        &self,
        transaction: TableTransaction,
    ) -> PortFuture<'_, Result<TransactionOutcome, PlatformError>> {
        self.inner.transact(transaction)
    }

    fn get<'a>(&'a self, key: &'a str) -> PortFuture<'a, Result<Option<TableRow>, PlatformError>> {
        Box::pin(async move {
            let found = self.inner.get(key).await?;
            let rival = self.rival.lock().unwrap().take();
            if let Some(value) = rival {
                self.inner.transact(TableTransaction::new().with_put(key, value)).await?;
            }
            Ok(found)
        })
    }

    fn scan<'a>(
        &'a self,
        start: &'a str,
        end: &'a str,
        limit: usize,
    ) -> PortFuture<'a, Result<Vec<TableRow>, PlatformError>> {
        self.inner.scan(start, end, limit)
    }
}

/// A clock that stands still.
pub struct FrozenClock(pub Timestamp);

impl ClockPort for FrozenClock {
    fn now(&self) -> Timestamp {
        self.0
    }
}

/// An entry before stand-ins.
pub struct TestBed {
    pub address: SocketAddr,
    pub admin_address: SocketAddr,
    pub deployment: StandinDeployment,
    pub catalog: Arc<FixedCatalog>,
    pub usage: Arc<FakeUsage>,
    pub claims: Arc<FakeClaims>,
    pub shares: Arc<FixedShares>,
    pub members: FakeMembers,
    pub table: MemoryTable,
    pub rivals: Arc<RivalTable>,
    pub view: EntryView,
    pub client: HttpClient,
    stop: Option<oneshot::Sender<()>>,
    serving: JoinHandle<()>,
}

impl TestBed {
    pub async fn start() -> Self {
        Self::start_with(catalog(), SystemClock::shared(), ChoiceMode::ModelAware).await
    }

    pub async fn start_with(catalog: Catalog, clock: Arc<dyn ClockPort>, mode: ChoiceMode) -> Self {
        let control = SocketAddr::from(([127, 0, 0, 1], 0));
        let started =
            StandinDeployment::start(catalog, DeploymentPlan::anywhere().with_control(control));
        let deployment = started.await.unwrap();
        let catalog = Arc::new(FixedCatalog::new(deployment.catalog.clone()));
        let usage = Arc::new(FakeUsage::default());
        let claims = Arc::new(FakeClaims::new(&usage));
        let share = AccountShare { requests_per_second: 1000.0, burst: 1000.0 };
        let shares = Arc::new(FixedShares { share: Mutex::new(share) });
        let members = FakeMembers::new();
        let table = MemoryTable::new();
        let rivals = Arc::new(RivalTable { inner: table.clone(), rival: Mutex::default() });
        let secret = |id: &str| SecretKey {
            id: id.parse().unwrap(),
            secret: Arc::from(format!("{id}: a secret of sixteen bytes")),
        };
        let parts = EntryParts {
            id: "host-1.entry".parse().unwrap(),
            region: "puget".parse().unwrap(),
            domain: "puget-a".parse().unwrap(),
            incarnation: Incarnation::new(1),
            catalog: Arc::clone(&catalog) as Arc<dyn CatalogPort>,
            usage: Arc::clone(&usage) as Arc<dyn UsagePort>,
            claims: Arc::clone(&claims) as Arc<dyn ClaimPort>,
            members: Arc::new(members.clone()),
            ratings: Arc::new(deployment.platform.ratings.clone()),
            shares: Arc::clone(&shares) as Arc<dyn SharePort>,
            quality: Arc::new(NoQuality),
            table: Arc::clone(&rivals) as Arc<dyn TablePort>,
            clock,
            session_keys: vec![secret("k1")],
            seed: SEED,
            mode,
        };
        let server = EntryServer::bind(parts, control).await.unwrap();
        let address = server.address().unwrap();
        let view = server.view();
        let admin = server.admin_port().bind(control).await.unwrap();
        let admin_address = admin.address().unwrap();
        tokio::spawn(admin.serve(std::future::pending()));
        let (stop, stopped) = oneshot::channel::<()>();
        let serving = tokio::spawn(server.serve(async move {
            let _ = stopped.await;
        }));
        let client = HttpClient::new();
        let stop = Some(stop);
        Self {
            address,
            admin_address,
            deployment,
            catalog,
            usage,
            claims,
            shares,
            members,
            table,
            rivals,
            view,
            client,
            stop,
            serving,
        }
    }

    /// Tells the entry to stop.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }

    /// Waits until the entry has stopped.
    pub async fn stopped(&mut self) {
        self.stop();
        (&mut self.serving).await.unwrap();
    }

    pub fn engines(&self) -> Vec<EngineStandin> {
        self.deployment.engines.values().cloned().collect()
    }

    /// Sets the same faults on every engine.
    pub fn set_engine_faults(&self, plan: &FaultPlan) {
        self.engines().iter().for_each(|engine| engine.faults().set_plan(plan.clone()));
    }

    /// Sets the same faults on every instance of a service.
    pub fn set_service_faults(&self, plan: &FaultPlan) {
        let services = self.deployment.services.values();
        services.for_each(|service| service.faults().set_plan(plan.clone()));
    }

    /// Calls that every service instance ran, its load polls left out.
    pub fn service_runs(&self) -> usize {
        let services = self.deployment.services.values();
        let runs = services.flat_map(|service| service.runs());
        runs.filter(|run| run.item.starts_with("POST")).count()
    }

    /// Versions that engines ran, in no order.
    pub fn engine_runs(&self) -> Vec<String> {
        let runs = self.engines().into_iter().flat_map(|engine| engine.runs());
        runs.map(|run| run.item.to_string()).collect()
    }

    pub async fn send(&self, request: Request<Full<Bytes>>) -> Reply {
        let sent = self.client.send_whole(request, Duration::from_secs(20), 1 << 20).await;
        let (head, body) = sent.unwrap().into_parts();
        let body = String::from_utf8(body.to_vec()).unwrap();
        Reply { status: head.status, headers: head.headers, body }
    }

    pub fn post(&self, path: &str, headers: &[(&str, &str)], body: &Value) -> Request<Full<Bytes>> {
        let mut request = Request::post(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {VANS_KEY}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.body(Full::new(Bytes::from(body.to_string()))).unwrap()
    }

    /// Reads a page of the admin port.
    pub async fn admin(&self, path: &str) -> Reply {
        let request = Request::get(format!("http://{}{path}", self.admin_address));
        self.send(request.body(Full::new(Bytes::new())).unwrap()).await
    }

    /// What the entry remembers of a request: an event and its upstream, if it has one.
    pub async fn explain(&self, request: &str) -> Vec<(String, String)> {
        let trace = self.admin(&format!("/requests/{request}")).await.json();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let steps = trace["steps"].as_array().unwrap().iter();
        steps.map(|step| (text(&step["event"]), text(&step["upstream"]))).collect()
    }

    /// Sends a chat request.
    pub async fn chat(&self, model: &str, stream: bool, headers: &[(&str, &str)]) -> Reply {
        self.send(self.post("/v1/chat/completions", headers, &chat_body(model, stream))).await
    }

    /// Calls an operation of the service.
    pub async fn call(&self, operation: &str, headers: &[(&str, &str)], body: &Value) -> Reply {
        let path = format!("/v1/services/stock/{operation}");
        self.send(self.post(&path, headers, body)).await
    }
}

pub const PROMPT: &str = "plan the route for tomorrow";

pub fn chat_body(model: &str, stream: bool) -> Value {
    json!({"model": model, "stream": stream, "messages": [{"role": "user", "content": PROMPT}]})
}

/// The text that every engine with the version answers to the prompt.
pub fn expected_text(version: &str) -> String {
    let version: VersionName = version.parse().unwrap();
    oleander_standin::engine::answer_words(&version, PROMPT, 512).concat()
}

/// An answer that was read whole.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
}

impl Reply {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }

    /// The text of a whole answer.
    pub fn text(&self) -> String {
        self.json()["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
    }

    /// The events of a streamed answer.
    pub fn events(&self) -> Vec<&str> {
        self.body.lines().filter_map(|line| line.strip_prefix("data: ")).collect()
    }

    /// The text of a streamed answer.
    pub fn streamed_text(&self) -> String {
        let chunks = self.events().into_iter().filter_map(|e| serde_json::from_str(e).ok());
        let text = |chunk: Value| {
            chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
        };
        chunks.map(text).collect()
    }

    /// Whether the stream ended with its end marker.
    pub fn is_done(&self) -> bool {
        self.events().last() == Some(&"[DONE]")
    }
}

pub fn upstream(name: &str) -> UpstreamName {
    name.parse().unwrap()
}
