//! An in-memory stand-in for the weight store. It limits the rate of loads and holds no weights.

use oleander_core::ids::{UpstreamName, VersionName};
use oleander_ports::weights::{WeightGrant, WeightPort};
use oleander_ports::{PlatformError, PortFuture};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Default rate of loads.
const DEFAULT_MEGABYTES_PER_SECOND: u32 = 2_000;

struct WeightsState {
    megabytes_per_second: u32,
    /// Time at which the last granted load ends; `None` before the first.
    free_at: Option<Instant>,
    granted: u64,
}

/// A weight store that grants one load at a time: the next one once the duration computed from the
/// size of the last one and the rate has passed. Clones share the state.
#[derive(Clone)]
pub struct MemoryWeights {
    state: Arc<Mutex<WeightsState>>,
}

impl Default for MemoryWeights {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryWeights {
    /// Creates a store with the default rate.
    #[must_use]
    pub fn new() -> Self {
        let state = WeightsState {
            megabytes_per_second: DEFAULT_MEGABYTES_PER_SECOND,
            free_at: None,
            granted: 0,
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Sets the rate of the loads granted from now on, in megabytes per second; 0 counts as 1.
    pub fn set_rate(&self, megabytes_per_second: u32) {
        self.lock().megabytes_per_second = megabytes_per_second.max(1);
    }

    /// Number of loads granted so far.
    #[must_use]
    pub fn granted(&self) -> u64 {
        self.lock().granted
    }

    fn lock(&self) -> MutexGuard<'_, WeightsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl WeightPort for MemoryWeights {
    fn reserve<'a>(
        &'a self,
        _upstream: &'a UpstreamName,
        _version: &'a VersionName,
        megabytes: u32,
    ) -> PortFuture<'a, Result<WeightGrant, PlatformError>> {
        Box::pin(async move {
            let mut state = self.lock();
            let now = Instant::now();
            let wait = state.free_at.map_or(Duration::ZERO, |free_at| free_at.duration_since(now));
            if !wait.is_zero() {
                return Ok(WeightGrant::RetryAfter(wait));
            }
            let seconds = f64::from(megabytes) / f64::from(state.megabytes_per_second);
            state.free_at = Some(now + Duration::from_secs_f64(seconds));
            state.granted += 1;
            Ok(WeightGrant::Granted)
        })
    }
}
