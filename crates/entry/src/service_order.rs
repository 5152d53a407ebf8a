//! Non-idempotent calls: claimed before any byte is sent, and sent at most once.

use crate::attempt::AttemptFault;
use crate::billing::record_usage;
use crate::refusal::Refusal;
use crate::request_trace::{RequestTrace, TraceEvent};
use crate::service_call::{
    SERVICE_RETRY_AFTER, ServiceReply, call_price, choose_instance, no_instance, service_pool,
};
use crate::service_request::ServiceRequest;
use crate::service_send::{ServiceAnswer, send_call};
use crate::state::EntryState;
use bytes::Bytes;
use oleander_adapters::http_client::HttpClient;
use oleander_core::attempt_retry::FaultKind;
use oleander_core::dispatch_guard::may_dispatch;
use oleander_core::ids::AttemptId;
use oleander_core::reason::{Reason, RunState};
use oleander_core::units::{Money, Timestamp};
use oleander_core::usage::StoredOutcome;
use oleander_ports::claims::{ClaimError, ClaimOutcome, ClaimRequest};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tracing::Instrument;

/// Largest number of instances that are dialled.
const MAX_DIALS: u16 = 3;
/// Attempts to settle a claim.
const SETTLE_ATTEMPTS: u32 = 4;
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// `Retry-After` when a request with the same idempotency key is running.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` when the claim could not be made.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Runs a non-idempotent call.
///
/// # Errors
///
/// A refusal; its run state is `not_run` only when no byte was sent.
pub async fn run_at_most_once(
    state: &EntryState,
    request: &ServiceRequest,
    trace: &mut RequestTrace,
) -> Result<ServiceReply, Refusal> {
    let key = request.key.clone().ok_or_else(|| {
        let message = format!("{} may not be repeated: send an Idempotency-Key", request.item);
        Refusal::new(Reason::KeyRequired, message).with_param("idempotency-key")
    })?;
    let claim = ClaimRequest {
        account: request.account.name.clone(),
        key,
        body_digest: request.digest,
        request: request.ids.run,
    };
    let claimed_at = state.parts.clock.now();
    let span = tracing::info_span!("claim", request = %claim.request);
    let outcome = state.parts.claims.claim(claim.clone()).instrument(span).await;
    match outcome.map_err(|error| claim_refusal(&error))? {
        ClaimOutcome::Granted => dispatch(state, request, &claim, claimed_at, trace).await,
        ClaimOutcome::Done(stored) => {
            trace.add(state.parts.clock.now(), TraceEvent::Replayed);
            Ok(replayed(stored))
        }
        conflict => Err(conflict_refusal(&conflict)),
    }
}

fn claim_refusal(error: &ClaimError) -> Refusal {
    let refusal = Refusal::new(Reason::PlatformDown, error.to_string());
    refusal.with_retry_after(CLAIM_RETRY_AFTER)
}

fn conflict_refusal(outcome: &ClaimOutcome) -> Refusal {
    match outcome {
        ClaimOutcome::KeyReused => {
            let message = "the idempotency key was used before with another body";
            Refusal::new(Reason::KeyReused, message).with_param("idempotency-key")
        }
        ClaimOutcome::OutcomeUnknown => unknown_refusal("an earlier request with this key"),
        _ => {
            let message = "a request with this idempotency key is running";
            Refusal::new(Reason::InProgress, message)
                .with_run(RunState::Unknown)
                .with_retry_after(IN_PROGRESS_RETRY_AFTER)
        }
    }
}

fn unknown_refusal(what: &str) -> Refusal {
    let message = format!("{what} was sent and its outcome cannot be known; it may have run");
    Refusal::new(Reason::OutcomeUnknown, message).with_run(RunState::Unknown)
}

fn replayed(stored: StoredOutcome) -> ServiceReply {
    let answer = ServiceAnswer {
        status: stored.status,
        content_type: stored.content_type,
        body: Bytes::from(stored.body),
        not_run: false,
    };
    ServiceReply { answer, cost: Money::ZERO, replayed: true }
}

/// Sends a claimed call. The claim is released only when certainly no byte was sent.
async fn dispatch(
    state: &EntryState,
    request: &ServiceRequest,
    claim: &ClaimRequest,
    claimed_at: Timestamp,
    trace: &mut RequestTrace,
) -> Result<ServiceReply, Refusal> {
    match send_once(state, request, claimed_at, trace).await {
        Ok(answer) => settle_done(state, request, claim, answer, trace).await,
        Err(SendError::NotSent(refusal)) => {
            settle(state, claim, SettleKind::Release).await;
            Err(refusal)
        }
        Err(SendError::Unknown(fault)) => {
            log::warn!("order_outcome_unknown request={} {fault}", request.ids.run);
            settle(state, claim, SettleKind::MarkUnknown).await;
            Err(unknown_refusal("the request"))
        }
    }
}

enum SendError {
    /// No byte was sent.
    NotSent(Refusal),
    /// Bytes may have been sent and no answer came.
    Unknown(AttemptFault),
}

/// Dials instances until one accepts the connection, and sends the call once. Each dial opens a new
/// connection: on a pooled one that has gone silent it would be unknown whether the call was sent.
async fn send_once(
    state: &EntryState,
    request: &ServiceRequest,
    claimed_at: Timestamp,
    trace: &mut RequestTrace,
) -> Result<ServiceAnswer, SendError> {
    let pool = service_pool(state, request).map_err(SendError::NotSent)?;
    let mut tried = HashSet::new();
    for number in 0..MAX_DIALS {
        let Some(permit) = choose_instance(state, &pool, &tried) else { break };
        let handle = Arc::clone(permit.handle());
        let attempt = AttemptId { request: request.ids.run, number };
        let now = state.parts.clock.now();
        may_dispatch(claimed_at, request.deadline, now).map_err(|denial| {
            let refusal = Refusal::new(Reason::DeadlineExceeded, denial.to_string());
            SendError::NotSent(refusal.with_retry_after(SERVICE_RETRY_AFTER))
        })?;
        let (upstream, resume_from) = (handle.name.clone(), 0);
        trace.add(now, TraceEvent::Attempt { attempt, upstream, resume_from });
        let span = tracing::info_span!("attempt", %attempt, upstream = %handle.name);
        let client = HttpClient::new();
        let timeout = request.deadline.left(now);
        let sent = send_call(&client, &handle, request, attempt, timeout).instrument(span).await;
        let fault = match sent {
            Ok(answer) => {
                pool.record_success(&handle.name);
                return Ok(answer);
            }
            Err(fault) => fault,
        };
        let now = state.parts.clock.now();
        state.metrics.count_fault(fault.kind);
        trace.add(now, TraceEvent::fault(handle.name.clone(), fault.kind, &fault.message));
        pool.record_failure(&handle.name, now);
        if fault.kind != FaultKind::Connect {
            return Err(SendError::Unknown(fault));
        }
        tried.insert(handle.name.clone());
    }
    Err(SendError::NotSent(no_instance(request)))
}

/// Stores the answer with the usage record, then returns it to the caller.
async fn settle_done(
    state: &EntryState,
    request: &ServiceRequest,
    claim: &ClaimRequest,
    answer: ServiceAnswer,
    trace: &mut RequestTrace,
) -> Result<ServiceReply, Refusal> {
    let cost = call_price(request, answer.status);
    let now = state.parts.clock.now();
    let outcome = StoredOutcome {
        key: claim.key.clone(),
        status: answer.status,
        content_type: Arc::clone(&answer.content_type),
        body: answer.body.to_vec(),
    };
    record_usage(state, request.usage_record(RunState::Done, cost, now, Some(outcome))).await?;
    trace.add(now, TraceEvent::Billed { billed: cost, upstream_cost: cost });
    Ok(ServiceReply { answer, cost, replayed: false })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SettleKind {
    Release,
    MarkUnknown,
}

/// Settles a claim, with retries. A claim that stays unsettled is never dispatched again.
async fn settle(state: &EntryState, claim: &ClaimRequest, kind: SettleKind) {
    for attempt in 0..SETTLE_ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(SETTLE_RETRY_DELAY).await;
        }
        let settled = match kind {
            SettleKind::Release => state.parts.claims.release(claim.clone()).await,
            SettleKind::MarkUnknown => state.parts.claims.mark_unknown(claim.clone()).await,
        };
        match settled {
            Ok(()) => return,
            Err(error) => log::warn!("claim_unsettled request={} {kind:?} {error}", claim.request),
        }
    }
}
