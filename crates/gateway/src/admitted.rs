//! A request that is let in: its route, its account, its whole body and its time.

use crate::attempt::{OutgoingRequest, remove_hop_headers};
use crate::beliefs::Beliefs;
use crate::refusal::Refusal;
use crate::request_record::RequestRecord;
use crate::routes::{AccountSpec, Route, RouteTable};
use crate::state::GatewayState;
use crate::stop_state::takes_request;
use crate::wire_format::CallerHead;
use bytes::Bytes;
use http::header::{EXPECT, HOST};
use http::request::Parts;
use http::{Request, StatusCode};
use hyper::body::{Body, Incoming};
use oleander_adapters::http_server::{BodyReadError, read_body};
use oleander_core::ids::ServiceName;
use oleander_core::stable_hash::{hash_parts, unit_point};
use oleander_core::units::Timestamp;
use std::sync::Arc;
use std::time::Duration;

/// When to come back to a host that does not know the configuration yet.
const UNKNOWN_WAIT: Duration = Duration::from_millis(500);
/// Longest wait for the first beliefs: ten answers of the store from the farthest region.
const START_WAIT: Duration = Duration::from_millis(700);
const START_POLL: Duration = Duration::from_millis(20);
/// When to come back from a host that stops: at once, since another one answers.
const STOPPING_WAIT: Duration = Duration::from_millis(50);
/// When to come back to a host that holds too many bytes.
const CROWDED_WAIT: Duration = Duration::from_millis(700);
/// Part of the process's memory that bodies of requests may take.
const BUFFER_SHARE: u64 = 4;
/// Time that a caller waits when it does not say: the route's timeout bounds it anyway.
const UNSAID_PATIENCE: Duration = Duration::from_secs(3_600);

/// A request that is let in.
pub struct AdmittedRequest {
    /// Its route.
    pub route: Arc<Route>,
    /// The service that answers it.
    pub service: ServiceName,
    /// Its account, where keys are needed.
    pub account: Option<Arc<AccountSpec>>,
    /// What the caller says.
    pub head: CallerHead,
    /// What goes to upstreams.
    pub outgoing: OutgoingRequest,
    /// The picture that it was let in on.
    pub beliefs: Arc<Beliefs>,
    /// What names its session for roll-outs.
    pub session: Arc<str>,
    /// What it shares with other requests that should stay together.
    pub shared: Option<SharedPrompt>,
    /// When it came.
    pub started: Timestamp,
    /// When its time is over.
    pub ends: Timestamp,
    /// Bytes that are held; given back when this is dropped.
    _hold: BufferHold,
}

impl AdmittedRequest {
    /// Rank of the request; 0 is served first.
    #[must_use]
    pub fn rank(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.rank);
        account.unwrap_or(self.route.rank)
    }
}

/// The start of a prompt that requests share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedPrompt {
    /// Id of its last part, which stands for those before it.
    pub id: Arc<str>,
    /// Its tokens.
    pub tokens: u32,
}

/// Bytes of a request that are held in memory.
struct BufferHold {
    state: Arc<GatewayState>,
    bytes: i64,
}

impl BufferHold {
    fn take(state: &Arc<GatewayState>, bytes: i64) -> Result<Self, Refusal> {
        let before = state.metrics.add_buffered(bytes);
        let hold = Self { state: Arc::clone(state), bytes };
        let most =
            i64::try_from(state.settings.load().memory_bytes / BUFFER_SHARE).unwrap_or(i64::MAX);
        if before > 0 && before.saturating_add(bytes) > most {
            let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "too many bytes are held");
            return Err(refusal.with_retry_after(CROWDED_WAIT));
        }
        Ok(hold)
    }
}

impl Drop for BufferHold {
    fn drop(&mut self) {
        self.state.metrics.add_buffered(-self.bytes);
    }
}

/// Lets a request in, or says why not.
///
/// # Errors
///
/// [`Refusal`]: nothing was sent to any upstream.
pub async fn admit(
    state: &Arc<GatewayState>,
    request: Request<Incoming>,
    record: &mut RequestRecord,
) -> Result<AdmittedRequest, Refusal> {
    let started = state.clock.now();
    let beliefs = known_beliefs(state).await;
    let (parts, body) = request.into_parts();
    let unknown = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no configuration is known yet")
        .with_retry_after(UNKNOWN_WAIT);
    let Some(table) = beliefs.routes.clone().filter(|_| beliefs.complete) else {
        return Err(unknown);
    };
    let head = (state.wire.read_caller)(&parts.headers);
    let route = find_route(&table, &parts)?;
    let stopping = state.stop.since(started);
    let patience = state.settings.load().bounds.stop();
    if stopping.is_some_and(|since| !takes_request(since, patience, route.repeat.is_stream())) {
        let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "this host is stopping");
        return Err(refusal.with_retry_after(STOPPING_WAIT));
    }
    let account = find_account(&table, &route, &head)?;
    record.note_route(&route.name, account.as_ref().map(|account| &account.name), table.version());
    let patience = head.patience.unwrap_or(UNSAID_PATIENCE).min(route.timeout);
    let ends = started + patience;
    let limit = table.limits().body_bytes;
    let (body, hold) = read_request(state, body, limit, patience).await?;
    let session = session_of(&head);
    record.note_session(&session);
    let shared = shared_of(&head);
    let point = unit_point(hash_parts(&["split", &route.name, &session]));
    let service = route.target(point).cloned().ok_or_else(|| {
        Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "the route names no service")
            .with_retry_after(UNKNOWN_WAIT)
    })?;
    let outgoing = outgoing(state, parts, body, &route);
    Ok(AdmittedRequest {
        route,
        service,
        account,
        head,
        outgoing,
        beliefs,
        session,
        shared,
        started,
        ends,
        _hold: hold,
    })
}

/// What is believed; a process that has just started waits for its first beliefs, which take a
/// few calls, rather than sending the caller away.
async fn known_beliefs(state: &GatewayState) -> Arc<Beliefs> {
    let known = async {
        loop {
            let beliefs = state.beliefs.load_full();
            if beliefs.complete {
                return beliefs;
            }
            tokio::time::sleep(START_POLL).await;
        }
    };
    let found = tokio::time::timeout(START_WAIT, known).await;
    found.unwrap_or_else(|_| state.beliefs.load_full())
}

fn find_route(table: &RouteTable, parts: &Parts) -> Result<Arc<Route>, Refusal> {
    let bytes: usize =
        parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    if bytes > table.limits().head_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(Refusal::new(status, "the head of the request is too large"));
    }
    let named = parts.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = parts.uri.host().or(named).unwrap_or("");
    let found = table.find(host, parts.uri.path());
    found.cloned().ok_or_else(|| Refusal::new(StatusCode::NOT_FOUND, "no route serves this path"))
}

fn find_account(
    table: &RouteTable,
    route: &Route,
    head: &CallerHead,
) -> Result<Option<Arc<AccountSpec>>, Refusal> {
    let found = head.key.as_deref().and_then(|key| table.account(key)).cloned();
    if found.is_none() && table.needs_keys() && !route.public {
        return Err(Refusal::new(StatusCode::UNAUTHORIZED, "the key is not known"));
    }
    Ok(found)
}

async fn read_request(
    state: &Arc<GatewayState>,
    body: Incoming,
    limit: usize,
    patience: Duration,
) -> Result<(Bytes, BufferHold), Refusal> {
    let stated = body.size_hint().exact();
    if stated.is_some_and(|bytes| bytes > limit as u64) {
        return Err(Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
    }
    // A body of unknown length is counted with a tenth of the limit until it is read.
    let counted = stated.unwrap_or(limit as u64 / 10);
    let hold = BufferHold::take(state, i64::try_from(counted).unwrap_or(i64::MAX))?;
    let read = tokio::time::timeout(patience, read_body(body, limit)).await;
    match read {
        Ok(Ok(body)) => Ok((body, hold)),
        Ok(Err(BodyReadError::TooLarge(_))) => {
            Err(Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"))
        }
        Ok(Err(BodyReadError::Truncated(_))) => {
            Err(Refusal::new(StatusCode::BAD_REQUEST, "the body was cut"))
        }
        Err(_) => Err(Refusal::new(StatusCode::REQUEST_TIMEOUT, "the body took too long")),
    }
}

fn outgoing(state: &GatewayState, parts: Parts, body: Bytes, route: &Route) -> OutgoingRequest {
    let mut headers = parts.headers;
    remove_hop_headers(&mut headers);
    headers.remove(EXPECT);
    (state.wire.clean_caller)(&mut headers);
    OutgoingRequest {
        method: parts.method,
        target: parts.uri,
        headers,
        body,
        may_reuse: route.repeat.may_repeat(),
    }
}

/// What names the session of a request: what the caller says, the prompt's own last part, or
/// the request alone.
fn session_of(head: &CallerHead) -> Arc<str> {
    if let Some(session) = &head.session {
        return Arc::clone(session);
    }
    if let Some(part) = head.parts.last() {
        return Arc::clone(&part.id);
    }
    let id = head.request.as_ref().and_then(|id| id.to_str().ok());
    Arc::from(id.unwrap_or(""))
}

/// The start of the prompt that others may share: all parts but the last one, which is the
/// request's own.
fn shared_of(head: &CallerHead) -> Option<SharedPrompt> {
    let (_, shared) = head.parts.split_last()?;
    let last = shared.last()?;
    let tokens = shared.iter().map(|part| part.tokens).fold(0, u32::saturating_add);
    Some(SharedPrompt { id: Arc::clone(&last.id), tokens })
}
