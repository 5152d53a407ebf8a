//! Whether the process is stopping, and which requests it still accepts.

use oleander_core::units::Timestamp;
use std::time::Duration;
use tokio::sync::watch;

/// Time from the stop signal until connections are closed. The load balancer probes once a second
/// and needs two failed probes.
pub const BALANCER_LAG: Duration = Duration::from_millis(2_500);
/// Time before the process is killed at which it exits by itself.
pub const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);
/// Time that must be left for any request to be accepted during a stop: several times the 99th percentile
/// of the latency of plain requests.
const MIN_REQUEST_TIME: Duration = Duration::from_millis(1_500);
/// Time before connections are cut at which requests without an answer get a final one.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Whether and when the process received the stop signal.
#[derive(Debug, Default)]
pub struct StopState(watch::Sender<Option<Timestamp>>);

impl StopState {
    /// Records the stop signal.
    pub fn begin(&self, now: Timestamp) {
        self.0.send_replace(Some(now));
    }

    /// Time since the stop signal; `None` without one.
    #[must_use]
    pub fn since(&self, now: Timestamp) -> Option<Duration> {
        self.0.borrow().map(|at| now.since(at))
    }

    /// Waits for the stop signal; never resolves if it has come already.
    pub async fn next_signal(&self) {
        let mut changes = self.0.subscribe();
        // Cannot fail, since the sender is borrowed.
        let _ = changes.changed().await;
    }

    /// Time within which a request must have an answer, since connections are cut then; `None`
    /// while the process does not stop.
    #[must_use]
    pub fn time_to_answer(&self, grace_period: Duration, now: Timestamp) -> Option<Duration> {
        let end = grace_period.saturating_sub(SHUTDOWN_MARGIN + ANSWER_MARGIN);
        self.since(now).map(|since| end.saturating_sub(since))
    }
}

/// Whether a process that got the stop signal `since` ago sends a request to an upstream. One whose answer
/// might not be complete when the grace period ends is refused, since another host can answer it. `needed` is the
/// time that the answer may take; it does not count while the load balancer may still send new connections.
///
/// ```
/// use oleander_gateway::stop_state::accepts_request;
/// use std::time::Duration;
///
/// let (grace_period, needed) = (Duration::from_secs(8), Duration::from_secs(3));
/// assert!(accepts_request(Duration::from_secs(1), grace_period, needed));
/// assert!(accepts_request(Duration::from_secs(4), grace_period, needed));
/// assert!(!accepts_request(Duration::from_secs(5), grace_period, needed));
/// assert!(!accepts_request(Duration::from_secs(7), grace_period, Duration::ZERO));
/// ```
#[must_use]
pub fn accepts_request(since: Duration, grace_period: Duration, needed: Duration) -> bool {
    let needed = if since < BALANCER_LAG { Duration::ZERO } else { needed };
    let left = grace_period.saturating_sub(SHUTDOWN_MARGIN + ANSWER_MARGIN).saturating_sub(since);
    left >= needed.max(MIN_REQUEST_TIME)
}
