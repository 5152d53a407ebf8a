//! Prices used to choose an upstream, in millionths of the value of a plain answer: an answer of a
//! service without models.
//!
//! The constants come from the operators' price reports, which give inter-region traffic, prefix
//! cache misses and late answers relative to the value of an answer.

use crate::wire_format::TokenSize;
use oleander_core::units::Money;
use std::time::Duration;

/// Value of a plain answer.
pub const PLAIN_ANSWER_VALUE: f64 = 1_000_000.0;
/// Value per weighted token at priority 0; each priority below that halves it. Matches the
/// operators' request classes (4.5, 2.1 and 0.38 plain answers) within a tenth.
const TOKEN_VALUE: f64 = 560.0;
const PRIORITY_FACTOR: f64 = 0.5;
/// Prompt tokens that one answer token is equivalent to.
const ANSWER_TOKEN_WEIGHT: f64 = 10.0;
/// Share of an answer's value lost per latency target of delay: about a third of the late answers
/// are late by that much.
const LATE_PENALTY_SHARE: f64 = 0.3;
/// Price of a kilobyte sent between regions.
const KILOBYTE_PRICE: f64 = 4_600.0;
/// Price of a prefix cache miss per thousand shared prompt tokens.
const CACHE_MISS_PRICE: f64 = 37_000.0;
/// Bytes of a stream per answer token, including event framing.
const TOKEN_BYTES: f64 = 12.0;
const PER_KILO: f64 = 1_000.0;

/// Value of an answer.
///
/// ```
/// use oleander_gateway::choice_price::{PLAIN_ANSWER_VALUE, answer_value};
/// use oleander_gateway::wire_format::TokenSize;
///
/// let note = TokenSize { prompt: 826, answer: 294 };
/// assert!((answer_value(Some(note), 0) / PLAIN_ANSWER_VALUE - 2.1).abs() < 0.1);
/// assert_eq!(answer_value(None, 2), PLAIN_ANSWER_VALUE);
/// ```
#[must_use]
pub fn answer_value(size: Option<TokenSize>, priority: u8) -> f64 {
    let Some(size) = size else { return PLAIN_ANSWER_VALUE };
    let tokens = f64::from(size.prompt) + ANSWER_TOKEN_WEIGHT * f64::from(size.answer);
    TOKEN_VALUE * PRIORITY_FACTOR.powi(i32::from(priority)) * tokens
}

/// Prices that candidate upstreams are compared by.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ChoicePrices {
    /// Price of one second of latency.
    pub per_second: Money,
    /// Price of moving the request and its answer between regions.
    pub transfer: Money,
    /// Price of prefilling the shared prefix again on a cache miss.
    pub cache_miss: Money,
}

/// Properties of a request that prices depend on.
#[derive(Clone, Copy, Debug)]
pub struct PricedRequest {
    /// Token counts; `None` for plain services.
    pub size: Option<TokenSize>,
    /// Prompt tokens shared with other requests.
    pub shared_tokens: u32,
    /// Size of the body in bytes.
    pub body_bytes: usize,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Time within which an answer has its full value.
    pub latency_target: Duration,
    /// Price of a generated token of the model, in plain answers per thousand.
    pub model_cost: f64,
}

/// Computes the prices for a request.
#[must_use]
pub fn prices(request: &PricedRequest) -> ChoicePrices {
    let value = answer_value(request.size, request.priority);
    let latency_target = request.latency_target.as_secs_f64().max(0.001);
    let answer = f64::from(request.size.map_or(0, |size| size.answer)) * TOKEN_BYTES;
    let kilobytes = (request.body_bytes as f64 + answer) / PER_KILO;
    let kilotoken_price = CACHE_MISS_PRICE + request.model_cost * PLAIN_ANSWER_VALUE / 4.0;
    let money = |micros: f64| Money::from_micros(micros as u64);
    ChoicePrices {
        per_second: money(value * LATE_PENALTY_SHARE / latency_target),
        transfer: money(kilobytes * KILOBYTE_PRICE),
        cache_miss: money(f64::from(request.shared_tokens) / PER_KILO * kilotoken_price),
    }
}
