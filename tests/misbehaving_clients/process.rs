//! The gateway binary with the settings of the smallest host, before fakes of the store and of upstreams.

#[allow(dead_code, reason = "the tests of the platform crate use the rest")]
#[path = "../../platform/tests/support/store.rs"]
mod store;
#[allow(dead_code, reason = "the tests of the platform crate use the rest")]
#[path = "../../platform/tests/support/upstream.rs"]
mod upstream;

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::FakeStore;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
pub use upstream::FakeUpstream;
use upstream::Reply;

/// Memory and descriptors of the smallest host.
pub const MEMORY_BYTES: u64 = 120_000_000;
const DESCRIPTORS: u32 = 3_075;
/// The largest legal body, and the headers.
pub const MAX_BODY_BYTES: usize = 4_194_304;
pub const MAX_HEAD_BYTES: usize = 16_384;
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of an answer that is worth reading slowly.
const LARGE_ANSWER_BYTES: usize = 1_000_000;

/// Where a gateway listens.
#[derive(Clone, Copy, Debug)]
pub struct Endpoints {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
}

/// A running gateway process.
pub struct GatewayChild {
    pub endpoints: Endpoints,
    child: Child,
    pub upstream: Arc<FakeUpstream>,
    #[allow(dead_code, reason = "the tests of misbehaving upstreams write to it")]
    pub store: Arc<FakeStore>,
    folder: tempfile::TempDir,
}

/// A configuration whose routes go to one service.
pub fn configuration() -> Value {
    let route = |name: &str, kind: &str| {
        json!({"name": name, "host": "desk.example", "prefix": format!("/{name}/"),
            "type": kind, "timeout_ms": 3000, "goal_ms": 400, "priority": 1, "attempts": 3,
            "service": "desk", "public": true})
    };
    json!({"version": 3, "routes": [
        route("look", "safe"), route("slow", "unsafe"), route("large", "safe"),
    ], "services": [{"name": "desk", "health_path": "/health", "max_conns": 1000}],
    "limits": {"max_hdr_bytes": MAX_HEAD_BYTES,
        "max_body_bytes": MAX_BODY_BYTES, "hdr_timeout_ms": 3000, "idle_ms": 5000},
    "tenants": []})
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

impl GatewayChild {
    /// Starts a gateway and waits until it is ready.
    pub async fn start() -> Self {
        let gateway = Self::spawn(None).await;
        let started = Instant::now();
        while !gateway.is_ready().await {
            assert!(started.elapsed() < START_TIMEOUT, "the gateway is not ready");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        gateway
    }

    /// Starts a gateway that asks the store at `other_store`, if stated.
    pub async fn spawn(other_store: Option<SocketAddr>) -> Self {
        let (store, address) = FakeStore::start().await;
        store.put("op", "config", &configuration());
        let large: &'static str = Box::leak("x".repeat(LARGE_ANSWER_BYTES).into_boxed_str());
        let upstream = FakeUpstream::start("i-1", move |request, _| match &*request.target {
            "/slow/" => Reply::Delayed(Duration::from_millis(500), 200, "slow"),
            "/large/" => Reply::Answer(200, large),
            _ => Reply::Answer(200, "stock"),
        });
        let upstream = upstream.await;
        let mut row = upstream.row("desk", "v1", "ready");
        row["slots"] = json!(1_000);
        store.put("servers", "i-1", &row);
        let endpoints = Endpoints {
            callers: free_address().await,
            ready: free_address().await,
            metrics: free_address().await,
        };
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("settings.jsonc");
        let settings = json!({
            "host": "host-1", "region": "here", "domain": "here-a", "domains": {"here-a": "here"},
            "callers": endpoints.callers, "ready": endpoints.ready, "metrics": endpoints.metrics,
            "store": other_store.unwrap_or(address), "memory_bytes": MEMORY_BYTES,
            "max_descriptors": DESCRIPTORS, "bounds": {"stop_ms": 4000},
        });
        std::fs::write(&path, format!("// The smallest host.\n{settings}")).unwrap();
        let log = std::fs::File::create(folder.path().join("log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_oleander-gateway"))
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .unwrap();
        Self { endpoints, child, upstream, store, folder }
    }

    /// Whether the readiness endpoint reports within a second that the gateway is ready.
    pub async fn is_ready(&self) -> bool {
        let call = call(self.endpoints.ready, b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        let answer = tokio::time::timeout(Duration::from_secs(1), call).await;
        answer.is_ok_and(|answer| answer.is_ok_and(|text| text.starts_with("HTTP/1.1 200 ")))
    }

    /// A figure of the process's memory in bytes, by its name in `/proc`.
    pub fn memory(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with(name)).expect("the process runs");
        let kilobytes: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
        kilobytes * 1_024
    }

    /// The lines of its log with a message.
    pub fn log_lines(&self, message: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.folder.path().join("log")).unwrap();
        log.lines().filter(|line| line.contains(message)).map(str::to_owned).collect()
    }
}

impl Drop for GatewayChild {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a request on a new connection and reads the start of its answer, headers and up to a few bytes of body.
pub async fn call(address: SocketAddr, request: &[u8]) -> std::io::Result<String> {
    let mut socket = TcpStream::connect(address).await?;
    socket.write_all(request).await?;
    let (mut received, mut buffer) = (Vec::new(), [0; 4_096]);
    while !received.windows(4).any(|end| end == b"\r\n\r\n") {
        match socket.read(&mut buffer).await? {
            0 => break,
            length => received.extend_from_slice(&buffer[..length]),
        }
    }
    Ok(String::from_utf8_lossy(&received).into_owned())
}
