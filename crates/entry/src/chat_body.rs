//! Validates the body of a chat request and builds the body for an upstream.

use crate::field_errors::FieldErrors;
use crate::options::{RequestOptions, read_options};
use crate::refusal::Refusal;
use bytes::Bytes;
use http::HeaderMap;
use oleander_core::ids::{TargetName, VersionName};
use oleander_core::reason::Reason;
use oleander_core::units::TokenCount;
use serde_json::{Map, Value, json};

/// Largest body of a chat request, in bytes.
pub const MAX_CHAT_BODY: usize = 4 * 1024 * 1024;
/// Largest number of messages in a request.
pub const MAX_MESSAGES: usize = 4_096;
const OPTIONS_FIELD: &str = "oleander";

/// A validated chat request.
#[derive(Clone, Debug)]
pub struct ChatBody {
    /// Cascade, model or version that the request names as `model`.
    pub target: TargetName,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a stream ends with a usage chunk.
    pub include_usage: bool,
    /// Token limit of the answer, if the caller sets one.
    pub max_tokens: Option<TokenCount>,
    /// Bytes of text in the messages.
    pub prompt_bytes: usize,
    /// Options of the router.
    pub options: RequestOptions,
    fields: Map<String, Value>,
}

impl ChatBody {
    /// Validates a body and the headers that came with it.
    ///
    /// # Errors
    ///
    /// A refusal that names every invalid field.
    pub fn parse(body: &[u8], headers: &HeaderMap) -> Result<Self, Refusal> {
        let fields = parse_object(body)?;
        let mut errors = FieldErrors::new();
        let target = read_target(&fields, &mut errors);
        let prompt_bytes = check_messages(&fields, &mut errors);
        let stream = read_flag(fields.get("stream"), "stream", &mut errors);
        let include_usage = read_include_usage(&fields, &mut errors);
        let max_tokens = read_max_tokens(&fields, &mut errors);
        check_choices(&fields, &mut errors);
        let inner = read_object(&fields, OPTIONS_FIELD, &mut errors);
        let options = read_options(headers, inner, &mut errors);
        errors.finish()?;
        let target = target.ok_or_else(|| Refusal::new(Reason::BadRequest, "model is missing"))?;
        Ok(Self { target, stream, include_usage, max_tokens, prompt_bytes, options, fields })
    }

    /// Builds the body for an upstream. Upstreams always stream their answers to the router.
    pub fn upstream_body(&self, version: &VersionName, answer_tokens: TokenCount) -> Bytes {
        let mut fields = self.fields.clone();
        fields.remove(OPTIONS_FIELD);
        fields.remove("max_completion_tokens");
        fields.insert("model".to_owned(), json!(version.as_str()));
        fields.insert("max_tokens".to_owned(), json!(answer_tokens.get()));
        fields.insert("stream".to_owned(), json!(true));
        fields.insert("stream_options".to_owned(), json!({"include_usage": true}));
        Bytes::from(serde_json::to_vec(&fields).unwrap_or_default())
    }

    /// Returns the content of each message whose content is a string, for prefix hints.
    pub fn message_texts(&self) -> Vec<&str> {
        let messages = self.fields.get("messages").and_then(Value::as_array);
        let texts = messages.into_iter().flatten().map(|message| message.get("content"));
        texts.filter_map(|content| content.and_then(Value::as_str)).collect()
    }
}

/// Parses a JSON object.
///
/// # Errors
///
/// A refusal with line and column of the syntax error, or when the value is not an object.
pub fn parse_object(body: &[u8]) -> Result<Map<String, Value>, Refusal> {
    let refuse = |message: String| Refusal::new(Reason::BadRequest, message);
    let value: Value = serde_json::from_slice(body).map_err(|error| {
        refuse(format!("the body is not JSON: {error}")).with_param(format!(
            "line {} column {}",
            error.line(),
            error.column()
        ))
    })?;
    match value {
        Value::Object(fields) => Ok(fields),
        _ => Err(refuse("the body must be a JSON object".to_owned())),
    }
}

fn read_target(fields: &Map<String, Value>, errors: &mut FieldErrors) -> Option<TargetName> {
    match fields.get("model") {
        Some(Value::String(text)) => errors.check("model", TargetName::new(text)),
        Some(_) => {
            errors.add("model", "must be a string");
            None
        }
        None => {
            errors.add("model", "is missing; name a cascade, a model or a version");
            None
        }
    }
}

fn check_messages(fields: &Map<String, Value>, errors: &mut FieldErrors) -> usize {
    let Some(messages) = fields.get("messages").and_then(Value::as_array) else {
        errors.add("messages", "must be an array of messages");
        return 0;
    };
    if messages.is_empty() || messages.len() > MAX_MESSAGES {
        errors.add("messages", format!("must hold 1 to {MAX_MESSAGES} messages"));
    }
    let checked = messages.iter().enumerate();
    checked.map(|(index, message)| check_message(index, message, errors)).sum()
}

fn check_message(index: usize, message: &Value, errors: &mut FieldErrors) -> usize {
    let Some(message) = message.as_object() else {
        errors.add(format!("messages[{index}]"), "must be an object");
        return 0;
    };
    if !message.get("role").is_some_and(Value::is_string) {
        errors.add(format!("messages[{index}].role"), "must be a string");
    }
    match message.get("content") {
        None | Some(Value::Null) => 0,
        Some(Value::String(text)) => text.len(),
        Some(Value::Array(parts)) => parts.iter().map(part_bytes).sum(),
        Some(_) => {
            errors.add(format!("messages[{index}].content"), "must be a string or an array");
            0
        }
    }
}

fn part_bytes(part: &Value) -> usize {
    part.get("text").and_then(Value::as_str).map_or(0, str::len)
}

fn read_flag(value: Option<&Value>, param: &str, errors: &mut FieldErrors) -> bool {
    match value {
        None | Some(Value::Null) => false,
        Some(Value::Bool(flag)) => *flag,
        Some(_) => {
            errors.add(param, "must be true or false");
            false
        }
    }
}

fn read_include_usage(fields: &Map<String, Value>, errors: &mut FieldErrors) -> bool {
    let options = read_object(fields, "stream_options", errors);
    let value = options.and_then(|options| options.get("include_usage"));
    read_flag(value, "stream_options.include_usage", errors)
}

fn read_max_tokens(fields: &Map<String, Value>, errors: &mut FieldErrors) -> Option<TokenCount> {
    let name = ["max_completion_tokens", "max_tokens"];
    let name = name.into_iter().find(|name| fields.get(*name).is_some_and(|v| !v.is_null()))?;
    let count = fields.get(name).and_then(Value::as_u64).and_then(|n| u32::try_from(n).ok());
    let count = count.filter(|&count| count > 0);
    if count.is_none() {
        errors.add(name, "must be a whole number above 0");
    }
    count.map(TokenCount::new)
}

fn check_choices(fields: &Map<String, Value>, errors: &mut FieldErrors) {
    if let Some(value) = fields.get("n")
        && !value.is_null()
        && value.as_u64() != Some(1)
    {
        errors.add("n", "must be 1: one answer per request is routed and billed");
    }
}

fn read_object<'a>(
    fields: &'a Map<String, Value>,
    name: &str,
    errors: &mut FieldErrors,
) -> Option<&'a Map<String, Value>> {
    match fields.get(name)? {
        Value::Null => None,
        Value::Object(inner) => Some(inner),
        _ => {
            errors.add(name, "must be an object");
            None
        }
    }
}
