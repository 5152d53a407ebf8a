//! Measures how fast the events of a stream arrive.

use oleander_core::units::Timestamp;
use std::time::Duration;

/// Arrival of the events of one answer.
///
/// ```
/// use oleander_core::units::Timestamp;
/// use oleander_gateway::event_pace::EventPace;
/// use std::time::Duration;
///
/// let at = |events, millis, pace: &mut EventPace| {
///     pace.record(events, Timestamp::from_millis(millis));
/// };
/// let mut pace = EventPace::default();
/// at(2, 100, &mut pace);
/// assert_eq!(pace.mean_gap(), None, "events that arrive together have no gap");
/// at(3, 160, &mut pace);
/// at(1, 190, &mut pace);
/// assert_eq!((pace.events(), pace.gaps()), (6, 4));
/// assert_eq!(pace.mean_gap(), Some(Duration::from_micros(22_500)));
/// at(1, 1_190, &mut pace);
/// assert_eq!(pace.usual_gap(), Some(Duration::from_micros(22_500)), "without the silence");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EventPace {
    first: Option<Timestamp>,
    last: Timestamp,
    events: u32,
    gaps: u32,
    /// The longest wait, and the events that arrived after it.
    longest: (Duration, u32),
}

impl EventPace {
    /// Records that `events` arrived together.
    pub fn record(&mut self, events: u32, now: Timestamp) {
        self.events += events;
        if self.first.is_none() {
            self.first = Some(now);
        } else {
            self.gaps += events;
            self.longest = self.longest.max((now.since(self.last), events));
        }
        self.last = now;
    }

    /// Number of events.
    #[must_use]
    pub const fn events(&self) -> u32 {
        self.events
    }

    /// Number of gaps that the mean is of.
    #[must_use]
    pub const fn gaps(&self) -> u32 {
        self.gaps
    }

    /// Time from the first events to the last.
    #[must_use]
    pub fn span(&self) -> Duration {
        self.first.map_or(Duration::ZERO, |first| self.last.since(first))
    }

    /// Mean time from one event to the next; `None` when all events arrived together.
    #[must_use]
    pub fn mean_gap(&self) -> Option<Duration> {
        let first = self.first.filter(|_| self.gaps > 0)?;
        Some(self.last.since(first) / self.gaps)
    }

    /// Mean time from one event to the next without the longest wait, since an upstream may fall
    /// silent once and go on; `None` when nothing is left.
    #[must_use]
    pub fn usual_gap(&self) -> Option<Duration> {
        let (longest, events) = self.longest;
        let gaps = self.gaps.checked_sub(events).filter(|gaps| *gaps > 0)?;
        Some(self.last.since(self.first?).saturating_sub(longest) / gaps)
    }
}
