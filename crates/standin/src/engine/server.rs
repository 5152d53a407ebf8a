//! The engine's HTTP interface.

use crate::engine::{EngineStandin, chat, orders};
use crate::faults::FaultAction;
use crate::platform::bad_request;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oleander_adapters::http_server::{
    HttpHandler, ResponseBody, full_body, json_response, read_body, text_response,
};
use oleander_adapters::platform::wire::{decode_text, query_value};
use oleander_core::units::Timestamp;
use oleander_ports::clock::{ClockPort, SystemClock};
use oleander_ports::upstream::{LOAD_HEADER, LoadReport, NOT_RUN_HEADER, Order};
use std::net::SocketAddr;
use std::sync::Arc;

const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Creates the HTTP handler of an engine.
pub(super) fn handler(engine: &EngineStandin) -> HttpHandler {
    let engine = engine.clone();
    Arc::new(move |request, peer| Box::pin(handle(engine.clone(), request, peer)))
}

async fn handle(
    engine: EngineStandin,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<ResponseBody> {
    let action = engine.faults.begin_call(peer).await;
    if action == FaultAction::Refuse {
        return not_run(&engine, "the engine is down");
    }
    let mut response = route(&engine, request, peer).await;
    if action == FaultAction::LoseReply {
        std::future::pending::<()>().await;
    }
    engine.faults.hang_if_silenced(peer).await;
    add_load_header(&engine, &mut response);
    response
}

async fn route(
    engine: &EngineStandin,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/v1/chat/completions") => chat::complete(engine, request, peer).await,
        (Method::GET, "/load") => json_response(StatusCode::OK, &load_report(engine)),
        (Method::GET, "/cache-events") => cache_events(engine, request.uri().query()),
        (Method::POST, "/orders") => order(engine, request).await,
        (Method::POST, path) if path.ends_with("/cancel") => cancel(engine, path),
        (Method::GET, path) if path.starts_with("/kv/") => export_prefix(engine, path),
        (Method::PUT, path) if path.starts_with("/kv/") => import_prefix(engine, path),
        _ => text_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

/// The response to a call that was refused without being run.
pub(super) fn not_run(engine: &EngineStandin, reason: &str) -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.headers_mut().insert(NOT_RUN_HEADER, HeaderValue::from_static("1"));
    add_load_header(engine, &mut response);
    response
}

fn add_load_header(engine: &EngineStandin, response: &mut Response<ResponseBody>) {
    let (running, queued) = engine.queue.load();
    if let Ok(value) = HeaderValue::from_str(&format!("{running}/{queued}")) {
        response.headers_mut().insert(LOAD_HEADER, value);
    }
}

fn now() -> Timestamp {
    SystemClock.now()
}

fn load_report(engine: &EngineStandin) -> LoadReport {
    let (running, queued) = engine.queue.load();
    let state = engine.lock();
    LoadReport {
        incarnation: engine.settings.incarnation,
        running,
        queued,
        versions: state.versions.ready(),
        leaving: state.leaving,
        reported_at: now(),
    }
}

fn cache_events(engine: &EngineStandin, query: Option<&str>) -> Response<ResponseBody> {
    let since = query_value(query, "since").and_then(|text| text.parse().ok()).unwrap_or(0);
    json_response(StatusCode::OK, &engine.lock().prefixes.events(since))
}

async fn order(engine: &EngineStandin, request: Request<Incoming>) -> Response<ResponseBody> {
    let body = match read_body(request.into_body(), MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return bad_request(&error.to_string()),
    };
    let order: Order = match serde_json::from_slice(&body) {
        Ok(order) => order,
        Err(error) => return bad_request(&error.to_string()),
    };
    match orders::apply_order(&mut engine.lock(), &engine.settings, order) {
        Ok(()) => json_response(StatusCode::OK, &()),
        Err(highest) => json_response(StatusCode::CONFLICT, &highest),
    }
}

fn cancel(engine: &EngineStandin, path: &str) -> Response<ResponseBody> {
    let attempt = path.strip_prefix("/v1/attempts/").and_then(|rest| rest.strip_suffix("/cancel"));
    match attempt.and_then(|text| text.parse().ok()) {
        Some(attempt) => {
            engine.lock().cancelled.insert(attempt);
            json_response(StatusCode::OK, &())
        }
        None => bad_request("the path names no attempt"),
    }
}

fn prefix_of(path: &str) -> Option<Arc<str>> {
    path.strip_prefix("/kv/").and_then(decode_text).map(Arc::from)
}

fn export_prefix(engine: &EngineStandin, path: &str) -> Response<ResponseBody> {
    match prefix_of(path) {
        Some(prefix) if engine.lock().prefixes.contains(&prefix) => {
            Response::new(full_body(format!("kv:{prefix}")))
        }
        _ => text_response(StatusCode::NOT_FOUND, "the prefix is not cached"),
    }
}

fn import_prefix(engine: &EngineStandin, path: &str) -> Response<ResponseBody> {
    match prefix_of(path) {
        Some(prefix) => {
            engine.lock().prefixes.touch(&prefix);
            json_response(StatusCode::OK, &())
        }
        None => bad_request("the path names no prefix"),
    }
}
