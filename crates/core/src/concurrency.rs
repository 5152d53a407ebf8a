//! Adaptive limit of this host's concurrent requests at one upstream.

use crate::units::Timestamp;
use std::time::Duration;

/// Time to first token, as a multiple of the best one, above which an upstream is saturated.
const SATURATION_FACTOR: f64 = 3.0;
/// Factor on the limit when the upstream is saturated or refuses a request.
const DECREASE_FACTOR: f64 = 0.85;
/// Weight of each sample in the best time, so that the best time can rise again.
const BEST_TIME_GAIN: f64 = 0.002;
/// Shortest time between two decreases: one round of answers.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(500);

/// Limit of requests in flight at one upstream with additive increase and multiplicative
/// decrease: it grows by one per round of fast answers and shrinks by a factor when answers are
/// slow or the upstream refuses a request.
///
/// ```
/// use oleander_core::concurrency::ConcurrencyLimit;
/// use oleander_core::units::Timestamp;
/// use std::time::Duration;
///
/// let mut limit = ConcurrencyLimit::new(8, 2, 64);
/// limit.record_refusal(Timestamp::from_millis(1_000));
/// assert_eq!(limit.get(), 6);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    min_limit: f64,
    max_limit: f64,
    best_seconds: f64,
    decreased_at: Option<Timestamp>,
}

impl ConcurrencyLimit {
    /// A limit that starts at `start` and stays between `min_limit` and `max_limit`.
    #[must_use]
    pub fn new(start: u32, min_limit: u32, max_limit: u32) -> Self {
        let min_limit = f64::from(min_limit.max(1));
        let max_limit = f64::from(max_limit).max(min_limit);
        let limit = f64::from(start).clamp(min_limit, max_limit);
        Self { limit, min_limit, max_limit, best_seconds: f64::INFINITY, decreased_at: None }
    }

    /// The current limit.
    #[must_use]
    pub const fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Records an answer whose first token took `first_token`, with `in_flight` requests at the
    /// upstream.
    pub fn record_answer(&mut self, first_token: Duration, in_flight: u32, now: Timestamp) {
        let seconds = first_token.as_secs_f64();
        self.best_seconds = self.best_seconds.min(seconds);
        let is_slow = seconds > self.best_seconds * SATURATION_FACTOR;
        self.best_seconds += (seconds - self.best_seconds) * BEST_TIME_GAIN;
        if is_slow {
            self.decrease(now);
        } else if f64::from(in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max_limit);
        }
    }

    /// Records that the upstream refused for lack of capacity, or did not answer in time.
    pub fn record_refusal(&mut self, now: Timestamp) {
        self.decrease(now);
    }

    fn decrease(&mut self, now: Timestamp) {
        let is_recent = |at: Timestamp| now.since(at) < MIN_DECREASE_INTERVAL;
        if self.decreased_at.is_some_and(is_recent) {
            return;
        }
        self.decreased_at = Some(now);
        self.limit = (self.limit * DECREASE_FACTOR).max(self.min_limit);
    }
}
