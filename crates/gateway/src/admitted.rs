//! Admission of requests: route, account, body and deadline.

use crate::attempt::{OutgoingRequest, remove_hop_headers};
use crate::control_cache::ControlSnapshot;
use crate::crash_guard::shared_parts;
use crate::refusal::Refusal;
use crate::request_record::RequestRecord;
use crate::routes::{AccountSpec, Route, RouteTable};
use crate::state::GatewayState;
use crate::wire_format::CallerHead;
use bytes::{Bytes, BytesMut};
use http::header::{EXPECT, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use oleander_adapters::connection_ledger::{HeldBytes, OpenConnection};
use oleander_core::connection_budget::ConnectionPhase;
use oleander_core::home_regions::HomeRegions;
use oleander_core::ids::ServiceName;
use oleander_core::part_quarantine::PartHash;
use oleander_core::request_hash::RequestHash;
use oleander_core::stable_hash::{hash_parts, unit_point};
use oleander_core::units::Timestamp;
use std::sync::Arc;
use std::time::Duration;

/// `Retry-After` of a host that has no configuration yet.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum wait for the first snapshot: ten round trips to the store from the farthest region.
const STARTUP_WAIT: Duration = Duration::from_millis(700);
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// `Retry-After` of a host that is stopping: short, since another host answers.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// `Retry-After` of a host that buffers too many bytes.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Request bodies may take this fraction (1/n) of the process's memory.
const BUFFER_MEMORY_DIVISOR: u64 = 4;
/// Size from which a body is read into one buffer of its stated size, in bytes.
const LARGE_BODY_BYTES: usize = 64 * 1024;
/// What a header field takes in a map beside its bytes.
const FIELD_COST: usize = 128;
/// Headers as received, and as sent to an upstream.
const HEADER_COPIES: usize = 2;
/// Maximum time and size for which the rest of a refused request's body is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// Timeout of a request that states none; the route's timeout applies anyway.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3_600);

/// A request that was admitted.
pub struct AdmittedRequest {
    /// Its route.
    pub route: Arc<Route>,
    /// The service that answers it.
    pub service: ServiceName,
    /// Its client account, where keys are required.
    pub account: Option<Arc<AccountSpec>>,
    /// Fields decoded from the request headers.
    pub head: CallerHead,
    /// The request as forwarded to upstreams.
    pub outgoing: OutgoingRequest,
    /// The snapshot that it was admitted on.
    pub snapshot: Arc<ControlSnapshot>,
    /// Session id used for rollouts.
    pub session: Arc<str>,
    /// Prompt prefix shared with other requests.
    pub shared_prefix: Option<SharedPrefix>,
    /// Parts of its prompt that other requests may share.
    pub parts: Vec<PartHash>,
    /// When it arrived.
    pub started: Timestamp,
    /// Its deadline.
    pub deadline: Timestamp,
    /// Version of the configuration that its home regions are of.
    homes_version: u64,
    /// Connection of its caller, whose budget counts what the request holds.
    pub connection: Option<Arc<OpenConnection>>,
    /// Buffered bytes, released on drop.
    _reservation: BufferReservation,
    /// Bytes of the headers, released on drop.
    _headers: Option<HeldBytes>,
}

impl AdmittedRequest {
    /// Hash of what the caller sends again when it repeats the request. Reads the whole body.
    #[must_use]
    pub fn hash(&self) -> RequestHash {
        let account = self.account.as_ref().map_or("", |account| &account.name);
        let host = self.outgoing.headers.get(HOST).map_or(&[][..], HeaderValue::as_bytes);
        let target = self.outgoing.target.to_string();
        let method = self.outgoing.method.as_str().as_bytes();
        let fields = [account.as_bytes(), host, method, target.as_bytes(), &self.outgoing.body];
        RequestHash::new(&fields)
    }

    /// Takes over the home regions of a newer configuration. A route or account that it no longer has
    /// keeps its homes.
    pub fn renew_home_regions(&mut self, table: &RouteTable) {
        if table.version() == self.homes_version {
            return;
        }
        let host = self.outgoing.headers.get(HOST).and_then(|host| host.to_str().ok());
        let route = table.find(host.unwrap_or_default(), self.outgoing.target.path());
        let account = self.head.key.as_ref().and_then(|key| table.account(key));
        let (route, account) = (route.unwrap_or(&self.route), account.or(self.account.as_ref()));
        self.outgoing.home_regions = home_regions(route, account);
        self.homes_version = table.version();
    }

    /// Priority of the request; 0 is served first.
    #[must_use]
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority)
    }
}

/// A prompt prefix that requests share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedPrefix {
    /// Id of its last part, which stands for those before it.
    pub id: Arc<str>,
    /// Length in tokens.
    pub tokens: u32,
}

/// Bytes of a request that are buffered in memory.
pub(crate) struct BufferReservation {
    state: Arc<GatewayState>,
    bytes: i64,
    /// The same bytes in the budget of a caller's connection.
    held: Option<HeldBytes>,
}

impl BufferReservation {
    pub(crate) fn reserve(state: &Arc<GatewayState>, bytes: i64) -> Result<Self, Refusal> {
        let mut reservation = Self { state: Arc::clone(state), bytes: 0, held: None };
        reservation.grow_to(bytes)?;
        Ok(reservation)
    }

    /// Counts nothing yet, for bytes that a caller sends.
    fn on_connection(state: &Arc<GatewayState>, held: Option<HeldBytes>) -> Self {
        Self { state: Arc::clone(state), bytes: 0, held }
    }

    /// Counts at least `bytes` in all.
    fn grow_to(&mut self, bytes: i64) -> Result<(), Refusal> {
        let added = bytes - self.bytes;
        if added <= 0 {
            return Ok(());
        }
        let before = self.state.metrics.add_buffered(added);
        let others = before - self.bytes;
        self.bytes = bytes;
        if let Some(held) = &mut self.held {
            let fits = held.grow_to(usize::try_from(bytes).unwrap_or(usize::MAX));
            return if fits { Ok(()) } else { Err(overload_refusal()) };
        }
        let memory = self.state.settings.load().memory_bytes;
        let max_bytes = i64::try_from(memory / BUFFER_MEMORY_DIVISOR).unwrap_or(i64::MAX);
        if others > 0 && others.saturating_add(bytes) > max_bytes {
            return Err(overload_refusal());
        }
        Ok(())
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.state.metrics.add_buffered(-self.bytes);
    }
}

/// The body of a request while it is read.
struct CallerBody {
    incoming: Incoming,
    /// Whether the rest is worth waiting for.
    is_expected: bool,
    connection: Option<Arc<OpenConnection>>,
}

impl CallerBody {
    fn set_phase(&self, phase: ConnectionPhase) {
        if let Some(connection) = &self.connection {
            connection.set_phase(phase);
        }
    }

    /// Lets the connection hold bytes, if there is a budget.
    fn hold(&self, bytes: usize) -> Result<Option<HeldBytes>, Refusal> {
        let Some(connection) = &self.connection else { return Ok(None) };
        connection.hold(bytes).map(Some).ok_or_else(overload_refusal)
    }

    /// Discards what is left, so that the caller gets its answer: closing a connection with unread
    /// bytes resets it, and the answer may be lost.
    async fn discard(&mut self, state: &GatewayState) {
        let left = self.incoming.size_hint().lower();
        if !self.is_expected || left > MAX_DISCARDED_BYTES as u64 {
            return;
        }
        let read = async {
            let mut discarded = 0;
            while let Some(Ok(frame)) = self.incoming.frame().await {
                discarded += frame.data_ref().map_or(0, Bytes::len);
                if discarded > MAX_DISCARDED_BYTES {
                    break;
                }
            }
        };
        let _ = state.within_time(state.clock.now() + DISCARD_TIMEOUT, read).await;
    }
}

/// Admits a request or refuses it with a reason.
///
/// # Errors
///
/// [`Refusal`]: nothing was sent to any upstream.
pub async fn admit(
    state: &Arc<GatewayState>,
    request: Request<Incoming>,
    record: &mut RequestRecord,
) -> Result<AdmittedRequest, Refusal> {
    let (mut parts, incoming) = request.into_parts();
    let connection = parts.extensions.remove::<Arc<OpenConnection>>();
    // A caller that waits for permission to send its body gets the answer instead.
    let is_expected = !parts.headers.contains_key(EXPECT);
    let mut body = CallerBody { incoming, is_expected, connection };
    let admitted = admit_parts(state, parts, &mut body, record).await;
    if admitted.is_err() {
        body.set_phase(ConnectionPhase::Body);
        body.discard(state).await;
        body.set_phase(ConnectionPhase::Served);
    }
    admitted
}

async fn admit_parts(
    state: &Arc<GatewayState>,
    parts: Parts,
    caller: &mut CallerBody,
    record: &mut RequestRecord,
) -> Result<AdmittedRequest, Refusal> {
    let started = state.clock.now();
    let held_headers = caller.hold(headers_cost(&parts.headers))?;
    let snapshot = wait_for_snapshot(state).await;
    let no_config = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no configuration is known yet")
        .with_retry_after(NO_CONFIG_RETRY_AFTER);
    let Some(table) = snapshot.routes.clone().filter(|_| snapshot.complete) else {
        return Err(no_config);
    };
    let head = (state.wire.read_caller)(&parts.headers);
    let route = find_route(&table, &parts)?;
    let timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    if !state.accepts_request(route.retry_policy.needed_time(timeout, None)) {
        return Err(stopping_refusal());
    }
    let account = find_account(&table, &route, &head)?;
    record.set_route(&route.name, account.as_ref().map(|account| &account.name), table.version());
    let deadline = started + timeout;
    let prompt_parts = shared_parts(&head);
    if let Some(wait) = state.crashes.blocked_for(&prompt_parts, started) {
        return Err(blocked_refusal(wait));
    }
    let limit = table.limits().max_body_bytes;
    let (body, reservation) = read_request(state, caller, limit, deadline).await?;
    let session = session_of(&head);
    record.set_session(&session);
    let shared_prefix = shared_prefix_of(&head);
    let point = unit_point(hash_parts(&["split", &route.name, &session]));
    let service = route.target(point).cloned().ok_or_else(|| {
        Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "the route names no service")
            .with_retry_after(NO_CONFIG_RETRY_AFTER)
    })?;
    let mut outgoing = outgoing(state, parts, body, &route);
    outgoing.home_regions = home_regions(&route, account.as_ref());
    let homes_version = table.version();
    Ok(AdmittedRequest {
        route,
        service,
        account,
        head,
        outgoing,
        snapshot,
        session,
        shared_prefix,
        parts: prompt_parts,
        started,
        deadline,
        homes_version,
        connection: caller.connection.take(),
        _reservation: reservation,
        _headers: held_headers,
    })
}

/// Refusal of a request that crashes upstreams, or has a part in its prompt that does.
pub(crate) const fn blocked_refusal(wait: Duration) -> Refusal {
    let reason = "upstreams crash on this request";
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason).with_retry_after(wait)
}

const fn overload_refusal() -> Refusal {
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "too many bytes are held")
        .with_retry_after(OVERLOAD_RETRY_AFTER)
}

/// Refusal of a request whose answer might not be complete before this host ends.
pub(crate) const fn stopping_refusal() -> Refusal {
    Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "this host is stopping")
        .with_retry_after(STOPPING_RETRY_AFTER)
}

/// The current snapshot. A process that has just started waits for its first snapshot, which takes
/// a few calls, rather than refusing the request.
async fn wait_for_snapshot(state: &GatewayState) -> Arc<ControlSnapshot> {
    let ready = async {
        loop {
            let snapshot = state.snapshot.load_full();
            if snapshot.complete {
                return snapshot;
            }
            tokio::time::sleep(STARTUP_POLL_INTERVAL).await;
        }
    };
    let found = tokio::time::timeout(STARTUP_WAIT, ready).await;
    found.unwrap_or_else(|_| state.snapshot.load_full())
}

fn find_route(table: &RouteTable, parts: &Parts) -> Result<Arc<Route>, Refusal> {
    let bytes: usize =
        parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    if bytes > table.limits().max_head_bytes {
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
    body: &mut CallerBody,
    limit: usize,
    deadline: Timestamp,
) -> Result<(Bytes, BufferReservation), Refusal> {
    let stated = body.incoming.size_hint().exact();
    if stated.is_some_and(|bytes| bytes > limit as u64) {
        return Err(Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
    }
    let mut reservation = BufferReservation::on_connection(state, body.hold(0)?);
    body.set_phase(ConnectionPhase::Body);
    let connection = body.connection.clone();
    let read = read_body(&mut body.incoming, limit, &mut reservation, connection.as_deref());
    let read = state.within_time(deadline, read).await;
    body.set_phase(ConnectionPhase::Served);
    body.is_expected &= read.is_some();
    match read {
        Some(read) => read.map(|body| (body, reservation)),
        None if state.clock.now() < deadline => Err(stopping_refusal()),
        None => Err(Refusal::new(StatusCode::REQUEST_TIMEOUT, "the body took too long")),
    }
}

pub(crate) async fn read_body(
    body: &mut Incoming,
    limit: usize,
    reservation: &mut BufferReservation,
    connection: Option<&OpenConnection>,
) -> Result<Bytes, Refusal> {
    let stated = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    // A small body is counted as soon as its size is known. It gets one buffer of that size, since a buffer that grows
    // leaves free parts behind that fit nothing else.
    let small = stated.filter(|stated| *stated <= LARGE_BODY_BYTES).unwrap_or_default();
    reservation.grow_to(i64::try_from(small).unwrap_or(i64::MAX))?;
    let mut buffer = BytesMut::with_capacity(small);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::new(StatusCode::BAD_REQUEST, "the body was cut"))?;
        let Ok(bytes) = frame.into_data() else { continue };
        if let Some(connection) = connection {
            connection.receive(bytes.len());
        }
        let length = buffer.len() + bytes.len();
        if length > limit {
            return Err(Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
        }
        reservation.grow_to(i64::try_from(length).unwrap_or(i64::MAX))?;
        // A caller that sends little of a large body does not get its buffer.
        if let Some(stated) = stated.filter(|_| length > LARGE_BODY_BYTES) {
            buffer.reserve(stated.saturating_sub(buffer.len()));
        }
        buffer.extend_from_slice(&bytes);
    }
    Ok(buffer.freeze())
}

/// Memory that the headers of a request take: the map and a copy of it for the upstream.
fn headers_cost(headers: &HeaderMap) -> usize {
    let bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    HEADER_COPIES * (bytes + headers.len() * FIELD_COST)
}

/// Regions in which a request may be served: homes of the route and of the account both bind.
fn home_regions(route: &Route, account: Option<&Arc<AccountSpec>>) -> HomeRegions {
    let homes = account.map(|account| &account.home_regions);
    homes.map_or_else(|| route.home_regions.clone(), |homes| route.home_regions.and(homes))
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
        may_reuse: route.retry_policy.allows_retry(),
        home_regions: HomeRegions::any(),
    }
}

/// Session id of a request: the one stated by the caller, else the last part of its prompt, else
/// the request id.
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

/// The prompt prefix that others may share: all parts but the last, which belongs to the request
/// itself.
fn shared_prefix_of(head: &CallerHead) -> Option<SharedPrefix> {
    let (_, shared) = head.parts.split_last()?;
    let last = shared.last()?;
    let tokens = shared.iter().map(|part| part.tokens).fold(0, u32::saturating_add);
    Some(SharedPrefix { id: Arc::clone(&last.id), tokens })
}
