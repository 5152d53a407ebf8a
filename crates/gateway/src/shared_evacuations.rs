//! Evacuations of failure domains that other hosts tell of, for all requests.

use crate::control_cache::ControlSnapshot;
use crate::control_port::Topic;
use oleander_core::evacuation_view::{DomainHash, EvacuationView, ReportedEvacuation};
use oleander_core::ids::DomainName;
use oleander_core::store_era::StoreRevision;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The evacuations that this host has heard of and not read of.
#[derive(Debug, Default)]
pub struct SharedEvacuations(Mutex<EvacuationView>);

impl SharedEvacuations {
    fn lock(&self) -> MutexGuard<'_, EvacuationView> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over what another host tells.
    pub fn merge(&self, reports: &[ReportedEvacuation], snapshot: &ControlSnapshot) {
        let mut view = self.lock();
        if reports.is_empty() && view.is_empty() {
            return;
        }
        for added in view.merge(reports, read_revision(snapshot)) {
            let names = snapshot.upstreams.values().flatten().map(|entry| &entry.domain);
            let name = names.into_iter().find(|name| DomainHash::new(name) == added.domain);
            log::warn!(
                target: "belief",
                domain = name.map_or("unknown", DomainName::as_str),
                revision:% = added.revision;
                "failure domain is evacuated, as another host tells"
            );
        }
    }

    /// Whether this host has read of all evacuations that it knows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Whether a domain is evacuated by an order that this host has only heard of.
    #[must_use]
    pub fn is_heard(&self, domain: &DomainName, snapshot: &ControlSnapshot) -> bool {
        let view = self.lock();
        !view.is_empty() && view.is_evacuated(DomainHash::new(domain), read_revision(snapshot))
    }

    /// What other hosts should know.
    #[must_use]
    pub fn report(&self, snapshot: &ControlSnapshot) -> Vec<ReportedEvacuation> {
        let own = snapshot.evacuated.iter().map(|(domain, revision)| ReportedEvacuation {
            domain: DomainHash::new(domain),
            revision: *revision,
        });
        self.lock().report(own, read_revision(snapshot))
    }
}

/// Revision up to which this host has read the orders.
fn read_revision(snapshot: &ControlSnapshot) -> StoreRevision {
    snapshot.cursors.get(&Topic::Orders).copied().unwrap_or_default()
}
