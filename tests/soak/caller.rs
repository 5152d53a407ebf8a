//! Callers that keep connections open until the process is gone, and what they saw.

use crate::draw::Draw;
use crate::gateway::GatewayHost;
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Key of the callers' account.
pub const KEY: &str = "key-of-the-van";
/// Name of the callers' account.
pub const ACCOUNT: &str = "vans";
/// What a caller waits beyond its deadline before it leaves.
const CALLER_SLACK: Duration = Duration::from_millis(2_500);

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run any number of times.
    Look,
    /// Runs at most once.
    Order,
    /// A stream that may go on elsewhere.
    Plan,
    /// A stream that runs at most once.
    Note,
}

impl CallKind {
    /// Path of its route.
    pub fn path(self) -> &'static str {
        match self {
            Self::Look => "/look/",
            Self::Order => "/order/",
            Self::Plan => "/plan/",
            Self::Note => "/note/",
        }
    }

    /// Whether it runs at most once.
    pub fn runs_once(self) -> bool {
        matches!(self, Self::Order | Self::Note)
    }

    /// Whether its answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Plan | Self::Note)
    }

    /// Time after which it has its final answer, whatever became of it.
    pub fn deadline(self) -> Duration {
        Duration::from_millis(if self.is_stream() { 5_000 } else { 2_500 })
    }
}

/// What a caller saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// An answer; `whole` when its body came to its proper end.
    Answer { status: u16, body: String, whole: bool, sealed: bool, says_when: bool },
    /// The connection ended without one.
    NoAnswer,
    /// There was no connection.
    NoConnection,
    /// Nothing came until the caller left.
    Expired,
}

/// One request and what became of it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub id: String,
    pub kind: CallKind,
    pub host: usize,
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: CallOutcome,
}

/// What all callers saw.
#[derive(Default)]
pub struct CallLog {
    records: Mutex<Vec<CallRecord>>,
    number: AtomicU64,
}

impl CallLog {
    /// All requests so far.
    pub fn records(&self) -> Vec<CallRecord> {
        self.records.lock().unwrap().clone()
    }

    fn next_id(&self) -> String {
        format!("{:016x}", self.number.fetch_add(1, Ordering::Relaxed) + 0x9c41_0000)
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// A caller.
pub struct SoakCaller {
    hosts: Arc<Vec<GatewayHost>>,
    log: Arc<CallLog>,
    draw: Draw,
    /// Connections that are kept, by host.
    open: HashMap<usize, Sender>,
}

impl SoakCaller {
    /// A caller with draws of its own.
    pub fn new(hosts: Arc<Vec<GatewayHost>>, log: Arc<CallLog>, seed: u64) -> Self {
        Self { hosts, log, draw: Draw::new(seed), open: HashMap::new() }
    }

    /// Sends requests one after the other, `pause` apart, until `stop` says so.
    pub async fn run(mut self, pause: Duration, stop: watch::Receiver<bool>) {
        const KINDS: [CallKind; 10] = {
            use CallKind::{Look, Note, Order, Plan};
            [Look, Look, Look, Order, Order, Order, Plan, Plan, Plan, Note]
        };
        while !*stop.borrow() {
            let kind = *self.draw.pick(&KINDS);
            let host = self.draw.below(self.hosts.len() as u64) as usize;
            self.call(kind, host).await;
            tokio::time::sleep(pause).await;
        }
    }

    async fn call(&mut self, kind: CallKind, host: usize) {
        let id = self.log.next_id();
        let sent = Instant::now();
        let work =
            tokio::time::timeout(kind.deadline() + CALLER_SLACK, self.exchange(kind, host, &id));
        let outcome = work.await.unwrap_or(CallOutcome::Expired);
        let ended = Instant::now();
        let record = CallRecord { id, kind, host, sent, ended, outcome };
        self.log.records.lock().unwrap().push(record);
    }

    async fn exchange(&mut self, kind: CallKind, host: usize, id: &str) -> CallOutcome {
        let kept = self.open.remove(&host).filter(|sender| sender.is_ready());
        let mut sender = match kept {
            Some(sender) => sender,
            None => match connect(&self.hosts[host]).await {
                Some(sender) => sender,
                None => return CallOutcome::NoConnection,
            },
        };
        let method = if kind == CallKind::Look { Method::GET } else { Method::POST };
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{id}", kind.path()))
            .header("Host", "desk.example")
            .header("Attempt-Id", id)
            .header("Deadline-Ms", kind.deadline().as_millis().to_string())
            .header("Api-Key", KEY)
            .header("Tenant", "somebody-else");
        let request = if kind.is_stream() {
            let prefix = format!("aa{}:40,{id}:20", self.draw.below(5));
            request.header("Token-Count", "60,30").header("Prefix-Hash", prefix)
        } else {
            request
        };
        let request = if kind == CallKind::Plan { request.header("Model", "*") } else { request };
        let body = if kind == CallKind::Look { Bytes::new() } else { Bytes::from_static(b"body") };
        let Ok(response) = sender.send_request(request.body(Full::new(body)).unwrap()).await else {
            return CallOutcome::NoAnswer;
        };
        let (parts, mut body) = response.into_parts();
        let (mut bytes, mut whole) = (Vec::new(), true);
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
                Err(_) => {
                    whole = false;
                    break;
                }
            }
        }
        if whole {
            self.open.insert(host, sender);
        }
        CallOutcome::Answer {
            status: parts.status.as_u16(),
            body: String::from_utf8_lossy(&bytes).into_owned(),
            whole,
            sealed: parts.headers.contains_key("runner-seal"),
            says_when: parts.headers.contains_key("retry-after"),
        }
    }
}

async fn connect(host: &GatewayHost) -> Option<Sender> {
    let socket = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(host.callers));
    let (sender, connection) = handshake(TokioIo::new(socket.await.ok()?.ok()?)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}
