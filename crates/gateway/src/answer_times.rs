//! What answers take at upstreams under a given load, to tell whether a version is slow.
//!
//! A version under rollout has a small share of the requests, so its upstreams are nearly idle and
//! even a slow version may answer about as fast as the busy upstreams of the others. An answer is
//! therefore compared with what is expected at the load of its own upstream.

use oleander_core::ids::ServiceName;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Minimum answers for a trend to be used.
const MIN_ANSWERS: f64 = 8.0;
/// Answers at which the weight of all earlier ones is halved, so that a trend follows changes.
const HALVING_ANSWERS: f64 = 200.0;
/// Weight, in answers of average load, of the assumption that load has no influence.
const FLAT_WEIGHT: f64 = 2.0;
/// Factor up to which an answer above its expected time moves the trend.
const MAX_FACTOR: f64 = 4.0;

/// What of an answer is measured.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AnswerSpan {
    /// From the request to the response headers, on a route.
    Head(Arc<str>),
    /// From one event of a stream to the next.
    EventGap,
}

/// Answers with the same key share one trend.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AnswerKey {
    /// The service.
    pub service: ServiceName,
    /// The model; `None` for plain services.
    pub model: Option<Arc<str>>,
    /// What is measured.
    pub span: AnswerSpan,
}

/// Least-squares line of the logarithm of the time over that of the load.
#[derive(Clone, Copy, Debug, Default)]
struct LoadTrend {
    answers: f64,
    load: f64,
    time: f64,
    load_squared: f64,
    load_time: f64,
}

impl LoadTrend {
    fn add(&mut self, load: f64, time: f64) {
        if self.answers >= HALVING_ANSWERS {
            for sum in [
                &mut self.answers,
                &mut self.load,
                &mut self.time,
                &mut self.load_squared,
                &mut self.load_time,
            ] {
                *sum /= 2.0;
            }
        }
        self.answers += 1.0;
        self.load += load;
        self.time += time;
        self.load_squared += load * load;
        self.load_time += load * time;
    }

    fn expected(&self, load: f64) -> Option<f64> {
        if self.answers < MIN_ANSWERS {
            return None;
        }
        let (mean_load, mean_time) = (self.load / self.answers, self.time / self.answers);
        let spread = self.load_squared - self.load * mean_load + FLAT_WEIGHT;
        let slope = (self.load_time - self.load * mean_time) / spread;
        Some(mean_time + slope.max(0.0) * (load - mean_load))
    }
}

/// Trends of answers of versions in use.
///
/// ```
/// use oleander_gateway::answer_times::*;
/// use std::time::Duration;
///
/// let service = "writer".parse().unwrap();
/// let key = AnswerKey { service, model: None, span: AnswerSpan::EventGap };
/// let times = AnswerTimes::new();
/// for running in [8, 12, 16, 20] {
///     (0..4).for_each(|_| times.record(&key, running, Duration::from_millis(4 * u64::from(running))));
/// }
/// let expected = times.expected(&key, 2).unwrap().as_millis();
/// assert!((8..32).contains(&expected), "{expected} ms at two requests, 32 ms at eight");
/// ```
#[derive(Debug, Default)]
pub struct AnswerTimes(Mutex<HashMap<AnswerKey, LoadTrend>>);

impl AnswerTimes {
    /// Creates trends without measurements.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<AnswerKey, LoadTrend>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an answer of an upstream that ran `running` requests.
    pub fn record(&self, key: &AnswerKey, running: u32, span: Duration) {
        let mut trends = self.lock();
        let trend = trends.entry(key.clone()).or_default();
        let (load, time) = (log_load(running), log_time(span));
        let limit = trend.expected(load).map(|expected| expected + MAX_FACTOR.ln());
        trend.add(load, limit.map_or(time, |limit| time.min(limit)));
    }

    /// Time expected of an upstream that runs `running` requests, once enough answers are known.
    #[must_use]
    pub fn expected(&self, key: &AnswerKey, running: u32) -> Option<Duration> {
        let expected = self.lock().get(key)?.expected(log_load(running))?;
        Some(Duration::from_secs_f64(expected.exp()))
    }
}

fn log_load(running: u32) -> f64 {
    f64::from(running).ln_1p()
}

fn log_time(span: Duration) -> f64 {
    span.as_secs_f64().max(MIN_TIME.as_secs_f64()).ln()
}

/// Resolution of measured times.
const MIN_TIME: Duration = Duration::from_millis(1);
