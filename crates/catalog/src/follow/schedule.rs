//! Schedules of polls and retries, with jitter and exponential backoff.

use oleander_core::units::Timestamp;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Interval between reads of the head row by a reader.
pub const READER_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between reads of the head row by other processes, in case all rumors are lost.
pub const BACKSTOP_POLL_INTERVAL: Duration = Duration::from_secs(30);
/// Maximum interval between reads while the store is unavailable.
pub const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Maximum jitter, as a fraction of the wait.
const MAX_JITTER: f64 = 0.3;
/// Maximum number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 5;

/// Schedule of a repeated operation, with backoff after failures. At most one run is in flight.
#[derive(Debug)]
pub struct RetrySchedule {
    next_at: Timestamp,
    failures: u32,
    in_flight: bool,
    rng: StdRng,
}

impl RetrySchedule {
    /// Creates a schedule that is due at once. `seed` seeds the jitter.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { next_at: Timestamp::default(), failures: 0, in_flight: false, rng }
    }

    /// Returns whether to start a run now. The caller must then report the outcome with
    /// [`RetrySchedule::record_success`] or [`RetrySchedule::record_failure`].
    pub fn start(&mut self, now: Timestamp) -> bool {
        let due = !self.in_flight && now >= self.next_at;
        self.in_flight |= due;
        due
    }

    /// Records a successful run. The next one is due after `interval` plus jitter.
    pub fn record_success(&mut self, now: Timestamp, interval: Duration) {
        self.in_flight = false;
        self.failures = 0;
        self.next_at = now + self.jittered(interval);
    }

    /// Records a failed run. The next one is due after `first`, doubled with each consecutive
    /// failure up to `max`, plus jitter.
    pub fn record_failure(&mut self, now: Timestamp, first: Duration, max: Duration) {
        self.in_flight = false;
        let wait = first * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        self.next_at = now + self.jittered(wait.min(max));
    }

    /// Makes the next run due within `wait`.
    pub fn expedite(&mut self, now: Timestamp, wait: Duration) {
        self.next_at = self.next_at.min(now + wait);
    }

    /// Makes the next run due within `wait`, unless it is delayed by a failure.
    pub fn expedite_unless_failing(&mut self, now: Timestamp, wait: Duration) {
        if self.failures == 0 {
            self.expedite(now, wait);
        }
    }

    fn jittered(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(1.0 + self.rng.random_range(0.0..MAX_JITTER))
    }
}
