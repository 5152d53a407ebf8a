//! The admin port of an entry.

use crate::metrics::GaugeCollector;
use crate::state::EntryState;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oleander_adapters::admin::{AdminPort, ProcessHealth};
use oleander_adapters::http_server::{ResponseBody, json_response, text_response};
use oleander_ports::catalog::CatalogStatus;
use std::sync::Arc;

const REQUEST_PATH: &str = "/requests/";

/// Builds the admin port: health, metrics and `GET /requests/{id}`.
pub fn admin_port(state: &Arc<EntryState>) -> AdminPort {
    let gauge_state = Arc::clone(state);
    let registry = state.metrics.registry(GaugeCollector::new(move || gauge_state.gauges()));
    let health_state = Arc::clone(state);
    let trace_state = Arc::clone(state);
    AdminPort::new(registry, Arc::new(move || health(&health_state))).with_fallback(Arc::new(
        move |request, _| {
            let response = explain(&trace_state, &request);
            Box::pin(async move { response })
        },
    ))
}

fn health(state: &EntryState) -> ProcessHealth {
    if state.is_draining() {
        return ProcessHealth::NotReady(Arc::from("stopping"));
    }
    match state.parts.catalog.status() {
        CatalogStatus::InForce => ProcessHealth::Ready,
        CatalogStatus::Missing => ProcessHealth::NotReady(Arc::from("no catalog yet")),
        CatalogStatus::CutOff => ProcessHealth::NotReady(Arc::from("cut off")),
    }
}

/// Returns the trace of a request, which explains how it was routed.
fn explain(state: &EntryState, request: &Request<Incoming>) -> Response<ResponseBody> {
    let id = request.uri().path().strip_prefix(REQUEST_PATH);
    let (Some(id), &Method::GET) = (id, request.method()) else {
        return text_response(StatusCode::NOT_FOUND, "no such page\n");
    };
    let Ok(id) = id.parse() else {
        let help = "name a request as in x-oleander-request-id\n";
        return text_response(StatusCode::BAD_REQUEST, help);
    };
    match state.traces.find(id) {
        Some(trace) => json_response(StatusCode::OK, &trace),
        None => text_response(StatusCode::NOT_FOUND, "this host does not remember the request\n"),
    }
}
