//! One attempt of a request at one upstream, up to the head of its answer.

use crate::fault::AttemptFault;
use crate::upstream_connection::UpstreamConnection;
use crate::upstream_handle::UpstreamPermit;
use crate::wire_format::{AnswerHead, UpstreamHead, WireFormat};
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderName};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use oleander_core::attempt_retry::FaultKind;
use oleander_ports::clock::ClockPort;
use std::time::Duration;

/// Headers that concern one connection only.
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
/// Part of the life that an upstream names for idle connections that is not used, so that a
/// request does not meet the end of it.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// A request as it goes to any upstream.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Its method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub target: Uri,
    /// The caller's headers, without those of its connection and of this system.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// Whether a connection that was used before will do.
    pub may_reuse: bool,
}

/// An answer whose head is there, and which belongs to its request.
pub struct UpstreamAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// What its head says.
    pub head: AnswerHead,
    /// Its body, as it comes.
    pub body: Incoming,
    /// The connection, which closes when the answer is dropped.
    pub connection: UpstreamConnection,
    /// The place at the upstream.
    pub permit: UpstreamPermit,
}

impl UpstreamAnswer {
    /// Keeps the connection for later requests, once the body is read to its end.
    pub async fn release_connection(self, now: oleander_core::units::Timestamp) {
        let Self { headers, mut connection, permit, body, .. } = self;
        drop(body);
        let idle_time = idle_timeout(&headers);
        if idle_time != Some(Duration::ZERO) && connection.is_reusable().await {
            permit.upstream.keep_idle(connection, idle_time, now);
        }
    }
}

/// How long the connection of an answer may be idle; zero when it closes.
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

/// Removes headers that concern one connection only, also those that `Connection` names.
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

/// Sends a request to an upstream and waits at most `patience` for the head of its answer.
///
/// # Errors
///
/// [`AttemptFault`], which tells whether the request may have run.
pub async fn send_attempt(
    wire: &WireFormat,
    clock: &dyn ClockPort,
    mut permit: UpstreamPermit,
    request: &OutgoingRequest,
    head: &UpstreamHead,
    timeout: Duration,
) -> Result<UpstreamAnswer, AttemptFault> {
    let work = exchange(wire, clock, &permit, request, head);
    let (connection, response) =
        tokio::time::timeout(timeout, work).await.unwrap_or_else(|_| {
            Err(AttemptFault::new(FaultKind::Silent, format!("no answer within {timeout:?}")))
        })?;
    let (parts, body) = response.into_parts();
    let answer = (wire.read_answer)(&parts.headers);
    permit.record_head(answer.load);
    check_answer(
        &parts.status,
        &parts.headers,
        &answer,
        expected_request_id(wire, request).as_ref(),
    )?;
    let (status, headers) = (parts.status, parts.headers);
    Ok(UpstreamAnswer { status, headers, head: answer, body, connection, permit })
}

fn expected_request_id(wire: &WireFormat, request: &OutgoingRequest) -> Option<HeaderValue> {
    (wire.read_caller)(&request.headers).request
}

async fn exchange(
    wire: &WireFormat,
    clock: &dyn ClockPort,
    permit: &UpstreamPermit,
    request: &OutgoingRequest,
    head: &UpstreamHead,
) -> Result<(UpstreamConnection, Response<Incoming>), AttemptFault> {
    let idle = if request.may_reuse { permit.upstream.take_idle(clock.now()) } else { None };
    if let Some(mut connection) = idle {
        match connection.send(new_request(wire, request, head)?).await {
            Ok(response) => return Ok((connection, response)),
            // A connection that was idle may have ended meanwhile; the request may be repeated,
            // or it would not have been sent on this one.
            Err(fault) => log::debug!(target: "attempt", fault:% = fault; "idle connection ended"),
        }
    }
    let mut connection = UpstreamConnection::open(permit.upstream.entry.address).await?;
    let response = connection.send(new_request(wire, request, head)?).await?;
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

/// Checks that an answer belongs to its request and was made by the upstream.
fn check_answer(
    status: &StatusCode,
    headers: &HeaderMap,
    answer: &AnswerHead,
    expected: Option<&HeaderValue>,
) -> Result<(), AttemptFault> {
    let wrong = |message: String| Err(AttemptFault::new(FaultKind::Wrong, message));
    if *status == StatusCode::MISDIRECTED_REQUEST || answer.not_run {
        return Err(AttemptFault::new(FaultKind::NotRun, format!("status {status}, not run")));
    }
    if answer.request.as_ref() != expected {
        return wrong(format!("the answer is for {:?} and not for {expected:?}", answer.request));
    }
    if !answer.sealed {
        return wrong(format!("status {status} without the upstream's seal"));
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return wrong("the answer is encoded, which was not asked for".to_owned());
    }
    Ok(())
}
