//! When refused callers should come back to a service that takes a known number of requests a second.

use crate::request_rate::RequestRate;
use crate::units::Timestamp;
use std::time::Duration;

/// Maximum time until a turn. A caller that is told to wait longer gives up.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Hands out turns, one after the other at the rate at which requests are taken.
///
/// ```
/// use oleander_core::request_rate::RequestRate;
/// use oleander_core::retry_turns::RetryTurns;
/// use oleander_core::units::Timestamp;
/// use std::time::Duration;
///
/// let (mut turns, now) = (RetryTurns::default(), Timestamp::from_millis(1_000));
/// let rate = RequestRate::new(2.0);
/// assert_eq!(turns.next_turn(rate, now), Duration::from_millis(500));
/// assert_eq!(turns.next_turn(rate, now), Duration::from_millis(1_000));
/// assert_eq!(turns.next_turn(rate, now + Duration::from_secs(5)), Duration::from_millis(500));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryTurns {
    last: Timestamp,
}

impl RetryTurns {
    /// The time until the next turn.
    pub fn next_turn(&mut self, rate: RequestRate, now: Timestamp) -> Duration {
        let gap = Duration::try_from_secs_f64(1.0 / rate.per_second()).unwrap_or(MAX_WAIT);
        self.last = (self.last.max(now) + gap.min(MAX_WAIT)).min(now + MAX_WAIT);
        self.last.since(now)
    }
}
