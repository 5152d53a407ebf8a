//! How long heads of answers take, by service, route and model, as this host sees it.

use oleander_core::ids::ServiceName;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Weight of one answer in the moving mean.
const GAIN: f64 = 0.1;
/// Answers from which the mean counts.
const MIN_ANSWERS: u32 = 8;

/// What answers are alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LatencyKey {
    /// The service.
    pub service: ServiceName,
    /// Name of the route.
    pub route: Arc<str>,
    /// The model, at engines.
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

/// Time to read a thousand prompt tokens that is assumed before answers are in, in ms.
const DEFAULT_PREFILL_MS: f64 = 11.0;
/// Tokens that each request counts for beside its prompt, so that short ones say little.
const PREFILL_BASE_TOKENS: f64 = 1_000.0;

/// Moving means of how long models take to read prompts, queues included.
#[derive(Debug, Default)]
pub struct PrefillTracker(Mutex<HashMap<(ServiceName, Arc<str>), LatencyMean>>);

impl PrefillTracker {
    /// A book without answers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the head of an answer to a prompt of `tokens` took `latency`.
    pub fn record(&self, service: &ServiceName, model: &Arc<str>, tokens: u32, latency: Duration) {
        let mut means = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mean = means.entry((service.clone(), Arc::clone(model))).or_default();
        let millis = latency.as_secs_f64() * 1_000.0;
        mean.add((millis / (f64::from(tokens) + PREFILL_BASE_TOKENS) * 1_000.0).max(0.1).ln());
    }

    /// Expected time to read a prompt.
    #[must_use]
    pub fn expected(&self, service: &ServiceName, model: &Arc<str>, tokens: u32) -> Duration {
        let means = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mean = means.get(&(service.clone(), Arc::clone(model)));
        let known = mean.filter(|mean| mean.answers >= MIN_ANSWERS);
        let read = known.map_or(DEFAULT_PREFILL_MS, |mean| mean.log_millis.exp());
        Duration::from_secs_f64(read * f64::from(tokens) / 1_000.0 / 1_000.0)
    }
}

/// Moving means of latencies. Means of logarithms, since a few answers take very long.
#[derive(Debug, Default)]
pub struct LatencyTracker(Mutex<HashMap<LatencyKey, LatencyMean>>);

impl LatencyTracker {
    /// A book without answers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes the latency of an answer.
    pub fn record(&self, key: &LatencyKey, latency: Duration) {
        let mut means = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mean = means.entry(key.clone()).or_default();
        mean.add((latency.as_secs_f64() * 1_000.0).max(1.0).ln());
    }

    /// The usual latency, once enough answers are in.
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
