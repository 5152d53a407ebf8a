//! Whether a process was told to stop, and what it still takes.

use oleander_core::units::Timestamp;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time from the signal until connections are ended: the balancer asks once a second and needs
/// two answers that are not good.
pub const BALANCER_LAG: Duration = Duration::from_millis(2_500);
/// Time before the process is killed at which it ends by itself.
pub const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);
/// Time that a plain call needs to be taken late in a stop: several times what the slowest one
/// in a hundred takes.
const MIN_REQUEST_TIME: Duration = Duration::from_millis(1_500);

/// Whether and when a process was told to stop.
#[derive(Debug, Default)]
pub struct StopState(AtomicU64);

impl StopState {
    /// Notes that the process was told to stop.
    pub fn begin(&self, now: Timestamp) {
        self.0.store(now.as_millis().max(1), Ordering::Relaxed);
    }

    /// Time since the process was told to stop; `None` when it was not.
    #[must_use]
    pub fn since(&self, now: Timestamp) -> Option<Duration> {
        let at = self.0.load(Ordering::Relaxed);
        (at > 0).then(|| now.since(Timestamp::from_millis(at)))
    }
}

/// Whether a process that was told to stop `since` ago still takes a request. One that could be
/// cut by the end is refused, since another host can answer it whole.
///
/// ```
/// use oleander_gateway::stop_state::accepts_request;
/// use std::time::Duration;
///
/// let grace_period = Duration::from_secs(8);
/// assert!(accepts_request(Duration::from_secs(1), grace_period, true));
/// assert!(!accepts_request(Duration::from_secs(3), grace_period, true));
/// assert!(accepts_request(Duration::from_secs(3), grace_period, false));
/// assert!(!accepts_request(Duration::from_secs(7), grace_period, false));
/// ```
#[must_use]
pub fn accepts_request(since: Duration, grace_period: Duration, is_stream: bool) -> bool {
    if since < BALANCER_LAG {
        return true;
    }
    let left = grace_period.saturating_sub(SHUTDOWN_MARGIN).saturating_sub(since);
    !is_stream && left >= MIN_REQUEST_TIME
}
