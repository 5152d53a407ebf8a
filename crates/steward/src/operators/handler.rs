//! The operators' API over HTTP.

use crate::operators::messages::{EditCall, OperatorError, OperatorErrorCode, PublishCall};
use crate::operators::service::OperatorService;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oleander_adapters::http_server::{
    HttpHandler, ResponseBody, full_body, json_response, read_body,
};
use oleander_adapters::settings::SecretKey;
use oleander_core::units::Timestamp;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};
use std::str::FromStr;
use std::sync::Arc;

/// Prefix of every path of the API.
pub const OPERATORS_PATH: &str = "/operators/";
/// Maximum size of the body of a call, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Number of revisions that `history` lists by default.
const DEFAULT_HISTORY: usize = 20;
/// Maximum number of revisions that `history` lists.
const MAX_HISTORY: usize = 500;

/// Keys that authenticate operators.
struct OperatorKeys {
    digests: Vec<([u8; 32], Arc<str>)>,
}

impl OperatorKeys {
    fn new(keys: &[SecretKey]) -> Self {
        let digest = |key: &SecretKey| {
            (Sha256::digest(key.secret.as_bytes()).into(), Arc::from(key.id.as_str()))
        };
        Self { digests: keys.iter().map(digest).collect() }
    }

    /// The operator whose key a call carries. Digests are compared, so that the response time does
    /// not leak information about the key.
    fn operator(&self, request: &Request<Incoming>) -> Option<Arc<str>> {
        let header = request.headers().get(http::header::AUTHORIZATION)?.to_str().ok()?;
        let digest: [u8; 32] = Sha256::digest(header.strip_prefix("Bearer ")?.as_bytes()).into();
        let known = self.digests.iter().find(|(known, _)| *known == digest);
        known.map(|(_, operator)| Arc::clone(operator))
    }
}

/// Handler of the API, for callers with one of `keys`.
#[must_use]
pub fn operator_handler(service: Arc<OperatorService>, keys: &[SecretKey]) -> HttpHandler {
    let keys = Arc::new(OperatorKeys::new(keys));
    Arc::new(move |request, _| {
        let (service, keys) = (Arc::clone(&service), Arc::clone(&keys));
        Box::pin(async move { handle(&service, &keys, request).await })
    })
}

async fn handle(
    service: &OperatorService,
    keys: &OperatorKeys,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let Some(operator) = keys.operator(&request) else {
        let message = "no operator has this key; give one with --key-file";
        return error_response(&OperatorError::new(OperatorErrorCode::BadKey, message));
    };
    match route(service, &operator, request).await {
        Ok(response) => response,
        Err(error) => error_response(&error),
    }
}

async fn route(
    service: &OperatorService,
    operator: &str,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, OperatorError> {
    let uri = request.uri().clone();
    let path = uri.path().strip_prefix(OPERATORS_PATH).unwrap_or_default();
    let query = uri.query().unwrap_or_default();
    let (name, rest) = path.split_once('/').unwrap_or((path, ""));
    match (request.method(), name) {
        (&Method::GET, "status") => Ok(ok_response(&service.status().await)),
        (&Method::GET, "history") => {
            let limit = parameter(query, "limit")?.unwrap_or(DEFAULT_HISTORY).min(MAX_HISTORY);
            Ok(ok_response(&service.history(limit).await?))
        }
        (&Method::GET, "catalog") => {
            Ok(ok_response(&service.catalog(parameter(query, "revision")?).await?))
        }
        (&Method::GET, "bill") => {
            let from = parameter(query, "from")?.map_or(Timestamp::default(), to_time);
            let to = parameter(query, "to")?.map_or(to_time(MAX_MILLIS), to_time);
            Ok(ok_response(&service.bill(&parse(rest)?, from, to).await?))
        }
        (&Method::GET, "explain") => Ok(raw_json(service.explain(parse(rest)?).await?)),
        (&Method::POST, "publish") => {
            let call: PublishCall = read_call(request).await?;
            Ok(ok_response(&service.publish(&call, operator).await?))
        }
        (&Method::POST, "edit") => {
            let call: EditCall = read_call(request).await?;
            Ok(ok_response(&service.edit(&call, operator).await?))
        }
        (method, _) => {
            let message = format!("there is no {method} {}; see the interface", uri.path());
            Err(OperatorError::new(OperatorErrorCode::NotFound, message))
        }
    }
}

/// Maximum time that a request id can contain, in milliseconds.
const MAX_MILLIS: u64 = (1 << 48) - 1;

fn to_time(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis.min(MAX_MILLIS))
}

fn bad_call(message: impl Into<Arc<str>>) -> OperatorError {
    OperatorError::new(OperatorErrorCode::BadCall, message)
}

fn parse<T>(text: &str) -> Result<T, OperatorError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error: T::Err| bad_call(error.to_string()))
}

fn parameter<T>(query: &str, name: &str) -> Result<Option<T>, OperatorError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name).map(|(_, value)| value);
    value.map(parse).transpose()
}

async fn read_call<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, OperatorError> {
    let body = read_body(request.into_body(), MAX_BODY_BYTES).await;
    let body = body.map_err(|error| bad_call(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| bad_call(format!("the body is wrong: {error}")))
}

fn ok_response<T: Serialize>(value: &T) -> Response<ResponseBody> {
    json_response(StatusCode::OK, value)
}

fn raw_json(body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}

fn error_response(error: &OperatorError) -> Response<ResponseBody> {
    let status = match error.code {
        OperatorErrorCode::BadKey => StatusCode::UNAUTHORIZED,
        OperatorErrorCode::BadCall => StatusCode::BAD_REQUEST,
        OperatorErrorCode::NotFound => StatusCode::NOT_FOUND,
        OperatorErrorCode::Findings => StatusCode::UNPROCESSABLE_ENTITY,
        OperatorErrorCode::Conflict => StatusCode::CONFLICT,
        OperatorErrorCode::PlatformDown => StatusCode::SERVICE_UNAVAILABLE,
        OperatorErrorCode::Unsettled => StatusCode::GATEWAY_TIMEOUT,
    };
    json_response(status, error)
}
