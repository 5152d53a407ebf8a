//! Stand-in upstreams whose answers contain the request id, and the log of what they ran.

use crate::needs::CRASH_TARGET;
use crate::random::SeededRandom;
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
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// Number of events of a complete stream.
pub const EVENTS_PER_STREAM: u64 = 24;
/// Request id that no caller sent.
const OTHER_REQUEST_ID: &str = "0123456789";
/// Interval between events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Pause that an upstream asks for.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Version whose upstreams fail by injected faults only.
pub const SOUND_VERSION: &str = "v1";
/// Failures of the other versions, in thousandths of requests.
const BAD_SHARE: u64 = 750;
/// Time after which a request crashes the upstream that runs it.
const CRASH_DELAY: Duration = Duration::from_millis(40);
/// Rejections a second that a brittle upstream bears.
const MAX_REJECTED: usize = 3;
/// Processing time of a request before its answer starts.
const PROCESSING_TIME: Duration = Duration::from_millis(15);

/// A run of a request on an upstream.
#[derive(Clone, Debug)]
pub struct RecordedRun {
    pub upstream: String,
    pub at: Instant,
    /// Client account that the gateway sent.
    pub account: Option<String>,
    /// Whether the caller's key was forwarded.
    pub has_key: bool,
    /// The upstream's start if it says that it is leaving.
    pub departure: Option<UpstreamStart>,
    /// The upstream's version, and whether it answered with a failure of that version.
    pub version: &'static str,
    pub is_bad: bool,
}

/// A start of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamStart {
    pub number: u64,
    /// Unix time in milliseconds, as its registration row states it.
    born: u64,
}

impl UpstreamStart {
    fn now(number: u64) -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        Self { number, born: unix_time.as_millis() as u64 }
    }
}

/// A request that an upstream turned away with a pause, or any that arrived.
#[derive(Clone, Debug)]
pub struct RecordedArrival {
    pub upstream: String,
    pub id: String,
    pub at: Instant,
    /// The pause that it answered with.
    pub pause: Option<Duration>,
}

/// Log of the runs on all upstreams, by request id.
#[derive(Default)]
pub struct RunLog {
    runs: Mutex<HashMap<String, Vec<RecordedRun>>>,
    arrivals: Mutex<Vec<RecordedArrival>>,
    /// Requests whose answer an upstream broke off or replaced.
    broken: Mutex<HashSet<String>>,
    crashes: Mutex<Vec<Instant>>,
}

impl RunLog {
    fn record(&self, id: &str, run: RecordedRun) {
        self.runs.lock().unwrap().entry(id.to_owned()).or_default().push(run);
    }

    /// Runs of a request.
    pub fn runs(&self, id: &str) -> Vec<RecordedRun> {
        self.runs.lock().unwrap().get(id).cloned().unwrap_or_default()
    }

    /// All runs.
    pub fn all(&self) -> HashMap<String, Vec<RecordedRun>> {
        self.runs.lock().unwrap().clone()
    }

    fn record_broken(&self, id: &str) {
        self.broken.lock().unwrap().insert(id.to_owned());
    }

    /// Whether an upstream broke off or replaced an answer to a request.
    pub fn is_broken(&self, id: &str) -> bool {
        self.broken.lock().unwrap().contains(id)
    }

    /// Times at which upstreams crashed on a request.
    pub fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().unwrap().clone()
    }

    fn record_arrival(&self, arrival: RecordedArrival) {
        self.arrivals.lock().unwrap().push(arrival);
    }

    /// All arrivals, in order of time.
    pub fn arrivals(&self) -> Vec<RecordedArrival> {
        self.arrivals.lock().unwrap().clone()
    }
}

/// Faults of an upstream, each in thousandths of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamFaults {
    pub refused: u64,
    pub lost_answer: u64,
    pub wrong_answer: u64,
    pub missing_seal: u64,
    pub truncated_stream: u64,
    pub failed: u64,
    pub delayed: u64,
    /// Refused with the wish for a pause.
    pub paused: u64,
}

/// A stand-in upstream.
pub struct SoakUpstream {
    pub name: String,
    pub service: &'static str,
    pub version: &'static str,
    pub address: SocketAddr,
    log: Arc<RunLog>,
    faults: Mutex<UpstreamFaults>,
    /// The current start, and whether it says that it is leaving.
    start: Mutex<(UpstreamStart, bool)>,
    /// Connections of the current start.
    connections: Mutex<JoinSet<()>>,
    /// When each start but the first took the place of the one before.
    restarts: Mutex<Vec<Instant>>,
    silent_until: Arc<Mutex<Instant>>,
    /// The requests a second that it takes from all hosts, if it names a limit.
    limit: Mutex<Option<f64>>,
    /// Whether it is brittle, and when it turned requests away since.
    brittle: Mutex<Option<Vec<Instant>>>,
    crashed: Notify,
    random: SeededRandom,
}

impl SoakUpstream {
    /// Starts an upstream on a free port.
    pub async fn start(
        name: &str,
        service: &'static str,
        version: &'static str,
        log: Arc<RunLog>,
        seed: u64,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Arc::new(Self {
            name: name.to_owned(),
            service,
            version,
            address: listener.local_addr().unwrap(),
            log,
            faults: Mutex::default(),
            start: Mutex::new((UpstreamStart::now(1), false)),
            connections: Mutex::default(),
            restarts: Mutex::default(),
            silent_until: Arc::new(Mutex::new(Instant::now())),
            limit: Mutex::default(),
            brittle: Mutex::default(),
            crashed: Notify::new(),
            random: SeededRandom::new(seed),
        });
        let served = Arc::clone(&upstream);
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let upstream = Arc::clone(&served);
                let service = service_fn(move |request| {
                    let upstream = Arc::clone(&upstream);
                    async move { upstream.answer(request).await }
                });
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(socket), service);
                let mut connections = served.connections.lock().unwrap();
                while connections.try_join_next().is_some() {}
                connections.spawn(async move {
                    let _ = connection.await;
                });
            }
        });
        upstream
    }

    /// Sets how often each fault occurs.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        *self.faults.lock().unwrap() = faults;
    }

    /// Names a limit in all answers.
    pub fn set_limit(&self, per_second: f64) {
        *self.limit.lock().unwrap() = Some(per_second);
    }

    /// Sets whether it says that it is brittle, and falls over when it turns too many requests away.
    pub fn set_brittle(&self, is_brittle: bool) {
        *self.brittle.lock().unwrap() = is_brittle.then(Vec::new);
    }

    /// Records that it turned a request away; falls over if those of the last second are too many.
    fn record_rejection(&self) {
        let now = Instant::now();
        let falls = self.brittle.lock().unwrap().as_mut().is_some_and(|rejections| {
            rejections.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
            rejections.push(now);
            rejections.len() > MAX_REJECTED
        });
        if falls {
            self.set_brittle(true);
            self.restart();
        }
    }

    /// Resolves when a request crashes it.
    pub async fn next_crash(&self) {
        self.crashed.notified().await;
    }

    /// Makes all answers say that the upstream is leaving.
    pub fn begin_leaving(&self) {
        self.start.lock().unwrap().1 = true;
    }

    /// Starts anew under the same name; nothing of before is known, and connections are closed.
    pub fn restart(&self) {
        let mut connections = self.connections.lock().unwrap();
        let mut start = self.start.lock().unwrap();
        *start = (UpstreamStart::now(start.0.number + 1), false);
        connections.abort_all();
        self.restarts.lock().unwrap().push(Instant::now());
    }

    /// Whether a new start took the place of another in a span of time.
    pub fn was_restarted(&self, from: Instant, to: Instant) -> bool {
        self.restarts.lock().unwrap().iter().any(|at| (from..=to).contains(at))
    }

    /// Sends nothing for `span`, then goes on.
    pub fn fall_silent(&self, span: Duration) {
        *self.silent_until.lock().unwrap() = Instant::now() + span;
    }

    fn current_departure(&self) -> Option<UpstreamStart> {
        let (start, is_leaving) = *self.start.lock().unwrap();
        is_leaving.then_some(start)
    }

    /// Its registration row, with `address` as the address to call.
    pub fn row(&self, address: SocketAddr, state: &str) -> Value {
        json!({"service": self.service, "addr": address.to_string(), "zone": "here-a",
            "version": self.version, "slots": 32, "state": state, "cold_left_ms": 0, "seq": 1,
            "born": self.start.lock().unwrap().0.born})
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
        let is_bad = self.version != SOUND_VERSION && self.random.below(1_000) < BAD_SHARE;
        let run = RecordedRun {
            upstream: self.name.clone(),
            at: Instant::now(),
            account: text("tenant"),
            has_key: request.headers().contains_key("api-key"),
            departure: self.current_departure(),
            version: self.version,
            is_bad,
        };
        let is_crashing = request.uri().path() == CRASH_TARGET;
        let is_stream = request.uri().path().starts_with("/plan/")
            || request.uri().path().starts_with("/note/");
        drop(request.into_body().collect().await);
        let faults = *self.faults.lock().unwrap();
        let occurs = |share: u64| self.random.below(1_000) < share;
        if expected.is_some_and(|name| name != self.name) {
            return Ok(plain(StatusCode::MISDIRECTED_REQUEST, HeaderMap::new(), ""));
        }
        let pause = occurs(faults.paused).then_some(PAUSE);
        let (upstream, arrival_id) = (self.name.clone(), id.clone());
        let at = Instant::now();
        self.log.record_arrival(RecordedArrival { upstream, id: arrival_id, at, pause });
        if let Some(pause) = pause {
            let mut headers = self.limit_header();
            headers.insert("not-run", "1".parse().unwrap());
            headers.insert("retry-after", pause.as_secs_f64().to_string().parse().unwrap());
            return Ok(plain(StatusCode::SERVICE_UNAVAILABLE, headers, ""));
        }
        if occurs(faults.refused) {
            self.record_rejection();
            let mut headers = self.limit_header();
            headers.insert("not-run", "1".parse().unwrap());
            return Ok(plain(StatusCode::SERVICE_UNAVAILABLE, headers, ""));
        }
        if is_crashing {
            tokio::time::sleep(CRASH_DELAY).await;
            self.log.crashes.lock().unwrap().push(Instant::now());
            self.crashed.notify_one();
            return Err(std::io::Error::other("crashed"));
        }
        self.log.record(&id, run);
        if occurs(faults.delayed) {
            tokio::time::sleep(Duration::from_millis(900)).await;
        }
        tokio::time::sleep(PROCESSING_TIME).await;
        wait_while_silent(&self.silent_until).await;
        if occurs(faults.lost_answer) {
            self.log.record_broken(&id);
            return Err(std::io::Error::other("injected fault: lost answer"));
        }
        // The head and the body of a wrong answer name another request.
        let is_wrong = occurs(faults.wrong_answer);
        if is_wrong {
            self.log.record_broken(&id);
        }
        let id = if is_wrong { OTHER_REQUEST_ID.to_owned() } else { id };
        let mut headers = self.headers(&id, &faults);
        if self.current_departure().is_some() {
            headers.insert("server-leaving", "1".parse().unwrap());
        }
        if is_bad || occurs(faults.failed) {
            return Ok(plain(StatusCode::INTERNAL_SERVER_ERROR, headers, "failed"));
        }
        if is_stream {
            let is_truncated = occurs(faults.truncated_stream);
            if is_truncated {
                self.log.record_broken(&id);
            }
            return Ok(self.stream(&id, resumed, headers, is_truncated));
        }
        Ok(plain(StatusCode::OK, headers, &answer_of(&id)))
    }

    fn limit_header(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Some(limit) = *self.limit.lock().unwrap() {
            headers.insert("server-limit", limit.to_string().parse().unwrap());
        }
        if self.brittle.lock().unwrap().is_some() {
            headers.insert("server-brittle", MAX_REJECTED.to_string().parse().unwrap());
        }
        headers
    }

    fn headers(&self, id: &str, faults: &UpstreamFaults) -> HeaderMap {
        let mut headers = self.limit_header();
        headers.insert("attempt-id", id.parse().unwrap());
        headers.insert("runner-load", "1,0,32".parse().unwrap());
        headers.insert("confidence", self.random.below(101).to_string().parse().unwrap());
        if self.random.below(1_000) >= faults.missing_seal {
            headers.insert("runner-seal", format!("seal-of-{}", self.name).parse().unwrap());
        }
        headers
    }

    fn stream(
        &self,
        id: &str,
        after: u64,
        headers: HeaderMap,
        is_truncated: bool,
    ) -> Response<ResponseBody> {
        let id = id.to_owned();
        let truncate_at =
            if is_truncated { after + 1 + self.random.below(EVENTS_PER_STREAM) } else { u64::MAX };
        let silent_until = Arc::clone(&self.silent_until);
        let events = stream::unfold(after + 1, move |number| {
            let event = event_of(&id, number);
            let silent_until = Arc::clone(&silent_until);
            async move {
                if number > EVENTS_PER_STREAM {
                    return None;
                }
                tokio::time::sleep(EVENT_INTERVAL).await;
                wait_while_silent(&silent_until).await;
                if number >= truncate_at {
                    // The delay before lets earlier events leave the server's buffers.
                    return Some((
                        Err::<_, BodyError>("injected fault: truncated stream".into()),
                        number + 1,
                    ));
                }
                Some((Ok(Frame::data(Bytes::from(event))), number + 1))
            }
        });
        let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(events)));
        *response.headers_mut() = headers;
        response
    }
}

async fn wait_while_silent(silent_until: &Mutex<Instant>) {
    let until = *silent_until.lock().unwrap();
    tokio::time::sleep_until(until.into()).await;
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
