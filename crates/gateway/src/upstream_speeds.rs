//! Times that work usually takes at the upstreams of a service, as measured on this host.
//!
//! What an answer of one upstream took is compared with these, to learn how fast its machine is.

use crate::answer_times::{AnswerKey, AnswerSpan, AnswerTimes};
use crate::latency_tracker::{LatencyKey, LatencyTracker};
use crate::wire_format::AnswerLoad;
use oleander_core::ids::ServiceName;
use oleander_core::units::Millis;
use oleander_core::upstream_choice::BATCH_SLOWDOWN;
use std::sync::Arc;
use std::time::Duration;

/// Tokens whose time is tracked together, since that of one token is below a millisecond at some
/// engines.
const TRACKED_TOKENS: u32 = 100;
/// Time between answer tokens of an idle engine, assumed until enough streams are known.
const DEFAULT_TOKEN_GAP: Millis = Millis::new(6);
/// The trend of how long responses take to begin, over all routes.
const ANY_ROUTE: &str = "";

/// A stream of an upstream, at the upstream's usual pace.
#[derive(Clone, Copy, Debug)]
pub struct StreamMeasure {
    /// Time from one event to the next.
    pub event_gap: Duration,
    /// Time from the first event to the last.
    pub span: Duration,
    /// Answer tokens, if the stream is complete.
    pub tokens: Option<u32>,
}

/// Usual times of all services and models.
///
/// ```
/// use oleander_core::units::Millis;
/// use oleander_gateway::upstream_speeds::{StreamMeasure, UpstreamSpeeds};
/// use oleander_gateway::wire_format::AnswerLoad;
/// use std::sync::Arc;
/// use std::time::Duration;
///
/// let (service, model) = ("writer".parse().unwrap(), Arc::from("small"));
/// let speeds = UpstreamSpeeds::new();
/// assert_eq!(speeds.token_gap(&service, Some(&model)), Millis::new(6));
/// let load = AnswerLoad { running: 0, waiting: 0, slots: 24, pace: None };
/// let (event_gap, span) = (Duration::from_millis(40), Duration::from_secs(3));
/// let stream = StreamMeasure { event_gap, span, tokens: Some(300) };
/// (0..8).for_each(|_| speeds.record_stream(&service, &model, load, stream));
/// assert_eq!(speeds.token_gap(&service, Some(&model)), Millis::new(10));
/// assert_eq!(speeds.event_gap(&service, &model, 0).unwrap().as_millis(), 40);
/// ```
#[derive(Debug, Default)]
pub struct UpstreamSpeeds {
    times: AnswerTimes,
    token_gaps: LatencyTracker,
}

impl UpstreamSpeeds {
    /// Creates a table without measurements.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a stream that began under a load.
    pub fn record_stream(
        &self,
        service: &ServiceName,
        model: &Arc<str>,
        load: AnswerLoad,
        stream: StreamMeasure,
    ) {
        let key = gap_key(service, model);
        self.times.record(&key, load.running, stream.event_gap);
        if let Some(tokens) = stream.tokens.filter(|tokens| *tokens > 0) {
            let full = f64::from(load.running) / f64::from(load.slots.max(1));
            let slowdown = 1.0 + BATCH_SLOWDOWN * full.min(1.0);
            let per_token = stream.span.div_f64(f64::from(tokens) * slowdown);
            self.token_gaps.record(&latency_key(service, model), per_token * TRACKED_TOKENS);
        }
    }

    /// Usual time between the events of a stream at an upstream with `running` requests.
    #[must_use]
    pub fn event_gap(
        &self,
        service: &ServiceName,
        model: &Arc<str>,
        running: u32,
    ) -> Option<Duration> {
        self.times.expected(&gap_key(service, model), running)
    }

    /// Usual time between answer tokens at an idle upstream.
    #[must_use]
    pub fn token_gap(&self, service: &ServiceName, model: Option<&Arc<str>>) -> Millis {
        let typical = model.and_then(|model| self.token_gaps.typical(&latency_key(service, model)));
        typical.map_or(DEFAULT_TOKEN_GAP, |time| {
            let millis = time.as_secs_f64() * 1_000.0 / f64::from(TRACKED_TOKENS);
            Millis::new((millis.round() as u64).max(1))
        })
    }

    /// Compares the time until an answer began with that usual at an upstream with `requests`
    /// requests, which it changes by this answer; `None` until enough answers are known.
    pub fn compare_start(
        &self,
        service: &ServiceName,
        requests: u32,
        time: Duration,
    ) -> Option<Duration> {
        let span = AnswerSpan::Head(Arc::from(ANY_ROUTE));
        let key = AnswerKey { service: service.clone(), model: None, span };
        let expected = self.times.expected(&key, requests);
        self.times.record(&key, requests, time);
        expected
    }
}

fn gap_key(service: &ServiceName, model: &Arc<str>) -> AnswerKey {
    let span = AnswerSpan::EventGap;
    AnswerKey { service: service.clone(), model: Some(Arc::clone(model)), span }
}

fn latency_key(service: &ServiceName, model: &Arc<str>) -> LatencyKey {
    let route = Arc::from(ANY_ROUTE);
    LatencyKey { service: service.clone(), route, model: Some(Arc::clone(model)) }
}
