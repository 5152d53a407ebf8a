//! An answer in a rollout: whether it is slow, and how fast the events of its stream come.

use crate::answer_times::{AnswerKey, AnswerSpan};
use crate::event_pace::EventPace;
use crate::rollout_counters::CounterLabels;
use crate::state::GatewayState;
use oleander_core::ids::ServiceName;
use oleander_core::units::Timestamp;
use std::sync::Arc;
use std::time::Duration;

/// Gaps between events after which the pace of a stream is known.
const PACE_GAPS: u32 = 6;
/// Multiple of the expected time to response headers above which an answer counts as slow. Prompts
/// differ in length, and a canary's upstream has read none of them before.
const SLOW_HEAD_FACTOR: u32 = 6;
/// Multiple of the expected gap between events above which an answer counts as slow. The pace of an
/// engine varies less: one answer in ten of a good version is above it.
const SLOW_GAP_FACTOR: u32 = 2;

/// What is known of an answer when its response headers arrive.
#[derive(Clone, Debug)]
pub struct AnswerStart {
    /// The service.
    pub service: ServiceName,
    /// Name of the route.
    pub route: Arc<str>,
    /// The model, if the gateway chose one.
    pub model: Option<Arc<str>>,
    /// Version of the upstream.
    pub version: Arc<str>,
    /// Requests that the upstream reported as running.
    pub running: u32,
    /// Time from the request to the response headers, without that of the network.
    pub head_time: Duration,
}

/// A successful answer. Its pace counts when it is known, or when the answer is dropped.
pub struct RolloutAnswer {
    state: Arc<GatewayState>,
    start: AnswerStart,
    pace: EventPace,
    is_counted: bool,
}

impl RolloutAnswer {
    /// Counts an answer whose response headers have arrived.
    #[must_use]
    pub fn new(state: Arc<GatewayState>, start: AnswerStart) -> Self {
        let answer = Self { state, start, pace: EventPace::default(), is_counted: false };
        let span = AnswerSpan::Head(Arc::clone(&answer.start.route));
        let is_slow = answer.measure(span, answer.start.head_time, SLOW_HEAD_FACTOR);
        let snapshot = answer.state.snapshot.load();
        answer.state.rollout_counters.record_answer(&snapshot, answer.labels(), is_slow);
        answer
    }

    /// Records that `events` of its stream arrived together.
    pub fn record_events(&mut self, events: u32, now: Timestamp) {
        self.pace.record(events, now);
        if self.pace.gaps() >= PACE_GAPS {
            self.count_pace();
        }
    }

    /// The events so far.
    #[must_use]
    pub const fn pace(&self) -> EventPace {
        self.pace
    }

    fn labels(&self) -> CounterLabels<'_> {
        let AnswerStart { service, route, version, .. } = &self.start;
        CounterLabels { service, route, version }
    }

    /// Whether a time is several times what is expected; records it for versions in use.
    fn measure(&self, span: AnswerSpan, time: Duration, factor: u32) -> bool {
        let AnswerStart { service, model, running, .. } = &self.start;
        let key = AnswerKey { service: service.clone(), model: model.clone(), span };
        let expected = self.state.answer_times.expected(&key, *running);
        let is_candidate = self.state.snapshot.load().is_candidate(service, &self.start.version);
        if !is_candidate {
            self.state.answer_times.record(&key, *running, time);
        }
        expected.is_some_and(|expected| time > expected.saturating_mul(factor))
    }

    fn count_pace(&mut self) {
        if std::mem::replace(&mut self.is_counted, true) {
            return;
        }
        let Some(gap) = self.pace.usual_gap() else { return };
        let is_slow = self.measure(AnswerSpan::EventGap, gap, SLOW_GAP_FACTOR);
        let snapshot = self.state.snapshot.load();
        self.state.rollout_counters.record_pace(&snapshot, self.labels(), is_slow);
    }
}

impl Drop for RolloutAnswer {
    fn drop(&mut self) {
        self.count_pace();
    }
}
