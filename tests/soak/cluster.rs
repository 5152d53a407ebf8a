//! The system under test: store, upstreams, gateway hosts and configuration.

#[allow(dead_code, reason = "the tests of the platform crate use the rest")]
#[path = "../../platform/tests/support/store.rs"]
mod store;

use crate::caller::{ACCOUNT, KEY};
use crate::gateway::GatewayHost;
use crate::proxy::FaultProxy;
use crate::random::SeededRandom;
use crate::upstream::{RunLog, SOUND_VERSION, SoakUpstream};
use serde_json::{Value, json};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
pub use store::{FakeStore, StoreMode};

/// Number of gateway hosts of a run, unless `OLEANDER_SOAK_HOSTS` is set.
pub const HOSTS: u8 = 4;
/// Maximum number of hosts, each of which has an address of its own.
const MAX_HOSTS: u8 = 200;
/// Number of upstreams of each service.
pub const UPSTREAMS: u64 = 4;
/// Time for which the store is away before it comes back from a copy.
const STORE_AWAY_TIME: Duration = Duration::from_millis(200);
/// Time after which lost rows are written again.
const REWRITE_DELAY: Duration = Duration::from_millis(900);
/// Maximum time until all hosts serve after the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// An upstream and the proxy between it and the hosts.
pub struct ProxiedUpstream {
    pub upstream: Arc<SoakUpstream>,
    pub proxy: FaultProxy,
}

impl ProxiedUpstream {
    async fn start(
        name: &str,
        service: &'static str,
        version: &'static str,
        log: &Arc<RunLog>,
        seed: u64,
    ) -> Self {
        let upstream = SoakUpstream::start(name, service, version, Arc::clone(log), seed).await;
        let proxy = FaultProxy::start(upstream.address).await;
        Self { upstream, proxy }
    }

    fn row(&self, state: &str) -> Value {
        self.upstream.row(self.proxy.address, state)
    }
}

/// Store, gateway hosts and upstreams of a run.
pub struct SoakCluster {
    pub store: Arc<FakeStore>,
    pub hosts: Arc<Vec<GatewayHost>>,
    pub upstreams: Vec<ProxiedUpstream>,
    pub runs: Arc<RunLog>,
    version: AtomicU64,
    next_number: AtomicU64,
    /// Held while the store comes back from a copy, so that such faults don't overlap.
    restore_lock: tokio::sync::Mutex<()>,
}

impl SoakCluster {
    /// Starts everything, with hosts that run `binary`, and waits until each host serves.
    pub async fn start(folder: &Path, seed: u64, binary: &Path) -> Self {
        let (store, address) = FakeStore::start().await;
        store.state_eras();
        let runs = Arc::new(RunLog::default());
        let mut upstreams = Vec::new();
        for number in 0..UPSTREAMS {
            for service in ["desk", "writer"] {
                let name = format!("i-{service}-{number}");
                let proxied = start_sound(&name, service, &runs, seed ^ number).await;
                store.put("servers", &name, &proxied.row("ready"));
                upstreams.push(proxied);
            }
        }
        store.put("op", "config", &configuration(1));
        let mut hosts = Vec::new();
        for number in 0..host_count() {
            hosts.push(GatewayHost::start(number, address, folder, binary).await);
        }
        let (version, next_number) = (AtomicU64::new(1), AtomicU64::new(UPSTREAMS));
        let (hosts, restore_lock) = (Arc::new(hosts), tokio::sync::Mutex::default());
        let cluster = Self { store, hosts, upstreams, runs, version, next_number, restore_lock };
        cluster.wait_until_serving().await;
        cluster
    }

    async fn wait_until_serving(&self) {
        let started = Instant::now();
        for host in self.hosts.iter() {
            while self.probe(host, 1).await != Some(200) {
                assert!(
                    started.elapsed() < START_TIMEOUT,
                    "{} does not serve within {START_TIMEOUT:?}",
                    host.name
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Writes the next version of the configuration and returns its number.
    pub fn change_configuration(&self) -> u64 {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        self.store.put("op", "config", &configuration(version));
        version
    }

    /// Newest version that was written.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    /// Status of a request to the route that a version of the configuration adds.
    pub async fn probe(&self, host: &GatewayHost, version: u64) -> Option<u16> {
        let client = oleander_adapters::http_client::HttpClient::new();
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let request = http::Request::get(format!("http://{}/v{version}/", host.callers))
            .header("Host", "desk.example")
            .header("Attempt-Id", format!("probe{number:08x}"))
            .header("Deadline-Ms", "1500")
            .header("Api-Key", KEY)
            .body(http_body_util::Full::default())
            .unwrap();
        let sent = client.send_buffered(request, Duration::from_millis(1_500), 100_000).await;
        sent.ok().map(|response| response.status().as_u16())
    }

    /// Lets the store come back from a copy that is `age` old; what operators and upstreams wrote
    /// since is written again a while later.
    pub async fn restore_store(&self, age: Duration) {
        let _guard = self.restore_lock.lock().await;
        let copy = self.store.copy();
        tokio::time::sleep(age).await;
        self.store.set_mode(StoreMode::Unavailable);
        tokio::time::sleep(STORE_AWAY_TIME).await;
        let lost = self.store.restore(&copy);
        self.store.set_mode(StoreMode::Normal);
        tokio::time::sleep(REWRITE_DELAY).await;
        self.store.write_again(lost);
    }

    /// Lets an upstream say for a while in its answers that it is leaving; then a new start of it
    /// takes its place.
    pub async fn announce_leaving(&self, proxied: &ProxiedUpstream, span: Duration) {
        proxied.upstream.begin_leaving();
        tokio::time::sleep(span).await;
        self.return_upstream(&proxied.upstream.name);
    }

    /// Registers upstreams of a bad version of a service and orders its rollout.
    pub async fn order_bad_version(
        &self,
        service: &'static str,
        version: &'static str,
        duration: Duration,
    ) -> Vec<ProxiedUpstream> {
        let mut upstreams = Vec::new();
        for number in 0..UPSTREAMS / 2 {
            let name = format!("i-{service}-{version}-{number}");
            let proxied = ProxiedUpstream::start(&name, service, version, &self.runs, number).await;
            self.store.put("servers", &name, &proxied.row("ready"));
            upstreams.push(proxied);
        }
        let order =
            json!({"service": service, "to": version, "duration_s": duration.as_secs_f64()});
        self.store.put("op", &format!("rollout/{service}"), &order);
        upstreams
    }

    /// State of the rollout of a version, as operators read it.
    pub fn rollout_state(&self, service: &str, version: &str) -> Option<String> {
        let status = self.store.get("status", &format!("rollout/{service}"))?;
        let state = status["state"].as_str().map(str::to_owned);
        state.filter(|_| status["to"] == version)
    }

    /// Marks a random upstream as leaving and returns its name.
    pub async fn remove_upstream(&self, random: &SeededRandom) -> String {
        let leaving = random.pick(&self.upstreams);
        let name = leaving.upstream.name.clone();
        self.store.put("servers", &name, &leaving.row("draining"));
        name
    }

    /// Registers an upstream that left as ready, as a new start under the same name.
    pub fn return_upstream(&self, name: &str) {
        let returning =
            self.upstreams.iter().find(|proxied| proxied.upstream.name == name).unwrap();
        returning.upstream.restart();
        self.store.put("servers", name, &returning.row("ready"));
    }
}

async fn start_sound(
    name: &str,
    service: &'static str,
    runs: &Arc<RunLog>,
    seed: u64,
) -> ProxiedUpstream {
    ProxiedUpstream::start(name, service, SOUND_VERSION, runs, seed).await
}

fn host_count() -> u8 {
    let text = std::env::var("OLEANDER_SOAK_HOSTS").ok();
    text.map_or(HOSTS, |text| text.parse().expect("OLEANDER_SOAK_HOSTS must be a number"))
        .clamp(2, MAX_HOSTS)
}

/// A configuration with the routes of a run, and one route for each of the last two versions.
fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, more: Value| {
        let mut route = json!({"name": name, "host": "desk.example",
            "prefix": format!("/{name}/"), "type": kind, "timeout_ms": 2500, "goal_ms": 400,
            "priority": 1, "attempts": 3, "service": "desk", "public": false});
        for (field, value) in more.as_object().unwrap() {
            route[field] = value.clone();
        }
        route
    };
    let stream = json!({"service": "writer", "itl_target_ms": 300, "timeout_ms": 5000,
        "goal_ms": 1000});
    let mut plan = stream.clone();
    plan["resumable"] = json!(true);
    plan["sizes"] = json!(["small", "large"]);
    let mut routes = vec![
        route("look", "safe", json!({})),
        route("order", "unsafe", json!({"attempts": 1})),
        route("plan", "stream", plan),
        route("note", "stream", stream),
    ];
    for version in [version.saturating_sub(1), version] {
        routes.push(route(&format!("v{version}"), "safe", json!({})));
    }
    json!({"version": version, "routes": routes, "services": [
        {"name": "desk", "health_path": "/health", "max_conns": 500},
        {"name": "writer", "health_path": "/health", "max_conns": 500, "engine": {"slots": 32,
            "models": [{"name": "small", "cost": 0.02}, {"name": "large", "cost": 0.3}]}},
    ], "limits": {"max_hdr_bytes": 8192, "max_body_bytes": 100_000, "hdr_timeout_ms": 3000,
        "idle_ms": 5000},
    "tenants": [{"name": ACCOUNT, "keys": [KEY], "priority": 2}]})
}
