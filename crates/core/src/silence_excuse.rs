//! Which slow answers of an upstream are owed to one silence of it.
//!
//! A sound upstream may fall silent for a second or so and go on. All requests that it holds then are
//! late at once, which says no more of its version than one late answer. So of each silence one answer
//! or timeout counts, and for the others the time of the silence is taken out. Silences that come often
//! are not excused, nor long ones.

use crate::units::Timestamp;
use std::time::Duration;

/// Time without any answer from which an upstream that holds requests counts as silent.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// Maximum length of a silence that is excused.
const MAX_SILENCE: Duration = Duration::from_millis(2_500);
/// Time after a silence in which the upstream answers what has piled up.
const CATCH_UP_TIME: Duration = Duration::from_millis(250);
/// Minimum time between two silences that are excused.
const EXCUSE_INTERVAL: Duration = Duration::from_secs(20);

/// The answers of one upstream, and its latest silence.
///
/// ```
/// use oleander_core::silence_excuse::SilenceExcuse;
/// use oleander_core::units::Timestamp;
/// use std::time::Duration;
///
/// let at = Timestamp::from_millis;
/// let mut excuse = SilenceExcuse::default();
/// assert_eq!(excuse.record_answer(at(900), at(1_000)), Duration::ZERO);
/// // Two requests waited through a silence; the first answer after it counts in full.
/// assert_eq!(excuse.record_answer(at(1_010), at(2_300)), Duration::ZERO);
/// assert_eq!(excuse.record_answer(at(1_100), at(2_310)), Duration::from_millis(1_210));
/// assert_eq!(excuse.record_answer(at(2_350), at(2_400)), Duration::ZERO);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SilenceExcuse {
    active_at: Option<Timestamp>,
    /// The latest silence that is excused: from the last answer before it to the first one after it.
    silence: Option<(Timestamp, Timestamp)>,
    /// When the first timeout since an answer counted.
    counted_at: Option<Timestamp>,
}

impl SilenceExcuse {
    /// Records that the upstream answered a request that was sent at `sent_at`; returns how much of the
    /// time is owed to a silence that has counted already.
    pub fn record_answer(&mut self, sent_at: Timestamp, now: Timestamp) -> Duration {
        let waited = self.waited(sent_at, now);
        let has_counted = self.has_counted();
        let active_at = self.active_at.replace(now);
        if waited >= MIN_SILENCE || has_counted {
            if self.may_excuse(waited, now) {
                self.silence = Some((active_at.unwrap_or(sent_at), now));
            }
            if !has_counted {
                return Duration::ZERO;
            }
        }
        let Some((from, end)) = self.silence.filter(|(_, end)| sent_at < *end) else {
            return Duration::ZERO;
        };
        let caught_up_at = if now.since(end) <= CATCH_UP_TIME { now } else { end };
        caught_up_at.since(from.max(sent_at))
    }

    /// Records that events of a stream arrived.
    pub fn record_events(&mut self, now: Timestamp) {
        self.active_at = Some(now);
    }

    /// Records that a request was given up since the upstream was silent; returns whether that counts.
    pub fn record_timeout(&mut self, now: Timestamp) -> bool {
        let first = self.counted_at.filter(|_| self.has_counted());
        let is_excused = first.is_some_and(|first| self.may_excuse(now.since(first), now));
        if first.is_none() {
            self.counted_at = Some(now);
        }
        !is_excused
    }

    /// For how long the upstream has answered nothing while it held the request.
    fn waited(&self, sent_at: Timestamp, now: Timestamp) -> Duration {
        now.since(self.active_at.map_or(sent_at, |at| at.max(sent_at)))
    }

    /// Whether a timeout has counted since the last answer.
    fn has_counted(&self) -> bool {
        self.counted_at.is_some_and(|at| self.active_at.is_none_or(|active| at > active))
    }

    fn may_excuse(&self, waited: Duration, now: Timestamp) -> bool {
        let is_rare = self.silence.is_none_or(|(_, end)| now.since(end) >= EXCUSE_INTERVAL);
        waited <= MAX_SILENCE && is_rare
    }
}
