//! Time and randomness, injected so that tests can pin both.

use oleander_core::ids::RequestId;
use oleander_core::units::Timestamp;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Tells the time.
pub trait ClockPort: Send + Sync {
    /// The time now.
    fn now(&self) -> Timestamp;
}

/// The machine's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl SystemClock {
    /// The clock as a port.
    #[must_use]
    pub fn shared() -> Arc<dyn ClockPort> {
        Arc::new(Self)
    }
}

impl ClockPort for SystemClock {
    fn now(&self) -> Timestamp {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Timestamp::from_millis(since.as_millis() as u64)
    }
}

/// A clock that follows tokio's, so that `tokio::time::pause` holds it too.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeClock {
    start: tokio::time::Instant,
    epoch: Timestamp,
}

impl RuntimeClock {
    /// A clock that reads `epoch` now.
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

/// Mints request ids. `random` gives the random bits.
pub fn new_request_id(clock: &dyn ClockPort, random: impl FnOnce() -> u128) -> RequestId {
    RequestId::new(clock.now(), random())
}
