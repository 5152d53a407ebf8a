//! Test bed: an entry in front of stand-in upstreams, with fakes of its other dependencies.

#![allow(dead_code, reason = "each test file uses its own part")]

mod fakes;

pub use fakes::*;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use oleander_adapters::http_client::HttpClient;
use oleander_adapters::settings::SecretKey;
use oleander_core::catalog::Catalog;
use oleander_core::choice_mode::ChoiceMode;
use oleander_core::ids::{Incarnation, UpstreamName, VersionName};
use oleander_entry::{EntryParts, EntryServer, EntryView};
use oleander_ports::catalog::CatalogPort;
use oleander_ports::claims::ClaimPort;
use oleander_ports::clock::{ClockPort, SystemClock};
use oleander_ports::shares::{AccountShare, SharePort};
use oleander_ports::table::TablePort;
use oleander_ports::usage::UsagePort;
use oleander_standin::deployment::{DeploymentPlan, StandinDeployment};
use oleander_standin::engine::EngineStandin;
use oleander_standin::fakes::FakeMembers;
use oleander_standin::faults::FaultPlan;
use oleander_standin::memory::MemoryTable;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Bearer key of the client account `vans`.
pub const VANS_KEY: &str = "vans-key";
/// Bearer key of the client account `depot`.
pub const DEPOT_KEY: &str = "stock-key";
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
                "key_digests": [digest(DEPOT_KEY)],
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

/// An entry in front of stand-in upstreams.
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
    pub racing_table: Arc<RacingTable>,
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
        let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let started = StandinDeployment::start(
            catalog,
            DeploymentPlan::on_free_ports().with_control(free_port),
        );
        let deployment = started.await.unwrap();
        let catalog = Arc::new(FixedCatalog::new(deployment.catalog.clone()));
        let usage = Arc::new(FakeUsage::default());
        let claims = Arc::new(FakeClaims::new(&usage));
        let share = AccountShare { requests_per_second: 1000.0, burst: 1000.0 };
        let shares = Arc::new(FixedShares { share: Mutex::new(share) });
        let members = FakeMembers::new();
        let table = MemoryTable::new();
        let racing_table = Arc::new(RacingTable::new(table.clone()));
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
            table: Arc::clone(&racing_table) as Arc<dyn TablePort>,
            clock,
            session_keys: vec![secret("k1")],
            seed: SEED,
            mode,
        };
        let server = EntryServer::bind(parts, free_port).await.unwrap();
        let address = server.address().unwrap();
        let view = server.view();
        let admin = server.admin_port().bind(free_port).await.unwrap();
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
            racing_table,
            view,
            client,
            stop,
            serving,
        }
    }

    /// Starts the graceful stop of the entry.
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

    /// Returns the number of calls that the service instances ran, without load polls.
    pub fn service_runs(&self) -> usize {
        let services = self.deployment.services.values();
        let runs = services.flat_map(|service| service.runs());
        runs.filter(|run| run.item.starts_with("POST")).count()
    }

    /// Returns the versions that the engines ran, in no particular order.
    pub fn engine_runs(&self) -> Vec<String> {
        let runs = self.engines().into_iter().flat_map(|engine| engine.runs());
        runs.map(|run| run.item.to_string()).collect()
    }

    pub async fn send(&self, request: Request<Full<Bytes>>) -> Reply {
        let sent = self.client.send_buffered(request, Duration::from_secs(20), 1 << 20).await;
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

    /// Sends a GET request to the admin port.
    pub async fn admin(&self, path: &str) -> Reply {
        let request = Request::get(format!("http://{}{path}", self.admin_address));
        self.send(request.body(Full::new(Bytes::new())).unwrap()).await
    }

    /// Returns the events of a request's trace, each with its upstream or an empty string.
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

/// Returns the text that every engine with the version answers to the prompt.
pub fn expected_text(version: &str) -> String {
    let version: VersionName = version.parse().unwrap();
    oleander_standin::engine::answer_words(&version, PROMPT, 512).concat()
}

/// A complete HTTP response.
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

    /// Returns the text of a non-streamed answer.
    pub fn text(&self) -> String {
        self.json()["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the data of the events of a streamed answer.
    pub fn events(&self) -> Vec<&str> {
        self.body.lines().filter_map(|line| line.strip_prefix("data: ")).collect()
    }

    /// Returns the text of a streamed answer.
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
