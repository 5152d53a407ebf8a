//! The upstreams that have started a short while ago and take few requests, shared by all requests of
//! this host.

use crate::control_cache::ControlSnapshot;
use crate::placement::ChoiceInput;
use crate::settings::GatewayBounds;
use crate::upstream_entry::UpstreamEntry;
use oleander_core::cold_division::{
    ColdBound, ColdDivision, ColdKey, ColdReason, ColdRule, ColdWait, ListedUpstream,
};
use oleander_core::host_view::HostView;
use oleander_core::ids::{DomainName, UpstreamName};
use oleander_core::request_rate::RequestRate;
use oleander_core::units::Timestamp;
use oleander_ports::clock::{ClockPort, SystemClock};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A cold upstream among candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdCandidate {
    /// Its index.
    pub index: usize,
    /// Whether it is compared with those that are drawn at random.
    pub is_drawn: bool,
}

/// What the latest snapshot said.
#[derive(Debug, Default)]
struct SeenLists {
    names: BTreeMap<ColdKey, UpstreamName>,
    evacuated: BTreeSet<DomainName>,
}

/// The cold upstreams, and what this host may send them.
#[derive(Debug, Default)]
pub struct ColdUpstreams {
    division: Mutex<ColdDivision>,
    seen: Mutex<SeenLists>,
}

impl ColdUpstreams {
    /// Takes over a new snapshot; returns whether an upstream has become cold.
    pub fn update(
        &self,
        snapshot: &ControlSnapshot,
        bounds: &GatewayBounds,
        now: Timestamp,
    ) -> bool {
        let mut seen = lock(&self.seen);
        let evacuated = snapshot.evacuated.keys().cloned().collect();
        let evacuated_before = std::mem::replace(&mut seen.evacuated, evacuated);
        let mut division = lock(&self.division);
        division.set_bound(ColdBound::new(bounds.cold_excess, bounds.cold_slack));
        seen.names.clear();
        let mut has_changed = false;
        for entry in snapshot.upstreams.values().flatten() {
            let table = snapshot.routes.as_ref();
            let service = table.and_then(|table| table.service(&entry.service));
            let warm_up = service.and_then(|service| service.warm_up);
            let listed = ListedUpstream {
                key: key(entry),
                rule: warm_up.map(|spec| ColdRule { duration: spec.duration, rate: spec.rate }),
                started: Timestamp::from_millis(entry.started_ms),
                cold_left: entry.cold_left,
                is_returned: evacuated_before.contains(&entry.domain),
            };
            seen.names.insert(listed.key, entry.name.clone());
            let reason = division.observe(&listed, now);
            has_changed |= log_cold(&entry.name, reason, division.cold_left(listed.key, now));
        }
        if snapshot.complete {
            division.record_read(SystemClock.now());
        }
        has_changed
    }

    /// Divides the rates among the hosts.
    pub(crate) fn divide(&self, hosts: &HostView, now: Timestamp) {
        let warm = lock(&self.division).divide(hosts, now);
        if warm.is_empty() {
            return;
        }
        let seen = lock(&self.seen);
        for name in warm.iter().filter_map(|key| seen.names.get(key)) {
            log::info!(target: "belief", upstream = name.as_str(); "upstream is warm again");
        }
    }

    /// Records that an upstream refused or lost a connection; returns whether it counts as cold since.
    pub fn record_loss(&self, entry: &UpstreamEntry, now: Timestamp) -> bool {
        let mut division = lock(&self.division);
        let reason = division.record_loss(key(entry), now);
        log_cold(&entry.name, reason, division.cold_left(key(entry), now))
    }

    /// Records an answer, with how much longer the upstream stays cold if it states that; returns
    /// whether it counts as cold since.
    pub fn record_answer(
        &self,
        entry: &UpstreamEntry,
        cold_left: Option<Duration>,
        now: Timestamp,
    ) -> bool {
        let mut division = lock(&self.division);
        let reason = division.record_answer(key(entry), cold_left, now);
        log_cold(&entry.name, reason, division.cold_left(key(entry), now))
    }

    /// The upstreams that are warm, and cold ones that take a request of this priority now.
    #[must_use]
    pub fn open_only<'a>(
        &self,
        mut entries: Vec<&'a Arc<UpstreamEntry>>,
        priority: u8,
        now: Timestamp,
    ) -> Vec<&'a Arc<UpstreamEntry>> {
        let division = lock(&self.division);
        if division.is_all_warm() {
            return entries;
        }
        let wait = |entry: &UpstreamEntry| division.wait(key(entry), priority, now);
        let has_warm = entries.iter().any(|entry| wait(entry) == ColdWait::Warm);
        entries.retain(|entry| match wait(entry) {
            ColdWait::Warm | ColdWait::Ready => true,
            ColdWait::LastResort => !has_warm,
            ColdWait::After(_) | ColdWait::NoSeat(_) => false,
        });
        entries
    }

    /// Records that a request of this priority looks for an upstream.
    pub fn record_ask(&self, priority: u8, now: Timestamp) {
        let mut division = lock(&self.division);
        if !division.is_all_warm() {
            division.record_ask(priority, now);
        }
    }

    /// Takes the permission to send a request of this priority to an upstream.
    #[must_use]
    pub fn try_take(&self, entry: &UpstreamEntry, priority: u8, now: Timestamp) -> bool {
        let mut division = lock(&self.division);
        division.is_all_warm() || division.try_take(key(entry), priority, now)
    }

    /// The cold ones among candidates.
    #[must_use]
    pub fn among(
        &self,
        entries: &[&Arc<UpstreamEntry>],
        input: &ChoiceInput<'_>,
    ) -> Vec<ColdCandidate> {
        let division = lock(&self.division);
        if division.is_all_warm() {
            return Vec::new();
        }
        let cold = entries.iter().enumerate().filter_map(|(index, entry)| {
            division.rate(key(entry), input.now)?;
            let is_drawn = division.is_drawn(key(entry), input.entries.len(), input.random);
            Some(ColdCandidate { index, is_drawn })
        });
        cold.collect()
    }

    /// The rate of an upstream while it is cold.
    #[must_use]
    pub fn rate(&self, entry: &UpstreamEntry, now: Timestamp) -> Option<RequestRate> {
        lock(&self.division).rate(key(entry), now)
    }

    /// Time for which an upstream stays cold; `None` if it is warm.
    #[must_use]
    pub fn cold_left(&self, entry: &UpstreamEntry, now: Timestamp) -> Option<Duration> {
        lock(&self.division).cold_left(key(entry), now)
    }

    /// Time until this host may send an upstream a request; `None` if it may now.
    #[must_use]
    pub fn time_until_open(&self, entry: &UpstreamEntry, now: Timestamp) -> Option<Duration> {
        match lock(&self.division).wait(key(entry), 0, now) {
            ColdWait::Warm | ColdWait::Ready | ColdWait::LastResort => None,
            ColdWait::After(wait) | ColdWait::NoSeat(wait) => Some(wait),
        }
    }

    /// Number of upstreams that are cold.
    #[must_use]
    pub fn count(&self, now: Timestamp) -> usize {
        lock(&self.division).cold_count(now)
    }
}

/// Logs that an upstream has become cold, if there is a reason; returns whether there is.
fn log_cold(name: &UpstreamName, reason: Option<ColdReason>, left: Option<Duration>) -> bool {
    let Some(reason) = reason else { return false };
    log::info!(
        target: "belief", upstream = name.as_str(), reason = reason.text(),
        cold_left_ms = left.unwrap_or_default().as_millis() as u64;
        "upstream is cold"
    );
    true
}

fn key(entry: &UpstreamEntry) -> ColdKey {
    ColdKey::new(entry.name.as_str())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
