//! What a choice of an upstream is weighed in: thousandths of a thousandth of a plain answer.
//!
//! The figures are the users' own: their reports price bytes between regions, prompt parts that
//! are read again and late answers, all against the worth of answers.

use crate::wire_format::TokenSize;
use oleander_core::units::Money;
use std::time::Duration;

/// Worth of a plain answer.
pub const PLAIN_ANSWER_VALUE: f64 = 1_000_000.0;
/// Worth of a token of an answer's size at rank 0; each rank below is worth half as much. Fits
/// the users' kinds of requests (4.5, 2.1 and 0.38 plain answers) within a tenth.
const TOKEN_VALUE: f64 = 560.0;
const PRIORITY_FACTOR: f64 = 0.5;
/// Tokens of a prompt that a token of the answer counts for.
const ANSWER_TOKEN_WEIGHT: f64 = 10.0;
/// Part of an answer's worth that a delay of its whole goal costs: about a third of answers
/// that come late at all are late by so much.
const LATE_PENALTY_SHARE: f64 = 0.3;
/// Price of a kilobyte between regions.
const KILOBYTE_PRICE: f64 = 4_600.0;
/// Price of a thousand shared prompt tokens that are read again.
const CACHE_MISS_PRICE: f64 = 37_000.0;
/// Bytes of a stream for each token of the answer, events and their frames included.
const TOKEN_BYTES: f64 = 12.0;
const PER_KILO: f64 = 1_000.0;

/// Worth of an answer.
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

/// Prices that a choice is made with.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ChoicePrices {
    /// A second of latency.
    pub second: Money,
    /// Moving the request and its answer between regions.
    pub transfer: Money,
    /// Reading again what other requests share.
    pub cache_miss: Money,
}

/// A request, as prices depend on it.
#[derive(Clone, Copy, Debug)]
pub struct PricedRequest {
    /// Tokens, at engines.
    pub size: Option<TokenSize>,
    /// Tokens of the prompt that others share.
    pub shared_tokens: u32,
    /// Bytes of its body.
    pub body_bytes: usize,
    /// Its rank.
    pub priority: u8,
    /// Time within which its answer is worth all.
    pub latency_target: Duration,
    /// Price of a generated token of the model, in plain answers per thousand.
    pub model_cost: f64,
}

/// Prices for a request.
#[must_use]
pub fn prices(request: &PricedRequest) -> ChoicePrices {
    let value = answer_value(request.size, request.priority);
    let latency_target = request.latency_target.as_secs_f64().max(0.001);
    let answer = f64::from(request.size.map_or(0, |size| size.answer)) * TOKEN_BYTES;
    let kilobytes = (request.body_bytes as f64 + answer) / PER_KILO;
    let read = CACHE_MISS_PRICE + request.model_cost * PLAIN_ANSWER_VALUE / 4.0;
    let money = |micros: f64| Money::from_micros(micros as u64);
    ChoicePrices {
        second: money(value * LATE_PENALTY_SHARE / latency_target),
        transfer: money(kilobytes * KILOBYTE_PRICE),
        cache_miss: money(f64::from(request.shared_tokens) / PER_KILO * read),
    }
}
