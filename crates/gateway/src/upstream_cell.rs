//! One upstream as a host uses it: connections, requests in flight, the load that was told.

use crate::link::UpstreamLink;
use crate::load_news::{LoadNews, UpstreamMark};
use crate::upstream_entry::UpstreamEntry;
use crate::wire_format::AnswerLoad;
use oleander_core::units::{Millis, Timestamp};
use oleander_core::upstream_choice::{ReportedLoad, UpstreamView, report_trust};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Longest time that an idle connection is used again when the upstream names none.
const IDLE_LIFE: Duration = Duration::from_secs(4);
/// Idle connections that are kept for one upstream.
const MAX_IDLE: usize = 4;

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
                return Some(idle.link.with_reuse());
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

    /// Notes the load that an answer told at a time, unless a later one is known.
    pub fn note_load(&self, load: AnswerLoad, at: Timestamp) {
        let mut state = self.lock();
        if state.load.is_some_and(|known| known.at > at) {
            return;
        }
        let (own, own_waiting) = (state.in_flight, state.waiting);
        state.load = Some(SeenLoad { load, own, own_waiting, at });
    }

    /// Its load, for other hosts.
    pub(crate) fn news(&self, now: Timestamp) -> Option<LoadNews> {
        let seen = self.lock().load?;
        LoadNews::new(self.mark, seen.load, now.since(seen.at))
    }

    /// The upstream as a choice sees it; `read` is the usual time to read a prompt there.
    pub(crate) fn view(&self, read: Duration, now: Timestamp) -> UpstreamView {
        let state = self.lock();
        let mut view = UpstreamView::new(self.entry.name.clone(), self.entry.slots);
        view.in_flight = state.in_flight;
        let others = state.load.map_or(0.0, |seen| {
            let waiting = f64::from(seen.load.waiting.saturating_sub(seen.own_waiting));
            waiting * report_trust(now.since(seen.at))
        });
        let others = read.mul_f64(others).as_millis() as u64;
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
    /// Expected time of its prompt in ms, until it is read.
    unread: Option<u64>,
}

impl UpstreamPermit {
    pub(crate) fn new(cell: Arc<UpstreamCell>, unread: u64) -> Self {
        {
            let mut state = cell.lock();
            state.in_flight += 1;
            state.waiting += 1;
            state.unread += unread;
        }
        Self { cell, unread: Some(unread) }
    }

    /// Notes that the prompt is read: the answer has begun.
    pub fn note_read(&mut self) {
        let Some(unread) = self.unread.take() else { return };
        let mut state = self.cell.lock();
        state.waiting = state.waiting.saturating_sub(1);
        state.unread = state.unread.saturating_sub(unread);
    }
}

impl Drop for UpstreamPermit {
    fn drop(&mut self) {
        self.note_read();
        let mut state = self.cell.lock();
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}
