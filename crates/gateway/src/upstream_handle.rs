//! One upstream as used by this host: connections, requests in flight and reported load.

use crate::event_pace::EventPace;
use crate::load_report::{LoadReport, UpstreamHash};
use crate::shared_limits::SharedLimits;
use crate::upstream_connection::UpstreamConnection;
use crate::upstream_entry::UpstreamEntry;
use crate::upstream_speeds::{StreamMeasure, UpstreamSpeeds};
use crate::upstream_standings::SharedStandings;
use crate::wire_format::{AnswerHead, AnswerLoad};
use http::StatusCode;
use oleander_core::prefix_value::{PrefixUse, PromptPrefix, SentPrefixes, UpstreamMemory};
use oleander_core::silence_excuse::SilenceExcuse;
use oleander_core::units::{Millis, Timestamp, TokenCount};
use oleander_core::upstream_choice::{ReportedLoad, UpstreamView, report_weight};
use oleander_core::upstream_pace::UpstreamPace;
use oleander_core::upstream_standing::SendPermission;
use oleander_ports::clock::ClockPort;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum idle time of a pooled connection when the upstream announces none.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Maximum idle connections per upstream.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Minimum delay beyond the expected time to response headers for an abandoned attempt to count as
/// evidence of load. Shorter delays come from refused connections or callers that disconnect.
const MIN_OVERDUE: Duration = Duration::from_millis(300);

/// Time within which a request has to be sent to a cold upstream: several round trips to the farthest
/// region.
const MAX_PERMIT_AGE: Duration = Duration::from_millis(300);
/// Events after which the pace of a stream is known.
const MIN_GAPS: u32 = 6;
/// Weight of how late an answer began, as a measurement of the upstream's speed: it depends on the
/// prompts before it more than on the machine.
const START_WEIGHT: f64 = 0.2;
/// Minimum time between answers of one upstream whose begin is measured. Several hosts pass on the same
/// answer, with ages that differ by rounding.
const START_INTERVAL: Duration = Duration::from_millis(100);

struct IdleConnection {
    connection: UpstreamConnection,
    until: Timestamp,
}

#[derive(Clone, Copy)]
struct ObservedLoad {
    load: AnswerLoad,
    /// This host's own requests at the upstream when the report was recorded, and how many of them
    /// had no response yet.
    own: u32,
    own_waiting: u32,
    /// Delay of the reporting response beyond its expected time to headers.
    lag: Duration,
    at: Timestamp,
}

#[derive(Default)]
struct HandleState {
    in_flight: u32,
    /// Requests in flight whose response has not begun.
    waiting: u32,
    /// Expected prefill time of this host's prompts that are still being prefilled, in
    /// milliseconds.
    pending_prefill_ms: u64,
    /// Tokens of this host's requests in flight.
    own_tokens: u64,
    sent: SentPrefixes,
    load: Option<ObservedLoad>,
    pace: UpstreamPace,
    /// The latest answer whose begin was measured.
    start_measured_at: Timestamp,
    silence: SilenceExcuse,
    idle: Vec<IdleConnection>,
}

/// One upstream as used by this host.
pub struct UpstreamHandle {
    /// The upstream's entry in the platform's list.
    pub entry: Arc<UpstreamEntry>,
    /// Identifies the upstream in gossip between hosts.
    pub(crate) hash: UpstreamHash,
    state: Mutex<HandleState>,
    standings: Arc<SharedStandings>,
    limits: Arc<SharedLimits>,
    speeds: Arc<UpstreamSpeeds>,
}

impl UpstreamHandle {
    pub(crate) fn new(
        entry: Arc<UpstreamEntry>,
        standings: Arc<SharedStandings>,
        limits: Arc<SharedLimits>,
        speeds: Arc<UpstreamSpeeds>,
    ) -> Self {
        let hash = UpstreamHash::new(&entry.name);
        Self { entry, hash, state: Mutex::default(), standings, limits, speeds }
    }

    /// Records what an answer, on a connection opened at `opened_at`, says about whether the
    /// upstream wants further requests.
    pub(crate) fn record_standing(
        &self,
        status: StatusCode,
        head: &AnswerHead,
        opened_at: Timestamp,
        now: Timestamp,
    ) {
        self.standings.record_answer(&self.entry, status, head, opened_at, now);
    }

    /// Records which limit an answer names; `is_complete` if its head was accepted.
    pub(crate) fn record_limit(&self, head: &AnswerHead, is_complete: bool, now: Timestamp) {
        self.limits.record_answer(&self.entry, head, is_complete, now);
    }

    /// Records whether an answer says that the upstream is brittle, and whether it turned the request
    /// away for want of room.
    pub(crate) fn record_places(&self, head: &AnswerHead, outcome: (bool, bool), now: Timestamp) {
        self.limits.record_places(&self.entry, head, outcome, now);
    }

    /// Records an answer to a request that was sent at `sent_at`; returns how much of its time is owed to
    /// a silence of the upstream that has counted already.
    pub(crate) fn excused_time(&self, sent_at: Timestamp, now: Timestamp) -> Duration {
        self.lock().silence.record_answer(sent_at, now)
    }

    /// Records that events of a stream arrived.
    pub(crate) fn record_events(&self, now: Timestamp) {
        self.lock().silence.record_events(now);
    }

    /// Records that a request was given up since the upstream was silent; returns whether that counts.
    pub(crate) fn counts_timeout(&self, now: Timestamp) -> bool {
        self.lock().silence.record_timeout(now)
    }

    /// Number of requests in flight at the upstream.
    pub(crate) fn in_flight(&self) -> u32 {
        self.lock().in_flight
    }

    /// Takes the permission to send the request once more.
    pub(crate) fn try_send_again(&self, now: Timestamp) -> bool {
        self.limits.try_take(&self.entry, 0, now)
    }

    /// Records what an answer says of how long the upstream stays cold.
    pub(crate) fn record_cold(&self, head: &AnswerHead, now: Timestamp) {
        let has_changed = self.limits.cold().record_answer(&self.entry, head.cold_left, now);
        self.limits.divide_cold(has_changed, now);
    }

    /// Whether the upstream has not asked this host for no more requests.
    pub(crate) fn is_open(&self, now: Timestamp) -> bool {
        let permission = self.standings.permission(&self.entry, now);
        matches!(permission, SendPermission::Open | SendPermission::Reported)
    }

    fn lock(&self) -> MutexGuard<'_, HandleState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection that is still usable.
    pub fn take_idle(&self, now: Timestamp) -> Option<UpstreamConnection> {
        let mut state = self.lock();
        while let Some(idle) = state.idle.pop() {
            if now < idle.until && idle.connection.is_idle() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool for at most `idle_time`, if the upstream announces one.
    pub fn keep_idle(
        &self,
        connection: UpstreamConnection,
        idle_time: Option<Duration>,
        now: Timestamp,
    ) {
        let idle_time = idle_time.unwrap_or(MAX_IDLE_TIME).min(MAX_IDLE_TIME);
        let mut state = self.lock();
        state.idle.retain(|idle| now < idle.until);
        if state.idle.len() < MAX_IDLE_CONNECTIONS {
            state.idle.push(IdleConnection { connection, until: now + idle_time });
        }
    }

    /// Records a load report received at `at` and the response's delay beyond its expected time,
    /// unless a newer report is known.
    pub fn record_load(&self, load: AnswerLoad, lag: Duration, at: Timestamp) {
        let mut state = self.lock();
        if state.load.is_some_and(|known| known.at > at) {
            return;
        }
        if let Some(pace) = load.pace {
            state.pace.record_stated(pace, at);
        }
        let (own, own_waiting) = (state.in_flight, state.waiting);
        state.load = Some(ObservedLoad { load, own, own_waiting, lag, at });
    }

    /// Tokens of this host's requests in flight.
    pub(crate) fn own_tokens(&self) -> u64 {
        self.lock().own_tokens
    }

    /// Records that a prompt was sent.
    pub(crate) fn record_prefix(&self, prefix: &PromptPrefix, now: Timestamp) {
        self.lock().sent.record(prefix, now);
    }

    /// Expected tokens of a prompt that are cached; `place` in the order of its prefix.
    pub(crate) fn kept_tokens(
        &self,
        prefix_use: &PrefixUse,
        place: usize,
        memory: &UpstreamMemory,
        now: Timestamp,
    ) -> TokenCount {
        prefix_use.kept_tokens(place, &self.lock().sent, memory, now)
    }

    /// Records what a late begin of an answer, as told by this host or another one, says about the
    /// upstream's speed. `prefill` is the typical prefill time of the service.
    pub(crate) fn record_start(
        &self,
        load: AnswerLoad,
        lag: Duration,
        prefill: Duration,
        at: Timestamp,
    ) {
        let mut state = self.lock();
        if at < state.start_measured_at + START_INTERVAL || prefill.is_zero() {
            return;
        }
        state.start_measured_at = at;
        let time = (lag + prefill).div_f64(state.pace.usual().get());
        let requests = load.running.saturating_add(load.waiting);
        let expected = self.speeds.compare_start(&self.entry.service, requests, time);
        if let Some(expected) = expected {
            let measured = lag + prefill;
            state.pace.record_measured(measured, expected, START_WEIGHT);
        }
    }

    /// Records the stream of an answer that began under `load`; `tokens` if it is complete.
    fn record_stream(&self, stream: &PermitStream, load: AnswerLoad) {
        let gaps = stream.pace.gaps();
        let Some(gap) = stream.pace.usual_gap().filter(|_| gaps >= MIN_GAPS) else { return };
        let service = &self.entry.service;
        let expected = self.speeds.event_gap(service, &stream.model, load.running);
        let usual = {
            let mut state = self.lock();
            if let Some(expected) = expected {
                state.pace.record_measured(gap, expected, 1.0);
            }
            state.pace.usual().get()
        };
        let measure = StreamMeasure {
            event_gap: gap.div_f64(usual),
            span: stream.pace.span().div_f64(usual),
            tokens: Some(stream.tokens).filter(|_| stream.is_complete),
        };
        self.speeds.record_stream(service, &stream.model, load, measure);
    }

    /// Records that a response is overdue by `lag`. Counts as a report made now, since the missing
    /// response says more about the upstream than its last report.
    fn record_overdue(&self, lag: Duration, now: Timestamp) {
        if let Some(load) = &mut self.lock().load {
            (load.lag, load.at) = (lag, now);
        }
    }

    /// The latest load report, for other hosts.
    pub(crate) fn load_report(&self, now: Timestamp) -> Option<LoadReport> {
        let seen = self.lock().load?;
        LoadReport::new(self.hash, seen.load, seen.lag, now.since(seen.at))
    }

    /// The upstream's inputs to the choice; `prefill` is the typical prefill time there.
    pub(crate) fn view(&self, prefill: Duration, now: Timestamp) -> UpstreamView {
        let state = self.lock();
        let mut view = UpstreamView::new(self.entry.name.clone(), self.entry.slots);
        view.in_flight = state.in_flight;
        view.pace = state.pace.factor(now);
        let prefill = prefill.mul_f64(view.pace.get());
        let own_prefill = state.pending_prefill_ms as f64 * view.pace.get();
        let others = state.load.map_or(Duration::ZERO, |seen| {
            let waiting = f64::from(seen.load.waiting.saturating_sub(seen.own_waiting));
            prefill.mul_f64(waiting).max(seen.lag).mul_f64(report_weight(now.since(seen.at)))
        });
        let others = others.as_millis() as u64;
        view.backlog = Millis::new((own_prefill as u64).saturating_add(others));
        view.report = state.load.map(|seen| ReportedLoad {
            running: seen.load.running,
            queued: seen.load.waiting,
            own: seen.own,
            age: now.since(seen.at),
        });
        view
    }
}

/// The stream of an answer, to measure how fast the upstream is.
struct PermitStream {
    model: Arc<str>,
    /// Expected tokens of the answer.
    tokens: u32,
    pace: EventPace,
    is_complete: bool,
}

/// A request in flight at an upstream, until dropped.
pub struct UpstreamPermit {
    /// The upstream.
    pub upstream: Arc<UpstreamHandle>,
    clock: Arc<dyn ClockPort>,
    started: Timestamp,
    /// Expected prefill time of its prompt, until response headers arrive.
    pending_prefill: Option<Duration>,
    /// Load that the response headers reported.
    load: Option<AnswerLoad>,
    stream: Option<PermitStream>,
    /// Tokens of the request and its answer.
    tokens: u32,
}

impl UpstreamPermit {
    pub(crate) fn new(
        upstream: Arc<UpstreamHandle>,
        prefill: Duration,
        clock: Arc<dyn ClockPort>,
    ) -> Self {
        {
            let mut state = upstream.lock();
            state.in_flight += 1;
            state.waiting += 1;
            state.pending_prefill_ms += prefill.as_millis() as u64;
        }
        let (started, pending_prefill) = (clock.now(), Some(prefill));
        Self { upstream, clock, started, pending_prefill, load: None, stream: None, tokens: 0 }
    }

    /// The permit of a request that takes so many tokens of the upstream's memory.
    pub(crate) fn with_tokens(mut self, tokens: u32) -> Self {
        self.upstream.lock().own_tokens += u64::from(tokens);
        self.tokens += tokens;
        self
    }

    /// The permit of a request to a model, whose stream is measured.
    pub(crate) fn with_model(mut self, model: &Arc<str>, tokens: u32) -> Self {
        let (model, pace) = (Arc::clone(model), EventPace::default());
        self.stream = Some(PermitStream { model, tokens, pace, is_complete: false });
        self
    }

    /// Records that `events` of its stream arrived together.
    pub fn record_events(&mut self, events: u32, now: Timestamp) {
        self.upstream.record_events(now);
        if let Some(stream) = &mut self.stream {
            stream.pace.record(events, now);
        }
    }

    /// Records that the answer has been read to its end.
    pub const fn record_end(&mut self) {
        if let Some(stream) = &mut self.stream {
            stream.is_complete = true;
        }
    }

    /// Whether the request may be sent now. If its permission for a cold upstream is too old, it takes
    /// another one, since requests that waited for connections would arrive together.
    pub(crate) fn is_timely(&self, now: Timestamp) -> bool {
        now.since(self.started) < MAX_PERMIT_AGE
            || self.upstream.limits.cold().try_take(&self.upstream.entry, 0, now)
    }

    /// Records that response headers arrived, with the load they report.
    pub fn record_head(&mut self, load: Option<AnswerLoad>) {
        let Some(lag) = self.finish_prefill() else { return };
        self.load = load;
        if let Some(load) = load {
            self.upstream.record_load(load, lag, self.clock.now());
        }
    }

    /// Ends the prefill; returns the delay beyond its expected time.
    fn finish_prefill(&mut self) -> Option<Duration> {
        let prefill = self.pending_prefill.take()?;
        let mut state = self.upstream.lock();
        state.waiting = state.waiting.saturating_sub(1);
        state.pending_prefill_ms =
            state.pending_prefill_ms.saturating_sub(prefill.as_millis() as u64);
        Some(self.clock.now().since(self.started).saturating_sub(prefill))
    }
}

impl Drop for UpstreamPermit {
    fn drop(&mut self) {
        if let Some(lag) = self.finish_prefill().filter(|lag| *lag >= MIN_OVERDUE) {
            self.upstream.record_overdue(lag, self.clock.now());
        }
        if let (Some(stream), Some(load)) = (&self.stream, self.load) {
            self.upstream.record_stream(stream, load);
        }
        let mut state = self.upstream.lock();
        state.in_flight = state.in_flight.saturating_sub(1);
        state.own_tokens = state.own_tokens.saturating_sub(self.tokens.into());
    }
}
