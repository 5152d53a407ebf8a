//! Times to response headers and prefill times, as measured on this host.

use oleander_core::ids::ServiceName;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Weight of one answer in the moving mean.
const GAIN: f64 = 0.1;
/// Minimum answers for the mean to be used.
const MIN_ANSWERS: u32 = 8;

/// Answers with the same key share one mean.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LatencyKey {
    /// The service.
    pub service: ServiceName,
    /// Name of the route.
    pub route: Arc<str>,
    /// The model; `None` for plain services.
    pub model: Option<Arc<str>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct LatencyMean {
    answers: u32,
    /// Mean of the logarithm of milliseconds.
    log_millis: f64,
}

impl LatencyMean {
    fn add(&mut self, log_millis: f64) {
        let gain = GAIN.max(1.0 / f64::from(self.answers + 1));
        self.answers = self.answers.saturating_add(1);
        self.log_millis += (log_millis - self.log_millis) * gain;
    }
}

/// Prefill time per thousand prompt tokens that is assumed until enough answers are known, in ms.
const DEFAULT_PREFILL_MS_PER_KILOTOKEN: f64 = 11.0;
/// Tokens added to each prompt, so that short prompts have little weight.
const PREFILL_BASE_TOKENS: f64 = 1_000.0;

/// Moving means of prefill times by model, queueing included.
#[derive(Debug, Default)]
pub struct PrefillTracker(Mutex<HashMap<(ServiceName, Arc<str>), LatencyMean>>);

impl PrefillTracker {
    /// Creates a tracker without measurements.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that response headers for a prompt of `tokens` took `latency`.
    pub fn record(&self, service: &ServiceName, model: &Arc<str>, tokens: u32, latency: Duration) {
        let mut means = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mean = means.entry((service.clone(), Arc::clone(model))).or_default();
        let millis = latency.as_secs_f64() * 1_000.0;
        mean.add((millis / (f64::from(tokens) + PREFILL_BASE_TOKENS) * 1_000.0).max(0.1).ln());
    }

    /// Expected prefill time of a prompt.
    #[must_use]
    pub fn expected(&self, service: &ServiceName, model: &Arc<str>, tokens: u32) -> Duration {
        let means = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mean = means.get(&(service.clone(), Arc::clone(model)));
        let known = mean.filter(|mean| mean.answers >= MIN_ANSWERS);
        let ms_per_kilotoken =
            known.map_or(DEFAULT_PREFILL_MS_PER_KILOTOKEN, |mean| mean.log_millis.exp());
        Duration::from_secs_f64(ms_per_kilotoken * f64::from(tokens) / 1_000.0 / 1_000.0)
    }
}

/// Moving means of latencies. Uses logarithms, since a few answers take very long.
#[derive(Debug, Default)]
pub struct LatencyTracker(Mutex<HashMap<LatencyKey, LatencyMean>>);

impl LatencyTracker {
    /// Creates a tracker without measurements.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the latency of an answer.
    pub fn record(&self, key: &LatencyKey, latency: Duration) {
        let mut means = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mean = means.entry(key.clone()).or_default();
        mean.add((latency.as_secs_f64() * 1_000.0).max(1.0).ln());
    }

    /// The typical latency, once enough answers are known.
    ///
    /// ```
    /// use oleander_core::ids::ServiceName;
    /// use oleander_gateway::latency_tracker::*;
    /// use std::time::Duration;
    ///
    /// let service = ServiceName::new("writer").unwrap();
    /// let key = LatencyKey { service, route: "plans".into(), model: None };
    /// let tracker = LatencyTracker::new();
    /// assert_eq!(tracker.typical(&key), None);
    /// (0..8).for_each(|_| tracker.record(&key, Duration::from_millis(200)));
    /// assert_eq!(tracker.typical(&key).unwrap().as_millis(), 200);
    /// ```
    #[must_use]
    pub fn typical(&self, key: &LatencyKey) -> Option<Duration> {
        let means = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mean = means.get(key).filter(|mean| mean.answers >= MIN_ANSWERS)?;
        Some(Duration::from_secs_f64((mean.log_millis.exp() + 1e-6) / 1_000.0))
    }
}
