//! Headers of the callers' API.

use crate::identity::RequestIdentity;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Request header: quality target, from 0 to 1.
pub const QUALITY_HEADER: &str = "x-oleander-quality-target";
/// Request header: deadline for the complete answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-oleander-deadline-ms";
/// Request header: priority, one of `low`, `normal` and `high`.
pub const PRIORITY_HEADER: &str = "x-oleander-priority";
/// Session token, or in requests the caller's own name for the session.
pub const SESSION_HEADER: &str = "x-oleander-session";
/// Request header: idempotency key, which repeats of one request share.
pub const KEY_HEADER: &str = "idempotency-key";
/// Response header: id under which the request is billed. Repeats under one idempotency key share
/// it.
pub const REQUEST_HEADER: &str = "x-oleander-request-id";
/// Response header: id of this run, which upstreams see, when it differs from the request id.
pub const RUN_HEADER: &str = "x-oleander-run-id";
/// Response header: version that answered.
pub const VERSION_HEADER: &str = "x-oleander-version";
/// Response header: step of the cascade that answered, from 0.
pub const STEP_HEADER: &str = "x-oleander-cascade-step";
/// Response header: price that the client account pays.
pub const COST_HEADER: &str = "x-oleander-cost";
/// Response header: reason code of a refusal.
pub const REASON_HEADER: &str = "x-oleander-reason";
/// Response header: whether any of the request ran.
pub const RUN_STATE_HEADER: &str = "x-oleander-run-state";
/// Response header: `1` when the answer is the stored one of an earlier request.
pub const REPLAYED_HEADER: &str = "x-oleander-replayed";

/// Sets the headers with the request's ids.
pub fn set_identity(headers: &mut HeaderMap, ids: RequestIdentity) {
    set_header(headers, REQUEST_HEADER, &ids.billed.to_string());
    if ids.run != ids.billed {
        set_header(headers, RUN_HEADER, &ids.run.to_string());
    }
}

/// Sets a header, unless the value has characters that headers do not allow.
pub fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
