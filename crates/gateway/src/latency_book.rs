//! How long heads of answers take, by service, route and model, as this host sees it.

use oleander_core::ids::ServiceName;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Weight of one answer in the moving mean.
const GAIN: f64 = 0.1;
/// Answers from which the mean counts.
const LEAST_ANSWERS: u32 = 8;

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
const ASSUMED_READ: f64 = 11.0;
/// Tokens that each request counts for beside its prompt, so that short ones say little.
const READ_BASE: f64 = 1_000.0;

/// Moving means of how long models take to read prompts, queues included.
#[derive(Debug, Default)]
pub struct ReadBook(Mutex<HashMap<(ServiceName, Arc<str>), LatencyMean>>);

impl ReadBook {
    /// A book without answers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the head of an answer to a prompt of `tokens` took `latency`.
    pub fn note(&self, service: &ServiceName, model: &Arc<str>, tokens: u32, latency: Duration) {
        let mut means = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mean = means.entry((service.clone(), Arc::clone(model))).or_default();
        let millis = latency.as_secs_f64() * 1_000.0;
        mean.add((millis / (f64::from(tokens) + READ_BASE) * 1_000.0).max(0.1).ln());
    }

    /// Expected time to read a prompt.
    #[must_use]
    pub fn expected(&self, service: &ServiceName, model: &Arc<str>, tokens: u32) -> Duration {
        let means = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mean = means.get(&(service.clone(), Arc::clone(model)));
        let known = mean.filter(|mean| mean.answers >= LEAST_ANSWERS);
        let read = known.map_or(ASSUMED_READ, |mean| mean.log_millis.exp());
        Duration::from_secs_f64(read * f64::from(tokens) / 1_000.0 / 1_000.0)
    }
}

/// Moving means of latencies. Means of logarithms, since a few answers take very long.
#[derive(Debug, Default)]
pub struct LatencyBook(Mutex<HashMap<LatencyKey, LatencyMean>>);

impl LatencyBook {
    /// A book without answers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes the latency of an answer.
    pub fn note(&self, key: &LatencyKey, latency: Duration) {
        let mut means = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mean = means.entry(key.clone()).or_default();
        mean.add((latency.as_secs_f64() * 1_000.0).max(1.0).ln());
    }

    /// The usual latency, once enough answers are in.
    ///
    /// ```
    /// use oleander_core::ids::ServiceName;
    /// use oleander_gateway::latency_book::*;
    /// use std::time::Duration;
    ///
    /// let service = ServiceName::new("writer").unwrap();
    /// let key = LatencyKey { service, route: "plans".into(), model: None };
    /// let book = LatencyBook::new();
    /// assert_eq!(book.usual(&key), None);
    /// (0..8).for_each(|_| book.note(&key, Duration::from_millis(200)));
    /// assert_eq!(book.usual(&key).unwrap().as_millis(), 200);
    /// ```
    #[must_use]
    pub fn usual(&self, key: &LatencyKey) -> Option<Duration> {
        let means = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mean = means.get(key).filter(|mean| mean.answers >= LEAST_ANSWERS)?;
        Some(Duration::from_secs_f64((mean.log_millis.exp() + 1e-6) / 1_000.0))
    }
}
