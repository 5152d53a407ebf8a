//! One upstream as a host uses it: connections, requests in flight, the load that was told.

use crate::load_report::{LoadReport, UpstreamHash};
use crate::upstream_connection::UpstreamConnection;
use crate::upstream_entry::UpstreamEntry;
use crate::wire_format::AnswerLoad;
use oleander_core::units::{Millis, Timestamp};
use oleander_core::upstream_choice::{ReportedLoad, UpstreamView, report_trust};
use oleander_ports::clock::ClockPort;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Longest time that an idle connection is used again when the upstream names none.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Idle connections that are kept for one upstream.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Silence beyond what was expected that says something of the upstream when an attempt is given
/// up: less than this is the time of a connection that was refused or of a caller that left.
const MIN_OVERDUE: Duration = Duration::from_millis(300);

struct IdleConnection {
    connection: UpstreamConnection,
    until: Timestamp,
}

#[derive(Clone, Copy)]
struct ObservedLoad {
    load: AnswerLoad,
    /// This host's own requests there at that time, and those of them without an answer.
    own: u32,
    own_waiting: u32,
    /// How much longer than expected the answer that told it took to begin.
    lag: Duration,
    at: Timestamp,
}

#[derive(Default)]
struct HandleState {
    in_flight: u32,
    /// Requests in flight whose answer has not begun.
    waiting: u32,
    /// Expected time of this host's prompts that are not read yet, in ms.
    pending_prefill_ms: u64,
    load: Option<ObservedLoad>,
    idle: Vec<IdleConnection>,
}

/// One upstream as this host uses it.
pub struct UpstreamHandle {
    /// The upstream, as listed.
    pub entry: Arc<UpstreamEntry>,
    /// Names it among hosts.
    pub(crate) hash: UpstreamHash,
    state: Mutex<HandleState>,
}

impl UpstreamHandle {
    pub(crate) fn new(entry: Arc<UpstreamEntry>) -> Self {
        let hash = UpstreamHash::new(&entry.name);
        Self { entry, hash, state: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, HandleState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection that may be used now.
    pub fn take_idle(&self, now: Timestamp) -> Option<UpstreamConnection> {
        let mut state = self.lock();
        while let Some(idle) = state.idle.pop() {
            if now < idle.until && idle.connection.is_idle() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection for later requests, at most for `life` where the upstream names it.
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

    /// Notes the load that an answer told at a time, and how much longer than expected it took to
    /// begin, unless a later one is known.
    pub fn record_load(&self, load: AnswerLoad, lag: Duration, at: Timestamp) {
        let mut state = self.lock();
        if state.load.is_some_and(|known| known.at > at) {
            return;
        }
        let (own, own_waiting) = (state.in_flight, state.waiting);
        state.load = Some(ObservedLoad { load, own, own_waiting, lag, at });
    }

    /// Notes that an answer had not begun so much later than expected. It counts as a report of
    /// now: that an upstream is silent says more of it than what it told before.
    fn record_overdue(&self, lag: Duration, now: Timestamp) {
        if let Some(load) = &mut self.lock().load {
            (load.lag, load.at) = (lag, now);
        }
    }

    /// Its load, for other hosts.
    pub(crate) fn load_report(&self, now: Timestamp) -> Option<LoadReport> {
        let seen = self.lock().load?;
        LoadReport::new(self.hash, seen.load, seen.lag, now.since(seen.at))
    }

    /// The upstream as a choice sees it; `read` is the usual time to read a prompt there.
    pub(crate) fn view(&self, prefill: Duration, now: Timestamp) -> UpstreamView {
        let state = self.lock();
        let mut view = UpstreamView::new(self.entry.name.clone(), self.entry.slots);
        view.in_flight = state.in_flight;
        let others = state.load.map_or(Duration::ZERO, |seen| {
            let waiting = f64::from(seen.load.waiting.saturating_sub(seen.own_waiting));
            prefill.mul_f64(waiting).max(seen.lag).mul_f64(report_trust(now.since(seen.at)))
        });
        let others = others.as_millis() as u64;
        view.backlog = Millis::new(state.pending_prefill_ms.saturating_add(others));
        view.report = state.load.map(|seen| ReportedLoad {
            running: seen.load.running,
            queued: seen.load.waiting,
            own: seen.own,
            age: now.since(seen.at),
        });
        view
    }
}

/// A request in flight at an upstream; it is over when this is dropped.
pub struct UpstreamPermit {
    /// The upstream.
    pub upstream: Arc<UpstreamHandle>,
    clock: Arc<dyn ClockPort>,
    started: Timestamp,
    /// Expected time of its prompt, until it is read.
    pending_prefill_ms: Option<Duration>,
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
        Self { upstream, started: clock.now(), clock, pending_prefill_ms: Some(prefill) }
    }

    /// Notes that the answer has begun, and the load that it tells.
    pub fn record_head(&mut self, load: Option<AnswerLoad>) {
        let Some(lag) = self.finish_prefill() else { return };
        if let Some(load) = load {
            self.upstream.record_load(load, lag, self.clock.now());
        }
    }

    /// Ends the reading of the prompt; returns how much longer than expected it took so far.
    fn finish_prefill(&mut self) -> Option<Duration> {
        let prefill = self.pending_prefill_ms.take()?;
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
        let mut state = self.upstream.lock();
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}
