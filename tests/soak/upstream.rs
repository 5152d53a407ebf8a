//! Stand-ins for upstreams whose answers name the request, and what they ran.

use crate::draw::Draw;
use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use oleander_adapters::http_server::{BodyError, ResponseBody};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Events of a whole stream.
pub const EVENTS: u64 = 24;
/// Id of a request that nobody sent.
const FOREIGN: &str = "0123456789";
/// Time between events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(25);
/// Time that a plain request takes.
const WORK: Duration = Duration::from_millis(15);

/// A request that an upstream began to run.
#[derive(Clone, Debug)]
pub struct SeenRun {
    pub upstream: String,
    pub at: Instant,
    /// The client account that the router named.
    pub account: Option<String>,
    /// Whether the caller's key was passed on.
    pub has_key: bool,
}

/// What all upstreams ran, by the request's id.
#[derive(Default)]
pub struct RunLog(Mutex<HashMap<String, Vec<SeenRun>>>);

impl RunLog {
    fn note(&self, id: &str, run: SeenRun) {
        self.0.lock().unwrap().entry(id.to_owned()).or_default().push(run);
    }

    /// Runs of a request.
    pub fn runs(&self, id: &str) -> Vec<SeenRun> {
        self.0.lock().unwrap().get(id).cloned().unwrap_or_default()
    }

    /// All runs.
    pub fn all(&self) -> HashMap<String, Vec<SeenRun>> {
        self.0.lock().unwrap().clone()
    }
}

/// How often an upstream misbehaves, in thousandths of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mischief {
    pub full: u64,
    pub lost_answer: u64,
    pub foreign_answer: u64,
    pub unsealed: u64,
    pub cut_stream: u64,
    pub failed: u64,
    pub late: u64,
}

/// One upstream.
pub struct SoakUpstream {
    pub name: String,
    pub service: &'static str,
    pub address: SocketAddr,
    log: Arc<RunLog>,
    mischief: Mutex<Mischief>,
    draw: Draw,
}

impl SoakUpstream {
    /// Starts one.
    pub async fn start(
        name: &str,
        service: &'static str,
        log: Arc<RunLog>,
        seed: u64,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Arc::new(Self {
            name: name.to_owned(),
            service,
            address: listener.local_addr().unwrap(),
            log,
            mischief: Mutex::default(),
            draw: Draw::new(seed),
        });
        let served = Arc::clone(&upstream);
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let upstream = Arc::clone(&served);
                let service = service_fn(move |request| {
                    let upstream = Arc::clone(&upstream);
                    async move { upstream.answer(request).await }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(socket), service));
            }
        });
        upstream
    }

    /// Sets how it misbehaves.
    pub fn set_mischief(&self, mischief: Mischief) {
        *self.mischief.lock().unwrap() = mischief;
    }

    /// The row by which it registers, reached at `address`.
    pub fn row(&self, address: SocketAddr, state: &str) -> Value {
        json!({"service": self.service, "addr": address.to_string(), "zone": "here-a",
            "version": "v1", "slots": 32, "state": state, "cold_left_ms": 0, "seq": 1})
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, std::io::Error> {
        let text = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let (id, expected) = (text("attempt-id").unwrap_or_default(), text("expect-runner"));
        let resumed = text("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let run = SeenRun {
            upstream: self.name.clone(),
            at: Instant::now(),
            account: text("tenant"),
            has_key: request.headers().contains_key("api-key"),
        };
        let is_stream = request.uri().path().starts_with("/plan/")
            || request.uri().path().starts_with("/note/");
        drop(request.into_body().collect().await);
        let mischief = *self.mischief.lock().unwrap();
        let happens = |share: u64| self.draw.below(1_000) < share;
        if expected.is_some_and(|name| name != self.name) {
            return Ok(plain(StatusCode::MISDIRECTED_REQUEST, HeaderMap::new(), ""));
        }
        if happens(mischief.full) {
            let mut headers = HeaderMap::new();
            headers.insert("not-run", "1".parse().unwrap());
            return Ok(plain(StatusCode::SERVICE_UNAVAILABLE, headers, ""));
        }
        self.log.note(&id, run);
        if happens(mischief.late) {
            tokio::time::sleep(Duration::from_millis(900)).await;
        }
        tokio::time::sleep(WORK).await;
        if happens(mischief.lost_answer) {
            return Err(std::io::Error::other("the answer is lost"));
        }
        // An answer that belongs to another request, in its head and its body.
        let id = if happens(mischief.foreign_answer) { FOREIGN.to_owned() } else { id };
        let headers = self.headers(&id, &mischief);
        if happens(mischief.failed) {
            return Ok(plain(StatusCode::INTERNAL_SERVER_ERROR, headers, "failed"));
        }
        if is_stream {
            let broken = happens(mischief.cut_stream);
            return Ok(self.stream(&id, resumed, headers, broken));
        }
        Ok(plain(StatusCode::OK, headers, &answer_of(&id)))
    }

    fn headers(&self, id: &str, mischief: &Mischief) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert("attempt-id", id.parse().unwrap());
        headers.insert("runner-load", "1,0,32".parse().unwrap());
        headers.insert("confidence", self.draw.below(101).to_string().parse().unwrap());
        if self.draw.below(1_000) >= mischief.unsealed {
            headers.insert("runner-seal", format!("seal-of-{}", self.name).parse().unwrap());
        }
        headers
    }

    fn stream(
        &self,
        id: &str,
        after: u64,
        headers: HeaderMap,
        broken: bool,
    ) -> Response<ResponseBody> {
        let id = id.to_owned();
        let breaks_at = if broken { after + 1 + self.draw.below(EVENTS) } else { u64::MAX };
        let states = stream::unfold(after + 1, move |number| {
            let event = event_of(&id, number);
            async move {
                if number > EVENTS {
                    return None;
                }
                tokio::time::sleep(EVENT_GAP).await;
                if number >= breaks_at {
                    // What was written before leaves the server's buffers meanwhile.
                    return Some((Err::<_, BodyError>("the stream breaks".into()), number + 1));
                }
                Some((Ok(Frame::data(Bytes::from(event))), number + 1))
            }
        });
        let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(states)));
        *response.headers_mut() = headers;
        response
    }
}

/// The body that answers a request.
pub fn answer_of(id: &str) -> String {
    format!("answer to {id}")
}

/// One event of the stream that answers a request.
pub fn event_of(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

fn plain(status: StatusCode, headers: HeaderMap, body: &str) -> Response<ResponseBody> {
    let body = Full::new(Bytes::from(body.to_owned())).map_err(|never| match never {});
    let mut response = Response::new(BodyExt::boxed_unsync(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
