//! The time left for a request, carried through every hop.

use crate::units::{Millis, Timestamp};
use std::time::Duration;

/// Carries the milliseconds left to the next hop. Clocks of two hosts need not agree.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// When a request's answer is of no more use.
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

    /// The earlier of the deadline and `budget` from now, as when a caller asks for less.
    #[must_use]
    pub fn with_limit(self, now: Timestamp, budget: Millis) -> Self {
        self.min(Self::new(now, budget))
    }

    /// When it is reached.
    #[must_use]
    pub const fn at(self) -> Timestamp {
        self.0
    }

    /// The time left; zero once it is reached.
    #[must_use]
    pub const fn left(self, now: Timestamp) -> Duration {
        self.0.since(now)
    }

    /// Whether it is reached.
    #[must_use]
    pub fn is_past(self, now: Timestamp) -> bool {
        now >= self.0
    }

    /// What the next hop is told: the time left less `reserve` for the way back. `None` when
    /// nothing is left, and the hop must not be made.
    #[must_use]
    pub fn next_hop_budget(self, now: Timestamp, reserve: Duration) -> Option<Millis> {
        let left = self.left(now).checked_sub(reserve)?;
        (!left.is_zero()).then(|| Millis::new(left.as_millis() as u64))
    }
}
