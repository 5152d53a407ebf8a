//! The W3C `traceparent` header.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Header that carries a [`TraceContext`] in requests and responses.
pub const TRACEPARENT_HEADER: &str = "traceparent";
const SAMPLED: u8 = 1;

/// The trace and span of a request.
///
/// ```
/// use oleander_core::trace_context::TraceContext;
///
/// let text = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
/// let context: TraceContext = text.parse().unwrap();
/// assert!(context.is_sampled());
/// assert_eq!(context.with_span(0xb7ad6b7169203331).to_string(), text);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    trace: u128,
    span: u64,
    flags: u8,
}

impl TraceContext {
    /// A new sampled trace. Zero ids are invalid and are replaced by 1.
    #[must_use]
    pub fn new(trace: u128, span: u64) -> Self {
        Self { trace: trace.max(1), span: span.max(1), flags: SAMPLED }
    }

    /// The same trace under another span.
    #[must_use]
    pub fn with_span(self, span: u64) -> Self {
        Self { span: span.max(1), ..self }
    }

    /// The trace id.
    #[must_use]
    pub const fn trace(&self) -> u128 {
        self.trace
    }

    /// Whether the trace is recorded.
    #[must_use]
    pub const fn is_sampled(&self) -> bool {
        self.flags & SAMPLED != 0
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "00-{:032x}-{:016x}-{:02x}", self.trace, self.span, self.flags)
    }
}

/// The text is not a valid `traceparent` header.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a traceparent header")]
pub struct TraceContextError(Arc<str>);

impl FromStr for TraceContext {
    type Err = TraceContextError;

    fn from_str(text: &str) -> Result<Self, TraceContextError> {
        parse(text).ok_or_else(|| TraceContextError(Arc::from(text)))
    }
}

fn parse(text: &str) -> Option<TraceContext> {
    let mut parts = text.split('-');
    let version = hex(parts.next()?, 2)?;
    let trace = hex(parts.next()?, 32)?;
    let span = hex(parts.next()?, 16)?;
    let flags = hex(parts.next()?, 2)?;
    let has_more = parts.next().is_some();
    if version == 0xff || (version == 0 && has_more) || trace == 0 || span == 0 {
        return None;
    }
    Some(TraceContext { trace, span: span as u64, flags: flags as u8 })
}

fn hex(text: &str, digits: usize) -> Option<u128> {
    let is_lowercase_hex = text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    (text.len() == digits && is_lowercase_hex)
        .then(|| u128::from_str_radix(text, 16).ok())
        .flatten()
}
