//! Paths of the callers' port.

use crate::account::{AccountView, find_account};
use crate::model_list::list_models;
use crate::refusal::Refusal;
use crate::state::EntryState;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oleander_adapters::http_server::{ResponseBody, json_response};
use oleander_core::reason::Reason;
use oleander_ports::catalog::CatalogStanding;
use std::sync::Arc;
use std::time::Duration;

/// When a caller may come back to a host that is not in contact.
const STANDING_RETRY: Duration = Duration::from_secs(2);

/// Answers one request of a caller.
pub async fn answer(state: Arc<EntryState>, request: Request<Incoming>) -> Response<ResponseBody> {
    route(&state, request).await.unwrap_or_else(|refusal| refusal.response())
}

async fn route(
    state: &Arc<EntryState>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/models") => {
            let account = admit_account(state, &request)?;
            Ok(json_response(StatusCode::OK, &list_models(&account)))
        }
        _ => Err(Refusal::new(Reason::NotFound, format!("no such path: {path}"))),
    }
}

fn admit_account(state: &EntryState, request: &Request<Incoming>) -> Result<AccountView, Refusal> {
    let refuse =
        |message| Refusal::new(Reason::NoCatalog, message).with_retry_after(STANDING_RETRY);
    match state.parts.catalog.standing() {
        CatalogStanding::InForce => {}
        CatalogStanding::Missing => return Err(refuse("this host has no catalog yet")),
        CatalogStanding::CutOff => return Err(refuse("this host is cut off from the system")),
    }
    find_account(request.headers(), state.parts.catalog.snapshot())
}
