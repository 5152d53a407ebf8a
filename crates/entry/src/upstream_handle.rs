//! Connections to one upstream and its state as this entry knows it.

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

/// Lower bound of the concurrency limit of one upstream.
const MIN_LIMIT: u32 = 2;
/// Upper bound of the concurrency limit of one upstream, as a multiple of its slots.
const MAX_LIMIT_PER_SLOT: u32 = 8;

/// The load of the last report, with this host's own requests in flight at that time.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    running: u32,
    queued: u32,
    own: u32,
    at: Timestamp,
}

struct HandleState {
    report: Option<LoadSample>,
    limit: ConcurrencyLimit,
    incarnation: Option<Incarnation>,
    restarted_at: Option<Timestamp>,
}

/// One upstream: its connections, this host's requests in flight there and its reported load.
pub struct UpstreamHandle {
    /// Name.
    pub name: UpstreamName,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Connection pool.
    pub client: HttpClient,
    slots: u32,
    in_flight: AtomicU32,
    state: Mutex<HandleState>,
}

impl UpstreamHandle {
    /// Creates an upstream whose load and incarnation are not known yet.
    pub fn new(name: UpstreamName, address: SocketAddr, slots: u32) -> Self {
        let max_limit = slots.saturating_mul(MAX_LIMIT_PER_SLOT).max(MIN_LIMIT);
        let state = HandleState {
            report: None,
            limit: ConcurrencyLimit::new(max_limit, MIN_LIMIT, max_limit),
            incarnation: None,
            restarted_at: None,
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

    /// Number of requests that the upstream runs at once.
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Number of this host's requests in flight at the upstream.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Records the load from the `running/queued` header of a response.
    pub fn record_load_header(&self, headers: &HeaderMap, now: Timestamp) {
        let text = headers.get(LOAD_HEADER).and_then(|value| value.to_str().ok());
        let Some((running, queued)) = text.and_then(|text| text.split_once('/')) else { return };
        if let (Ok(running), Ok(queued)) = (running.parse(), queued.parse()) {
            self.record_load(running, queued, now);
        }
    }

    /// Records the reported load.
    pub fn record_load(&self, running: u32, queued: u32, now: Timestamp) {
        let own = self.in_flight();
        self.lock().report = Some(LoadSample { running, queued, own, at: now });
    }

    /// Records the incarnation; returns whether it is newer than the known one, which means a
    /// restart. A restarted upstream begins with a slow start.
    pub fn record_incarnation(&self, incarnation: Incarnation, now: Timestamp) -> bool {
        let mut state = self.lock();
        let restarted = state.incarnation.is_some_and(|known| known < incarnation);
        if restarted {
            state.restarted_at = Some(now);
        }
        state.incarnation = state.incarnation.max(Some(incarnation));
        restarted
    }

    /// Records the time to the first byte of an answer.
    pub fn record_first_byte(&self, first_token: Duration, now: Timestamp) {
        let in_flight = self.in_flight();
        self.lock().limit.record_answer(first_token, in_flight, now);
    }

    /// Records that the upstream refused a request because it was full.
    pub fn record_refusal(&self, now: Timestamp) {
        self.lock().limit.record_refusal(now);
    }

    /// Number of requests of other hosts, by the last load report.
    pub fn other_hosts_load(&self) -> u32 {
        let report = self.lock().report;
        report.map_or(0, |report| (report.running + report.queued).saturating_sub(report.own))
    }

    /// Returns the inputs for choosing an upstream.
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
        view.slow_start = state.restarted_at.map_or(1.0, |at| SlowStart::default().share(at, now));
        view
    }

    fn lock(&self) -> MutexGuard<'_, HandleState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one request in flight at an upstream until it is dropped.
pub struct UpstreamPermit {
    handle: Arc<UpstreamHandle>,
}

impl UpstreamPermit {
    /// Adds a request in flight to the upstream.
    pub fn new(handle: Arc<UpstreamHandle>) -> Self {
        handle.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { handle }
    }

    /// Returns the upstream.
    pub const fn handle(&self) -> &Arc<UpstreamHandle> {
        &self.handle
    }
}

impl Drop for UpstreamPermit {
    fn drop(&mut self) {
        self.handle.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
