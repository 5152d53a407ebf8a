//! Router options of a request, from its headers or the `oleander` object of its body.

use crate::field_errors::FieldErrors;
use crate::headers::{
    DEADLINE_HEADER, KEY_HEADER, PRIORITY_HEADER, QUALITY_HEADER, SESSION_HEADER,
};
use http::HeaderMap;
use oleander_core::catalog::objects::Priority;
use oleander_core::ids::{IdempotencyKey, SessionId};
use oleander_core::session::TOKEN_PREFIX;
use oleander_core::units::{Millis, Quality};
use serde_json::{Map, Value};
use std::sync::Arc;

/// Longest deadline that a caller may set, in milliseconds.
pub const MAX_DEADLINE_MILLIS: u64 = 600_000;

/// How a request identifies its session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionOption {
    /// By the token from an earlier response.
    Token(Arc<str>),
    /// By a name that the caller made up.
    Named(SessionId),
}

/// Router options of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestOptions {
    /// Quality target.
    pub quality_target: Option<Quality>,
    /// Deadline for the complete answer.
    pub deadline: Option<Millis>,
    /// Priority.
    pub priority: Option<Priority>,
    /// Session.
    pub session: Option<SessionOption>,
    /// Idempotency key.
    pub key: Option<IdempotencyKey>,
}

/// Reads the options. A header takes precedence over the body.
pub fn read_options(
    headers: &HeaderMap,
    body: Option<&Map<String, Value>>,
    errors: &mut FieldErrors,
) -> RequestOptions {
    let source = OptionSource { headers, body };
    if let Some(body) = body {
        check_names(body, errors);
    }
    let read = |header, field, errors: &mut _| source.text(header, field, errors);
    let quality = read(QUALITY_HEADER, "quality_target", errors);
    let deadline = read(DEADLINE_HEADER, "deadline_ms", errors);
    let priority = read(PRIORITY_HEADER, "priority", errors);
    let session = read(SESSION_HEADER, "session", errors);
    let key = read(KEY_HEADER, "idempotency_key", errors);
    RequestOptions {
        quality_target: quality.and_then(|o| errors.check(&o.param, o.text.parse::<Quality>())),
        deadline: deadline.and_then(|o| errors.check(&o.param, parse_deadline(&o.text))),
        priority: priority.and_then(|o| errors.check(&o.param, parse_priority(&o.text))),
        session: session.and_then(|o| errors.check(&o.param, parse_session(&o.text))),
        key: key.and_then(|o| errors.check(&o.param, IdempotencyKey::new(&o.text))),
    }
}

const BODY_FIELDS: [&str; 5] =
    ["quality_target", "deadline_ms", "priority", "session", "idempotency_key"];

fn check_names(body: &Map<String, Value>, errors: &mut FieldErrors) {
    for name in body.keys().filter(|name| !BODY_FIELDS.contains(&name.as_str())) {
        errors.add(format!("oleander.{name}"), "is no option");
    }
}

struct OptionText {
    param: String,
    text: String,
}

struct OptionSource<'a> {
    headers: &'a HeaderMap,
    body: Option<&'a Map<String, Value>>,
}

impl OptionSource<'_> {
    fn text(&self, header: &str, field: &str, errors: &mut FieldErrors) -> Option<OptionText> {
        if let Some(value) = self.headers.get(header) {
            let text = errors.check(header, value.to_str().map_err(|_| "is not plain text"))?;
            return Some(OptionText { param: header.to_owned(), text: text.to_owned() });
        }
        let param = format!("oleander.{field}");
        match self.body?.get(field)? {
            Value::Null => None,
            Value::String(text) => Some(OptionText { param, text: text.clone() }),
            Value::Number(number) => Some(OptionText { param, text: number.to_string() }),
            _ => {
                errors.add(param, "must be a string or a number");
                None
            }
        }
    }
}

fn parse_deadline(text: &str) -> Result<Millis, String> {
    let invalid = || format!("must be whole milliseconds from 1 to {MAX_DEADLINE_MILLIS}");
    let millis: u64 = text.parse().map_err(|_| invalid())?;
    if (1..=MAX_DEADLINE_MILLIS).contains(&millis) {
        Ok(Millis::new(millis))
    } else {
        Err(invalid())
    }
}

fn parse_priority(text: &str) -> Result<Priority, &'static str> {
    match text {
        "low" => Ok(Priority::Low),
        "normal" => Ok(Priority::Normal),
        "high" => Ok(Priority::High),
        _ => Err("must be low, normal or high"),
    }
}

fn parse_session(text: &str) -> Result<SessionOption, String> {
    if text.starts_with(TOKEN_PREFIX) {
        return Ok(SessionOption::Token(Arc::from(text)));
    }
    SessionId::new(text).map(SessionOption::Named).map_err(|error| error.to_string())
}
