//! One attempt of a request at one upstream, up to the response headers.

use crate::fault::AttemptFault;
use crate::state::GatewayState;
use crate::upstream_connection::{AnswerBody, UpstreamConnection};
use crate::upstream_handle::UpstreamPermit;
use crate::wire_format::{AnswerHead, UpstreamHead, WireFormat};
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderName};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use oleander_core::attempt_retry::FaultKind;
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
    pub async fn release_connection(self, now: oleander_core::units::Timestamp) {
        let Self { headers, mut connection, permit, body, .. } = self;
        drop(body);
        let idle_time = idle_timeout(&headers);
        if idle_time != Some(Duration::ZERO) && connection.is_reusable().await {
            permit.upstream.keep_idle(connection, idle_time, now);
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

/// Sends a request to an upstream and waits at most `timeout` for response headers.
///
/// # Errors
///
/// [`AttemptFault`], which states whether the request may have run.
pub async fn send_attempt(
    state: &GatewayState,
    mut permit: UpstreamPermit,
    request: &OutgoingRequest,
    head: &UpstreamHead,
    timeout: Duration,
) -> Result<UpstreamAnswer, AttemptFault> {
    let (wire, clock) = (&state.wire, &state.clock);
    let work = exchange(state, &permit, request, head);
    let (connection, response) =
        tokio::time::timeout(timeout, work).await.unwrap_or_else(|_| {
            Err(AttemptFault::new(
                FaultKind::Silent,
                format!("no response headers within {timeout:?}"),
            ))
        })?;
    let (parts, body) = response.into_parts();
    let answer = (wire.read_answer)(&parts.headers);
    permit.record_head(answer.load);
    // An answer with this status is of another upstream, which has taken over the address.
    if parts.status != StatusCode::MISDIRECTED_REQUEST {
        let opened_at = connection.opened_at;
        permit.upstream.record_standing(parts.status, &answer, opened_at, clock.now());
    }
    let expected = expected_request_id(wire, request);
    let checked = check_answer(&parts.status, &parts.headers, &answer, expected.as_ref());
    if parts.status != StatusCode::MISDIRECTED_REQUEST
        && (answer.not_run || answer.request == expected)
    {
        permit.upstream.record_limit(&answer, checked.is_ok(), clock.now());
    }
    checked?;
    let (status, headers) = (parts.status, parts.headers);
    Ok(UpstreamAnswer { status, headers, head: answer, body, connection, permit })
}

fn expected_request_id(wire: &WireFormat, request: &OutgoingRequest) -> Option<HeaderValue> {
    (wire.read_caller)(&request.headers).request
}

async fn exchange(
    state: &GatewayState,
    permit: &UpstreamPermit,
    request: &OutgoingRequest,
    head: &UpstreamHead,
) -> Result<(UpstreamConnection, Response<AnswerBody>), AttemptFault> {
    let (wire, clock) = (&state.wire, &state.clock);
    let idle = if request.may_reuse { permit.upstream.take_idle(clock.now()) } else { None };
    let mut lost = None;
    if let Some(mut connection) = idle {
        match connection.send(new_request(wire, request, head)?).await {
            Ok(response) => return Ok((connection, response)),
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
    let sent = send_on_new(state, permit, new_request(wire, request, head)?).await;
    // If nothing was sent now, the upstream may have ended while it ran the request that was lost.
    sent.map_err(|fault| if fault.may_have_run() { fault } else { lost.unwrap_or(fault) })
}

/// Sends a request on a new connection.
async fn send_on_new(
    state: &GatewayState,
    permit: &UpstreamPermit,
    request: Request<Full<Bytes>>,
) -> Result<(UpstreamConnection, Response<AnswerBody>), AttemptFault> {
    let address = permit.upstream.entry.address;
    let mut connection = UpstreamConnection::open(&state.dialer, address).await?;
    if !permit.upstream.is_open(state.clock.now()) {
        let reason = "the upstream asked for no more requests while the connection was opened";
        return Err(AttemptFault::new(FaultKind::Connect, reason));
    }
    let response = connection.send(request).await?;
    Ok((connection, response))
}

fn new_request(
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

/// Checks that a response belongs to its request and was produced by the upstream.
fn check_answer(
    status: &StatusCode,
    headers: &HeaderMap,
    answer: &AnswerHead,
    expected: Option<&HeaderValue>,
) -> Result<(), AttemptFault> {
    let wrong = |message: String| Err(AttemptFault::new(FaultKind::Wrong, message));
    if *status == StatusCode::MISDIRECTED_REQUEST || answer.not_run {
        return Err(AttemptFault::new(
            FaultKind::NotRun,
            format!("upstream did not run the request, status {status}"),
        ));
    }
    if answer.request.as_ref() != expected {
        return wrong(format!(
            "response has request id {:?}, expected {expected:?}",
            answer.request
        ));
    }
    if !answer.sealed {
        return wrong(format!("response with status {status} lacks the upstream's seal"));
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return wrong("response has a content encoding that was not requested".to_owned());
    }
    Ok(())
}
