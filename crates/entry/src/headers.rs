//! Names of the headers towards callers.

use crate::identity::RequestIdentity;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Asks for a quality from 0 to 1.
pub const QUALITY_HEADER: &str = "x-oleander-quality-target";
/// Gives the time for the whole answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-oleander-deadline-ms";
/// Asks for a priority: `low`, `normal` or `high`.
pub const PRIORITY_HEADER: &str = "x-oleander-priority";
/// Carries a session's token or the caller's own name for it; answers carry the token.
pub const SESSION_HEADER: &str = "x-oleander-session";
/// Carries the caller's key for repeats of one request.
pub const KEY_HEADER: &str = "idempotency-key";
/// Carries the id of the request, under which it is billed. Repeats under one key share it.
pub const REQUEST_HEADER: &str = "x-oleander-request-id";
/// Carries the id of this run, under which upstreams see it, when it differs from the request's.
pub const RUN_HEADER: &str = "x-oleander-run-id";
/// Carries the version that answered.
pub const VERSION_HEADER: &str = "x-oleander-version";
/// Carries the step of the cascade that answered, from 0.
pub const STEP_HEADER: &str = "x-oleander-cascade-step";
/// Carries what the client account pays.
pub const COST_HEADER: &str = "x-oleander-cost";
/// Carries the reason code of a refusal.
pub const REASON_HEADER: &str = "x-oleander-reason";
/// Carries whether anything ran.
pub const RUN_STATE_HEADER: &str = "x-oleander-run-state";
/// Set to `1` on the stored answer of an earlier request.
pub const REPLAYED_HEADER: &str = "x-oleander-replayed";

/// Sets the ids of a request.
pub fn set_identity(headers: &mut HeaderMap, ids: RequestIdentity) {
    set_header(headers, REQUEST_HEADER, &ids.billed.to_string());
    if ids.run != ids.billed {
        set_header(headers, RUN_HEADER, &ids.run.to_string());
    }
}

/// Sets a header unless the value has forbidden characters.
pub fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
