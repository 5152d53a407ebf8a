//! Validates a call of a plain service: one operation of a service in the catalog, whose body is
//! forwarded as it is.

use crate::account::AccountView;
use crate::field_errors::FieldErrors;
use crate::identity::{RequestIdentity, body_digest};
use crate::options::{RequestOptions, read_options};
use crate::refusal::Refusal;
use crate::state::EntryState;
use bytes::Bytes;
use http::HeaderMap;
use oleander_core::catalog::objects::{Operation, Priority};
use oleander_core::deadline::Deadline;
use oleander_core::ids::{IdempotencyKey, OperationName, PoolName, RequestId, ServiceName};
use oleander_core::reason::{Reason, RunState};
use oleander_core::trace_context::{TRACEPARENT_HEADER, TraceContext};
use oleander_core::units::{Money, Timestamp};
use oleander_core::usage::{StoredOutcome, UsageRecord, UsedItem};
use std::sync::Arc;

/// Largest body of a service call, in bytes.
pub const MAX_SERVICE_BODY: usize = 1024 * 1024;
/// Path prefix of service calls.
pub const SERVICE_PATH: &str = "/v1/services/";

/// A validated call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// Client account.
    pub account: AccountView,
    /// Names of service and operation as `service/operation`, as in the usage record.
    pub item: Arc<str>,
    /// Pool of the service's instances.
    pub pool: PoolName,
    /// Operation from the catalog.
    pub operation: Operation,
    /// Id of this run and id under which it is billed.
    pub ids: RequestIdentity,
    /// Idempotency key of the caller.
    pub key: Option<IdempotencyKey>,
    /// SHA-256 of service, operation, query and body.
    pub digest: [u8; 32],
    /// Deadline for the answer.
    pub deadline: Deadline,
    /// Time at which the call was validated; the deadline is counted from it.
    pub started_at: Timestamp,
    /// Priority sent to the instance; at most the highest one of the account.
    pub priority: Priority,
    /// Query string, forwarded as it is.
    pub query: Option<Arc<str>>,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Body, forwarded as it is.
    pub body: Bytes,
    /// Trace context.
    pub trace_context: TraceContext,
}

/// Parts of a caller's HTTP request.
pub struct CallInput<'a> {
    /// Path.
    pub path: &'a str,
    /// Query string.
    pub query: Option<&'a str>,
    /// Headers.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ServiceRequest {
    /// Validates a call.
    ///
    /// # Errors
    ///
    /// A refusal when the call is malformed, names an unknown operation or is not allowed.
    pub fn new(
        state: &EntryState,
        account: AccountView,
        run: RequestId,
        parts: CallInput<'_>,
    ) -> Result<Self, Refusal> {
        let mut errors = FieldErrors::new();
        let options = read_options(parts.headers, None, &mut errors);
        errors.finish()?;
        let (pool, operation, item) = find_operation(&account, parts.path)?;
        let now = state.parts.clock.now();
        let deadline = Deadline::new(now, operation.timeout);
        let deadline = options.deadline.map_or(deadline, |budget| deadline.with_limit(now, budget));
        let operation_with_query = format!("{item}?{}", parts.query.unwrap_or_default());
        let digest = body_digest(&operation_with_query, &parts.body);
        let ids = request_ids(run, &account, &operation, &options, &digest);
        let highest = account.object().map(|account| account.priority).unwrap_or_default();
        let text = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
        let parent = text(TRACEPARENT_HEADER).and_then(|text| text.parse().ok());
        Ok(Self {
            item,
            pool,
            operation,
            ids,
            key: options.key,
            digest,
            deadline,
            started_at: now,
            priority: options.priority.unwrap_or(Priority::Normal).min(highest),
            query: parts.query.map(Arc::from),
            content_type: Arc::from(text("content-type").unwrap_or("application/json")),
            body: parts.body,
            trace_context: parent.unwrap_or_else(|| TraceContext::new(run.get(), state.rng.next())),
            account,
        })
    }

    /// Builds the usage record of the call.
    pub fn usage_record(
        &self,
        run: RunState,
        billed: Money,
        ended_at: Timestamp,
        outcome: Option<StoredOutcome>,
    ) -> UsageRecord {
        UsageRecord {
            account: self.account.name.clone(),
            request: self.ids.billed,
            item: UsedItem::Operation(Arc::clone(&self.item)),
            run,
            tokens_in: Default::default(),
            tokens_out: Default::default(),
            billed,
            upstream_cost: billed,
            ended_at,
            outcome,
        }
    }
}

/// A call of an idempotent operation with an idempotency key shares its billed id with its repeats,
/// which have the same account, key and digest; without a key each repeat is billed under the id of
/// its own run. A call of a non-idempotent operation runs at most once, under a claim of its key,
/// so it is billed under the id of that run; without a key it is refused later.
fn request_ids(
    run: RequestId,
    account: &AccountView,
    operation: &Operation,
    options: &RequestOptions,
    digest: &[u8; 32],
) -> RequestIdentity {
    let ids = RequestIdentity::new(run);
    match &options.key {
        Some(key) if operation.idempotent => ids.with_key(&account.name, key, digest),
        _ => ids,
    }
}

fn find_operation(
    account: &AccountView,
    path: &str,
) -> Result<(PoolName, Operation, Arc<str>), Refusal> {
    let unknown = || {
        let message = format!("no such operation: {path}; use {SERVICE_PATH}SERVICE/OPERATION");
        Refusal::new(Reason::NotFound, message)
    };
    let rest = path.strip_prefix(SERVICE_PATH).ok_or_else(unknown)?;
    let (service, operation) = rest.split_once('/').ok_or_else(unknown)?;
    let service_name = ServiceName::new(service).map_err(|_| unknown())?;
    let operation_name = OperationName::new(operation).map_err(|_| unknown())?;
    let service = account.snapshot.service(&service_name).ok_or_else(unknown)?;
    let allowed = account.object().is_some_and(|object| object.services.contains(&service_name));
    if !allowed {
        let message = format!("client account {} may not use {service_name}", account.name);
        return Err(Refusal::new(Reason::NotAllowed, message));
    }
    let operation = service.operations.get(&operation_name).ok_or_else(unknown)?;
    let item = Arc::from(format!("{service_name}/{operation_name}"));
    Ok((service.pool.clone(), operation.clone(), item))
}
