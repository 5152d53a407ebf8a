//! When to read the head row and when to try again, with jitter.

use oleander_core::units::Timestamp;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Time between a reader's reads of the head row.
pub const READER_POLL: Duration = Duration::from_secs(1);
/// Time between reads of a process that is no reader, in case every rumor was lost.
pub const BACKSTOP_POLL: Duration = Duration::from_secs(30);
/// Longest time between reads while the store is out.
pub const LONGEST_BACKOFF: Duration = Duration::from_secs(8);
/// Share of a wait that jitter adds at most.
const JITTER_SHARE: f64 = 0.3;
/// Doublings after which the backoff grows no more.
const MAX_DOUBLINGS: u32 = 5;

/// Something that is done again and again, later after failures.
#[derive(Debug)]
pub struct RetrySchedule {
    next_at: Timestamp,
    failures: u32,
    in_flight: bool,
    rng: StdRng,
}

impl RetrySchedule {
    /// Due at once; `seed` gives the jitter.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { next_at: Timestamp::default(), failures: 0, in_flight: false, rng }
    }

    /// Whether to start now; the caller then reports [`RetrySchedule::succeed`] or
    /// [`RetrySchedule::fail`].
    pub fn start(&mut self, now: Timestamp) -> bool {
        let due = !self.in_flight && now >= self.next_at;
        self.in_flight |= due;
        due
    }

    /// It worked; the next one is due after about `period`.
    pub fn succeed(&mut self, now: Timestamp, period: Duration) {
        self.in_flight = false;
        self.failures = 0;
        self.next_at = now + self.jittered(period);
    }

    /// It failed; the next one is due after `first`, doubled with each failure up to `longest`.
    pub fn fail(&mut self, now: Timestamp, first: Duration, longest: Duration) {
        self.in_flight = false;
        let wait = first * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        self.next_at = now + self.jittered(wait.min(longest));
    }

    /// Makes the next one due within `wait`.
    pub fn hasten(&mut self, now: Timestamp, wait: Duration) {
        self.next_at = self.next_at.min(now + wait);
    }

    /// Makes the next one due within `wait`, unless it waits because of a failure.
    pub fn hasten_if_well(&mut self, now: Timestamp, wait: Duration) {
        if self.failures == 0 {
            self.hasten(now, wait);
        }
    }

    fn jittered(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(1.0 + self.rng.random_range(0.0..JITTER_SHARE))
    }
}
