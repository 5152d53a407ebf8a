//! One attempt of a request at one upstream, up to the response headers.

use crate::carrier_client::send_carried;
use crate::fault::AttemptFault;
use crate::state::GatewayState;
use crate::upstream_connection::{AnswerBody, UpstreamConnection};
use crate::upstream_entry::UpstreamEntry;
use crate::upstream_handle::UpstreamPermit;
use crate::wire_format::{AnswerHead, UpstreamHead, WireFormat};
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderName};
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use oleander_core::attempt_retry::FaultKind;
use oleander_core::home_regions::HomeRegions;
use oleander_core::ids::ServiceName;
use oleander_core::reach_view::ServicePath;
use oleander_core::units::Timestamp;
use std::future::Future;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Hop-by-hop headers.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Margin kept below the idle timeout that an upstream announces, so that a request does not race
/// with the close.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Connect timeout. A lost SYN is retransmitted after a second, so another upstream is faster; the
/// farthest region answers within 70 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Connect timeout while the service is out of reach and no other host carries requests there.
const LOST_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time to connect, and time without the beginning of an answer, after which it is found out whether
/// the service is out of reach.
const SUSPECT_CONNECT: Duration = Duration::from_millis(150);
const SUSPECT_SILENCE: Duration = Duration::from_millis(600);
/// Statuses of answers that end an exchange; parsers also take numbers that stand for nothing.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Time for which a new connection must stay open to count as opened.
pub(crate) const OPEN_TIME: Duration = Duration::from_millis(30);

/// A request as forwarded to any upstream.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Request method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub target: Uri,
    /// The caller's headers without hop-by-hop headers and those reserved for the gateway.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Whether the request may be sent on a pooled connection.
    pub may_reuse: bool,
    /// Regions in which it may be served, and to whose hosts it may be sent.
    pub home_regions: HomeRegions,
}

/// How far an attempt got.
#[derive(Debug, Default)]
pub struct SendProgress(AtomicBool);

impl SendProgress {
    /// Records that from now on bytes of the request may have been sent.
    pub fn begin(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether bytes of the request may have been sent.
    #[must_use]
    pub fn is_sent(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// The fault of an attempt that took too long.
    #[must_use]
    pub fn timeout_fault(&self, text: &str) -> AttemptFault {
        let kind = if self.is_sent() { FaultKind::Silent } else { FaultKind::Connect };
        AttemptFault::new(kind, text)
    }
}

/// An upstream's response whose headers were received and match the request.
pub struct UpstreamAnswer {
    /// Response status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Fields decoded from the headers.
    pub head: AnswerHead,
    /// The body, still streaming.
    pub body: AnswerBody,
    /// The connection; closes when the answer is dropped.
    pub connection: UpstreamConnection,
    /// Counts the request as in flight at the upstream.
    pub permit: UpstreamPermit,
}

impl UpstreamAnswer {
    /// Returns the connection to the idle pool once the body has been read to the end.
    pub async fn release_connection(self, state: Arc<GatewayState>) {
        let Self { headers, mut connection, mut permit, body, .. } = self;
        permit.record_end();
        drop(body);
        let idle_time = idle_timeout(&headers);
        if idle_time == Some(Duration::ZERO) || !connection.is_reusable().await {
            return;
        }
        let now = state.clock.now();
        match connection.carried.take() {
            Some(carried) => state.links.keep(carried.carrier.address, connection, now),
            None => permit.upstream.keep_idle(connection, idle_time, now),
        }
    }
}

/// Idle timeout announced by a response; zero when the connection closes.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let tokens = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let closes = tokens
        .flat_map(|text| text.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"));
    if closes {
        return Some(Duration::ZERO);
    }
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let idle_time = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(idle_time.saturating_sub(IDLE_MARGIN))
}

/// Removes hop-by-hop headers, including those named by `Connection`.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|token| token.trim().parse().ok())
        .collect();
    named.iter().for_each(|name| {
        headers.remove(name);
    });
    HOP_HEADERS.iter().for_each(|name| {
        headers.remove(*name);
    });
}

/// Drops the request that calls this if its caller has left, as far as the kernel knows. The
/// connection may not have read its end yet, since a host that was paused or busy reads a request
/// without waiting for what came after it.
pub(crate) async fn notice_departure() {
    // The runtime polls for what has arrived before it wakes a task that yields, and a connection reads
    // before it continues its request. A task of its own, since anything may wake this one sooner.
    let _ = tokio::spawn(tokio::task::yield_now()).await;
}

/// Sends a request to an upstream and waits at most `timeout` for response headers.
///
/// # Errors
///
/// [`AttemptFault`], which states whether the request may have run.
pub async fn send_attempt(
    state: &Arc<GatewayState>,
    mut permit: UpstreamPermit,
    request: &OutgoingRequest,
    head: &UpstreamHead,
    timeout: Duration,
    progress: &SendProgress,
) -> Result<UpstreamAnswer, AttemptFault> {
    let path = state.reach.path(&permit.upstream.entry.service, state.clock.now());
    let work = async {
        match path {
            ServicePath::Carried => send_carried(state, &permit, request, head, progress).await,
            ServicePath::Direct | ServicePath::Lost => {
                exchange(state, &permit, request, head, progress).await
            }
        }
    };
    let (connection, response) =
        tokio::time::timeout(timeout, work).await.unwrap_or_else(|_| {
            Err(progress.timeout_fault(&format!("no response headers within {timeout:?}")))
        })?;
    let (parts, body) = response.into_parts();
    let (answer, checked) = record_answer(state, &mut permit, &parts, request, &connection);
    checked?;
    let (status, headers) = (parts.status, parts.headers);
    Ok(UpstreamAnswer { status, headers, head: answer, body, connection, permit })
}

/// Records what the headers of a response tell of the upstream; with whether they are of an answer to
/// the request.
pub(crate) fn record_answer(
    state: &GatewayState,
    permit: &mut UpstreamPermit,
    parts: &Parts,
    request: &OutgoingRequest,
    connection: &UpstreamConnection,
) -> (AnswerHead, Result<(), AttemptFault>) {
    let now = state.clock.now();
    let answer = (state.wire.read_answer)(&parts.headers);
    permit.record_head(answer.load);
    let is_other = parts.status == StatusCode::MISDIRECTED_REQUEST;
    // An answer with this status is of another upstream, which has taken over the address.
    if !is_other {
        permit.upstream.record_standing(parts.status, &answer, connection.opened_at, now);
    }
    let expected = expected_request_id(&state.wire, request);
    let checked = check_refusal(connection, parts.status, &answer)
        .and_then(|()| check_answer(&parts.status, &parts.headers, &answer, expected.as_ref()));
    if let Some(load) = answer.load.filter(|_| checked.is_ok()) {
        permit.record_run(load);
    }
    let is_own = answer.request == expected || (answer.not_run && answer.request.is_none());
    if !is_other && is_own {
        permit.upstream.record_limit(&answer, checked.is_ok(), now);
        permit.upstream.record_cold(&answer, now);
        let is_rejection = answer.not_run && parts.status == StatusCode::SERVICE_UNAVAILABLE;
        permit.upstream.record_places(&answer, (checked.is_ok(), is_rejection), now);
    }
    (answer, checked)
}

fn expected_request_id(wire: &WireFormat, request: &OutgoingRequest) -> Option<HeaderValue> {
    (wire.read_caller)(&request.headers).request
}

/// Sends a request on a connection of this host and waits for response headers.
///
/// # Errors
///
/// [`AttemptFault`], which states whether the request may have run.
pub(crate) async fn exchange(
    state: &GatewayState,
    permit: &UpstreamPermit,
    request: &OutgoingRequest,
    head: &UpstreamHead,
    progress: &SendProgress,
) -> Result<(UpstreamConnection, Response<AnswerBody>), AttemptFault> {
    let (wire, clock, service) = (&state.wire, &state.clock, &permit.upstream.entry.service);
    let idle = if request.may_reuse { permit.upstream.take_idle(clock.now()) } else { None };
    let mut lost = None;
    if let Some(mut connection) = idle {
        connection.is_kept = true;
        let out = new_request(wire, request, head)?;
        progress.begin();
        let sent = connection.send(out);
        match watch_silence(state, service, sent).await {
            Ok(response) => {
                state.reach.record_answer(service, clock.now());
                return Ok((connection, response));
            }
            // The pooled connection may have been closed meanwhile. Sending again is safe, since
            // only retryable requests use pooled connections. The first one may have arrived.
            Err(fault) if fault.may_have_run() && !permit.upstream.try_send_again(clock.now()) => {
                return Err(fault);
            }
            Err(fault) => {
                log::debug!(target: "attempt", fault:% = fault; "idle connection closed");
                lost = Some(fault).filter(AttemptFault::may_have_run);
            }
        }
    }
    let sent = send_on_new(state, permit, new_request(wire, request, head)?, progress).await;
    // If nothing was sent now, the upstream may have ended while it ran the request that was lost.
    sent.map_err(|fault| if fault.may_have_run() { fault } else { lost.unwrap_or(fault) })
}

/// Has other upstreams tried if the answer to a request that was sent does not begin for long, and
/// none answered this host meanwhile.
async fn watch_silence<T>(
    state: &GatewayState,
    service: &ServiceName,
    sent: impl Future<Output = T>,
) -> T {
    let since = state.clock.now();
    tokio::pin!(sent);
    match tokio::time::timeout(SUSPECT_SILENCE, sent.as_mut()).await {
        Ok(result) => result,
        Err(_) => {
            state.reach.suspect_silence(service, since);
            sent.await
        }
    }
}

/// Sends a request on a new connection.
async fn send_on_new(
    state: &GatewayState,
    permit: &UpstreamPermit,
    request: Request<Full<Bytes>>,
    progress: &SendProgress,
) -> Result<(UpstreamConnection, Response<AnswerBody>), AttemptFault> {
    let entry = &permit.upstream.entry;
    let (mut connection, began) = open_connection(state, entry).await?;
    if !permit.upstream.is_open(state.clock.now()) {
        let reason = "the upstream asked for no more requests while the connection was opened";
        return Err(AttemptFault::new(FaultKind::Connect, reason));
    }
    if !permit.is_timely(state.clock.now()) {
        let reason = "the upstream is cold and the connection was opened too late";
        return Err(AttemptFault::new(FaultKind::Unreached, reason));
    }
    progress.begin();
    let response = {
        let sent = watch_silence(state, &entry.service, connection.send(request));
        tokio::pin!(sent);
        // Something on the way may accept connections and reset them at once.
        let early = tokio::time::timeout(OPEN_TIME, sent.as_mut()).await;
        record_connection(state, entry, (began, !matches!(early, Ok(Err(_)))));
        match early {
            Ok(response) => response,
            Err(_) => sent.await,
        }
    }?;
    state.reach.record_answer(&entry.service, state.clock.now());
    Ok((connection, response))
}

/// Records whether a connection was opened, and has others tried if not.
fn record_connection(state: &GatewayState, entry: &UpstreamEntry, outcome: (Timestamp, bool)) {
    let (snapshot, now) = (state.snapshot.load(), state.clock.now());
    state.reach.record_connection(&snapshot, entry, outcome, now);
    if !outcome.1 {
        state.reach.suspect(&entry.service);
    }
}

/// Opens a connection to an upstream; with when that began. If it takes long, others are tried meanwhile.
async fn open_connection(
    state: &GatewayState,
    entry: &UpstreamEntry,
) -> Result<(UpstreamConnection, Timestamp), AttemptFault> {
    let began = state.clock.now();
    let is_lost = state.reach.lost_for(&entry.service, began).is_some();
    let timeout = if is_lost { LOST_CONNECT_TIMEOUT } else { CONNECT_TIMEOUT };
    let limits = state.settings.load().connection_limits();
    let open = UpstreamConnection::open(&state.dialer, entry.address, timeout, &limits);
    tokio::pin!(open);
    let opened = match tokio::time::timeout(SUSPECT_CONNECT, open.as_mut()).await {
        Ok(opened) => opened,
        Err(_) => {
            state.reach.suspect(&entry.service);
            open.await
        }
    };
    if opened.is_err() {
        record_connection(state, entry, (began, false));
    }
    let opened = opened.map_err(|fault| {
        // Out of reach of this host, which says nothing of the upstream.
        let is_lost = state.reach.lost_for(&entry.service, state.clock.now()).is_some();
        let kind = if is_lost { FaultKind::Unreached } else { fault.kind };
        AttemptFault { kind, ..fault }
    });
    Ok((opened?, began))
}

pub(crate) fn new_request(
    wire: &WireFormat,
    request: &OutgoingRequest,
    head: &UpstreamHead,
) -> Result<Request<Full<Bytes>>, AttemptFault> {
    let mut out = Request::new(Full::new(request.body.clone()));
    *out.method_mut() = request.method.clone();
    *out.uri_mut() = request.target.clone();
    *out.headers_mut() = request.headers.clone();
    if request.body.is_empty() && !request.headers.contains_key(CONTENT_LENGTH) {
        out.headers_mut().remove(CONTENT_LENGTH);
    } else {
        out.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(request.body.len()));
    }
    (wire.write_upstream)(out.headers_mut(), head);
    Ok(out)
}

/// Checks that a refusal is not a late copy of an earlier one on a connection that had answers before:
/// one that names no request says nothing of this request there.
pub(crate) fn check_refusal(
    connection: &UpstreamConnection,
    status: StatusCode,
    answer: &AnswerHead,
) -> Result<(), AttemptFault> {
    let is_refusal = answer.not_run || status == StatusCode::MISDIRECTED_REQUEST;
    if connection.is_kept && is_refusal && answer.request.is_none() {
        let text = format!("status {status} on a kept connection names no request");
        return Err(AttemptFault::new(FaultKind::Wrong, text));
    }
    Ok(())
}

/// Checks that a response belongs to its request and was produced by the upstream.
fn check_answer(
    status: &StatusCode,
    headers: &HeaderMap,
    answer: &AnswerHead,
    expected: Option<&HeaderValue>,
) -> Result<(), AttemptFault> {
    let wrong = |message: String| Err(AttemptFault::new(FaultKind::Wrong, message));
    let of_other =
        || wrong(format!("response has request id {:?}, expected {expected:?}", answer.request));
    // A refusal may name no request, but not another one.
    if answer.request.is_some() && answer.request.as_ref() != expected {
        return of_other();
    }
    let is_misdirected = *status == StatusCode::MISDIRECTED_REQUEST;
    // An upstream seals what it ran.
    if answer.not_run || (is_misdirected && !answer.sealed) {
        return Err(AttemptFault::new(
            FaultKind::NotRun,
            format!("upstream did not run the request, status {status}"),
        ));
    }
    if answer.request.as_ref() != expected {
        return of_other();
    }
    if is_misdirected || !FINAL_STATUSES.contains(&status.as_u16()) {
        return wrong(format!("response of a run has status {status}"));
    }
    if !answer.sealed {
        return wrong(format!("response with status {status} lacks the upstream's seal"));
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return wrong("response has a content encoding that was not requested".to_owned());
    }
    Ok(())
}
