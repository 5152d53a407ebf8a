//! Less work for an upstream that has just come up or just loaded a version.

use crate::units::Timestamp;
use std::time::Duration;

/// Time in which an upstream is warmed up.
pub const DEFAULT_WARM_UP: Duration = Duration::from_secs(20);
const MIN_SHARE: f64 = 0.1;

/// Ramp of an upstream's share of work.
///
/// ```
/// use oleander_core::slow_start::SlowStart;
/// use oleander_core::units::Timestamp;
/// use std::time::Duration;
///
/// let start = SlowStart::new(Duration::from_secs(10));
/// let loaded = Timestamp::from_millis(0);
/// assert_eq!(start.share(loaded, Timestamp::from_millis(5_000)), 0.5);
/// assert_eq!(start.share(loaded, Timestamp::from_millis(60_000)), 1.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStart {
    warm_up: Duration,
}

impl Default for SlowStart {
    fn default() -> Self {
        Self::new(DEFAULT_WARM_UP)
    }
}

impl SlowStart {
    /// A linear ramp over `warm_up`.
    #[must_use]
    pub const fn new(warm_up: Duration) -> Self {
        Self { warm_up }
    }

    /// Share of full work, from a tenth to 1, for an upstream ready since `ready_at`.
    #[must_use]
    pub fn share(&self, ready_at: Timestamp, now: Timestamp) -> f64 {
        if self.warm_up.is_zero() {
            return 1.0;
        }
        let passed = now.since(ready_at).as_secs_f64() / self.warm_up.as_secs_f64();
        passed.clamp(MIN_SHARE, 1.0)
    }
}
