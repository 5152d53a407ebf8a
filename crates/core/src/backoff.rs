//! Exponential backoff with full jitter between attempts.

use crate::stable_hash::unit_point;
use std::time::Duration;

/// Largest exponent, so that the shift cannot overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Delays between retries of one request.
///
/// ```
/// use oleander_core::backoff::RetryBackoff;
/// use std::time::Duration;
///
/// let backoff = RetryBackoff::new(Duration::from_millis(50), Duration::from_secs(2));
/// assert!(backoff.wait(3, u64::MAX) <= Duration::from_millis(400));
/// assert_eq!(backoff.wait(3, 0), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBackoff {
    base: Duration,
    longest: Duration,
}

impl RetryBackoff {
    /// Delays between 0 and `base`, doubled with every retry up to `longest`.
    #[must_use]
    pub const fn new(base: Duration, longest: Duration) -> Self {
        Self { base, longest }
    }

    /// The delay before retry number `retry`, counted from 0. `random` selects the jitter.
    #[must_use]
    pub fn wait(&self, retry: u32, random: u64) -> Duration {
        let factor = 1u32 << retry.min(MAX_DOUBLINGS);
        let bound = self.base.saturating_mul(factor).min(self.longest);
        bound.mul_f64(unit_point(random))
    }
}
