//! Routes of the callers' port.

use crate::account::{AccountView, find_account};
use crate::chat::answer_chat;
use crate::headers::{REQUEST_HEADER, set_header};
use crate::model_list::list_models;
use crate::refusal::Refusal;
use crate::request_body::read_request_body;
use crate::service_call::answer_service;
use crate::service_request::{CallInput, MAX_SERVICE_BODY, SERVICE_PATH};
use crate::state::EntryState;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oleander_adapters::http_server::{ResponseBody, json_response};
use oleander_adapters::traces::set_parent;
use oleander_core::ids::RequestId;
use oleander_core::reason::Reason;
use oleander_ports::catalog::CatalogStatus;
use std::sync::Arc;
use std::time::Duration;
use tracing::Instrument;

/// `Retry-After` when the host has no catalog or is cut off from the system.
const NO_CATALOG_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Handles one request of a caller.
pub async fn handle(state: Arc<EntryState>, request: Request<Incoming>) -> Response<ResponseBody> {
    let run = state.rng.new_request_id(state.parts.clock.now());
    let span = tracing::info_span!("caller", request = %run, path = request.uri().path());
    set_parent(&span, request.headers());
    let result = route(&state, run, request).instrument(span).await;
    result.unwrap_or_else(|refusal| {
        state.metrics.count_refusal(refusal.reason);
        let mut response = refusal.response();
        set_header(response.headers_mut(), REQUEST_HEADER, &run.to_string());
        response
    })
}

async fn route(
    state: &Arc<EntryState>,
    run: RequestId,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/models") => {
            let account = admit_account(state, &request)?;
            Ok(json_response(StatusCode::OK, &list_models(&account)))
        }
        (&Method::POST, "/v1/chat/completions") => {
            let account = admit_account(state, &request)?;
            let (head, body) = request.into_parts();
            answer_chat(state, account, run, &head.headers, body).await
        }
        (&Method::GET | &Method::POST, path) if path.starts_with(SERVICE_PATH) => {
            let account = admit_account(state, &request)?;
            let (head, body) = request.into_parts();
            let body = read_request_body(body, MAX_SERVICE_BODY).await?;
            let query = head.uri.query();
            let parts = CallInput { path, query, headers: &head.headers, body };
            answer_service(state, account, run, parts).await
        }
        (method, path) => {
            let message = format!("nothing is served at {method} {path}");
            Err(Refusal::new(Reason::NotFound, message))
        }
    }
}

fn admit_account(state: &EntryState, request: &Request<Incoming>) -> Result<AccountView, Refusal> {
    let refuse =
        |message| Refusal::new(Reason::NoCatalog, message).with_retry_after(NO_CATALOG_RETRY_AFTER);
    match state.parts.catalog.status() {
        CatalogStatus::InForce => {}
        CatalogStatus::Missing => return Err(refuse("this host has no catalog yet")),
        CatalogStatus::CutOff => return Err(refuse("this host is cut off from the system")),
    }
    find_account(request.headers(), state.parts.catalog.snapshot())
}
