//! What an entry knows of one upstream.

use http::HeaderMap;
use oleander_adapters::http_client::HttpClient;
use oleander_core::concurrency::ConcurrencyLimit;
use oleander_core::ids::{Incarnation, UpstreamName};
use oleander_core::slow_start::SlowStart;
use oleander_core::units::Timestamp;
use oleander_core::upstream_choice::{ReportedLoad, UpstreamView};
use oleander_ports::upstream::LOAD_HEADER;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Least requests in flight at one upstream that its limit may fall to.
const LEAST_LIMIT: u32 = 2;
/// Most requests in flight at one upstream, as a multiple of its slots.
const LIMIT_FACTOR: u32 = 8;

#[derive(Clone, Copy, Debug)]
struct SeenReport {
    running: u32,
    queued: u32,
    own: u32,
    at: Timestamp,
}

struct CellState {
    report: Option<SeenReport>,
    limit: ConcurrencyLimit,
    incarnation: Option<Incarnation>,
    ready_at: Option<Timestamp>,
}

/// One upstream: its connections, the requests in flight there and what it reported.
pub struct UpstreamCell {
    /// Its name.
    pub name: UpstreamName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections to it.
    pub client: HttpClient,
    slots: u32,
    in_flight: AtomicU32,
    state: Mutex<CellState>,
}

impl UpstreamCell {
    /// An upstream of which nothing is known yet.
    pub fn new(name: UpstreamName, address: SocketAddr, slots: u32) -> Self {
        let most = slots.saturating_mul(LIMIT_FACTOR).max(LEAST_LIMIT);
        let state = CellState {
            report: None,
            limit: ConcurrencyLimit::new(most, LEAST_LIMIT, most),
            incarnation: None,
            ready_at: None,
        };
        Self {
            name,
            address,
            client: HttpClient::new(),
            slots,
            in_flight: AtomicU32::new(0),
            state: Mutex::new(state),
        }
    }

    /// Requests that it runs at once.
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Requests of this host in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Notes `running/queued` from an answer.
    pub fn note_headers(&self, headers: &HeaderMap, now: Timestamp) {
        let text = headers.get(LOAD_HEADER).and_then(|value| value.to_str().ok());
        let Some((running, queued)) = text.and_then(|text| text.split_once('/')) else { return };
        if let (Ok(running), Ok(queued)) = (running.parse(), queued.parse()) {
            self.note_load(running, queued, now);
        }
    }

    /// Notes a report of its load.
    pub fn note_load(&self, running: u32, queued: u32, now: Timestamp) {
        let own = self.in_flight();
        self.lock().report = Some(SeenReport { running, queued, own, at: now });
    }

    /// Notes its incarnation; a newer one than the first that was seen starts slowly. Tells
    /// whether it restarted.
    pub fn note_incarnation(&self, incarnation: Incarnation, now: Timestamp) -> bool {
        let mut state = self.lock();
        let restarted = state.incarnation.is_some_and(|known| known < incarnation);
        if restarted {
            state.ready_at = Some(now);
        }
        state.incarnation = state.incarnation.max(Some(incarnation));
        restarted
    }

    /// Notes the first byte of an answer.
    pub fn note_answer(&self, first_token: Duration, now: Timestamp) {
        let in_flight = self.in_flight();
        self.lock().limit.record_answer(first_token, in_flight, now);
    }

    /// Notes that it refused for lack of room.
    pub fn note_refusal(&self, now: Timestamp) {
        self.lock().limit.record_refusal(now);
    }

    /// Requests of other hosts, as last reported.
    pub fn others(&self) -> u32 {
        let report = self.lock().report;
        report.map_or(0, |report| (report.running + report.queued).saturating_sub(report.own))
    }

    /// The view that a choice is made on.
    pub fn view(&self, now: Timestamp) -> UpstreamView {
        let mut view = UpstreamView::new(self.name.clone(), self.slots);
        view.in_flight = self.in_flight();
        let state = self.lock();
        view.limit = state.limit.get();
        view.report = state.report.map(|report| ReportedLoad {
            running: report.running,
            queued: report.queued,
            own: report.own,
            age: now.since(report.at),
        });
        view.slow_start = state.ready_at.map_or(1.0, |at| SlowStart::default().share(at, now));
        view
    }

    fn lock(&self) -> MutexGuard<'_, CellState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One request in flight at an upstream; ends when it is dropped.
pub struct UpstreamPermit {
    cell: Arc<UpstreamCell>,
}

impl UpstreamPermit {
    /// Counts a request at an upstream.
    pub fn new(cell: Arc<UpstreamCell>) -> Self {
        cell.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { cell }
    }

    /// The upstream.
    pub const fn cell(&self) -> &Arc<UpstreamCell> {
        &self.cell
    }
}

impl Drop for UpstreamPermit {
    fn drop(&mut self) {
        self.cell.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
