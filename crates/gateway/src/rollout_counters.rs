//! This host's counts for the rollouts in progress.

use crate::control_cache::ControlSnapshot;
use crate::rollout_sums::{HostSums, RouteSums, pace_series};
use oleander_core::ids::{HostId, ServiceName};
use oleander_core::store_era::StoreRevision;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Counts requests and answers by service, route and whether they are of the new version.
#[derive(Debug)]
pub struct RolloutCounters {
    host: HostId,
    incarnation: u64,
    sums: Mutex<BTreeMap<ServiceName, HostSums>>,
}

/// The labels under which a request or an answer is counted.
#[derive(Clone, Copy, Debug)]
pub struct CounterLabels<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Name of the route.
    pub route: &'a Arc<str>,
    /// Version of the upstream.
    pub version: &'a str,
}

impl RolloutCounters {
    /// Creates empty counters for this incarnation of a host.
    #[must_use]
    pub const fn new(host: HostId, incarnation: u64) -> Self {
        Self { host, incarnation, sums: Mutex::new(BTreeMap::new()) }
    }

    /// Counts a request that was sent.
    pub fn record_sent(&self, snapshot: &ControlSnapshot, labels: CounterLabels<'_>) {
        self.update(snapshot, labels, |sums, is_new| {
            sums.requests += 1;
            sums.exposed += u64::from(is_new);
        });
    }

    /// Counts an answer.
    pub fn record_answer(
        &self,
        snapshot: &ControlSnapshot,
        labels: CounterLabels<'_>,
        is_bad: bool,
    ) {
        self.update(snapshot, labels, |sums, is_new| {
            let count = if is_new { &mut sums.new } else { &mut sums.old };
            count.answers += 1;
            count.bad += u64::from(is_bad);
        });
    }

    /// Counts whether the events of a stream came slowly. The pace is counted apart from failures:
    /// it varies more, and would hide them.
    pub fn record_pace(
        &self,
        snapshot: &ControlSnapshot,
        labels: CounterLabels<'_>,
        is_slow: bool,
    ) {
        let series = pace_series(labels.route);
        let labels = CounterLabels { route: &series, ..labels };
        self.record_answer(snapshot, labels, is_slow);
    }

    fn update(
        &self,
        snapshot: &ControlSnapshot,
        labels: CounterLabels<'_>,
        apply: impl FnOnce(&mut RouteSums, bool),
    ) {
        let Some(rollout) = snapshot.rollouts.get(labels.service) else { return };
        if rollout.decision.as_ref().is_some_and(|decision| decision.phase.is_over()) {
            return;
        }
        let order = rollout.id();
        let mut all = self.sums.lock().unwrap_or_else(PoisonError::into_inner);
        let sums = all.entry(labels.service.clone()).or_insert_with(|| self.empty(labels, order));
        if sums.order != order {
            *sums = self.empty(labels, order);
        }
        let route = sums.routes.entry(Arc::clone(labels.route)).or_default();
        apply(route, *labels.version == *rollout.order.to);
    }

    fn empty(&self, labels: CounterLabels<'_>, order: StoreRevision) -> HostSums {
        HostSums {
            host: self.host.clone(),
            incarnation: self.incarnation,
            service: labels.service.clone(),
            order,
            routes: BTreeMap::new(),
        }
    }

    /// Counts of a service's newest rollout, if any.
    #[must_use]
    pub fn sums(&self, service: &ServiceName) -> Option<HostSums> {
        self.sums.lock().unwrap_or_else(PoisonError::into_inner).get(service).cloned()
    }
}
