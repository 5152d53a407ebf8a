//! Deadline of a request, propagated through every hop.

use crate::units::{Millis, Timestamp};
use std::time::Duration;

/// Header with the milliseconds left for the next hop. A relative time needs no synchronized
/// clocks.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// The time after which the answer to a request is no longer useful.
///
/// ```
/// use oleander_core::deadline::Deadline;
/// use oleander_core::units::{Millis, Timestamp};
/// use std::time::Duration;
///
/// let start = Timestamp::from_millis(1_000);
/// let deadline = Deadline::new(start, Millis::new(500));
/// let later = start + Duration::from_millis(200);
/// assert_eq!(deadline.left(later), Duration::from_millis(300));
/// assert_eq!(deadline.next_hop_budget(later, Duration::from_millis(100)), Some(Millis::new(200)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Deadline(Timestamp);

impl Deadline {
    /// A deadline `budget` from now.
    #[must_use]
    pub fn new(now: Timestamp, budget: Millis) -> Self {
        Self(now + budget.as_duration())
    }

    /// The earlier of the deadline and `budget` from now, e.g. when a caller requests less time.
    #[must_use]
    pub fn with_limit(self, now: Timestamp, budget: Millis) -> Self {
        self.min(Self::new(now, budget))
    }

    /// The time of the deadline.
    #[must_use]
    pub const fn at(self) -> Timestamp {
        self.0
    }

    /// The time left; zero after the deadline.
    #[must_use]
    pub const fn left(self, now: Timestamp) -> Duration {
        self.0.since(now)
    }

    /// Whether the deadline has passed.
    #[must_use]
    pub fn is_past(self, now: Timestamp) -> bool {
        now >= self.0
    }

    /// The time budget to send to the next hop: the time left minus `reserve` for the way back.
    /// `None` when no time is left, in which case the request must not be forwarded.
    #[must_use]
    pub fn next_hop_budget(self, now: Timestamp, reserve: Duration) -> Option<Millis> {
        let left = self.left(now).checked_sub(reserve)?;
        (!left.is_zero()).then(|| Millis::new(left.as_millis() as u64))
    }
}
