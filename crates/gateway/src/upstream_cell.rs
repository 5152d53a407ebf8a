//! One upstream as a host uses it: connections, requests in flight, the load that was told.

use crate::link::UpstreamLink;
use crate::load_news::{LoadNews, UpstreamMark};
use crate::upstream_entry::UpstreamEntry;
use crate::wire_format::AnswerLoad;
use oleander_core::units::{Millis, Timestamp};
use oleander_core::upstream_choice::{ReportedLoad, UpstreamView, report_weight};
use oleander_ports::clock::ClockPort;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Longest time that an idle connection is used again when the upstream names none.
const IDLE_LIFE: Duration = Duration::from_secs(4);
/// Idle connections that are kept for one upstream.
const MAX_IDLE: usize = 4;

/// Silence beyond what was expected that says something of the upstream when an attempt is given
/// up: less than this is the time of a connection that was refused or of a caller that left.
const LEAST_SILENCE: Duration = Duration::from_millis(300);

struct IdleLink {
    link: UpstreamLink,
    until: Timestamp,
}

#[derive(Clone, Copy)]
struct SeenLoad {
    load: AnswerLoad,
    /// This host's own requests there at that time, and those of them without an answer.
    own: u32,
    own_waiting: u32,
    /// How much longer than expected the answer that told it took to begin.
    lag: Duration,
    at: Timestamp,
}

#[derive(Default)]
struct CellState {
    in_flight: u32,
    /// Requests in flight whose answer has not begun.
    waiting: u32,
    /// Expected time of this host's prompts that are not read yet, in ms.
    unread: u64,
    load: Option<SeenLoad>,
    idle: Vec<IdleLink>,
}

/// One upstream as this host uses it.
pub struct UpstreamCell {
    /// The upstream, as listed.
    pub entry: Arc<UpstreamEntry>,
    /// Names it among hosts.
    pub(crate) mark: UpstreamMark,
    state: Mutex<CellState>,
}

impl UpstreamCell {
    pub(crate) fn new(entry: Arc<UpstreamEntry>) -> Self {
        let mark = UpstreamMark::new(&entry.name);
        Self { entry, mark, state: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, CellState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection that may be used now.
    pub fn take_idle(&self, now: Timestamp) -> Option<UpstreamLink> {
        let mut state = self.lock();
        while let Some(idle) = state.idle.pop() {
            if now < idle.until && idle.link.is_idle() {
                return Some(idle.link);
            }
        }
        None
    }

    /// Keeps a connection for later requests, at most for `life` where the upstream names it.
    pub fn keep_idle(&self, link: UpstreamLink, life: Option<Duration>, now: Timestamp) {
        let life = life.unwrap_or(IDLE_LIFE).min(IDLE_LIFE);
        let mut state = self.lock();
        state.idle.retain(|idle| now < idle.until);
        if state.idle.len() < MAX_IDLE {
            state.idle.push(IdleLink { link, until: now + life });
        }
    }

    /// Notes the load that an answer told at a time, and how much longer than expected it took to
    /// begin, unless a later one is known.
    pub fn note_load(&self, load: AnswerLoad, lag: Duration, at: Timestamp) {
        let mut state = self.lock();
        if state.load.is_some_and(|known| known.at > at) {
            return;
        }
        let (own, own_waiting) = (state.in_flight, state.waiting);
        state.load = Some(SeenLoad { load, own, own_waiting, lag, at });
    }

    /// Notes that an answer had not begun so much later than expected. It counts as a report of
    /// now: that an upstream is silent says more of it than what it told before.
    fn note_silence(&self, lag: Duration, now: Timestamp) {
        if let Some(load) = &mut self.lock().load {
            (load.lag, load.at) = (lag, now);
        }
    }

    /// Its load, for other hosts.
    pub(crate) fn news(&self, now: Timestamp) -> Option<LoadNews> {
        let seen = self.lock().load?;
        LoadNews::new(self.mark, seen.load, seen.lag, now.since(seen.at))
    }

    /// The upstream as a choice sees it; `read` is the usual time to read a prompt there.
    pub(crate) fn view(&self, read: Duration, now: Timestamp) -> UpstreamView {
        let state = self.lock();
        let mut view = UpstreamView::new(self.entry.name.clone(), self.entry.slots);
        view.in_flight = state.in_flight;
        let others = state.load.map_or(Duration::ZERO, |seen| {
            let waiting = f64::from(seen.load.waiting.saturating_sub(seen.own_waiting));
            read.mul_f64(waiting).max(seen.lag).mul_f64(report_weight(now.since(seen.at)))
        });
        let others = others.as_millis() as u64;
        view.backlog = Millis::new(state.unread.saturating_add(others));
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
    pub cell: Arc<UpstreamCell>,
    clock: Arc<dyn ClockPort>,
    begun: Timestamp,
    /// Expected time of its prompt, until it is read.
    unread: Option<Duration>,
}

impl UpstreamPermit {
    pub(crate) fn new(cell: Arc<UpstreamCell>, read: Duration, clock: Arc<dyn ClockPort>) -> Self {
        {
            let mut state = cell.lock();
            state.in_flight += 1;
            state.waiting += 1;
            state.unread += read.as_millis() as u64;
        }
        Self { cell, begun: clock.now(), clock, unread: Some(read) }
    }

    /// Notes that the answer has begun, and the load that it tells.
    pub fn note_head(&mut self, load: Option<AnswerLoad>) {
        let Some(lag) = self.end_read() else { return };
        if let Some(load) = load {
            self.cell.note_load(load, lag, self.clock.now());
        }
    }

    /// Ends the reading of the prompt; returns how much longer than expected it took so far.
    fn end_read(&mut self) -> Option<Duration> {
        let read = self.unread.take()?;
        let mut state = self.cell.lock();
        state.waiting = state.waiting.saturating_sub(1);
        state.unread = state.unread.saturating_sub(read.as_millis() as u64);
        Some(self.clock.now().since(self.begun).saturating_sub(read))
    }
}

impl Drop for UpstreamPermit {
    fn drop(&mut self) {
        if let Some(lag) = self.end_read().filter(|lag| *lag >= LEAST_SILENCE) {
            self.cell.note_silence(lag, self.clock.now());
        }
        let mut state = self.cell.lock();
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}
