//! The limits that upstreams name, shared by all requests of this host.

use crate::cold_upstreams::ColdUpstreams;
use crate::control_port::HostRecord;
use crate::upstream_entry::UpstreamEntry;
use crate::wire_format::AnswerHead;
use oleander_core::host_view::{Heartbeat, HostHash, HostReport, HostView};
use oleander_core::ids::HostId;
use oleander_core::limit_division::{
    LimitChange, LimitDivision, LimitKey, LimitWait, ReportedLimit,
};
use oleander_core::place_division::{PlaceChange, PlaceDivision, PlaceRequest, ReportedPlaces};
use oleander_core::request_rate::RequestRate;
use oleander_core::seat_order::HostSeats;
use oleander_core::units::Timestamp;
use oleander_ports::clock::{ClockPort, SystemClock};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Time between two heartbeats, from which the first heartbeat of a process is taken, so that it
/// follows those of the process before.
const HEARTBEAT_MS: u64 = 250;

/// The live hosts, and the limits that are divided among them.
#[derive(Debug)]
pub struct SharedLimits {
    hosts: Mutex<HostView>,
    division: Mutex<LimitDivision>,
    places: Mutex<PlaceDivision>,
    cold: ColdUpstreams,
}

impl SharedLimits {
    /// Creates the state of a host.
    #[must_use]
    pub fn new(host: &HostId) -> Self {
        let number = SystemClock.now().as_millis() / HEARTBEAT_MS;
        let heartbeat = Heartbeat::new(number as u16);
        let hosts = Mutex::new(HostView::new(HostHash::new(host), heartbeat));
        Self {
            hosts,
            division: Mutex::default(),
            places: Mutex::default(),
            cold: ColdUpstreams::default(),
        }
    }

    /// Adds the hosts that the store lists.
    pub fn register_hosts(&self, hosts: &[HostRecord], now: Timestamp) {
        lock(&self.hosts).register(hosts.iter().map(|record| HostHash::new(&record.host)), now);
        self.divide(now);
    }

    /// Takes over what another host tells.
    pub fn merge(
        &self,
        sender: &HostId,
        hosts: &HostReport,
        limits: &[ReportedLimit],
        now: Timestamp,
    ) {
        lock(&self.hosts).merge(HostHash::new(sender), hosts, now);
        if !limits.is_empty() {
            lock(&self.division).merge(limits, now);
            self.divide(now);
        }
    }

    /// What other hosts should know.
    #[must_use]
    pub fn report(&self, now: Timestamp) -> (HostReport, Vec<ReportedLimit>) {
        (lock(&self.hosts).report(now), lock(&self.division).report(now))
    }

    /// Divides the limits among the hosts that are alive now.
    pub fn divide(&self, now: Timestamp) {
        let hosts = lock(&self.hosts);
        lock(&self.division).divide(&hosts, now);
        lock(&self.places).expire(now);
        self.cold.divide(&hosts, now);
    }

    /// The upstreams that are cold.
    #[must_use]
    pub const fn cold(&self) -> &ColdUpstreams {
        &self.cold
    }

    /// Divides the rates of cold upstreams at once if `has_changed`.
    pub fn divide_cold(&self, has_changed: bool, now: Timestamp) {
        if has_changed {
            self.cold.divide(&lock(&self.hosts), now);
        }
    }

    /// Whether this host is the first live one in the order of a key.
    #[must_use]
    pub fn is_first(&self, key: u64, now: Timestamp) -> bool {
        lock(&self.hosts).is_first(key, now)
    }

    /// Whether this host writes to the store for hosts that may be gone: if it is the first live one
    /// in the order of a key, or cannot tell since it hears no other.
    #[must_use]
    pub fn writes_for(&self, key: u64, now: Timestamp) -> bool {
        let hosts = lock(&self.hosts);
        hosts.is_first(key, now) || !hosts.is_in_touch(now)
    }

    /// Number of live hosts, this one included.
    #[must_use]
    pub fn live_hosts(&self, now: Timestamp) -> usize {
        lock(&self.hosts).live(now).len()
    }

    /// Records which limit an upstream's answer names. An answer that is not complete or belongs to
    /// another request does not end a limit.
    pub fn record_answer(
        &self,
        entry: &UpstreamEntry,
        head: &AnswerHead,
        is_complete: bool,
        now: Timestamp,
    ) {
        let upstream = entry.name.as_str();
        let (rate, errors) = RequestRate::lowest(&head.limits);
        for error in &errors {
            log::warn!(target: "belief", upstream, error:%; "unusable limit of an upstream");
        }
        if rate.is_none() && !(is_complete && errors.is_empty()) {
            return;
        }
        let change = lock(&self.division).record_answer(key(entry), rate, now);
        let rate = rate.map(|rate| rate.to_string()).unwrap_or_default();
        match change {
            LimitChange::Named => {
                log::info!(target: "belief", upstream, rate; "upstream named a limit");
            }
            LimitChange::Changed => {
                log::debug!(target: "belief", upstream, rate; "upstream named another limit");
            }
            LimitChange::Ended => {
                log::info!(target: "belief", upstream; "upstream no longer names a limit");
            }
            LimitChange::Same => return,
        }
        self.divide(now);
    }

    /// Records whether an upstream's answer says that it is brittle, and whether it turned the request
    /// away for want of room.
    pub fn record_places(
        &self,
        entry: &UpstreamEntry,
        head: &AnswerHead,
        (is_complete, is_rejection): (bool, bool),
        now: Timestamp,
    ) {
        let upstream = entry.name.as_str();
        let (max_rejected, errors) = RequestRate::lowest(&head.brittle);
        for error in &errors {
            log::warn!(target: "belief", upstream, error:%; "unusable number of rejections");
        }
        if max_rejected.is_none() && !((is_complete || is_rejection) && errors.is_empty()) {
            return;
        }
        let mut places = lock(&self.places);
        let change = places.record_answer(key(entry), max_rejected, now);
        if is_rejection && places.is_brittle(key(entry)) {
            places.record_rejection(key(entry), now);
            log::debug!(target: "belief", upstream; "brittle upstream turned a request away");
        }
        drop(places);
        match change {
            PlaceChange::Named => log::info!(target: "belief", upstream; "upstream is brittle"),
            PlaceChange::Ended => {
                log::info!(target: "belief", upstream; "upstream is no longer brittle");
            }
            PlaceChange::Same => {}
        }
    }

    /// The hosts among which places are divided; `None` if no upstream is brittle.
    #[must_use]
    pub fn seats(&self, now: Timestamp) -> Option<HostSeats> {
        let is_empty = lock(&self.places).is_empty();
        (!is_empty).then(|| HostSeats::new(&lock(&self.hosts), now))
    }

    /// Whether this host has a free place at an upstream.
    #[must_use]
    pub fn has_place(
        &self,
        entry: &UpstreamEntry,
        request: &PlaceRequest,
        seats: &HostSeats,
        now: Timestamp,
    ) -> bool {
        lock(&self.places).may_send(key(entry), request, seats, now)
    }

    /// What other hosts should know of brittle upstreams.
    #[must_use]
    pub fn report_places(&self, now: Timestamp) -> Vec<ReportedPlaces> {
        lock(&self.places).report(now)
    }

    /// Takes over what another host tells of brittle upstreams.
    pub fn merge_places(&self, reports: &[ReportedPlaces], now: Timestamp) {
        if !reports.is_empty() {
            lock(&self.places).merge(reports, now);
        }
    }

    /// When this host may send a request to an upstream.
    #[must_use]
    pub fn wait(&self, entry: &UpstreamEntry, now: Timestamp) -> LimitWait {
        lock(&self.division).wait(key(entry), now)
    }

    /// Takes the permission to send a request of this priority to an upstream.
    #[must_use]
    pub fn try_take(&self, entry: &UpstreamEntry, priority: u8, now: Timestamp) -> bool {
        let mut division = lock(&self.division);
        let is_open = division.is_empty()
            || matches!(division.wait(key(entry), now), LimitWait::Unlimited | LimitWait::Ready);
        // One that is cold and limited counts as both, and a request that one forbids as neither.
        is_open
            && self.cold.try_take(entry, priority, now)
            && (division.is_empty() || division.try_take(key(entry), now))
    }

    /// Takes the permission to send a request to an upstream as if it was warm.
    #[must_use]
    pub fn try_take_warm(&self, entry: &UpstreamEntry, now: Timestamp) -> bool {
        let mut division = lock(&self.division);
        division.is_empty() || division.try_take(key(entry), now)
    }

    /// The upstreams whose limits, if any, allow a request now.
    #[must_use]
    pub fn open_only<'a>(
        &self,
        mut entries: Vec<&'a Arc<UpstreamEntry>>,
        now: Timestamp,
    ) -> Vec<&'a Arc<UpstreamEntry>> {
        let division = lock(&self.division);
        if !division.is_empty() {
            entries.retain(|entry| {
                matches!(division.wait(key(entry), now), LimitWait::Unlimited | LimitWait::Ready)
            });
        }
        entries
    }

    /// Indices of the upstreams that have a limit.
    #[must_use]
    pub fn limited(&self, entries: &[&Arc<UpstreamEntry>]) -> Vec<usize> {
        let division = lock(&self.division);
        if division.is_empty() {
            return Vec::new();
        }
        let is_limited = |index: &usize| division.limit(key(entries[*index])).is_some();
        (0..entries.len()).filter(is_limited).collect()
    }

    /// The sum of the limits of upstreams, or of their rates while they are cold; `None` if one of them
    /// has neither, or there are none.
    #[must_use]
    pub fn total<'a>(
        &self,
        entries: impl Iterator<Item = &'a Arc<UpstreamEntry>>,
        now: Timestamp,
    ) -> Option<RequestRate> {
        let division = lock(&self.division);
        let limits = entries.map(|entry| {
            let rates = [division.limit(key(entry)), self.cold.rate(entry, now)];
            rates.into_iter().flatten().map(RequestRate::per_second).reduce(f64::min)
        });
        let limits: Vec<f64> = limits.collect::<Option<_>>()?;
        (!limits.is_empty()).then(|| RequestRate::new(limits.iter().sum()))
    }
}

fn key(entry: &UpstreamEntry) -> LimitKey {
    LimitKey::new(entry.name.as_str(), entry.started_ms)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
