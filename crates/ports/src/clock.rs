//! Time and randomness, injected so that tests can control both.

use oleander_core::ids::RequestId;
use oleander_core::units::Timestamp;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Source of the current time.
pub trait ClockPort: Send + Sync {
    /// The current time.
    fn now(&self) -> Timestamp;
}

/// The system clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl SystemClock {
    /// The system clock as a shared port.
    #[must_use]
    pub fn shared() -> Arc<dyn ClockPort> {
        Arc::new(Self)
    }
}

impl ClockPort for SystemClock {
    fn now(&self) -> Timestamp {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Timestamp::from_millis(elapsed.as_millis() as u64)
    }
}

/// A clock driven by tokio's timer, so that `tokio::time::pause` stops it too.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeClock {
    start: tokio::time::Instant,
    epoch: Timestamp,
}

impl RuntimeClock {
    /// A clock that starts at `epoch`.
    #[must_use]
    pub fn new(epoch: Timestamp) -> Self {
        Self { start: tokio::time::Instant::now(), epoch }
    }
}

impl ClockPort for RuntimeClock {
    fn now(&self) -> Timestamp {
        self.epoch + self.start.elapsed()
    }
}

/// Creates a request id from the current time and the random bits of `random`.
pub fn new_request_id(clock: &dyn ClockPort, random: impl FnOnce() -> u128) -> RequestId {
    RequestId::new(clock.now(), random())
}
