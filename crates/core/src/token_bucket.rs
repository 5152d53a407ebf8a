//! Rate limiter with a burst.

use crate::units::Timestamp;
use std::time::Duration;

/// A token bucket. Its rate and burst may change at any time, because the shares of an account's
/// rate move between hosts.
///
/// ```
/// use oleander_core::token_bucket::TokenBucket;
/// use oleander_core::units::Timestamp;
/// use std::time::Duration;
///
/// let start = Timestamp::from_millis(0);
/// let mut bucket = TokenBucket::new(2.0, 1.0, start);
/// assert_eq!(bucket.try_take(start), Ok(()));
/// assert_eq!(bucket.try_take(start), Err(Duration::from_millis(500)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    refilled_at: Timestamp,
}

/// Retry delay of a bucket without any rate. By then the catalog may have changed.
const NO_RATE_WAIT: Duration = Duration::from_secs(60);

impl TokenBucket {
    /// A full bucket of `burst` tokens that is refilled with `rate` tokens per second.
    #[must_use]
    pub const fn new(rate: f64, burst: f64, now: Timestamp) -> Self {
        Self { rate, burst, level: burst, refilled_at: now }
    }

    /// Sets the number of tokens that it holds, at most its burst.
    #[must_use]
    pub const fn with_level(mut self, level: f64) -> Self {
        self.level = level.min(self.burst);
        self
    }

    /// Updates rate and burst.
    pub fn set(&mut self, rate: f64, burst: f64, now: Timestamp) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// The time until a token is available.
    pub fn try_take(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.refill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        if self.rate <= 0.0 || self.burst < 1.0 {
            return Err(NO_RATE_WAIT);
        }
        let seconds = (1.0 - self.level) / self.rate;
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(NO_RATE_WAIT))
    }

    /// The time until a token is available; `None` if one is now.
    #[must_use]
    pub fn wait(&self, now: Timestamp) -> Option<Duration> {
        let mut later = *self;
        later.try_take(now).err()
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
