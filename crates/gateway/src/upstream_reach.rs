//! Whether this host reaches the upstreams of a service, and which hosts carry its requests if not.

use crate::control_cache::ControlSnapshot;
use crate::settings::GatewaySettings;
use crate::upstream_entry::UpstreamEntry;
use oleander_core::host_view::HostHash;
use oleander_core::ids::ServiceName;
use oleander_core::reach_view::{
    CarrierHost, CarrierRule, ConnectionOutcome, HostPlace, ReachChange, ReachReport, ReachView,
    ServicePath,
};
use oleander_core::units::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Minimum time between two rounds of trial connections to a service.
const TRIAL_INTERVAL: Duration = Duration::from_millis(300);

/// The view of paths that all requests share.
#[derive(Debug)]
pub struct UpstreamReach {
    view: Mutex<ReachView>,
    /// Services whose upstreams seem to be out of reach.
    suspects: Mutex<BTreeSet<ServiceName>>,
    suspected: Notify,
    last_trials: Mutex<BTreeMap<ServiceName, Timestamp>>,
    /// Changed with each change of the belief.
    changes: watch::Sender<u64>,
}

impl UpstreamReach {
    /// Creates the view of a host that has opened no connection yet.
    #[must_use]
    pub fn new(settings: &GatewaySettings) -> Self {
        let place = HostPlace::new(&settings.domain, &settings.region);
        Self {
            view: Mutex::new(ReachView::new(place)),
            suspects: Mutex::default(),
            suspected: Notify::new(),
            last_trials: Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// Records whether a new connection to an upstream, begun at `began`, was opened. One that was not makes the service
    /// a suspect.
    pub fn record_connection(
        &self,
        snapshot: &ControlSnapshot,
        entry: &UpstreamEntry,
        (began, is_open): (Timestamp, bool),
        now: Timestamp,
    ) {
        let service = &entry.service;
        let listed = snapshot.upstreams.get(service).map_or(1, Vec::len);
        let mut view = lock(&self.view);
        let outcome = ConnectionOutcome { upstream: &entry.name, is_open, began };
        let change = view.record_connection(service, listed, &outcome, now);
        drop(view);
        self.record_change(service, change, now);
    }

    /// Records whether any trial connection of a round was opened.
    pub fn record_trials(&self, service: &ServiceName, is_any_open: bool, now: Timestamp) {
        let change = lock(&self.view).record_trials(service, is_any_open, now);
        self.record_change(service, change, now);
        if !is_any_open {
            self.suspect(service);
        }
    }

    fn record_change(&self, service: &ServiceName, change: Option<ReachChange>, now: Timestamp) {
        let Some(change) = change else { return };
        match change {
            ReachChange::Lost => {
                let path = self.path(service, now);
                log::warn!(
                    target: "belief", service = service.as_str(), path:? = path;
                    "upstreams of the service are out of reach"
                );
            }
            ReachChange::Returned => {
                log::info!(
                    target: "belief", service = service.as_str();
                    "upstreams of the service are reached again"
                );
            }
        }
        self.changes.send_modify(|count| *count += 1);
    }

    /// Records an answer on a connection of this host.
    pub fn record_answer(&self, service: &ServiceName, now: Timestamp) {
        lock(&self.view).record_answer(service, now);
    }

    /// Has the upstreams of a service tried by new connections.
    pub fn suspect(&self, service: &ServiceName) {
        if lock(&self.suspects).insert(service.clone()) {
            self.suspected.notify_one();
        }
    }

    /// Has them tried unless one answered since `since`.
    pub fn suspect_silence(&self, service: &ServiceName, since: Timestamp) {
        let reached_at = lock(&self.view).reached_at(service);
        if reached_at.is_none_or(|at| at < since) {
            self.suspect(service);
        }
    }

    /// Resolves when a service has become a suspect.
    pub async fn next_suspect(&self) {
        self.suspected.notified().await;
    }

    /// Services whose upstreams are to be tried now.
    #[must_use]
    pub fn take_due_trials(&self, now: Timestamp) -> BTreeSet<ServiceName> {
        let mut suspects = lock(&self.suspects);
        let mut due = suspects.clone();
        due.extend(lock(&self.view).lost_services().cloned());
        let mut last_trials = lock(&self.last_trials);
        let is_due = |service: &ServiceName| {
            last_trials.get(service).is_none_or(|at| now.since(*at) >= TRIAL_INTERVAL)
        };
        due.retain(is_due);
        suspects.retain(|service| !due.contains(service));
        last_trials.extend(due.iter().map(|service| (service.clone(), now)));
        due
    }

    /// Whether any service is out of reach.
    #[must_use]
    pub fn has_lost(&self) -> bool {
        self.lost_count() > 0
    }

    /// Whether the upstreams of any service are to be tried, now or soon.
    #[must_use]
    pub fn has_trials(&self) -> bool {
        !lock(&self.suspects).is_empty() || self.has_lost()
    }

    /// Number of services out of reach.
    #[must_use]
    pub fn lost_count(&self) -> usize {
        lock(&self.view).lost_services().count()
    }

    /// For how long a service has been out of this host's reach.
    #[must_use]
    pub fn lost_for(&self, service: &ServiceName, now: Timestamp) -> Option<Duration> {
        lock(&self.view).lost_for(service, now)
    }

    /// How requests reach the upstreams of a service now.
    #[must_use]
    pub fn path(&self, service: &ServiceName, now: Timestamp) -> ServicePath {
        lock(&self.view).path(service, now)
    }

    /// Resolves when the belief changes.
    pub async fn next_change(&self) {
        let mut changes = self.changes.subscribe();
        // Cannot fail, since the sender is borrowed.
        let _ = changes.changed().await;
    }

    /// Forgets services that are no longer listed.
    pub fn retain_services(&self, listed: &BTreeSet<&ServiceName>) {
        lock(&self.view).retain_services(listed);
        lock(&self.last_trials).retain(|service, _| listed.contains(service));
    }

    /// Takes over what another host tells.
    pub fn merge(&self, host: HostHash, report: &ReachReport, now: Timestamp) {
        lock(&self.view).merge(host, report, now);
    }

    /// What other hosts should know.
    #[must_use]
    pub fn report(&self, address: Option<SocketAddr>, carried: u16, now: Timestamp) -> ReachReport {
        lock(&self.view).report(address, carried, now)
    }

    /// Chooses a host to carry a request, which is counted as carried by it until
    /// [`UpstreamReach::end_carried`].
    #[must_use]
    pub fn begin_carried(
        &self,
        service: &ServiceName,
        rule: &CarrierRule<'_>,
        point: f64,
        now: Timestamp,
    ) -> Option<CarrierHost> {
        let mut view = lock(&self.view);
        let carrier = view.choose_carrier(service, rule, point, now)?;
        view.begin_carried(carrier.host);
        Some(carrier)
    }

    /// Records that a host no longer carries a request of this one.
    pub fn end_carried(&self, host: HostHash) {
        lock(&self.view).end_carried(host);
    }

    /// Records that a host took no request, or lost one.
    pub fn avoid_carrier(&self, host: HostHash, now: Timestamp) {
        lock(&self.view).avoid_carrier(host, now);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
