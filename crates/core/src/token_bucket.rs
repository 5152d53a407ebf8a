//! A rate with a burst.

use crate::units::Timestamp;
use std::time::Duration;

/// A token bucket. Its rate and burst may change at any time, as shares of an account's rate
/// move between hosts.
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
    filled_at: Timestamp,
}

/// What a bucket without any rate says: come back when the catalog may have changed.
const NO_RATE_WAIT: Duration = Duration::from_secs(60);

impl TokenBucket {
    /// A full bucket of `burst` tokens that fills with `rate` tokens a second.
    #[must_use]
    pub const fn new(rate: f64, burst: f64, now: Timestamp) -> Self {
        Self { rate, burst, level: burst, filled_at: now }
    }

    /// Changes rate and burst.
    pub fn set(&mut self, rate: f64, burst: f64, now: Timestamp) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// The time until a token is there.
    pub fn try_take(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.fill(now);
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

    fn fill(&mut self, now: Timestamp) {
        let passed = now.since(self.filled_at).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }
}
