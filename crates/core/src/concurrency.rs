//! How many requests of this host an upstream runs well, learned from how it answers.

use crate::units::Timestamp;
use std::time::Duration;

/// First-token time, as a multiple of the best seen, from which an upstream counts as full.
const FULL_FACTOR: f64 = 3.0;
/// Factor on the limit when an upstream is full or refuses.
const DECREASE: f64 = 0.85;
/// Weight of a new best time against the old, so that the best can rise again.
const BEST_DRIFT: f64 = 0.002;
/// Least time between two decreases: one round of answers.
const DECREASE_PAUSE: Duration = Duration::from_millis(500);

/// Adaptive limit of requests in flight at one upstream: up by one per round while answers come
/// fast, down by a factor when they come slowly or the upstream refuses.
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
    least: f64,
    most: f64,
    best_seconds: f64,
    decreased_at: Option<Timestamp>,
}

impl ConcurrencyLimit {
    /// A limit that starts at `start` and stays within `least` and `most`.
    #[must_use]
    pub fn new(start: u32, least: u32, most: u32) -> Self {
        let least = f64::from(least.max(1));
        let most = f64::from(most).max(least);
        let limit = f64::from(start).clamp(least, most);
        Self { limit, least, most, best_seconds: f64::INFINITY, decreased_at: None }
    }

    /// The limit now.
    #[must_use]
    pub const fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Notes an answer whose first token took `first_token`, with `in_flight` requests there.
    pub fn record_answer(&mut self, first_token: Duration, in_flight: u32, now: Timestamp) {
        let seconds = first_token.as_secs_f64();
        self.best_seconds = self.best_seconds.min(seconds);
        let slow = seconds > self.best_seconds * FULL_FACTOR;
        self.best_seconds += (seconds - self.best_seconds) * BEST_DRIFT;
        if slow {
            self.decrease(now);
        } else if f64::from(in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.most);
        }
    }

    /// Notes that the upstream refused for lack of room, or did not answer in time.
    pub fn record_refusal(&mut self, now: Timestamp) {
        self.decrease(now);
    }

    fn decrease(&mut self, now: Timestamp) {
        let soon = |at: Timestamp| now.since(at) < DECREASE_PAUSE;
        if self.decreased_at.is_some_and(soon) {
            return;
        }
        self.decreased_at = Some(now);
        self.limit = (self.limit * DECREASE).max(self.least);
    }
}
