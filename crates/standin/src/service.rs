//! A stand-in for an instance of a service that is not a model engine.

use crate::engine::RunRecord;
use crate::faults::{FaultAction, FaultSwitch};
use crate::platform::bad_request;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oleander_adapters::http_server::{
    HttpHandler, ResponseBody, json_response, read_body, text_response,
};
use oleander_core::ids::{AttemptId, Incarnation, UpstreamName};
use oleander_history::{HistoryRecorder, SeenEvent, text_digest};
use oleander_ports::clock::{ClockPort, SystemClock};
use oleander_ports::upstream::{ATTEMPT_HEADER, LoadReport, NOT_RUN_HEADER};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

const MAX_BODY_BYTES: usize = 1024 * 1024;

/// A service instance that runs every call. Clones share its state.
#[derive(Clone)]
pub struct ServiceStandin {
    name: UpstreamName,
    faults: FaultSwitch,
    recorder: HistoryRecorder,
    non_idempotent_paths: Arc<[Arc<str>]>,
    running: Arc<AtomicU32>,
    leaving: Arc<AtomicBool>,
    runs: Arc<Mutex<Vec<RunRecord>>>,
}

impl ServiceStandin {
    /// Creates an instance that does not listen yet.
    #[must_use]
    pub fn new(name: UpstreamName) -> Self {
        Self {
            name,
            faults: FaultSwitch::new(),
            recorder: HistoryRecorder::off(),
            non_idempotent_paths: Arc::default(),
            running: Arc::default(),
            leaving: Arc::default(),
            runs: Arc::default(),
        }
    }

    /// Sets the recorder. A run at one of `paths` is recorded as a non-idempotent operation.
    #[must_use]
    pub fn with_recorder(mut self, recorder: HistoryRecorder, paths: Arc<[Arc<str>]>) -> Self {
        self.recorder = recorder;
        self.non_idempotent_paths = paths;
        self
    }

    /// Serves on `address` on a separate task; returns the bound address.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start(&self, address: SocketAddr) -> anyhow::Result<SocketAddr> {
        let service = self.clone();
        let handler: HttpHandler =
            Arc::new(move |request, peer| Box::pin(handle(service.clone(), request, peer)));
        crate::platform::spawn_server(address, handler).await
    }

    /// The name of the instance.
    #[must_use]
    pub const fn name(&self) -> &UpstreamName {
        &self.name
    }

    /// The faults of the instance.
    #[must_use]
    pub const fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    /// Sets whether the load reports say that the instance is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Calls that were run so far, oldest first.
    #[must_use]
    pub fn runs(&self) -> Vec<RunRecord> {
        self.lock().clone()
    }

    /// Records a run and returns its number, starting at 1.
    fn record_run(&self, attempt: &str, item: &str) -> usize {
        let mut runs = self.lock();
        let (attempt, item) = (Arc::from(attempt), Arc::from(item));
        runs.push(RunRecord { attempt, item, finished: true });
        runs.len()
    }

    fn record(&self, attempt: AttemptId, item: &str, answer: &str, non_idempotent: bool) {
        let now = SystemClock.now();
        let upstream = self.name.clone();
        if non_idempotent {
            let (upstream, operation) = (upstream.clone(), Arc::from(item));
            let seen = SeenEvent::OperationRan { upstream, attempt, operation, key: None };
            self.recorder.record(now, self.name.as_str(), seen);
        }
        let answer = text_digest(answer);
        let seen = SeenEvent::AttemptEnded { upstream, attempt, answer };
        self.recorder.record(now, self.name.as_str(), seen);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RunRecord>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn handle(
    service: ServiceStandin,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<ResponseBody> {
    let action = service.faults.begin_call(peer).await;
    if action == FaultAction::Refuse {
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "the service is down");
        response.headers_mut().insert(NOT_RUN_HEADER, HeaderValue::from_static("1"));
        return response;
    }
    let response = match (request.method(), request.uri().path()) {
        (&Method::GET, "/load") => json_response(StatusCode::OK, &load_report(&service)),
        _ => run(&service, request).await,
    };
    if action == FaultAction::LoseReply {
        std::future::pending::<()>().await;
    }
    service.faults.hang_if_silenced(peer).await;
    response
}

fn load_report(service: &ServiceStandin) -> LoadReport {
    LoadReport {
        incarnation: Incarnation::new(1),
        running: service.running.load(Ordering::Relaxed),
        queued: 0,
        versions: Vec::new(),
        leaving: service.leaving.load(Ordering::Relaxed),
        reported_at: SystemClock.now(),
    }
}

async fn run(service: &ServiceStandin, request: Request<Incoming>) -> Response<ResponseBody> {
    let item = format!("{} {}", request.method(), request.uri().path());
    let non_idempotent =
        service.non_idempotent_paths.iter().any(|path| **path == *request.uri().path());
    let attempt = request.headers().get(ATTEMPT_HEADER).cloned();
    service.running.fetch_add(1, Ordering::Relaxed);
    let body = read_body(request.into_body(), MAX_BODY_BYTES).await;
    service.running.fetch_sub(1, Ordering::Relaxed);
    let body = match body {
        Ok(body) => body,
        Err(error) => return bad_request(&error.to_string()),
    };
    let sent = attempt.as_ref().and_then(|value| value.to_str().ok()).unwrap_or_default();
    let number = service.record_run(sent, &item);
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let answer = json!({ "call": item, "run": number, "received": body });
    if let Ok(attempt) = sent.parse() {
        service.record(attempt, &item, &answer.to_string(), non_idempotent);
    }
    let mut response = json_response(StatusCode::OK, &answer);
    if let Some(attempt) = attempt {
        response.headers_mut().insert(ATTEMPT_HEADER, attempt);
    }
    response
}
