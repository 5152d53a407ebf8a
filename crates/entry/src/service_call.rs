//! `/v1/services/{service}/{operation}`: calls of plain services.

use crate::account::AccountView;
use crate::attempt::AttemptFault;
use crate::billing::{check_room, record_usage};
use crate::headers::{COST_HEADER, REPLAYED_HEADER, set_header, set_identity};
use crate::in_flight::FlightEntry;
use crate::refusal::Refusal;
use crate::request_trace::{RequestTrace, TraceEvent};
use crate::service_order::run_order;
use crate::service_request::{CallParts, ServiceRequest};
use crate::service_send::{ServiceAnswer, send_call};
use crate::state::EntryState;
use crate::upstream_cell::{UpstreamCell, UpstreamPermit};
use crate::upstream_pool::{UpstreamDraw, UpstreamPool};
use http::{HeaderValue, Response, StatusCode};
use oleander_adapters::http_server::{ResponseBody, full_body};
use oleander_core::attempt_retry::{FaultKind, RetryMove, next_move};
use oleander_core::backoff::RetryBackoff;
use oleander_core::ids::{AttemptId, RequestId, UpstreamName};
use oleander_core::reason::{Reason, RunState};
use oleander_core::units::{Millis, Money, TokenCount};
use oleander_core::upstream_choice::{AttemptWork, UpstreamRule};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tracing::Instrument;

/// Largest number of attempts of one call.
const MAX_ATTEMPTS: u16 = 4;
const BACKOFF: RetryBackoff =
    RetryBackoff::new(Duration::from_millis(20), Duration::from_millis(400));
/// `Retry-After` when a service has no available instance or the attempts failed.
pub const SERVICE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Lowest HTTP status that is not billed.
const FIRST_UNBILLED_STATUS: u16 = 400;

/// Reply to a caller of a service.
#[derive(Clone, Debug)]
pub struct ServiceReply {
    /// Answer of the instance.
    pub answer: ServiceAnswer,
    /// Price that the client account pays.
    pub cost: Money,
    /// Whether it is the stored answer of an earlier request.
    pub replayed: bool,
}

/// Answers a service call of a client account.
///
/// # Errors
///
/// A refusal when the call is rejected before it runs.
pub async fn answer_service(
    state: &Arc<EntryState>,
    account: AccountView,
    run: RequestId,
    parts: CallParts<'_>,
) -> Result<Response<ResponseBody>, Refusal> {
    let request = ServiceRequest::new(state, account, run, parts)?;
    check_room(state)?;
    state.limits.admit(state, &request.account.name)?;
    let (sender, receiver) = oneshot::channel();
    let (state, ids) = (Arc::clone(state), request.ids);
    let ticket = state.flights.enter(FlightEntry {
        request: request.ids.run,
        account: request.account.name.clone(),
        target: Arc::clone(&request.item),
        started_at: request.started_at,
        key: request.key.clone(),
    });
    let span = tracing::info_span!("request", request = %request.ids.run, item = %request.item);
    // Runs on a task of its own, so that a caller that disconnects does not interrupt a
    // non-idempotent call halfway.
    tokio::spawn(
        async move {
            let _ = sender.send(run_call(&state, &request).await);
            drop(ticket);
        }
        .instrument(span),
    );
    let reply = receiver.await.unwrap_or_else(|_| {
        let refusal = Refusal::new(Reason::OutcomeUnknown, "the call failed inside the router");
        Err(refusal.with_run(RunState::Unknown))
    });
    let mut response = match reply {
        Ok(reply) => reply_response(&reply),
        Err(refusal) => refusal.response(),
    };
    set_identity(response.headers_mut(), ids);
    Ok(response)
}

async fn run_call(state: &EntryState, request: &ServiceRequest) -> Result<ServiceReply, Refusal> {
    let ids = request.ids;
    let account = request.account.name.clone();
    let started = request.started_at;
    let mut trace = RequestTrace::new(ids.run, ids.billed, account, &request.item, started);
    let ended = if request.operation.idempotent {
        run_repeatable(state, request, &mut trace).await
    } else {
        run_order(state, request, &mut trace).await
    };
    let now = state.parts.clock.now();
    match &ended {
        Ok(reply) if reply.replayed => state.metrics.note_replayed(),
        Ok(reply) => state.metrics.note_service(reply.cost),
        Err(refusal) => {
            let Refusal { reason, run, message, .. } = refusal.clone();
            state.metrics.note_refusal(reason);
            trace.add(now, TraceEvent::Refused { reason, run, message });
        }
    }
    state.traces.keep(trace);
    ended
}

fn reply_response(reply: &ServiceReply) -> Response<ResponseBody> {
    let ServiceAnswer { status, content_type, body, .. } = &reply.answer;
    let mut response = Response::new(full_body(body.clone()));
    *response.status_mut() = StatusCode::from_u16(*status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    if let Ok(kind) = HeaderValue::from_str(content_type) {
        headers.insert(http::header::CONTENT_TYPE, kind);
    }
    set_header(headers, COST_HEADER, &reply.cost.to_string());
    if reply.replayed {
        set_header(headers, REPLAYED_HEADER, "1");
    }
    response
}

/// Returns the price of an answer with this status: zero when the service refused or failed.
pub const fn call_price(request: &ServiceRequest, status: u16) -> Money {
    if status < FIRST_UNBILLED_STATUS { request.operation.price } else { Money::ZERO }
}

/// Returns the pool of the request's service.
pub fn service_pool(
    state: &EntryState,
    request: &ServiceRequest,
) -> Result<Arc<UpstreamPool>, Refusal> {
    state.book.pool(&request.account.snapshot, &request.pool).ok_or_else(|| no_instance(request))
}

/// Returns the refusal when no instance is available; nothing was sent.
pub fn no_instance(request: &ServiceRequest) -> Refusal {
    let message = format!("no instance of {} can take the call now", request.item);
    Refusal::new(Reason::NoUpstream, message).with_retry_after(SERVICE_RETRY_AFTER)
}

/// Chooses an instance that is not in `not`.
pub fn choose_instance(
    state: &EntryState,
    pool: &UpstreamPool,
    not: &HashSet<UpstreamName>,
) -> Option<UpstreamPermit> {
    let work = AttemptWork {
        prompt: TokenCount::new(0),
        answer: TokenCount::new(0),
        first_token: Millis::new(50),
        token_gap: Millis::new(0),
        price_per_second: Money::from_micros(1_000),
    };
    let draw = UpstreamDraw {
        now: state.parts.clock.now(),
        random: state.words.next(),
        cached: &|_| TokenCount::new(0),
        is_leaving: &|name| state.book.is_leaving(name),
    };
    pool.choose(UpstreamRule::from(state.parts.mode), &work, not, &draw)
}

/// Runs an idempotent call, which may be retried.
async fn run_repeatable(
    state: &EntryState,
    request: &ServiceRequest,
    trace: &mut RequestTrace,
) -> Result<ServiceReply, Refusal> {
    let answer = repeat_until_answered(state, request, trace).await?;
    let now = state.parts.clock.now();
    let cost = call_price(request, answer.status);
    record_usage(state, request.record(RunState::Done, cost, now, None)).await?;
    trace.add(now, TraceEvent::Billed { billed: cost, upstream_cost: cost });
    Ok(ServiceReply { answer, cost, replayed: false })
}

async fn repeat_until_answered(
    state: &EntryState,
    request: &ServiceRequest,
    trace: &mut RequestTrace,
) -> Result<ServiceAnswer, Refusal> {
    let pool = service_pool(state, request)?;
    pool.note_attempt();
    let mut tried = HashSet::new();
    let mut same: Option<Arc<UpstreamCell>> = None;
    let mut renewed = false;
    let mut ran = false;
    for number in 0..MAX_ATTEMPTS {
        let permit = match same.take() {
            Some(cell) => UpstreamPermit::new(cell),
            None => choose_instance(state, &pool, &tried).ok_or_else(|| no_instance(request))?,
        };
        let cell = Arc::clone(permit.cell());
        let left = request.deadline.left(state.parts.clock.now());
        if left.is_zero() {
            break;
        }
        let attempt = AttemptId { request: request.ids.run, number };
        let (upstream, resume_from) = (cell.name.clone(), 0);
        trace.add(state.parts.clock.now(), TraceEvent::Attempt { attempt, upstream, resume_from });
        let span = tracing::info_span!("attempt", %attempt, upstream = %cell.name);
        let timeout = if number + 1 < MAX_ATTEMPTS { left / 2 } else { left };
        let sent = send_call(&cell.client, &cell, request, attempt, timeout).instrument(span).await;
        drop(permit);
        let fault = match checked(sent) {
            Ok(answer) => {
                pool.note_success(&cell.name);
                return Ok(answer);
            }
            Err(fault) => fault,
        };
        ran |= !matches!(fault.kind, FaultKind::Connect | FaultKind::NotRun);
        let now = state.parts.clock.now();
        state.metrics.note_fault(fault.kind);
        trace.add(now, TraceEvent::fault(cell.name.clone(), fault.kind, &fault.message));
        let next = next_move(fault.kind, renewed);
        if next == RetryMove::OtherUpstream && fault.kind.blames_upstream() {
            pool.note_failure(&cell.name, now);
        }
        if next == RetryMove::Stop || number + 1 == MAX_ATTEMPTS || !pool.try_retry() {
            return Err(failed(&fault, ran));
        }
        renewed = next == RetryMove::SameUpstream;
        if renewed {
            same = Some(cell);
            continue;
        }
        tried.insert(cell.name.clone());
        let wait = BACKOFF.wait(u32::from(number), state.words.next());
        tokio::time::sleep(wait.min(request.deadline.left(now))).await;
    }
    let message = "the deadline passed before the service answered";
    let run = if ran { RunState::Partial } else { RunState::NotRun };
    Err(Refusal::new(Reason::DeadlineExceeded, message).with_run(run))
}

/// Turns a 5xx answer into a fault, so that the call is retried.
fn checked(sent: Result<ServiceAnswer, AttemptFault>) -> Result<ServiceAnswer, AttemptFault> {
    let answer = sent?;
    let kind = match answer.status {
        _ if answer.not_run => FaultKind::NotRun,
        500..=599 => FaultKind::Failed,
        _ => return Ok(answer),
    };
    Err(AttemptFault { kind, message: format!("status {}", answer.status) })
}

fn failed(fault: &AttemptFault, ran: bool) -> Refusal {
    let reason = match fault.kind {
        FaultKind::NotRun => Reason::Overloaded,
        FaultKind::Connect => Reason::NoUpstream,
        _ => Reason::UpstreamFault,
    };
    let run = if ran { RunState::Partial } else { RunState::NotRun };
    Refusal::new(reason, fault.to_string()).with_run(run).with_retry_after(SERVICE_RETRY_AFTER)
}
