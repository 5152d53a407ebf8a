//! `/v1/services/{service}/{operation}`: calls of plain services.

use crate::account::AccountView;
use crate::attempt::AttemptFault;
use crate::billing::{check_usage_capacity, record_usage};
use crate::headers::{COST_HEADER, REPLAYED_HEADER, set_header, set_identity};
use crate::in_flight::InFlightRequest;
use crate::refusal::Refusal;
use crate::request_trace::{RequestTrace, TraceEvent};
use crate::service_order::run_at_most_once;
use crate::service_request::{CallInput, ServiceRequest};
use crate::service_send::{ServiceAnswer, send_call};
use crate::state::EntryState;
use crate::upstream_handle::{UpstreamHandle, UpstreamPermit};
use crate::upstream_pool::{ChoiceInput, UpstreamPool};
use http::{HeaderValue, Response, StatusCode};
use oleander_adapters::http_server::{ResponseBody, full_body};
use oleander_core::attempt_retry::{FaultKind, RetryAction, retry_action};
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
    parts: CallInput<'_>,
) -> Result<Response<ResponseBody>, Refusal> {
    let request = ServiceRequest::new(state, account, run, parts)?;
    check_usage_capacity(state)?;
    state.limits.admit(state, &request.account.name)?;
    let (sender, receiver) = oneshot::channel();
    let (state, ids) = (Arc::clone(state), request.ids);
    let guard = state.in_flight.register(InFlightRequest {
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
            drop(guard);
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
        run_idempotent(state, request, &mut trace).await
    } else {
        run_at_most_once(state, request, &mut trace).await
    };
    let now = state.parts.clock.now();
    match &ended {
        Ok(reply) if reply.replayed => state.metrics.count_replay(),
        Ok(reply) => state.metrics.count_service_call(reply.cost),
        Err(refusal) => {
            let Refusal { reason, run, message, .. } = refusal.clone();
            state.metrics.count_refusal(reason);
            trace.add(now, TraceEvent::Refused { reason, run, message });
        }
    }
    state.traces.push(trace);
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
    state
        .upstreams
        .pool(&request.account.snapshot, &request.pool)
        .ok_or_else(|| no_instance(request))
}

/// Returns the refusal when no instance is available; nothing was sent.
pub fn no_instance(request: &ServiceRequest) -> Refusal {
    let message = format!("no instance of {} can take the call now", request.item);
    Refusal::new(Reason::NoUpstream, message).with_retry_after(SERVICE_RETRY_AFTER)
}

/// Chooses an instance that is not in `excluded`.
pub fn choose_instance(
    state: &EntryState,
    pool: &UpstreamPool,
    excluded: &HashSet<UpstreamName>,
) -> Option<UpstreamPermit> {
    let work = AttemptWork {
        prompt: TokenCount::new(0),
        answer: TokenCount::new(0),
        first_token: Millis::new(50),
        token_gap: Millis::new(0),
        price_per_second: Money::from_micros(1_000),
    };
    let input = ChoiceInput {
        now: state.parts.clock.now(),
        random: state.rng.next(),
        cached: &|_| TokenCount::new(0),
        is_leaving: &|name| state.upstreams.is_leaving(name),
    };
    pool.choose(UpstreamRule::from(state.parts.mode), &work, excluded, &input)
}

/// Runs an idempotent call, which may be retried.
async fn run_idempotent(
    state: &EntryState,
    request: &ServiceRequest,
    trace: &mut RequestTrace,
) -> Result<ServiceReply, Refusal> {
    let answer = retry_until_answered(state, request, trace).await?;
    let now = state.parts.clock.now();
    let cost = call_price(request, answer.status);
    record_usage(state, request.usage_record(RunState::Done, cost, now, None)).await?;
    trace.add(now, TraceEvent::Billed { billed: cost, upstream_cost: cost });
    Ok(ServiceReply { answer, cost, replayed: false })
}

async fn retry_until_answered(
    state: &EntryState,
    request: &ServiceRequest,
    trace: &mut RequestTrace,
) -> Result<ServiceAnswer, Refusal> {
    let pool = service_pool(state, request)?;
    pool.record_attempt();
    let mut tried = HashSet::new();
    let mut retry_on: Option<Arc<UpstreamHandle>> = None;
    let mut reconnected = false;
    let mut ran = false;
    for number in 0..MAX_ATTEMPTS {
        let permit = match retry_on.take() {
            Some(handle) => UpstreamPermit::new(handle),
            None => choose_instance(state, &pool, &tried).ok_or_else(|| no_instance(request))?,
        };
        let handle = Arc::clone(permit.handle());
        let left = request.deadline.left(state.parts.clock.now());
        if left.is_zero() {
            break;
        }
        let attempt = AttemptId { request: request.ids.run, number };
        let (upstream, resume_from) = (handle.name.clone(), 0);
        trace.add(state.parts.clock.now(), TraceEvent::Attempt { attempt, upstream, resume_from });
        let span = tracing::info_span!("attempt", %attempt, upstream = %handle.name);
        let timeout = if number + 1 < MAX_ATTEMPTS { left / 2 } else { left };
        let sent =
            send_call(&handle.client, &handle, request, attempt, timeout).instrument(span).await;
        drop(permit);
        let fault = match check_status(sent) {
            Ok(answer) => {
                pool.record_success(&handle.name);
                return Ok(answer);
            }
            Err(fault) => fault,
        };
        ran |= !matches!(fault.kind, FaultKind::Connect | FaultKind::NotRun);
        let now = state.parts.clock.now();
        state.metrics.count_fault(fault.kind);
        trace.add(now, TraceEvent::fault(handle.name.clone(), fault.kind, &fault.message));
        let action = retry_action(fault.kind, reconnected);
        if action == RetryAction::OtherUpstream && fault.kind.counts_against_upstream() {
            pool.record_failure(&handle.name, now);
        }
        if action == RetryAction::Stop || number + 1 == MAX_ATTEMPTS || !pool.try_retry() {
            return Err(call_refusal(&fault, ran));
        }
        reconnected = action == RetryAction::SameUpstream;
        if reconnected {
            retry_on = Some(handle);
            continue;
        }
        tried.insert(handle.name.clone());
        let wait = BACKOFF.wait(u32::from(number), state.rng.next());
        tokio::time::sleep(wait.min(request.deadline.left(now))).await;
    }
    let message = "the deadline passed before the service answered";
    let run = if ran { RunState::Partial } else { RunState::NotRun };
    Err(Refusal::new(Reason::DeadlineExceeded, message).with_run(run))
}

/// Turns a 5xx answer into a fault, so that the call is retried.
fn check_status(sent: Result<ServiceAnswer, AttemptFault>) -> Result<ServiceAnswer, AttemptFault> {
    let answer = sent?;
    let kind = match answer.status {
        _ if answer.not_run => FaultKind::NotRun,
        500..=599 => FaultKind::Failed,
        _ => return Ok(answer),
    };
    Err(AttemptFault { kind, message: format!("status {}", answer.status) })
}

fn call_refusal(fault: &AttemptFault, ran: bool) -> Refusal {
    let reason = match fault.kind {
        FaultKind::NotRun => Reason::Overloaded,
        FaultKind::Connect => Reason::NoUpstream,
        _ => Reason::UpstreamFault,
    };
    let run = if ran { RunState::Partial } else { RunState::NotRun };
    Refusal::new(reason, fault.to_string()).with_run(run).with_retry_after(SERVICE_RETRY_AFTER)
}
