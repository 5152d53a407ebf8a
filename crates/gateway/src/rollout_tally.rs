//! What this host saw of the roll-outs that run.

use crate::beliefs::Beliefs;
use crate::rollout_sums::{HostSums, RouteSums};
use oleander_core::ids::{HostId, ServiceName};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Adds up requests and answers by service and side of its roll-out.
#[derive(Debug)]
pub struct RolloutTally {
    host: HostId,
    incarnation: u64,
    sums: Mutex<BTreeMap<ServiceName, HostSums>>,
}

/// A request or an answer of a version.
#[derive(Clone, Copy, Debug)]
pub struct TallyPlace<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Name of the route.
    pub route: &'a Arc<str>,
    /// The version.
    pub version: &'a str,
}

impl RolloutTally {
    /// A tally of this incarnation of a host.
    #[must_use]
    pub const fn new(host: HostId, incarnation: u64) -> Self {
        Self { host, incarnation, sums: Mutex::new(BTreeMap::new()) }
    }

    /// Notes that a request was sent.
    pub fn note_sent(&self, beliefs: &Beliefs, place: TallyPlace<'_>) {
        self.change(beliefs, place, |sums, is_new| {
            sums.requests += 1;
            sums.exposed += u64::from(is_new);
        });
    }

    /// Notes an answer.
    pub fn note_answer(&self, beliefs: &Beliefs, place: TallyPlace<'_>, is_bad: bool) {
        self.change(beliefs, place, |sums, is_new| {
            let count = if is_new { &mut sums.new } else { &mut sums.old };
            count.answers += 1;
            count.bad += u64::from(is_bad);
        });
    }

    fn change(
        &self,
        beliefs: &Beliefs,
        place: TallyPlace<'_>,
        apply: impl FnOnce(&mut RouteSums, bool),
    ) {
        let Some(belief) = beliefs.rollouts.get(place.service) else { return };
        if belief.decision.as_ref().is_some_and(|decision| decision.phase.is_over()) {
            return;
        }
        let order = belief.order.order;
        let mut all = self.sums.lock().unwrap_or_else(PoisonError::into_inner);
        let sums = all.entry(place.service.clone()).or_insert_with(|| self.empty(place, order));
        if sums.order != order {
            *sums = self.empty(place, order);
        }
        let route = sums.routes.entry(Arc::clone(place.route)).or_default();
        apply(route, *place.version == *belief.order.to);
    }

    fn empty(&self, place: TallyPlace<'_>, order: u64) -> HostSums {
        HostSums {
            host: self.host.clone(),
            incarnation: self.incarnation,
            service: place.service.clone(),
            order,
            routes: BTreeMap::new(),
        }
    }

    /// The sums of a service's newest roll-out, if there are any.
    #[must_use]
    pub fn sums(&self, service: &ServiceName) -> Option<HostSums> {
        self.sums.lock().unwrap_or_else(PoisonError::into_inner).get(service).cloned()
    }
}
