//! Slow start of an upstream that has just started or just loaded a version.

use crate::units::Timestamp;
use std::time::Duration;

/// Default duration of the warm-up.
pub const DEFAULT_WARM_UP: Duration = Duration::from_secs(20);
const MIN_SHARE: f64 = 0.1;

/// Linear ramp of the share of load of an upstream.
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

    /// Share of full load, from 0.1 to 1, for an upstream that is ready since `ready_at`.
    #[must_use]
    pub fn share(&self, ready_at: Timestamp, now: Timestamp) -> f64 {
        if self.warm_up.is_zero() {
            return 1.0;
        }
        let progress = now.since(ready_at).as_secs_f64() / self.warm_up.as_secs_f64();
        progress.clamp(MIN_SHARE, 1.0)
    }
}
